"""Decides whether a queued request will be served in time.

Answers overload: more requests arrive than the slots of a queue can serve.
Callers need a rejection at once, so that they can go elsewhere, and a request
that is accepted should be answered in time. The decision rests on the measured
rate at which requests leave the queue, because estimates from speeds are off by
about a third.

Each VM that decides measures the rate of its own queue. This includes what the
other VMs take, without knowing their queues. Pure decision code: it does no I/O
and takes the current time as an argument.
"""

import collections.abc
import functools
import math

from swiftstile.gateway import wait_figures
from swiftstile.gateway import waiters

__all__ = [
    "QueueLimits",
    "RateMeter",
    "max_wait_in_time_s",
    "may_be_late",
]

# Time constant of the measured rates. Long enough for some 30 requests of a
# queue with 40 requests/s, and short enough for the rate to follow within the
# 3 s in which service has to be normal after an overload.
TIME_CONSTANT_S = 0.8
# Weight of the estimate from speeds, in seconds of measurement.
PRIOR_S = 0.3
# A request is accepted if its expected wait takes at most this fraction of the
# slack before it counts as late. The rest covers the variation of the wait and
# of the time in the queue of the upstream.
MAX_FRACTION_AT_ARRIVAL = 0.6
# The same where several VMs decide, which don't know each other's queues.
MAX_FRACTION_SHARED = 0.45
# The same for late requests, of the time until their deadline. Requests in time
# overtake them, and their rate is known only after some time.
MAX_LATE_FRACTION, MAX_LATE_FRACTION_SHARED = 0.8, 0.5
# A queued request is rejected if its expected wait exceeds the remaining time
# by this factor, so that no request is rejected for estimation noise.
MIN_EXCESS_WHEN_QUEUED = 1.5
# Arrivals count as beyond the served rate if they exceed it by this many
# standard deviations of Poisson arrivals, so that a burst below the capacity
# isn't taken for overload. The second value holds while requests are being
# rejected, so that an overload isn't taken for ended by a gap in the arrivals.
OVERLOAD_MARGIN_SIGMA, REJECTING_MARGIN_SIGMA = 2.0, 1.0
# A late answer has value where the timeout is at least this many objectives.
MIN_TIMEOUT_FOR_LATE = 2.0
# Requests that can't be in time even without a wait, because their target is
# slow, may wait for this fraction of their objective.
MIN_WAIT_FRACTION = 0.25
_INFINITY = float("inf")


