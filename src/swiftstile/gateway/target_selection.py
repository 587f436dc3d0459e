"""Selects targets for requests, and estimates when they take requests.

Pure decision code: it does no I/O and takes the current time as an argument.
"""

import random
import typing

from swiftstile import ids
from swiftstile.gateway import coldstart
from swiftstile.gateway import model
from swiftstile.gateway import ratelimits
from swiftstile.gateway import targets
from swiftstile.gateway import waiters

__all__ = ["Groups", "TargetSelector", "cross_domain_penalty_s"]

# Requests sent to a target beyond its slots. Keeps its slots busy although this
# VM's view of it is about 30 ms old (a round trip and a report of a peer).
MAX_QUEUED_AT_TARGET = 1
# Cost of sending to another failure domain, in objectives. Traffic between
# domains is expensive, and a response that is slower but still within its
# objective is worth the same.
CROSS_DOMAIN_COST = 0.2
# The same for large bodies, which leave the local domain only if they would
# miss their objective there.
CROSS_DOMAIN_COST_LARGE = 0.75
# Up to this many VMs, each learns of the others' requests at shared targets
# within a fraction of their service time.
MAX_VMS_WITHOUT_SAMPLING = 6
# Number of random targets that a VM compares when there are more VMs. Their
# counts are older than the time between two requests, so that all VMs would
# otherwise choose the same target.
SAMPLE_SIZE = 2
_INFINITY = float("inf")


class _Group(typing.NamedTuple):
    """Targets of a service by failure domain and spare capacity."""

    home_available: list[targets.Target]
    home_full: list[targets.Target]
    remote_available: list[targets.Target]


# Groups computed during one scan of the queue, by service and domain.
Groups = dict[tuple[ids.ServiceName, ids.FailureDomain | None], _Group]


def cross_domain_penalty_s(route: model.Route) -> float:
    """Returns the latency penalty for sending to another failure domain."""
    if route.repeatability is model.Repeatability.ONCE_LARGE:
        return CROSS_DOMAIN_COST_LARGE * route.objective_s
    return CROSS_DOMAIN_COST * route.objective_s


class Capacity(typing.NamedTuple):
    """What the targets of a request can take.

    Attributes:
        per_s: Requests/s, estimated from speeds and rate limits.
        slots: Concurrent requests.
        elsewhere: Requests that wait for them at other VMs.
        excess: Requests at them beyond their slots.
    """

    per_s: float
    slots: int
    elsewhere: int
    excess: int


