"""The measures of the project, from one run; defined in docs/measures.md."""

import msgspec
import numpy

from benchmarks import fleet as fleet_lib
from benchmarks import load
from standins import journal as journal_lib
from swiftstile import hashing
from swiftstile import ids
from swiftstile.ownership import slices
from swiftstile.routing import outcomes

__all__ = [
    "ControlUse",
    "Percentiles",
    "Report",
    "churn_keys",
    "control_use",
    "imbalance",
    "imbalance_between",
    "key_positions",
    "latencies",
    "latencies_of_all",
    "percentiles",
    "sample",
    "waits_by_key",
]

# A request that waits longer than this is taken to have met a key without an
# owner, where ownership itself can't be seen.
_AFFECTED_S = 0.1


class Percentiles(msgspec.Struct):
    """Percentiles of one figure; None where nothing was measured."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None


class ControlUse(msgspec.Struct):
    """What control costs one VM.

    Attributes:
        bytes_per_s: Control bytes sent and received, of the busiest VM.
        cpu_percent: Processor time of control, in percent of a core, of the
            busiest VM.
        memory_mb: Memory of the largest daemon, in MiB.
    """

    bytes_per_s: float
    cpu_percent: float
    memory_mb: float


class Report(msgspec.Struct, kw_only=True):
    """The JSON object that a run prints last."""

    scenario: str
    organisation: str
    seed: int
    requests: int
    answered: int
    refused_not_run: int
    unknown: int
    lost: int
    doubled: int
    crossed: int
    two_owner_intervals: int
    false_not_run: int
    latency_ms: Percentiles
    direct_latency_ms: Percentiles
    imbalance: float | None
    churn_keys: int | None
    unavailable_s: Percentiles
    unavailable_by: str | None
    control_bytes_per_s: float | None
    control_cpu_percent: float | None
    memory_mb: float | None
    store_writes_per_s: float | None
    store_reads_per_s: float | None
    sends_per_request: float | None
    extra: dict[str, object] = {}


def percentiles(values: list[float], factor: float = 1.0) -> Percentiles:
    """Returns percentiles of values times a factor."""
    if not values:
        return Percentiles()
    p50, p99, top = numpy.percentile(values, [50, 99, 100]) * factor
    return Percentiles(*(round(float(x), 3) for x in (p50, p99, top)))


def latencies(records: list[load.Record]) -> list[float]:
    """Returns the latency of each answered request, in seconds."""
    answered = outcomes.Outcome.ANSWERED.value
    return [r.latency_s for r in records if r.outcome == answered]


def latencies_of_all(records: list[load.Record]) -> list[float]:
    """Returns the latency of each request that got status 200."""
    return [record.latency_s for record in records if record.status == 200]


def imbalance(
    fleet: fleet_lib.Fleet, journals: dict[str, list[journal_lib.Entry]]
) -> float | None:
    """Returns the load of the busiest keyed server over the mean."""
    loads = [
        sum(isinstance(e, journal_lib.Run) for e in journals.get(s.name, []))
        for s in fleet.keyed_servers()
    ]
    mean = sum(loads) / len(loads)
    return round(max(loads) / mean, 3) if mean else None


def imbalance_between(
    fleet: fleet_lib.Fleet,
    journals: dict[str, list[journal_lib.Entry]],
    begin: float,
    end: float,
) -> float | None:
    """Returns the imbalance of what ran in a window of time."""
    cut = {
        name: [
            entry
            for entry in entries
            if isinstance(entry, journal_lib.Run)
            and begin <= entry.commit < end
        ]
        for name, entries in journals.items()
    }
    return imbalance(fleet, cut)


def key_positions(
    fleet: fleet_lib.Fleet, records: list[load.Record]
) -> dict[str, int]:
    """Returns the position of each key in use, by key."""
    organisation = ids.OrganisationId(fleet.organisation.name)
    service = ids.ServiceName(fleet.keyed_service().name)
    return {
        key: hashing.key_hash(organisation, service, ids.Key(key))
        for key in {record.key for record in records if record.key}
    }


def churn_keys(versions: list[slices.Assignment], positions: list[int]) -> int:
    """Returns how many times a key in use got another owner.

    A time without an owner in between doesn't count.
    """
    changes = 0
    for position in positions:
        owner = None
        for version in versions:
            server = version.at(ids.KeyHash(position)).server
            if server == slices.NO_OWNER:
                continue
            changes += owner is not None and server != owner
            owner = server
    return changes


def waits_by_key(
    records: list[load.Record],
    positions: dict[str, int],
    first: slices.Assignment,
) -> list[float]:
    """Returns how long each affected key could not be served, in seconds.

    From when a request of the key that was held, refused or lost was sent,
    until the next answer of any key that had the same owner at the start. A
    key of its own would be asked for too rarely to see the end.
    """
    answered = outcomes.Outcome.ANSWERED.value
    by_owner: dict[str, list[load.Record]] = {}
    for record in records:
        if record.key:
            owner = first.at(ids.KeyHash(positions[record.key])).server
            by_owner.setdefault(owner, []).append(record)
    longest: dict[str, float] = {}
    for entries in by_owner.values():
        entries.sort(key=lambda record: record.sent_at, reverse=True)
        next_answer = float("inf")
        for record in entries:
            end = record.sent_at + record.latency_s
            if record.outcome == answered:
                next_answer = min(next_answer, end)
                if record.latency_s < _AFFECTED_S:
                    continue
            if next_answer < float("inf"):
                wait = next_answer - record.sent_at
                longest[record.key] = max(longest.get(record.key, 0.0), wait)
    return list(longest.values())


def control_use(
    fleet: fleet_lib.Fleet, before: dict, after: dict, seconds: float
) -> ControlUse:
    """Returns what control cost between two samples.

    Args:
        fleet: The fleet.
        before: What `sample` returned first.
        after: What `sample` returned `seconds` later, without any load.
        seconds: Time between the samples.
    """
    names = set(before) & set(after)
    bytes_per_s = max(
        (after[name][0] - before[name][0]) / seconds for name in names
    )
    cpu = max((after[name][1] - before[name][1]) / seconds for name in names)
    memory = max(
        process.memory_bytes()
        for vm in fleet.vms.values()
        for process in (vm.router, vm.coordinator)
    )
    return ControlUse(
        round(bytes_per_s, 1), round(cpu * 100, 2), round(memory / 2**20, 1)
    )


def sample(fleet: fleet_lib.Fleet) -> dict[str, tuple[float, float]]:
    """Returns control bytes and processor seconds so far, by VM."""
    found = {}
    for name, vm in fleet.vms.items():
        pairs = (
            (vm.router, vm.router_metrics),
            (vm.coordinator, vm.coordinator_metrics),
        )
        states = [fleet.status(port) for _, port in pairs]
        if all(states):
            total = sum(
                sum(state["meters"]["control_bytes"].values())
                for state in states
            )
            found[name] = total, sum(process.cpu_s() for process, _ in pairs)
    return found
