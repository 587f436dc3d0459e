"""Separates what an upstream states about its speed into usual and momentary.

Upstreams may state how long work takes there at this moment, relative to an
upstream of mean speed. That includes their constant speed, which is measured
from answers and decides about their share of keys; only the momentary part,
such as three times the usual for 0.4 s, may be left out of these measurements.
"""

import collections

__all__ = ["StatedSlowdown"]

# Statements among which the lowest is the usual one. Slow moments take about a
# fifth of the time, so five statements in a row are rarely all from such ones.
USUAL_STATEMENTS = 5
# Lower bound of a statement, which may be zero.
MIN_STATED = 0.1


class StatedSlowdown:
    """The latest statements of one upstream."""

    def __init__(self):
        self._latest: collections.deque[float] = collections.deque(
            maxlen=USUAL_STATEMENTS
        )

    def note(self, stated: float) -> float:
        """Records a statement and returns the momentary slowdown.

        Args:
            stated: Current service time, relative to a mean upstream.

        Returns:
            Current service time, relative to the usual one of this upstream.
        """
        self._latest.append(max(stated, MIN_STATED))
        return self._latest[-1] / min(self._latest)
