"""Publishes a service's assignment to the routers that watch it."""

import asyncio

from swiftstile.ownership import slices

__all__ = ["Announcer"]

# Number of past versions kept. A router that has one of them gets a delta
# instead of the whole assignment.
_KEPT_VERSIONS = 64


class Announcer:
    """Holds the newest assignment that routers may use.

    An assignment is announced only after it is durable and the servers that
    gained slices have received their grants. A router that used it earlier
    would be refused by those servers.
    """

    def __init__(self):
        self._newest: slices.Assignment | None = None
        self._history: dict[int, slices.Assignment] = {}
        self._changed = asyncio.Condition()

    @property
    def version(self) -> int:
        """Version announced last; 0 if none was."""
        return self._newest.version if self._newest else 0

    async def announce(self, assignment: slices.Assignment) -> None:
        """Publishes a newer assignment and wakes all waiters."""
        async with self._changed:
            self._newest = assignment
            self._history[assignment.version] = assignment
            self._history.pop(assignment.version - _KEPT_VERSIONS, None)
            self._changed.notify_all()

    async def wait_newer(self, version: int, wait_s: float) -> None:
        """Waits up to `wait_s` seconds for a version above `version`."""
        if self.version > version:
            return
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.version > version)
        except TimeoutError:
            return

    def delta_since(self, version: int) -> slices.Delta | None:
        """Returns the changes since a version, or None if there are none."""
        if self.version <= version:
            return None
        return self._newest.delta_from(self._history.get(version))
