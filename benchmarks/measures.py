"""Metrics of one run, as defined in docs/measures.md."""

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
    "sample_control",
    "waits_by_key",
]

# Without grants ownership can't be observed: a request that took longer than
# this is assumed to have waited for a key without an owner.
_AFFECTED_LATENCY_S = 0.1


class Percentiles(msgspec.Struct):
    """Percentiles of one metric; None if nothing was measured."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None


class ControlUse(msgspec.Struct):
    """Overhead of the control plane on one VM.

    Attributes:
        bytes_per_s: Control bytes per second sent and received by the busiest
            VM.
        cpu_percent: CPU time of the daemons of the busiest VM, in percent of a
            core.
        memory_mb: Resident memory of the largest daemon, in MiB.
    """

    bytes_per_s: float
    cpu_percent: float
    memory_mb: float


class Report(msgspec.Struct, kw_only=True):
    """The JSON object that a run prints on its last line."""

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
    """Returns the percentiles of values, scaled by a factor."""
    if not values:
        return Percentiles()
    p50, p99, highest = numpy.percentile(values, [50, 99, 100]) * factor
    return Percentiles(*(round(float(x), 3) for x in (p50, p99, highest)))


def latencies(records: list[load.Record]) -> list[float]:
    """Returns the latency of each answered request, in seconds."""
    answered = outcomes.Outcome.ANSWERED.value
    return [r.latency_s for r in records if r.outcome == answered]


def latencies_of_all(records: list[load.Record]) -> list[float]:
    """Returns the latency of each request with status 200, in seconds."""
    return [record.latency_s for record in records if record.status == 200]


def imbalance(
    fleet: fleet_lib.Fleet, journals: dict[str, list[journal_lib.Entry]]
) -> float | None:
    """Returns the ratio of the largest to the mean load of keyed servers."""
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
    """Returns the imbalance of the requests that committed in a window."""
    runs_in_window = {
        name: [
            entry
            for entry in entries
            if isinstance(entry, journal_lib.Run)
            and begin <= entry.commit < end
        ]
        for name, entries in journals.items()
    }
    return imbalance(fleet, runs_in_window)


def key_positions(
    fleet: fleet_lib.Fleet, records: list[load.Record]
) -> dict[str, int]:
    """Returns the hash position of each key in use, by key."""
    organisation = ids.OrganisationId(fleet.organisation.name)
    service = ids.ServiceName(fleet.keyed_service().name)
    return {
        key: hashing.key_hash(organisation, service, ids.Key(key))
        for key in {record.key for record in records if record.key}
    }


def churn_keys(versions: list[slices.Assignment], positions: list[int]) -> int:
    """Returns the number of times that a key in use changed its owner.

    Periods without an owner are skipped.
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
    """Returns how long each affected key couldn't be served, in seconds.

    The time starts when a request for the key was sent that was delayed,
    refused or lost, and ends with the next answer for any key that had the same
    owner initially: a single key is requested too rarely to show the end.
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
                if record.latency_s < _AFFECTED_LATENCY_S:
                    continue
            if next_answer < float("inf"):
                wait = next_answer - record.sent_at
                longest[record.key] = max(longest.get(record.key, 0.0), wait)
    return list(longest.values())


def control_use(
    fleet: fleet_lib.Fleet, before: dict, after: dict, seconds: float
) -> ControlUse:
    """Returns the control overhead between two samples.

    Args:
        fleet: The fleet.
        before: First result of `sample_control`.
        after: Result of `sample_control` after `seconds` without load.
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


def sample_control(fleet: fleet_lib.Fleet) -> dict[str, tuple[float, float]]:
    """Returns the control bytes and CPU seconds used so far, by VM."""
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
