"""Counts distinct events that several processes report to each other.

A bitmap of fixed size: each event sets one bit, and bitmaps are merged by OR,
so that repeated and relayed reports change nothing (linear counting: Whang,
Vander-Zanden and Taylor, 1990).
"""

import math
import zlib

__all__ = ["MAX_ESTIMATE", "add", "estimate"]

_BITS = 64
# Estimate of a full bitmap: that of one with a single bit left.
MAX_ESTIMATE = _BITS * math.log(_BITS)


def add(bitmap: int, event: str) -> int:
    """Returns a bitmap to which an event was added."""
    return bitmap | 1 << zlib.crc32(event.encode()) % _BITS


def estimate(bitmap: int) -> float:
    """Returns the estimated number of distinct events in a bitmap."""
    unset = _BITS - bitmap.bit_count()
    return _BITS * math.log(_BITS / unset) if unset else MAX_ESTIMATE
