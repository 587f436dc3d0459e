"""A clock of events for players: time goes on from one event to the next."""

import collections.abc
import heapq
import itertools


class EventClock:
    """Does what is due, in the order of time; at the same time, in turn."""

    def __init__(self):
        self._events: list[tuple] = []
        self._order = itertools.count()

    def at(
        self, when: float, action: collections.abc.Callable, *arguments
    ) -> None:
        """Calls an action at a time, with that time and the arguments."""
        entry = (when, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self) -> None:
        """Goes on until nothing is left to do."""
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
