"""VMs of several failure domains that follow one store, without a network.

Each VM has the followers, readers and row relay of the product. The store and
the reports between VMs are small fakes.
"""

import asyncio
import collections
import collections.abc

from swiftstile import clocks
from swiftstile import errors
from swiftstile import gateway_wiring
from swiftstile import ids
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import map_catch_up
from swiftstile.gateway import outage
from swiftstile.gateway import readers
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from swiftstile.gateway import store_polling
from tests import gateway_builders as builders
from tests import virtual_time

__all__ = ["NEAR_TICK_S", "TABLES", "Site", "Store", "Vm", "run"]

_STORE_LATENCY_S = 0.004
_LINK_LATENCY_S = 0.005
# Report intervals of the product in domains of some 15 VMs.
NEAR_TICK_S, _LEADER_TICK_S = 0.2, 0.1
# Time limits of the product's client, in addition to the long poll.
_CALL_TIMEOUT_S, _WATCH_MARGIN_S = 0.7, 0.6
TABLES = ("state", "registrations", "operations")


def run(
    monkeypatch, main: collections.abc.Callable[[], collections.abc.Coroutine]
):
    """Runs a scenario in virtual time and returns its result."""
    clock = virtual_time.Clock()
    monkeypatch.setattr(clocks, "monotonic", lambda: clock.now)
    with asyncio.Runner(
        loop_factory=lambda: virtual_time.Loop(clock)
    ) as runner:
        return runner.run(main())


class Store:
    """The store.

    Attributes:
        rejected: VMs whose calls are rejected.
        silent: VMs whose calls get no answer.
        latency_s: Time until the store begins to process a call.
        is_away: Whether the calls of all VMs are rejected.
        calls: Times of calls, by VM and table.
    """

    def __init__(self):
        self.version = 0
        self.latency_s = _STORE_LATENCY_S
        self.rejected: set[str] = set()
        self.silent: set[str] = set()
        self.is_away = False
        self.calls: dict[tuple[str, str], list[float]] = (
            collections.defaultdict(list)
        )
        self._log: dict[str, list[interfaces.Change]] = {t: [] for t in TABLES}
        self._changed = asyncio.Condition()
        # Incremented to drop the long polls in progress.
        self._epoch = 0

    async def write(self, table: str, key: str, value: bytes = b"x") -> int:
        self.version += 1
        change = interfaces.Change(key, value, self.version)
        self._log[table].append(change)
        async with self._changed:
            self._changed.notify_all()
        return self.version

    def drop_long_polls(self) -> None:
        """Never answers the calls that are in progress."""
        self._epoch += 1

    def newer(self, table: str, after: int) -> list[interfaces.Change]:
        return [row for row in self._log[table] if row.version > after]

    async def begin_call(self, node: str, table: str, limit_s: float) -> None:
        self.calls[node, table].append(clocks.monotonic())
        await asyncio.sleep(self.latency_s)
        if self.is_away or node in self.rejected:
            raise errors.PlatformUnavailableError("rejected", step="call")
        if node in self.silent:
            await self._never(limit_s)

    async def wait(self, table: str, after: int, wait_s: float) -> None:
        epoch = self._epoch
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: epoch != self._epoch or self.newer(table, after)
                )
        except TimeoutError:
            pass
        if epoch != self._epoch:
            await self._never(wait_s + _WATCH_MARGIN_S)

    @staticmethod
    async def _never(limit_s: float) -> None:
        await asyncio.sleep(limit_s)
        raise errors.PlatformUnavailableError("timeout", step="call")

    def calls_between(self, begin: float, end: float, table="") -> int:
        return sum(
            begin <= at < end
            for (_, name), times in self.calls.items()
            if table in ("", name)
            for at in times
        )


class _Table(interfaces.StateTable):
    """A table as called by one VM."""

    def __init__(self, store: Store, node: str, name: str):
        self._store, self._node, self._name = store, node, name

    async def read_all(self) -> interfaces.Snapshot:
        await self._store.begin_call(self._node, self._name, _CALL_TIMEOUT_S)
        rows = {row.key: row for row in self._store.newer(self._name, 0)}
        return interfaces.Snapshot(list(rows.values()), self._store.version)

    async def wait_for_changes(self, after, wait_s):
        limit_s = max(_CALL_TIMEOUT_S, wait_s + _WATCH_MARGIN_S)
        await self._store.begin_call(self._node, self._name, limit_s)
        if wait_s:
            await self._store.wait(self._name, after, wait_s)
        rows = self._store.newer(self._name, after)
        return interfaces.Snapshot(rows, self._store.version)

    async def write(self, conditions, writes) -> int:
        raise NotImplementedError


