"""What upstreams state about themselves in their answers.

Each VM applies the statements that it received to its targets, and includes
them in its reports, so that VMs which sent nothing to an upstream know them,
too. A report carries the age of the evidence; the newest evidence counts.
"""

import typing

import msgspec

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import targets

__all__ = ["AdvisoryReport", "AdvisoryTable"]

# Malformed statements that are remembered as logged, by upstream and name.
MAX_LOGGED_MALFORMED = 1000
# Evidence in reports has to be newer by this much, the most that its age is off
# by the time of transmission. Otherwise a statement that several VMs repeat
# would seem newer with each repetition.
REPORT_TIME_TOLERANCE_S = 0.2
# How long the end of a limit, or an announced exit, is included in reports:
# until VMs that were cut off for a few seconds have received it.
CHANGE_REPORT_PERIOD_S = 10.0
# Upstreams in one report, those whose statements changed last.
MAX_REPORTED = 16


class AdvisoryReport(msgspec.Struct, array_like=True):
    """What one VM knows of an upstream's statements.

    Attributes:
        upstream: The upstream.
        started_ms: Its start, which identifies the run that stated it.
        limit_age_ms: Age of the evidence of its rate limit; None if it never
            stated one.
        limit_per_s: The rate limit; None if it ended.
        leaving_ms: Time since it announced its exit; None if it didn't.
    """

    upstream: model.UpstreamId
    started_ms: int
    limit_age_ms: int | None
    limit_per_s: typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)] | None
    leaving_ms: int | None


class AdvisoryTable:
    """Applies advisories of answers and of other VMs to targets.

    Args:
        target_table: The upstreams.
        meters: Counts advisories.
    """

    def __init__(
        self, target_table: targets.TargetTable, meters: metrics.Meters
    ):
        self._target_table = target_table
        self._meters = meters
        # When the statements of an upstream last changed.
        self._changed_at_by_target: dict[targets.Target, float] = {}
        self._logged_malformed: set[tuple[model.UpstreamId, str]] = set()

    def record_answer(
        self,
        target: targets.Target,
        metadata: interfaces.AnswerMetadata,
        sent_at: float,
        now: float,
    ) -> None:
        """Applies the advisory of an answer.

        Args:
            target: The upstream that the request was sent to.
            metadata: Metadata of the answer.
            sent_at: When the request was sent.
            now: When the answer arrived.
        """
        if not _is_from(target, metadata):
            return
        advisory = metadata.advisory
        for name in advisory.malformed:
            self._record_malformed(target, name)
        if advisory.is_leaving:
            self._meters.advisories.add("leaving")
            self._announce_leaving(target, now)
        if advisory.backoff_s:
            self._meters.advisories.add("backoff")
            self._back_off(target, advisory.backoff_s, now)
        limit_per_s = advisory.limit_per_s
        if limit_per_s is not None:
            self._meters.advisories.add("limit")
            self._update_limit(target, limit_per_s, now, now)
        elif not advisory.malformed and _is_complete(metadata):
            self._update_limit(target, None, sent_at, now)

    def report(self, now: float) -> list[AdvisoryReport]:
        """Returns the statements to report to other VMs now."""
        if not self._changed_at_by_target:
            return []
        self._expire(now)
        latest = sorted(
            self._changed_at_by_target,
            key=self._changed_at_by_target.get,
            reverse=True,
        )
        return [_make_report(target, now) for target in latest[:MAX_REPORTED]]

    def receive(self, reported: list[AdvisoryReport], now: float) -> None:
        """Applies the report of another VM.

        Args:
            reported: The statements that it knows.
            now: When it sent the report, at the earliest.
        """
        for entry in reported:
            target = self._target_table.by_id.get(entry.upstream)
            if target is None or target.upstream.has_restarted_since(
                entry.started_ms
            ):
                continue
            if entry.leaving_ms is not None:
                self._announce_leaving(target, now - entry.leaving_ms / 1000)
            if entry.limit_age_ms is None:
                continue
            as_of = now - entry.limit_age_ms / 1000
            if as_of > target.rate_limit.as_of + REPORT_TIME_TOLERANCE_S:
                self._update_limit(target, entry.limit_per_s, as_of, now)

    def _expire(self, now: float) -> None:
        """Drops upstreams that ended, or without a recent change."""
        expired = [
            target
            for target, changed_at in self._changed_at_by_target.items()
            if self._target_table.by_id.get(target.id) is not target
            or (
                target.rate_limit.per_s is None
                and now - changed_at > CHANGE_REPORT_PERIOD_S
            )
        ]
        for target in expired:
            del self._changed_at_by_target[target]

    def _record_malformed(self, target: targets.Target, name: str) -> None:
        """Counts a malformed statement; logs the first of each upstream."""
        self._meters.advisories.add("malformed")
        if len(self._logged_malformed) >= MAX_LOGGED_MALFORMED:
            self._logged_malformed.clear()
        if (target.id, name) not in self._logged_malformed:
            self._logged_malformed.add((target.id, name))
            logs.logger.warning(
                "upstream advisory ignored", upstream=target.id, field=name
            )

    def _announce_leaving(self, target: targets.Target, at: float) -> None:
        if target.announced_leaving_at is None:
            logs.logger.info("upstream announces exit", upstream=target.id)
            self._changed_at_by_target[target] = at
        target.announce_leaving(at)

    @staticmethod
    def _back_off(target: targets.Target, backoff_s: float, now: float) -> None:
        if now >= target.backoff_until:
            logs.logger.info(
                "upstream backoff", upstream=target.id, for_s=backoff_s
            )
        target.backoff_until = max(target.backoff_until, now + backoff_s)

    def _update_limit(
        self,
        target: targets.Target,
        per_s: float | None,
        as_of: float,
        now: float,
    ) -> None:
        if target.rate_limit.update(per_s, as_of):
            self._changed_at_by_target[target] = now
            logs.logger.info(
                "upstream rate limit",
                upstream=target.id,
                limit_per_s=per_s,
            )


def _make_report(target: targets.Target, now: float) -> AdvisoryReport:
    limit, leaving_at = target.rate_limit, target.announced_leaving_at
    has_limit = limit.as_of > float("-inf")
    return AdvisoryReport(
        target.id,
        target.upstream.started_ms,
        clocks.milliseconds(now - limit.as_of) if has_limit else None,
        limit.per_s,
        None if leaving_at is None else clocks.milliseconds(now - leaving_at),
    )


def _is_from(
    target: targets.Target, metadata: interfaces.AnswerMetadata
) -> bool:
    """Whether an answer is valid and from the upstream that was meant."""
    return metadata.is_relayable and metadata.answered_by in ("", target.id)


def _is_complete(metadata: interfaces.AnswerMetadata) -> bool:
    """Whether a missing statement means that it no longer holds.

    Only answers of requests that ran count: a rejection may come from a part of
    the server that states less.
    """
    return metadata.kind is interfaces.AnswerKind.RAN
