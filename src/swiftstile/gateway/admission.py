"""Which request may use which slot next, and which is refused at once.

No network, task or clock of its own: callers pass the time. The load it
answers: targets with few slots that several VMs share, more work than they
can do, and callers that gain little from an answer after their objective.
"""

import abc
import itertools
import random
import typing

from swiftstile import ids
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import model
from swiftstile.gateway import targets

__all__ = [
    "Admission",
    "Assignment",
    "Contest",
    "Overload",
    "OwnerLookup",
    "Waiter",
    "crossing_s",
]

# Requests sent to a target beyond its slots: hides the time that our view of
# it lags behind (a round trip and a message of a peer, about 30 ms).
QUEUE_AHEAD = 1
# A wait that uses more than this part of the slack before the objective is
# refused instead: estimates are off by a third or so.
SLACK_USED = 0.8
# Least wait that is allowed, as a part of the objective: a request is never
# refused for an estimate that is within the noise.
LEAST_WAIT = 0.25
# A request counts as late unless it could also take so much more than the mean
# work: work varies by half, so half of those that are just in time by the mean
# are late, and take a slot from one that wouldn't be. Never more than the
# latter part of the slack, so that a slow owner's requests aren't all late.
LATE_RESERVE, RESERVED_SLACK = 0.6, 0.5
# Where requests that can be in time have been waiting for the same for so long,
# in objectives, late ones are refused. Later refusals serve no more.
CROWDED_AFTER = 0.5
# A request that has less than this part of its expected time left is refused.
LEAST_TIME_LEFT = 0.6
# What sending to another failure domain counts for, in objectives: bytes
# between domains are dear, and an answer that comes a little later within its
# objective is worth the same.
OTHER_DOMAIN = 0.2
# The same for large bodies: such a request goes to another domain only where
# it would miss its objective at home.
OTHER_DOMAIN_LARGE = 0.75
# Shortest time after which a caller is asked back, in objectives: about the
# time in which a slot comes free.
LEAST_RETRY_AFTER = 0.25
# A service without any target: about two heartbeats of the upstreams.
TARGETLESS_RETRY_AFTER_S = 1.0
# Callers spread their return over this part of the time they are told.
RETRY_SPREAD = 0.4
# Up to so many VMs that share targets, each knows of all requests there within
# a fraction of the time that these take.
FEW_VMS = 6
# Targets that a VM compares where there are more VMs. By counts that are older
# than the time between two requests, all would choose the same best one.
SAMPLE = 2
_FOREVER = float("inf")

# What requests wait for: any upstream of a service, or the one that owns a key.
Contest = tuple[ids.ServiceName, model.UpstreamId | None]


class Overload(typing.NamedTuple):
    """A refusal: when to come back, and what decided it.

    Attributes:
        retry_after_s: When to come back, in seconds.
        wait_s: How long it would have waited, or did.
        owner: The one upstream that could have served it; None without a key
            or an owner.
        is_ownerless: Whether its key has no owner that can be asked.
    """

    retry_after_s: float
    wait_s: float
    owner: model.UpstreamId | None
    is_ownerless: bool = False


class _Group(typing.NamedTuple):
    """Targets of a service, by where they are and whether they have room."""

    home_open: list[targets.Target]
    home_full: list[targets.Target]
    far_open: list[targets.Target]


# Groups that were found at one scan of the queue, by service and domain.
_Groups = dict[tuple[ids.ServiceName, ids.FailureDomain | None], _Group]


class Assignment(typing.NamedTuple):
    """A request that may be sent now, and where to."""

    waiter: "Waiter"
    target: targets.Target


def crossing_s(route: model.Route) -> float:
    """Returns what an answer of another failure domain counts for longer."""
    if route.repeatability is model.Repeatability.ONCE_LARGE:
        return OTHER_DOMAIN_LARGE * route.objective_s
    return OTHER_DOMAIN * route.objective_s


