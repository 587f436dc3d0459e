"""HTTP server connections with concurrent handling of pipelined requests.

A caller may send further requests before the first one is answered. Idempotent
requests without a body are handled as they arrive, so that a slow one doesn't
delay those behind it; all others wait for their turn. Responses are always sent
in the order of the requests.

What a connection holds is recorded in an account. If that is full, or too many
connections are open, requests that weren't sent to an upstream yet are refused
and the connection closes.

Uses the parser, requests and responses of `aiohttp`, but not its server
connection, which handles one request at a time.
"""

import asyncio
import collections.abc

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
from swiftstile.gateway import caller_input
from swiftstile.gateway import caller_output
from swiftstile.gateway import caller_requests
from swiftstile.gateway import memory_account
from swiftstile.gateway import open_connections
from swiftstile.gateway import outcomes
from swiftstile.gateway import request_framing
from swiftstile.gateway import request_holds
from swiftstile.gateway import request_queue

__all__ = ["CallerConnection"]

# How long the rest of a body is read and discarded after the response was sent:
# a caller that is still sending might not read the response otherwise.
BODY_DRAIN_TIMEOUT_S = 5.0
# How long a connection stays open for its last response to arrive although the
# caller may still send: a close with unread input resets it.
LINGER_S = 1.0
# Memory of a connection, without what was received.
_CONNECTION_BYTES = 8192
# Less unparsed input than this isn't worth closing a connection for.
_MIN_EVICTED_BYTES = 4096
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


