"""Requests received from callers, and the interface of their handler."""

import abc
import asyncio
import collections.abc

from aiohttp import web_request
from aiohttp import web_response

from swiftstile.gateway import forward_headers

__all__ = ["IncomingRequest", "PendingRequest", "Responder"]


class IncomingRequest:
    """A received request.

    Attributes:
        request: The request.
        arrived: When its head was read, on the monotonic clock. That of a
            forwarded request was read by the VM that forwarded it.
        origin: What that VM states about it; None if a caller sent it.
    """

    def __init__(
        self,
        request: web_request.BaseRequest,
        arrived: float,
        wait_for_turn: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
        origin: forward_headers.Origin | None = None,
    ):
        self.request = request
        self.arrived = arrived
        self.origin = origin
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
        is_leaving: Whether connections are closed once the requests in progress
            have been answered.
    """

    is_leaving = False

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
    """

    __slots__ = (
        "_is_concurrent",
        "arrived",
        "error",
        "is_last",
        "payload",
        "request",
        "task",
        "turn_reached",
    )

    def __init__(self, request, payload, arrived: float, error, is_last: bool):
        self.request = request
        self.payload = payload
        self.arrived = arrived
        self.error = error
        self.is_last = is_last
        self.task: asyncio.Task[web_response.StreamResponse] | None = None
        self.turn_reached: asyncio.Future[None] | None = None
        self._is_concurrent: bool | None = None

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
