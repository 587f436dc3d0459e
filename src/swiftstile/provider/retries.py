"""Transactions with retries until their outcome is known."""

import asyncio
import random

from swiftstile import errors
from swiftstile import ids
from swiftstile.provider import base

__all__ = ["transact_with_retries"]

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0


async def transact_with_retries(
    table: base.Table, writes: list[base.Write], timeout_s: float
) -> None:
    """Applies all writes atomically, with retries if the response is lost.

    Retries use the same attempt id, for which the table applies the transaction
    once at most.

    Args:
        table: The table.
        writes: The operations of the transaction.
        timeout_s: How long to retry, in seconds.

    Raises:
        ConflictError: An expected version didn't match; nothing was applied.
        PlatformUnavailableError: Nothing was or will be applied.
        OutcomeUnknownError: The outcome is still unknown after `timeout_s`.
    """
    attempt = ids.new_attempt_id()
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    backoff_s = _INITIAL_BACKOFF_S
    may_be_applied = False
    while True:
        try:
            return await table.transact(writes, attempt)
        except errors.OutcomeUnknownError:
            may_be_applied = True
            if loop.time() + backoff_s > end:
                raise
        except errors.PlatformUnavailableError as error:
            if not may_be_applied:
                raise
            if loop.time() + backoff_s > end:
                raise errors.OutcomeUnknownError(
                    "outcome still unknown", step=error.step, peer=error.peer
                ) from error
        await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
