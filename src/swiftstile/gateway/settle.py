"""Writes whose answers may be lost, settled by conditions on versions."""

import asyncio

from swiftstile import errors
from swiftstile.gateway import interfaces

__all__ = ["settled_write"]

RETRY_PAUSE_S = 0.15


async def settled_write(
    table: interfaces.StateTable,
    conditions: list[interfaces.Condition],
    write: interfaces.Write,
) -> int:
    """Writes one row and returns its version, or knows that it never will be.

    A write whose answer is lost may be done seconds later, as long as its
    condition holds. So the same write is sent until an answer is definite:
    one that took effect makes the condition of all others fail, and versions
    only grow, so a condition that failed once fails for ever.

    Args:
        table: The table.
        conditions: Must name the row that is written.
        write: The row; its value must be unlike that of any other write.

    Raises:
        ConflictError: Another write was done; if this one was, too, it is
            overwritten. It will not be done any more.
        PlatformUnavailableError: It wasn't done and will not be.
    """
    may_be_done = False
    while True:
        try:
            return await table.write(conditions, [write])
        except errors.OutcomeUnknownError:
            may_be_done = True
        except errors.ConflictError:
            return await _find(table, write)
        except errors.PlatformUnavailableError:
            if not may_be_done:
                raise
        await asyncio.sleep(RETRY_PAUSE_S)


async def _find(table: interfaces.StateTable, write: interfaces.Write) -> int:
    while True:
        try:
            snapshot = await table.read_all()
            break
        except errors.PlatformUnavailableError:
            # What became of the write must be known before anything else.
            await asyncio.sleep(RETRY_PAUSE_S)
    for row in snapshot.rows:
        if row.key == write.key and row.value == write.value:
            return row.version
    raise errors.ConflictError(
        "another write was first", step="write row", peer=write.key
    )
