"""Shares what the followers of one VM know of an outage of the store.

Each table has a follower of its own. During an outage one of them, the primary,
checks whether the store has recovered; calls of the others would only duplicate
that. These back off for longer, and resume as soon as a call of any follower
succeeds.
"""

from swiftstile import signals

__all__ = ["Outage"]

# Maximum backoff of followers other than the primary: parts of the store may
# recover one after the other, and idle VMs have 5 s to catch up.
MAX_SECONDARY_BACKOFF_S = 2.0


class Outage:
    """The tables of this VM whose calls fail.

    Attributes:
        reached_at: When the store last answered a call of this VM.
    """

    def __init__(self):
        self.reached_at = float("-inf")
        # When calls for each table began to fail, oldest first; the first table
        # is the primary.
        self._failing: dict[str, float] = {}
        self._answered = signals.Signal()

    def record_failure(self, table: str, now: float) -> None:
        """Records that a call for a table failed."""
        self._failing.setdefault(table, now)

    def failing_s(self, now: float) -> float:
        """Returns how long some table has been failing, in seconds."""
        return now - next(iter(self._failing.values()), now)

    def record_answer(self, table: str) -> None:
        """Records that a call succeeded, or peers publish a table again."""
        if table in self._failing:
            del self._failing[table]
            self._answered.wake()

    def nth_failing(self, number: int) -> str | None:
        """Returns one of the failing tables, in rotation; None if none fails.

        Args:
            number: Selects the table; consecutive numbers select each in turn.
        """
        tables = list(self._failing)
        return tables[number % len(tables)] if tables else None

    def max_backoff_s(self, table: str, primary_s: float) -> float:
        """Returns the maximum backoff of calls for a table.

        Args:
            table: Name of the table.
            primary_s: The maximum for the primary.
        """
        is_primary = next(iter(self._failing), table) == table
        return primary_s if is_primary else MAX_SECONDARY_BACKOFF_S

    async def pause(self, seconds: float) -> None:
        """Waits, but only until a call for some table succeeds."""
        await self._answered.wait(seconds)
