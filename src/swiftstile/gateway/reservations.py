"""Applies reservations of returning callers to the requests of a queue.

Pure decision code: it does no I/O and takes the current time as an argument.
`caller_retries.py` recognises the callers, and `retry_schedule.py` keeps the
reserved times.
"""

from swiftstile.gateway import caller_retries
from swiftstile.gateway import retry_schedule
from swiftstile.gateway import target_selection
from swiftstile.gateway import waiters

__all__ = ["Reservations"]

_INFINITY = float("inf")


class Reservations:
    """Recognises returning callers and reserves capacity for rejected ones.

    Attributes:
        schedule: The reserved times.
        retry_tracker: Callers that are expected to return.

    Args:
        selector: Knows the targets of a request.
        retry_tracker: See above; by default, callers without a key aren't
            tracked.
        schedule: See above; by default, nothing is reserved.
    """

    def __init__(
        self,
        selector: target_selection.TargetSelector,
        retry_tracker: caller_retries.RetryTracker | None = None,
        schedule: retry_schedule.RetrySchedule | None = None,
    ):
        self._selector = selector
        self.retry_tracker = retry_tracker or caller_retries.RetryTracker()
        self.schedule = schedule or retry_schedule.RetrySchedule(
            caller_retries.never_enabled
        )

    def recognise(self, waiter: waiters.Waiter, now: float) -> None:
        """Sets the turn of a request, and its first arrival if it is a retry.

        A reservation holds for one send, so that a request that is offered
        again has none.
        """
        waiter.turn = caller_retries.Turn.NORMAL
        reserved_at = self.retry_tracker.match_retry(waiter, now)
        if reserved_at is not None and not self.schedule.consume(
            waiter.queue_key, reserved_at, now
        ):
            waiter.turn = caller_retries.Turn.NORMAL

    def reserve(self, waiter: waiters.Waiter, now: float) -> float | None:
        """Reserves a time for a rejected caller; None if none is left."""
        if (
            not self.schedule.is_enabled
            or waiter.gives_up_at is None
            or waiter.max_wait_s is not None
            or waiter.queue_key is None
            or not waiter.is_centrally_decided
        ):
            return None
        return self.schedule.reserve(
            waiter.queue_key,
            caller_retries.return_bounds(waiter, now),
            self._capacity_per_s(waiter, now),
            now,
        )

    def wait_s(
        self, waiter: waiters.Waiter, wait_s: float, now: float
    ) -> float:
        """Returns how much longer a request waits for reserved ones.

        Args:
            waiter: The request.
            wait_s: How long it waits for those in the queue, in seconds.
            now: The time.
        """
        if (
            not self.schedule.is_enabled
            or waiter.is_reserved
            or wait_s == _INFINITY
            or waiter.queue_key is None
        ):
            return 0.0
        due = self.schedule.due(waiter.queue_key, now + wait_s, now)
        per_s = self._capacity_per_s(waiter, now)
        # An owner that drains, is cold or backs off has no capacity, although
        # the time until it has some is known.
        return due / per_s if per_s > 0 else 0.0

    def _capacity_per_s(self, waiter: waiters.Waiter, now: float) -> float:
        return retry_schedule.capacity_per_s(
            (target.upstream.slots, waiter.expected_s * target.slow_factor(now))
            for target in self._selector.candidates(waiter, now)
        )
