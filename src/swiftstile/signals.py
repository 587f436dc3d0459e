"""Wakes all tasks that wait for the next occurrence of an event."""

import asyncio

from swiftstile import pacing

__all__ = ["Signal"]


class Signal:
    """An event without state: later waiters wait for its next occurrence."""

    def __init__(self):
        self._waiting: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Wakes all current waiters."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, seconds: float) -> None:
        """Waits for the next `wake`, for about `seconds` at most."""
        future = pacing.scheduler().after(seconds)
        self._waiting.add(future)
        try:
            await future
        finally:
            self._waiting.discard(future)
