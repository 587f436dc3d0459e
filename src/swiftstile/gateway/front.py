"""The side of the gateway that faces callers and the platform's balancer."""

import asyncio

from aiohttp import http_exceptions
from aiohttp import web
import msgspec

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import model
from swiftstile.gateway import outcomes

__all__ = ["Front", "ReadyPage"]

_HEADER_TOO_LARGE = 431
_BAD_REQUEST = 400
# aiohttp's own timer for idle connections is out of use: the limit may change
# while a connection is open, so a look at all connections enforces it.
_NEVER_S = 3600.0
# Idle connections are kept a little longer than the limit, so that a caller
# that keeps to it never meets a closed one.
_IDLE_SLACK_S = 0.5
_SWEEP_INTERVAL_S = 0.5
_BACKLOG = 1024
# Longest line that the parser takes, in bytes; what the operator allows is
# less and may change, so it is checked for each request.
_MAX_LINE_BYTES = 65536


class _ErrorBody(msgspec.Struct):
    reason: str
    step: str
    peer: str
    message: str


class _Connection(web.RequestHandler):
    """A caller's connection, with the times that limits are checked by."""

    __slots__ = ("active", "last_at", "head_at")

    def __init__(self, manager, *, loop, **kwargs):
        super().__init__(manager, loop=loop, **kwargs)
        self.active = 0
        self.last_at = clocks.monotonic()
        self.head_at: float | None = None

    def data_received(self, data: bytes) -> None:
        if not self.active and self.head_at is None:
            self.head_at = clocks.monotonic()
        super().data_received(data)

    def handle_error(self, request, status=500, exc=None, message=None):
        is_long = isinstance(exc, http_exceptions.LineTooLong)
        if status == _BAD_REQUEST and is_long:
            status = _HEADER_TOO_LARGE
        logs.logger.info("malformed request", status=status, error=repr(exc))
        return super().handle_error(request, status, None, "malformed request")

    def begin(self) -> None:
        """A request was read."""
        self.active += 1
        self.head_at = None

    def end(self) -> None:
        """A request was answered."""
        self.active -= 1
        self.last_at = clocks.monotonic()


class _Server(web.Server):

    def __call__(self) -> web.RequestHandler:
        return _Connection(self, loop=self._loop, **self._kwargs)


class Front:
    """Serves callers over HTTP.

    Attributes:
        in_flight: Requests that have no answer yet.
        is_leaving: Connections are closed with the next answer.
        is_closed: New requests are turned away.
    """

    def __init__(
        self,
        listen: str,
        handler: handler_lib.Handler,
        meters: metrics.Meters,
    ):
        self._listen = listen
        self._handler = handler
        self._meters = meters
        self._server: _Server | None = None
        self._listener: asyncio.Server | None = None
        self.in_flight = 0
        self.is_leaving = False
        self.is_closed = False

    async def start(self) -> None:
        """Starts to listen."""
        self._server = _Server(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=_NEVER_S,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        host, port = settings_lib.split_address(self._listen)
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, host, port, backlog=_BACKLOG, reuse_address=True
        )

    def stop_listening(self) -> None:
        """Takes no new connections."""
        self._listener.close()

    def close_idle(self) -> None:
        """Closes connections on which no request is being served."""
        for connection in list(self._server.connections):
            if not connection.active and connection.head_at is None:
                connection.force_close()

    async def enforce_limits(self) -> None:
        """Closes connections that are idle or slow beyond the limits."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            config = self._handler.config
            limits = model.Limits() if config is None else config.limits
            now = clocks.monotonic()
            for connection in list(self._server.connections):
                if self._is_overdue(connection, limits, now):
                    self._meters.refusals.add("connection-limit")
                    connection.force_close()

    @staticmethod
    def _is_overdue(connection, limits: model.Limits, now: float) -> bool:
        if connection.active:
            return False
        if connection.head_at is not None:
            slack_s = now - connection.head_at - limits.header_timeout_s
        else:
            slack_s = now - connection.last_at - limits.idle_timeout_s
        return slack_s > _IDLE_SLACK_S

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        started = clocks.monotonic()
        self.in_flight += 1
        request.protocol.begin()
        try:
            return await self._respond(request, started)
        finally:
            self.in_flight -= 1
            request.protocol.end()

    async def _respond(self, request, started) -> web.StreamResponse:
        try:
            if self.is_closed:
                raise outcomes.NotReadyError("about to stop", step="accept")
            response = await self._handler.answer(request)
            outcome = "answered"
        except outcomes.GatewayError as error:
            response = _failure(error)
            outcome = error.reason
        except asyncio.CancelledError:
            self._meters.requests.add("cancelled")
            raise
        except Exception as error:
            logs.logger.exception("request failed")
            response = _failure(_internal(error))
            outcome = "internal"
        if self.is_leaving:
            response.force_close()
        self._meters.requests.add(outcome)
        self._meters.durations.record(clocks.monotonic() - started)
        return response


def _failure(error: outcomes.GatewayError) -> web.Response:
    body = _ErrorBody(error.reason, error.step, error.peer, str(error))
    response = web.Response(
        status=error.status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return response


def _internal(error: Exception) -> outcomes.UnknownOutcomeError:
    return outcomes.UnknownOutcomeError(repr(error), step="handle request")


class ReadyPage:
    """Tells the balancer whether this VM should get new connections."""

    def __init__(self, listen: str, is_ready):
        self._listen = listen
        self._is_ready = is_ready

    async def start(self) -> None:
        """Starts to listen."""
        server = web.Server(self._handle, access_log=None)
        host, port = settings_lib.split_address(self._listen)
        await asyncio.get_running_loop().create_server(
            server, host, port, reuse_address=True
        )

    async def _handle(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)
