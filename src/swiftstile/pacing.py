"""Timers of periodic tasks, aligned to common ticks.

A process has a dozen loops that poll several times a second. Waking the process
costs more than most of these polls, particularly on machines that run many
processes. Timers therefore expire at common ticks, so that one wake-up serves
all loops that are due.
"""

import asyncio
import math
import weakref

__all__ = ["TICK_S", "TickScheduler", "scheduler", "sleep_aligned"]

# Interval between ticks, in seconds.
TICK_S = 0.05
# Fraction of a tick by which a timer may fire early.
_TIMER_SLACK = 0.1


class TickScheduler:
    """Completes futures at the ticks of one event loop.

    A timer is set only while futures are pending.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        # The loop refers to this object by its timers; a strong reference back
        # would keep the loop alive.
        self._loop = weakref.ref(loop)
        self._started_at = loop.time()
        self._futures_by_tick: dict[int, list[asyncio.Future[None]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_tick = 0

    def after(self, seconds: float) -> asyncio.Future[None]:
        """Returns a future that completes at the tick nearest to a delay's end.

        Args:
            seconds: The delay. The future completes at the next tick at the
                earliest.
        """
        elapsed = self._elapsed_ticks()
        earliest = math.floor(elapsed + _TIMER_SLACK) + 1
        return self._at(max(earliest, round(elapsed + seconds / TICK_S)))

    def next_multiple(self, seconds: float) -> asyncio.Future[None]:
        """Returns a future that completes at the next multiple of a period."""
        period = max(1, round(seconds / TICK_S))
        periods = math.floor((self._elapsed_ticks() + _TIMER_SLACK) / period)
        return self._at((periods + 1) * period)

    def _elapsed_ticks(self) -> float:
        """Returns the ticks since the start, including the current fraction."""
        return (self._loop().time() - self._started_at) / TICK_S

    def _at(self, tick: int) -> asyncio.Future[None]:
        loop = self._loop()
        future = loop.create_future()
        self._futures_by_tick.setdefault(tick, []).append(future)
        if self._timer is None or tick < self._timer_tick:
            self._set_timer(loop, tick)
        return future

    def _set_timer(self, loop: asyncio.AbstractEventLoop, tick: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_tick = tick
        due = self._started_at + tick * TICK_S
        self._timer = loop.call_at(due, self._fire)

    def _fire(self) -> None:
        """Completes all due futures and sets the timer for the next tick."""
        now = max(
            self._timer_tick, math.floor(self._elapsed_ticks() + _TIMER_SLACK)
        )
        for tick in sorted(self._futures_by_tick):
            if tick > now:
                break
            for future in self._futures_by_tick.pop(tick):
                if not future.done():
                    future.set_result(None)
        self._timer = None
        if self._futures_by_tick:
            self._set_timer(self._loop(), min(self._futures_by_tick))


_scheduler_by_loop: weakref.WeakKeyDictionary[
    asyncio.AbstractEventLoop, TickScheduler
] = weakref.WeakKeyDictionary()


def scheduler() -> TickScheduler:
    """Returns the scheduler of the running event loop."""
    loop = asyncio.get_running_loop()
    found = _scheduler_by_loop.get(loop)
    if found is None:
        found = _scheduler_by_loop[loop] = TickScheduler(loop)
    return found


async def sleep_aligned(seconds: float) -> None:
    """Sleeps until the next multiple of a period.

    Tasks with equal periods wake together, and tasks with a longer period wake
    at some of the same times. Periods shorter than a tick aren't aligned.
    """
    if seconds < TICK_S:
        await asyncio.sleep(seconds)
    else:
        await scheduler().next_multiple(seconds)
