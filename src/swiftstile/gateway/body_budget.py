"""Limits the memory that the bodies of all responses hold together."""

__all__ = ["MAX_HELD_BYTES", "BodyBudget", "Reservation"]

# A quarter of the memory that a VM may use. Beyond it responses are streamed to
# their callers, which takes a small buffer each.
MAX_HELD_BYTES = 64 << 20


class BodyBudget:
    """Bytes that bodies may hold.

    Attributes:
        held_bytes: Bytes that bodies hold now.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        self._max_bytes = max_bytes
        self.held_bytes = 0

    def reserve(self) -> "Reservation":
        """Returns an empty reservation."""
        return Reservation(self)

    def has_space(self, count: int) -> bool:
        """Whether a number of bytes can be reserved."""
        return self.held_bytes + count <= self._max_bytes


class Reservation:
    """Bytes of one body, returned to the budget with its last reference.

    So they count until the response was written to its caller, however it ends.
    """

    __slots__ = ("_budget", "_count")

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._count = 0

    def __del__(self):
        self._budget.held_bytes -= self._count

    def add(self, count: int) -> bool:
        """Reserves more bytes; returns whether they were available.

        They count in any case, as they have been received.
        """
        is_available = self._budget.has_space(count)
        self._budget.held_bytes += count
        self._count += count
        return is_available