class Vm:
    """One VM.

    Attributes:
        is_down: It neither sends nor answers.
        map_version: Version of the key map that it reports as the leader; None
            if none is in force.
    """

    def __init__(self, site: "Site", row: reports.NodeRow):
        self._site = site
        self.row = row
        self.is_down = False
        self.map_version: int | None = 0
        self.sequence = 0
        self._started = clocks.monotonic()
        self.peers = gossip.Peers(row, lambda peer, now: None)
        self.meters = metrics.Meters()
        is_leader = self._is_leader
        shared = outage.Outage()
        turns = store_polling.PollingTurns(self.peers, shared)
        common = readers.StoreReaders(self.peers, is_leader)
        own = readers.StoreReaders(
            self.peers,
            is_leader,
            readers.MAX_INDEPENDENT_VMS_FOR_STATE,
            has_standby=True,
        )
        operations = readers.StoreReaders(self.peers, lambda: False)
        watch_s = readers.READER_WATCH_S
        self.seen_at: dict[str, float] = {}
        made = [
            follow.TableFollower(
                "state",
                _Table(site.store, row.node, "state"),
                self._apply,
                store_readers=own,
                outage=shared,
                turns=turns,
                store_calls=self.meters.store_calls,
            ),
            follow.TableFollower(
                "registrations",
                _Table(site.store, row.node, "registrations"),
                self._apply,
                gateway_wiring.REGISTRATIONS_BATCH_S,
                common,
                watch_s,
                shared,
                turns,
                store_calls=self.meters.store_calls,
            ),
            follow.TableFollower(
                "operations",
                _Table(site.store, row.node, "operations"),
                self._apply,
                store_readers=operations,
                reader_watch_s=watch_s,
                outage=shared,
                turns=turns,
                announces_changes=True,
                store_calls=self.meters.store_calls,
            ),
        ]
        self.state_readers = own
        self.followers = {follower.name: follower for follower in made}
        self.relay = relay.RowRelay(
            self.followers, self.peers, _Links(site, row.node), [], self.meters
        )
        self.map_catch_up = map_catch_up.MapCatchUp(
            self.peers,
            self.followers["state"],
            own,
            self.relay,
            lambda: self._map_versions() if is_leader() else None,
        )

    def _is_leader(self) -> bool:
        return self._site.leader is self

    def _map_versions(self) -> dict[ids.ServiceName, int]:
        if self.map_version is None:
            return {}
        return {builders.LOOKUPS: self.map_version}

    def _apply(self, changes: list[interfaces.Change]) -> None:
        for change in changes:
            name = f"{change.key}@{change.version}"
            self.seen_at.setdefault(name, clocks.monotonic())

    def runs(self) -> list:
        return [
            *(follower.run() for follower in self.followers.values()),
            self.relay.run(),
            self.map_catch_up.run(),
            self._report(),
        ]

    async def _report(self) -> None:
        while True:
            await pacing.sleep_aligned(
                _LEADER_TICK_S if self._is_leader() else NEAR_TICK_S
            )
            if not self.is_down:
                self._site.deliver(self, self.report(clocks.monotonic()))

    def report(self, now: float) -> reports.Report:
        self.sequence += 1
        statuses = {
            name: status
            for name, follower in self.followers.items()
            if (status := follower.published_status(now)) is not None
        }
        return builders.report(
            self.row,
            self.sequence,
            is_leader=self._is_leader(),
            store_unresponsive_s=self.followers["state"].failing_s(now),
            versions=self._map_versions(),
            tables=statuses,
            is_reader=self.state_readers.is_reader(now),
            uptime_s=now - self._started,
        )

    def on_report(self, peer: reports.Peer, now: float) -> None:
        self.map_catch_up.on_report(peer, now)
        self.relay.on_report(peer, now)


class _Links:
    """Calls the relays of other VMs directly."""

    def __init__(self, site: "Site", node: str):
        self._site, self._node = site, node

    def to(self, address: str):
        return _Link(self._site, self._node, address)


class _Link:

    def __init__(self, site: "Site", node: str, address: str):
        self._site, self._node, self._address = site, node, address

    async def call(self, message, expected, timeout_s):
        vm = self._site.vm_by_address[self._address]
        self._site.askers[vm.row.node][self._node] += 1
        await asyncio.sleep(_LINK_LATENCY_S)
        if vm.is_down:
            await asyncio.sleep(timeout_s)
            raise errors.PeerTimeoutError("down", step="call")
        return await vm.relay.handle(message)


class Site:
    """All VMs; the first ones of each domain are its readers.

    Attributes:
        store: The store.
        leader: The VM that writes key maps.
        askers: Numbers of requests for rows, by the VM that was asked and the
            one that asked.
    """

    def __init__(self, vms: int, domains: int, leader: int = 0):
        self.store = Store()
        self.leader: Vm | None = None
        self.askers = collections.defaultdict(collections.Counter)
        self.vms = [
            Vm(
                self,
                builders.node_row(
                    f"vm-{number:03d}",
                    run=f"{number:08x}",
                    domain=ids.FailureDomain(f"z{number % domains}"),
                    address=f"127.0.0.1:{9000 + number}",
                    link_mbps=1000.0 - number,
                ),
            )
            for number in range(vms)
        ]
        self.leader = self.vms[leader]
        self.vm_by_node = {vm.row.node: vm for vm in self.vms}
        self.vm_by_address = {vm.row.address: vm for vm in self.vms}
        self._tasks: list[asyncio.Task] = []
        now = clocks.monotonic()
        for vm in self.vms:
            for other in self.vms:
                vm.peers.apply(other.row, other.row.node, now)

    def start(self) -> None:
        self._tasks = [
            asyncio.create_task(run) for vm in self.vms for run in vm.runs()
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def deliver(self, sender: Vm, report: reports.Report) -> None:
        """Delivers a report to its domain, and to all VMs if it leads."""
        asyncio.get_running_loop().call_later(
            _LINK_LATENCY_S, self._arrive, sender, report
        )

    def _arrive(self, sender: Vm, report: reports.Report) -> None:
        now = clocks.monotonic()
        for vm in self.vms:
            is_near = vm.row.domain == sender.row.domain
            if vm is sender or vm.is_down or not (is_near or report.is_leader):
                continue
            peer = vm.peers.by_node[sender.row.node]
            received = report
            if not is_near:
                received = vm.peers.dissemination.trim(report)
            peer.record_direct_report(received, now)
            vm.on_report(peer, now)

    async def write_map(self, key: str = "keys/lookups") -> str:
        """Writes a key map as the leader; returns the name of the version."""
        version = await self.store.write("state", key)
        self.leader.map_version = version
        return f"{key}@{version}"
