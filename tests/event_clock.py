"""Event queue with virtual time for simulations."""

import collections.abc
import heapq
import itertools


class EventClock:
    """Runs events in order of time; simultaneous events in FIFO order."""

    def __init__(self):
        self._events: list[tuple] = []
        self._order = itertools.count()

    def schedule(
        self, when: float, action: collections.abc.Callable, *arguments
    ) -> None:
        """Schedules a call of `action(when, *arguments)`."""
        entry = (when, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self) -> None:
        """Runs until no events are left."""
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
