"""Pauses of periodic work end together."""

import asyncio

import pytest
import uvloop

from swiftstile import pacing


class _Loops:
    """Counts the moments at which any of several loops is woken."""

    def __init__(self):
        self.moments: list[float] = []
        self.rounds = 0

    async def run(self, period_s: float, first_s: float) -> None:
        await asyncio.sleep(first_s)
        while True:
            await pacing.sleep_aligned(period_s)
            self.rounds += 1
            now = asyncio.get_running_loop().time()
            if not self.moments or now - self.moments[-1] > 0.02:
                self.moments.append(now)


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_loops_that_began_at_odd_moments_are_woken_together(new_loop):
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
    # Three loops at 10 and three at 5 a second: 45 rounds or more, at the 12
    # moments of the shorter period.
    assert loops.rounds > 40
    assert len(loops.moments) <= 13


def test_pauses_of_one_length_that_begin_together_end_together():
    async def scenario():
        ended = []

        async def one():
            await pacing.sleep_aligned(0.1)
            ended.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(one() for _ in range(20)))
        return ended

    ended = asyncio.run(scenario())
    assert max(ended) - min(ended) < 0.02


def test_a_later_shorter_pause_doesnt_wait_for_a_longer_one():
    async def scenario():
        long = pacing.scheduler().after(30)
        await asyncio.sleep(0)
        async with asyncio.timeout(1):
            await pacing.sleep_aligned(0.1)
        assert not long.done()
        long.cancel()

    asyncio.run(scenario())


def test_a_wait_of_some_length_isnt_cut_short():
    async def scenario():
        loop = asyncio.get_running_loop()
        await pacing.sleep_aligned(0.1)
        began = loop.time()
        await pacing.scheduler().after(0.4)
        return loop.time() - began

    assert asyncio.run(scenario()) > 0.3


def test_a_cancelled_pause_holds_up_no_other():
    async def scenario():
        given_up = asyncio.create_task(pacing.sleep_aligned(0.1))
        kept = asyncio.create_task(pacing.sleep_aligned(0.1))
        await asyncio.sleep(0)
        given_up.cancel()
        async with asyncio.timeout(1):
            await kept
        assert given_up.cancelled()

    asyncio.run(scenario())


def test_a_pause_below_a_tick_keeps_its_length():
    async def scenario():
        loop = asyncio.get_running_loop()
        await pacing.sleep_aligned(0.1)
        began = loop.time()
        await pacing.sleep_aligned(0.01)
        return loop.time() - began

    assert asyncio.run(scenario()) < pacing.TICK_S * 0.9


def test_each_event_loop_has_its_own_ticks():
    async def scenario():
        await pacing.sleep_aligned(0.05)
        return pacing.scheduler()

    assert asyncio.run(scenario()) is not asyncio.run(scenario())
