"""Works through a list some at a time."""

import asyncio
import collections.abc

__all__ = ["process_concurrently"]


async def process_concurrently(
    pending: list,
    concurrency: int,
    worker: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    should_continue: collections.abc.Callable[[], bool],
) -> None:
    """Takes entries from the end of a list until it is empty.

    Args:
        pending: The entries; those that remain weren't begun.
        concurrency: Entries that are worked on at the same time.
        worker: Called with each entry.
        should_continue: Whether to begin another one.
    """

    async def run_worker() -> None:
        while pending and should_continue():
            await worker(pending.pop())

    await asyncio.gather(*(run_worker() for _ in range(concurrency)))
