"""Admission control: which request gets which slot, and which is rejected.

Pure decision code: it does no I/O, starts no tasks and takes the current time
as an argument. It is designed for targets with few slots that are shared by
several VMs and overloaded, and for callers to which a response after its
latency objective is worth little.
"""

import abc
import itertools
import random
import typing

from swiftstile import ids
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import model
from swiftstile.gateway import ratelimits
from swiftstile.gateway import retry_schedule
from swiftstile.gateway import targets

__all__ = [
    "AdmissionController",
    "Assignment",
    "OwnerLookup",
    "QueueKey",
    "Rejection",
    "Waiter",
    "cross_domain_penalty_s",
]

# Requests sent to a target beyond its slots. Keeps its slots busy although this
# VM's view of it is about 30 ms old (a round trip and a report of a peer).
MAX_QUEUED_AT_TARGET = 1
# A request is rejected if its expected wait exceeds this fraction of the slack
# before its objective. Estimates are off by about a third.
MAX_SLACK_FRACTION = 0.8
# Waits up to this fraction of the objective are allowed in any case (unless the
# deadline is nearer), so that no request is rejected for estimation noise.
MIN_WAIT_FRACTION = 0.25
# A request counts as late unless it would meet its objective even with this
# fraction of the mean service time added. Service times vary by half, so half
# of the requests that are just in time by the mean finish late, and use a slot
# that another request could have used in time. The margin is capped at the
# second fraction of the slack, or else all requests of a slow owner would count
# as late.
LATENESS_MARGIN, MAX_MARGIN_OF_SLACK = 0.6, 0.5
# Late requests are rejected once requests that can still be in time have waited
# for the same targets for this long without a break, in objectives. Rejecting
# them later than this doesn't serve more requests.
CONTENTION_PERIOD = 0.5
# A request with less than this fraction of its expected service time left is
# rejected.
MIN_TIME_LEFT_FRACTION = 0.6
# Cost of sending to another failure domain, in objectives. Traffic between
# domains is expensive, and a response that is slower but still within its
# objective is worth the same.
CROSS_DOMAIN_COST = 0.2
# The same for large bodies, which leave the local domain only if they would
# miss their objective there.
CROSS_DOMAIN_COST_LARGE = 0.75
# Minimum Retry-After, in objectives: about the time until a slot becomes free.
MIN_RETRY_AFTER = 0.25
# Retry-After for a service without targets: about two upstream heartbeats.
NO_TARGET_RETRY_AFTER_S = 1.0
# Random fraction added to Retry-After, so that callers don't retry all at once.
RETRY_JITTER = 0.4
# Up to this many VMs, each learns of the others' requests at shared targets
# within a fraction of their service time.
MAX_VMS_WITHOUT_SAMPLING = 6
# Number of random targets that a VM compares when there are more VMs. Their
# counts are older than the time between two requests, so that all VMs would
# otherwise choose the same target.
SAMPLE_SIZE = 2
_INFINITY = float("inf")

# What a request queues for: any upstream of a service, or the owner of a key.
QueueKey = tuple[ids.ServiceName, model.UpstreamId | None]


class Rejection(typing.NamedTuple):
    """The rejection of a request, with its reason.

    Attributes:
        retry_after_s: When the caller should retry, in seconds from now.
        wait_s: How long the request waited or would have had to wait.
        owner: The only upstream that could have served it; None if it has no
            key or its key has no owner.
        is_ownerless: Whether its key has no reachable owner.
        is_reserved: Whether capacity is reserved at the time of the retry.
    """

    retry_after_s: float
    wait_s: float
    owner: model.UpstreamId | None
    is_ownerless: bool = False
    is_reserved: bool = False


class _Group(typing.NamedTuple):
    """Targets of a service by failure domain and spare capacity."""

    home_available: list[targets.Target]
    home_full: list[targets.Target]
    remote_available: list[targets.Target]


# Groups computed during one scan of the queue, by service and domain.
_Groups = dict[tuple[ids.ServiceName, ids.FailureDomain | None], _Group]


class Assignment(typing.NamedTuple):
    """A request that may be sent now, and its target."""

    waiter: "Waiter"
    target: targets.Target