class CallerConnection(
    base_protocol.BaseProtocol,
    memory_account.Holder,
    open_connections.LimitedConnection,
):
    """One connection of a caller.

    Args:
        loop: The event loop.
        responder: Handles requests.
        connections: Contains this connection while it is open.
        memory: Records what it holds.

    Attributes:
        last_response_at: When the last request was answered.
        answered_count: Requests that were answered.
        is_lingering: Whether it only waits for its last response to arrive.
        ssl_context, peername, sockname: Attributes that `aiohttp` requires.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        responder: caller_requests.Responder,
        connections: set["CallerConnection"] | open_connections.ConnectionTable,
        memory: memory_account.AccountPart | None = None,
    ):
        super().__init__(loop)
        self._responder = responder
        self._connections = connections
        self._memory = memory or memory_account.AccountPart()
        self._parser = request_framing.make_parser(self, self._loop)
        self._queue = request_queue.RequestQueue()
        self._request_received: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_reading_paused = False
        self._framing = request_framing.RequestFraming()
        self._is_closing = False
        self._ignores_input = False
        self.is_lingering = False
        self._has_ended = False
        # The request that `_task` handles, until its response is known.
        self._handled: caller_requests.PendingRequest | None = None
        self.answered_count = 0
        self.last_response_at = clocks.monotonic()
        self._output = caller_output.UnsentOutput()
        self.ssl_context = None
        self.peername = None
        self.sockname = None

    @property
    def head_started_at(self) -> float | None:
        """When reading an incomplete head started, if there is one."""
        return self._framing.head_started_at

    @property
    def pending_count(self) -> int:
        """Number of requests that have been read but not answered."""
        return len(self._queue)

    def has_timed_out(
        self, header_timeout_s: float, idle_timeout_s: float, now: float
    ) -> bool:
        """Whether the connection exceeds the header or idle timeout."""
        if self._queue:
            return False
        if self.head_started_at is not None:
            overdue_s = now - self.head_started_at - header_timeout_s
        else:
            overdue_s = now - self.last_response_at - idle_timeout_s
        return overdue_s > _IDLE_TOLERANCE_S

    def has_stopped_reading(self, timeout_s: float, now: float) -> bool:
        """Whether the caller took nothing of its responses for too long.

        Has to be called regularly, as it compares with the last call.
        """
        if self._output.update(self.transport, now):
            self._record_held()
        return self._output.is_stuck(timeout_s, now)

    @property
    def _accepts_input(self) -> bool:
        return not self._ignores_input and not self._is_closing

    def idle_since(self) -> tuple[bool, float] | None:
        """See base class."""
        if self._queue or self._framing.head_bytes or self._is_closing:
            return None
        return self.answered_count > 0, self.last_response_at

    def arriving_since(self) -> float | None:
        """See base class."""
        if not self._accepts_input:
            return None
        if not self._queue:
            return self.head_started_at
        last = self._queue.last
        is_arriving = last.hold.is_receiving and last.can_refuse
        return last.arrived if is_arriving else None

    def progressed_at(self) -> float | None:
        """See base class."""
        if not self._accepts_input:
            return None
        refusable = self._queue.largest_refusable()
        if refusable is not None:
            return refusable.hold.progress_at
        if self._output.count >= _MIN_EVICTED_BYTES:
            return self._output.since
        if self._framing.count >= _MIN_EVICTED_BYTES:
            return self.head_started_at or self.last_response_at
        return None

    def evict(self) -> None:
        """See base class."""
        if self._queue.largest_refusable() is None and self._output.count:
            self.abort()
            self._memory.record(self, 0)
            return
        self.refuse(
            outcomes.MemoryLimitError(
                f"its connection holds {self.held_bytes} bytes", step="receive"
            )
        )

    def refuse(self, error: outcomes.GatewayError) -> None:
        """See base class."""
        refused = self._queue.largest_refusable()
        self._stop_input()
        if refused is None and self._append_placeholder(None):
            refused = self._queue.last
        if refused is None:
            # The connection closes after a response that it owes.
            return
        self._queue.drop_behind(refused)
        self._end_request(refused, error)

    def stalled_request(self, now: float) -> request_holds.RequestHold | None:
        """Returns the request whose body stopped arriving, if any."""
        if not self._queue or not self._accepts_input:
            return None
        hold = self._queue.last.hold
        return hold if hold.is_stalled(now) else None

    def end_upload(self, error: outcomes.GatewayError) -> None:
        """Ends the request that arrives, of which a part was passed on.

        Args:
            error: Its answer, which promises nothing.
        """
        self._stop_input()
        self._end_request(self._queue.last, error)

    def _end_request(
        self,
        pending: caller_requests.PendingRequest,
        error: outcomes.GatewayError,
    ) -> None:
        pending.is_last = True
        pending.hold.refuse(error)
        self._record_held()
        # Not at once, as this may be called by the task that it cancels.
        self._loop.call_soon(self._cancel_refused, pending)

    def _cancel_refused(self, pending: caller_requests.PendingRequest) -> None:
        if not pending.has_started:
            # Its task would end without the refusal.
            return
        if pending.task is not None:
            pending.task.cancel()
        elif self._handled is pending:
            self._task.cancel()

    def _stop_input(self) -> None:
        """Drops what wasn't parsed, and what the caller still sends."""
        self._ignores_input = True
        self._parser = None
        self._framing = request_framing.RequestFraming()
        self._is_reading_paused = False
        if self.transport is not None:
            super().resume_reading(resume_parser=False)

    def _record_held(self) -> None:
        if self._has_ended:
            self._memory.record(self, 0)
            return
        held = _CONNECTION_BYTES + self._output.count
        held += self._framing.held_bytes
        self._memory.record(self, held + self._queue.held_bytes)

    def abort(self) -> None:
        """Resets the connection and cancels its requests."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection and cancels its requests."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request isn't answered, or an answer isn't delivered."""
        return (
            bool(self._queue)
            or self.is_lingering
            or self._output.is_unsent(self.transport)
        )

    def end_requests(
        self,
        make_error: collections.abc.Callable[
            [request_holds.RequestHold], outcomes.GatewayError
        ],
    ) -> None:
        """Answers all requests that have no response yet with errors.

        Args:
            make_error: Returns the error of a request.
        """
        answering = request_holds.RequestStage.ANSWERING
        for pending in self._queue:
            if not pending.has_response and pending.hold.stage != answering:
                pending.hold.refuse(make_error(pending.hold))
                self._loop.call_soon(self._cancel_refused, pending)

    def unanswered(self) -> list[caller_requests.PendingRequest]:
        """Returns the requests that were read and not answered, in order."""
        return list(self._queue)

    def connection_made(self, transport) -> None:
        """See base class."""
        super().connection_made(transport)
        self.peername = transport.get_extra_info("peername")
        self.sockname = transport.get_extra_info("sockname")
        self._task = self._loop.create_task(self._run())
        self._memory.watch(self)
        self._record_held()
        self._connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        super().connection_lost(exc)
        self._connections.discard(self)
        self._is_closing = True
        self._has_ended = True
        error = exc or ConnectionResetError("the caller closed the connection")
        incomplete = self._queue.incomplete_bodies()
        self._queue.cancel_all()
        for payload in incomplete:
            payload.set_exception(error)
        self._task.cancel()
        # These refer to this object, and all would wait for the collector.
        self._parser = self._handled = None
        self._framing = request_framing.RequestFraming()
        self._record_held()
        self._memory.unwatch(self)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if not self._accepts_input:
            return
        if not data and not self._framing.has_next_part:
            # Called whenever a piece of a body is read.
            return
        self._framing.receive(data)
        if not self._is_reading_paused:
            self._parse()
        if self._queue:
            hold = self._queue.last.hold
            if hold.is_receiving:
                hold.note_received(clocks.monotonic())
        self._record_held()

    def _parse(self) -> None:
        now = clocks.monotonic()
        try:
            while not self._queue.is_full and self._parse_part(now):
                pass
        except http_exceptions.HttpProcessingError as error:
            self._end_malformed(error)
        if self._queue.is_full and self.transport and self._accepts_input:
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._start_concurrent()

    def _parse_part(self, now: float) -> bool:
        """Parses a part of one request; returns whether to go on.

        Raises:
            HttpProcessingError: It is malformed.
        """
        if self._reading_paused:
            # The buffer of a body is full.
            return False
        part = self._framing.next_part(now)
        if part is None:
            return False
        messages, is_upgrade, _ = self._parser.feed_data(part)
        head_bytes = self._framing.head_bytes
        self._framing.on_parsed(messages, self._reading_paused)
        if self._framing.has_ended_with_trailers:
            # A used one would add the last of them to the next request.
            self._parser = request_framing.make_parser(self, self._loop)
        for message, payload in messages:
            if not self._append_request(message, payload, now, head_bytes):
                self._stop_input()
                return False
        if is_upgrade and self._queue:
            # Any further data would be of another protocol.
            self._queue.last.is_last = True
            self._stop_input()
            return False
        if self._framing.head_bytes:
            self._framing.check_head(self._responder.max_header_bytes)
        return True

    def _end_malformed(
        self, error: http_exceptions.HttpProcessingError
    ) -> None:
        """Ends the input at bytes that aren't legal."""
        if self._framing.is_inside_body and self._queue:
            last = self._queue.last
            # The request is already there to be answered.
            last.is_last = True
            problem = aiohttp.ClientPayloadError(repr(error))
            # Not at once: a reader that was just woken without data would wait
            # again and not see it.
            self._loop.call_soon(last.payload.set_exception, problem)
        else:
            self._append_placeholder(error)
        self._stop_input()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """See base class; called when a body's buffer has space again."""
        super().resume_reading(resume_parser)
        if self._is_reading_paused and self.transport is not None:
            self.transport.pause_reading()

    def _append_placeholder(self, error: Exception | None) -> bool:
        """Adds a request in place of one that can't be read.

        Args:
            error: Why it can't be parsed, if it was tried.

        Returns:
            Whether it is answered.
        """
        now = clocks.monotonic()
        return self._append_request(
            _MALFORMED_PLACEHOLDER, streams.EMPTY_PAYLOAD, now, error=error
        )

    def _append_request(
        self, message, payload, now: float, head_bytes: int = 0, error=None
    ) -> bool:
        if self._queue and self._queue.last.is_last:
            # Pipelined after a request that closes the connection.
            return False
        request = web_request.BaseRequest(
            message,
            payload,
            self,
            http.StreamWriter(self, self._loop),
            self._task,
            self._loop,
        )
        hold = request_holds.RequestHold(
            caller_input.head_memory(head_bytes, len(message.raw_headers)),
            None if payload is streams.EMPTY_PAYLOAD else payload,
            self._record_held,
        )
        self._queue.append(
            caller_requests.PendingRequest(
                request, payload, now, error, message.should_close, hold
            )
        )
        if (
            self._request_received is not None
            and not self._request_received.done()
        ):
            self._request_received.set_result(None)
        return True

    def _start_concurrent(self) -> None:
        """Starts requests behind the first one that may run concurrently."""
        for pending in self._queue.startable(self._responder):
            pending.task = self._loop.create_task(self._respond(pending))

    async def _respond(
        self, pending: caller_requests.PendingRequest
    ) -> web_response.StreamResponse:
        pending.has_started = True
        if pending.error is not None:
            return self._responder.respond_malformed(pending.error)
        if pending.hold.is_refused and not pending.request.raw_headers:
            return self._responder.refuse(pending.hold.take_refusal())

        async def wait_for_turn() -> None:
            while self._queue.first is not pending:
                pending.turn_reached = self._loop.create_future()
                await pending.turn_reached

        incoming = caller_requests.IncomingRequest(
            pending.request, pending.arrived, wait_for_turn, hold=pending.hold
        )
        return await self._responder.respond(incoming)

    async def _run(self) -> None:
        """Sends responses in order until the connection ends."""
        try:
            while not self._is_closing:
                pending = await self._next_request()
                await self._send_response(pending)
                self._finish_request()
            if self._ignores_input or self._responder.is_leaving:
                await self._linger()
        except ConnectionError as error:
            # The caller closed the connection during the response.
            logs.logger.debug("response not delivered", error=repr(error))
        except asyncio.CancelledError:
            # Not raised again: the task would keep it, and with it the frames
            # that refer to the task.
            logs.logger.debug("caller connection ended")
        except Exception:
            logs.logger.exception("caller connection failed")
        finally:
            self._queue.cancel_all()
            if self.transport is not None:
                self.transport.close()

    async def _next_request(self) -> caller_requests.PendingRequest:
        while not self._queue:
            self._request_received = self._loop.create_future()
            try:
                await self._request_received
            finally:
                self._request_received = None
        return self._queue.first

    async def _linger(self) -> None:
        """Lets the last response arrive before the connection closes."""
        self._stop_input()
        self.is_lingering = True
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)

    async def _send_response(
        self, pending: caller_requests.PendingRequest
    ) -> None:
        if pending.task is not None:
            response = await pending.task
        else:
            self._handled = pending
            response = await self._respond(pending)
            self._handled = None
        pending.has_response = True
        pending.hold.stage = request_holds.RequestStage.ANSWERING
        if self._is_last_response(pending, response.prepared):
            # No request is read behind it.
            pending.is_last = True
            response.force_close()
        await response.prepare(pending.request)
        await response.write_eof()
        pending.hold.stage = request_holds.RequestStage.ANSWERED
        self._is_closing |= not response.keep_alive
        await self._discard_body(pending)

    def _is_last_response(
        self, pending: caller_requests.PendingRequest, has_begun: bool
    ) -> bool:
        """Whether a response is the last one on its connection.

        While this VM leaves, all requests that were read are answered first. A
        response whose head was sent can't announce the close any more.
        """
        if pending.is_last:
            return True
        is_alone = self._queue.last is pending
        return self._responder.is_leaving and is_alone and not has_begun

    @property
    def _body_drain_s(self) -> float:
        # A stop doesn't wait for callers that ignore their answers.
        return LINGER_S if self._responder.is_leaving else BODY_DRAIN_TIMEOUT_S

    async def _discard_body(
        self, pending: caller_requests.PendingRequest
    ) -> None:
        payload = pending.payload
        if payload.is_eof() or self._ignores_input:
            return
        try:
            async with asyncio.timeout(self._body_drain_s):
                while not payload.is_eof():
                    pending.hold.release(len(await payload.readany()))
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            logs.logger.debug("request body not drained", error=repr(error))
            self._is_closing = True

    def _finish_request(self) -> None:
        self._queue.remove_first()
        self.answered_count += 1
        self.last_response_at = now = clocks.monotonic()
        self._output.update(self.transport, now)
        if self._is_reading_paused and self._queue.has_space:
            self._is_reading_paused = False
            # Goes on with the input behind the last request that was read.
            self.resume_reading()
        self._start_concurrent()
        self._record_held()
