"""Clocks for leases and timestamps.

Leases use CLOCK_BOOTTIME, which advances while a process is stopped and while
the machine is suspended, so a holder that was paused sees its lease expired.
"""

import time

__all__ = ["DRIFT_MARGIN_S", "milliseconds", "monotonic", "wall_ms"]

# Added to each wait for another machine's lease to expire, because clocks run
# at slightly different rates: 1 part in 1,000 of the longest short lease,
# rounded up.
DRIFT_MARGIN_S = 0.02


def monotonic() -> float:
    """Returns seconds since boot, including time paused or suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


def milliseconds(seconds: float) -> int:
    """Converts a duration to whole milliseconds, rounded towards zero."""
    return int(seconds * 1000)
