"""Transfers that may take long, but not stand still.

A limit for a whole transfer is also a limit of its size: what is too large for
the link never comes, however often it is asked for, and fills the link each
time. A limit of silence holds for every size. Single bytes now and then count
as silence: with them a transfer would never end.
"""

import asyncio

import aiohttp

__all__ = ["read_body"]

# Silence is waited for in so many parts. A process that stands still finds the
# time of one part over, and may find bytes in its socket in the next.
_WAITS_PER_TIMEOUT = 4
# Fewer bytes than this count as silence, unless they are the last: less than
# any packet holds of a body that has more to come.
MIN_PROGRESS_BYTES = 512


async def read_body(
    content: aiohttp.StreamReader, stall_timeout_s: float
) -> bytes:
    """Reads a body to its end, as long as bytes keep coming.

    Args:
        content: The body.
        stall_timeout_s: Longest wait for the next `MIN_PROGRESS_BYTES`, in
            seconds.

    Raises:
        TimeoutError: Less came for that long; says how much had come.
        aiohttp.ClientError: The connection broke.
    """
    chunks: list[bytes] = []
    while not content.at_eof():
        if not await _read_more(
            content, chunks, stall_timeout_s / _WAITS_PER_TIMEOUT
        ):
            received = sum(map(len, chunks))
            raise TimeoutError(
                f"silent for {stall_timeout_s:g} s after {received} bytes"
            )
    return b"".join(chunks)


async def _read_more(
    content: aiohttp.StreamReader, chunks: list[bytes], wait_s: float
) -> bool:
    """Returns whether enough bytes came within all waits."""
    size = 0
    for _ in range(_WAITS_PER_TIMEOUT):
        try:
            async with asyncio.timeout(wait_s):
                while size < MIN_PROGRESS_BYTES and not content.at_eof():
                    chunks.append(await content.readany())
                    size += len(chunks[-1])
                return True
        except TimeoutError:
            # The next wait finds what came while the process stood still.
            continue
    return False
