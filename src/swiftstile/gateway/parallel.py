"""Processes a list with limited concurrency."""

import asyncio
import collections.abc

__all__ = ["process_concurrently"]


async def process_concurrently(
    pending: list,
    concurrency: int,
    worker: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    should_continue: collections.abc.Callable[[], bool],
) -> None:
    """Processes entries from the end of a list until it is empty.

    Args:
        pending: The entries; those that are left afterwards weren't started.
        concurrency: Number of entries processed at the same time.
        worker: Called with each entry.
        should_continue: Whether to start another entry.
    """

    async def run_worker() -> None:
        while pending and should_continue():
            await worker(pending.pop())

    await asyncio.gather(*(run_worker() for _ in range(concurrency)))