class OwnerLookup(abc.ABC):
    """Finds the owner of one key."""

    @abc.abstractmethod
    def target(self, now: float) -> targets.Target | None:
        """Returns the owner, if it can be asked now."""

    @abc.abstractmethod
    def ready_in_s(self, now: float) -> float:
        """Returns when there is likely to be an owner, in seconds."""


class Waiter:
    """A request that asks for a slot.

    Attributes:
        route: Its route.
        service: The service that was drawn for it.
        owner: Finds the target that owns its key; None without a key.
        arrived: When it came, on the steady clock.
        end: When its answer is of no use any more.
        expected_s: Time of a target of mean speed for it.
        excluded: Targets that already refused or failed it.
        awaited: The one target that it waits for, if its key has an owner.
        occupied: Other requests at its target when it was sent there.
        key: Its key, if it has one.
        gives_up_at: When its caller stops waiting, if it said so.
        domain: The failure domain whose upstreams alone it may use; all if
            None. One VM decides for all requests that name a domain.
        most_wait_s: Longest that it may wait for a slot, in seconds; as long as
            it is of use if None.
    """

    _sequence = itertools.count()

    def __init__(
        self,
        route: model.Route,
        service: ids.ServiceName,
        owner: "OwnerLookup | None",
        arrived: float,
        end: float,
        expected_s: float,
        key: int | None = None,
        gives_up_at: float | None = None,
    ):
        self.route = route
        self.service = service
        self.owner = owner
        self.arrived = arrived
        self.end = end
        self.expected_s = expected_s
        self.excluded: set[model.UpstreamId] = set()
        self.awaited: targets.Target | None = None
        self.occupied = 0
        self.key = key
        self.gives_up_at = gives_up_at
        self.domain: ids.FailureDomain | None = None
        self.most_wait_s: float | None = None
        self.sequence = next(self._sequence)

    @property
    def objective_at(self) -> float:
        """Until when an answer is of full use."""
        return self.arrived + self.route.objective_s

    @property
    def is_decided_for_all(self) -> bool:
        """Whether one VM decides for all that wait for the same."""
        return self.owner is not None or self.domain is not None

    @property
    def contest(self) -> Contest | None:
        """What it waits for: any of a service, or the owner of its key.

        None if its key has no owner: nobody overtakes it there.
        """
        if self.owner is None:
            return self.service, None
        return None if self.awaited is None else (self.service, self.awaited.id)

    @property
    def work_s(self) -> float:
        """Time for it at the one target that it waits for, or at a mean one."""
        slowness = 1.0 if self.awaited is None else self.awaited.slowness
        return self.expected_s * slowness

    def is_late(self, now: float) -> bool:
        """Whether an answer would likely come too late to be of full use."""
        work_s = self.work_s
        slack_s = max(0.0, self.route.objective_s - work_s)
        reserve_s = min(LATE_RESERVE * work_s, RESERVED_SLACK * slack_s)
        return now + work_s + reserve_s > self.objective_at

    def rank(self, now: float) -> tuple[bool, int, float, int]:
        """Returns its place in the queue; the least goes first."""
        return (
            self.is_late(now),
            self.route.priority,
            self.arrived,
            self.sequence,
        )


