"""Dispatch of requests: routing, holding, attempts and retries."""

import random

from aiohttp import web

from swiftstile import clocks
from swiftstile.routing import bodies
from swiftstile.routing import forwarding
from swiftstile.routing import inbound as inbound_lib
from swiftstile.routing import outcomes
from swiftstile.routing import routes

__all__ = ["Dispatcher"]

# A repeatable request fails at this number of attempts with unknown outcome.
_MAX_UNKNOWN = 2
# A request fails at this number of attempts rejected by overloaded servers.
_MAX_REJECTED = 4
# Delay between attempts. It doubles each time, so that a held request makes few
# attempts.
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0


class _AttemptHistory:
    """Outcomes of the attempts so far, and the back-off between them."""

    def __init__(self, hold_until: float):
        self.hold_until = hold_until
        self.unknown = 0
        self.rejected = 0
        self.backoffs = 0

    def next_backoff_s(self) -> float:
        """Returns how long to wait before the next attempt, in seconds."""
        wait = min(_MIN_BACKOFF_S * 2**self.backoffs, _MAX_BACKOFF_S)
        self.backoffs += 1
        return wait * random.uniform(0.75, 1.25)


class Dispatcher:
    """Dispatches the requests of one router."""

    def __init__(
        self, table: routes.RouteTable, forwarder: forwarding.Forwarder
    ):
        self._table = table
        self._forwarder = forwarder

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response for a caller.

        Raises:
            RequestError: There is no answer. Its `outcome` says whether the
                request ran.
        """
        service, path = inbound_lib.split_path(request.raw_path)
        route = self._table.find(service)
        inbound = inbound_lib.parse(request, service, path, route.spec)
        body = await bodies.read(request, route.spec.max_body_bytes)
        hold_until = min(
            inbound.deadline, clocks.monotonic() + route.spec.hold_ms / 1000
        )
        history = _AttemptHistory(hold_until)
        while True:
            try:
                choice = await route.choose(inbound, history.hold_until)
                return await self._attempt(
                    request, inbound, body, route, choice
                )
            except outcomes.RequestError as error:
                if not self._may_retry(error, inbound, body, history):
                    raise self._final_error(error, history) from error
                left = max(0.0, inbound.remaining_s())
                await route.wait_before_retry(
                    choice, min(left, history.next_backoff_s())
                )

    async def _attempt(self, request, inbound, body, route, choice):
        # Counted as in flight before it waits for a slot, so that its key isn't
        # assigned to another server meanwhile: the request would still be sent
        # to the former owner.
        route.attempt_started(choice)
        is_complete = True
        try:
            await choice.target.acquire(choice.deadline)
            try:
                is_complete = False
                response = await self._forwarder.send(
                    request, inbound, body, choice, route
                )
                is_complete = True
                return response
            except outcomes.NotStartedError:
                is_complete = True
                raise
            finally:
                choice.target.release()
        finally:
            route.attempt_ended(choice, is_complete)

    def _may_retry(self, error, inbound, body, history) -> bool:
        if inbound.remaining_s() <= 0 or not body.can_resend:
            return False
        if isinstance(error, forwarding.ServerOverloadedError):
            history.rejected += 1
            return history.rejected < _MAX_REJECTED
        if isinstance(error, outcomes.NotStartedError):
            return clocks.monotonic() < history.hold_until
        if isinstance(error, outcomes.UnknownOutcomeError):
            history.unknown += 1
            return inbound.repeatable and history.unknown < _MAX_UNKNOWN
        return False

    def _final_error(self, error, history) -> outcomes.RequestError:
        """Returns the error for the caller.

        The outcome is unknown if that of any attempt is, even if the last
        attempt didn't run.
        """
        is_refusal = error.outcome is outcomes.Outcome.NOT_RUN
        if history.unknown and is_refusal:
            return outcomes.UnknownOutcomeError(
                str(error), step="repeat", peer=error.peer
            )
        return error
