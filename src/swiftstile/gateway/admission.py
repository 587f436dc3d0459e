"""Admission control: which request gets which slot, and which is rejected.

Pure decision code: it does no I/O, starts no tasks and takes the current time
as an argument. It is designed for targets with few slots that are shared by
several VMs and overloaded, and for callers to which a response after its
latency objective is worth little.
"""

import random
import typing

from swiftstile import ids
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import ratelimits
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
# Late requests are rejected once requests that can still be in time have waited
# for the same targets for this long without a break, in objectives. Rejecting
# them later than this doesn't serve more requests.
CONTENTION_PERIOD = 0.5
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
MAX_QUEUED_AT_TARGET = target_selection.MAX_QUEUED_AT_TARGET
CROSS_DOMAIN_COST = target_selection.CROSS_DOMAIN_COST
CROSS_DOMAIN_COST_LARGE = target_selection.CROSS_DOMAIN_COST_LARGE
MAX_VMS_WITHOUT_SAMPLING = target_selection.MAX_VMS_WITHOUT_SAMPLING
OwnerLookup = waiters.OwnerLookup
QueueKey = waiters.QueueKey
Rejection = waiters.Rejection
Waiter = waiters.Waiter
cross_domain_penalty_s = target_selection.cross_domain_penalty_s


class Assignment(typing.NamedTuple):
    """A request that may be sent now, and its target."""

    waiter: waiters.Waiter
    target: targets.Target


class AdmissionController:
    """Assigns slots of targets to the requests of one VM."""

    def __init__(
        self,
        target_table: targets.TargetTable,
        domain: ids.FailureDomain,
        drain_s: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
        rate_limits: ratelimits.RateLimits = ratelimits.UNLIMITED,
    ):
        self._selector = target_selection.TargetSelector(
            target_table, domain, drain_s, limits, rate_limits
        )
        self._waiters: dict[int, waiters.Waiter] = {}
        # Start of the current uninterrupted period in which requests that can
        # still be in time have been waiting, by what they queue for.
        self._contention_started: dict[waiters.QueueKey, float] = {}
        self._retry_tracker = caller_retries.RetryTracker()

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
        if waiter.owner is not None:
            waiter.awaited = waiter.owner.target(now)
        self._retry_tracker.match_retry(waiter, now)
        if not self._is_preceded(waiter, now):
            target = self.select_target(waiter, now)
            if target is not None:
                self._selector.note_sent(target, now)
                return target
        wait_s = self.expected_wait_s(waiter, now)
        limit_s = self._max_wait_s(waiter, now)
        if waiter.max_wait_s is not None:
            limit_s = min(limit_s, waiter.max_wait_s)
        if wait_s > limit_s:
            return self._rejection(
                waiter,
                self._retry_in_s(waiter, wait_s, limit_s, now),
                wait_s,
                now,
            )
        self._waiters[waiter.sequence] = waiter
        if waiter.awaited is not None:
            waiter.awaited.waiting += 1
        return None

    def _retry_in_s(
        self, waiter: waiters.Waiter, wait_s: float, limit_s: float, now: float
    ) -> float:
        """Returns the earliest time at which a retry may succeed, in seconds.

        A queue is short enough for the request once it can wait for the rest.
        Where no upstream takes requests, none does before the end of the wait.
        """
        if wait_s < _INFINITY and not self._selector.candidates(waiter, now):
            return wait_s
        return wait_s - limit_s

    def remove(self, waiter: waiters.Waiter) -> None:
        """Removes a request from the queue, if it is queued."""
        if self._waiters.pop(waiter.sequence, None) is None:
            return
        if not self._waiters:
            self._contention_started.clear()
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
        assigned, rejected = [], []
        # What requests that can still be in time keep waiting for.
        contested: set[waiters.QueueKey] = set()
        groups: target_selection.Groups = {}
        scanned = [
            waiter
            for waiter in self._waiters.values()
            if only is None or waiter.queue_key == only
        ]
        for waiter in sorted(scanned, key=lambda entry: entry.rank(now)):
            if (
                waiter.deadline - now
                < MIN_TIME_LEFT_FRACTION * waiter.expected_s
            ):
                rejected.append((waiter, self._reject_queued(waiter, now)))
                continue
            target = self._selector.select(waiter, now, groups)
            if target is not None:
                self.remove(waiter)
                # Counted temporarily, so that later requests of this scan see
                # the slot as taken.
                target.in_flight += 1
                self._selector.note_sent(target, now)
                groups.pop((waiter.service, waiter.domain), None)
                assigned.append(Assignment(waiter, target))
                continue
            if self._has_no_owner_in_time(waiter, now):
                rejected.append((waiter, self._reject_queued(waiter, now)))
                continue
            if waiter.queue_key is None:
                continue
            if not waiter.is_late(now):
                contested.add(waiter.queue_key)
            elif self._is_starved(waiter, contested, now):
                rejected.append((waiter, self._reject_queued(waiter, now)))
        self._update_contention(contested, only, now)
        for assignment in assigned:
            assignment.target.in_flight -= 1
        return assigned, rejected

    @staticmethod
    def _has_no_owner_in_time(waiter: waiters.Waiter, now: float) -> bool:
        """Whether its key won't have an owner before its deadline."""
        if waiter.owner is None or waiter.owner.target(now) is not None:
            return False
        return waiter.owner.ready_in_s(now) > waiter.deadline - now

    def _update_contention(
        self,
        contested: set[waiters.QueueKey],
        only: waiters.QueueKey | None,
        now: float,
    ) -> None:
        """Updates the start times of periods of contention."""
        kept = {
            key: since
            for key, since in self._contention_started.items()
            if key in contested or (only is not None and key != only)
        }
        self._contention_started = dict.fromkeys(contested, now) | kept

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
        ahead = self._count_ahead(waiter, now)
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
        rank = waiter.rank(now)
        return any(
            waiters.compete(other, waiter) and other.rank(now) < rank
            for other in self._waiters.values()
        )

    def _count_ahead(self, waiter: waiters.Waiter, now: float) -> int:
        rank = waiter.rank(now)
        return sum(
            waiters.compete(other, waiter) and other.rank(now) < rank
            for other in self._waiters.values()
        )

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
        since = self._contention_started.get(waiter.queue_key, now)
        return now - since >= CONTENTION_PERIOD * waiter.route.objective_s

    def _rejection(
        self, waiter, excess_s: float, wait_s: float, now: float
    ) -> waiters.Rejection:
        if excess_s == _INFINITY:
            excess_s = NO_TARGET_RETRY_AFTER_S
        base_s = max(MIN_RETRY_AFTER * waiter.route.objective_s, excess_s)
        spread = 1 + random.uniform(0, RETRY_JITTER)
        owner = None if waiter.awaited is None else waiter.awaited.id
        if waiter.max_wait_s is None:
            self._retry_tracker.expect_retry(waiter, now + base_s * spread)
        is_ownerless = waiter.owner is not None and owner is None
        return waiters.Rejection(base_s * spread, wait_s, owner, is_ownerless)
