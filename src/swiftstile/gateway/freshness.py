"""How new the rows of a followed table are, as far as can be known.

By the last word of the store or of peers, and by newer rows that peers told of.
Decisions without a network.
"""

from swiftstile import logs

__all__ = ["ANSWER_MARGIN_S", "LAG_TOLERANCE_S", "Freshness"]

# An answer of the store that is later than this after its call's wait isn't
# "nothing is new": a slow store needs a quarter of a second, and what takes
# longer are rows on a slow link, or silence.
ANSWER_MARGIN_S = 0.5
# A peer tells of newer rows and hands over nothing of them for so long: then
# the store is asked. Two reports and a question, and well within the time in
# which a configuration has to be in force.
LAG_TOLERANCE_S = 0.5


class Freshness:
    """What is known of one table.

    Args:
        table: Its name, for logs.

    Attributes:
        behind_since: Since when a row is missing that a peer told of; None
            while nothing is.
    """

    def __init__(self, table: str):
        self._table = table
        # Newest version that is here.
        self._version = 0
        # Until when the last word, the store's or that of peers, stands for
        # "nothing is new".
        self._trusted_until = float("-inf")
        # Newest version that a peer told of.
        self._reported_version = 0
        self.behind_since: float | None = None
        # When a part of them last came.
        self._last_progress_at = 0.0

    def is_behind(self) -> bool:
        """Whether a peer told of a row that isn't here."""
        return self._reported_version > self._version

    def is_lagging(self, now: float) -> bool:
        """Whether a row that a peer told of doesn't come, for a while now."""
        since = self.behind_since
        if since is None:
            return False
        return now - max(since, self._last_progress_at) > LAG_TOLERANCE_S

    def is_current(self, now: float) -> bool:
        """Whether nothing is missing, by a word that hasn't grown old."""
        return not self.is_behind() and now <= self._trusted_until

    def record_answer(self, now: float, watch_s: float) -> None:
        """The store answered, and is asked again now.

        A call that waits is answered at once if there is news, so its silence
        stands for "nothing is new" during its wait and `ANSWER_MARGIN_S`.

        Args:
            now: The time.
            watch_s: How long the next call waits for changes, in seconds.
        """
        self._trusted_until = now + watch_s + ANSWER_MARGIN_S

    def record_peer_status(self, until: float) -> None:
        """Peers' word that nothing is new stands until then."""
        self._trusted_until = until

    def record_reported_version(self, version: int, now: float) -> None:
        """A peer told that there is a row of a version."""
        self._reported_version = max(self._reported_version, version)
        if self.is_behind() and self.behind_since is None:
            self.behind_since = now

    def record_progress(self, now: float) -> None:
        """A part of the rows that a peer told of came."""
        self._last_progress_at = now

    def record_version(self, version: int, now: float) -> None:
        """The rows are here as of a version, or a newer one."""
        if version > self._version and self.behind_since is not None:
            # Newer rows came, though more may be missing: where versions follow
            # each other closely a VM lags by a moment, and isn't left behind.
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
