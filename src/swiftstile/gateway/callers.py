"""HTTP server connections with concurrent handling of pipelined requests.

A caller may send further requests before the first one is answered. Idempotent
requests without a body are handled as they arrive, so that a slow one doesn't
delay those behind it; all others wait for their turn. Responses are always sent
in the order of the requests.

Uses the parser, requests and responses of `aiohttp`, but not its server
connection, which handles one request at a time.
"""

import asyncio
import collections

import aiohttp
from aiohttp import base_protocol
from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web_request
from aiohttp import web_response
import multidict
import yarl

from swiftstile import clocks
from swiftstile import logs
from swiftstile.gateway import caller_requests

__all__ = ["CallerConnection"]

# Maximum requests of one connection that are handled at the same time. A
# browser sends about six. Without a limit one caller could take all slots.
MAX_CONCURRENT_REQUESTS = 8
# Maximum size of the finished responses of one connection that wait for earlier
# ones. Above it, no further request of the connection is started.
MAX_FINISHED_BYTES = 1 << 18
# Maximum unanswered requests of one connection. Reading pauses above it.
MAX_PENDING_REQUESTS = 32
# Longest line that the parser accepts, in bytes. The operator's limit is lower
# and may change, so it is checked for each request.
MAX_LINE_BYTES = 65536
# Bytes of a body that are buffered before reading pauses.
_BODY_BUFFER_BYTES = 1 << 16
# How long the rest of a body is read and discarded after the response was sent:
# a caller that is still sending might not read the response otherwise.
BODY_DRAIN_TIMEOUT_S = 5.0
# Idle connections are closed this much later than the limit, so that a caller
# that respects the limit never uses a closed connection.
_IDLE_TOLERANCE_S = 0.5
# Placeholder for a request that can't be parsed, so that it can be answered.
_MALFORMED_PLACEHOLDER = http.RawRequestMessage(
    method="UNKNOWN",
    path="/",
    version=http.HttpVersion11,
    headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
    raw_headers=(),
    should_close=True,
    compression=None,
    upgrade=False,
    chunked=False,
    url=yarl.URL("/"),
)


