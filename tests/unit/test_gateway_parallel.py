"""Processing a list with limited concurrency."""

import asyncio

from swiftstile.gateway import parallel


def test_entries_are_processed_concurrently_from_the_end():
    pending, started, running, most = list(range(10)), [], set(), 0

    async def work(entry: int) -> None:
        nonlocal most
        started.append(entry)
        running.add(entry)
        most = max(most, len(running))
        await asyncio.sleep(0)
        running.discard(entry)

    asyncio.run(parallel.process_concurrently(pending, 3, work, lambda: True))
    assert started == list(range(9, -1, -1))
    assert pending == []
    assert most == 3


def test_no_entry_is_started_after_the_stop_condition():
    pending, done = list(range(10)), []

    async def work(entry: int) -> None:
        done.append(entry)

    asyncio.run(
        parallel.process_concurrently(pending, 2, work, lambda: len(done) < 4)
    )
    assert len(done) == 4
    assert pending == list(range(6))
