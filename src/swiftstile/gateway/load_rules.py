"""Applies queue limits and fair shares to the queues of one VM.

Combines `queue_limits.py`, which predicts waits, and `fair_shares.py`, which
orders requests. Pure decision code: it takes the current time as an argument
and reports changes of contention through a callback.
"""

import collections
import collections.abc
import typing

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import fair_shares
from swiftstile.gateway import queue_limits
from swiftstile.gateway import target_selection
from swiftstile.gateway import wait_figures
from swiftstile.gateway import waiters

__all__ = ["LoadRules", "QueueName", "log_contention"]

# A queue counts as contended for this long after its last rejection. Longer
# than the gaps between rejections of a small queue at 1.1 times its capacity,
# and shorter than the 3 s in which service has to be normal again.
CONTENTION_HOLD_S = 1.0

# What a request queues for, and the only failure domain that may serve it.
QueueName = tuple


class _Position(typing.NamedTuple):
    """Requests that go before one, in all and of its kind."""

    ahead: int
    ahead_of_kind: int


class LoadRules:
    """Decides on waiting requests by measured rates and shares.

    Args:
        limits: Predicts waits.
        shares: Orders requests by shares.
        counter: Counts decisions by rule.
        on_contention: Called with the name of a queue, and whether it is
            contended, when that changes.
    """

    def __init__(
        self,
        limits: queue_limits.QueueLimits,
        shares: fair_shares.FairShares,
        counter: metrics.LabelledCounter,
        on_contention: collections.abc.Callable[
            [QueueName, bool], None
        ] = lambda *_: None,
    ):
        self._limits = limits
        self._shares = shares
        self._counter = counter
        self._on_contention = on_contention
        self._contended_until: dict[QueueName, float] = {}
        self._names_by_sequence: dict[int, tuple[tuple, ...]] = {}
        # Organisations that have requests waiting, by queue.
        self._waiting: dict[QueueName, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    @property
    def has_limits(self) -> bool:
        """Whether queue limits apply."""
        return self._limits.is_enabled()

    @property
    def has_shares(self) -> bool:
        """Whether fair shares apply."""
        return self._shares.is_enabled()

    @property
    def is_enabled(self) -> bool:
        """Whether any of these rules apply."""
        return self.has_limits or self.has_shares

    @staticmethod
    def queue_name(waiter: waiters.Waiter) -> QueueName | None:
        """Returns the name of a request's queue; None if it has none."""
        key = waiter.queue_key
        return None if key is None else (*key, waiter.domain)

    def _meter_names(
        self, name: QueueName, waiter: waiters.Waiter
    ) -> tuple[tuple, ...]:
        """Returns the meters of a request: of its queue and organisation."""
        if self.has_shares:
            return name, (*name, waiter.group.organisation)
        return (name,)

    def _judged_by(
        self, name: QueueName, waiter: waiters.Waiter, now: float
    ) -> tuple:
        """Returns the meter by which a request is judged.

        An organisation has a part of its own only while the queue is divided.
        """
        if self.has_shares and self.is_contended(name, now):
            return (*name, waiter.group.organisation)
        return name

    def _dividing(
        self, name: QueueName, waiter: waiters.Waiter
    ) -> collections.abc.Set[str]:
        """Returns the organisations that want slots, with the request's."""
        waiting = self._waiting.get(name, {})
        return waiting.keys() | {waiter.group.organisation}

    def is_contended(self, name: QueueName, now: float) -> bool:
        """Whether requests of a queue were rejected recently."""
        return now < self._contended_until.get(name, 0.0)

    def is_divided(self, waiter: waiters.Waiter, now: float) -> bool:
        """Whether a request's queue is in the order of shares."""
        name = self.queue_name(waiter)
        return (
            name is not None
            and self.has_shares
            and self.is_contended(name, now)
        )

    def note_arrived(self, waiter: waiters.Waiter, now: float) -> None:
        """Records an arrival, once for each request and queue.

        Requests with a limited wait look for a free slot before they go on to
        another domain or VM. They count as arrivals only once they are sent.
        """
        name = self.queue_name(waiter)
        if name is not None and waiter.max_wait_s is None:
            self._count_arrival(name, waiter, now)

    def _count_arrival(
        self, name: QueueName, waiter: waiters.Waiter, now: float
    ) -> None:
        if not self.is_enabled or name in waiter.arrived_at:
            return
        waiter.arrived_at.add(name)
        if self.has_shares:
            self._shares.note_arrived(name, waiter.group, now)
        for meter_name in self._meter_names(name, waiter):
            self._limits.note_arrived(meter_name, waiter, now)

    def note_queued(self, waiter: waiters.Waiter, now: float) -> None:
        """Records that a request is put into its queue."""
        name = self.queue_name(waiter)
        if name is None or not self.is_enabled:
            return
        names = self._meter_names(name, waiter)
        self._names_by_sequence[waiter.sequence] = names
        for meter_name in names:
            self._limits.note_queued(meter_name, now)
        self._waiting[name][waiter.group.organisation] += 1

    def note_removed(self, waiter: waiters.Waiter) -> None:
        """Records that a request left its queue."""
        names = self._names_by_sequence.pop(waiter.sequence, ())
        if not names:
            return
        for meter_name in names:
            self._limits.note_removed(meter_name)
        waiting = self._waiting[names[0]]
        waiting[waiter.group.organisation] -= 1
        if not waiting[waiter.group.organisation]:
            del waiting[waiter.group.organisation]
        if not waiting:
            del self._waiting[names[0]]

    def note_sent(self, waiter: waiters.Waiter, now: float) -> None:
        """Records a send; call it before `note_removed`."""
        name = self.queue_name(waiter)
        if name is None or not self.is_enabled:
            return
        self._count_arrival(name, waiter, now)
        queued = self._names_by_sequence.get(waiter.sequence)
        for entry in queued or self._meter_names(name, waiter):
            self._limits.note_sent(entry, now, queued is not None)
        if self.has_shares:
            self._shares.note_sent(name, waiter, now)

    def note_rejected(self, waiter: waiters.Waiter, now: float) -> None:
        """Records that a request was rejected because its queue is full.

        A request with a limited wait says nothing about the queue: it would
        have been accepted with a longer one.
        """
        name = self.queue_name(waiter)
        if name is None or not self.is_enabled or waiter.max_wait_s is not None:
            return
        if name not in self._contended_until:
            self._on_contention(name, True)
        self._contended_until[name] = now + CONTENTION_HOLD_S

    def sweep(self, now: float) -> None:
        """Ends contention and removes state that is no longer used."""
        for name, until in list(self._contended_until.items()):
            if now >= until:
                del self._contended_until[name]
                self._on_contention(name, False)
        self._limits.sweep(now)
        self._shares.sweep(now)

    def order(
        self, waiting: list[waiters.Waiter], now: float
    ) -> list[waiters.Waiter]:
        """Returns waiting requests in the order in which they get slots.

        Args:
            waiting: Requests of any queues, in the order of their ranks.
            now: The time.
        """
        if not self.has_shares or not self._contended_until:
            return waiting
        by_queue = collections.defaultdict(list)
        for waiter in waiting:
            by_queue[self.queue_name(waiter)].append(waiter)
        ordered = []
        for name, entries in by_queue.items():
            if name is not None and self.is_contended(name, now):
                entries = self._shares.order(name, entries, now)
            ordered.extend(entries)
        return ordered

    def max_beyond_slots(
        self,
        waiter: waiters.Waiter,
        slots: int,
        vm_count: int,
        most: int,
        now: float,
    ) -> int:
        """Returns how many requests a target may have beyond its slots.

        Where several VMs decide, an organisation beyond its share uses only
        idle slots. The place in the queue of a target is left to requests
        within their shares, also those of other VMs, which thus displace it.

        Args:
            waiter: The request.
            slots: Slots of all targets of its queue.
            vm_count: Number of VMs that decide.
            most: The value for a request within its share.
            now: The time.
        """
        if waiter.is_centrally_decided or not self.is_divided(waiter, now):
            return most
        name = self.queue_name(waiter)
        if self._shares.is_borrowing(name, waiter, slots, vm_count, now):
            return 0
        return most

    def positions(
        self, ordered: list[waiters.Waiter], now: float
    ) -> collections.abc.Iterator[tuple[waiters.Waiter, _Position]]:
        """Yields requests in order, with their positions."""
        ahead: collections.Counter = collections.Counter()
        for waiter in ordered:
            name = self.queue_name(waiter)
            if name is None:
                yield waiter, _Position(0, 0)
                continue
            meter_name = self._judged_by(name, waiter, now)
            kind = (*meter_name, waiter.group.kind)
            # The names have different lengths, so they can't be equal.
            yield waiter, _Position(ahead[meter_name], ahead[kind])
            ahead[meter_name] += 1
            ahead[kind] += 1

    def position_of(
        self,
        waiter: waiters.Waiter,
        queued: collections.abc.Iterable[waiters.Waiter],
        now: float,
    ) -> _Position:
        """Returns the position that an arriving request would have."""
        rank = waiter.rank(now)
        is_divided = self.is_divided(waiter, now)
        ahead = of_kind = 0
        for other in queued:
            if not waiters.compete(other, waiter):
                continue
            if is_divided:
                if other.group.organisation != waiter.group.organisation:
                    continue
                of_kind += other.group.kind == waiter.group.kind
            ahead += other.rank(now) < rank
        return _Position(ahead, of_kind)

    def figures(
        self,
        waiter: waiters.Waiter,
        position: _Position,
        capacity: target_selection.Capacity,
        vm_count: int,
        now: float,
    ) -> wait_figures.Figures:
        """Returns the figures on which the decision on a request rests.

        Args:
            waiter: The request, which has a queue.
            position: Its position.
            capacity: What the targets of its queue can take.
            vm_count: Number of VMs that decide on this queue.
            now: The time.
        """
        name = self.queue_name(waiter)
        prior = capacity.per_s / vm_count
        is_overloaded = self._limits.is_overloaded(
            name, prior, self.is_contended(name, now), now
        )
        guaranteed_s = idle_wait_s = None
        if vm_count > 1 and capacity.per_s and not self.is_divided(waiter, now):
            # A part of the rate per VM would be too little, as some VMs have
            # nothing waiting.
            ahead = capacity.elsewhere + capacity.excess
            idle_wait_s = (ahead + 1) / capacity.per_s
        if self.is_divided(waiter, now):
            guaranteed_s = self._guaranteed_wait_s(
                name, waiter, position, prior, now
            )
            prior /= len(self._dividing(name, waiter))
        figures = self._limits.figures(
            self._judged_by(name, waiter, now),
            waiter,
            position.ahead,
            prior,
            now,
            guaranteed_s,
            is_overloaded,
            idle_wait_s,
        )
        if waiter.max_wait_s is not None:
            limit_s = min(figures.limit_s, waiter.max_wait_s)
            figures = figures._replace(limit_s=limit_s)
        return figures

    def _guaranteed_wait_s(
        self,
        name: QueueName,
        waiter: waiters.Waiter,
        position: _Position,
        prior_per_s: float,
        now: float,
    ) -> float | None:
        """Returns the wait of a request whose group is due, if it is.

        An organisation that had less than others shares the next slots with
        those of which the same is true. Its own measured rate would be that of
        few requests.
        """
        per_s = self._limits.rate_per_s(name, prior_per_s, now)
        is_kind_due = self._shares.is_kind_due(name, waiter, now)
        ahead = position.ahead_of_kind if is_kind_due else position.ahead
        dividing = self._dividing(name, waiter)
        sharing = self._shares.competing_organisations(
            name, waiter, ahead, dividing
        )
        if sharing is None:
            if ahead or not is_kind_due:
                return None
            # The next slot of its organisation goes to its kind.
            sharing = len(dividing)
        return (ahead + 1) * sharing / per_s

    def is_hopeless_in_queue(self, figures: wait_figures.Figures) -> bool:
        """Whether a request that was accepted won't be served in time."""
        return self._limits.is_hopeless_in_queue(figures)

    def note_hopeless(
        self, waiter: waiters.Waiter, figures: wait_figures.Figures, now: float
    ) -> None:
        """Records that a request is rejected because of these figures."""
        if waiter.max_wait_s is None:
            self._counter.add(figures.rule.label)
        self.note_rejected(waiter, now)


def log_contention(name: QueueName, is_contended: bool) -> None:
    """Logs that a queue becomes contended, or no longer is."""
    service, owner = name[0], name[1]
    logs.logger.info(
        "queue contention",
        queue=f"{service}/{owner or ''}",
        is_contended=is_contended,
    )
