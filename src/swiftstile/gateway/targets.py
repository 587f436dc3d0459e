"""Upstreams as one VM sees them: how busy, how fast, how healthy."""

import collections

from swiftstile import ids
from swiftstile.gateway import interfaces
from swiftstile.gateway import model

__all__ = ["Target", "TargetTable"]

# A target that just started is about this much slower for its cold time.
COLD_SLOWDOWN = 2.0
# A request that takes longer than so many times what is usual there shows a
# target that stalls. That is beyond 99 in 100 requests at one that works, one
# ahead of it included.
STALL_FACTOR = 3.0
# What part of its time without an answer a request is taken to be over; the
# rest may have been a wait.
SERVICE_TIME_FRACTION = 0.7
# A reported slowdown counts for so long; it changes several times a second.
SLOWDOWN_TTL_S = 0.2
# Bound of the estimated slowness, so that no target is barred for ever.
MAX_SLOW_FACTOR = 20.0
# A target that can't be reached is passed over this long, doubled with each
# failure in a row.
INITIAL_PENALTY_S = 0.25
MAX_PENALTY_S = 2.0
# Sends stop this long before the platform's bound for leaving targets: an
# answer of the store takes a part of it, and a request on its way the rest.
DRAIN_MARGIN_S = 0.5
# Owners in an evacuated failure domain go on being asked for so long, while
# their keys move to others. The platform allows 5 s from its acknowledgement,
# of which VMs may need 2.5 s to hear of it.
EVACUATION_GRACE_S = 2.0
# Counts of peers older than this say nothing.
PEER_COUNT_TTL_S = 1.5


