"""Recognises retries of callers that were rejected with a retry time.

A caller's timeout runs from its first attempt, so a retry that looks like a new
request may already be late. Nothing in the request marks it as a retry, but it
has the same key, arrives at the given retry time and has the same deadline.
This matters for overloaded owners: there, half of the attempts are retries, and
they would take slots from requests that can still be answered in time.

Where `is_enabled` is on, requests without a key are recognised as well, by
service, objective and deadline. They may then get extra sends (`retries.py`).
"""

import collections
import collections.abc
import enum
import math

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile import metrics
from swiftstile.gateway import retry_schedule

__all__ = [
    "RetryTracker",
    "Turn",
    "RejectedAttempt",
    "never_enabled",
    "return_bounds",
]

# How far a caller's deadline may differ between two attempts, in seconds: it is
# sent in whole milliseconds, and the one-way latency of each attempt varies.
DEADLINE_TOLERANCE_S = 0.008
# How much earlier and later than the retry time a retry may arrive.
MAX_EARLY_S, MAX_LATE_S = 0.01, 0.06
# The same for requests with a key where `is_enabled` is on. A caller opens a
# new connection to another VM, which accepts it late while it is short of
# processor time, see docs/design/returning-callers.md.
MAX_KEYED_LATE_S, KEYED_DEADLINE_TOLERANCE_S = 0.4, 0.06
# Callers wait at most this fraction of the time that they have left, whatever
# they are told.
MAX_WAIT_FRACTION = 1 / 3
# A rejected caller comes back after this fraction of its objective at the
# earliest.
MIN_RETURN_OBJECTIVES = 0.05
# A request that arrived before this fraction of the caller's wait is a repeated
# permit request, not the caller's return.
MIN_RETURN_FRACTION = 0.5
# Spare time of a reserved retry before its objective, in mean service times.
# Service times vary by half.
IN_TIME_MARGIN = 0.6

# Expected retries without a key are looked up by deadlines of this resolution,
# in seconds, as a service may have hundreds of them.
_DEADLINE_BUCKET_S = 0.1

# Service, key, and if there is no key, objective in milliseconds and bucket of
# the deadline; 0 otherwise.
_Name = tuple[ids.ServiceName, int | None, int, int]


def never_enabled() -> bool:
    """The default of `is_enabled`: retries without a key aren't tracked."""
    return False


class Turn(enum.IntEnum):
    """Order of requests of one priority that can be in time."""

    # It returned at the time that was reserved for it.
    RESERVED = 0
    # A first attempt, or a caller that returned without a reservation. They go
    # by the arrival of this attempt: by that of the first one, few first
    # attempts would be served at several times the capacity.
    NORMAL = 1


class RejectedAttempt(msgspec.Struct):
    """A caller whose request an upstream rejected; times are relative to now.

    Attributes:
        service: The service.
        key: Key of the request, if it has one.
        objective_ms: Latency objective of its route.
        retry_after_s: How long the caller was told to wait.
        left_s: Time until the caller gives up.
        age_s: Time since its first attempt arrived.
        rejections: How often it was rejected, this time included.
    """

    service: ids.ServiceName
    key: int | None
    objective_ms: int
    retry_after_s: float
    left_s: float
    age_s: float
    rejections: int


class _ExpectedRetry:
    """A retry that is expected from a rejected caller.

    Attributes:
        retry_at: When it is expected.
        gives_up_at: Deadline of the caller.
        arrived: When its first attempt arrived.
        rejections: How often the caller was rejected.
        reserved_at: The time that is reserved for it, if any.
        rejected_at: A request that arrived before this isn't the retry.
    """

    __slots__ = (
        "arrived",
        "gives_up_at",
        "rejected_at",
        "rejections",
        "reserved_at",
        "retry_at",
    )

    def __init__(
        self,
        retry_at: float,
        gives_up_at: float,
        arrived: float,
        rejections: int,
        reserved_at: float | None,
        rejected_at: float,
    ):
        self.retry_at = retry_at
        self.gives_up_at = gives_up_at
        self.arrived = arrived
        self.rejections = rejections
        self.reserved_at = reserved_at
        self.rejected_at = rejected_at


