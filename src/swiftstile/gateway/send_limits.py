"""Ends the waits of requests that a stopping VM can't finish any more."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import planned_stop

__all__ = ["SendLimits"]

# Returns the latest time of a send, on the monotonic clock.
LatestTime = collections.abc.Callable[[], float]


class _LimitedWait:
    """A wait that ends with `StoppingError` when the stop leaves no time."""

    __slots__ = ("_latest", "_latest_by_timeout", "_step", "_stop", "_timeout")

    def __init__(
        self,
        stop: planned_stop.PlannedStop,
        latest_by_timeout: dict[asyncio.Timeout, LatestTime],
        latest: LatestTime,
        step: str,
    ):
        self._stop = stop
        self._latest_by_timeout = latest_by_timeout
        self._latest = latest
        self._step = step
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._latest_by_timeout[self._timeout] = self._latest
        if self._stop.has_begun:
            _reschedule(self._timeout, self._latest)

    async def __aexit__(self, kind, error, traceback) -> None:
        del self._latest_by_timeout[self._timeout]
        try:
            await self._timeout.__aexit__(kind, error, traceback)
        except TimeoutError as expired:
            raise _stopping_error(self._step) from expired


class SendLimits:
    """The waits of requests that weren't sent, or are to be sent again.

    Args:
        stop: The stop of this process.

    Attributes:
        stop: As above.
    """

    def __init__(self, stop: planned_stop.PlannedStop):
        self.stop = stop
        self._latest_by_timeout: dict[asyncio.Timeout, LatestTime] = {}

    def limit_wait(self, latest: LatestTime, step: str) -> _LimitedWait:
        """Returns a context that limits a wait to the time the stop leaves.

        Args:
            latest: Returns the end of the wait, on the monotonic clock.
            step: What is waited for.

        Raises:
            StoppingError: The stop has begun and leaves no time, now or later.
        """
        self.check(latest, step)
        return _LimitedWait(self.stop, self._latest_by_timeout, latest, step)

    def check(self, latest: LatestTime, step: str) -> None:
        """Raises `StoppingError` if no time is left."""
        if self.stop.has_begun and latest() <= clocks.monotonic():
            raise _stopping_error(step)

    def begin_stop(self, now: float) -> None:
        """Records the signal to stop, and limits all present waits."""
        self.stop.begin(now)
        for timeout, latest in self._latest_by_timeout.items():
            _reschedule(timeout, latest)


def _stopping_error(step: str) -> outcomes.StoppingError:
    return outcomes.StoppingError("the VM stops", step=step)


def _reschedule(timeout: asyncio.Timeout, latest: LatestTime) -> None:
    """Ends a wait at a time on the monotonic clock."""
    loop = asyncio.get_running_loop()
    left_s = latest() - clocks.monotonic()
    at = None if left_s == float("inf") else loop.time() + max(0.0, left_s)
    timeout.reschedule(at)
