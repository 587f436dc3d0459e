"""A request from its arrival to its answer: attempts, holds and retries."""

import random

from aiohttp import web

from swiftstile import clocks
from swiftstile.routing import bodies
from swiftstile.routing import forwarding
from swiftstile.routing import inbound as inbound_lib
from swiftstile.routing import outcomes
from swiftstile.routing import routes

__all__ = ["Dispatcher"]

# Attempts whose outcome is unknown, for a request that is repeatable.
_MAX_UNKNOWN = 2
# Attempts that servers refused because they were too busy.
_MAX_SHED = 4
# Between two attempts that servers refused: doubled each time, so that a held
# request costs few attempts.
_FIRST_WAIT_S = 0.05
_LONGEST_WAIT_S = 1.0


class _Progress:
    """What became of the attempts so far."""

    def __init__(self, hold_until: float):
        self.hold_until = hold_until
        self.unknown = 0
        self.shed = 0
        self.pauses = 0

    def next_wait_s(self) -> float:
        """Returns how long to wait before the next attempt, in seconds."""
        wait = min(_FIRST_WAIT_S * 2**self.pauses, _LONGEST_WAIT_S)
        self.pauses += 1
        return wait * random.uniform(0.75, 1.25)


class Dispatcher:
    """Answers the requests of one router."""

    def __init__(
        self, table: routes.RouteTable, forwarder: forwarding.Forwarder
    ):
        self._table = table
        self._forwarder = forwarder

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response for a caller.

        Raises:
            RequestError: There is no answer; says whether the request ran.
        """
        service, path = inbound_lib.split_path(request.raw_path)
        route = self._table.find(service)
        inbound = inbound_lib.parse(request, service, path, route.spec)
        body = await bodies.read(request, route.spec.max_body_bytes)
        hold_until = min(
            inbound.deadline, clocks.monotonic() + route.spec.hold_ms / 1000
        )
        progress = _Progress(hold_until)
        while True:
            try:
                choice = await route.choose(inbound, progress.hold_until)
                return await self._attempt(
                    request, inbound, body, route, choice
                )
            except outcomes.RequestError as error:
                if not self._may_repeat(error, inbound, body, progress):
                    raise self._final(error, progress) from error
                left = max(0.0, inbound.remaining_s())
                await route.pause(choice, min(left, progress.next_wait_s()))

    async def _attempt(self, request, inbound, body, route, choice):
        # From here on it counts as in flight: its key may move while it waits
        # for a slot, and must not before it was sent and answered.
        route.sent(choice)
        is_whole = True
        try:
            await choice.target.acquire(choice.end)
            try:
                is_whole = False
                response = await self._forwarder.send(
                    request, inbound, body, choice, route
                )
                is_whole = True
                return response
            except outcomes.NotStartedError:
                is_whole = True
                raise
            finally:
                choice.target.release()
        finally:
            route.ended(choice, is_whole)

    def _may_repeat(self, error, inbound, body, progress) -> bool:
        if inbound.remaining_s() <= 0 or not body.can_repeat:
            return False
        if isinstance(error, forwarding.ShedError):
            progress.shed += 1
            return progress.shed < _MAX_SHED
        if isinstance(error, outcomes.NotStartedError):
            return clocks.monotonic() < progress.hold_until
        if isinstance(error, outcomes.UnknownOutcomeError):
            progress.unknown += 1
            return inbound.repeatable and progress.unknown < _MAX_UNKNOWN
        return False

    def _final(self, error, progress) -> outcomes.RequestError:
        """An earlier attempt may have run, whatever became of the last."""
        is_refusal = error.outcome is outcomes.Outcome.NOT_RUN
        if progress.unknown and is_refusal:
            return outcomes.UnknownOutcomeError(
                str(error), step="repeat", peer=error.peer
            )
        return error
