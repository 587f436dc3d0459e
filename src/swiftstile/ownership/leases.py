"""Coordinator leases and the promises that keep them exclusive.

All times are seconds on this process's `clocks.monotonic`.
docs/design/ownership.md explains why no two holders overlap.
"""

import msgspec

from swiftstile import clocks
from swiftstile import ids

__all__ = [
    "Candidate",
    "CoordinatorLease",
    "LeaseValidity",
    "PromiseTable",
    "ServerClockReading",
    "lease_key",
    "lease_prefix",
]


class Candidate(msgspec.Struct, frozen=True):
    """A process that may take over a coordinator lease."""

    vm: ids.VmId
    incarnation: ids.Incarnation


class CoordinatorLease(msgspec.Struct, frozen=True):
    """Row of the table that records who coordinates a service.

    Attributes:
        epoch: Incremented by each take-over.
        holder: The process that coordinates the service.
        candidates: The only processes that may take over before the row is
            stale.
        released: Whether the holder released the lease, so that any process
            may take over.
    """

    epoch: ids.Epoch
    holder: Candidate
    candidates: tuple[Candidate, ...] = ()
    released: bool = False


def lease_prefix(organisation: ids.OrganisationId) -> str:
    """Returns the prefix of an organisation's lease rows."""
    return f"coordinator-lease/{organisation}/"


def lease_key(service: ids.ServiceId) -> str:
    """Returns the key of a service's lease row."""
    return lease_prefix(service.organisation) + service.service


class _Promise(msgspec.Struct):
    epoch: ids.Epoch
    until: float


class PromiseTable:
    """A candidate's promises not to take over, kept in memory only.

    Promises needn't survive a restart: the restarted process has a new
    incarnation, which no lease row lists as a candidate.
    """

    def __init__(self):
        self._by_service: dict[ids.ServiceId, _Promise] = {}
        self._unsettled: set[ids.ServiceId] = set()

    def promise(
        self,
        service: ids.ServiceId,
        epoch: ids.Epoch,
        now: float,
        duration_s: float,
    ) -> bool:
        """Promises not to take over for `duration_s`, if that is possible.

        A take-over write whose outcome is unknown may have taken effect, so no
        promise is made until it is settled.

        Returns:
            Whether the promise was made.
        """
        if service in self._unsettled:
            return False
        held = self._by_service.get(service)
        if held and held.epoch > epoch:
            return False
        until = now + duration_s
        if held and held.epoch == epoch:
            until = max(until, held.until)
        self._by_service[service] = _Promise(epoch, until)
        return True

    def record_epoch(self, service: ids.ServiceId, epoch: ids.Epoch) -> None:
        """Records a new epoch; holders of older epochs get no more promises."""
        held = self._by_service.get(service)
        if held is None or held.epoch < epoch:
            self._by_service[service] = _Promise(epoch, 0.0)

    def release(self, service: ids.ServiceId, epoch: ids.Epoch) -> None:
        """Ends the promise to a holder that released its lease."""
        held = self._by_service.get(service)
        if held and held.epoch == epoch:
            held.until = 0.0

    def begin_take_over(self, service: ids.ServiceId, now: float) -> bool:
        """Starts a take-over, unless a promise forbids it.

        Returns:
            Whether the take-over write may be sent.
        """
        held = self._by_service.get(service)
        if held and now <= held.until + clocks.DRIFT_MARGIN_S:
            return False
        self._unsettled.add(service)
        return True

    def end_take_over(self, service: ids.ServiceId) -> None:
        """Ends a take-over whose write is known to have succeeded or failed."""
        self._unsettled.discard(service)

    def has_record(self, service: ids.ServiceId) -> bool:
        """Returns whether any epoch of the service was recorded."""
        return service in self._by_service

    def lapsed(self, service: ids.ServiceId, now: float) -> bool:
        """Returns whether no promise forbids a take-over."""
        held = self._by_service.get(service)
        return held is None or now > held.until + clocks.DRIFT_MARGIN_S


class LeaseValidity:
    """How long a holder may coordinate: while every candidate's promise lasts.

    A promise counts from when it was requested. The candidate made it later,
    so it ends for the holder before it ends for the candidate.
    """

    def __init__(self, tolerance_s: float, confirmed_at: float):
        """Creates the validity of a newly acquired lease.

        Args:
            tolerance_s: How long the lease stays valid without a write to the
                table.
            confirmed_at: When the write that acquired the lease was sent.
        """
        self._tolerance_s = tolerance_s
        self._confirmed_at = confirmed_at
        self._until_by_candidate: dict[ids.Incarnation, float] = {}

    def require(self, candidates: tuple[Candidate, ...]) -> None:
        """Sets the candidates whose promises are required from now on."""
        old = self._until_by_candidate
        self._until_by_candidate = {
            c.incarnation: old.get(c.incarnation, 0.0) for c in candidates
        }

    def record_promise(
        self, candidate: ids.Incarnation, requested_at: float, duration_s: float
    ) -> None:
        """Records a promise of a candidate; ignored if it isn't required."""
        until = requested_at + duration_s
        held = self._until_by_candidate.get(candidate)
        if held is not None:
            self._until_by_candidate[candidate] = max(held, until)

    def record_confirmed(self, sent_at: float) -> None:
        """Records that a write of the row, sent at that time, succeeded."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def valid_until(self) -> float:
        """Returns when the lease lapses unless it is renewed."""
        ends = [self._confirmed_at + self._tolerance_s]
        ends += self._until_by_candidate.values()
        return min(ends)

    def promised_until(self, candidate: ids.Incarnation) -> float:
        """Returns when a candidate's promise ends; 0 for none."""
        return self._until_by_candidate.get(candidate, 0.0)


class ServerClockReading(msgspec.Struct, frozen=True):
    """A reading of a server's clock.

    Attributes:
        instance: Identifies the run of the server.
        reading: The server's clock, in seconds.
        received_at: When the reading arrived here.
    """

    instance: str
    reading: float
    received_at: float

    def to_server_time(self, end: float) -> float:
        """Converts an end on the local clock to the server's clock.

        The reading was taken before it arrived, so the server's clock reaches
        the returned value at `end` or earlier, whatever the delay of a grant.
        """
        return self.reading + (end - self.received_at)
