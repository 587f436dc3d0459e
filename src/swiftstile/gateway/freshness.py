"""Tracks how current the rows of a followed table are.

It uses the last answer of the store or status of peers, and the newer versions
that peers published. This module does no I/O.
"""

from swiftstile import logs

__all__ = ["ANSWER_MARGIN_S", "LAG_TOLERANCE_S", "Freshness"]

# Margin for a long poll's answer. One that is later than this after the poll's
# timeout doesn't count as "no change": a slow store needs a quarter of a
# second, and what takes longer are rows on a slow link, or a lost connection.
ANSWER_MARGIN_S = 0.5
# A peer publishes newer rows and delivers none of them for this long: then the
# store is called. It covers two reports and a request, and is well within the
# time in which a configuration has to be in force.
LAG_TOLERANCE_S = 0.5


class Freshness:
    """How current one table is.

    Args:
        table: Its name, for logs.

    Attributes:
        behind_since: Since when a row is missing that a peer published; None
            while none is.
    """

    def __init__(self, table: str):
        self._table = table
        # Newest version that was received.
        self._version = 0
        # Expiry of the last answer of the store, or status of peers, that said
        # that nothing is new.
        self._trusted_until = float("-inf")
        # Newest version that a peer published.
        self._reported_version = 0
        self.behind_since: float | None = None
        # When part of the missing rows last arrived.
        self._last_progress_at = 0.0

    def is_behind(self) -> bool:
        """Whether a peer published a row that isn't here."""
        return self._reported_version > self._version

    def is_lagging(self, now: float) -> bool:
        """Whether a row that a peer published is overdue."""
        since = self.behind_since
        if since is None:
            return False
        return now - max(since, self._last_progress_at) > LAG_TOLERANCE_S

    def is_current(self, now: float) -> bool:
        """Whether no row is missing, by a status that hasn't expired."""
        return not self.is_behind() and now <= self._trusted_until

    def record_answer(self, now: float, watch_s: float) -> None:
        """Records that the store answered, and that the next call begins now.

        A long poll is answered at once if there is a change, so no answer means
        "no change" during its timeout and `ANSWER_MARGIN_S`.

        Args:
            now: The time.
            watch_s: Long-poll timeout of the next call, in seconds.
        """
        self._trusted_until = now + watch_s + ANSWER_MARGIN_S

    def record_peer_status(self, until: float) -> None:
        """Trusts peers' status that nothing is new until a time."""
        self._trusted_until = until

    def record_reported_version(self, version: int, now: float) -> None:
        """Records that a peer published a row of a version."""
        self._reported_version = max(self._reported_version, version)
        if self.is_behind() and self.behind_since is None:
            self.behind_since = now

    def record_progress(self, now: float) -> None:
        """Records that part of the rows that a peer published has arrived."""
        self._last_progress_at = now

    def record_version(self, version: int, now: float) -> None:
        """Records that the rows are as new as a version, or newer."""
        if version > self._version and self.behind_since is not None:
            # Newer rows arrived, though more may be missing: where versions
            # follow each other closely a VM is briefly behind without lagging.
            self.record_progress(now)
        self._version = max(self._version, version)
        since = self.behind_since
        if since is None or self.is_behind():
            return
        self.behind_since = None
        behind_s = now - since
        if behind_s > LAG_TOLERANCE_S:
            logs.logger.info(
                "rows came late", table=self._table, behind_s=round(behind_s, 3)
            )
