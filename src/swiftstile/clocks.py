"""The clock that leases are measured on.

CLOCK_BOOTTIME goes on while a process is stopped and while the machine is
suspended, so a holder that was paused finds its lease lapsed.
"""

import time

__all__ = ["DRIFT_MARGIN_S", "milliseconds", "monotonic", "wall_ms"]

# Added to each wait for another machine's lease, for clocks that run at
# slightly different rates: 1 part in 1,000 over the longest short lease,
# rounded up.
DRIFT_MARGIN_S = 0.02


def monotonic() -> float:
    """Returns seconds since boot, pauses and suspends included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


def milliseconds(seconds: float) -> int:
    """Returns a length of time in whole milliseconds, rounded towards zero."""
    return int(seconds * 1000)
