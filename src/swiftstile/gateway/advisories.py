"""Records what upstreams state about themselves in their answers."""

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import targets

__all__ = ["AdvisoryRecorder"]

# Malformed statements that are remembered as logged, by upstream and name.
MAX_LOGGED_MALFORMED = 1000


class AdvisoryRecorder:
    """Applies the advisories of answers to targets.

    Args:
        meters: Counts advisories.
    """

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
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
        limit_per_s = advisory.limit_per_s
        if limit_per_s is not None:
            self._meters.advisories.add("limit")
            self._update_limit(target, limit_per_s, now)
        elif not advisory.malformed and _is_complete(metadata):
            self._update_limit(target, None, sent_at)

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

    def _update_limit(
        self, target: targets.Target, per_s: float | None, as_of: float
    ) -> None:
        if target.rate_limit.update(per_s, as_of):
            logs.logger.info(
                "upstream rate limit",
                upstream=target.id,
                limit_per_s=per_s,
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
