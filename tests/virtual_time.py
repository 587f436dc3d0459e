"""Runs asyncio code in virtual time: waits take no time."""

import asyncio
import selectors

__all__ = ["Clock", "Loop"]


class Clock:
    """The time, in seconds.

    Attributes:
        now: The time; advances by the waits of the loop.
    """

    def __init__(self, now: float = 100.0):
        self.now = now


class _Selector(selectors.SelectSelector):
    """Advances the clock to the next timer instead of waiting for it."""

    def __init__(self, clock: Clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("nothing is left to happen")
        self._clock.now += max(0.0, timeout)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of a clock."""

    def __init__(self, clock: Clock):
        self._model_clock = clock
        super().__init__(_Selector(clock))

    def time(self) -> float:
        return self._model_clock.now