class TargetSelector:
    """Selects the target of a request.

    Attributes:
        vm_count: Number of VMs that send to the same targets, including this
            one.

    Args:
        target_table: The upstreams.
        domain: The failure domain of this VM.
        drain_s: How long a leaving upstream takes requests, in seconds.
        limits: Limits sends to cold upstreams.
        rate_limits: Limits sends to upstreams that state a rate.
    """

    def __init__(
        self,
        target_table: targets.TargetTable,
        domain: ids.FailureDomain,
        drain_s: float,
        limits: coldstart.SendLimits,
        rate_limits: ratelimits.RateLimits,
    ):
        self._target_table = target_table
        self._domain = domain
        self._drain_s = drain_s
        self._limits = limits
        self._rate_limits = rate_limits
        self.vm_count = 1

    def select(
        self,
        waiter: waiters.Waiter,
        now: float,
        groups: Groups,
        most_beyond: int = MAX_QUEUED_AT_TARGET,
    ) -> targets.Target | None:
        """Returns the available target with the earliest expected response.

        Args:
            waiter: The request.
            now: The current time.
            groups: Groups computed during the same scan of the queue.
            most_beyond: Maximum requests of a target beyond its slots.
        """
        best, best_s = None, waiter.deadline - now
        best_full_s = _INFINITY
        for target in self._sample(waiter, now, groups):
            slots = target.upstream.slots
            ahead = target.occupied(now) - slots
            work_s = waiter.expected_s * target.slow_factor(now)
            response_s = work_s * (1 + max(0, ahead + 1) / slots)
            response_s += self._domain_penalty_s(waiter, target)
            if target.is_penalised(now):
                response_s += waiter.expected_s
            if ahead >= min(most_beyond, self._max_beyond_slots(waiter, now)):
                best_full_s = min(best_full_s, response_s)
            elif waiter.owner is not None or response_s < best_s:
                best, best_s = target, response_s
        # Waiting for a full target may still give the earliest response.
        return best if best_s <= best_full_s else None

    @staticmethod
    def _max_beyond_slots(waiter: waiters.Waiter, now: float) -> int:
        """Returns how many requests a target may have beyond its slots.

        A late request is sent to an owner only if a slot is idle. Queueing it
        there would delay the next request that can still be in time.
        """
        if waiter.owner is not None and waiter.is_late(now):
            return 0
        return MAX_QUEUED_AT_TARGET

    def _sample(
        self, waiter: waiters.Waiter, now: float, groups: Groups
    ) -> list[targets.Target]:
        """Returns the targets to compare for a request.

        With many VMs, the counts that one VM has of a target are older than the
        interval between requests of the others. If each chose the best of all
        targets, all would choose the same one, so each compares a small random
        sample.
        """
        if waiter.domain is not None:
            # This VM decides on the requests of all VMs there.
            return self._group(waiter, now, groups).home_available
        if self.vm_count <= MAX_VMS_WITHOUT_SAMPLING:
            return self._sendable_candidates(waiter, now)
        group = self._group(waiter, now, groups)
        if group.home_available:
            return _random_sample(group.home_available)
        # Waiting for a full target at home may still give the earliest
        # response.
        return _random_sample(group.remote_available) + _random_sample(
            group.home_full
        )

    def _sendable_candidates(
        self, waiter: waiters.Waiter, now: float
    ) -> list[targets.Target]:
        """Returns the candidates that this VM may send to right now."""
        return [
            target
            for target in self.candidates(waiter, now)
            if (now >= target.cold_until or self._limits.may_send(target, now))
            and (
                target.rate_limit.per_s is None
                or self._rate_limits.may_send(target, now)
            )
        ]

    def note_sent(self, target: targets.Target, now: float) -> None:
        """Counts a send in the limits of a target."""
        self._limits.note_sent(target, now)
        self._rate_limits.note_sent(target, now)

    def _group(
        self, waiter: waiters.Waiter, now: float, groups: Groups
    ) -> _Group:
        """Returns the targets of a request, grouped.

        Requests for the same service share one group, as the queue is scanned
        often and would otherwise iterate over all targets for each request.
        """
        is_shared = waiter.owner is None and not waiter.excluded
        name = waiter.service, waiter.domain
        if is_shared and name in groups:
            return groups[name]
        group = _Group([], [], [])
        for target in self._sendable_candidates(waiter, now):
            ahead = target.occupied(now) - target.upstream.slots
            if target.upstream.failure_domain != self._domain:
                if ahead < MAX_QUEUED_AT_TARGET:
                    group.remote_available.append(target)
            elif ahead < MAX_QUEUED_AT_TARGET:
                group.home_available.append(target)
            else:
                group.home_full.append(target)
        if is_shared:
            groups[name] = group
        return group

    def candidates(
        self, waiter: waiters.Waiter, now: float
    ) -> list[targets.Target]:
        """Returns the targets that may take a request, now or when free."""
        if waiter.owner is not None:
            owner = waiter.owner.target(now)
            found = [] if owner is None else [owner]
        else:
            group = self._target_table.by_service.get(waiter.service, {})
            found = [
                target
                for target in group.values()
                if target.leaving_since is None
                and waiter.domain in (None, target.upstream.failure_domain)
            ]
        usable = [
            target
            for target in found
            if self.is_usable(target, waiter, now)
            and not self._is_blocked(target, now)
            and not self._is_backing_off(target, waiter, now)
        ]
        unpenalised = [entry for entry in usable if not entry.is_penalised(now)]
        return unpenalised or usable

    def usable_targets(
        self, waiter: waiters.Waiter, now: float
    ) -> list[targets.Target]:
        """Returns usable targets of a request's service that aren't leaving."""
        group = self._target_table.by_service.get(waiter.service, {})
        return [
            target
            for target in group.values()
            if target.leaving_since is None
            and self.is_usable(target, waiter, now)
        ]

    def is_usable(
        self, target: targets.Target, waiter: waiters.Waiter, now: float
    ) -> bool:
        """Whether a target may be sent a request, as far as this VM knows."""
        return target.id not in waiter.excluded and target.accepts_requests(
            now, self._drain_s
        )

    @staticmethod
    def _is_backing_off(
        target: targets.Target, waiter: waiters.Waiter, now: float
    ) -> bool:
        return not waiter.is_for_peer and target.is_backing_off(now)

    def _is_blocked(self, target: targets.Target, now: float) -> bool:
        return now < target.cold_until and self._limits.is_blocked(target, now)

    def _domain_penalty_s(self, waiter, target) -> float:
        if target.upstream.failure_domain == self._domain:
            return 0.0
        return cross_domain_penalty_s(waiter.route)

    def capacity(self, waiter: waiters.Waiter, now: float) -> Capacity | None:
        """Returns the capacity of a request's targets; None without any."""
        candidates = self.candidates(waiter, now)
        if not candidates:
            return None
        rate, total_slots, elsewhere, excess = 0.0, 0, 0, 0
        for target in candidates:
            slots = target.upstream.slots
            target_rate = min(
                slots / (waiter.expected_s * target.slow_factor(now)),
                self._limits.rate_per_s(target, now),
            )
            if target.rate_limit.per_s is not None:
                target_rate = min(
                    target_rate, self._rate_limits.rate_per_s(target, now)
                )
            rate += target_rate
            total_slots += slots
            elsewhere += target.waiting_elsewhere(now)
            excess += max(0, target.occupied(now) - slots)
        return Capacity(rate, total_slots, elsewhere, excess)

    def retry_in_s(
        self, waiter: waiters.Waiter, wait_s: float, limit_s: float, now: float
    ) -> float:
        """Returns the earliest time at which a retry may succeed, in seconds.

        A queue is short enough for the request once it can wait for the rest.
        Where no upstream takes requests, none does before the end of the wait.
        """
        if wait_s < _INFINITY and not self.candidates(waiter, now):
            return wait_s
        return wait_s - limit_s

    def ready_in_s(self, waiter: waiters.Waiter, now: float) -> float:
        """Returns the expected time until a target exists, in seconds."""
        if waiter.owner is None:
            return min(
                (
                    target.backoff_left_s(now)
                    for target in self.usable_targets(waiter, now)
                    if self._is_backing_off(target, waiter, now)
                ),
                default=_INFINITY,
            )
        owner = waiter.owner.target(now)
        if owner is not None and self._limits.is_blocked(owner, now):
            return owner.cold_until - now
        return waiter.owner.ready_in_s(now)


def _random_sample(pool: list[targets.Target]) -> list[targets.Target]:
    return random.sample(pool, min(SAMPLE_SIZE, len(pool)))