class RetryTracker:
    """Expected retries of one VM's callers, by service and key.

    Args:
        is_enabled: Whether callers that return are treated differently from
            others.
        meters: Counts recognised callers.
    """

    def __init__(
        self,
        is_enabled: collections.abc.Callable[[], bool] = never_enabled,
        meters: metrics.Meters | None = None,
    ):
        self._is_enabled = is_enabled
        self._meters = meters
        self._by_key: dict[_Name, collections.deque[_ExpectedRetry]] = {}
        self._swept_at = 0.0

    def expect_retry(
        self,
        waiter,
        retry_at: float,
        now: float | None = None,
        reserved_at: float | None = None,
    ) -> None:
        """Records that a request was rejected with a retry time.

        Args:
            waiter: The request.
            retry_at: When its caller was told to retry.
            now: The time; None if the caller waits as long as it was told.
            reserved_at: The time that is reserved for it, if any.
        """
        if waiter.gives_up_at is None:
            return
        rejected_at = waiter.arrived
        if not self._is_enabled():
            if waiter.key is None:
                return
        elif now is not None:
            longest_s = MAX_WAIT_FRACTION * (waiter.gives_up_at - now)
            retry_at = min(retry_at, now + longest_s)
            # The arrival of a repeated permit request is estimated later by
            # what its message takes longer than the first one.
            rejected_at = now + MIN_RETURN_FRACTION * (retry_at - now)
        self._expect(
            _name(waiter, waiter.gives_up_at),
            _ExpectedRetry(
                retry_at,
                waiter.gives_up_at,
                waiter.arrived,
                waiter.rejections + 1,
                reserved_at,
                rejected_at,
            ),
        )

    def expect_caller(self, caller: RejectedAttempt, now: float) -> None:
        """Records that an upstream rejected a caller's request."""
        if not self._is_enabled():
            return
        wait_s = min(caller.retry_after_s, MAX_WAIT_FRACTION * caller.left_s)
        gives_up_at = now + caller.left_s
        name = caller.service, caller.key, 0, 0
        if caller.key is None:
            bucket = _deadline_bucket(gives_up_at)
            name = caller.service, None, caller.objective_ms, bucket
        self._expect(
            name,
            _ExpectedRetry(
                now + wait_s,
                gives_up_at,
                now - caller.age_s,
                caller.rejections,
                None,
                # The message about the rejection may have been delayed.
                now - caller.age_s,
            ),
        )

    def _expect(self, name: _Name, entry: _ExpectedRetry) -> None:
        self._by_key.setdefault(name, collections.deque()).append(entry)

    def match_retry(self, waiter, now: float) -> float | None:
        """Sets a retry's arrival time to that of its first attempt.

        Where returning callers are treated differently, it also gets the number
        of its rejections and its turn.

        Returns:
            The time that was reserved for the retry, if any.
        """
        self._sweep(now)
        if waiter.gives_up_at is None:
            return None
        names = {
            _name(waiter, waiter.gives_up_at + tolerance_s)
            for tolerance_s in (-DEADLINE_TOLERANCE_S, DEADLINE_TOLERANCE_S)
        }
        matches = [
            (name, entry)
            for name in names
            for entry in self._by_key.get(name, ())
            if self._matches(entry, waiter, now)
        ]
        if not matches:
            return None
        name, best = min(
            matches,
            key=lambda match: abs(match[1].gives_up_at - waiter.gives_up_at),
        )
        self._by_key[name].remove(best)
        if self._is_enabled():
            waiter.rejections = max(waiter.rejections, best.rejections)
            if best.reserved_at is not None:
                waiter.turn = Turn.RESERVED
            waiter.returned_after_s = max(0.0, waiter.arrived - best.arrived)
            if self._meters is not None:
                self._meters.returning.add("recognised")
        waiter.arrived = min(waiter.arrived, best.arrived)
        return best.reserved_at

    def _matches(self, entry: _ExpectedRetry, waiter, now: float) -> bool:
        tolerance_s = DEADLINE_TOLERANCE_S
        if waiter.key is not None and self._is_enabled():
            tolerance_s = KEYED_DEADLINE_TOLERANCE_S
        if waiter.arrived < entry.rejected_at:
            # A repeated permit request of the attempt that was rejected, as the
            # reply was lost.
            return False
        is_due = (
            now >= entry.retry_at - MAX_EARLY_S
            and now <= entry.retry_at + self._max_late_s(waiter.key)
        )
        return (
            is_due
            and abs(entry.gives_up_at - waiter.gives_up_at) <= tolerance_s
        )

    def _max_late_s(self, key: int | None) -> float:
        """Returns how much later than its time a retry may arrive."""
        if key is None or not self._is_enabled():
            return MAX_LATE_S
        return MAX_KEYED_LATE_S

    def _sweep(self, now: float) -> None:
        """Removes expected retries that are overdue."""
        if now - self._swept_at < MAX_LATE_S:
            return
        self._swept_at = now
        for name, expected in list(self._by_key.items()):
            late_s = self._max_late_s(name[1])
            kept = [
                entry for entry in expected if now <= entry.retry_at + late_s
            ]
            if kept:
                self._by_key[name] = collections.deque(kept)
            else:
                del self._by_key[name]


def _name(waiter, gives_up_at: float) -> _Name:
    """Returns under which name a request with a deadline is expected."""
    if waiter.key is not None:
        return waiter.service, waiter.key, 0, 0
    objective_ms = clocks.milliseconds(waiter.route.objective_s)
    bucket = _deadline_bucket(gives_up_at)
    return waiter.service, None, objective_ms, bucket


def _deadline_bucket(gives_up_at: float) -> int:
    return math.floor(gives_up_at / _DEADLINE_BUCKET_S)


def return_bounds(waiter, now: float) -> retry_schedule.Bounds:
    """Returns when the caller of a rejected request may come back in time."""
    work_s = waiter.service_time_s
    margin_s = IN_TIME_MARGIN * work_s
    return retry_schedule.Bounds(
        now + MIN_RETURN_OBJECTIVES * waiter.route.objective_s,
        min(
            now + MAX_WAIT_FRACTION * (waiter.gives_up_at - now),
            waiter.objective_at - work_s - margin_s,
        ),
    )
