"""Tracks how long requests that can be in time have been competing."""

from swiftstile.gateway import waiters

__all__ = ["CONTENTION_PERIOD", "ContentionPeriods"]

# Late requests are rejected once requests that can still be in time have waited
# for the same targets for this long without a break, in objectives. Rejecting
# them later than this doesn't serve more requests.
CONTENTION_PERIOD = 0.5


class ContentionPeriods:
    """Start of the uninterrupted period of contention of each queue."""

    def __init__(self):
        self._started: dict[waiters.QueueKey, float] = {}

    def clear(self) -> None:
        """Ends all periods, as nothing waits."""
        self._started.clear()

    def update(
        self,
        contested: set[waiters.QueueKey],
        only: waiters.QueueKey | None,
        now: float,
    ) -> None:
        """Updates the periods after a scan.

        Args:
            contested: What requests that can be in time keep waiting for.
            only: What the scan was restricted to; None for all.
            now: The time.
        """
        kept = {
            key: since
            for key, since in self._started.items()
            if key in contested or (only is not None and key != only)
        }
        self._started = dict.fromkeys(contested, now) | kept

    def is_long(self, waiter: waiters.Waiter, now: float) -> bool:
        """Whether requests that can be in time have long been competing."""
        since = self._started.get(waiter.queue_key, now)
        return now - since >= CONTENTION_PERIOD * waiter.route.objective_s
