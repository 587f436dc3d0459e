"""Wakes all tasks that wait for something to happen again."""

import asyncio

from swiftstile import pacing

__all__ = ["Signal"]


class Signal:
    """An event that is over at once: who waits later waits for the next."""

    def __init__(self):
        self._waiting: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Wakes all that wait now."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, seconds: float) -> None:
        """Waits for the next waking, for about some seconds at most."""
        future = pacing.scheduler().after(seconds)
        self._waiting.add(future)
        try:
            await future
        finally:
            self._waiting.discard(future)
