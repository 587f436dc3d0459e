"""Requests received from callers, and the interface of their handler."""

import abc
import asyncio
import collections.abc

from aiohttp import web_request
from aiohttp import web_response

__all__ = ["Arrival", "Responder", "Unanswered"]


class Arrival:
    """A received request.

    Attributes:
        request: The request.
        arrived: When its head was read, on the monotonic clock.
    """

    def __init__(
        self,
        request: web_request.BaseRequest,
        arrived: float,
        turn: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ):
        self.request = request
        self.arrived = arrived
        self._turn = turn

    async def turn(self) -> None:
        """Waits until all earlier requests of the connection are answered.

        Must be awaited before a streamed response is written. Other responses
        are written by the connection.
        """
        await self._turn()


class Responder(abc.ABC):
    """Handles the requests of callers.

    Attributes:
        is_leaving: Whether connections are closed once the requests in progress
            have been answered.
    """

    is_leaving = False

    @abc.abstractmethod
    async def respond(self, arrival: Arrival) -> web_response.StreamResponse:
        """Returns the response to a request, also in case of errors."""

    @abc.abstractmethod
    def respond_malformed(
        self, error: Exception
    ) -> web_response.StreamResponse:
        """Returns the response to a request that can't be parsed."""

    @abc.abstractmethod
    def may_overlap(self, request: web_request.BaseRequest) -> bool:
        """Whether a request may run concurrently with earlier ones."""


class Unanswered:
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
        "_overlaps",
        "arrived",
        "error",
        "is_last",
        "payload",
        "request",
        "task",
        "turn",
    )

    def __init__(self, request, payload, arrived: float, error, is_last: bool):
        self.request = request
        self.payload = payload
        self.arrived = arrived
        self.error = error
        self.is_last = is_last
        self.task: asyncio.Task[web_response.StreamResponse] | None = None
        self.turn: asyncio.Future[None] | None = None
        self._overlaps: bool | None = None

    def may_overlap(self, responder: Responder) -> bool:
        """Whether it may run concurrently with earlier ones."""
        if self._overlaps is None:
            self._overlaps = self.error is None and responder.may_overlap(
                self.request
            )
        return self._overlaps

    def held_bytes(self) -> int:
        """Returns the size of its response, or 0 if that isn't ready."""
        task = self.task
        if task is None or not task.done() or task.cancelled():
            return 0
        body = getattr(task.result(), "body", None)
        return len(body) if isinstance(body, bytes) else 0