class Admission:
    """Shares the slots of targets out to the requests of one VM.

    Attributes:
        vms: VMs that send to the same targets, this one included.
    """

    def __init__(
        self,
        book: targets.TargetTable,
        domain: ids.FailureDomain,
        drain_s: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
    ):
        self._book = book
        self._domain = domain
        self._drain_s = drain_s
        self._limits = limits
        self._waiters: dict[int, Waiter] = {}
        # Since when requests that can be in time have been waiting for the
        # same, without a break.
        self._contested_since: dict[Contest, float] = {}
        self._returns = caller_retries.RetryTracker()
        self.vms = 1

    def __len__(self) -> int:
        return len(self._waiters)

    def offer(
        self, waiter: Waiter, now: float
    ) -> targets.Target | Overload | None:
        """Decides on a request that just came, or came back from a target.

        Returns:
            A target, if it may be sent now; a refusal, if waiting is hopeless;
            or None, if it has to wait and was put into the queue.
        """
        if waiter.owner is not None:
            waiter.awaited = waiter.owner.target(now)
        self._returns.match_retry(waiter, now)
        if not self._is_overtaking(waiter, now):
            target = self.pick(waiter, now)
            if target is not None:
                self._limits.note_sent(target, now)
                return target
        wait_s = self.expected_wait_s(waiter, now)
        limit_s = self._longest_wait_s(waiter, now)
        if waiter.most_wait_s is not None:
            limit_s = min(limit_s, waiter.most_wait_s)
        if wait_s > limit_s:
            return self._refusal(waiter, wait_s - limit_s, wait_s, now)
        self._waiters[waiter.sequence] = waiter
        if waiter.awaited is not None:
            waiter.awaited.waiting += 1
        return None

    def leave(self, waiter: Waiter) -> None:
        """Takes a request out of the queue, if it is there."""
        if self._waiters.pop(waiter.sequence, None) is None:
            return
        if not self._waiters:
            self._contested_since.clear()
        if waiter.awaited is not None:
            waiter.awaited.waiting -= 1
            waiter.awaited = None

    def pump(
        self, now: float, only: Contest | None = None
    ) -> tuple[list[Assignment], list[tuple[Waiter, Overload]]]:
        """Returns waiting requests that may be sent, and those to refuse.

        Args:
            now: The time.
            only: Looks at the requests that wait for this alone; all if left
                out.
        """
        assigned, refused = [], []
        # For what requests wait that can be in time.
        contested: set[Contest] = set()
        groups: _Groups = {}
        looked_at = [
            waiter
            for waiter in self._waiters.values()
            if only is None or waiter.contest == only
        ]
        for waiter in sorted(looked_at, key=lambda entry: entry.rank(now)):
            if waiter.end - now < LEAST_TIME_LEFT * waiter.expected_s:
                refused.append((waiter, self._turn_away(waiter, now)))
                continue
            target = self._pick(waiter, now, groups)
            if target is not None:
                self.leave(waiter)
                # Counted here, so that the next one sees the slot taken.
                target.in_flight += 1
                self._limits.note_sent(target, now)
                groups.pop((waiter.service, waiter.domain), None)
                assigned.append(Assignment(waiter, target))
                continue
            if self._is_hopeless(waiter, now):
                refused.append((waiter, self._turn_away(waiter, now)))
                continue
            if waiter.contest is None:
                continue
            if not waiter.is_late(now):
                contested.add(waiter.contest)
            elif self._is_starved(waiter, contested, now):
                refused.append((waiter, self._turn_away(waiter, now)))
        self._note_contested(contested, only, now)
        for assignment in assigned:
            assignment.target.in_flight -= 1
        return assigned, refused

    @staticmethod
    def _is_hopeless(waiter: Waiter, now: float) -> bool:
        """Whether its key gets no owner within the time that it has left."""
        if waiter.owner is None or waiter.owner.target(now) is not None:
            return False
        return waiter.owner.ready_in_s(now) > waiter.end - now

    def _note_contested(
        self, contested: set[Contest], only: Contest | None, now: float
    ) -> None:
        """Notes since when requests that can be in time wait for the same."""
        kept = {
            contest: since
            for contest, since in self._contested_since.items()
            if contest in contested or (only is not None and contest != only)
        }
        self._contested_since = dict.fromkeys(contested, now) | kept

    def _turn_away(self, waiter: Waiter, now: float) -> Overload:
        """Takes a request out of the queue that waited in vain."""
        overload = self._refusal(waiter, 0.0, now - waiter.arrived, now)
        self.leave(waiter)
        return overload

    def _is_starved(
        self, waiter: Waiter, contested: set[Contest], now: float
    ) -> bool:
        """Whether a late request would wait in vain.

        Those that can be in time go first. Where some have been waiting for
        long, more will come.
        """
        return waiter.contest in contested and self._is_crowded(waiter, now)

    def pick(self, waiter: Waiter, now: float) -> targets.Target | None:
        """Returns the target with room that is expected to answer first."""
        return self._pick(waiter, now, {})

    def _pick(
        self, waiter: Waiter, now: float, groups: _Groups
    ) -> targets.Target | None:
        """The same, by what is known of all that wait at the same moment."""
        best, best_s = None, waiter.end - now
        best_full_s = _FOREVER
        for target in self._sample(waiter, now, groups):
            slots = target.upstream.slots
            ahead = target.occupied(now) - slots
            work_s = waiter.expected_s * target.slow_factor(now)
            took_s = work_s * (1 + max(0, ahead + 1) / slots)
            took_s += self._distance_s(waiter, target)
            if target.is_penalised(now):
                took_s += waiter.expected_s
            if ahead >= self._room_beyond_slots(waiter, now):
                best_full_s = min(best_full_s, took_s)
            elif waiter.owner is not None or took_s < best_s:
                best, best_s = target, took_s
        # One that is full now may still be the first to answer.
        return best if best_s <= best_full_s else None

    @staticmethod
    def _room_beyond_slots(waiter: Waiter, now: float) -> int:
        """Returns how many requests a target may have beyond its slots.

        One that is late anyway goes to an owner only when a slot is idle: what
        it would gain by queueing there, the next one that can be in time loses.
        """
        if waiter.owner is not None and waiter.is_late(now):
            return 0
        return QUEUE_AHEAD

    def expected_wait_s(self, waiter: Waiter, now: float) -> float:
        """Returns how long a request would wait for a slot, in seconds."""
        candidates = self._candidates(waiter, now)
        if not candidates:
            return self._no_candidate_for_s(waiter, now)
        rate, elsewhere, above = 0.0, 0, 0
        for target in candidates:
            slots = target.upstream.slots
            rate += min(
                slots / (waiter.expected_s * target.slow_factor(now)),
                self._limits.rate_per_s(target, now),
            )
            elsewhere += target.waiting_elsewhere(now)
            above += max(0, target.occupied(now) - slots)
        ahead = self._ahead(waiter, now)
        if not waiter.is_decided_for_all:
            ahead *= self.vms
        return (ahead + elsewhere + above + 1) / rate

    def _no_candidate_for_s(self, waiter: Waiter, now: float) -> float:
        """Returns how long there is likely to be nowhere to send to."""
        if waiter.owner is None:
            return _FOREVER
        owner = waiter.owner.target(now)
        if owner is not None and self._limits.is_blocked(owner, now):
            return owner.cold_until - now
        return waiter.owner.ready_in_s(now)

    def _sample(
        self, waiter: Waiter, now: float, groups: _Groups
    ) -> list[targets.Target]:
        """Returns the targets to compare for a request.

        Where many VMs share the targets, what one knows of them is older than
        the time in which the others send there. If all chose the best of all,
        all would choose the same one, so each compares a few drawn at random.
        """
        if waiter.domain is not None:
            # This VM knows the requests of all VMs there.
            return self._group(waiter, now, groups).home_open
        if self.vms <= FEW_VMS:
            return self._open_candidates(waiter, now)
        group = self._group(waiter, now, groups)
        if group.home_open:
            return _some_of(group.home_open)
        # A full one at home may still be the first to answer; it is waited for.
        return _some_of(group.far_open) + _some_of(group.home_full)

    def _open_candidates(
        self, waiter: Waiter, now: float
    ) -> list[targets.Target]:
        """Returns the candidates to which this VM may send at this moment."""
        return [
            target
            for target in self._candidates(waiter, now)
            if now >= target.cold_until or self._limits.may_send(target, now)
        ]

    def _group(self, waiter: Waiter, now: float, groups: _Groups) -> _Group:
        """Returns the targets of a request, in groups.

        Requests that wait for the same service share them: a queue looks often,
        and would go through all targets for each request.
        """
        is_shared = waiter.owner is None and not waiter.excluded
        name = waiter.service, waiter.domain
        if is_shared and name in groups:
            return groups[name]
        group = _Group([], [], [])
        for target in self._open_candidates(waiter, now):
            ahead = target.occupied(now) - target.upstream.slots
            if target.upstream.failure_domain != self._domain:
                if ahead < QUEUE_AHEAD:
                    group.far_open.append(target)
            elif ahead < QUEUE_AHEAD:
                group.home_open.append(target)
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
            group = self._book.by_service.get(waiter.service, {})
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
            and not self._is_barred(target, now)
        ]
        sound = [entry for entry in usable if not entry.is_penalised(now)]
        return sound or usable

    def staying(self, waiter: Waiter, now: float) -> list[targets.Target]:
        """Returns the targets of a request's service that it may be sent to."""
        group = self._book.by_service.get(waiter.service, {})
        return [
            target
            for target in group.values()
            if target.leaving_since is None
            and self.is_usable(target, waiter, now)
        ]

    def is_usable(
        self, target: targets.Target, waiter: Waiter, now: float
    ) -> bool:
        """Whether a target may get a request, as far as this VM knows."""
        return target.id not in waiter.excluded and target.accepts_requests(
            now, self._drain_s
        )

    def _is_barred(self, target: targets.Target, now: float) -> bool:
        return now < target.cold_until and self._limits.is_blocked(target, now)

    def _distance_s(self, waiter, target) -> float:
        if target.upstream.failure_domain == self._domain:
            return 0.0
        return crossing_s(waiter.route)

    def _is_overtaking(self, waiter: Waiter, now: float) -> bool:
        """Whether one that waits for the same target should go first."""
        rank = waiter.rank(now)
        return any(
            self._competes(other, waiter) and other.rank(now) < rank
            for other in self._waiters.values()
        )

    def _ahead(self, waiter: Waiter, now: float) -> int:
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

    def _longest_wait_s(self, waiter: Waiter, now: float) -> float:
        possible_s = waiter.end - now - waiter.expected_s
        if waiter.is_decided_for_all and not self._is_crowded(waiter, now):
            # It would be served late rather than not at all. Where no VM knows
            # all that wait, late requests of one would go before those of
            # another.
            return possible_s
        slack_s = waiter.objective_at - now - waiter.work_s
        useful_s = max(
            SLACK_USED * slack_s, LEAST_WAIT * waiter.route.objective_s
        )
        return min(useful_s, possible_s)

    def _is_crowded(self, waiter: Waiter, now: float) -> bool:
        """Whether requests that can be in time always wait for the same."""
        since = self._contested_since.get(waiter.contest, now)
        return now - since >= CROWDED_AFTER * waiter.route.objective_s

    def _refusal(
        self, waiter, excess_s: float, wait_s: float, now: float
    ) -> Overload:
        if excess_s == _FOREVER:
            excess_s = TARGETLESS_RETRY_AFTER_S
        base_s = max(LEAST_RETRY_AFTER * waiter.route.objective_s, excess_s)
        spread = 1 + random.uniform(0, RETRY_SPREAD)
        owner = None if waiter.awaited is None else waiter.awaited.id
        if waiter.most_wait_s is None:
            self._returns.expect_retry(waiter, now + base_s * spread)
        is_ownerless = waiter.owner is not None and owner is None
        return Overload(base_s * spread, wait_s, owner, is_ownerless)


def _some_of(pool: list[targets.Target]) -> list[targets.Target]:
    return random.sample(pool, min(SAMPLE, len(pool)))
