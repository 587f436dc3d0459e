"""Recognises retries of callers that were rejected with a retry time.

A caller's timeout runs from its first attempt, so a retry that looks like a new
request may already be late. Nothing in the request marks it as a retry, but it
has the same key, arrives at the given retry time and has the same deadline.
This matters for overloaded owners: there, half of the attempts are retries, and
they would take slots from requests that can still be answered in time.
"""

import collections

from swiftstile import ids

__all__ = ["RetryTracker"]

# How far a caller's deadline may differ between two attempts, in seconds: it is
# sent in whole milliseconds, and the one-way latency of each attempt varies.
DEADLINE_TOLERANCE_S = 0.008
# How much earlier and later than the retry time a retry may arrive.
MAX_EARLY_S, MAX_LATE_S = 0.01, 0.06


class _ExpectedRetry:
    """A retry that is expected from a rejected caller.

    Attributes:
        retry_at: When it is expected.
        gives_up_at: Deadline of the caller.
        arrived: When its first attempt arrived.
    """

    __slots__ = ("arrived", "retry_at", "gives_up_at")

    def __init__(self, retry_at: float, gives_up_at: float, arrived: float):
        self.retry_at = retry_at
        self.gives_up_at = gives_up_at
        self.arrived = arrived


class RetryTracker:
    """Expected retries of one VM's callers, by service and key."""

    def __init__(self):
        self._by_key: dict[
            tuple[ids.ServiceName, int], collections.deque[_ExpectedRetry]
        ] = {}
        self._swept_at = 0.0

    def expect_retry(self, waiter, retry_at: float) -> None:
        """Records that a request was rejected with a retry time."""
        if waiter.key is None or waiter.gives_up_at is None:
            return
        name = (waiter.service, waiter.key)
        expected = self._by_key.setdefault(name, collections.deque())
        expected.append(
            _ExpectedRetry(retry_at, waiter.gives_up_at, waiter.arrived)
        )

    def match_retry(self, waiter, now: float) -> None:
        """Sets a retry's arrival time to that of its first attempt."""
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
        """Removes expected retries that are overdue."""
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
