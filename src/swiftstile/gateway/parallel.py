"""Works through a list some at a time."""

import asyncio
import collections.abc

__all__ = ["work_off"]


async def work_off(
    left: list,
    count: int,
    work: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    goes_on: collections.abc.Callable[[], bool],
) -> None:
    """Takes entries from the end of a list until it is empty.

    Args:
        left: The entries; those that remain weren't begun.
        count: Entries that are worked on at the same time.
        work: Called with each entry.
        goes_on: Whether to begin another one.
    """

    async def take_turns() -> None:
        while left and goes_on():
            await work(left.pop())

    await asyncio.gather(*(take_turns() for _ in range(count)))
