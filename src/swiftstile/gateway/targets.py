"""State of upstreams as one VM knows it: load, speed and health."""

import collections

from swiftstile import ids
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import stated_limits
from swiftstile.gateway import stated_slowdown

__all__ = ["Target", "TargetTable"]

# Slowdown of a target that has just started, until its cold time is over.
COLD_SLOWDOWN = 2.0
# A target counts as stalled when its oldest request takes longer than this many
# times the usual time. At a working target, fewer than 1 in 100 requests take
# that long, even with one request ahead of it.
STALL_FACTOR = 3.0
# Fraction of the time without an answer that is attributed to service; the rest
# may have been queueing.
SERVICE_TIME_FRACTION = 0.7
# How long a reported slowdown is valid; it changes several times a second.
SLOWDOWN_TTL_S = 0.2
# Upper bound of the estimated slowness, so that no target is excluded forever.
MAX_SLOW_FACTOR = 20.0
# A target that can't be reached is avoided for this long, doubled with each
# consecutive failure.
INITIAL_PENALTY_S = 0.25
MAX_PENALTY_S = 2.0
# Sends stop this long before the platform's drain bound for leaving targets.
# The margin covers an answer of the store and a request in transit.
DRAIN_MARGIN_S = 0.5
# Owners in an evacuated failure domain continue to get requests for this long,
# while their keys move to others. The platform allows 5 s from its
# acknowledgement, of which a VM may need 2.5 s to learn of the evacuation.
EVACUATION_GRACE_S = 2.0
# Counts from peers older than this are ignored.
PEER_COUNT_TTL_S = 1.5


