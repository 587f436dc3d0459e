"""HTTP server of the router for its callers."""

import asyncio

from aiohttp import http_exceptions
from aiohttp import web
import msgspec

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile.routing import dispatch
from swiftstile.routing import outcomes

__all__ = ["ErrorBody", "Frontend"]

# Idle connections of callers are closed after this time.
_KEEPALIVE_S = 75.0
_HEADER_TOO_LARGE = 431


class ErrorBody(msgspec.Struct):
    """JSON body of an error response."""

    reason: str
    outcome: str
    step: str
    peer: str
    message: str


class _Connection(web.RequestHandler):
    """A caller's connection; its parse errors also have an outcome header."""

    def handle_error(self, request, status=500, exc=None, message=None):
        is_long = isinstance(exc, http_exceptions.LineTooLong)
        status = _HEADER_TOO_LARGE if is_long else status
        response = super().handle_error(request, status, exc, message)
        # A request that can't be parsed hasn't been sent to any server.
        outcome = outcomes.Outcome.NOT_RUN.value
        response.headers[outcomes.OUTCOME_HEADER] = outcome
        return response


class _Server(web.Server):
    """Server that handles each connection by `_Connection`."""

    def __call__(self) -> web.RequestHandler:
        return _Connection(self, loop=self._loop, **self._kwargs)


class Frontend:
    """Serves callers over HTTP.

    Attributes:
        in_flight: Number of requests without an answer yet.
    """

    def __init__(
        self,
        settings: settings_lib.RouterSettings,
        dispatcher: dispatch.Dispatcher,
        meters: metrics.Meters,
    ):
        self._settings = settings
        self._dispatcher = dispatcher
        self._meters = meters
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._is_draining = False
        self.in_flight = 0

    async def start(self) -> None:
        """Starts to listen for connections."""
        server = _Server(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
            max_line_size=self._settings.max_header_bytes,
            max_field_size=self._settings.max_header_bytes,
        )
        self._runner = web.ServerRunner(
            server, shutdown_timeout=self._settings.drain_timeout_s
        )
        await self._runner.setup()
        host, port = settings_lib.split_address(self._settings.listen)
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()

    async def drain(self) -> None:
        """Stops listening and finishes the requests in flight."""
        self._is_draining = True
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        started = clocks.monotonic()
        self.in_flight += 1
        try:
            return await self._respond(request, started)
        finally:
            self.in_flight -= 1

    async def _respond(self, request, started) -> web.StreamResponse:
        try:
            response = await self._dispatcher.answer(request)
            outcome = outcomes.Outcome.ANSWERED
        except outcomes.RequestError as error:
            response = self._error_response(request, error)
            outcome = error.outcome
            self._meters.refusals.add(error.reason)
        except asyncio.CancelledError:
            self._meters.requests.add("cancelled")
            raise
        except Exception as error:
            logs.logger.exception("request failed")
            response = self._error_response(request, _internal(error))
            outcome = outcomes.Outcome.UNKNOWN
        if self._is_draining:
            response.force_close()
        self._meters.requests.add(outcome.value)
        self._meters.durations.record(clocks.monotonic() - started)
        return response

    def _error_response(self, request, error) -> web.Response:
        body = ErrorBody(
            error.reason,
            error.outcome.value,
            error.step,
            error.peer,
            str(error),
        )
        response = web.Response(
            status=error.status,
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers={outcomes.OUTCOME_HEADER: error.outcome.value},
        )
        if error.retry_after_s is not None:
            response.headers["Retry-After"] = str(error.retry_after_s)
        if request.body_exists and not request.content.is_eof():
            # Otherwise the rest of the body would be parsed as a new request.
            response.force_close()
        return response


def _internal(error: Exception) -> outcomes.UnknownOutcomeError:
    return outcomes.UnknownOutcomeError(repr(error), step="handle request")