class CallerConnection(base_protocol.BaseProtocol):
    """One connection of a caller.

    Args:
        loop: The event loop.
        responder: Handles requests.
        connections: Set that contains this connection while it is open.

    Attributes:
        last_response_at: When the last request was answered.
        head_started_at: When reading an incomplete head started, if there is
            one.
        ssl_context, peername, sockname: Attributes that `aiohttp` requires.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        responder: caller_requests.Responder,
        connections: set["CallerConnection"],
    ):
        super().__init__(loop)
        self._responder = responder
        self._connections = connections
        self._parser = http.HttpRequestParser(
            self,
            loop,
            _BODY_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._pending: collections.deque[caller_requests.PendingRequest] = (
            collections.deque()
        )
        self._request_received: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_reading_paused = False
        self._unparsed = b""
        self._is_closing = False
        self._ignores_input = False
        self.last_response_at = clocks.monotonic()
        self.head_started_at: float | None = None
        self.ssl_context = None
        self.peername = None
        self.sockname = None

    @property
    def pending_count(self) -> int:
        """Number of requests that have been read but not answered."""
        return len(self._pending)

    def has_timed_out(
        self, header_timeout_s: float, idle_timeout_s: float, now: float
    ) -> bool:
        """Whether the connection exceeds the header or idle timeout."""
        if self._pending:
            return False
        if self.head_started_at is not None:
            overdue_s = now - self.head_started_at - header_timeout_s
        else:
            overdue_s = now - self.last_response_at - idle_timeout_s
        return overdue_s > _IDLE_TOLERANCE_S

    def close(self) -> None:
        """Closes the connection and cancels its requests."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport) -> None:
        """See base class."""
        super().connection_made(transport)
        self.peername = transport.get_extra_info("peername")
        self.sockname = transport.get_extra_info("sockname")
        self._connections.add(self)
        self._task = self._loop.create_task(self._run())

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        super().connection_lost(exc)
        self._connections.discard(self)
        self._is_closing = True
        error = exc or ConnectionResetError("the caller closed the connection")
        for pending in self._pending:
            if not pending.payload.is_eof():
                pending.payload.set_exception(error)
            if pending.task is not None:
                pending.task.cancel()
        self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._is_closing or self._ignores_input:
            return
        now = clocks.monotonic()
        has_messages = False
        if self._is_reading_paused:
            # Reading is paused; this data was received before that.
            self._unparsed += data
            return
        data, self._unparsed = self._unparsed + data, b""
        while len(self._pending) < MAX_PENDING_REQUESTS:
            if not self._parse_one(data, now):
                break
            has_messages, data = True, b""
        self._track_head(has_messages, bool(data), now)
        if len(self._pending) >= MAX_PENDING_REQUESTS and self.transport:
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._start_concurrent()

    def _parse_one(self, data: bytes, now: float) -> bool:
        """Parses up to the end of one request; returns whether a head was read.

        The parser stops after each request and keeps the remaining data, so
        that a malformed request doesn't affect those sent before it.
        """
        try:
            messages, is_upgrade, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._ignores_input = True
            self._append_request(
                _MALFORMED_PLACEHOLDER, streams.EMPTY_PAYLOAD, now, error
            )
            return False
        self._parser.message_consumed()
        for message, payload in messages:
            self._append_request(message, payload, now)
        if is_upgrade and self._pending:
            # Any further data would be of another protocol.
            self._pending[-1].is_last = True
            self._ignores_input = True
        return bool(messages) and not self._ignores_input

    def resume_reading(self, resume_parser: bool = True) -> None:
        """See base class; called when a body's buffer has space again."""
        super().resume_reading(resume_parser)
        if self._is_reading_paused and self.transport is not None:
            self.transport.pause_reading()

    def _append_request(self, message, payload, now: float, error=None) -> None:
        if self._pending and self._pending[-1].is_last:
            # Pipelined after a request that closes the connection.
            return
        request = web_request.BaseRequest(
            message,
            payload,
            self,
            http.StreamWriter(self, self._loop),
            self._task,
            self._loop,
        )
        self._pending.append(
            caller_requests.PendingRequest(
                request, payload, now, error, message.should_close
            )
        )
        if (
            self._request_received is not None
            and not self._request_received.done()
        ):
            self._request_received.set_result(None)

    def _track_head(self, has_messages: bool, has_data: bool, now: float):
        if has_messages:
            self.head_started_at = None
        elif has_data and not self._pending and self.head_started_at is None:
            self.head_started_at = now

    def _start_concurrent(self) -> None:
        """Starts requests behind the first one that may run concurrently."""
        if len(self._pending) < 2 or self._responder.is_leaving:
            return
        buffered = 0
        for position, pending in enumerate(self._pending):
            if not pending.may_run_concurrently(self._responder):
                return
            buffered += pending.response_bytes()
            if (
                position >= MAX_CONCURRENT_REQUESTS
                or buffered > MAX_FINISHED_BYTES
            ):
                return
            if position and pending.task is None:
                pending.task = self._loop.create_task(self._respond(pending))

    async def _respond(
        self, pending: caller_requests.PendingRequest
    ) -> web_response.StreamResponse:
        if pending.error is not None:
            return self._responder.respond_malformed(pending.error)

        async def wait_for_turn() -> None:
            while self._pending[0] is not pending:
                pending.turn_reached = self._loop.create_future()
                await pending.turn_reached

        incoming = caller_requests.IncomingRequest(
            pending.request, pending.arrived, wait_for_turn
        )
        return await self._responder.respond(incoming)

    async def _run(self) -> None:
        """Sends responses in order until the connection ends."""
        try:
            while not self._is_closing:
                pending = await self._next_request()
                await self._send_response(pending)
                self._finish_request(pending)
        except ConnectionError as error:
            # The caller closed the connection during the response.
            logs.logger.debug("response not delivered", error=repr(error))
        except Exception:
            logs.logger.exception("caller connection failed")
        finally:
            self._cancel_pending()
            if self.transport is not None:
                self.transport.close()

    async def _next_request(self) -> caller_requests.PendingRequest:
        while not self._pending:
            self._request_received = self._loop.create_future()
            try:
                await self._request_received
            finally:
                self._request_received = None
        return self._pending[0]

    async def _send_response(
        self, pending: caller_requests.PendingRequest
    ) -> None:
        if pending.task is not None:
            response = await pending.task
        else:
            response = await self._respond(pending)
        if self._is_last_response(pending):
            response.force_close()
        await response.prepare(pending.request)
        await response.write_eof()
        self._is_closing |= not response.keep_alive
        await self._discard_body(pending)

    def _is_last_response(
        self, pending: caller_requests.PendingRequest
    ) -> bool:
        """Whether a response is the last one on its connection.

        While this VM drains, all started requests are answered first, so that
        requests behind the closing response are known not to have been sent to
        any upstream.
        """
        is_leaving = self._responder.is_leaving
        return pending.is_last or (is_leaving and not self._has_started_next())

    def _has_started_next(self) -> bool:
        behind = self._pending[1] if len(self._pending) > 1 else None
        return behind is not None and behind.task is not None

    async def _discard_body(
        self, pending: caller_requests.PendingRequest
    ) -> None:
        payload = pending.payload
        if payload.is_eof():
            return
        try:
            async with asyncio.timeout(BODY_DRAIN_TIMEOUT_S):
                while not payload.is_eof():
                    await payload.readany()
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            logs.logger.debug("request body not drained", error=repr(error))
            self._is_closing = True

    def _finish_request(self, pending: caller_requests.PendingRequest) -> None:
        self._pending.popleft()
        self.last_response_at = clocks.monotonic()
        if self._pending:
            first = self._pending[0]
            if first.turn_reached is not None and not first.turn_reached.done():
                first.turn_reached.set_result(None)
        if (
            self._is_reading_paused
            and len(self._pending) <= MAX_PENDING_REQUESTS // 2
        ):
            self._is_reading_paused = False
            # The parser has kept the data behind the last request it returned.
            self.resume_reading()
        self._start_concurrent()

    def _cancel_pending(self) -> None:
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()
