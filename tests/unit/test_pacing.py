"""Periodic sleeps are aligned to common ticks."""

import asyncio

import pytest
import uvloop

from swiftstile import pacing


class _Loops:
    """Records the times at which any of several loops wakes."""

    def __init__(self):
        self.wakeups: list[float] = []
        self.rounds = 0

    async def run(self, period_s: float, first_s: float) -> None:
        await asyncio.sleep(first_s)
        while True:
            await pacing.sleep_aligned(period_s)
            self.rounds += 1
            now = asyncio.get_running_loop().time()
            if not self.wakeups or now - self.wakeups[-1] > 0.02:
                self.wakeups.append(now)


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_loops_started_at_different_times_wake_together(new_loop):
    async def scenario():
        loops = _Loops()
        tasks = [
            asyncio.create_task(loops.run(period_s, 0.007 * number))
            for number, period_s in enumerate([0.1, 0.1, 0.2, 0.2, 0.1, 0.2])
        ]
        await asyncio.sleep(1.2)
        for task in tasks:
            task.cancel()
        return loops

    with asyncio.Runner(loop_factory=new_loop) as runner:
        loops = runner.run(scenario())
    # Three loops at 10 and three at 5 rounds/s: at least 45 rounds in 1.2 s, at
    # the 12 wake-up times of the shorter period.
    assert loops.rounds > 40
    assert len(loops.wakeups) <= 13


def test_equal_sleeps_started_together_end_together():
    async def scenario():
        ended = []

        async def sleep_once():
            await pacing.sleep_aligned(0.1)
            ended.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(sleep_once() for _ in range(20)))
        return ended

    ended = asyncio.run(scenario())
    assert max(ended) - min(ended) < 0.02


def test_shorter_sleep_does_not_wait_for_earlier_longer_one():
    async def scenario():
        long = pacing.scheduler().after(30)
        await asyncio.sleep(0)
        async with asyncio.timeout(1):
            await pacing.sleep_aligned(0.1)
        assert not long.done()
        long.cancel()

    asyncio.run(scenario())


def test_delay_is_not_cut_short():
    async def scenario():
        loop = asyncio.get_running_loop()
        await pacing.sleep_aligned(0.1)
        began = loop.time()
        await pacing.scheduler().after(0.4)
        return loop.time() - began

    assert asyncio.run(scenario()) > 0.3


def test_cancelled_sleep_does_not_delay_others():
    async def scenario():
        cancelled = asyncio.create_task(pacing.sleep_aligned(0.1))
        pending = asyncio.create_task(pacing.sleep_aligned(0.1))
        await asyncio.sleep(0)
        cancelled.cancel()
        async with asyncio.timeout(1):
            await pending
        assert cancelled.cancelled()

    asyncio.run(scenario())


def test_sleep_shorter_than_a_tick_is_not_aligned():
    async def scenario():
        loop = asyncio.get_running_loop()
        await pacing.sleep_aligned(0.1)
        began = loop.time()
        await pacing.sleep_aligned(0.01)
        return loop.time() - began

    assert asyncio.run(scenario()) < pacing.TICK_S * 0.9


def test_each_event_loop_has_its_own_scheduler():
    async def scenario():
        await pacing.sleep_aligned(0.05)
        return pacing.scheduler()

    assert asyncio.run(scenario()) is not asyncio.run(scenario())
