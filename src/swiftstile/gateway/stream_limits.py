"""Decides how long a streamed response may take.

A response whose length is stated ends, so that it may take as long as its
caller waits, if it can arrive by then at all. One without a length may never
end: it has the time of the route.
"""

import msgspec

__all__ = ["StreamLimits", "can_arrive", "limits_of"]

# Assumed bandwidth of a VM that doesn't know its own, in Mbit/s.
DEFAULT_LINK_MBPS = 10_000.0
_BYTES_PER_S_PER_MBPS = 125_000


class StreamLimits(msgspec.Struct, frozen=True):
    """Time limits of a streamed response.

    Attributes:
        ends_at: When it must have been received, on the monotonic clock.
        stall_s: Longest wait for its next bytes, in seconds.
    """

    ends_at: float
    stall_s: float

    def next_until(self, now: float) -> float:
        """Returns until when to wait for the next bytes."""
        return min(self.ends_at, now + self.stall_s)


def limits_of(
    length: int | None, deadline: float, gives_up_at: float, stall_s: float
) -> StreamLimits:
    """Returns the time limits of a response.

    Args:
        length: Its stated length in bytes, if any.
        deadline: When the time of the route ends.
        gives_up_at: When its caller gives up; infinite if that isn't known.
        stall_s: Longest wait for the next bytes.
    """
    ends_at = deadline if length is None else max(deadline, gives_up_at)
    return StreamLimits(ends_at, stall_s)


def can_arrive(length: int, left_s: float, link_mbps: float) -> bool:
    """Whether a body of a length can arrive over the VM's link in time."""
    bytes_per_s = (link_mbps or DEFAULT_LINK_MBPS) * _BYTES_PER_S_PER_MBPS
    return length <= bytes_per_s * left_s
