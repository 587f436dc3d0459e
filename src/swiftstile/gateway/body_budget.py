"""Limits the memory that the bodies of all responses hold together."""

import collections.abc
import contextlib

from swiftstile import clocks
from swiftstile.gateway import memory_account

__all__ = ["MAX_HELD_BYTES", "BodyBudget", "Reservation"]

# Limit of a VM that doesn't know its memory. Beyond it responses are streamed
# to their callers, which takes a small buffer each.
MAX_HELD_BYTES = 64 << 20
# Streams may hold this much beside the bodies, as a share of their limit.
_STREAM_SHARE = 1 / 3


class BodyBudget:
    """Bytes that bodies may hold.

    Args:
        max_bytes: Limit of the bodies that are read completely.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        self._max_bytes = max_bytes
        self.part = memory_account.AccountPart(max_bytes * (1 + _STREAM_SHARE))

    @property
    def held_bytes(self) -> int:
        """Bytes that bodies hold now."""
        return self.part.held_bytes

    def reserve(self) -> "Reservation":
        """Returns an empty reservation."""
        return Reservation(self)

    def has_space(self, count: int) -> bool:
        """Whether a number of bytes can be reserved."""
        return self.held_bytes + count <= self._max_bytes


class Reservation(memory_account.Holder):
    """Bytes of one body, returned to the budget with its last reference.

    So they count until the response was written to its caller, however it ends.
    """

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._abort: collections.abc.Callable[[], None] | None = None
        self._sent_since = 0.0

    def __del__(self):
        self._budget.part.record(self, 0)

    def add(self, count: int) -> bool:
        """Reserves more bytes; returns whether they were available.

        They count in any case, as they have been received.
        """
        is_available = self._budget.has_space(count)
        self._budget.part.record(self, self.held_bytes + count)
        return is_available

    @contextlib.contextmanager
    def sent_by(
        self, abort: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Lets the body be given up while it is sent to a caller.

        Args:
            abort: Resets the caller's connection.
        """
        self._abort, self._sent_since = abort, clocks.monotonic()
        self._budget.part.watch(self)
        try:
            yield
        finally:
            self._budget.part.unwatch(self)
            self._abort = None

    def progressed_at(self) -> float | None:
        """See base class."""
        return None if self._abort is None else self._sent_since

    def evict(self) -> None:
        """See base class."""
        self._abort()
        self._budget.part.record(self, 0)
