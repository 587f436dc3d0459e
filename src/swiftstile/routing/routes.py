"""How a request of one service finds its target."""

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

# Between two looks at a key whose owner can't be reached, if nothing changes.
_HOLD_LOOK_S = 0.1
# Ends a request this long before the route lease, for its answer's way back.
_LEASE_MARGIN_S = 0.02
# Less of a route lease than this isn't worth starting a request on.
_LEAST_LEASE_S = 0.1


class Choice(msgspec.Struct, frozen=True):
    """Where one attempt goes.

    Attributes:
        target: The server.
        fence: Fence of the key's slice; 0 for a shared service.
        epoch: Epoch of the assignment; 0 for a shared service.
        version: Version of the assignment; 0 for a shared service.
        end: When the attempt is given up, on `clocks.monotonic`.
    """

    target: targets_lib.Target
    fence: ids.Fence
    epoch: ids.Epoch
    version: int
    end: float


class ServiceRoute(abc.ABC):
    """The route of one service.

    Attributes:
        spec: Rules of the service.
        targets: Its servers.
    """

    def __init__(self, spec: model.ServiceSpec):
        self.spec = spec
        self.targets = targets_lib.Targets(spec.slots, spec.queue_limit)

    @abc.abstractmethod
    async def choose(
        self, inbound: inbound_lib.Inbound, hold_until: float
    ) -> Choice:
        """Returns where the next attempt goes; holds the request meanwhile.

        Args:
            inbound: The request.
            hold_until: When to stop holding, on `clocks.monotonic`.

        Raises:
            NoOwnerError: There was no target until then.
        """

    @abc.abstractmethod
    async def pause(self, choice: Choice, wait_s: float) -> None:
        """Waits after a refused attempt until another one makes sense."""

    def sent(self, choice: Choice) -> None:
        """Notes that an attempt is sent as soon as its server has room."""

    @contextlib.contextmanager
    def watching(
        self,
        choice: Choice,
        inbound: inbound_lib.Inbound,
        limit: asyncio.Timeout,
    ) -> collections.abc.Iterator[None]:
        """Until the answer begins, may end the attempt early by its limit."""
        del choice, inbound, limit
        yield

    def ended(self, choice: Choice, is_whole: bool) -> None:
        """Notes that an attempt ended, with its whole answer or not."""


class KeyedRoute(ServiceRoute):
    """Each key goes to its owner.

    Attributes:
        owners: Who owns which keys.
    """

    def __init__(self, spec: model.ServiceSpec, table: owners.OwnerTable):
        super().__init__(spec)
        self.owners = table

    async def choose(
        self, inbound: inbound_lib.Inbound, hold_until: float
    ) -> Choice:
        """See base class."""
        while True:
            choice = self._choice(inbound)
            if choice is not None:
                return choice
            left = hold_until - clocks.monotonic()
            if left <= 0:
                raise outcomes.NoOwnerError(
                    "no owner in time", step="find owner", peer=inbound.key
                )
            await self.owners.wait_change(min(left, _HOLD_LOOK_S))

    async def pause(self, choice: Choice, wait_s: float) -> None:
        """See base class."""
        if self.owners.version == choice.version:
            await self.owners.wait_change(wait_s)

    @contextlib.contextmanager
    def watching(
        self,
        choice: Choice,
        inbound: inbound_lib.Inbound,
        limit: asyncio.Timeout,
    ) -> collections.abc.Iterator[None]:
        """See base class. Only what is repeatable is ended early."""
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

    def _choice(self, inbound: inbound_lib.Inbound) -> Choice | None:
        assignment = self.owners.assignment
        if assignment is None:
            return None
        piece = assignment.at(inbound.position)
        target = self.targets.by_server.get(piece.server)
        if target is None or target.is_penalised():
            return None
        end = self._end(inbound)
        if end is None:
            return None
        self.owners.sketch.note(piece.start, inbound.position)
        return Choice(
            target, piece.fence, assignment.epoch, assignment.version, end
        )

    def _end(self, inbound: inbound_lib.Inbound) -> float | None:
        """When an attempt must end; None if none may start."""
        return inbound.deadline


class LeasedRoute(KeyedRoute):
    """A keyed route whose servers don't check fences.

    It sends only under a route lease, and ends each attempt inside it.
    """

    def _end(self, inbound: inbound_lib.Inbound) -> float | None:
        lease_end = self.owners.lease_until - _LEASE_MARGIN_S
        if lease_end - clocks.monotonic() < _LEAST_LEASE_S:
            return None
        return min(inbound.deadline, lease_end)

    def sent(self, choice: Choice) -> None:
        """See base class."""
        self.owners.enter(choice.version)

    def ended(self, choice: Choice, is_whole: bool) -> None:
        """See base class.

        Without its whole answer a request may run until its deadline.
        """
        left = 0.0 if is_whole else choice.end - clocks.monotonic()
        if left <= 0:
            self.owners.leave(choice.version)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(left, self.owners.leave, choice.version)


class SharedRoute(ServiceRoute):
    """Any server will do."""

    def __init__(self, spec: model.ServiceSpec):
        super().__init__(spec)
        self._policy = balancing.policy(spec.balancing)

    async def choose(
        self, inbound: inbound_lib.Inbound, hold_until: float
    ) -> Choice:
        """See base class."""
        while True:
            listed = list(self.targets.by_server.values())
            usable = [t for t in listed if t.is_answering()] or listed
            if usable:
                target = self._policy.choose(usable)
                none = ids.Fence(0), ids.Epoch(0), 0
                return Choice(target, *none, inbound.deadline)
            left = hold_until - clocks.monotonic()
            if left <= 0:
                raise outcomes.NoOwnerError(
                    "no server", step="choose server", peer=str(inbound.service)
                )
            await asyncio.sleep(min(left, _HOLD_LOOK_S))

    async def pause(self, choice: Choice, wait_s: float) -> None:
        """See base class."""
        await asyncio.sleep(wait_s)


class RouteTable:
    """All routes of a router, by service."""

    def __init__(self):
        self.by_service: dict[ids.ServiceId, ServiceRoute] = {}

    def find(self, service: ids.ServiceId) -> ServiceRoute:
        """Returns the route of a service.

        Raises:
            UnknownServiceError: There is none.
        """
        route = self.by_service.get(service)
        if route is None:
            raise outcomes.UnknownServiceError(
                "no such organisation or service",
                step="find service",
                peer=str(service),
            )
        return route
