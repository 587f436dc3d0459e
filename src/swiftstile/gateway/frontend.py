"""HTTP servers for callers and for the platform's load balancer."""

import asyncio

from aiohttp import http_exceptions
from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server
import msgspec

from swiftstile import bounded_server
from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile import settings as settings_lib
from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import model
from swiftstile.gateway import open_connections
from swiftstile.gateway import outcomes
from swiftstile.gateway import peer_limits
from swiftstile.gateway import planned_stop

__all__ = ["Frontend", "ReadinessServer", "error_response", "listen"]

_HEADER_TOO_LARGE = 431
_BAD_REQUEST = 400
_SWEEP_INTERVAL_S = 0.5
_BACKLOG = 1024


class _ErrorBody(msgspec.Struct):
    reason: str
    step: str
    peer: str
    message: str


class Frontend(caller_requests.Responder):
    """Serves callers over HTTP."""

    def __init__(
        self,
        listen: str,
        handler: handler_lib.RequestHandler,
        meters: metrics.Meters,
        stop: planned_stop.PlannedStop,
        limits: peer_limits.ListenerLimits | None = None,
    ):
        self._listen = listen
        self._handler = handler
        self._meters = meters
        self._stop = stop
        self._limits = limits or peer_limits.unlimited()
        self._connections: open_connections.ConnectionTable[
            callers.CallerConnection
        ] = self._limits.connections
        self._malformed = MalformedLog(meters)
        self._listener: asyncio.Server | None = None

    @property
    def is_leaving(self) -> bool:
        """See base class."""
        return self._stop.has_begun

    @property
    def in_flight(self) -> int:
        """Number of requests that have been read but not answered."""
        return sum(connection.pending_count for connection in self._connections)

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            SettingsError: Listening failed, for example as the port is in use.
        """
        loop = asyncio.get_running_loop()
        self._listener = await listen(
            lambda: callers.CallerConnection(
                loop, self, self._connections, self._limits.memory
            ),
            self._listen,
            "listen for callers",
            self._limits.backlog,
        )

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def close_idle(self) -> int:
        """Closes connections without requests in progress.

        Returns:
            The number of connections.
        """
        idle = [
            connection
            for connection in self._connections
            if not connection.pending_count
            and connection.head_started_at is None
            and not connection.is_lingering
        ]
        for connection in idle:
            connection.close()
        return len(idle)

    @property
    def partial_heads(self) -> int:
        """Number of connections on which only a part of a head arrived."""
        return sum(
            connection.head_started_at is not None
            for connection in self._connections
        )

    async def enforce_timeouts(self) -> None:
        """Closes connections that exceed the idle or header timeout."""
        while True:
            await pacing.sleep_aligned(_SWEEP_INTERVAL_S)
            config = self._handler.config
            limits = model.Limits() if config is None else config.limits
            now = clocks.monotonic()
            for connection in self._connections:
                if connection.has_stopped_reading(limits.idle_timeout_s, now):
                    self._meters.refusals.add("connection-limit")
                    connection.abort()
                elif connection.has_timed_out(
                    limits.header_timeout_s, limits.idle_timeout_s, now
                ):
                    self._meters.refusals.add("connection-limit")
                    connection.close()
                self._end_if_stalled(connection, now)

    def _end_if_stalled(
        self, connection: callers.CallerConnection, now: float
    ) -> None:
        """Ends a request whose body stopped arriving, if that helps others."""
        hold = connection.stalled_request(now)
        if hold is None:
            return
        if self._stop.is_finishing and hold.can_refuse:
            connection.refuse(
                outcomes.StoppingError("the VM stops", step="read body")
            )
        elif self._handler.upload_slots.is_wanted(hold):
            connection.end_upload(
                outcomes.StalledUploadError(
                    "other requests wait for its slot", step="read body"
                )
            )

    @property
    def max_header_bytes(self) -> int:
        """See base class."""
        config = self._handler.config
        limits = model.Limits() if config is None else config.limits
        return limits.max_header_bytes

    def may_run_concurrently(self, request: web_request.BaseRequest) -> bool:
        """See base class."""
        return self._handler.may_run_concurrently(request)

    def respond_malformed(
        self, error: Exception
    ) -> web_response.StreamResponse:
        """See base class."""
        is_long = isinstance(error, http_exceptions.LineTooLong)
        status = _HEADER_TOO_LARGE if is_long else _BAD_REQUEST
        self._malformed.record(status, error)
        return web_response.Response(status=status, text="malformed request")

    def refuse(
        self, error: outcomes.GatewayError
    ) -> web_response.StreamResponse:
        """See base class."""
        self._meters.refusals.add(error.reason)
        return error_response(error)

    async def respond(
        self, incoming: caller_requests.IncomingRequest
    ) -> web_response.StreamResponse:
        """See base class."""
        try:
            response = await self._handler.handle(incoming)
            outcome = "answered"
        except outcomes.GatewayError as error:
            response = error_response(error)
            outcome = error.reason
        except asyncio.CancelledError:
            self._meters.requests.add("cancelled")
            raise
        except Exception as error:
            logs.logger.exception("request failed")
            response = error_response(_internal_error(error))
            outcome = "internal"
        self._meters.requests.add(outcome)
        self._meters.durations.record(clocks.monotonic() - incoming.arrived)
        return response


class MalformedLog:
    """Counts malformed requests, and logs one of them a second.

    Clients can cause any number of them; the other lines have to remain.
    """

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
        self._logged_s = 0

    def record(self, status: int, error: Exception) -> None:
        """Records one."""
        self._meters.refusals.add("malformed")
        now_s = int(clocks.monotonic())
        if now_s != self._logged_s:
            self._logged_s = now_s
            logs.logger.info(
                "malformed request", status=status, error=repr(error)
            )


async def listen(
    make_protocol, address: str, step: str, backlog: int = _BACKLOG
) -> asyncio.Server:
    """Starts to listen at an address.

    Args:
        make_protocol: Returns the protocol of a new connection.
        address: `host:port`.
        step: What it is for, for errors.
        backlog: Connections that wait to be accepted.

    Raises:
        SettingsError: Listening failed, for example as the port is in use.
    """
    host, port = settings_lib.split_address(address)
    try:
        return await asyncio.get_running_loop().create_server(
            make_protocol, host, port, backlog=backlog, reuse_address=True
        )
    except OSError as error:
        raise errors.SettingsError(
            repr(error), step=step, peer=address
        ) from error


def error_response(error: outcomes.GatewayError) -> web_response.Response:
    """Returns the response to a request that no upstream answered."""
    body = _ErrorBody(error.reason, error.step, error.peer, str(error))
    response = web_response.Response(
        status=error.status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return response


def _internal_error(error: Exception) -> outcomes.UnknownOutcomeError:
    return outcomes.UnknownOutcomeError(repr(error), step="handle request")


class ReadinessServer:
    """Readiness endpoint: whether this VM should get new connections."""

    def __init__(self, listen: str, is_ready):
        self._listen = listen
        self._is_ready = is_ready

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            SettingsError: Listening failed, for example as the port is in use.
        """
        server = web_server.Server(
            self._handle, access_log=None, **bounded_server.LIMITS
        )
        await listen(
            bounded_server.BoundedServer(server),
            self._listen,
            "serve the ready page",
            bounded_server.BACKLOG,
        )

    async def _handle(
        self, _request: web_request.BaseRequest
    ) -> web_response.Response:
        return web_response.Response(status=200 if self._is_ready() else 503)
