"""Transfers that may take long, but not stand still.

A limit for a whole transfer is also a limit of its size: what is too large for
the link never comes, however often it is asked for, and fills the link each
time. A limit of silence holds for every size.
"""

import asyncio

import aiohttp

__all__ = ["read_body"]


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
    try:
        while not content.at_eof():
            async with asyncio.timeout(silent_s):
                pieces.append(await content.readany())
    except TimeoutError as error:
        received = sum(map(len, pieces))
        raise TimeoutError(
            f"silent for {silent_s:g} s after {received} bytes"
        ) from error
    return b"".join(pieces)
