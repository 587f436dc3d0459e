"""Handles requests that other VMs forward, as they reach no upstream.

Only registered VMs are served. The requests and bodies in progress are limited:
what a VM can't take is refused at once, so that another one is asked.
"""

import asyncio

from aiohttp import web_request
from aiohttp import web_response

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import forward_headers
from swiftstile.gateway import frontend
from swiftstile.gateway import gossip
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import model
from swiftstile.gateway import open_connections
from swiftstile.gateway import outcomes
from swiftstile.gateway import peer_limits
from swiftstile.gateway import planned_stop
from swiftstile.gateway import request_bodies

__all__ = ["ForwardListener"]

# Requests of other VMs in progress. This VM's own callers need its processor
# time as well.
MAX_REQUESTS = 96
# Announced lengths of their bodies together; what is held of them has a limit
# of its own.
MAX_BODY_BYTES = 48 << 20
# Counted for a body of unknown length: what is buffered of it.
_UNKNOWN_BODY_BYTES = request_bodies.MAX_BUFFERED_BYTES
# Length of the header fields that other VMs add.
_FORWARD_HEADER_BYTES = 4096
# Connections of other VMs that are idle for longer are closed.
IDLE_TIMEOUT_S = 10.0
_SWEEP_INTERVAL_S = 1.0


class ForwardListener(caller_requests.Responder):
    """Serves other VMs of the deployment.

    Args:
        listen: `host:port` to listen at.
        handler: Handles the requests.
        peers: The registered VMs.
        meters: Counts requests by result.
        stop: The stop of this process.
        limits: Limits of connections and memory.
    """

    def __init__(
        self,
        listen: str,
        handler: handler_lib.RequestHandler,
        peers: gossip.Peers,
        meters: metrics.Meters,
        stop: planned_stop.PlannedStop,
        limits: peer_limits.ListenerLimits | None = None,
    ):
        self._listen = listen
        self._stop = stop
        self._handler = handler
        self._peers = peers
        self._meters = meters
        self._limits = limits or peer_limits.unlimited()
        self._connections: open_connections.ConnectionTable[
            callers.CallerConnection
        ] = self._limits.connections
        self._listener: asyncio.Server | None = None
        self._malformed = frontend.MalformedLog(meters)
        self._requests = 0
        self._body_bytes = 0

    @property
    def is_leaving(self) -> bool:
        """See base class."""
        return self._stop.has_begun

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._requests

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            SettingsError: Listening failed, for example as the port is in use.
        """
        loop = asyncio.get_running_loop()
        self._listener = await frontend.listen(
            lambda: callers.CallerConnection(
                loop, self, self._connections, self._limits.memory
            ),
            self._listen,
            "listen for forwarded requests",
            self._limits.backlog,
        )

    def stop_listening(self) -> None:
        """Refuses new connections and closes those without a request."""
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections:
            if not connection.pending_count and not connection.is_lingering:
                connection.close()

    async def run(self) -> None:
        """Closes idle connections until cancelled."""
        while True:
            await pacing.sleep_aligned(_SWEEP_INTERVAL_S)
            now = clocks.monotonic()
            for connection in self._connections:
                if connection.has_stopped_reading(IDLE_TIMEOUT_S, now):
                    connection.abort()
                elif connection.has_timed_out(
                    IDLE_TIMEOUT_S, IDLE_TIMEOUT_S, now
                ):
                    connection.close()

    def may_run_concurrently(self, request: web_request.BaseRequest) -> bool:
        """See base class."""
        return False

    def respond_malformed(
        self, error: Exception
    ) -> web_response.StreamResponse:
        """See base class."""
        self._malformed.record(400, error)
        return web_response.Response(status=400, text="malformed request")

    @property
    def max_header_bytes(self) -> int:
        """See base class."""
        config = self._handler.config
        limits = model.Limits() if config is None else config.limits
        return limits.max_header_bytes + _FORWARD_HEADER_BYTES

    def refuse(
        self, error: outcomes.GatewayError
    ) -> web_response.StreamResponse:
        """See base class."""
        self._meters.refusals.add(error.reason)
        response = frontend.error_response(error)
        response.headers[forward_headers.OUTCOME_HEADER] = error.reason
        return response

    async def respond(
        self, incoming: caller_requests.IncomingRequest
    ) -> web_response.StreamResponse:
        """See base class."""
        body_bytes = _body_bytes(incoming.request)
        self._requests += 1
        self._body_bytes += body_bytes
        try:
            response = await self._handle(incoming)
        except outcomes.GatewayError as error:
            response = frontend.error_response(error)
            response.headers[forward_headers.OUTCOME_HEADER] = error.reason
            self._meters.forwards.add(f"received-{error.reason}")
        except Exception as error:
            logs.logger.exception("forwarded request failed")
            problem = outcomes.UnknownOutcomeError(
                repr(error), step="handle forwarded request"
            )
            response = frontend.error_response(problem)
            response.headers[forward_headers.OUTCOME_HEADER] = problem.reason
            self._meters.forwards.add("received-internal")
        else:
            self._meters.forwards.add("received-answered")
        finally:
            self._requests -= 1
            self._body_bytes -= body_bytes
        return response

    async def _handle(
        self, incoming: caller_requests.IncomingRequest
    ) -> web_response.StreamResponse:
        request = incoming.request
        origin = forward_headers.parse(request.headers)
        self._check_vm(origin.run, request.remote or "")
        if self._requests > MAX_REQUESTS or self._body_bytes > MAX_BODY_BYTES:
            raise outcomes.ForwardLimitError(
                f"{self._requests} requests, {self._body_bytes} bytes",
                step="accept",
            )
        self._check_config(origin.config)
        kept = forward_headers.end_to_end(list(request.headers.items()))
        forwarded = caller_requests.IncomingRequest(
            request.clone(headers=kept, remote=origin.caller),
            incoming.arrived - origin.age_s,
            incoming.wait_for_turn,
            origin,
            incoming.hold,
        )
        return await self._handler.handle(forwarded)

    def _check_vm(self, run: str, host: str) -> None:
        peer = self._peers.find_run(run)
        if peer is None or peer.row.host != host:
            raise outcomes.UnknownVmError(
                f"run {run!r} at {host} isn't registered", step="accept"
            )

    def _check_config(self, version: model.ConfigVersion) -> None:
        config = self._handler.config
        if config is None or config.version < version:
            raise outcomes.StaleConfigError(
                f"version {version} isn't in force yet", step="accept"
            )


def _body_bytes(request: web_request.BaseRequest) -> int:
    if not request.body_exists:
        return 0
    length = request.content_length
    return _UNKNOWN_BODY_BYTES if length is None else length
