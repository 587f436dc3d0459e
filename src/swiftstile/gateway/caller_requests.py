"""Requests received from callers, and the interface of their handler."""

import abc
import asyncio
import collections.abc

from aiohttp import streams
from aiohttp import web_request
from aiohttp import web_response

from swiftstile.gateway import forward_headers
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import request_holds

__all__ = ["IncomingRequest", "PendingRequest", "Responder"]


class IncomingRequest:
    """A received request.

    Attributes:
        request: The request.
        arrived: When its head was read, on the monotonic clock. That of a
            forwarded request was read by the VM that forwarded it.
        origin: What that VM states about it; None if a caller sent it.
        hold: What this process holds of it.
    """

    def __init__(
        self,
        request: web_request.BaseRequest,
        arrived: float,
        wait_for_turn: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
        origin: forward_headers.Origin | None = None,
        hold: request_holds.RequestHold | None = None,
    ):
        self.request = request
        self.arrived = arrived
        self.origin = origin
        self.hold = hold or request_holds.RequestHold()
        self._wait_for_turn = wait_for_turn

    async def wait_for_turn(self) -> None:
        """Waits until all earlier requests of the connection are answered.

        Must be awaited before a streamed response is written. Other responses
        are written by the connection.
        """
        await self._wait_for_turn()


class Responder(abc.ABC):
    """Handles the requests of callers.

    Attributes:
        is_leaving: Whether connections close once their requests are answered.
    """

    is_leaving = False

    @property
    def max_header_bytes(self) -> int:
        """Longest header of a request, in bytes."""
        return model.Limits().max_header_bytes

    @abc.abstractmethod
    async def respond(
        self, incoming: IncomingRequest
    ) -> web_response.StreamResponse:
        """Returns the response to a request, also in case of errors."""

    @abc.abstractmethod
    def respond_malformed(
        self, error: Exception
    ) -> web_response.StreamResponse:
        """Returns the response to a request that can't be parsed."""

    def refuse(
        self, error: outcomes.GatewayError
    ) -> web_response.StreamResponse:
        """Returns the response to a request that isn't handled."""
        return web_response.Response(status=error.status, text=error.reason)

    @abc.abstractmethod
    def may_run_concurrently(self, request: web_request.BaseRequest) -> bool:
        """Whether a request may run concurrently with earlier ones."""


class PendingRequest:
    """A request of a connection that hasn't been answered yet.

    Attributes:
        request: The request.
        arrived: When its head was read, on the monotonic clock.
        payload: Its body.
        error: The parser's error, if it is malformed.
        is_last: Whether the connection is closed after its response.
        task: Handles it, if it was started before its turn.
        hold: What this process holds of it.
        has_response: Whether its response is known.
        has_started: Whether handling it has started.
    """

    __slots__ = (
        "_is_concurrent",
        "arrived",
        "error",
        "has_response",
        "has_started",
        "hold",
        "is_last",
        "payload",
        "request",
        "task",
        "turn_reached",
    )

    def __init__(
        self,
        request: web_request.BaseRequest,
        payload: streams.StreamReader,
        arrived: float,
        error: Exception | None,
        is_last: bool,
        hold: request_holds.RequestHold,
    ):
        self.hold = hold
        self.has_response = False
        self.has_started = False
        self.request = request
        self.payload = payload
        self.arrived = arrived
        self.error = error
        self.is_last = is_last
        self.task: asyncio.Task[web_response.StreamResponse] | None = None
        self.turn_reached: asyncio.Future[None] | None = None
        self._is_concurrent: bool | None = None

    @property
    def can_refuse(self) -> bool:
        """Whether it may still be refused as a request that never runs."""
        is_done = self.task is not None and self.task.done()
        return self.hold.can_refuse and not self.has_response and not is_done

    def note_turn(self) -> None:
        """Records that all earlier requests of the connection are answered."""
        if self.turn_reached is not None and not self.turn_reached.done():
            self.turn_reached.set_result(None)

    def cancel(self) -> None:
        """Stops handling it and frees what it holds."""
        if self.task is not None:
            self.task.cancel()
            # It keeps the frames that refer to this object.
            self.task = None
        self.hold.discard()

    def may_run_concurrently(self, responder: Responder) -> bool:
        """Whether it may run concurrently with earlier ones."""
        if self._is_concurrent is None:
            self._is_concurrent = (
                self.error is None
                and responder.may_run_concurrently(self.request)
            )
        return self._is_concurrent

    def response_bytes(self) -> int:
        """Returns the size of its response, or 0 if that isn't ready."""
        task = self.task
        if task is None or not task.done() or task.cancelled():
            return 0
        body = getattr(task.result(), "body", None)
        return len(body) if isinstance(body, bytes) else 0
