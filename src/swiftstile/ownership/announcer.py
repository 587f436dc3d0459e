"""What routers are told of a service's assignment, and those that wait."""

import asyncio

from swiftstile.ownership import slices

__all__ = ["Announcer"]

# Versions kept, so that a router which has one of them gets a delta.
_HISTORY = 64


class Announcer:
    """The newest assignment that routers may know.

    Only durable assignments come here, and only when the servers that gained
    slices know of it: a router that is earlier would be refused.
    """

    def __init__(self):
        self._newest: slices.Assignment | None = None
        self._history: dict[int, slices.Assignment] = {}
        self._changed = asyncio.Condition()

    @property
    def version(self) -> int:
        """Version that was announced last; 0 for none."""
        return self._newest.version if self._newest else 0

    async def announce(self, assignment: slices.Assignment) -> None:
        """Tells all that wait of a newer assignment."""
        async with self._changed:
            self._newest = assignment
            self._history[assignment.version] = assignment
            self._history.pop(assignment.version - _HISTORY, None)
            self._changed.notify_all()

    async def wait_newer(self, version: int, wait_s: float) -> None:
        """Waits for a newer version, for `wait_s` seconds at most."""
        if self.version > version:
            return
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.version > version)
        except TimeoutError:
            return

    def delta_since(self, version: int) -> slices.Delta | None:
        """Returns what changed since a version; None for nothing."""
        if self.version <= version:
            return None
        return self._newest.delta_from(self._history.get(version))
