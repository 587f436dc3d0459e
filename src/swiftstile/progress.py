"""Transfers that may take long, but not stand still.

A limit for a whole transfer is also a limit of its size: what is too large for
the link never comes, however often it is asked for, and fills the link each
time. A limit of silence holds for every size.
"""

import asyncio

import aiohttp

__all__ = ["read_body"]

# Silence is waited for in so many parts. A process that stands still finds the
# time of one part over, and may find bytes in its socket in the next.
_WAITS = 4


async def read_body(content: aiohttp.StreamReader, silent_s: float) -> bytes:
    """Reads a body to its end, as long as bytes keep coming.

    Args:
        content: The body.
        silent_s: Longest wait for the next bytes, in seconds.

    Raises:
        TimeoutError: Nothing came for that long; says how much had come.
        aiohttp.ClientError: The connection broke.
    """
    pieces: list[bytes] = []
    while not content.at_eof():
        piece = await _next(content, silent_s / _WAITS)
        if piece is None:
            received = sum(map(len, pieces))
            raise TimeoutError(
                f"silent for {silent_s:g} s after {received} bytes"
            )
        pieces.append(piece)
    return b"".join(pieces)


async def _next(content: aiohttp.StreamReader, wait_s: float) -> bytes | None:
    """Returns the next bytes, or None if none came within all waits."""
    for _ in range(_WAITS):
        try:
            async with asyncio.timeout(wait_s):
                return await content.readany()
        except TimeoutError:
            # The next wait finds what came while the process stood still.
            continue
    return None