class Target:
    """One upstream.

    Attributes:
        in_flight: Requests that this VM has there now, or granted permits for.
        permitted: Those of them that another VM permitted and counts.
        waiting: Requests that wait at this VM for this target only.
        peer_counts: Requests of other VMs, by VM: (in flight, waiting, time of
            the report).
        slowness: Ratio of its service time to the mean of all targets.
        left_at: When this VM first saw that it is draining or no longer
            registered; None while it is registered and ready.
        drain_started_at: Earliest time at which the platform may have known
            that it is leaving; sends end a fixed time later. None while
            `left_at` is None.
        evacuated_at: When its failure domain was evacuated; None if it isn't.
        leaving_since: The earliest of `left_at`, `evacuated_at` and
            `announced_leaving_at`; None while it is in service.
        is_unregistered: Whether its registration has been removed.
        is_replaced: Whether another server runs at its address, so that it has
            ended.
        has_restarted: Whether its next run has registered, so that it has
            ended.
        has_vanished: Whether its registration was removed before it was known
            to be leaving. It may serve on: some upstreams leave so, and the
            store may lose a registration.
        cold_until: End of its cold time, as it reported or after the end of an
            evacuation.
        next_cold_send_at: Earliest time of this VM's next send while it is
            cold.
        rate_limit: The rate limit that it states.
        announced_leaving_at: When an answer first said that it is leaving; None
            if none did. Holds for as long as it runs.
        backoff_until: Until when it wants no requests of this VM.
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
        self.has_restarted = False
        self.has_vanished = False
        self.cold_until = now + upstream.cold_s
        self.next_cold_send_at = 0.0
        self.rate_limit = stated_limits.StatedLimit()
        self.announced_leaving_at: float | None = None
        self.backoff_until = 0.0
        self._slow_until = now + upstream.cold_s
        self._stated_slowdown = stated_slowdown.StatedSlowdown()
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
        """Returns the known number of requests of all VMs there."""
        return self.in_flight + sum(
            count
            for count, _, reported_at in self.peer_counts.values()
            if now - reported_at < PEER_COUNT_TTL_S
        )

    def waiting_elsewhere(self, now: float) -> int:
        """Returns the number of requests that wait for it at other VMs."""
        return sum(
            waiting
            for _, waiting, reported_at in self.peer_counts.values()
            if now - reported_at < PEER_COUNT_TTL_S
        )

    def accepts_requests(self, now: float, drain_s: float) -> bool:
        """Whether requests may still be sent there."""
        if self.is_replaced or self.is_evacuated(now):
            return False
        sends_s = max(0.0, drain_s - DRAIN_MARGIN_S)
        return not any(
            at is not None and now - at >= sends_s
            for at in (self.drain_started_at, self.announced_leaving_at)
        )

    def is_evacuated(self, now: float) -> bool:
        """Whether the evacuation of its failure domain has ended all sends."""
        if self.evacuated_at is None:
            return False
        return now - self.evacuated_at >= EVACUATION_GRACE_S

    def mark_leaving(self, now: float, known_since: float) -> None:
        """Marks it as leaving, known to the platform since `known_since`."""
        if self.left_at is None:
            self.left_at, self.drain_started_at = now, known_since
        self._update_leaving_since()

    def mark_ended(self, now: float, known_since: float) -> None:
        """Marks it as ended; see `mark_leaving` for the arguments."""
        self.has_vanished |= self.leaving_since is None
        self.mark_leaving(now, known_since)

    @property
    def is_planned_exit(self) -> bool:
        """Whether it was known to be leaving before it ended."""
        return self.leaving_since is not None and not self.has_vanished

    def mark_ready(self) -> None:
        """Marks it as registered and ready."""
        self.left_at = self.drain_started_at = None
        self.has_vanished = False
        self._update_leaving_since()

    def set_evacuated(self, since: float | None) -> None:
        """Sets when its failure domain was evacuated; None if it isn't."""
        self.evacuated_at = since
        self._update_leaving_since()

    def announce_leaving(self, at: float) -> None:
        """Records that an answer said that it is leaving.

        Unlike its registration, this is never revoked: it holds for the rest of
        the run, and the next run is another target.
        """
        if self.announced_leaving_at is None or at < self.announced_leaving_at:
            self.announced_leaving_at = at
        self._update_leaving_since()

    def is_backing_off(self, now: float) -> bool:
        """Whether it wants no requests of this VM now."""
        return now < self.backoff_until

    def backoff_left_s(self, now: float) -> float:
        """Returns how much longer it wants no requests of this VM."""
        return max(0.0, self.backoff_until - now)

    def extend_cold(self, until: float) -> None:
        """Extends its cold time; never shortens it."""
        self.cold_until = max(self.cold_until, until)

    def _update_leaving_since(self) -> None:
        stated = (self.left_at, self.evacuated_at, self.announced_leaving_at)
        known = [at for at in stated if at is not None]
        self.leaving_since = min(known, default=None)

    def is_penalised(self, now: float) -> bool:
        """Whether it is avoided because of a recent failure or rejection."""
        return now < self._penalty_until

    def penalty_left_s(self, now: float) -> float:
        """Returns how much longer it is avoided, in seconds."""
        return max(0.0, self._penalty_until - now)

    @property
    def is_failing(self) -> bool:
        """Whether it has failed since its last answer."""
        return self._failures > 0

    def slow_factor(self, now: float) -> float:
        """Returns the expected service time over the mean of all targets."""
        factor = self.slowness * (self.reported_slowdown(now) or 1.0)
        if now < self._slow_until:
            factor = max(factor, COLD_SLOWDOWN)
        for started, expected_s in self._started.values():
            # The oldest request comes first; the time it has been waiting for
            # an answer is a lower bound of its service time.
            overdue = (now - started) / (expected_s * self.slowness)
            if overdue > STALL_FACTOR:
                factor *= overdue * SERVICE_TIME_FRACTION
            break
        return min(factor, MAX_SLOW_FACTOR)

    def note_sent(self, token: int, now: float, expected_s: float) -> None:
        """Records that a request was sent there."""
        self.in_flight += 1
        self._started[token] = (now, max(expected_s, 0.001))

    def note_ended(self, token: int) -> None:
        """Records that a request of this VM has ended."""
        self.in_flight -= 1
        self._started.pop(token, None)

    def note_permitted(self, token: int, now: float, expected_s: float) -> None:
        """Records that a request was sent there which another VM counts."""
        self.permitted += 1
        self.note_sent(token, now, expected_s)

    def note_permit_ended(self, token: int) -> None:
        """Records that a request which another VM counts has ended."""
        self.permitted -= 1
        self.note_ended(token)

    def note_answer(self, now: float) -> None:
        """Records an answer, which ends its penalty."""
        self._failures = 0
        self._penalty_until = 0.0

    def note_failure(self, now: float) -> None:
        """Records a failed connection, a timeout or a malformed answer."""
        penalty = min(INITIAL_PENALTY_S * 2**self._failures, MAX_PENALTY_S)
        self._failures += 1
        self._penalty_until = now + penalty

    def forget_failures(self) -> None:
        """Ends its penalty, if other causes than itself made it fail."""
        self._failures = 0
        self._penalty_until = 0.0

    def note_rejected(self, now: float, wait_s: float) -> None:
        """Records that it rejected a request because it was full."""
        self._penalty_until = max(self._penalty_until, now + wait_s)

    def reported_slowdown(self, now: float) -> float | None:
        """Returns the ratio of current to usual service time, if recent."""
        return self._slowdown if now < self._slowdown_until else None

    def note_slowdown(self, slowdown: float, now: float) -> None:
        """Records a reported ratio of current to usual service time."""
        self._slowdown = max(slowdown, 0.1)
        self._slowdown_until = now + SLOWDOWN_TTL_S

    def note_load(self, load: interfaces.Load, now: float) -> None:
        """Applies the load that it reported with an answer.

        If it is idle, the counts from peers are out of date and are dropped.
        """
        if load.slowdown is not None:
            momentary = self._stated_slowdown.note(load.slowdown)
            self.note_slowdown(momentary, now)
        total = load.running + load.waiting
        if total == 0 and self.in_flight == 0:
            self.peer_counts.clear()


