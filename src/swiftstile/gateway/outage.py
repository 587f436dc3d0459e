"""What the followers of one VM know together of an outage of the store.

Each table has a follower of its own. While the store is away, one of them asks
whether it is back; the others would only ask the same. They wait for longer,
and go on as soon as a call of any of them succeeds.
"""

from swiftstile import signals

__all__ = ["Outage"]

# Longest pause between two tries of a follower that isn't the first: parts of
# the store may come back one after the other, and calm VMs have 5 s to follow.
MAX_SECONDARY_BACKOFF_S = 2.0


class Outage:
    """The tables of this VM whose calls fail."""

    def __init__(self):
        # Used as an ordered set: the first asks most often.
        self._failing: dict[str, None] = {}
        self._answered = signals.Signal()

    def note_failure(self, table: str) -> None:
        """A call for a table failed."""
        self._failing.setdefault(table)

    def note_answer(self, table: str) -> None:
        """A call for a table succeeded, or peers tell of it again."""
        if table in self._failing:
            del self._failing[table]
            self._answered.wake()

    def max_backoff_s(self, table: str, primary_s: float) -> float:
        """Returns the longest pause between two tries for a table."""
        is_primary = next(iter(self._failing), table) == table
        return primary_s if is_primary else MAX_SECONDARY_BACKOFF_S

    async def pause(self, seconds: float) -> None:
        """Waits, and no longer than until a call for some table succeeds."""
        await self._answered.wait(seconds)
