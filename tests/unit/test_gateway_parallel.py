"""Working through a list some at a time."""

import asyncio

from swiftstile.gateway import parallel


def test_all_is_done_some_at_a_time_from_the_end():
    left, begun, running, most = list(range(10)), [], set(), 0

    async def work(entry: int) -> None:
        nonlocal most
        begun.append(entry)
        running.add(entry)
        most = max(most, len(running))
        await asyncio.sleep(0)
        running.discard(entry)

    asyncio.run(parallel.process_concurrently(left, 3, work, lambda: True))
    assert begun == list(range(9, -1, -1))
    assert left == []
    assert most == 3


def test_nothing_is_begun_once_it_should_stop():
    left, done = list(range(10)), []

    async def work(entry: int) -> None:
        done.append(entry)

    asyncio.run(
        parallel.process_concurrently(left, 2, work, lambda: len(done) < 4)
    )
    assert len(done) == 4
    assert left == list(range(6))
