"""Routes, which choose the server for each request of a service."""

import abc
import asyncio
import collections.abc
import contextlib

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile.bundles import model
from swiftstile.routing import balancing
from swiftstile.routing import inbound as inbound_lib
from swiftstile.routing import outcomes
from swiftstile.routing import owners
from swiftstile.routing import targets as targets_lib

__all__ = [
    "Choice",
    "KeyedRoute",
    "LeasedRoute",
    "RouteTable",
    "ServiceRoute",
    "SharedRoute",
]

# Interval at which a held request checks again whether its key has a reachable
# owner, if no update wakes it.
_HOLD_POLL_S = 0.1
# An attempt ends this long before the route lease does, for the one-way latency
# of its answer.
_LEASE_MARGIN_S = 0.02
# No attempt is started if less than this is left of the route lease.
_MIN_LEASE_S = 0.1


class Choice(msgspec.Struct, frozen=True):
    """Destination and deadline of one attempt.

    Attributes:
        target: The server.
        fence: Fence of the key's slice; 0 for a shared service.
        epoch: Epoch of the assignment; 0 for a shared service.
        version: Version of the assignment; 0 for a shared service.
        deadline: When the attempt is given up, on `clocks.monotonic`.
    """

    target: targets_lib.Target
    fence: ids.Fence
    epoch: ids.Epoch
    version: int
    deadline: float


class ServiceRoute(abc.ABC):
    """The route of one service.

    Attributes:
        spec: Settings of the service.
        targets: Servers of the service.
    """

    def __init__(self, spec: model.ServiceSpec):
        self.spec = spec
        self.targets = targets_lib.Targets(spec.slots, spec.queue_limit)

    @abc.abstractmethod
    async def choose(
        self, inbound: inbound_lib.InboundRequest, hold_until: float
    ) -> Choice:
        """Returns the destination of the next attempt.

        Holds the request while there is none.

        Args:
            inbound: The request.
            hold_until: When to stop holding, on `clocks.monotonic`.

        Raises:
            NoOwnerError: There was no destination until then.
        """

    @abc.abstractmethod
    async def wait_before_retry(self, choice: Choice, wait_s: float) -> None:
        """Waits before the next attempt, up to `wait_s` seconds."""

    def attempt_started(self, choice: Choice) -> None:
        """Records an attempt, before it waits for a free slot."""

    @contextlib.contextmanager
    def watch_attempt(
        self,
        choice: Choice,
        inbound: inbound_lib.InboundRequest,
        limit: asyncio.Timeout,
    ) -> collections.abc.Iterator[None]:
        """Lets the route end an attempt early, until its answer begins."""
        del choice, inbound, limit
        yield

    def attempt_ended(self, choice: Choice, is_complete: bool) -> None:
        """Records the end of an attempt.

        Args:
            choice: Destination of the attempt.
            is_complete: Whether the request can no longer run: it was answered
                in full or wasn't started.
        """


class KeyedRoute(ServiceRoute):
    """Route of a keyed service: each request goes to the owner of its key.

    Attributes:
        owners: Owners of the keys.
    """

    def __init__(self, spec: model.ServiceSpec, table: owners.OwnerTable):
        super().__init__(spec)
        self.owners = table

    async def choose(
        self, inbound: inbound_lib.InboundRequest, hold_until: float
    ) -> Choice:
        """See base class."""
        while True:
            choice = self._try_choose(inbound)
            if choice is not None:
                return choice
            left = hold_until - clocks.monotonic()
            if left <= 0:
                raise outcomes.NoOwnerError(
                    "no owner in time", step="find owner", peer=inbound.key
                )
            await self.owners.wait_change(min(left, _HOLD_POLL_S))

    async def wait_before_retry(self, choice: Choice, wait_s: float) -> None:
        """See base class."""
        if self.owners.version == choice.version:
            await self.owners.wait_change(wait_s)

    @contextlib.contextmanager
    def watch_attempt(
        self,
        choice: Choice,
        inbound: inbound_lib.InboundRequest,
        limit: asyncio.Timeout,
    ) -> collections.abc.Iterator[None]:
        """See base class. Only repeatable requests are ended early."""
        if not inbound.repeatable:
            yield
            return
        server = choice.target.server
        end = limit.when()
        ticket = self.owners.watch_attempt(inbound.position, server, limit)
        try:
            yield
        finally:
            self.owners.forget_attempt(ticket)
            if not limit.expired():
                limit.reschedule(end)

    def _try_choose(self, inbound: inbound_lib.InboundRequest) -> Choice | None:
        assignment = self.owners.assignment
        if assignment is None:
            return None
        piece = assignment.at(inbound.position)
        target = self.targets.by_server.get(piece.server)
        if target is None or target.is_penalised():
            return None
        deadline = self._attempt_deadline(inbound)
        if deadline is None:
            return None
        self.owners.sketch.record(piece.start, inbound.position)
        return Choice(
            target, piece.fence, assignment.epoch, assignment.version, deadline
        )

    def _attempt_deadline(
        self, inbound: inbound_lib.InboundRequest
    ) -> float | None:
        """Returns the deadline of an attempt; None if none may start."""
        return inbound.deadline


class LeasedRoute(KeyedRoute):
    """Keyed route to servers that don't check fences.

    Attempts are sent only under a route lease and end before it does.
    """

    def _attempt_deadline(
        self, inbound: inbound_lib.InboundRequest
    ) -> float | None:
        lease_end = self.owners.lease_until - _LEASE_MARGIN_S
        if lease_end - clocks.monotonic() < _MIN_LEASE_S:
            return None
        return min(inbound.deadline, lease_end)

    def attempt_started(self, choice: Choice) -> None:
        """See base class."""
        self.owners.request_started(choice.version)

    def attempt_ended(self, choice: Choice, is_complete: bool) -> None:
        """See base class.

        Without a complete answer the request may run until its deadline.
        """
        left = 0.0 if is_complete else choice.deadline - clocks.monotonic()
        if left <= 0:
            self.owners.request_ended(choice.version)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(left, self.owners.request_ended, choice.version)


class SharedRoute(ServiceRoute):
    """Route of a shared service: any server can answer a request."""

    def __init__(self, spec: model.ServiceSpec):
        super().__init__(spec)
        self._policy = balancing.policy(spec.balancing)

    async def choose(
        self, inbound: inbound_lib.InboundRequest, hold_until: float
    ) -> Choice:
        """See base class."""
        while True:
            listed = list(self.targets.by_server.values())
            usable = [t for t in listed if t.is_responsive()] or listed
            if usable:
                target = self._policy.choose(usable)
                none = ids.Fence(0), ids.Epoch(0), 0
                return Choice(target, *none, inbound.deadline)
            left = hold_until - clocks.monotonic()
            if left <= 0:
                raise outcomes.NoOwnerError(
                    "no server", step="choose server", peer=str(inbound.service)
                )
            await asyncio.sleep(min(left, _HOLD_POLL_S))

    async def wait_before_retry(self, choice: Choice, wait_s: float) -> None:
        """See base class."""
        await asyncio.sleep(wait_s)


class RouteTable:
    """Routes of a router by service."""

    def __init__(self):
        self.by_service: dict[ids.ServiceId, ServiceRoute] = {}

    def find(self, service: ids.ServiceId) -> ServiceRoute:
        """Returns the route of a service.

        Raises:
            UnknownServiceError: The service has no route.
        """
        route = self.by_service.get(service)
        if route is None:
            raise outcomes.UnknownServiceError(
                "no such organisation or service",
                step="find service",
                peer=str(service),
            )
        return route
