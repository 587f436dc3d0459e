"""Measures what waits to be sent on a connection."""

import asyncio

__all__ = ["UnsentOutput"]


class UnsentOutput:
    """What a connection's send buffer holds, and since when none was taken.

    Attributes:
        count: Bytes in the buffer.
        since: When the buffer last became shorter or non-empty, on the
            monotonic clock.
    """

    def __init__(self):
        self.count = 0
        self.since = 0.0

    def update(self, transport: asyncio.Transport | None, now: float) -> bool:
        """Measures it again; returns whether its size changed."""
        count = 0 if transport is None else transport.get_write_buffer_size()
        if count == self.count:
            return False
        if not self.count or count < self.count:
            self.since = now
        self.count = count
        return True

    @staticmethod
    def is_unsent(transport: asyncio.Transport | None) -> bool:
        """Whether a connection's send buffer holds anything now."""
        return transport is not None and transport.get_write_buffer_size() > 0

    def is_stuck(self, timeout_s: float, now: float) -> bool:
        """Whether nothing of it was taken for a time."""
        return self.count > 0 and now - self.since > timeout_s
