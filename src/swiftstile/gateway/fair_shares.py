"""Divides contended capacity among organisations and kinds of requests.

Answers one organisation that sends many times its share: the others must get
what they would get without it. Each organisation has an equal share of the
slots; what it doesn't use, others may borrow. Within an organisation, priority
orders the requests, and each kind is guaranteed a quarter of the mean.

The order is that of start-time fair queueing: an organisation's virtual time
advances by the work of its requests, and the least virtual time goes first.
Pure decision code: it does no I/O and takes the current time as an argument.
"""

import collections
import collections.abc
import math

from swiftstile.gateway import fair_groups
from swiftstile.gateway import waiters

__all__ = ["KIND_FLOOR", "FairShares"]

# Each kind of an organisation's requests gets at least this fraction of the
# mean over the organisation's kinds (requirement 3 of docs/load-sharing.md).
KIND_FLOOR = 0.25
# What the order aims at, as it corrects a kind only once that got less.
_AIMED_FLOOR = 1.2 * KIND_FLOOR
# An organisation that used less than its share may exceed it afterwards by
# what it left in this time. Arrivals vary, so that without credit one that
# sends its share exactly would lose a tenth of its requests.
CREDIT_S = 1.0
# Time constant of the work that a kind or an organisation got.
TIME_CONSTANT_S = 1.0
# Organisations without requests for this long have no state.
KEEP_S = 10.0
# A kind that got less work than this lately doesn't count in the mean.
_MIN_USED_S = 1e-4


class _Decayed:
    """An exponentially decayed sum."""

    __slots__ = ("_at", "_value")

    def __init__(self, now: float):
        self._value, self._at = 0.0, now

    def add(self, amount: float, now: float) -> None:
        self._value = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._at)
        return self._value * math.exp(-elapsed_s / TIME_CONSTANT_S)


class _Organisation:
    """State of an organisation at one queue.

    Attributes:
        virtual: Its virtual time, in slot-seconds by weight.
        used: Work that it got recently, in slot-seconds.
        used_by_kind: The same by kind.
        seen_at: Time of its last request.
    """

    def __init__(self, now: float):
        self.virtual = 0.0
        self.used = _Decayed(now)
        self.used_by_kind: dict[str, _Decayed] = {}
        self.seen_at = now


class _Queue:
    """State of one queue: its organisations and its virtual time."""

    def __init__(self):
        self.by_organisation: dict[str, _Organisation] = {}
        self.virtual = 0.0


