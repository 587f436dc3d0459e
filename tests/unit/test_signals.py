"""Waiting for the next occurrence of an event."""

import asyncio

from swiftstile import signals


def test_wake_reaches_current_waiters_but_not_later_ones():
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


def test_wait_ends_after_its_timeout():
    async def scenario():
        async with asyncio.timeout(1):
            await signals.Signal().wait(0.01)

    asyncio.run(scenario())
