"""Writes whose lost answers are settled, never assumed."""

import asyncio
import random

from swiftstile import errors
from swiftstile import ids
from swiftstile.provider import base

__all__ = ["settled_transact"]

_FIRST_WAIT_S = 0.05
_LONGEST_WAIT_S = 2.0


async def settled_transact(
    table: base.Table, writes: list[base.Write], deadline_s: float
) -> None:
    """Does all writes or none, and knows which.

    A transaction whose answer was lost is sent again under the same attempt
    id, which the table applies once at most, until an answer comes.

    Args:
        table: The table.
        writes: The parts of the transaction.
        deadline_s: How long to try, in seconds.

    Raises:
        ConflictError: An expected version didn't hold; nothing was done.
        PlatformUnavailableError: Nothing was done, and none will be.
        OutcomeUnknownError: Still not settled after `deadline_s`.
    """
    attempt = ids.new_attempt_id()
    loop = asyncio.get_running_loop()
    end = loop.time() + deadline_s
    wait = _FIRST_WAIT_S
    uncertain = False
    while True:
        try:
            return await table.transact(writes, attempt)
        except errors.OutcomeUnknownError:
            uncertain = True
            if loop.time() + wait > end:
                raise
        except errors.PlatformUnavailableError as error:
            if not uncertain:
                raise
            if loop.time() + wait > end:
                raise errors.OutcomeUnknownError(
                    "not settled", step=error.step, peer=error.peer
                ) from error
        await asyncio.sleep(wait * random.uniform(0.5, 1.0))
        wait = min(wait * 2, _LONGEST_WAIT_S)
