"""Applies registrations of upstreams to the targets.

Other writers may use the same table. An entry that can't be decoded, or that
names a service that isn't configured, is ignored and doesn't affect the others.
After an outage of the store, upstreams whose registrations are missing are
given time to renew them.
"""

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import supervision
from swiftstile.gateway import targets

__all__ = ["Registry"]

# Registrations that expired during an outage of the store are renewed within
# this time after its end if the upstream lives; the platform states about two
# seconds.
REREGISTRATION_GRACE_S = 2.2
# Registrations that the store lost when it returned from an older copy are
# written again within this time, some heartbeats.
RETURN_GRACE_S = 3.0
# What an older copy of the store shows again, and is known to have ended, is
# believed after this time: by then it would have been ended again.
RETURN_DISTRUST_S = 10.0
# Departed targets are kept for this long, as keys may still have to be
# reclaimed from them.
DEPARTED_RETENTION_S = 20.0


class _MissingRegistration(msgspec.Struct):
    """A missing registration that may be renewed.

    Attributes:
        until: Deadline for its renewal.
        earliest_departure_at: Earliest time at which the upstream may have
            left.
    """

    until: float
    earliest_departure_at: float


class Registry:
    """Applies the table of registrations to the targets.

    Args:
        target_table: The targets.
        decode: Returns an upstream from its id and the row's value.
        on_change: Called after targets changed.
        meters: Counts entries that are ignored.
        supervisor: Keeps an entry's failure from the others.

    Attributes:
        follower: Follows the table.
    """

    def __init__(
        self,
        target_table: targets.TargetTable,
        decode,
        on_change,
        meters: metrics.Meters,
        supervisor: supervision.Supervisor,
    ):
        self._supervisor = supervisor
        self._target_table = target_table
        self._decode = decode
        self._on_change = on_change
        self._meters = meters
        # Configured services; None until a configuration is known.
        self._services: frozenset[ids.ServiceName] | None = None
        # Registrations for services that aren't configured, by id.
        self._unconfigured: dict[model.UpstreamId, bytes] = {}
        self._missing_by_id: dict[model.UpstreamId, _MissingRegistration] = {}
        # When evacuations ended, by failure domain.
        self._evacuation_ended_at: dict[ids.FailureDomain, float] = {}
        # Rows of an older copy that aren't believed yet, and until when, by id;
        # and the same for evacuations by failure domain.
        self._distrusted: dict[model.UpstreamId, tuple[bytes, float]] = {}
        self._evacuation_doubts: dict[ids.FailureDomain, tuple[bool, float]] = (
            {}
        )
        self.follower: follow.TableFollower | None = None

    def apply(self, changes: list[interfaces.Change]) -> None:
        """Applies changed rows."""
        now = clocks.monotonic()
        earliest_departure_at = self.follower.earliest_change_at
        for change in changes:
            with self._supervisor.isolate("registrations", change.key):
                self._apply(change, now, earliest_departure_at)
        with self._supervisor.isolate("registrations"):
            self._on_change()

    def _apply(
        self,
        change: interfaces.Change,
        now: float,
        earliest_departure_at: float,
    ) -> None:
        upstream_id = model.UpstreamId(change.key)
        self._unconfigured.pop(upstream_id, None)
        self._distrusted.pop(upstream_id, None)
        if change.value is None:
            self._record_missing(upstream_id, now, earliest_departure_at)
        else:
            self._put(upstream_id, change.value, now, earliest_departure_at)

    def set_services(self, services: frozenset[ids.ServiceName]) -> None:
        """Sets the services that the configuration names."""
        if services == self._services:
            return
        self._services = services
        now = clocks.monotonic()
        waiting, self._unconfigured = self._unconfigured, {}
        for upstream_id, value in waiting.items():
            # If the upstream is leaving, it isn't known since when.
            self._put(upstream_id, value, now, float("-inf"))
        self._on_change()

    def set_evacuated(
        self,
        domain: ids.FailureDomain,
        is_evacuated: bool,
        is_returning: bool = False,
    ) -> None:
        """Sets whether the operator evacuates a failure domain.

        Args:
            domain: The domain.
            is_evacuated: Whether it is evacuated.
            is_returning: Whether an older copy of the store says so. It is
                believed only after a while.
        """
        self._evacuation_doubts.pop(domain, None)
        now = clocks.monotonic()
        if is_returning and self._doubts_evacuation(domain, is_evacuated, now):
            until = now + RETURN_DISTRUST_S
            self._evacuation_doubts[domain] = is_evacuated, until
            return
        if is_evacuated == (domain in self._target_table.evacuated_at):
            return
        if is_evacuated:
            self._target_table.evacuate(domain, now)
            logs.logger.info("failure domain evacuated", domain=domain)
        else:
            self._evacuation_ended_at[domain] = now
            self._target_table.end_evacuation(domain, now)
            logs.logger.info("failure domain taken back", domain=domain)
        self._on_change()

    def _doubts_evacuation(
        self, domain: ids.FailureDomain, is_evacuated: bool, now: float
    ) -> bool:
        """Whether an older copy differs from what was written since."""
        if not is_evacuated:
            return domain in self._target_table.evacuated_at
        ended_at = self._evacuation_ended_at.get(domain, float("-inf"))
        return now - ended_at < RETURN_DISTRUST_S

    def _put(
        self,
        upstream_id,
        value: bytes,
        now: float,
        earliest_departure_at: float,
    ) -> None:
        try:
            upstream = self._decode(upstream_id, value)
        except errors.SwiftstileError as error:
            self._reject(upstream_id, "malformed", str(error))
            self._record_missing(upstream_id, now, earliest_departure_at)
            return
        if self._services is None or upstream.service not in self._services:
            self._unconfigured[upstream_id] = value
            if self._services is not None:
                self._reject(upstream_id, "unknown-service", upstream.service)
                self._record_missing(upstream_id, now, earliest_departure_at)
            return
        known = self._target_table.by_id.get(upstream_id)
        if self.follower.is_returning and _is_outdated(upstream, known):
            self._distrusted[upstream_id] = value, now + RETURN_DISTRUST_S
            logs.logger.info(
                "registration of an older copy not believed",
                upstream=upstream_id,
                state=upstream.state.value,
            )
            return
        self._missing_by_id.pop(upstream_id, None)
        before = None if known is None else known.leaving_since
        target = self._target_table.put(upstream, now, earliest_departure_at)
        if known is None or (before is None) != (target.leaving_since is None):
            logs.logger.info(
                "upstream registered",
                upstream=upstream_id,
                service=upstream.service,
                state=upstream.state.value,
                address=upstream.address,
            )

    def _believe_overdue(self, now: float) -> None:
        overdue = [
            name for name, (_, until) in self._distrusted.items() if now > until
        ]
        for upstream_id in overdue:
            value, _ = self._distrusted.pop(upstream_id)
            self._put(upstream_id, value, now, float("-inf"))
        if overdue:
            self._on_change()
        for domain, (is_evacuated, until) in list(
            self._evacuation_doubts.items()
        ):
            if now > until:
                self.set_evacuated(domain, is_evacuated)

    def _reject(self, upstream_id, reason: str, detail: str) -> None:
        """Counts and logs an entry that doesn't describe a usable upstream."""
        self._meters.refusals.add(f"registration-{reason}")
        logs.logger.warning(
            "registration passed over",
            upstream=upstream_id,
            reason=reason,
            detail=detail,
        )

    def _record_missing(
        self,
        upstream_id: model.UpstreamId,
        now: float,
        earliest_departure_at: float,
    ) -> None:
        target = self._target_table.by_id.get(upstream_id)
        if target is None:
            return
        until = self.follower.recovered_at + REREGISTRATION_GRACE_S
        if self.follower.is_returning:
            until = now + RETURN_GRACE_S
        elif self.follower.failing_since is not None:
            # The call that returned this change is the first to succeed.
            until = now + REREGISTRATION_GRACE_S
        if now < until:
            self._missing_by_id[upstream_id] = _MissingRegistration(
                until, earliest_departure_at
            )
            # Other targets are preferred while the upstream may have left.
            target.note_rejected(now, until - now)
            return
        self._remove(upstream_id, now, earliest_departure_at)

    def _remove(
        self,
        upstream_id: model.UpstreamId,
        now: float,
        earliest_departure_at: float,
    ) -> None:
        self._missing_by_id.pop(upstream_id, None)
        self._target_table.mark_unregistered(
            upstream_id, now, earliest_departure_at
        )
        logs.logger.info("upstream gone", upstream=upstream_id)

    def tick(self, now: float) -> None:
        """Removes targets that weren't renewed in time, and old departures.

        What an older copy of the store shows is believed in the end.
        """
        self._believe_overdue(now)
        overdue = {
            name: missing
            for name, missing in self._missing_by_id.items()
            if now > missing.until
        }
        for upstream_id, missing in overdue.items():
            # The platform's time limit for an upstream that left began at the
            # removal, not at the end of this wait.
            self._remove(upstream_id, now, missing.earliest_departure_at)
        if (
            self._target_table.remove_departed(now, DEPARTED_RETENTION_S)
            or overdue
        ):
            self._on_change()


def _is_outdated(
    upstream: model.Upstream, known: targets.Target | None
) -> bool:
    """Whether a registration is older than what is known of an upstream.

    An upstream that leaves never takes it back in the same run.
    """
    if known is None:
        return False
    if known.upstream.has_restarted_since(upstream.started_ms):
        return known.upstream.started_ms > upstream.started_ms
    is_ready = upstream.state is model.UpstreamState.READY
    return is_ready and known.left_at is not None
