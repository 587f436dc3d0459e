"""Finds violated guarantees and ownership gaps in journals and records."""

import bisect
import collections

import msgspec

from benchmarks import load
from standins import journal as journal_lib
from swiftstile.routing import outcomes

__all__ = [
    "Interval",
    "Violations",
    "gaps_by_position",
    "intervals",
    "find_violations",
    "overlapping_intervals",
    "overlapping_runs",
]


class Interval(msgspec.Struct):
    """A period in which a server owned a slice."""

    server: str
    start: int
    end: int
    fence: int
    since: float
    until: float


class Violations(msgspec.Struct):
    """Counts of violations, all zero in a correct run; see docs/measures.md."""

    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    false_not_run: int = 0
    two_owner_intervals: int = 0

    def is_clean(self) -> bool:
        """Returns whether there are no violations."""
        return not any(msgspec.structs.astuple(self))


def find_violations(
    records: list[load.Record],
    journals: dict[str, list[journal_lib.Entry]],
) -> Violations:
    """Compares the outcomes that callers saw with the servers' journals.

    Args:
        records: Records of all callers.
        journals: Journal of each server, by server.
    """
    violations = Violations()
    run_count: collections.Counter[str] = collections.Counter()
    action_count: collections.Counter[str] = collections.Counter()
    for entries in journals.values():
        for entry in entries:
            if isinstance(entry, journal_lib.Run):
                run_count[entry.request_id] += 1
                if entry.idempotency_key:
                    action_count[entry.idempotency_key] += 1
    violations.doubled = sum(count > 1 for count in action_count.values())
    for record in records:
        ran = run_count[record.request_id]
        is_answered = record.outcome == outcomes.Outcome.ANSWERED.value
        if record.is_protected and is_answered and not ran:
            violations.lost += 1
        if record.outcome == outcomes.Outcome.NOT_RUN.value and ran:
            violations.false_not_run += 1
        violations.crossed += record.is_crossed
    violations.two_owner_intervals = overlapping_runs(
        journals
    ) + overlapping_intervals(intervals(journals))
    return violations


def overlapping_runs(journals: dict[str, list[journal_lib.Entry]]) -> int:
    """Counts changes of a key's fence after which the old owner still ran.

    All runs of a key under one fence must be on one server, and the last commit
    under a fence must precede the first start under a newer one.
    """
    by_key = collections.defaultdict(lambda: collections.defaultdict(list))
    for server, entries in journals.items():
        for entry in entries:
            if isinstance(entry, journal_lib.Run) and entry.fence:
                by_key[entry.key][entry.fence].append((server, entry))
    return sum(_overlaps_of_key(by_fence) for by_fence in by_key.values())


def _overlaps_of_key(by_fence) -> int:
    found = 0
    latest: dict[str, float] = {}
    for fence in sorted(by_fence):
        runs = by_fence[fence]
        servers = {server for server, _ in runs}
        found += len(servers) > 1
        first = min(run.start for _, run in runs)
        # Merging slices changes the fence but not the owner.
        found += any(
            commit > first
            for server, commit in latest.items()
            if server not in servers
        )
        for server, run in runs:
            latest[server] = max(latest.get(server, 0.0), run.commit)
    return found


def intervals(
    journals: dict[str, list[journal_lib.Entry]],
) -> list[Interval]:
    """Returns the ownership intervals of all slices, derived from grants."""
    found = []
    for server, entries in journals.items():
        found += _intervals_of(server, entries)
    return found


def _intervals_of(server, entries) -> list[Interval]:
    found: list[Interval] = []
    held: dict[tuple[int, int, int], Interval] = {}
    draining: list[Interval] = []
    for entry in entries:
        match entry:
            case journal_lib.OwnershipChange():
                granted = {tuple(slice_key) for slice_key in entry.slices}
                for slice_key in set(held) - granted:
                    interval = held.pop(slice_key)
                    interval.until = min(interval.until, entry.at)
                    draining.append(interval)
                for slice_key in granted - set(held):
                    held[slice_key] = Interval(
                        server, *slice_key, entry.at, entry.until
                    )
                    found.append(held[slice_key])
                _extend(held, found, entry)
            case journal_lib.LeaseRenewal():
                _extend(held, found, entry)
            case journal_lib.Run() if entry.fence:
                # If the request was in flight when its slice was released,
                # the server owned the key until the request committed.
                for interval in draining:
                    if (
                        interval.fence == entry.fence
                        and interval.start <= entry.position < interval.end
                        and entry.start <= interval.until
                    ):
                        interval.until = max(interval.until, entry.commit)
    return found


def _extend(held, found, entry) -> None:
    for slice_key, interval in held.items():
        if interval.until < entry.at:
            # The lease had expired: a new interval begins.
            held[slice_key] = Interval(
                interval.server, *slice_key, entry.at, entry.until
            )
            found.append(held[slice_key])
        interval = held[slice_key]
        interval.until = max(interval.until, entry.until)


def overlapping_intervals(found: list[Interval]) -> int:
    """Counts times at which two servers owned the same range at once."""
    bounds = sorted({i.start for i in found} | {i.end for i in found})
    by_range: dict[int, list[Interval]] = collections.defaultdict(list)
    for interval in found:
        low = bisect.bisect_left(bounds, interval.start)
        high = bisect.bisect_left(bounds, interval.end)
        for index in range(low, high):
            by_range[index].append(interval)
    count = 0
    for range_intervals in by_range.values():
        range_intervals.sort(key=lambda interval: interval.since)
        latest: dict[str, float] = {}
        for interval in range_intervals:
            others = [
                until
                for server, until in latest.items()
                if server != interval.server
            ]
            count += any(until > interval.since for until in others)
            latest[interval.server] = max(
                latest.get(interval.server, 0.0), interval.until
            )
    return count


def gaps_by_position(
    found: list[Interval],
    positions: list[int],
    since: float,
    until: float,
    unavailable_by_server: dict[str, list[tuple[float, float]]],
) -> list[float]:
    """Returns the longest time without an available owner for each position.

    Args:
        found: Ownership intervals.
        positions: Positions of the keys in use.
        since: Start of the window, on the machine's monotonic clock.
        until: End of the window.
        unavailable_by_server: Spans (from, to) in which a server was down or
            paused, by server.
    """
    available = [
        part
        for interval in found
        for part in _available_parts(
            interval, unavailable_by_server.get(interval.server, [])
        )
    ]
    available.sort(key=lambda interval: interval.since)
    gaps = []
    for position in positions:
        covered, longest = since, 0.0
        for interval in available:
            if (
                interval.start <= position < interval.end
                and interval.until > covered
            ):
                longest = max(longest, min(interval.since, until) - covered)
                covered = max(covered, interval.until)
        gaps.append(max(longest, until - covered, 0.0))
    return gaps


def _available_parts(interval: Interval, spans) -> list[Interval]:
    parts = [interval]
    for begin, end in spans:
        parts = [
            msgspec.structs.replace(part, since=low, until=high)
            for part in parts
            for low, high in (
                (part.since, min(part.until, begin)),
                (max(part.since, end), part.until),
            )
            if low < high
        ]
    return parts