def cross_domain_penalty_s(route: model.Route) -> float:
    """Returns the latency penalty for sending to another failure domain."""
    if route.repeatability is model.Repeatability.ONCE_LARGE:
        return CROSS_DOMAIN_COST_LARGE * route.objective_s
    return CROSS_DOMAIN_COST * route.objective_s


class OwnerLookup(abc.ABC):
    """Looks up the owner of one key."""

    @abc.abstractmethod
    def target(self, now: float) -> targets.Target | None:
        """Returns the owner, or None if it can't take requests now."""

    @abc.abstractmethod
    def ready_in_s(self, now: float) -> float:
        """Returns the expected time until the key has an owner, in seconds."""


class Waiter:
    """A request that needs a slot.

    Attributes:
        route: Its route.
        service: The service selected by the route's traffic split.
        owner: Looks up the target that owns its key; None without a key.
        arrived: Arrival time, on the monotonic clock.
        deadline: Time after which a response is useless.
        expected_s: Expected service time at a target of mean speed.
        excluded: Targets that already rejected it or failed.
        awaited: The target that owns its key, if it waits for that one.
        occupied: Other requests at its target when it was sent there.
        key: Its key, if any.
        gives_up_at: When its caller stops waiting, if the caller said so.
        domain: The only failure domain whose upstreams it may use; None for
            all. One VM decides for all requests with a domain.
        max_wait_s: Maximum wait for a slot, in seconds; None for no limit
            besides the deadline.
        is_for_peer: Whether another VM will send it, so that upstreams that
            want no requests of this VM may be used.
        rejections: How often its caller was rejected before, as far as known.
        returned_after_s: Time from its caller's first attempt to this one; 0
            for a first attempt.
        turn: Its place among requests of its priority.
        announced_retry_s: Retry-After that its caller was given when an upstream
            rejected it.
    """

    _sequence = itertools.count()

    def __init__(
        self,
        route: model.Route,
        service: ids.ServiceName,
        owner: "OwnerLookup | None",
        arrived: float,
        deadline: float,
        expected_s: float,
        key: int | None = None,
        gives_up_at: float | None = None,
    ):
        self.route = route
        self.service = service
        self.owner = owner
        self.arrived = arrived
        self.deadline = deadline
        self.expected_s = expected_s
        self.excluded: set[model.UpstreamId] = set()
        self.awaited: targets.Target | None = None
        self.occupied = 0
        self.key = key
        self.gives_up_at = gives_up_at
        self.domain: ids.FailureDomain | None = None
        self.max_wait_s: float | None = None
        self.is_for_peer = False
        self.rejections = 0
        self.returned_after_s = 0.0
        self.turn = caller_retries.Turn.NORMAL
        self.announced_retry_s: float | None = None
        self.sequence = next(self._sequence)

    @property
    def objective_at(self) -> float:
        """Time by which a response meets the objective."""
        return self.arrived + self.route.objective_s

    @property
    def attempted_at(self) -> float:
        """When its caller made this attempt, which may be a retry."""
        return self.arrived + self.returned_after_s

    @property
    def is_centrally_decided(self) -> bool:
        """Whether one VM decides for all requests that compete with it."""
        return self.owner is not None or self.domain is not None

    @property
    def queue_key(self) -> QueueKey | None:
        """What it queues for: any target of a service, or its key's owner.

        None if its key has no owner, as no other request can overtake it then.
        """
        if self.owner is None:
            return self.service, None
        return None if self.awaited is None else (self.service, self.awaited.id)

    @property
    def service_time_s(self) -> float:
        """Expected service time at the awaited target, or at a mean one."""
        slowness = 1.0 if self.awaited is None else self.awaited.slowness
        return self.expected_s * slowness

    def is_late(self, now: float) -> bool:
        """Whether a response would probably miss the objective."""
        work_s = self.service_time_s
        slack_s = max(0.0, self.route.objective_s - work_s)
        margin_s = min(LATENESS_MARGIN * work_s, MAX_MARGIN_OF_SLACK * slack_s)
        return now + work_s + margin_s > self.objective_at

    @property
    def is_reserved(self) -> bool:
        """Whether it returned at a time that was reserved for it."""
        return self.turn is caller_retries.Turn.RESERVED

    def rank(self, now: float) -> tuple[bool, int, int, float, int]:
        """Returns its sort key in the queue; the lowest goes first."""
        return (
            self.is_late(now),
            self.route.priority,
            self.turn,
            self.attempted_at,
            self.sequence,
        )


