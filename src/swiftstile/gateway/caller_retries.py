"""Callers that were refused and come back at the time that they were told.

A caller counts its time from its first try, so a second try that looks fresh
may already be late. Nothing in it says that it is one; but it asks for the same
key, at the time that it was told, and stops waiting when it said before. The
load that this answers: owners of which more is asked than they can do, where
half of the tries are second ones and take slots from those that can still be in
time.
"""

import collections

from swiftstile import ids

__all__ = ["RetryTracker"]

# How far the time at which a caller stops waiting may differ between two tries,
# in seconds: whole milliseconds, and the way to us of each.
DEADLINE_TOLERANCE_S = 0.008
# How much earlier and later than told a caller comes back.
MAX_EARLY_S, MAX_LATE_S = 0.01, 0.06


class _ExpectedRetry:
    """A caller that was asked back.

    Attributes:
        retry_at: When.
        gives_up_at: When it stops waiting.
        arrived: When its first try came.
    """

    __slots__ = ("arrived", "retry_at", "gives_up_at")

    def __init__(self, retry_at: float, gives_up_at: float, arrived: float):
        self.retry_at = retry_at
        self.gives_up_at = gives_up_at
        self.arrived = arrived


class RetryTracker:
    """Callers of one VM that were asked back, by service and key."""

    def __init__(self):
        self._by_key: dict[
            tuple[ids.ServiceName, int], collections.deque[_ExpectedRetry]
        ] = {}
        self._swept_at = 0.0

    def expect_retry(self, waiter, retry_at: float) -> None:
        """A request was refused, and its caller told when to come back."""
        if waiter.key is None or waiter.gives_up_at is None:
            return
        name = (waiter.service, waiter.key)
        expected = self._by_key.setdefault(name, collections.deque())
        expected.append(
            _ExpectedRetry(retry_at, waiter.gives_up_at, waiter.arrived)
        )

    def match_retry(self, waiter, now: float) -> None:
        """Counts a request from its first try, if it is a later one."""
        self._sweep(now)
        if waiter.key is None or waiter.gives_up_at is None:
            return
        expected = self._by_key.get((waiter.service, waiter.key), ())
        matches = [entry for entry in expected if _matches(entry, waiter, now)]
        if not matches:
            return
        best = min(
            matches,
            key=lambda entry: abs(entry.gives_up_at - waiter.gives_up_at),
        )
        expected.remove(best)
        waiter.arrived = min(waiter.arrived, best.arrived)

    def _sweep(self, now: float) -> None:
        """Forgets those that didn't come."""
        if now - self._swept_at < MAX_LATE_S:
            return
        self._swept_at = now
        for name, expected in list(self._by_key.items()):
            kept = [
                entry
                for entry in expected
                if now <= entry.retry_at + MAX_LATE_S
            ]
            if kept:
                self._by_key[name] = collections.deque(kept)
            else:
                del self._by_key[name]


def _matches(entry: _ExpectedRetry, waiter, now: float) -> bool:
    is_due = -MAX_EARLY_S <= now - entry.retry_at <= MAX_LATE_S
    return (
        is_due
        and abs(entry.gives_up_at - waiter.gives_up_at) <= DEADLINE_TOLERANCE_S
    )
