"""Ends the waits of requests that a stopping VM can't finish any more."""

import asyncio
import collections.abc
import contextlib

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import planned_stop

__all__ = ["SendLimits"]

LatestTime = collections.abc.Callable[[], float]


class SendLimits:
    """The waits of requests that weren't sent, or are to be sent again.

    Args:
        stop: The stop of this process.
    """

    def __init__(self, stop: planned_stop.PlannedStop):
        self.stop = stop
        self._latest_by_wait: dict[asyncio.Timeout, LatestTime] = {}

    @contextlib.asynccontextmanager
    async def limited(
        self, latest: LatestTime, step: str
    ) -> collections.abc.AsyncIterator[None]:
        """Limits a wait to the time that the stop leaves for it.

        Args:
            latest: Returns the end of the wait, on the monotonic clock.
            step: What is waited for.

        Raises:
            StoppingError: The stop has begun and leaves no time, now or later.
        """
        self.check(latest, step)
        wait = asyncio.timeout(None)
        try:
            async with wait:
                self._latest_by_wait[wait] = latest
                if self.stop.has_begun:
                    _reschedule(wait, latest)
                try:
                    yield
                finally:
                    del self._latest_by_wait[wait]
        except TimeoutError as error:
            if not wait.expired():
                raise
            raise _stopping_error(step) from error

    def check(self, latest: LatestTime, step: str) -> None:
        """Raises `StoppingError` if no time is left."""
        if self.stop.has_begun and latest() <= clocks.monotonic():
            raise _stopping_error(step)

    def begin_stop(self, now: float) -> None:
        """Records the signal to stop, and limits all present waits."""
        self.stop.begin(now)
        for wait, latest in self._latest_by_wait.items():
            _reschedule(wait, latest)


def _stopping_error(step: str) -> outcomes.StoppingError:
    return outcomes.StoppingError("the VM stops", step=step)


def _reschedule(wait: asyncio.Timeout, latest: LatestTime) -> None:
    """Ends a wait at a time on the monotonic clock."""
    loop = asyncio.get_running_loop()
    left_s = latest() - clocks.monotonic()
    at = None if left_s == float("inf") else loop.time() + max(0.0, left_s)
    wait.reschedule(at)