class AdmissionController:
    """Assigns slots of targets to the requests of one VM.

    Attributes:
        vm_count: Number of VMs that send to the same targets, including this
            one.
    """

    def __init__(
        self,
        target_table: targets.TargetTable,
        domain: ids.FailureDomain,
        drain_s: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
        rate_limits: ratelimits.RateLimits = ratelimits.UNLIMITED,
        retry_tracker: caller_retries.RetryTracker | None = None,
        schedule: retry_schedule.RetrySchedule | None = None,
    ):
        self._target_table = target_table
        self._rate_limits = rate_limits
        self._domain = domain
        self._drain_s = drain_s
        self._limits = limits
        self._waiters: dict[int, Waiter] = {}
        # Start of the current uninterrupted period in which requests that can
        # still be in time have been waiting, by what they queue for.
        self._contention_started: dict[QueueKey, float] = {}
        self._retry_tracker = retry_tracker or caller_retries.RetryTracker()
        self._schedule = schedule or retry_schedule.RetrySchedule(
            caller_retries.never_enabled
        )
        self.vm_count = 1

    def __len__(self) -> int:
        return len(self._waiters)

    def offer(
        self, waiter: Waiter, now: float
    ) -> targets.Target | Rejection | None:
        """Decides on a request that just arrived or that a target rejected.

        Returns:
            A target if the request may be sent now, a rejection if it couldn't
            be served in time, or None if it was put into the queue.
        """
        if waiter.owner is not None:
            waiter.awaited = waiter.owner.target(now)
        # A reservation holds for one send.
        waiter.turn = caller_retries.Turn.NORMAL
        reserved_at = self._retry_tracker.match_retry(waiter, now)
        if reserved_at is not None and not self._schedule.consume(
            waiter.queue_key, reserved_at, now
        ):
            waiter.turn = caller_retries.Turn.NORMAL
        if not self._is_preceded(waiter, now):
            target = self.select_target(waiter, now)
            if target is not None:
                self._note_sent(target, now)
                return target
        wait_s = self.expected_wait_s(waiter, now)
        limit_s = self._max_wait_s(waiter, now)
        if waiter.is_reserved:
            limit_s = waiter.deadline - now - waiter.expected_s
        elif self._schedule.is_enabled:
            wait_s += self._reserved_wait_s(waiter, wait_s, now)
        if waiter.max_wait_s is not None and not waiter.is_reserved:
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
        self, waiter: Waiter, wait_s: float, limit_s: float, now: float
    ) -> float:
        """Returns the earliest time at which a retry may succeed, in seconds.

        A queue is short enough for the request once it can wait for the rest.
        Where no upstream takes requests, none does before the end of the wait.
        """
        if wait_s < _INFINITY and not self._candidates(waiter, now):
            return wait_s
        return wait_s - limit_s

    def remove(self, waiter: Waiter) -> None:
        """Removes a request from the queue, if it is queued."""
        if self._waiters.pop(waiter.sequence, None) is None:
            return
        if not self._waiters:
            self._contention_started.clear()
        if waiter.awaited is not None:
            waiter.awaited.waiting -= 1
            waiter.awaited = None

    def dispatch(
        self, now: float, only: QueueKey | None = None
    ) -> tuple[list[Assignment], list[tuple[Waiter, Rejection]]]:
        """Returns queued requests that may be sent, and those to reject.

        Args:
            now: The current time.
            only: Restricts the scan to the requests that queue for this.
        """
        assigned, rejected = [], []
        # What requests that can still be in time keep waiting for.
        contested: set[QueueKey] = set()
        groups: _Groups = {}
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
            target = self._select_target(waiter, now, groups)
            if target is not None:
                self.remove(waiter)
                # Counted temporarily, so that later requests of this scan see
                # the slot as taken.
                target.in_flight += 1
                self._note_sent(target, now)
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
    def _has_no_owner_in_time(waiter: Waiter, now: float) -> bool:
        """Whether its key won't have an owner before its deadline."""
        if waiter.owner is None or waiter.owner.target(now) is not None:
            return False
        return waiter.owner.ready_in_s(now) > waiter.deadline - now

    def _update_contention(
        self, contested: set[QueueKey], only: QueueKey | None, now: float
    ) -> None:
        """Updates the start times of periods of contention."""
        kept = {
            key: since
            for key, since in self._contention_started.items()
            if key in contested or (only is not None and key != only)
        }
        self._contention_started = dict.fromkeys(contested, now) | kept

    def _reject_queued(self, waiter: Waiter, now: float) -> Rejection:
        """Removes a queued request and returns its rejection."""
        rejection = self._rejection(waiter, 0.0, now - waiter.arrived, now)
        self.remove(waiter)
        return rejection

    def _is_starved(
        self, waiter: Waiter, contested: set[QueueKey], now: float
    ) -> bool:
        """Whether a late request would never get a slot.

        Requests that can be in time go first. Where these have been queueing
        for a while, newer ones will keep overtaking it.
        """
        return waiter.queue_key in contested and self._is_contended(waiter, now)

    def select_target(
        self, waiter: Waiter, now: float
    ) -> targets.Target | None:
        """Returns the available target with the earliest expected response."""
        return self._select_target(waiter, now, {})

    def _select_target(
        self, waiter: Waiter, now: float, groups: _Groups
    ) -> targets.Target | None:
        """Like `select_target`, with groups cached during a queue scan."""
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
            if ahead >= self._max_beyond_slots(waiter, now):
                best_full_s = min(best_full_s, response_s)
            elif waiter.owner is not None or response_s < best_s:
                best, best_s = target, response_s
        # Waiting for a full target may still give the earliest response.
        return best if best_s <= best_full_s else None

    @staticmethod
    def _max_beyond_slots(waiter: Waiter, now: float) -> int:
        """Returns how many requests a target may have beyond its slots.

        A late request is sent to an owner only if a slot is idle. Queueing it
        there would delay the next request that can still be in time.
        """
        if waiter.owner is not None and waiter.is_late(now):
            return 0
        return MAX_QUEUED_AT_TARGET

    def expected_wait_s(self, waiter: Waiter, now: float) -> float:
        """Returns the expected wait of a request for a slot, in seconds."""
        candidates = self._candidates(waiter, now)
        if not candidates:
            return self._candidate_ready_in_s(waiter, now)
        rate, elsewhere, excess = 0.0, 0, 0
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
            elsewhere += target.waiting_elsewhere(now)
            excess += max(0, target.occupied(now) - slots)
        ahead = self._count_ahead(waiter, now)
        if not waiter.is_centrally_decided:
            ahead *= self.vm_count
        return (ahead + elsewhere + excess + 1) / rate

    def _candidate_ready_in_s(self, waiter: Waiter, now: float) -> float:
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

    def _sample(
        self, waiter: Waiter, now: float, groups: _Groups
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
        self, waiter: Waiter, now: float
    ) -> list[targets.Target]:
        """Returns the candidates that this VM may send to right now."""
        return [
            target
            for target in self._candidates(waiter, now)
            if (now >= target.cold_until or self._limits.may_send(target, now))
            and (
                target.rate_limit.per_s is None
                or self._rate_limits.may_send(target, now)
            )
        ]

    def _note_sent(self, target: targets.Target, now: float) -> None:
        self._limits.note_sent(target, now)
        self._rate_limits.note_sent(target, now)

    def _group(self, waiter: Waiter, now: float, groups: _Groups) -> _Group:
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

    def _candidates(self, waiter: Waiter, now: float) -> list[targets.Target]:
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
        self, waiter: Waiter, now: float
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
        self, target: targets.Target, waiter: Waiter, now: float
    ) -> bool:
        """Whether a target may be sent a request, as far as this VM knows."""
        return target.id not in waiter.excluded and target.accepts_requests(
            now, self._drain_s
        )

    @staticmethod
    def _is_backing_off(
        target: targets.Target, waiter: Waiter, now: float
    ) -> bool:
        return not waiter.is_for_peer and target.is_backing_off(now)

    def _is_blocked(self, target: targets.Target, now: float) -> bool:
        return now < target.cold_until and self._limits.is_blocked(target, now)

    def _domain_penalty_s(self, waiter, target) -> float:
        if target.upstream.failure_domain == self._domain:
            return 0.0
        return cross_domain_penalty_s(waiter.route)

    def _is_preceded(self, waiter: Waiter, now: float) -> bool:
        """Whether a competing request in the queue goes first."""
        rank = waiter.rank(now)
        return any(
            self._competes(other, waiter) and other.rank(now) < rank
            for other in self._waiters.values()
        )

    def _count_ahead(self, waiter: Waiter, now: float) -> int:
        rank = waiter.rank(now)
        return sum(
            self._competes(other, waiter) and other.rank(now) < rank
            for other in self._waiters.values()
        )

    def _competes(self, other: Waiter, waiter: Waiter) -> bool:
        if other.service != waiter.service:
            return False
        if other.owner is None or waiter.owner is None:
            return other.owner is None and waiter.owner is None
        return other.awaited is waiter.awaited

    def _max_wait_s(self, waiter: Waiter, now: float) -> float:
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

    def _is_contended(self, waiter: Waiter, now: float) -> bool:
        """Whether requests that can be in time have long been competing."""
        since = self._contention_started.get(waiter.queue_key, now)
        return now - since >= CONTENTION_PERIOD * waiter.route.objective_s

    def _rejection(
        self, waiter, excess_s: float, wait_s: float, now: float
    ) -> Rejection:
        if excess_s == _INFINITY:
            excess_s = NO_TARGET_RETRY_AFTER_S
        base_s = max(MIN_RETRY_AFTER * waiter.route.objective_s, excess_s)
        retry_s = base_s * (1 + random.uniform(0, RETRY_JITTER))
        reserved_at = self._reserve(waiter, now)
        is_reserved = reserved_at is not None
        if is_reserved:
            retry_s = reserved_at - now
        owner = None if waiter.awaited is None else waiter.awaited.id
        if waiter.max_wait_s is None:
            self._retry_tracker.expect_retry(
                waiter, now + retry_s, now, reserved_at
            )
        is_ownerless = waiter.owner is not None and owner is None
        return Rejection(retry_s, wait_s, owner, is_ownerless, is_reserved)

    def _reserve(self, waiter: Waiter, now: float) -> float | None:
        """Reserves a time for a rejected caller; None if none is left."""
        if (
            not self._schedule.is_enabled
            or waiter.gives_up_at is None
            or waiter.max_wait_s is not None
            or waiter.queue_key is None
            or not waiter.is_centrally_decided
        ):
            return None
        return self._schedule.reserve(
            waiter.queue_key,
            caller_retries.return_bounds(waiter, now),
            self._capacity_per_s(waiter, now),
            now,
        )

    def _reserved_wait_s(
        self, waiter: Waiter, wait_s: float, now: float
    ) -> float:
        """Returns how much longer a request waits for reserved ones."""
        if wait_s == _INFINITY or waiter.queue_key is None:
            return 0.0
        due = self._schedule.due(waiter.queue_key, now + wait_s, now)
        per_s = self._capacity_per_s(waiter, now)
        # An owner that drains, is cold or backs off has no capacity, although
        # the time until it has some is known.
        return due / per_s if per_s > 0 else 0.0

    def _capacity_per_s(self, waiter: Waiter, now: float) -> float:
        return retry_schedule.capacity_per_s(
            (target.upstream.slots, waiter.expected_s * target.slow_factor(now))
            for target in self._candidates(waiter, now)
        )


def _random_sample(pool: list[targets.Target]) -> list[targets.Target]:
    return random.sample(pool, min(SAMPLE_SIZE, len(pool)))
