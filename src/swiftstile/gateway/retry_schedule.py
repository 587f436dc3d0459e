"""Reserves capacity for callers that were rejected and will come back.

Pure decision code without I/O; the time is an argument. It answers overload of
an owner, or of a service in a domain, by more than its capacity: the queue is
as long as requests may wait, so that every new request is rejected, and callers
that come back at random times are rejected again. The second rejection costs a
caller most, because most callers retry once. A rejected caller is therefore
told a time at which it goes before first attempts.

Reservations are spread over the capacity, and take a limited part of it, so
that a hot key leaves first attempts their part. They are only made where the
answer is still in time: a late answer is worth less than one in time, so it
must not displace a first attempt.
"""

import collections.abc
import math
import typing

from swiftstile import metrics

__all__ = ["Bounds", "RetrySchedule", "capacity_per_s"]

# Part of the capacity that may be reserved. At several times the capacity most
# requests come from rejected callers, so that first attempts would get little
# of it without this limit.
MAX_RESERVED_SHARE = 0.3
# Reservations are counted in buckets of this length, or in groups of buckets
# that hold at least one. Shorter than a usual service time, after which a slot
# becomes free.
BUCKET_S = 0.05
# A reservation that isn't used lapses this long after its time. VMs that are
# short of processor time accept new connections late, see
# docs/design/returning-callers.md.
LAPSE_S = 0.3

# What is reserved: the owner of a key, or a service in a failure domain.
_Name = collections.abc.Hashable


class Bounds(typing.NamedTuple):
    """When a caller may come back, on the monotonic clock.

    Attributes:
        earliest: When the first slot may be free for it.
        latest: When it comes back at the latest, or could last be in time.
    """

    earliest: float
    latest: float


def capacity_per_s(
    upstreams: collections.abc.Iterable[tuple[int, float]],
) -> float:
    """Returns the requests/s that upstreams complete.

    Args:
        upstreams: Slots and service time in seconds of each.
    """
    return sum(slots / service_s for slots, service_s in upstreams)


class RetrySchedule:
    """Reserved times of rejected callers, by owner or service.

    Args:
        is_enabled: Whether capacity is reserved.
        meters: Counts reservations.
    """

    def __init__(
        self,
        is_enabled: collections.abc.Callable[[], bool],
        meters: metrics.Meters | None = None,
    ):
        self._is_enabled = is_enabled
        self._meters = meters or metrics.Meters()
        self._times_by_bucket: dict[_Name, dict[int, list[float]]] = {}
        self._swept_at = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether capacity is reserved."""
        return self._is_enabled()

    def reserve(
        self, name: _Name, bounds: Bounds, per_s: float, now: float
    ) -> float | None:
        """Reserves a slot for a caller.

        Args:
            name: The owner or service.
            bounds: When the caller may come back.
            per_s: Capacity, in requests/s.
            now: The time.

        Returns:
            The reserved time, or None if none is left within the bounds.
        """
        self._sweep(now)
        if per_s <= 0 or bounds.earliest > bounds.latest:
            return None
        reservable_per_s = MAX_RESERVED_SHARE * per_s
        buckets = max(1, math.ceil(1 / (reservable_per_s * BUCKET_S)))
        length_s = buckets * BUCKET_S
        most = math.floor(reservable_per_s * length_s + 1e-9)
        times_by_bucket = self._times_by_bucket.setdefault(name, {})
        group = math.floor(bounds.earliest / length_s)
        while (start := group * length_s) <= bounds.latest:
            first = group * buckets
            count = sum(
                len(times_by_bucket.get(bucket, ()))
                for bucket in range(first, first + buckets)
            )
            at = max(
                bounds.earliest, start + length_s * (count + 0.5) / max(1, most)
            )
            if count < most and at <= bounds.latest:
                times_by_bucket.setdefault(_bucket(at), []).append(at)
                self._meters.returning.add("reserved")
                return at
            group += 1
        return None

    def due(self, name: _Name, until: float, now: float) -> int:
        """Returns how many reservations are due by a time and not used."""
        times_by_bucket = self._times_by_bucket.get(name)
        if not times_by_bucket:
            return 0
        return sum(
            now - LAPSE_S < at <= until
            for bucket in range(_bucket(now - LAPSE_S), _bucket(until) + 1)
            for at in times_by_bucket.get(bucket, ())
        )

    def consume(self, name: _Name, at: float, now: float) -> bool:
        """Ends a reservation, because its caller is back.

        Returns:
            Whether it hadn't lapsed.
        """
        self._sweep(now)
        times = self._times_by_bucket.get(name, {}).get(_bucket(at), [])
        if at not in times:
            return False
        times.remove(at)
        is_valid = now <= at + LAPSE_S
        kind = "used" if is_valid else "lapsed"
        self._meters.returning.add(f"reservation-{kind}")
        return is_valid

    def _sweep(self, now: float) -> None:
        """Removes reservations that lapsed."""
        if now - self._swept_at < LAPSE_S:
            return
        self._swept_at = now
        lapsed_bucket = _bucket(now - LAPSE_S)
        for name, times_by_bucket in list(self._times_by_bucket.items()):
            for bucket in list(times_by_bucket):
                if bucket < lapsed_bucket:
                    lapsed = len(times_by_bucket.pop(bucket))
                    if lapsed:
                        self._meters.returning.add("reservation-lapsed", lapsed)
            if not times_by_bucket:
                del self._times_by_bucket[name]


def _bucket(at: float) -> int:
    return math.floor(at / BUCKET_S)
