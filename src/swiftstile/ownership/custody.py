"""Who may still serve a slice, so that it mustn't be given to another yet."""

import abc
import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile import settings as settings_lib
from swiftstile.ownership import grants
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import sessions
from swiftstile.ownership import slices
from swiftstile.peers import messages

__all__ = ["CLOCK_ERROR_S", "Custody", "FencedCustody", "RoutedCustody"]

# Largest difference between the wall clocks of two machines. Servers that
# don't check fences keep deadlines by their wall clock.
CLOCK_ERROR_S = 0.1


class Custody(abc.ABC):
    """Knows when a slice is free to be given to another server.

    Attributes:
        by_server: The session of each server.
    """

    def __init__(
        self,
        holder: holder_lib.Holder,
        control: grants.UpstreamControl,
        settings: settings_lib.CoordinatorSettings,
        changed: asyncio.Event,
    ):
        self.by_server: dict[ids.ServerId, sessions.ServerSession] = {}
        self._holder = holder
        self._control = control
        self._settings = settings
        self._changed = changed

    @abc.abstractmethod
    def open(
        self, server: ids.ServerId, address: str
    ) -> sessions.ServerSession:
        """Returns a new session with a server."""

    @abc.abstractmethod
    def publish(
        self, assignment: slices.Assignment, withheld: set[int]
    ) -> None:
        """Makes an assignment effective, without the withheld slices."""

    @abc.abstractmethod
    def withdraw(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """Returns the moves to write before these slices can become free."""

    @abc.abstractmethod
    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """Returns whether nobody may serve a slice any more."""

    @abc.abstractmethod
    def takeover_wait_s(self, released: bool) -> float:
        """Returns how long after a take-over the predecessor has a say."""

    def expire(self, now: float) -> None:
        """Forgets what has lapsed."""

    def is_effective(self, servers: set[ids.ServerId]) -> bool:
        """Returns whether servers that answer know what they own now."""
        del servers
        return True

    def note_watch(self, watch: messages.WatchRequest) -> None:
        """Notes what a router says of itself."""

    def extend_routes(self, watch: messages.WatchRequest) -> float:
        """Extends a router's lease.

        Returns:
            Its end, on `clocks.monotonic`; 0 where routers need none.
        """
        del watch
        return 0.0


class FencedCustody(Custody):
    """Servers that accept fenced grants hold the leases themselves."""

    def open(
        self, server: ids.ServerId, address: str
    ) -> sessions.ServerSession:
        """See base class."""
        return sessions.FencedSession(
            server,
            address,
            self._control,
            self._settings,
            self._changed,
            holder=self._holder,
        )

    def publish(
        self, assignment: slices.Assignment, withheld: set[int]
    ) -> None:
        """See base class."""
        for server, session in self.by_server.items():
            session.want(
                tuple(
                    grants.GrantedSlice(
                        piece.start, assignment.end_of(piece), piece.fence
                    )
                    for piece in assignment.of(server)
                    if piece.start not in withheld
                )
            )

    def withdraw(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """See base class. A grant without the slice does it."""
        return {}

    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """See base class."""
        return not any(
            held.start <= piece.start < held.end
            for session in self.by_server.values()
            for held in session.may_hold
        )

    def takeover_wait_s(self, released: bool) -> float:
        """See base class.

        A candidate takes over after its promise lapsed, and the holder's
        grants lapsed before. A released lease is taken while they run.
        """
        return self._settings.server_lease_s if released else 0.0

    def is_effective(self, servers: set[ids.ServerId]) -> bool:
        """See base class."""
        return all(
            session.is_settled
            for server in servers
            if (session := self.by_server.get(server)) and session.live
        )

    def expire(self, now: float) -> None:
        """See base class."""
        for session in self.by_server.values():
            session.expire(now)


class _Router(msgspec.Struct):
    lease_until: float
    oldest_in_flight: int


class RoutedCustody(Custody):
    """Servers that don't check fences: the routers hold route leases."""

    def __init__(self, *args):
        super().__init__(*args)
        self._by_router: dict[ids.Incarnation, _Router] = {}

    def open(
        self, server: ids.ServerId, address: str
    ) -> sessions.ServerSession:
        """See base class."""
        return sessions.ProbedSession(
            server, address, self._control, self._settings, self._changed
        )

    def publish(
        self, assignment: slices.Assignment, withheld: set[int]
    ) -> None:
        """See base class. Routers get it in answer to their watch."""

    def withdraw(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """See base class. Routers see that the slices have no owner."""
        return {
            start: slices.NO_OWNER
            for start in starts
            if assignment.at(ids.KeyHash(start)).server != slices.NO_OWNER
        }

    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """See base class."""
        return piece.server == slices.NO_OWNER and all(
            router.oldest_in_flight >= piece.fence
            or now > router.lease_until + CLOCK_ERROR_S + clocks.DRIFT_MARGIN_S
            for router in self._by_router.values()
        )

    def takeover_wait_s(self, released: bool) -> float:
        """See base class."""
        lease = self._settings.promise_s if released else 0.0
        return lease + CLOCK_ERROR_S

    def note_watch(self, watch: messages.WatchRequest) -> None:
        """See base class."""
        self._router(watch).oldest_in_flight = watch.oldest_in_flight
        self._changed.set()

    def extend_routes(self, watch: messages.WatchRequest) -> float:
        """See base class."""
        until = self._holder.validity.until()
        router = self._router(watch)
        router.lease_until = max(router.lease_until, until)
        return until

    def _router(self, watch: messages.WatchRequest) -> _Router:
        router = self._by_router.get(watch.router)
        if router is None:
            router = _Router(0.0, watch.oldest_in_flight)
            self._by_router[watch.router] = router
        return router
