"""Reads bodies with limits on stalls and size instead of the total time.

A limit on the total time also limits the size: a body that is too large for the
link never arrives, and each retry fills the link again. A stall timeout works
for any size. Single bytes now and then count as a stall, as such a transfer
might never end.
"""

import asyncio

import aiohttp

from swiftstile import errors

__all__ = ["MAX_BODY_BYTES", "read_body"]

# An eighth of the memory of a node for control. A body is held twice while it
# is joined, and once more while it is decoded.
MAX_BODY_BYTES = 1 << 25

# The stall timeout is split into this many waits. After a pause of the process
# the current wait has expired, but the next one can still read bytes that
# arrived in the socket meanwhile.
_WAITS_PER_TIMEOUT = 4
# Fewer bytes than this count as a stall unless they are the last. Any packet of
# a body with more data to follow holds more than this.
MIN_PROGRESS_BYTES = 512


async def read_body(
    content: aiohttp.StreamReader, stall_timeout_s: float
) -> bytes:
    """Reads a whole body, as long as it makes progress.

    Args:
        content: The body.
        stall_timeout_s: Longest wait for the next `MIN_PROGRESS_BYTES`, in
            seconds.

    Raises:
        TimeoutError: The transfer stalled; names the number of bytes read.
        AnswerTooLargeError: It has more than `MAX_BODY_BYTES`.
        aiohttp.ClientError: The connection broke.
    """
    chunks: list[bytes] = []
    try:
        await _read_all(content, chunks, stall_timeout_s)
        return b"".join(chunks)
    finally:
        # An error refers to this frame, and may be kept.
        chunks.clear()


async def _read_all(
    content: aiohttp.StreamReader, chunks: list[bytes], stall_timeout_s: float
) -> None:
    """Reads a whole body, see `read_body`."""
    received = 0
    while not content.at_eof():
        already_read = len(chunks)
        is_progressing = await _read_more(
            content, chunks, stall_timeout_s / _WAITS_PER_TIMEOUT
        )
        received += sum(map(len, chunks[already_read:]))
        if not is_progressing:
            raise TimeoutError(
                f"stalled for {stall_timeout_s:g} s after {received} bytes"
            )
        if received > MAX_BODY_BYTES:
            raise errors.AnswerTooLargeError(
                f"over {MAX_BODY_BYTES} bytes", step="read body"
            )


async def _read_more(
    content: aiohttp.StreamReader, chunks: list[bytes], wait_s: float
) -> bool:
    """Returns whether enough bytes arrived before the stall timeout."""
    size = 0
    for _ in range(_WAITS_PER_TIMEOUT):
        try:
            async with asyncio.timeout(wait_s):
                while size < MIN_PROGRESS_BYTES and not content.at_eof():
                    chunks.append(await content.readany())
                    size += len(chunks[-1])
                return True
        except TimeoutError:
            # The next wait reads what arrived while the process was paused.
            continue
    return False
