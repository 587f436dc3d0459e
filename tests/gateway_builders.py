"""Builders of the gateway's test data."""

import asyncio

from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import supervision
from swiftstile.gateway import targets

HOME = ids.FailureDomain("home")
AWAY = ids.FailureDomain("away")
LOOKUPS = ids.ServiceName("lookups")


def route(**changes) -> model.Route:
    fields = {
        "name": "r-1",
        "host": "a.example",
        "prefix": "/a/",
        "repeatability": model.Repeatability.IDEMPOTENT,
        "timeout_s": 2.0,
        "objective_s": 0.6,
        "priority": 2,
        "shares": (model.Share(LOOKUPS, 1.0),),
        "max_attempts": 2,
    }
    return model.Route(**(fields | changes))


def service(**changes) -> model.Service:
    fields = {
        "name": LOOKUPS,
        "health_path": "/health",
        "max_connections": 100,
        "is_keyed": False,
        "warm_s": 3.0,
    }
    return model.Service(**(fields | changes))


def config(version: int = 1, *routes: model.Route) -> model.Config:
    by_host: dict[str, list[model.Route]] = {}
    for entry in routes or (route(),):
        by_host.setdefault(entry.host, []).append(entry)
    return model.Config(
        model.ConfigVersion(version),
        {host: model.HostRoutes.of(group) for host, group in by_host.items()},
        {LOOKUPS: service()},
        model.Limits(),
    )


def upstream(name: str = "u-1", **changes) -> model.Upstream:
    fields = {
        "id": model.UpstreamId(name),
        "service": LOOKUPS,
        "address": f"127.0.0.1:{9000 + sum(map(ord, name))}",
        "failure_domain": HOME,
        "slots": 3,
        "state": model.UpstreamState.READY,
        "cold_s": 0.0,
    }
    return model.Upstream(**(fields | changes))


def supervisor() -> supervision.Supervisor:
    return supervision.Supervisor(metrics.LabelledCounter())


def target_table(
    *upstreams: model.Upstream, now: float = 0.0
) -> targets.TargetTable:
    table = targets.TargetTable()
    for entry in upstreams:
        table.put(entry, now)
    return table


def occupy(target: targets.Target, count: int, now: float = 0.0) -> None:
    for token in range(count):
        target.note_sent(-1 - token, now, 1.0)


class FixedOwner(admission.OwnerLookup):
    """Looks up a fixed owner, or none with a fixed time until there is one."""

    def __init__(self, owner: targets.Target | None, ready_in_s: float = 0.0):
        self._owner = owner
        self._ready_in_s = ready_in_s

    def remove_owner(self, ready_in_s: float) -> None:
        self._owner, self._ready_in_s = None, ready_in_s

    def target(self, now: float) -> targets.Target | None:
        return self._owner

    def ready_in_s(self, now: float) -> float:
        return self._ready_in_s


def waiter(now: float = 0.0, owner=None, **changes) -> admission.Waiter:
    entry = route(**changes)
    return admission.Waiter(
        entry, LOOKUPS, owner, now, now + entry.timeout_s, 0.2
    )


def node_row(name: str = "vm-1", run: str = "aaaaaaaa", **changes):
    fields = {
        "node": model.NodeId(name),
        "incarnation": ids.Incarnation(f"{name}#{run}"),
        "domain": HOME,
        "address": "127.0.0.1:7000",
        "is_retired": False,
    }
    return reports.NodeRow(**(fields | changes))


def report(
    row: reports.NodeRow, sequence: int = 1, **changes
) -> reports.Report:
    fields = {
        "run": reports.short_run(row.incarnation),
        "sequence": sequence,
        "is_leader": False,
        "is_leaving": False,
        "can_renew": True,
        "leader_version": 0,
        "store_unresponsive_s": 0.0,
        "shared": {},
        "local": {},
        "speeds": {},
        "key_load": {},
        "versions": {},
        "holds": {},
        "unreachable": [],
    }
    return reports.Report(**(fields | changes))


def peer(
    row: reports.NodeRow, last_report: reports.Report | None, received_at: float
) -> reports.Peer:
    new_peer = reports.Peer(row, now=-1000.0)
    new_peer.report = last_report
    new_peer.received_at = new_peer.received_directly_at = received_at
    new_peer.receives_us = True
    return new_peer


class MemoryTable(interfaces.StateTable):
    """An in-memory table that can lose answers, delay writes and refuse calls.

    Attributes:
        lose_answers: Number of next writes that are applied without an answer.
        delay_writes: Number of next writes that get no answer and are kept
            unapplied in `delayed_writes`.
        refuse: Number of next calls that are refused.
    """

    def __init__(self):
        self.rows: dict[str, interfaces.Change] = {}
        self.version = 0
        self.lose_answers = 0
        self.delay_writes = 0
        self.refuse = 0
        self.delayed_writes: list[tuple] = []
        self.oldest = 0
        self.log: list[interfaces.Change] = []
        self.probes: list[bool] = []

    async def read_all(self) -> interfaces.Snapshot:
        self._maybe_refuse()
        return interfaces.Snapshot(list(self.rows.values()), self.version)

    async def wait_for_changes(self, after: int, wait_s: float):
        is_probe = wait_s == 0
        self.probes.append(is_probe)
        self._maybe_refuse()
        if not is_probe and after >= self.version:
            await asyncio.sleep(0.01)
        if after < self.oldest:
            return None
        rows = [row for row in self.log if row.version > after]
        return interfaces.Snapshot(rows, self.version)

    async def write(self, conditions, writes) -> int:
        self._maybe_refuse()
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed_writes.append((conditions, writes))
            raise errors.OutcomeUnknownError("late", step="write")
        version = self.apply(conditions, writes)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.OutcomeUnknownError("lost", step="write")
        return version

    def apply(self, conditions, writes) -> int:
        for condition in conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                raise errors.ConflictError("version", step="write")
        self.version += 1
        for write in writes:
            change = interfaces.Change(write.key, write.value, self.version)
            self.log.append(change)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = change
        return self.version

    def _maybe_refuse(self) -> None:
        if self.refuse:
            self.refuse -= 1
            raise errors.PlatformUnavailableError("refused", step="call")