class TargetTable:
    """All targets.

    Attributes:
        by_id: Targets by upstream id.
        by_service: Targets by service and upstream id.
        evacuated_at: When each evacuated failure domain was evacuated.
        cold_start_s: Cold time of upstreams after a start or an evacuation, by
            service; only for services whose sends to cold upstreams are
            limited.
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
        """Adds an upstream, or updates it from a new registration.

        Args:
            upstream: The upstream.
            now: The time.
            known_since: Earliest time at which the platform may have known this
                state; `now` if left out.
        """
        target = self.by_id.get(upstream.id)
        if target is not None and upstream.has_restarted_since(
            target.upstream.started_ms
        ):
            # State from before the restart doesn't apply to the new process,
            # and requests that are still counted there end with the old one.
            target.is_replaced = target.has_restarted = True
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

    def at_address(self, address: str) -> Target | None:
        """Returns the registered upstream at an address, if there is one."""
        return next(
            (
                target
                for target in self.by_id.values()
                if target.upstream.address == address
                and not target.is_unregistered
            ),
            None,
        )

    def forget_failures(self) -> None:
        """Ends the penalties of all targets."""
        for target in self.by_id.values():
            target.forget_failures()

    def evacuate(self, domain: ids.FailureDomain, now: float) -> None:
        """Marks the upstreams of a failure domain as evacuated.

        Upstreams that register later count as evacuated since the same time.
        """
        self._set_evacuated(domain, self.evacuated_at.setdefault(domain, now))

    def end_evacuation(self, domain: ids.FailureDomain, now: float) -> None:
        """Returns the upstreams of a failure domain to service.

        They may have become cold meanwhile, which they report only with their
        next registration, so they count as cold at first.
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
        """Whether a service has an upstream that isn't leaving."""
        group = self.by_service.get(service, {})
        return any(target.leaving_since is None for target in group.values())

    def mark_replaced(self, target: Target, now: float) -> None:
        """Marks a target as ended: another server runs at its address."""
        target.is_replaced = True
        target.mark_ended(now, now)

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
        """Marks a registration as removed; see `put` for the arguments."""
        target = self.by_id.get(upstream)
        if target is not None:
            target.is_unregistered = True
            target.mark_ended(now, now if known_since is None else known_since)

    def remove_departed(self, now: float, keep_s: float) -> list[Target]:
        """Removes targets that left more than `keep_s` ago; returns them."""
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
