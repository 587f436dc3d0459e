"""Conditional writes that are repeated until their outcome is known."""

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
    """Writes one row, and returns its version or raises if it has no effect.

    A write whose answer is lost may take effect seconds later, as long as its
    condition holds. So the same write is repeated until an answer is definite:
    a write that took effect makes the conditions of all others fail, and as
    versions only grow (store_versions.py), a condition that failed once never
    holds again.

    Args:
        table: The table.
        conditions: Conditions; one of them must be on the row that is written.
        write: The row; its value must differ from that of any other write.

    Raises:
        ConflictError: Another write took effect; if this one did as well, it
            is overwritten. It can no longer take effect.
        PlatformUnavailableError: The write had no effect and never will.
    """
    may_have_taken_effect = False
    while True:
        try:
            return await table.write(conditions, [write])
        except errors.OutcomeUnknownError:
            may_have_taken_effect = True
        except errors.ConflictError:
            return await _find_own_write(table, write)
        except errors.PlatformUnavailableError:
            if not may_have_taken_effect:
                raise
        await asyncio.sleep(RETRY_PAUSE_S)


async def _find_own_write(
    table: interfaces.StateTable, write: interfaces.Write
) -> int:
    while True:
        try:
            snapshot = await table.read_all()
            break
        except errors.PlatformUnavailableError:
            # The caller can't proceed without the outcome of the write.
            await asyncio.sleep(RETRY_PAUSE_S)
    for row in snapshot.rows:
        if row.key == write.key and row.value == write.value:
            return row.version
    raise errors.ConflictError(
        "another write took effect first", step="write row", peer=write.key
    )
