"""Waiting for something to happen again."""

import asyncio

from swiftstile import signals


def test_all_that_wait_are_woken_and_who_comes_later_waits_on():
    async def scenario():
        signal = signals.Signal()
        waiting = [asyncio.create_task(signal.wait(30)) for _ in range(3)]
        await asyncio.sleep(0)
        signal.wake()
        async with asyncio.timeout(1):
            await asyncio.gather(*waiting)
        later = asyncio.create_task(signal.wait(30))
        done, _ = await asyncio.wait([later], timeout=0.05)
        assert not done
        later.cancel()

    asyncio.run(scenario())


def test_nobody_waits_for_longer_than_said():
    async def scenario():
        async with asyncio.timeout(1):
            await signals.Signal().wait(0.01)

    asyncio.run(scenario())