class RateMeter:
    """Exponentially decayed rate of events, over the time that counts."""

    def __init__(self, now: float):
        self._count = 0.0
        self._seconds = 0.0
        self._updated_at = now

    def advance(self, now: float, is_counted: bool) -> None:
        """Adds the time since the last call.

        Args:
            now: The time.
            is_counted: Whether events could have occurred in that time.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        if not elapsed_s:
            return
        self._updated_at = now
        decay = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._count *= decay
        self._seconds *= decay
        if is_counted:
            self._seconds += TIME_CONSTANT_S * (1 - decay)

    def add(self) -> None:
        """Counts one event."""
        self._count += 1

    def per_s(self, prior: float) -> float:
        """Returns the rate in events/s.

        Args:
            prior: The expected rate, for lack of measurements.
        """
        return (self._count + PRIOR_S * prior) / (self._seconds + PRIOR_S)

    def exceeds(self, per_s: float, margin_sigma: float) -> bool:
        """Whether there were more events than a rate explains.

        Args:
            per_s: The rate, in events/s.
            margin_sigma: Margin in standard deviations.
        """
        expected = per_s * TIME_CONSTANT_S
        # An exponentially decayed Poisson count has half of the variance.
        return self._count > expected + margin_sigma * math.sqrt(expected / 2)

    @property
    def is_stale(self) -> bool:
        """Whether nothing has been measured for some time constants."""
        return self._count < 0.01 and self._seconds < 0.01


class _QueueMeter:
    """Rates of one queue, or of one organisation's part of it.

    Attributes:
        served: Requests that left the queue for a target, while any waited.
        waiting: Number of requests that wait.
        arrived: All arrivals, accepted or not.
        arrived_by_priority: Arrivals that could be in time. Rejected ones
            count as well: any slot that a later one needs is taken by them.
    """

    def __init__(self, now: float):
        self.served = RateMeter(now)
        self.waiting = 0
        self.arrived = RateMeter(now)
        self.arrived_by_priority: dict[int, RateMeter] = {}

    def advance(self, now: float) -> None:
        self.served.advance(now, self.waiting > 0)
        self.arrived.advance(now, True)
        for meter in self.arrived_by_priority.values():
            meter.advance(now, True)

    def overtaking_per_s(self, priority: int, is_late: bool) -> float:
        """Returns the rate of newer requests that go before one, per s."""
        return sum(
            meter.per_s(0.0)
            for other, meter in self.arrived_by_priority.items()
            if is_late or other < priority
        )


class QueueLimits:
    """Measures queues and predicts waits.

    Args:
        is_enabled: Whether these limits apply.
    """

    def __init__(
        self,
        is_enabled: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self.is_enabled = is_enabled
        self._meters: dict[tuple, _QueueMeter] = {}
        self._swept_at = 0.0

    def _meter(self, queue: tuple, now: float) -> _QueueMeter:
        meter = self._meters.get(queue)
        if meter is None:
            meter = self._meters[queue] = _QueueMeter(now)
        meter.advance(now)
        return meter

    def note_sent(self, queue: tuple, now: float, was_queued: bool) -> None:
        """Counts a request that is sent to a target.

        Args:
            queue: Name of its queue, with its organisation if divided.
            now: The time.
            was_queued: Whether it had to wait.
        """
        meter = self._meter(queue, now)
        if was_queued or meter.waiting:
            meter.served.add()

    def note_queued(self, queue: tuple, now: float) -> None:
        """Counts a request that is put into the queue."""
        self._meter(queue, now).waiting += 1

    def rate_per_s(self, queue: tuple, prior_per_s: float, now: float) -> float:
        """Returns the rate at which requests leave a queue, in requests/s.

        Args:
            queue: Name of the queue.
            prior_per_s: The rate that is estimated from speeds.
            now: The time.
        """
        return self._meter(queue, now).served.per_s(prior_per_s)

    def is_overloaded(
        self, queue: tuple, prior_per_s: float, is_rejecting: bool, now: float
    ) -> bool:
        """Whether more requests arrive than are served.

        Args:
            queue: Name of the queue.
            prior_per_s: The rate that is estimated from speeds.
            is_rejecting: Whether requests of the queue are being rejected.
            now: The time.
        """
        meter = self._meter(queue, now)
        margin_sigma = OVERLOAD_MARGIN_SIGMA
        if is_rejecting:
            margin_sigma = REJECTING_MARGIN_SIGMA
        per_s = meter.served.per_s(prior_per_s)
        return meter.arrived.exceeds(per_s, margin_sigma)

    def note_removed(self, queue: tuple) -> None:
        """Counts a request that leaves the queue, sent or not."""
        meter = self._meters.get(queue)
        if meter is not None:
            meter.waiting -= 1

    def note_arrived(
        self, queue: tuple, waiter: waiters.Waiter, now: float
    ) -> None:
        """Counts an arrival, accepted or not."""
        meter = self._meter(queue, now)
        meter.arrived.add()
        if waiter.is_late(now):
            return
        priority = waiter.route.priority
        arrived = meter.arrived_by_priority.get(priority)
        if arrived is None:
            arrived = meter.arrived_by_priority[priority] = RateMeter(now)
        arrived.add()

    def figures(
        self,
        queue: tuple,
        waiter: waiters.Waiter,
        ahead: int,
        prior_per_s: float,
        now: float,
        guaranteed_wait_s: float | None = None,
        is_overloaded: bool = True,
        idle_wait_s: float | None = None,
    ) -> wait_figures.Figures:
        """Returns the figures for a request that arrives or waits.

        Args:
            queue: Name of its queue, with its organisation if divided.
            waiter: The request.
            ahead: Requests of the same queue that go before it.
            prior_per_s: The estimated rate of the queue, in requests/s.
            now: The time.
            guaranteed_wait_s: Its longest wait by fair shares, if known.
            is_overloaded: Whether more requests arrive than are served. If not,
                the queue empties soon: a request may wait until its deadline
                allows no more, and newer ones overtake it only for a moment.
            idle_wait_s: Its wait if nothing waits at this VM, where other VMs
                use the same targets; None where this VM decides for all.
        """
        meter = self._meter(queue, now)
        per_s = meter.served.per_s(prior_per_s)
        is_late = waiter.is_late(now)
        if not is_overloaded:
            wait_s = (ahead + 1) / per_s if per_s > 0 else _INFINITY
            if idle_wait_s is not None and not meter.waiting:
                wait_s = idle_wait_s
            return wait_figures.Figures(
                is_late, ahead, per_s, 0.0, wait_s, _possible_s(waiter, now)
            )
        predict = functools.partial(
            self._predict, meter, waiter, ahead, per_s, now, idle_wait_s
        )
        figures = predict(is_late)
        if guaranteed_wait_s is not None and not is_late:
            wait_s = min(figures.wait_s, guaranteed_wait_s)
            figures = figures._replace(wait_s=wait_s)
        if figures.is_hopeless and not is_late and may_be_late(waiter):
            # It would be late, but may be worth serving.
            figures = predict(True)
        return figures

    @staticmethod
    def _predict(
        meter: _QueueMeter, waiter, ahead, per_s, now, idle_wait_s, is_late
    ) -> wait_figures.Figures:
        overtaking = meter.overtaking_per_s(waiter.route.priority, is_late)
        left_per_s = per_s - overtaking
        wait_s = (ahead + 1) / left_per_s if left_per_s > 0 else _INFINITY
        if not ahead and not meter.waiting:
            # Nothing waits, so the next slot that becomes free is its own.
            wait_s = 1 / per_s if per_s > 0 else _INFINITY
            if idle_wait_s is not None:
                wait_s = idle_wait_s
        return wait_figures.Figures(
            is_late,
            ahead,
            per_s,
            overtaking,
            wait_s,
            _limit_s(waiter, is_late, now),
        )

    def is_hopeless_in_queue(self, figures: wait_figures.Figures) -> bool:
        """Whether a request that was accepted won't be served in time."""
        return figures.wait_s > MIN_EXCESS_WHEN_QUEUED * max(
            0.0, figures.limit_s
        )

    def sweep(self, now: float) -> None:
        """Removes the meters of queues that haven't been used."""
        if now - self._swept_at < TIME_CONSTANT_S:
            return
        self._swept_at = now
        for queue, meter in list(self._meters.items()):
            meter.advance(now)
            arrived = meter.arrived_by_priority.values()
            if not meter.waiting and all(
                entry.is_stale
                for entry in (meter.served, meter.arrived, *arrived)
            ):
                del self._meters[queue]


def may_be_late(waiter: waiters.Waiter) -> bool:
    """Whether an answer after the objective has value."""
    route = waiter.route
    return route.timeout_s >= MIN_TIMEOUT_FOR_LATE * route.objective_s


def max_wait_in_time_s(waiter: waiters.Waiter, now: float) -> float:
    """Returns the longest wait with which a request is likely in time."""
    fraction = MAX_FRACTION_SHARED
    if waiter.is_centrally_decided:
        fraction = MAX_FRACTION_AT_ARRIVAL
    return fraction * waiter.slack_s(now)


def _possible_s(waiter: waiters.Waiter, now: float) -> float:
    return waiter.deadline - now - waiter.service_time_s


def _limit_s(waiter: waiters.Waiter, is_late: bool, now: float) -> float:
    possible_s = _possible_s(waiter, now)
    if not is_late:
        return min(max_wait_in_time_s(waiter, now), possible_s)
    if may_be_late(waiter):
        if waiter.is_centrally_decided:
            return MAX_LATE_FRACTION * possible_s
        return MAX_LATE_FRACTION_SHARED * possible_s
    least_s = MIN_WAIT_FRACTION * waiter.route.objective_s
    return min(least_s - (now - waiter.arrived), possible_s)