class Target:
    """One upstream.

    Attributes:
        in_flight: Requests that this VM has there now, or that it permitted
            others.
        permitted: Those of them that another VM permitted and counts.
        waiting: Requests that wait at this VM for it alone.
        peer_counts: Requests of other VMs, by VM: (count, waiting, when heard).
        slowness: Its service time over the mean of all, 1.0 when as fast.
        left_at: When it was first seen to leave by its own word, or by the lack
            of it; None while it is registered and ready.
        drain_started_at: When the platform may first have known that it left;
            sends end a fixed time after that. None while `left_at` is.
        evacuated_at: Since when its failure domain is evacuated; None if not.
        leaving_since: The earlier of `left_at` and `evacuated_at`; None while
            it stays.
        is_unregistered: Its registration is no more.
        is_replaced: Another server runs at its address, so it has ended.
        cold_until: Until when it is cold, by its own word or since it was
            taken back.
        next_cold_send_at: While it is cold this VM sends nothing there until
            then.
    """

    def __init__(self, upstream: model.Upstream, now: float):
        self.upstream = upstream
        self.in_flight = 0
        self.permitted = 0
        self.waiting = 0
        self.peer_counts: dict[model.NodeId, tuple[int, int, float]] = {}
        self.slowness = 1.0
        self.left_at: float | None = None
        self.evacuated_at: float | None = None
        self.leaving_since: float | None = None
        self.drain_started_at: float | None = None
        self.is_unregistered = False
        self.is_replaced = False
        self.cold_until = now + upstream.cold_s
        self.next_cold_send_at = 0.0
        self._slow_until = now + upstream.cold_s
        self._slowdown = 1.0
        self._slowdown_until = 0.0
        self._penalty_until = 0.0
        self._failures = 0
        self._started: collections.OrderedDict[int, tuple[float, float]] = (
            collections.OrderedDict()
        )

    @property
    def id(self) -> model.UpstreamId:
        """Its id."""
        return self.upstream.id

    def occupied(self, now: float) -> int:
        """Returns requests there, of all VMs as far as known."""
        return self.in_flight + sum(
            count
            for count, _, heard in self.peer_counts.values()
            if now - heard < PEER_COUNT_TTL_S
        )

    def waiting_elsewhere(self, now: float) -> int:
        """Returns requests that wait for it at other VMs."""
        return sum(
            waiting
            for _, waiting, heard in self.peer_counts.values()
            if now - heard < PEER_COUNT_TTL_S
        )

    def accepts_requests(self, now: float, drain_s: float) -> bool:
        """Whether anything may be sent there at all."""
        if self.is_replaced or self.is_evacuated(now):
            return False
        if self.drain_started_at is None:
            return True
        sends_s = max(0.0, drain_s - DRAIN_MARGIN_S)
        return now - self.drain_started_at < sends_s

    def is_evacuated(self, now: float) -> bool:
        """Whether nothing more may be sent to its failure domain."""
        if self.evacuated_at is None:
            return False
        return now - self.evacuated_at >= EVACUATION_GRACE_S

    def mark_leaving(self, now: float, known_since: float) -> None:
        """It left, which the platform may have known for some time."""
        if self.left_at is None:
            self.left_at, self.drain_started_at = now, known_since
        self._update_leaving_since()

    def mark_ready(self) -> None:
        """It is registered and ready."""
        self.left_at = self.drain_started_at = None
        self._update_leaving_since()

    def set_evacuated(self, since: float | None) -> None:
        """Its failure domain is evacuated since then, or isn't if None."""
        self.evacuated_at = since
        self._update_leaving_since()

    def extend_cold(self, until: float) -> None:
        """It is cold until then, or for longer by what is known."""
        self.cold_until = max(self.cold_until, until)

    def _update_leaving_since(self) -> None:
        known = [
            at for at in (self.left_at, self.evacuated_at) if at is not None
        ]
        self.leaving_since = min(known, default=None)

    def is_penalised(self, now: float) -> bool:
        """Whether it failed just now."""
        return now < self._penalty_until

    def penalty_left_s(self, now: float) -> float:
        """Returns how much longer it is passed over, in seconds."""
        return max(0.0, self._penalty_until - now)

    @property
    def is_failing(self) -> bool:
        """Whether it failed since its last answer."""
        return self._failures > 0

    def slow_factor(self, now: float) -> float:
        """Returns the expected service time over the mean of all targets."""
        factor = self.slowness * (self.reported_slowdown(now) or 1.0)
        if now < self._slow_until:
            factor = max(factor, COLD_SLOWDOWN)
        for started, expected_s in self._started.values():
            # The oldest comes first. One without an answer is at least so slow.
            overdue = (now - started) / (expected_s * self.slowness)
            if overdue > STALL_FACTOR:
                factor *= overdue * SERVICE_TIME_FRACTION
            break
        return min(factor, MAX_SLOW_FACTOR)

    def note_sent(self, token: int, now: float, expected_s: float) -> None:
        """A request goes there."""
        self.in_flight += 1
        self._started[token] = (now, max(expected_s, 0.001))

    def note_ended(self, token: int) -> None:
        """A request of ours is no longer there."""
        self.in_flight -= 1
        self._started.pop(token, None)

    def note_permitted(self, token: int, now: float, expected_s: float) -> None:
        """A request goes there that another VM counts."""
        self.permitted += 1
        self.note_sent(token, now, expected_s)

    def note_permit_ended(self, token: int) -> None:
        """Such a request is no longer there."""
        self.permitted -= 1
        self.note_ended(token)

    def note_answer(self, now: float) -> None:
        """It answered."""
        self._failures = 0
        self._penalty_until = 0.0

    def note_failure(self, now: float) -> None:
        """It couldn't be reached, was silent, or its answer was broken."""
        penalty = min(INITIAL_PENALTY_S * 2**self._failures, MAX_PENALTY_S)
        self._failures += 1
        self._penalty_until = now + penalty

    def note_rejected(self, now: float, wait_s: float) -> None:
        """It refused for lack of room."""
        self._penalty_until = max(self._penalty_until, now + wait_s)

    def reported_slowdown(self, now: float) -> float | None:
        """Returns how long work takes there over the usual, if it just said."""
        return self._slowdown if now < self._slowdown_until else None

    def note_slowdown(self, slowdown: float, now: float) -> None:
        """Work takes that much longer there than usual at this moment."""
        self._slowdown = max(slowdown, 0.1)
        self._slowdown_until = now + SLOWDOWN_TTL_S

    def note_load(self, load: interfaces.Load, now: float) -> None:
        """It said how busy it is; an upper bound for counts of peers."""
        if load.slowdown is not None:
            self.note_slowdown(load.slowdown, now)
        total = load.running + load.waiting
        if total == 0 and self.in_flight == 0:
            self.peer_counts.clear()


