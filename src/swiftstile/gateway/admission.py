"""Admission control: which request gets which slot, and which is rejected.

Pure decision code: it does no I/O, starts no tasks and takes the current time
as an argument. It is designed for targets with few slots that are shared by
several VMs and overloaded, and for callers to which a response after its
latency objective is worth little.
"""

import random

from swiftstile import ids
from swiftstile import metrics
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import contention
from swiftstile.gateway import fair_shares
from swiftstile.gateway import load_rules
from swiftstile.gateway import queue_limits
from swiftstile.gateway import ratelimits
from swiftstile.gateway import reservations
from swiftstile.gateway import retry_schedule
from swiftstile.gateway import target_selection
from swiftstile.gateway import targets
from swiftstile.gateway import waiters

__all__ = [
    "AdmissionController",
    "Assignment",
    "OwnerLookup",
    "QueueKey",
    "Rejection",
    "Waiter",
    "cross_domain_penalty_s",
]

# A request is rejected if its expected wait exceeds this fraction of the slack
# before its objective. Estimates are off by about a third.
MAX_SLACK_FRACTION = 0.8
# Waits up to this fraction of the objective are allowed in any case (unless the
# deadline is nearer), so that no request is rejected for estimation noise.
MIN_WAIT_FRACTION = 0.25
# A request with less than this fraction of its expected service time left is
# rejected.
MIN_TIME_LEFT_FRACTION = 0.6
# Minimum Retry-After, in objectives: about the time until a slot becomes free.
MIN_RETRY_AFTER = 0.25
# Retry-After for a service without targets: about two upstream heartbeats.
NO_TARGET_RETRY_AFTER_S = 1.0
# Random fraction added to Retry-After, so that callers don't retry all at once.
RETRY_JITTER = 0.4
_INFINITY = float("inf")

# Names of the other modules of admission that callers use from here.
Assignment = waiters.Assignment
CONTENTION_PERIOD = contention.CONTENTION_PERIOD
MAX_QUEUED_AT_TARGET = target_selection.MAX_QUEUED_AT_TARGET
CROSS_DOMAIN_COST = target_selection.CROSS_DOMAIN_COST
CROSS_DOMAIN_COST_LARGE = target_selection.CROSS_DOMAIN_COST_LARGE
MAX_VMS_WITHOUT_SAMPLING = target_selection.MAX_VMS_WITHOUT_SAMPLING
OwnerLookup = waiters.OwnerLookup
QueueKey = waiters.QueueKey
Rejection = waiters.Rejection
Waiter = waiters.Waiter
cross_domain_penalty_s = target_selection.cross_domain_penalty_s


