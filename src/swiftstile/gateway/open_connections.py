"""Limits the open connections of a listener.

When it is full, the idle connection that was used longest ago is closed, one
that never carried a request before all others. If none is idle, the request
that has been arriving for longest is refused, and if none has for a while, the
new connection.
"""

import abc
import collections.abc
import typing

from swiftstile import clocks
from swiftstile.gateway import outcomes

__all__ = ["ConnectionTable", "LimitedConnection"]

# Connections that are closed at a time: a share of the limit, so that a flood
# doesn't sort all connections for each new one.
_CLOSED_SHARE = 1 / 16
# Requests are refused for a new connection only once they have been arriving
# for this long; whole ones arrive sooner.
_MIN_ARRIVING_S = 1.0


class LimitedConnection(abc.ABC):
    """A connection that may be closed in favour of another one."""

    @abc.abstractmethod
    def idle_since(self) -> tuple[bool, float] | None:
        """Returns whether it carried a request, and when it became idle.

        Returns:
            None if it isn't idle.
        """

    @abc.abstractmethod
    def arriving_since(self) -> float | None:
        """Returns since when an incomplete request arrives.

        Returns:
            None if none does, or if it can't be refused any more.
        """

    @abc.abstractmethod
    def refuse(self, error: outcomes.GatewayError) -> None:
        """Refuses a request that wasn't passed on, and closes it soon."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes it and cancels its requests."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Resets it."""


C = typing.TypeVar("C", bound=LimitedConnection)


class ConnectionTable(typing.Generic[C]):
    """The open connections of one listener.

    Args:
        max_open: Connections that may be open.
        max_leaving: Connections that may be open beside them to let a last
            response arrive.
        on_closed: Called for each connection that is closed without a
            response.
    """

    def __init__(
        self,
        max_open: int,
        max_leaving: int,
        on_closed: collections.abc.Callable[[], None],
    ):
        self._max_open = max_open
        self._max_leaving = max_leaving
        self._on_closed = on_closed
        self._open: set[C] = set()
        self._leaving: set[C] = set()

    @property
    def most(self) -> int:
        """Most connections that are open at a time."""
        return self._max_open + self._max_leaving

    def __iter__(self) -> collections.abc.Iterator[C]:
        yield from list(self._open)
        yield from list(self._leaving)

    def __len__(self) -> int:
        return len(self._open) + len(self._leaving)

    def add(self, connection: C) -> None:
        """Adds a new connection, and closes or refuses others if it is full.

        The new one is refused if none of the others can be.
        """
        if len(self._open) >= self._max_open:
            self._make_space(clocks.monotonic())
        is_full = len(self._open) >= self._max_open
        self._open.add(connection)
        if is_full:
            self._refuse(connection)

    def discard(self, connection: C) -> None:
        """Removes a connection that has ended."""
        self._open.discard(connection)
        self._leaving.discard(connection)

    def _make_space(self, now: float) -> None:
        count = max(1, int(self._max_open * _CLOSED_SHARE))
        idle = [
            (since, id(connection), connection)
            for connection in self._open
            if (since := connection.idle_since()) is not None
        ]
        for _, _, connection in sorted(idle)[:count]:
            self._open.discard(connection)
            self._leaving.add(connection)
            self._on_closed()
            connection.close()
        if idle:
            return
        arriving = [
            (since, id(connection), connection)
            for connection in self._open
            if (since := connection.arriving_since()) is not None
            and now - since > _MIN_ARRIVING_S
        ]
        for _, _, connection in sorted(arriving)[:count]:
            self._refuse(connection)

    def _refuse(self, connection: C) -> None:
        self._open.discard(connection)
        if len(self._leaving) >= self._max_leaving:
            self._on_closed()
            connection.abort()
            return
        self._leaving.add(connection)
        connection.refuse(
            outcomes.ConnectionLimitError(
                f"{self._max_open} connections are open", step="accept"
            )
        )
