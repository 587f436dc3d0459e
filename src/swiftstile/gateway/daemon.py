"""The gateway daemon of an entry VM."""

import asyncio

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.daemons import inspection
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import authority
from swiftstile.gateway import budget
from swiftstile.gateway import coldstart
from swiftstile.gateway import decisions
from swiftstile.gateway import follow
from swiftstile.gateway import front as front_lib
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import heat
from swiftstile.gateway import leadership
from swiftstile.gateway import membership
from swiftstile.gateway import model
from swiftstile.gateway import readers
from swiftstile.gateway import registry as registry_lib
from swiftstile.gateway import relay
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import speeds
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.peers import links

__all__ = ["GatewayDaemon"]

# Between two rounds of what isn't urgent.
TICK_S = 0.1
# Between two looks at how fast targets are; answers count for seconds.
SLOWNESS_INTERVAL_S = 0.5
# After the order to stop, callers go on coming this long: the balancer asks
# once a second and takes a VM out after two misses.
LINGER_S = 3.2
# Before it is killed a process breaks off what is still running.
GRACE_MARGIN_S = 0.4


class GatewayDaemon(inspection.Inspectable):
    """Routes requests of callers, and takes part in giving out keys.

    Attributes:
        meters: Its counters and durations.
    """

    def __init__(
        self,
        node: reports.NodeRow,
        front: front_lib.Front,
        ready_listen: str,
        handler: handler_lib.Handler,
        gate: gate_lib.Gate,
        arbiter: arbiter_lib.Arbiter,
        book: targets.TargetBook,
        maps: renewals.KeyMaps,
        renewing: renewals.Renewals,
        right: authority.PeerAuthority,
        peers: gossip.Peers,
        leads: leadership.Leadership,
        member: membership.Membership,
        registry: registry_lib.Registry,
        followers: dict[str, follow.TableFollower],
        store_readers: readers.StoreReaders,
        row_relay: relay.RowRelay,
        server: links.ControlServer,
        retry_budget: budget.RetryBudget,
        speed_book: speeds.SpeedBook,
        heat_book: heat.HeatBook,
        cold_limits: coldstart.ColdLimits,
        suspect_book: suspects.Suspects,
        log: decisions.BoundedLines,
        make_keeper,
        grace_s: float,
        meters: metrics.Meters,
    ):
        self._node = node
        self._front = front
        self._ready = front_lib.ReadyPage(ready_listen, self._is_ready)
        self._handler = handler
        self._gate = gate
        self._arbiter = arbiter
        self._book = book
        self._maps = maps
        self._renewing = renewing
        self._authority = right
        self._peers = peers
        self._leads = leads
        self._member = member
        self._registry = registry
        self._followers = followers
        self._store_readers = store_readers
        self._relay = row_relay
        self._server = server
        self._budget = retry_budget
        self._speeds = speed_book
        self._slowness_at = 0.0
        self._heat = heat_book
        self._cold_limits = cold_limits
        self._suspects = suspect_book
        self._log = log
        self._make_keeper = make_keeper
        self._grace_s = grace_s
        self.meters = meters
        self._keepers: dict[ids.ServiceName, object] = {}
        self._started = clocks.monotonic()
        self._is_leaving = False

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until `stopping` is set, then finishes what is in flight."""
        await self._front.start()
        await self._ready.start()
        runs = [
            *(follower.run() for follower in self._followers.values()),
            self._peers.run(self._report),
            self._server.run(),
            self._relay.run(),
            self._renewing.run(),
            self._member.run(),
            self._gate.run(),
            self._arbiter.run(),
            self._log.run(),
            self._front.enforce_limits(),
            self._housekeeping(),
            self._lead(),
        ]
        tasks = [asyncio.create_task(run) for run in runs]
        logs.logger.info("gateway started")
        stop = asyncio.create_task(stopping.wait())
        await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=0.1)
        logs.logger.info("gateway stopped")

    def _is_ready(self) -> bool:
        return (
            not self._is_leaving
            and self._handler.config is not None
            and all(follower.is_loaded for follower in self._followers.values())
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it was told to stop."""
        return self._is_leaving

    async def _drain(self) -> None:
        started = clocks.monotonic()
        logs.logger.info("gateway drains", in_flight=self._front.in_flight)
        self._is_leaving = True
        self._front.is_leaving = True
        for keeper in self._keepers.values():
            keeper.forget()
        self._renewing.stop(started)
        self._peers.send_now(self._report(self._peers.next_sequence()))
        step_down = asyncio.create_task(self._leads.step_down())
        await asyncio.sleep(LINGER_S)
        self._front.stop_listening()
        self._front.close_idle()
        end = started + self._grace_s - GRACE_MARGIN_S
        while self._front.in_flight and clocks.monotonic() < end:
            await asyncio.sleep(TICK_S / 2)
        self._front.is_closed = True
        self._front.close_idle()
        step_down.cancel()

    def _report(self, sequence: int, is_whole: bool = True) -> reports.Report:
        """Returns what this VM tells.

        Args:
            sequence: Number of the report.
            is_whole: Whether it holds what only its own domain is told where
                VMs are many: counts, and what it knows of tables.
        """
        now = clocks.monotonic()
        store = self._followers["state"]
        shared, local = self._counts() if is_whole else ({}, {})
        return reports.Report(
            reports.short_run(self._node.incarnation),
            sequence,
            self._leads.is_leader,
            self._is_leaving,
            self._authority.is_able(now),
            self._leads.version,
            round(store.silent_s(now), 1),
            shared,
            local,
            # What was measured is added as a report is sent.
            {},
            {},
            {
                service: key_map.version
                for service, key_map in self._maps.by_service.items()
            },
            self._renewing.leaving_holds(now),
            sorted(self._renewing.unreachable),
            self._tables_to_tell(now) if is_whole else {},
            self._store_readers.is_reader(now),
            *self._peers.circulation.to_tell(now),
            up_s=round(now - self._started, 3),
            grants_end_s=self._renewing.grants_end_s(now),
            suspicions=self._suspects.tell(now),
        )

    def _tables_to_tell(self, now: float) -> dict[str, reports.TableWord]:
        words = {
            name: follower.word(now)
            for name, follower in self._followers.items()
        }
        return {name: word for name, word in words.items() if word is not None}

    def _counts(self) -> tuple[reports.Counts, reports.Counts]:
        shared, local = {}, {}
        for target in self._book.by_id.values():
            own = target.own - target.permitted
            if own or target.waiting:
                is_shared = target.upstream.service in self._maps.by_service
                counts = shared if is_shared else local
                counts[target.id] = (own, target.waiting)
        return shared, local

    def on_report(self, peer: reports.Peer, now: float) -> None:
        """Takes in how busy targets are by a peer's requests."""
        node = peer.row.node
        counts = peer.report.shared | peer.report.local
        if counts or peer.told_of:
            self._note_counts(peer, counts, now)
        if peer.report.tables:
            self._relay.note(peer, now)
        if peer.report.heat:
            self._heat.hear(node, peer.report.heat, now)
        if peer.report.speeds:
            self._speeds.hear(node, peer.report.speeds, now)
        if peer.report.suspicions:
            self._suspects.hear(peer.report.suspicions, peer.heard_at)
        self._gate.note_report()

    def _note_counts(
        self, peer: reports.Peer, counts: reports.Counts, now: float
    ) -> None:
        by_id, node = self._book.by_id, peer.row.node
        for name in peer.told_of - counts.keys():
            if name in by_id:
                by_id[name].peers.pop(node, None)
        for name, counted in counts.items():
            if name in by_id:
                by_id[name].peers[node] = (*counted, now)
        peer.told_of = set(counts)

    async def _housekeeping(self) -> None:
        while True:
            await pacing.sleep_aligned(TICK_S)
            now = clocks.monotonic()
            self._registry.tick(now)
            self._authority.tick(now)
            if now - self._slowness_at >= SLOWNESS_INTERVAL_S:
                self._slowness_at = now
                ratios = self._speeds.ratios(now)
                for target in self._book.by_id.values():
                    target.slowness = ratios.get(
                        target.id, speeds.UNKNOWN_RATIO
                    )
            self._gate.decisions.vms = self._peers.circulation.near_heard(now)
            self._budget.set_vms(len(self._peers.by_node) + 1)

    async def _lead(self) -> None:
        while True:
            leads = self._leads.is_leader
            await pacing.sleep_aligned(TICK_S / 2 if leads else TICK_S)
            if self._is_leaving:
                continue
            await self._leads.tick()
            if not self._leads.is_leader:
                for keeper in self._keepers.values():
                    keeper.forget()
                continue
            await self._member.retire_silent()
            await asyncio.gather(
                *(keeper.tick() for keeper in self._current_keepers())
            )

    def _current_keepers(self) -> list:
        config = self._handler.config
        if config is None:
            return []
        for name, service in config.services_by_name.items():
            if service.is_keyed and name not in self._keepers:
                self._keepers[name] = self._make_keeper(name)
        return list(self._keepers.values())

    def apply_config(self, config: model.Config) -> None:
        """Puts a configuration in force, unless a newer one is."""
        self._handler.is_config_unread = False
        known = self._handler.config
        if known is not None and known.version >= config.version:
            return
        self._handler.config = config
        self._cold_limits.set_services(config.services_by_name)
        self._registry.name_services(frozenset(config.services_by_name))
        logs.logger.info(
            "configuration in force",
            version=config.version,
            routes=sum(
                len(host.routes) for host in config.routes_by_host.values()
            ),
            services=len(config.services_by_name),
        )

    def note_bad_config(self, error: errors.SwiftstileError) -> None:
        """Says that a configuration can't be used; the last one stays."""
        self._handler.is_config_unread = True
        self.meters.refusals.add("bad-config")
        logs.logger.error("configuration refused", error=str(error))

    def status(self) -> dict[str, object]:
        """See base class."""
        config = self._handler.config
        return {
            "node": self._node.node,
            "failure_domain": self._node.domain,
            "in_flight": self._front.in_flight,
            "config": config.version if config else None,
            "leads": self._leads.is_leader,
            "targets": len(self._book.by_id),
            "key_maps": {
                name: key_map.version
                for name, key_map in self._maps.by_service.items()
            },
            "crashing_requests": [
                digest.hex() for digest in self._suspects.blamed()
            ],
            "meters": self.meters.snapshot(),
        }
