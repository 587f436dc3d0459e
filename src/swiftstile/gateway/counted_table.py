"""Counts the calls of writers to a table of the platform's store."""

from swiftstile import metrics
from swiftstile.gateway import interfaces
from swiftstile.gateway import store_polling

__all__ = ["CountedTable"]


class CountedTable(interfaces.StateTable):
    """Passes calls on to a table and counts them by table and reason.

    Args:
        name: Name of the table.
        table: The table.
        store_calls: The counter. Followers count their calls themselves.
    """

    def __init__(
        self,
        name: str,
        table: interfaces.StateTable,
        store_calls: metrics.LabelledCounter,
    ):
        self._name = name
        self._table = table
        self._store_calls = store_calls

    def _count(self, reason: store_polling.Reason) -> None:
        self._store_calls.add(f"{self._name}-{reason.value}")

    async def read_all(self) -> interfaces.Snapshot:
        """See base class."""
        self._count(store_polling.Reason.SETTLE)
        return await self._table.read_all()

    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> interfaces.Snapshot | None:
        """See base class."""
        self._count(store_polling.Reason.POLL)
        return await self._table.wait_for_changes(after, wait_s)

    async def probe(self, after: int) -> None:
        """See base class."""
        self._count(store_polling.Reason.PROBE)
        await self._table.probe(after)

    async def write(
        self,
        conditions: list[interfaces.Condition],
        writes: list[interfaces.Write],
    ) -> int:
        """See base class."""
        self._count(store_polling.Reason.WRITE)
        return await self._table.write(conditions, writes)
