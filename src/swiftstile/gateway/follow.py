"""Follows one table of the platform's store, through its outages."""

import asyncio
import collections.abc
import random

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile.gateway import interfaces

__all__ = ["TableFollower"]

# Pauses after failures: the first short, since single answers get lost; the
# last so that a store that comes back isn't flooded by all VMs.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4


class TableFollower:
    """Keeps the rows of a table as the store last told them.

    Args:
        name: Name of the table.
        table: The table.
        apply: Called with rows that changed.
        batch_s: Pause after each change, for tables that change in bursts.

    Attributes:
        name: Name of the table, for logs.
        rows: Rows by key.
        version: Newest version of the store that was seen.
        contact_at: When the last call that succeeded was sent; the rows are
            at least as new as that.
        failing_since: When calls began to fail; None while they succeed.
        recovered_at: When calls last succeeded again after they failed.
        is_loaded: Whether the table was read since the start.
    """

    def __init__(
        self,
        name: str,
        table: interfaces.StateTable,
        apply: collections.abc.Callable[[list[interfaces.Change]], None],
        batch_s: float = 0.0,
    ):
        self.name = name
        self.rows: dict[str, interfaces.Change] = {}
        self.version = 0
        self.contact_at = 0.0
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.is_loaded = False
        self._table = table
        self._apply = apply
        self._batch_s = batch_s

    async def run(self) -> None:
        """Follows the table until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            sent = clocks.monotonic()
            try:
                await self._step()
            except errors.PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
                continue
            pause_s = FIRST_PAUSE_S
            self._note_contact(sent)

    async def _step(self) -> None:
        if not self.is_loaded:
            self._replace(await self._table.read_all())
            return
        changes = await self._table.wait_for_changes(
            self.version, self.failing_since is not None
        )
        if changes is None:
            logs.logger.info("history dropped, reading all", table=self.name)
            self._replace(await self._table.read_all())
            return
        self._merge(changes.rows)
        self.version = max(self.version, changes.version)
        if changes.rows and self._batch_s:
            # What changes in the meantime comes with the next call.
            await asyncio.sleep(self._batch_s)

    def accept(self, snapshot: interfaces.Snapshot) -> None:
        """Takes in a copy of the table, unless a newer one is known."""
        if snapshot.version > self.version:
            self._replace(snapshot)

    def _replace(self, snapshot: interfaces.Snapshot) -> None:
        if snapshot.version < self.version:
            raise errors.PlatformUnavailableError(
                f"read of version {snapshot.version} after {self.version}",
                step="read table",
                peer=self.name,
            )
        present = {row.key for row in snapshot.rows}
        removed = [
            interfaces.Change(key, None, snapshot.version)
            for key in self.rows
            if key not in present
        ]
        self.version = snapshot.version
        self._merge(snapshot.rows + removed)
        self.is_loaded = True

    def _merge(self, changes: list[interfaces.Change]) -> None:
        newer = []
        for change in changes:
            known = self.rows.get(change.key)
            if known is not None and known.version >= change.version:
                continue
            if change.value is None:
                if known is None:
                    continue
                del self.rows[change.key]
            else:
                self.rows[change.key] = change
            newer.append(change)
        if newer:
            self._apply(newer)

    def _note_failure(self, error: errors.PlatformError) -> None:
        if self.failing_since is None:
            self.failing_since = clocks.monotonic()
            logs.logger.warning("table lost", table=self.name, error=str(error))

    def _note_contact(self, sent: float) -> None:
        self.contact_at = sent
        if self.failing_since is not None:
            now = clocks.monotonic()
            logs.logger.info(
                "table regained",
                table=self.name,
                after_s=round(now - self.failing_since, 3),
            )
            self.recovered_at = now
            self.failing_since = None

    def silent_s(self, now: float) -> float:
        """Returns since when calls fail, in seconds; 0 while they succeed."""
        return 0.0 if self.failing_since is None else now - self.failing_since
