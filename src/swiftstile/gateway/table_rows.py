"""Rows of a followed table, and the changes that peers may ask for.

This module does no I/O.
"""

from swiftstile import clocks
from swiftstile.gateway import interfaces

__all__ = ["TableRows"]

# Number of removed rows that are remembered for peers that fetch changes.
MAX_REMOVED_ROWS = 1000


class TableRows:
    """The rows of a table, and which ones were removed lately.

    Attributes:
        by_key: Rows by key.
        newest_version: Newest version of a row.
        newest_at: When the newest row arrived.
    """

    def __init__(self):
        self.by_key: dict[str, interfaces.Change] = {}
        self.newest_version = 0
        self.newest_at = float("-inf")
        # Versions at which rows were removed, by key, oldest first.
        self._removed: dict[str, int] = {}
        # `_removed` has all rows that were removed after this version.
        self._remembers_since = 0

    @property
    def newest_change(self) -> int:
        """Version after which no row changed, or may have changed unseen.

        Rows may have been written and removed before a whole read that changed
        no row here. A peer that saw them written needs an answer that is as new
        as that read.
        """
        return max(self.newest_version, self._remembers_since)

    def changes_since(self, version: int) -> list[interfaces.Change] | None:
        """Returns the changes after a version; None if they aren't known."""
        if version < self._remembers_since:
            return None
        changed = [row for row in self.by_key.values() if row.version > version]
        removed = [
            interfaces.Change(key, None, at)
            for key, at in self._removed.items()
            if at > version
        ]
        return sorted(changed + removed, key=lambda row: row.version)

    def removals_by(
        self, snapshot: interfaces.Snapshot
    ) -> list[interfaces.Change]:
        """Returns the removals of the rows that a whole read doesn't have.

        Rows may have been written and removed since the last read, unseen here;
        peers that saw them have to get all rows.
        """
        self._remembers_since = max(self._remembers_since, snapshot.version)
        present = {row.key for row in snapshot.rows}
        return [
            interfaces.Change(key, None, snapshot.version)
            for key in self.by_key
            if key not in present
        ]

    def forget_removed(self) -> None:
        """Forgets removed rows: their versions are of an earlier generation."""
        self._removed.clear()

    def merge(
        self, changes: list[interfaces.Change]
    ) -> list[interfaces.Change]:
        """Applies changes and returns those that were newer."""
        newer = []
        for change in changes:
            known = self.by_key.get(change.key)
            if known is not None and known.version >= change.version:
                continue
            if change.version > self.newest_version:
                self.newest_version = change.version
                self.newest_at = clocks.monotonic()
            if change.value is None:
                self._remember_removed(change)
                if known is None:
                    continue
                del self.by_key[change.key]
            else:
                self._removed.pop(change.key, None)
                self.by_key[change.key] = change
            newer.append(change)
        return newer

    def _remember_removed(self, change: interfaces.Change) -> None:
        self._removed.pop(change.key, None)
        self._removed[change.key] = change.version
        if len(self._removed) > MAX_REMOVED_ROWS:
            oldest = next(iter(self._removed))
            self._remembers_since = max(
                self._remembers_since, self._removed.pop(oldest)
            )