class AdmissionController:
    """Assigns slots of targets to the requests of one VM."""

    def __init__(
        self,
        target_table: targets.TargetTable,
        domain: ids.FailureDomain,
        drain_s: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
        rate_limits: ratelimits.RateLimits = ratelimits.UNLIMITED,
        retry_tracker: caller_retries.RetryTracker | None = None,
        schedule: retry_schedule.RetrySchedule | None = None,
        rules: load_rules.LoadRules | None = None,
    ):
        self._selector = target_selection.TargetSelector(
            target_table, domain, drain_s, limits, rate_limits
        )
        self._waiters: dict[int, waiters.Waiter] = {}
        self._contention = contention.ContentionPeriods()
        self._reservations = reservations.Reservations(
            self._selector, retry_tracker, schedule
        )
        self._rules = rules or load_rules.LoadRules(
            queue_limits.QueueLimits(),
            fair_shares.FairShares(),
            metrics.LabelledCounter(),
        )

    @property
    def vm_count(self) -> int:
        """Number of VMs that send to the same targets, with this one."""
        return self._selector.vm_count

    @vm_count.setter
    def vm_count(self, count: int) -> None:
        self._selector.vm_count = count

    def __len__(self) -> int:
        return len(self._waiters)

    def offer(
        self, waiter: waiters.Waiter, now: float
    ) -> targets.Target | waiters.Rejection | None:
        """Decides on a request that just arrived or that a target rejected.

        Returns:
            A target if the request may be sent now, a rejection if it couldn't
            be served in time, or None if it was put into the queue.
        """
        waiter.is_deferred = False
        if waiter.owner is not None:
            waiter.awaited = waiter.owner.target(now)
        self._reservations.recognise(waiter, now)
        self._rules.note_arrived(waiter, now)
        if not self._is_preceded(waiter, now):
            target = self._select(waiter, now, {})
            if target is not None:
                self._selector.note_sent(target, now)
                self._rules.note_sent(waiter, now)
                return target
        if (
            self._rules.has_limits
            and self._rules.queue_name(waiter)
            and not waiter.is_reserved
        ):
            capacity = self._selector.capacity(waiter, now)
            if capacity is not None:
                return self._offer_within_limits(waiter, capacity, now)
        wait_s = self.expected_wait_s(waiter, now)
        wait_s += self._reservations.wait_s(waiter, wait_s, now)
        limit_s = self._max_wait_s(waiter, now)
        if waiter.is_reserved:
            limit_s = waiter.deadline - now - waiter.expected_s
        elif waiter.max_wait_s is not None:
            limit_s = min(limit_s, waiter.max_wait_s)
        if wait_s > limit_s:
            self._rules.note_rejected(waiter, now)
            return self._rejection(
                waiter,
                self._selector.retry_in_s(waiter, wait_s, limit_s, now),
                wait_s,
                now,
            )
        self._put(waiter, now)
        return None

    def _put(self, waiter: waiters.Waiter, now: float) -> None:
        self._rules.note_queued(waiter, now)
        self._waiters[waiter.sequence] = waiter
        if waiter.awaited is not None:
            waiter.awaited.waiting += 1

    def _offer_within_limits(
        self,
        waiter: waiters.Waiter,
        capacity: target_selection.Capacity,
        now: float,
    ) -> waiters.Rejection | None:
        """Rejects a request that won't be served in time, or queues it."""
        position = self._rules.position_of(waiter, self._waiters.values(), now)
        figures = self._rules.figures(
            waiter, position, capacity, self._deciding_vms(waiter), now
        )
        reserved_s = self._reservations.wait_s(waiter, figures.wait_s, now)
        figures = figures._replace(wait_s=figures.wait_s + reserved_s)
        if not figures.is_hopeless:
            waiter.is_deferred = figures.is_late
            self._put(waiter, now)
            return None
        self._rules.note_hopeless(waiter, figures, now)
        wait_s = figures.wait_s
        if wait_s == _INFINITY:
            # Newer requests take all slots for now, but not for long.
            wait_s = (figures.ahead + 1) / figures.per_s
        return self._rejection(
            waiter, max(0.0, wait_s - figures.limit_s), wait_s, now
        )._replace(figures=figures)

    def _deciding_vms(self, waiter: waiters.Waiter) -> int:
        return 1 if waiter.is_centrally_decided else self.vm_count

    def _select(
        self,
        waiter: waiters.Waiter,
        now: float,
        groups: target_selection.Groups,
    ) -> targets.Target | None:
        """Returns a target that a request may be sent to, within its share."""
        most = MAX_QUEUED_AT_TARGET
        # Where one VM decides, the order of the queue is enough.
        is_shared = not waiter.is_centrally_decided
        if is_shared and self._rules.is_divided(waiter, now):
            capacity = self._selector.capacity(waiter, now)
            if capacity is not None:
                most = self._rules.max_beyond_slots(
                    waiter, capacity.slots, self.vm_count, most, now
                )
        return self._selector.select(waiter, now, groups, most)

    def remove(self, waiter: waiters.Waiter) -> None:
        """Removes a request from the queue, if it is queued."""
        if self._waiters.pop(waiter.sequence, None) is None:
            return
        self._rules.note_removed(waiter)
        if not self._waiters:
            self._contention.clear()
        if waiter.awaited is not None:
            waiter.awaited.waiting -= 1
            waiter.awaited = None

    def dispatch(
        self, now: float, only: waiters.QueueKey | None = None
    ) -> tuple[
        list[Assignment], list[tuple[waiters.Waiter, waiters.Rejection]]
    ]:
        """Returns queued requests that may be sent, and those to reject.

        Args:
            now: The current time.
            only: Restricts the scan to the requests that queue for this.
        """
        assigned, rejected, left = [], [], []
        # What requests that can still be in time keep waiting for.
        contested: set[waiters.QueueKey] = set()
        groups: target_selection.Groups = {}
        scanned = [
            waiter
            for waiter in self._waiters.values()
            if only is None or waiter.queue_key == only
        ]
        self._rules.sweep(now)
        scanned.sort(key=lambda entry: entry.rank(now))
        scanned = self._rules.order(scanned, now)
        for waiter in scanned:
            if (
                waiter.deadline - now
                < MIN_TIME_LEFT_FRACTION * waiter.expected_s
            ):
                rejected.append((waiter, self._reject_queued(waiter, now)))
                continue
            target = self._select(waiter, now, groups)
            if target is not None:
                self._rules.note_sent(waiter, now)
                self.remove(waiter)
                # Counted temporarily, so that later requests of this scan see
                # the slot as taken.
                target.in_flight += 1
                self._selector.note_sent(target, now)
                groups.pop((waiter.service, waiter.domain), None)
                assigned.append(Assignment(waiter, target))
                continue
            if waiter.has_no_owner_in_time(now):
                rejected.append((waiter, self._reject_queued(waiter, now)))
                continue
            if waiter.queue_key is None:
                continue
            left.append(waiter)
            if self._rules.has_limits:
                continue
            if not waiter.is_late(now):
                contested.add(waiter.queue_key)
            elif self._is_starved(waiter, contested, now):
                self._rules.note_rejected(waiter, now)
                rejected.append((waiter, self._reject_queued(waiter, now)))
        if self._rules.has_limits and only is None:
            # Not with each released slot: predictions take several times as
            # long as the rest of a scan, and change more slowly.
            rejected.extend(self._reject_hopeless(left, now))
        self._contention.update(contested, only, now)
        for assignment in assigned:
            assignment.target.in_flight -= 1
        return assigned, rejected

    def _reject_hopeless(
        self, ordered: list[waiters.Waiter], now: float
    ) -> list[tuple[waiters.Waiter, waiters.Rejection]]:
        """Rejects queued requests that newer ones overtake for too long.

        The first of a queue gets the next slot, so that only its deadline ends
        its wait.
        """
        rejected = []
        capacities: dict[tuple, target_selection.Capacity | None] = {}
        for waiter, position in self._rules.positions(ordered, now):
            name = self._rules.queue_name(waiter)
            if name not in capacities:
                capacities[name] = self._selector.capacity(waiter, now)
                continue
            capacity = capacities[name]
            if capacity is None or waiter.is_reserved:
                continue
            figures = self._rules.figures(
                waiter, position, capacity, self._deciding_vms(waiter), now
            )
            if self._rules.is_hopeless_in_queue(figures):
                figures = figures._replace(is_queued=True)
                self._rules.note_hopeless(waiter, figures, now)
                rejection = self._reject_queued(waiter, now)
                rejected.append((waiter, rejection._replace(figures=figures)))
        return rejected

    def _reject_queued(
        self, waiter: waiters.Waiter, now: float
    ) -> waiters.Rejection:
        """Removes a queued request and returns its rejection."""
        rejection = self._rejection(waiter, 0.0, now - waiter.arrived, now)
        self.remove(waiter)
        return rejection

    def _is_starved(
        self,
        waiter: waiters.Waiter,
        contested: set[waiters.QueueKey],
        now: float,
    ) -> bool:
        """Whether a late request would never get a slot.

        Requests that can be in time go first. Where these have been queueing
        for a while, newer ones will keep overtaking it.
        """
        return waiter.queue_key in contested and self._is_contended(waiter, now)

    def select_target(
        self, waiter: waiters.Waiter, now: float
    ) -> targets.Target | None:
        """Returns the available target with the earliest expected response."""
        return self._selector.select(waiter, now, {})

    def expected_wait_s(self, waiter: waiters.Waiter, now: float) -> float:
        """Returns the expected wait of a request for a slot, in seconds."""
        capacity = self._selector.capacity(waiter, now)
        if capacity is None:
            return self._selector.ready_in_s(waiter, now)
        ahead = waiters.count_ahead(waiter, self._waiters.values(), now)
        if not waiter.is_centrally_decided:
            ahead *= self.vm_count
        waiting = ahead + capacity.elsewhere + capacity.excess
        return (waiting + 1) / capacity.per_s

    def usable_targets(
        self, waiter: waiters.Waiter, now: float
    ) -> list[targets.Target]:
        """Returns usable targets of a request's service that aren't leaving."""
        return self._selector.usable_targets(waiter, now)

    def is_usable(
        self, target: targets.Target, waiter: waiters.Waiter, now: float
    ) -> bool:
        """Whether a target may be sent a request, as far as this VM knows."""
        return self._selector.is_usable(target, waiter, now)

    def _is_preceded(self, waiter: waiters.Waiter, now: float) -> bool:
        """Whether a competing request in the queue goes first."""
        if self._rules.is_divided(waiter, now):
            # The next scan sends it, if it is due.
            return any(
                waiters.compete(other, waiter)
                for other in self._waiters.values()
            )
        return waiters.count_ahead(waiter, self._waiters.values(), now) > 0

    def _max_wait_s(self, waiter: waiters.Waiter, now: float) -> float:
        possible_s = waiter.deadline - now - waiter.expected_s
        if waiter.is_centrally_decided and not self._is_contended(waiter, now):
            # A late response is better than none. Only allowed where one VM
            # knows the whole queue: otherwise late requests of one VM would
            # overtake requests of another that can still be in time.
            return possible_s
        slack_s = waiter.objective_at - now - waiter.service_time_s
        useful_s = max(
            MAX_SLACK_FRACTION * slack_s,
            MIN_WAIT_FRACTION * waiter.route.objective_s,
        )
        return min(useful_s, possible_s)

    def _is_contended(self, waiter: waiters.Waiter, now: float) -> bool:
        """Whether requests that can be in time have long been competing."""
        return self._contention.is_long(waiter, now)

    def _rejection(
        self, waiter, excess_s: float, wait_s: float, now: float
    ) -> waiters.Rejection:
        if excess_s == _INFINITY:
            excess_s = NO_TARGET_RETRY_AFTER_S
        base_s = max(MIN_RETRY_AFTER * waiter.route.objective_s, excess_s)
        retry_s = base_s * (1 + random.uniform(0, RETRY_JITTER))
        reserved_at = self._reservations.reserve(waiter, now)
        is_reserved = reserved_at is not None
        if is_reserved:
            retry_s = reserved_at - now
        owner = None if waiter.awaited is None else waiter.awaited.id
        if waiter.max_wait_s is None:
            self._reservations.retry_tracker.expect_retry(
                waiter, now + retry_s, now, reserved_at
            )
        is_ownerless = waiter.owner is not None and owner is None
        return waiters.Rejection(
            retry_s, wait_s, owner, is_ownerless, is_reserved
        )
