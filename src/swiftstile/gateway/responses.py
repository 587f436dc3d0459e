"""Reads responses for callers: whole if they are short, else as a stream."""

import asyncio
import collections.abc

from aiohttp import web_request
from aiohttp import web_response
import msgspec

from swiftstile import clocks
from swiftstile.gateway import body_budget
from swiftstile.gateway import connections
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_heads
from swiftstile.gateway import stream_limits

__all__ = [
    "MAX_BUFFERED_BYTES",
    "STREAM_BUFFER_BYTES",
    "ResponseSource",
    "UpstreamResponse",
    "read_response",
    "stream_response",
    "whole_response",
]

# Responses up to this size are read completely before their head is sent to the
# caller, so that a truncated one can still be reported as an error.
MAX_BUFFERED_BYTES = 1 << 20
# Memory of a stream: what isn't taken of its connection, and a send buffer.
STREAM_BUFFER_BYTES = response_bodies.MAX_UNREAD_BYTES + (1 << 16)


class UpstreamResponse(msgspec.Struct):
    """An upstream's response.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        body: The complete body, or None if it is streamed.
        stream: The stream of the body if `body` is None.
        metadata: Metadata from its status and headers; None if another VM
            validated it.
        finish: Ends the exchange after streaming. Takes whether the body was
            relayed completely.
        reservation: The memory of what was read of the body.
        length: Length of a streamed body, in bytes; None if it isn't stated.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    stream: collections.abc.AsyncIterator[bytes]
    metadata: interfaces.AnswerMetadata | None
    finish: collections.abc.Callable[[bool], None]
    reservation: body_budget.Reservation
    length: int | None = None


class ResponseSource(msgspec.Struct, frozen=True):
    """Where a response is read from.

    Attributes:
        peer: Id of the upstream or VM.
        content: The body that is received.
        limits: Time limits if it is streamed.
        finish: Ends the exchange; as in `UpstreamResponse`.
        on_stream_failed: Called if the stream fails before its end.
    """

    peer: str
    content: response_bodies.ResponseBody
    limits: stream_limits.StreamLimits
    finish: collections.abc.Callable[[bool], None]
    on_stream_failed: collections.abc.Callable[[], None]


async def read_response(
    head: response_heads.ResponseHead,
    headers: list[tuple[str, str]],
    metadata: interfaces.AnswerMetadata | None,
    source: ResponseSource,
    reservation: body_budget.Reservation,
) -> UpstreamResponse:
    """Returns the response with a head, with its body unless that is long.

    A body is streamed as well if the bodies of all responses hold too much
    memory.

    Args:
        head: The head.
        headers: Headers for the caller.
        metadata: Metadata of the head.
        source: Where its body comes from.
        reservation: Counts the memory of what is read.
    """
    pieces, size = [], 0
    is_long = (head.length or 0) > MAX_BUFFERED_BYTES
    while not is_long:
        piece = await source.content.next_piece()
        if not piece:
            break
        pieces.append(piece)
        size += len(piece)
        has_memory = reservation.add(len(piece))
        is_long = size > MAX_BUFFERED_BYTES or not has_memory
    body = None
    if not is_long or source.content.is_drained:
        body = b"".join(pieces)
        pieces = []
        source.finish(True)
    return UpstreamResponse(
        head.status,
        headers,
        body,
        _stream(pieces, source),
        metadata,
        source.finish,
        reservation,
        head.length,
    )


async def _stream(
    first_pieces: list[bytes], source: ResponseSource
) -> collections.abc.AsyncIterator[bytes]:
    """Yields a body of which the first pieces were read.

    What was received completely is yielded beyond the time limits as well: a
    slow caller takes as long as it needs.
    """
    for piece in first_pieces:
        yield piece
    first_pieces.clear()
    content = source.content
    while True:
        try:
            if content.has_ended:
                piece = await content.next_piece()
            else:
                piece = await _next_piece_in_time(source)
        except TimeoutError as error:
            source.on_stream_failed()
            raise outcomes.TimedOutError(
                "the response didn't end in time",
                step="stream response",
                peer=source.peer,
            ) from error
        except connections.EXCHANGE_ERRORS as error:
            source.on_stream_failed()
            raise outcomes.UnknownOutcomeError(
                repr(error), step="stream response", peer=source.peer
            ) from error
        if not piece:
            return
        yield piece


async def _next_piece_in_time(source: ResponseSource) -> bytes:
    now = clocks.monotonic()
    if now > source.limits.ends_at:
        raise TimeoutError
    async with asyncio.timeout(source.limits.next_until(now) - now):
        return await source.content.next_piece()


class _WholeResponse(web_response.Response):
    """Keeps the memory of its body reserved until it was written."""

    reservation: body_budget.Reservation | None = None

    async def write_eof(self, data: bytes = b"") -> None:
        """See base class."""
        transport = self._req.transport if self._req is not None else None
        if transport is None or self.reservation is None:
            await super().write_eof(data)
            return
        with self.reservation.sent_by(transport.abort):
            await super().write_eof(data)


def whole_response(
    upstream_response: UpstreamResponse,
) -> web_response.Response:
    """Returns the response for the caller whose body was read completely."""
    response = _WholeResponse(
        status=upstream_response.status, body=upstream_response.body
    )
    response.reservation = upstream_response.reservation
    response.headers.popall("Content-Type", None)
    for name, value in upstream_response.headers:
        response.headers.add(name, value)
    return response


async def stream_response(
    request: web_request.BaseRequest, upstream_response: UpstreamResponse
) -> web_response.StreamResponse:
    """Streams a long response to the caller.

    If either side fails, the caller's connection is reset, so that the
    truncated response doesn't appear complete, also if it ends with its
    connection.
    """
    response = web_response.StreamResponse(status=upstream_response.status)
    for name, value in upstream_response.headers:
        response.headers.add(name, value)
    if upstream_response.length is not None:
        response.content_length = upstream_response.length
    is_whole = False
    reservation = upstream_response.reservation
    reservation.add(STREAM_BUFFER_BYTES)

    def abort() -> None:
        if request.transport is not None:
            request.transport.abort()

    try:
        with reservation.sent_by(abort):
            await response.prepare(request)
            async for piece in upstream_response.stream:
                await response.write(piece)
            await response.write_eof()
        is_whole = True
        return response
    finally:
        upstream_response.finish(is_whole)
        if not is_whole and request.transport is not None:
            connections.reset_on_close(request.transport)
            request.transport.abort()