class FairShares:
    """Orders the requests of each queue by shares.

    Args:
        is_enabled: Whether shares apply.
        weight_of: Returns an organisation's weight; equal for all for now.
    """

    def __init__(
        self,
        is_enabled: collections.abc.Callable[[], bool] = lambda: False,
        weight_of: collections.abc.Callable[[str], float] = lambda _: 1.0,
    ):
        self.is_enabled = is_enabled
        self._weight_of = weight_of
        self._queues: dict[tuple, _Queue] = {}
        self._swept_at = 0.0

    def note_arrived(
        self, queue: tuple, group: fair_groups.GroupId, now: float
    ) -> None:
        """Records a request of a group.

        Args:
            queue: Name of the queue.
            group: Its organisation and kind.
            now: The time.
        """
        state = self._queues.setdefault(queue, _Queue())
        known = state.by_organisation
        entry = known.get(group.organisation)
        if entry is None:
            entry = known[group.organisation] = _Organisation(now)
            entry.virtual = state.virtual
        entry.seen_at = now
        total_s = sum(one.used.value(now) for one in known.values())
        # Work of one share in the credited time.
        credit = total_s * CREDIT_S / (TIME_CONSTANT_S * len(known))
        entry.virtual = max(entry.virtual, state.virtual - credit)
        entry.used_by_kind.setdefault(group.kind, _Decayed(now))

    def note_sent(
        self, queue: tuple, waiter: waiters.Waiter, now: float
    ) -> None:
        """Charges a request that is sent to its organisation and kind."""
        group, work_s = waiter.group, waiter.expected_s
        state = self._queues.setdefault(queue, _Queue())
        entry = state.by_organisation.get(group.organisation)
        if entry is None:
            self.note_arrived(queue, group, now)
            entry = state.by_organisation[group.organisation]
        state.virtual = max(state.virtual, entry.virtual)
        entry.virtual += work_s / self._weight_of(group.organisation)
        entry.used.add(work_s, now)
        kinds = entry.used_by_kind
        kinds.setdefault(group.kind, _Decayed(now)).add(work_s, now)

    def is_kind_due(
        self, queue: tuple, waiter: waiters.Waiter, now: float
    ) -> bool:
        """Whether a kind got less than its floor and goes next."""
        state = self._queues.get(queue)
        entry = state and state.by_organisation.get(waiter.group.organisation)
        if not entry:
            return False
        used = {k: v.value(now) for k, v in entry.used_by_kind.items()}
        floor = _AIMED_FLOOR * sum(used.values()) / max(1, len(used))
        return used.get(waiter.group.kind, 0.0) < floor

    def competing_organisations(
        self,
        queue: tuple,
        waiter: waiters.Waiter,
        ahead: int,
        waiting: collections.abc.Set[str],
    ) -> int | None:
        """Returns how many organisations share the next slots.

        Args:
            queue: Name of the queue.
            waiter: A request.
            ahead: Requests of its organisation that go before it.
            waiting: Organisations that have requests waiting, or its own.

        Returns:
            The number of organisations that had less than the others, with its
            own; None if its own had too much to get one of the next slots.
        """
        state = self._queues.get(queue)
        if state is None:
            return None
        name = waiter.group.organisation
        entry = state.by_organisation.get(name)
        work = waiter.expected_s / self._weight_of(name)
        if entry is None or entry.virtual + ahead * work > state.virtual:
            return None
        behind = sum(
            other.virtual < state.virtual
            for key, other in state.by_organisation.items()
            if key in waiting
        )
        return max(1, behind)

    def is_borrowing(
        self,
        queue: tuple,
        waiter: waiters.Waiter,
        slots: int,
        vm_count: int,
        now: float,
    ) -> bool:
        """Whether an organisation has more than its share at this VM.

        Args:
            queue: Name of the queue.
            waiter: A request of the organisation.
            slots: The slots of the queue's targets.
            vm_count: Number of VMs that decide; each applies an equal part.
            now: The time.
        """
        state = self._queues.get(queue)
        if state is None:
            return False
        known = state.by_organisation
        entry = known.get(waiter.group.organisation)
        if entry is None or len(known) < 2:
            return False
        if entry.virtual < state.virtual:
            # It had less than the others here.
            return False
        total = sum(self._weight_of(name) for name in known)
        share = self._weight_of(waiter.group.organisation) / total
        return entry.used.value(now) > (
            TIME_CONSTANT_S * slots * share / vm_count
        )

    def order(
        self, queue: tuple, waiting: list[waiters.Waiter], now: float
    ) -> list[waiters.Waiter]:
        """Returns waiting requests of one queue in the order of the shares.

        Requests that can be in time go before late ones.

        Args:
            queue: Name of the queue.
            waiting: The requests, in the order of their ranks.
            now: The time.
        """
        in_time, late = [], []
        for waiter in waiting:
            (late if waiter.is_late(now) else in_time).append(waiter)
        state = self._queues.setdefault(queue, _Queue())
        virtual = {
            name: entry.virtual for name, entry in state.by_organisation.items()
        }
        return [
            waiter
            for part in (in_time, late)
            for waiter in self._ordered(state, part, virtual, now)
        ]

    def _ordered(
        self,
        state: _Queue,
        waiting: list[waiters.Waiter],
        virtual: dict[str, float],
        now: float,
    ) -> collections.abc.Iterator[waiters.Waiter]:
        left: dict[str, list[waiters.Waiter]] = collections.defaultdict(list)
        for waiter in waiting:
            left[waiter.group.organisation].append(waiter)
        queues = {
            name: _by_kind(state.by_organisation.get(name), entries, now)
            for name, entries in left.items()
        }
        while queues:
            name = min(queues, key=lambda entry: virtual.get(entry, 0.0))
            waiter = next(queues[name], None)
            if waiter is None:
                del queues[name]
                continue
            virtual[name] = virtual.get(name, 0.0) + (
                waiter.expected_s / self._weight_of(name)
            )
            yield waiter

    def sweep(self, now: float) -> None:
        """Removes the state of organisations without requests."""
        if now - self._swept_at < KEEP_S / 4:
            return
        self._swept_at = now
        for queue, state in list(self._queues.items()):
            known = state.by_organisation
            for name, entry in list(known.items()):
                if now - entry.seen_at > KEEP_S:
                    del known[name]
                entry.used_by_kind = {
                    kind: used
                    for kind, used in entry.used_by_kind.items()
                    if used.value(now) > _MIN_USED_S
                }
            if not known:
                del self._queues[queue]


def _by_kind(
    entry: _Organisation | None, waiting: list[waiters.Waiter], now: float
) -> collections.abc.Iterator[waiters.Waiter]:
    """Yields an organisation's requests by rank, with a floor for each kind."""
    left: dict[str, collections.deque[waiters.Waiter]] = {}
    for waiter in waiting:
        left.setdefault(waiter.group.kind, collections.deque()).append(waiter)
    used = dict.fromkeys(left, 0.0)
    if entry is not None:
        used |= {k: v.value(now) for k, v in entry.used_by_kind.items()}
    ranks = {waiter.sequence: index for index, waiter in enumerate(waiting)}
    while left:
        floor = _AIMED_FLOOR * sum(used.values()) / len(used)
        starved = [kind for kind in left if used[kind] < floor]
        kind = min(
            starved or left, key=lambda name: ranks[left[name][0].sequence]
        )
        waiter = left[kind].popleft()
        if not left[kind]:
            del left[kind]
        used[kind] += waiter.expected_s
        yield waiter
