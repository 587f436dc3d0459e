"""Enforces that a slice is reassigned only when no server may serve it."""

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

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "FencedEnforcer",
    "OwnershipEnforcer",
    "RouteLeaseEnforcer",
]

# Largest difference between the wall clocks of two machines. Servers that
# don't check fences apply request deadlines by their wall clock.
MAX_CLOCK_SKEW_S = 0.1


class OwnershipEnforcer(abc.ABC):
    """Determines when a slice may be assigned to another server.

    Attributes:
        by_server: Session of each server.
    """

    def __init__(
        self,
        holder: holder_lib.LeaseHolder,
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
    def open_session(
        self, server: ids.ServerId, address: str
    ) -> sessions.ServerSession:
        """Returns a new session with a server; it isn't running yet."""

    @abc.abstractmethod
    def publish(
        self, assignment: slices.Assignment, withheld: set[int]
    ) -> None:
        """Sends an assignment to the servers, without the withheld slices."""

    @abc.abstractmethod
    def unassignments(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """Returns the moves that must be durable before slices become free.

        Args:
            assignment: The assignment in force.
            starts: Starts of the withheld slices.
        """

    @abc.abstractmethod
    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """Returns whether no request can run on a slice any more."""

    @abc.abstractmethod
    def takeover_wait_s(self, released: bool) -> float:
        """Returns how long the predecessor's leases outlast a take-over.

        Args:
            released: Whether the predecessor released its lease, rather than
                let it lapse.
        """

    def expire_leases(self, now: float) -> None:
        """Discards leases that have lapsed."""

    def is_effective(self, servers: set[ids.ServerId]) -> bool:
        """Returns whether responsive servers have confirmed their slices."""
        del servers
        return True

    def record_watch(self, watch: messages.WatchRequest) -> None:
        """Records the state that a router reports in its watch."""

    def extend_route_lease(self, watch: messages.WatchRequest) -> float:
        """Extends a router's lease.

        Returns:
            End of the lease on `clocks.monotonic`; 0 if routers need none.
        """
        del watch
        return 0.0


class FencedEnforcer(OwnershipEnforcer):
    """For servers that accept fenced grants and hold the leases themselves."""

    def open_session(
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
            session.set_wanted(
                tuple(
                    grants.GrantedSlice(
                        piece.start, assignment.end_of(piece), piece.fence
                    )
                    for piece in assignment.owned_by(server)
                    if piece.start not in withheld
                )
            )

    def unassignments(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """See base class. The next grant, without the slice, is enough."""
        return {}

    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """See base class."""
        return not any(
            held.start <= piece.start < held.end
            for session in self.by_server.values()
            for held in session.may_own
        )

    def takeover_wait_s(self, released: bool) -> float:
        """See base class.

        A candidate takes over only after its promise has lapsed, which is
        after the holder's last grants have lapsed. A released lease can be
        taken while those grants are still valid.
        """
        return self._settings.server_lease_s if released else 0.0

    def is_effective(self, servers: set[ids.ServerId]) -> bool:
        """See base class."""
        return all(
            session.is_confirmed
            for server in servers
            if (session := self.by_server.get(server)) and session.live
        )

    def expire_leases(self, now: float) -> None:
        """See base class."""
        for session in self.by_server.values():
            session.expire_leases(now)


class _RouterState(msgspec.Struct):
    lease_until: float
    oldest_in_flight: int


class RouteLeaseEnforcer(OwnershipEnforcer):
    """For servers that don't check fences: routers hold route leases."""

    def __init__(self, *args):
        super().__init__(*args)
        self._by_router: dict[ids.Incarnation, _RouterState] = {}

    def open_session(
        self, server: ids.ServerId, address: str
    ) -> sessions.ServerSession:
        """See base class."""
        return sessions.ProbedSession(
            server, address, self._control, self._settings, self._changed
        )

    def publish(
        self, assignment: slices.Assignment, withheld: set[int]
    ) -> None:
        """See base class. Routers receive it in the reply to their watch."""

    def unassignments(
        self, assignment: slices.Assignment, starts: set[int]
    ) -> dict[int, ids.ServerId]:
        """See base class. Routers must learn that slices have no owner."""
        return {
            start: slices.NO_OWNER
            for start in starts
            if assignment.at(ids.KeyHash(start)).server != slices.NO_OWNER
        }

    def is_free(self, piece: slices.Slice, now: float) -> bool:
        """See base class."""
        return piece.server == slices.NO_OWNER and all(
            router.oldest_in_flight >= piece.fence
            or now
            > router.lease_until + MAX_CLOCK_SKEW_S + clocks.DRIFT_MARGIN_S
            for router in self._by_router.values()
        )

    def takeover_wait_s(self, released: bool) -> float:
        """See base class."""
        lease = self._settings.promise_s if released else 0.0
        return lease + MAX_CLOCK_SKEW_S

    def record_watch(self, watch: messages.WatchRequest) -> None:
        """See base class."""
        self._router_state(watch).oldest_in_flight = watch.oldest_in_flight
        self._changed.set()

    def extend_route_lease(self, watch: messages.WatchRequest) -> float:
        """See base class."""
        until = self._holder.validity.valid_until()
        router = self._router_state(watch)
        router.lease_until = max(router.lease_until, until)
        return until

    def _router_state(self, watch: messages.WatchRequest) -> _RouterState:
        router = self._by_router.get(watch.router)
        if router is None:
            router = _RouterState(0.0, watch.oldest_in_flight)
            self._by_router[watch.router] = router
        return router
