"""The gateway daemon of an entry VM."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.daemons import inspection
from swiftstile.gateway import advisories
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import authority
from swiftstile.gateway import budget
from swiftstile.gateway import coldstart
from swiftstile.gateway import crash_detector
from swiftstile.gateway import decision_log
from swiftstile.gateway import follow
from swiftstile.gateway import forward_listener
from swiftstile.gateway import forwarding
from swiftstile.gateway import frontend as frontend_lib
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import key_assignment
from swiftstile.gateway import key_load
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import link_probes
from swiftstile.gateway import map_catch_up as map_catch_up_lib
from swiftstile.gateway import membership
from swiftstile.gateway import model
from swiftstile.gateway import open_requests as open_requests_lib
from swiftstile.gateway import planned_stop
from swiftstile.gateway import ratelimits
from swiftstile.gateway import readers
from swiftstile.gateway import registry as registry_lib
from swiftstile.gateway import relay
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import send_limits as send_limits_lib
from swiftstile.gateway import speeds
from swiftstile.gateway import supervision
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from swiftstile.peers import links

__all__ = ["GatewayDaemon"]

# Interval of periodic work that isn't urgent.
TICK_S = 0.1
# Interval of updates of targets' slowness; measurements stay valid for seconds.
SLOWNESS_INTERVAL_S = 0.5


class GatewayDaemon(inspection.Inspectable):
    """Routes requests of callers, and takes part in assigning keys.

    Attributes:
        meters: Its counters and durations.
    """

    def __init__(
        self,
        node: reports.NodeRow,
        frontend: frontend_lib.Frontend,
        ready_listen: str,
        handler: handler_lib.RequestHandler,
        gate: gate_lib.Gate,
        arbiter: arbiter_lib.Arbiter,
        target_table: targets.TargetTable,
        maps: renewals.KeyMaps,
        renewer: renewals.GrantRenewer,
        peer_authority: authority.PeerAuthority,
        peers: gossip.Peers,
        leadership: leadership_lib.Leadership,
        vm_membership: membership.Membership,
        registry: registry_lib.Registry,
        followers: dict[str, follow.TableFollower],
        store_readers: readers.StoreReaders,
        row_relay: relay.RowRelay,
        map_catch_up: map_catch_up_lib.MapCatchUp,
        server: links.ControlServer,
        retry_budget: budget.RetryBudget,
        speed_table: speeds.SpeedTable,
        key_load_table: key_load.KeyLoadTable,
        cold_limits: coldstart.ColdLimits,
        rate_limiter: ratelimits.RateLimiter,
        suspect_table: suspects.SuspectTable,
        detector: crash_detector.CrashDetector,
        advisory_table: advisories.AdvisoryTable,
        links: upstream_links.UpstreamLinks,
        prober: link_probes.LinkProber,
        forwarder: forwarding.PeerForwarder,
        forwards: forward_listener.ForwardListener,
        log: decision_log.BoundedLog,
        open_requests: open_requests_lib.OpenRequests,
        assignment: key_assignment.KeyAssignment,
        send_limits: send_limits_lib.SendLimits,
        meters: metrics.Meters,
        supervisor: supervision.Supervisor,
    ):
        self._supervisor = supervisor
        self._node = node
        self._frontend = frontend
        self._ready = frontend_lib.ReadinessServer(ready_listen, self._is_ready)
        self._handler = handler
        self._gate = gate
        self._arbiter = arbiter
        self._target_table = target_table
        self._maps = maps
        self._renewer = renewer
        self._authority = peer_authority
        self._peers = peers
        peers.on_new_run = suspect_table.repeat_to_new_peer
        self._leadership = leadership
        self._vm_membership = vm_membership
        self._registry = registry
        self._followers = followers
        self._store_readers = store_readers
        self._relay = row_relay
        self._map_catch_up = map_catch_up
        self._server = server
        self._budget = retry_budget
        self._speed_table = speed_table
        self._slowness_updated_at = 0.0
        self._key_load_table = key_load_table
        self._cold_limits = cold_limits
        self._rate_limiter = rate_limiter
        self._suspect_table = suspect_table
        self._crash_detector = detector
        self._advisories = advisory_table
        self._links = links
        self._prober = prober
        self._forwarder = forwarder
        self._forwards = forwards
        self._log = log
        self._open_requests = open_requests
        self._key_assignment = assignment
        self._send_limits = send_limits
        self.meters = meters
        self._started = clocks.monotonic()

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until `stopping` is set, then completes requests in flight."""
        await self._frontend.start()
        await self._forwards.start()
        await self._ready.start()
        keep_running = self._supervisor.keep_running
        tasks = [
            asyncio.create_task(keep_running(duty, run))
            for duty, run in self._run_by_duty().items()
        ]
        logs.logger.info("gateway started")
        stop = asyncio.create_task(stopping.wait())
        await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
        await self._drain()
        cut = self._open_requests.cut()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=0.1)
        logs.logger.info(
            "gateway stopped",
            cut=cut,
            requests=self.meters.requests.by_label(),
        )
        # The process may be killed before its event loop has closed.
        self._log.flush()

    def _run_by_duty(
        self,
    ) -> dict[
        str, collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ]:
        """Returns all that this process does until it stops."""
        return {
            f"follow-{name}": follower.run
            for name, follower in self._followers.items()
        } | {
            "reports": lambda: self._peers.run(self._report),
            "control-server": self._server.run,
            "row-relay": self._relay.run,
            "map-catch-up": self._map_catch_up.run,
            "renewals": self._renewer.run,
            "vm-membership": self._vm_membership.run,
            "gate": self._gate.run,
            "arbiter": self._arbiter.run,
            "link-probes": self._prober.run,
            "forwards": self._forwards.run,
            "request-log": self._log.run,
            "caller-timeouts": self._frontend.enforce_timeouts,
            "housekeeping": self._run_housekeeping,
            "leader-duties": self._run_leader_duties,
        }

    def _is_ready(self) -> bool:
        return (
            not self.is_leaving
            and self._handler.config is not None
            and self._handler.is_informed(clocks.monotonic())
            and self._can_send()
            and all(follower.is_loaded for follower in self._followers.values())
        )

    def _can_send(self) -> bool:
        """Whether requests reach upstreams, also through another VM."""
        now = clocks.monotonic()
        return not self._links.is_isolated(now) or self._forwarder.has_peer(now)

    @property
    def is_leaving(self) -> bool:
        """Whether it is shutting down."""
        return self._send_limits.stop.has_begun

    async def _drain(self) -> None:
        now = clocks.monotonic()
        stop = self._send_limits.stop
        self._send_limits.begin_stop(now)
        logs.logger.info(
            "gateway drains",
            in_flight=self._frontend.in_flight,
            stages=self._open_requests.count_by_stage(),
        )
        self._key_assignment.drop_leader_state()
        self._renewer.stop(now)
        self._peers.send_now(self._report(self._peers.next_sequence()))
        step_down = asyncio.create_task(self._leadership.step_down())
        await self._wait_until_answered(
            stop.arrivals_end_at, returns_early=False
        )
        self._stop_arrivals()
        await self._wait_until_answered(stop.ends_at)
        stop.phase = planned_stop.Phase.ENDED
        self._open_requests.end()
        self._frontend.close_idle()
        await self._wait_until_answered(stop.exits_at)
        step_down.cancel()

    def _stop_arrivals(self) -> None:
        self._send_limits.stop.phase = planned_stop.Phase.FINISHING
        self._frontend.stop_listening()
        self._forwards.stop_listening()
        logs.logger.info(
            "idle connections closed",
            closed=self._frontend.close_idle(),
            stages=self._open_requests.count_by_stage(),
            partial_heads=self._frontend.partial_heads,
        )

    async def _wait_until_answered(
        self, until: float, returns_early: bool = True
    ) -> None:
        """Waits until a time, or until all requests are answered.

        Args:
            until: The time, on the monotonic clock.
            returns_early: Whether to return before it.
        """
        while (left_s := until - clocks.monotonic()) > 0:
            if returns_early and self._open_requests.are_answered:
                return
            await asyncio.sleep(min(left_s, TICK_S / 2))

    def _report(self, sequence: int, is_full: bool = True) -> reports.Report:
        """Returns this VM's report.

        Args:
            sequence: Number of the report.
            is_full: Whether to include what only its own domain receives in
                large deployments: request counts, and the status of tables.
        """
        now = clocks.monotonic()
        store = self._followers["state"]
        is_isolated = self._links.is_isolated(now)
        shared, local = {}, {}
        if is_full and not is_isolated:
            shared, local = self._counts()
        return reports.Report(
            reports.short_run(self._node.incarnation),
            sequence,
            self._leadership.is_leader,
            self.is_leaving,
            self._authority.is_authorised(now),
            self._leadership.version,
            round(store.failing_s(now), 1),
            shared,
            local,
            # Measurements are attached when the report is sent.
            {},
            {},
            self.map_versions(),
            self._renewer.leaving_holds(now),
            sorted(self._renewer.unreachable),
            self._statuses_to_publish(now) if is_full else {},
            self._store_readers.is_reader(now),
            *self._peers.dissemination.counts_to_publish(now),
            uptime_s=round(now - self._started, 3),
            grants_end_s=self._renewer.grants_end_s(now),
            suspicions=self._suspect_table.report(now),
            advisories=self._advisories.report(now),
            is_isolated=is_isolated,
            isolated_domains=sorted(
                self._peers.dissemination.isolated_domains_to_publish(
                    is_isolated, now
                )
            ),
            is_partitioned=self._links.is_partitioned,
        )

    def map_versions(self) -> dict[ids.ServiceName, int]:
        """Returns the versions of the key maps to report.

        Others renew by the versions that the leader reports.
        """
        is_leader = self._leadership.is_leader
        return {
            service: key_map.version
            for service, key_map in self._maps.by_service.items()
            if not is_leader or self._authority.is_in_force(key_map)
        }

    def _statuses_to_publish(
        self, now: float
    ) -> dict[str, reports.TableStatus]:
        statuses = {
            name: follower.published_status(now)
            for name, follower in self._followers.items()
        }
        return {
            name: status
            for name, status in statuses.items()
            if status is not None
        }

    def _counts(self) -> tuple[reports.Counts, reports.Counts]:
        shared, local = {}, {}
        for target in self._target_table.by_id.values():
            own = target.in_flight - target.permitted
            if own or target.waiting:
                is_shared = target.upstream.service in self._maps.by_service
                counts = shared if is_shared else local
                counts[target.id] = (own, target.waiting)
        return shared, local

    def on_report(self, peer: reports.Peer, now: float) -> None:
        """Applies the load and measurements in a peer's report."""
        node = peer.row.node
        counts = peer.report.shared | peer.report.local
        if counts or peer.reported_upstreams:
            self._apply_counts(peer, counts, now)
        if peer.report.tables:
            self._relay.on_report(peer, now)
        if peer.report.key_load:
            self._key_load_table.receive(node, peer.report.key_load, now)
        if peer.report.speeds:
            self._speed_table.receive(node, peer.report.speeds, now)
        if peer.report.suspicions:
            self._suspect_table.receive(
                peer.report.suspicions, peer.received_at
            )
            self._crash_detector.on_reported(
                peer.report.suspicions, peer.received_at
            )
        if peer.report.advisories:
            self._advisories.receive(peer.report.advisories, peer.received_at)
        if peer.is_partitioned and peer.row.domain == self._node.domain:
            self._links.note_partitioned_peer(node, now)
        self._gate.on_peer_report()

    def _apply_counts(
        self, peer: reports.Peer, counts: reports.Counts, now: float
    ) -> None:
        by_id, node = self._target_table.by_id, peer.row.node
        for name in peer.reported_upstreams - counts.keys():
            if name in by_id:
                by_id[name].peer_counts.pop(node, None)
        for name, count in counts.items():
            if name in by_id:
                by_id[name].peer_counts[node] = (*count, now)
        peer.reported_upstreams = set(counts)

    async def _run_housekeeping(self) -> None:
        while True:
            await pacing.sleep_aligned(TICK_S)
            now = clocks.monotonic()
            self._registry.tick(now)
            self._authority.tick(now)
            if now - self._slowness_updated_at >= SLOWNESS_INTERVAL_S:
                self._slowness_updated_at = now
                ratios = self._speed_table.ratios(now)
                for target in self._target_table.by_id.values():
                    target.slowness = ratios.get(
                        target.id, speeds.DEFAULT_RATIO
                    )
            self._gate.admission.vm_count = (
                self._peers.dissemination.near_live_count(now)
            )
            self._budget.set_vm_count(len(self._peers.by_node) + 1)

    async def _run_leader_duties(self) -> None:
        while True:
            is_leader = self._leadership.is_leader
            await pacing.sleep_aligned(TICK_S / 2 if is_leader else TICK_S)
            if self.is_leaving:
                continue
            await self._leadership.tick()
            if not self._leadership.is_leader:
                self._key_assignment.drop_leader_state()
                continue
            with self._supervisor.isolate("vm-retirement"):
                await self._vm_membership.retire_unresponsive()
            self._key_assignment.add_services(self._keyed_services())
            await self._key_assignment.tick()

    def _keyed_services(self) -> list[ids.ServiceName]:
        config = self._handler.config
        services = {} if config is None else config.services_by_name
        return [name for name, service in services.items() if service.is_keyed]

    def apply_config(self, config: model.Config) -> None:
        """Puts a configuration in force, unless a newer one already is."""
        self._handler.is_new_config_invalid = False
        known = self._handler.config
        if known is not None and known.version >= config.version:
            return
        self._handler.config = config
        self._cold_limits.set_services(config.services_by_name)
        self._rate_limiter.set_services(config.services_by_name)
        self._registry.set_services(frozenset(config.services_by_name))
        logs.logger.info(
            "configuration in force",
            version=config.version,
            routes=sum(
                len(host.routes) for host in config.routes_by_host.values()
            ),
            services=len(config.services_by_name),
        )

    def reject_config(self, error: errors.SwiftstileError) -> None:
        """Records that a configuration is invalid; the old one stays active."""
        self._handler.is_new_config_invalid = True
        self.meters.refusals.add("bad-config")
        logs.logger.error("configuration refused", error=str(error))

    def status(self) -> dict[str, object]:
        """See base class."""
        config = self._handler.config
        return {
            "node": self._node.node,
            "failure_domain": self._node.domain,
            "in_flight": self._frontend.in_flight,
            "forwarded_in_flight": self._forwards.in_flight,
            "links": self._links.state(clocks.monotonic()).value,
            "config": config.version if config else None,
            "leads": self._leadership.is_leader,
            "targets": len(self._target_table.by_id),
            "key_maps": {
                name: key_map.version
                for name, key_map in self._maps.by_service.items()
            },
            "crashing_requests": [
                digest.hex()
                for digest in self._suspect_table.identified_causes()
            ],
            "meters": self.meters.snapshot(),
        }
