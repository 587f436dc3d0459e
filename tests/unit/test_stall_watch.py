"""The test process tells when it stood still, and in which call."""

import asyncio
import time

from tests.integration import stall_watch


def _block_busily(for_s: float) -> None:
    end = time.thread_time() + for_s
    while time.thread_time() < end:
        pass


def _watch(block) -> list[stall_watch.Stall]:
    async def scenario():
        async with stall_watch.StallWatch() as watch:
            await asyncio.sleep(0.1)
            block()
            await asyncio.sleep(0.1)
        return watch.stalls

    return asyncio.run(scenario())


def test_a_call_that_blocks_the_loop_is_named():
    stalls = _watch(lambda: _block_busily(0.6))
    longest = max(stalls, key=lambda stall: stall.for_s)
    assert longest.for_s >= 0.5
    assert longest.busy_s >= 0.5
    assert "_block_busily" in longest.where


def test_a_thread_that_does_not_run_is_not_busy():
    stalls = _watch(lambda: time.sleep(0.6))
    longest = max(stalls, key=lambda stall: stall.for_s)
    assert longest.for_s >= 0.5
    assert longest.busy_s <= 0.3
