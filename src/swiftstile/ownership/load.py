"""Load of slices and hot keys, as counted and reported by routers."""

import collections

import msgspec

from swiftstile import ids
from swiftstile.ownership import slices

__all__ = ["LoadReport", "LoadSketch", "LoadTable", "LoadView"]

# Most slices and keys that one report lists. Other slices are reported as one
# total.
_REPORTED_SLICES = 64
_REPORTED_KEYS = 16
_SKETCH_KEYS = 64
# Reports older than this are discarded.
_STALE_AFTER_S = 15.0
# Weight of the newest report in the smoothed rates.
_REPORT_WEIGHT = 0.5


class LoadReport(msgspec.Struct, frozen=True):
    """Requests that one router has sent since its last report.

    Attributes:
        seconds: Time that the report covers, in seconds.
        by_start: Requests of the busiest slices, by start.
        rest: Requests of all other slices together.
        by_position: Estimated requests of the busiest keys, by position.
    """

    seconds: float
    by_start: dict[int, int]
    rest: int
    by_position: dict[int, int]


class LoadSketch:
    """Counts requests by slice and estimates the busiest keys.

    Keys are counted in fixed space by the Space-Saving algorithm. Source:
    Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and
    Top-k Elements in Data Streams", 2005.
    """

    def __init__(self):
        self._by_start: collections.Counter[int] = collections.Counter()
        self._by_position: dict[int, int] = {}

    def record(self, start: int, position: int) -> None:
        """Counts one request."""
        self._by_start[start] += 1
        counts = self._by_position
        if position in counts:
            counts[position] += 1
        elif len(counts) < _SKETCH_KEYS:
            counts[position] = 1
        else:
            least = min(counts, key=counts.__getitem__)
            counts[position] = counts.pop(least) + 1

    def flush(self, seconds: float) -> LoadReport:
        """Returns the counts and resets them.

        Args:
            seconds: Time since the last report.
        """
        top = dict(self._by_start.most_common(_REPORTED_SLICES))
        rest = self._by_start.total() - sum(top.values())
        keys = collections.Counter(self._by_position)
        self.__init__()
        return LoadReport(
            seconds, top, rest, dict(keys.most_common(_REPORTED_KEYS))
        )


class LoadView(msgspec.Struct, frozen=True):
    """Load on one assignment, in requests/s.

    Attributes:
        by_start: Load of each slice, by start.
        by_position: Load of the busiest keys, by position.
    """

    by_start: dict[int, float]
    by_position: dict[int, float]

    def by_server(
        self, assignment: slices.Assignment, servers: set[ids.ServerId]
    ) -> dict[ids.ServerId, float]:
        """Returns the load of each of `servers`."""
        loads = dict.fromkeys(sorted(servers), 0.0)
        for piece in assignment.slices:
            if piece.server in loads:
                loads[piece.server] += self.by_start[piece.start]
        return loads


class _SmoothedLoad:

    def __init__(self):
        self.at = 0.0
        self.by_start: dict[int, float] = {}
        self.by_position: dict[int, float] = {}
        self.rest = 0.0

    def record(self, report: LoadReport, now: float) -> None:
        self.at = now
        factor = 1 / max(report.seconds, 0.1)
        self.by_start = _smooth(self.by_start, report.by_start, factor)
        self.by_position = _smooth(self.by_position, report.by_position, factor)
        self.rest += _REPORT_WEIGHT * (report.rest * factor - self.rest)


class LoadTable:
    """Smoothed load from the reports of all routers."""

    def __init__(self):
        self._by_router: dict[ids.Incarnation, _SmoothedLoad] = {}

    def record(
        self, router: ids.Incarnation, report: LoadReport, now: float
    ) -> None:
        """Records a router's report."""
        self._by_router.setdefault(router, _SmoothedLoad()).record(report, now)

    def view(self, assignment: slices.Assignment, now: float) -> LoadView:
        """Returns the load on an assignment; discards stale reports."""
        by_start = dict.fromkeys((p.start for p in assignment.slices), 0.0)
        by_position: dict[int, float] = {}
        rest = 0.0
        for router, entry in list(self._by_router.items()):
            if now - entry.at > _STALE_AFTER_S:
                del self._by_router[router]
                continue
            rest += entry.rest
            for start, rate in entry.by_start.items():
                by_start[assignment.at(ids.KeyHash(start)).start] += rate
            for position, rate in entry.by_position.items():
                by_position[position] = by_position.get(position, 0.0) + rate
        share = rest / len(by_start)
        by_start = {start: rate + share for start, rate in by_start.items()}
        _shift_to_split_slices(assignment, by_start, by_position)
        return LoadView(by_start, by_position)


def _shift_to_split_slices(assignment, by_start, by_position) -> None:
    """Attributes the load of a hot key to the slice newly split off for it.

    Reports made before the split count that load for the undivided slice.
    """
    for position, rate in by_position.items():
        piece = assignment.at(ids.KeyHash(position))
        if piece.start == position and by_start[position] < rate / 2:
            before = assignment.at(ids.KeyHash(max(position - 1, 0))).start
            moved = min(rate, by_start[before])
            by_start[before] -= moved
            by_start[position] += moved


def _smooth(
    old: dict[int, float], new: dict[int, int], factor: float
) -> dict[int, float]:
    smoothed = {key: rate * (1 - _REPORT_WEIGHT) for key, rate in old.items()}
    for key, count in new.items():
        smoothed[key] = smoothed.get(key, 0.0) + _REPORT_WEIGHT * count * factor
    # Entries that have decayed to almost nothing are dropped.
    return {key: rate for key, rate in smoothed.items() if rate > 0.01}
