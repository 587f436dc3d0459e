"""Wakes all tasks that wait for something to happen again."""

import asyncio

__all__ = ["Signal"]


class Signal:
    """An event that is over at once: who waits later waits for the next."""

    def __init__(self):
        self._next = asyncio.Event()

    def wake(self) -> None:
        """Wakes all that wait now."""
        self._next.set()
        self._next = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """Waits for the next waking, for some seconds at most."""
        awaited = self._next
        try:
            async with asyncio.timeout(seconds):
                await awaited.wait()
        except TimeoutError:
            return
