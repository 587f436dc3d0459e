"""Leases: who may coordinate, who may own, and until when.

All times are seconds on this process's `clocks.monotonic`. The argument why
no two holders overlap is in docs/design/ownership.md.
"""

import msgspec

from swiftstile import clocks
from swiftstile import ids

__all__ = [
    "Candidate",
    "CoordinatorLease",
    "PromiseBook",
    "ServerClock",
    "Validity",
    "lease_key",
    "lease_prefix",
]


class Candidate(msgspec.Struct, frozen=True):
    """A process that may take a coordinator lease next."""

    vm: ids.VmId
    incarnation: ids.Incarnation


class CoordinatorLease(msgspec.Struct, frozen=True):
    """Row of the table that says who coordinates a service.

    Attributes:
        epoch: Raised by each take-over.
        holder: The process that coordinates.
        candidates: The only processes that may take over soon.
        released: The holder stopped; anybody may take over.
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


class PromiseBook:
    """A candidate's promises not to take over, kept in memory only.

    A process that restarts is another incarnation, which no lease row names,
    so forgotten promises can't be broken.
    """

    def __init__(self):
        self._by_service: dict[ids.ServiceId, _Promise] = {}
        self._settling: set[ids.ServiceId] = set()

    def promise(
        self,
        service: ids.ServiceId,
        epoch: ids.Epoch,
        now: float,
        duration_s: float,
    ) -> bool:
        """Promises not to take over for a time, unless it can't.

        A take-over write that isn't settled may have taken effect, so no
        promise is given while there is one.

        Returns:
            Whether the promise holds.
        """
        if service in self._settling:
            return False
        held = self._by_service.get(service)
        if held and held.epoch > epoch:
            return False
        until = now + duration_s
        if held and held.epoch == epoch:
            until = max(until, held.until)
        self._by_service[service] = _Promise(epoch, until)
        return True

    def note_epoch(self, service: ids.ServiceId, epoch: ids.Epoch) -> None:
        """Remembers that an epoch began, so older ones get no promise."""
        held = self._by_service.get(service)
        if held is None or held.epoch < epoch:
            self._by_service[service] = _Promise(epoch, 0.0)

    def release(self, service: ids.ServiceId, epoch: ids.Epoch) -> None:
        """Ends a promise early, as its holder stopped."""
        held = self._by_service.get(service)
        if held and held.epoch == epoch:
            held.until = 0.0

    def begin_take_over(self, service: ids.ServiceId, now: float) -> bool:
        """Starts a take-over, unless a promise forbids it.

        Returns:
            Whether the write may be sent.
        """
        held = self._by_service.get(service)
        if held and now <= held.until + clocks.DRIFT_MARGIN_S:
            return False
        self._settling.add(service)
        return True

    def end_take_over(self, service: ids.ServiceId) -> None:
        """Ends a take-over whose write is settled, either way."""
        self._settling.discard(service)

    def knows(self, service: ids.ServiceId) -> bool:
        """Returns whether a holder ever asked for a promise."""
        return service in self._by_service

    def lapsed(self, service: ids.ServiceId, now: float) -> bool:
        """Returns whether no promise stands in the way of a take-over."""
        held = self._by_service.get(service)
        return held is None or now > held.until + clocks.DRIFT_MARGIN_S


class Validity:
    """How long a holder may go on: as long as every candidate promises.

    A promise counts from when it was asked for, which is before the candidate
    gave it, so it ends here before it ends there.
    """

    def __init__(self, tolerance_s: float, confirmed_at: float):
        """Creates the validity of a lease that was just taken.

        Args:
            tolerance_s: How long to go on without the table.
            confirmed_at: When the write that took the lease was sent.
        """
        self._tolerance_s = tolerance_s
        self._confirmed_at = confirmed_at
        self._until_by_candidate: dict[ids.Incarnation, float] = {}

    def require(self, candidates: tuple[Candidate, ...]) -> None:
        """Sets the candidates whose promises are needed from now on."""
        old = self._until_by_candidate
        self._until_by_candidate = {
            c.incarnation: old.get(c.incarnation, 0.0) for c in candidates
        }

    def note_promise(
        self, candidate: ids.Incarnation, asked_at: float, duration_s: float
    ) -> None:
        """Notes a promise that a candidate gave."""
        until = asked_at + duration_s
        held = self._until_by_candidate.get(candidate)
        if held is not None:
            self._until_by_candidate[candidate] = max(held, until)

    def note_confirmed(self, sent_at: float) -> None:
        """Notes that the table still named this holder."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def until(self) -> float:
        """Returns when the lease lapses unless more is promised."""
        ends = [self._confirmed_at + self._tolerance_s]
        ends += self._until_by_candidate.values()
        return min(ends)

    def promised_until(self, candidate: ids.Incarnation) -> float:
        """Returns when a candidate's promise ends; 0 for none."""
        return self._until_by_candidate.get(candidate, 0.0)


class ServerClock(msgspec.Struct, frozen=True):
    """A reading of a server's clock.

    Attributes:
        instance: The run of the server that the reading is from.
        reading: The server's clock, in seconds.
        received_at: When the reading arrived here.
    """

    instance: str
    reading: float
    received_at: float

    def expiry(self, end: float) -> float:
        """Returns the server's time for an end on the clock here.

        The reading was taken before it arrived, so the server's clock shows
        this value at `end` or earlier, however late a grant is read.
        """
        return self.reading + (end - self.received_at)
