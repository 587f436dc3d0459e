"""Reads bodies of requests: whole if they are short, else as a stream."""

import asyncio
import collections.abc

import aiohttp
from aiohttp import http_exceptions
from aiohttp import streams
import msgspec

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import piece_buffers
from swiftstile.gateway import request_holds

__all__ = ["MAX_BUFFERED_BYTES", "RequestBody", "read_body"]

# Bodies up to this size are buffered, so that they can be sent again.
MAX_BUFFERED_BYTES = 1 << 20
_READ_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    ValueError,
)


class RequestBody(msgspec.Struct):
    """The body of a request, or the start of a long one.

    Attributes:
        whole: The body; None if it is too long to buffer.
        first_part: Its first `MAX_BUFFERED_BYTES` in that case.
        stream: All of it in pieces in that case. It can be read once.
    """

    whole: bytes | None = b""
    first_part: bytes | memoryview = b""
    stream: collections.abc.AsyncIterator[bytes] | None = None


async def read_body(
    content: streams.StreamReader,
    hold: request_holds.RequestHold,
    until: float,
    max_bytes: int,
) -> RequestBody:
    """Reads a body, or its start if it is long.

    Args:
        content: The body that is received.
        hold: What is held of its request.
        until: When the request's time is up, on the monotonic clock.
        max_bytes: Longest body allowed.

    Raises:
        BadRequestError: It is malformed, or its connection ended.
        BodyTimeoutError: It didn't arrive in time.
    """
    try:
        if content.is_eof():
            is_whole = await _fill(content, hold.buffer)
        else:
            async with asyncio.timeout(max(0.0, until - clocks.monotonic())):
                is_whole = await _fill(content, hold.buffer)
    except TimeoutError as error:
        raise outcomes.BodyTimeoutError(
            f"{len(hold.buffer)} bytes arrived in time", step="read body"
        ) from error
    except _READ_ERRORS as error:
        raise outcomes.BadRequestError(repr(error), step="read body") from error
    read = hold.buffer.take()
    if is_whole:
        return RequestBody(read)
    return RequestBody(
        None,
        # A slice would be a copy.
        memoryview(read)[:MAX_BUFFERED_BYTES],
        _stream(read, content, hold, max_bytes),
    )


async def _fill(
    content: streams.StreamReader, buffer: piece_buffers.PieceBuffer
) -> bool:
    """Reads the start of a body; returns whether that is all of it."""
    while len(buffer) <= MAX_BUFFERED_BYTES:
        piece = await content.readany()
        if not piece:
            return True
        buffer.append(piece)
    return False


async def _stream(
    start: bytes,
    content: streams.StreamReader,
    hold: request_holds.RequestHold,
    max_bytes: int,
) -> collections.abc.AsyncIterator[bytes]:
    size = 0
    piece = start
    # Not held beside the pieces that follow.
    del start
    while piece:
        size += len(piece)
        if size > max_bytes:
            raise outcomes.BodyTooLargeError(
                f"more than {max_bytes} bytes", step="read body"
            )
        yield piece
        hold.release(len(piece))
        piece = await content.readany()