class TargetTable:
    """All targets.

    Attributes:
        by_id: Targets by upstream id.
        by_service: The same, by service and id.
        evacuated_at: Since when failure domains are evacuated, by domain.
        cold_start_s: How long upstreams are cold that start or were taken
            back, by service; only where sends to them are limited.
    """

    def __init__(self):
        self.evacuated_at: dict[ids.FailureDomain, float] = {}
        self.cold_start_s: dict[ids.ServiceName, float] = {}
        self.by_id: dict[model.UpstreamId, Target] = {}
        self.by_service: dict[
            ids.ServiceName, dict[model.UpstreamId, Target]
        ] = {}

    def put(
        self,
        upstream: model.Upstream,
        now: float,
        known_since: float | None = None,
    ) -> Target:
        """Adds an upstream, or takes over what it registered anew.

        Args:
            upstream: The upstream.
            now: The time.
            known_since: Since when the platform may have known it; `now` if
                left out.
        """
        target = self.by_id.get(upstream.id)
        if target is not None and upstream.has_restarted_since(
            target.upstream.started_ms
        ):
            # What was known of its earlier life says nothing of this one, and
            # requests that are still counted there end with it.
            target.is_replaced = True
            target = None
        if target is None:
            target = Target(upstream, now)
            self.by_id[upstream.id] = target
            group = self.by_service.setdefault(upstream.service, {})
            group[upstream.id] = target
        target.upstream = upstream
        target.is_unregistered = False
        target.extend_cold(now + upstream.cold_s)
        target.set_evacuated(self.evacuated_at.get(upstream.failure_domain))
        self._replace_at(upstream, now)
        if target.is_replaced:
            return target
        if upstream.state is model.UpstreamState.READY:
            target.mark_ready()
        else:
            target.mark_leaving(
                now, now if known_since is None else known_since
            )
        return target

    def evacuate(self, domain: ids.FailureDomain, now: float) -> None:
        """Nothing more is to be sent to the upstreams of a failure domain.

        Those that register later count as evacuated just as long.
        """
        self._set_evacuated(domain, self.evacuated_at.setdefault(domain, now))

    def end_evacuation(self, domain: ids.FailureDomain, now: float) -> None:
        """The upstreams of a failure domain may be used again.

        They may have become cold meanwhile, and say so only with their next
        registration.
        """
        self.evacuated_at.pop(domain, None)
        self._set_evacuated(domain, None)
        for target in self.by_id.values():
            service = target.upstream.service
            is_there = target.upstream.failure_domain == domain
            if is_there and service in self.cold_start_s:
                target.extend_cold(now + self.cold_start_s[service])

    def _set_evacuated(
        self, domain: ids.FailureDomain, since: float | None
    ) -> None:
        for target in self.by_id.values():
            if target.upstream.failure_domain == domain:
                target.set_evacuated(since)

    def has_active(self, service: ids.ServiceName) -> bool:
        """Whether a service has an upstream that doesn't leave."""
        group = self.by_service.get(service, {})
        return any(target.leaving_since is None for target in group.values())

    def mark_replaced(self, target: Target, now: float) -> None:
        """Another server was seen at a target's address."""
        target.is_replaced = True
        target.mark_leaving(now, now)

    def _replace_at(self, upstream: model.Upstream, now: float) -> None:
        for other in self.by_id.values():
            is_same = other.upstream.address == upstream.address
            if is_same and other.id != upstream.id and other.is_unregistered:
                self.mark_replaced(other, now)

    def mark_unregistered(
        self,
        upstream: model.UpstreamId,
        now: float,
        known_since: float | None = None,
    ) -> None:
        """Its registration is no more; see `put` for the arguments."""
        target = self.by_id.get(upstream)
        if target is not None:
            target.is_unregistered = True
            target.mark_leaving(
                now, now if known_since is None else known_since
            )

    def remove_departed(self, now: float, keep_s: float) -> list[Target]:
        """Drops targets that left more than `keep_s` ago; returns them."""
        dropped = [
            target
            for target in self.by_id.values()
            if target.is_unregistered
            and target.in_flight == 0
            and now - target.left_at > keep_s
        ]
        for target in dropped:
            del self.by_id[target.id]
            del self.by_service[target.upstream.service][target.id]
        return dropped
