"""Composition root of the gateway: builds it from settings and adapters."""

import collections.abc

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import advisories
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import authority
from swiftstile.gateway import body_budget
from swiftstile.gateway import budget
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import connection_pool
from swiftstile.gateway import counted_table
from swiftstile.gateway import crash_detector
from swiftstile.gateway import crash_guard
from swiftstile.gateway import daemon as daemon_lib
from swiftstile.gateway import decision_log
from swiftstile.gateway import exchange
from swiftstile.gateway import fair_shares
from swiftstile.gateway import follow
from swiftstile.gateway import forward_listener
from swiftstile.gateway import forward_selection
from swiftstile.gateway import forwarding
from swiftstile.gateway import frontend
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import interfaces
from swiftstile.gateway import key_assigner
from swiftstile.gateway import key_assignment
from swiftstile.gateway import key_load
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import link_observers
from swiftstile.gateway import link_probes
from swiftstile.gateway import load_rules
from swiftstile.gateway import load_settings
from swiftstile.gateway import map_catch_up
from swiftstile.gateway import measurements
from swiftstile.gateway import membership
from swiftstile.gateway import model
from swiftstile.gateway import open_requests
from swiftstile.gateway import outage
from swiftstile.gateway import owners
from swiftstile.gateway import peer_limits
from swiftstile.gateway import permits
from swiftstile.gateway import planned_stop
from swiftstile.gateway import queue_limits
from swiftstile.gateway import ratelimits
from swiftstile.gateway import readers
from swiftstile.gateway import registry as registry_lib
from swiftstile.gateway import relay
from swiftstile.gateway import renewal_budget
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import retry_schedule
from swiftstile.gateway import send_limits
from swiftstile.gateway import service_samples
from swiftstile.gateway import settings as settings_lib
from swiftstile.gateway import slotplan
from swiftstile.gateway import speeds
from swiftstile.gateway import store_polling
from swiftstile.gateway import succession
from swiftstile.gateway import supervision
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from swiftstile.peers import links

__all__ = ["Adapters", "gateway"]


# Pause after each change of the registrations. Upstreams that start together
# register within seconds, and each call to the store has a cost; a leaving
# upstream is noticed at most this much later.
REGISTRATIONS_BATCH_S = 0.3


class Adapters(msgspec.Struct):
    """The adapters of a platform, which translate and decide nothing.

    Attributes:
        state: The gateway's own table of the platform's store.
        registrations: The table in which upstreams register.
        operations: The table that the operator writes.
        control: Grants and releases.
        dialect: Headers of callers and upstreams.
        config_key: Key of the configuration in the operator's table.
        decode_config: Returns a configuration from a row's value.
        decode_upstream: Returns an upstream from its id and a row's value.
        evacuated_domain: Returns the failure domain that is evacuated while the
            operator's table has a row of this key; None for other rows.
        links: Observes the connections that `control` uses.
    """

    state: interfaces.StateTable
    registrations: interfaces.StateTable
    operations: interfaces.StateTable
    control: interfaces.UpstreamControl
    dialect: interfaces.RequestDialect
    config_key: str
    decode_config: collections.abc.Callable[[bytes], model.Config]
    decode_upstream: collections.abc.Callable[
        [model.UpstreamId, bytes], model.Upstream
    ]
    evacuated_domain: collections.abc.Callable[[str], ids.FailureDomain | None]
    links: upstream_links.UpstreamLinks = msgspec.field(
        default_factory=upstream_links.UpstreamLinks
    )


def gateway(
    settings: settings_lib.GatewaySettings,
    adapters: Adapters,
    request_log: decision_log.BoundedLog,
) -> daemon_lib.GatewayDaemon:
    """Returns the gateway daemon of one VM.

    Args:
        settings: The settings of the process.
        adapters: The platform's adapters.
        request_log: Log of routing decisions.
    """
    return _GatewayBuilder(settings, adapters, request_log).build()


def _seed_addresses(vm: settings_lib.NodeSettings) -> list[str]:
    """Returns the addresses of the seeds; all VMs use the same ports."""
    own_host, _, port = vm.peers.rpartition(":")
    hosts = [seed.rpartition(":")[0] for seed in vm.seeds]
    return [f"{host}:{port}" for host in hosts if host and host != own_host]


class _GatewayBuilder:
    """Creates the components and connects them."""

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        adapters: Adapters,
        request_log: decision_log.BoundedLog,
    ):
        self._request_log = request_log
        request_log.vm = settings.vm.id
        self._settings = settings
        self._adapters = adapters
        self._meters = metrics.Meters()
        self._supervisor = supervision.Supervisor(self._meters.duty_failures)
        # An earlier run of this VM may have made grants before this time.
        self._started = self._now()
        vm = settings.vm
        self._peer_limits = peer_limits.PeerLimits(
            settings.limits, self._meters
        )
        self._drain_s = settings_lib.parse_seconds(settings.bounds.drain)
        self._send_limits = send_limits.SendLimits(
            planned_stop.PlannedStop(
                settings_lib.parse_seconds(settings.bounds.grace)
            )
        )
        incarnation = ids.new_incarnation(ids.VmId(vm.id))
        self._node = reports.NodeRow(
            vm.id,
            incarnation,
            vm.failure_domain,
            vm.peers,
            link_mbps=vm.link_mbps,
            forward_port=int(vm.forward_address.rpartition(":")[2]),
        )
        self._target_table = targets.TargetTable()
        self._maps = renewals.KeyMaps()
        self._speed_table = speeds.SpeedTable()
        self._key_load_table = key_load.KeyLoadTable()
        self._suspect_table = suspects.SuspectTable()
        self._links = adapters.links
        self._links.use_meters(self._meters)
        self._advisories = advisories.AdvisoryTable(
            self._target_table, self._meters
        )
        self._peers = gossip.Peers(
            self._node,
            self._on_report,
            measurements.MeasurementReporter(
                self._speed_table, self._key_load_table
            ),
            self._meters,
        )
        self._readers = readers.StoreReaders(
            self._peers, lambda: self._leadership.is_leader
        )
        self._state_readers = readers.StoreReaders(
            self._peers,
            lambda: self._leadership.is_leader,
            readers.MAX_INDEPENDENT_VMS_FOR_STATE,
            has_standby=True,
        )
        self._state_table = counted_table.CountedTable(
            "state", adapters.state, self._meters.store_calls
        )
        self._outage = outage.Outage()
        self._turns = store_polling.PollingTurns(self._peers, self._outage)
        self._state = follow.TableFollower(
            "state",
            adapters.state,
            self._apply_state,
            store_readers=self._state_readers,
            outage=self._outage,
            turns=self._turns,
            store_calls=self._meters.store_calls,
        )
        self._leadership = leadership_lib.Leadership(
            self._peers, self._state_table, self._state, self._links.is_isolated
        )
        self._succession = succession.Succession(self._leadership, self._maps)
        self._vm_membership = membership.Membership(
            self._peers, self._state_table, self._state
        )
        self._cold_limits = coldstart.ColdLimits(
            self._target_table,
            self._peers,
            lambda: self._vm_membership.is_registered,
        )
        self._arbiter_selector = arbiter_selection.ArbiterSelector(
            self._peers,
            self._is_leaving,
            self._cold_limits,
            self._links.is_isolated,
        )
        self._rate_limiter = ratelimits.RateLimiter(
            self._peers, self._arbiter_selector
        )
        self._authority = authority.PeerAuthority(
            self._peers,
            self._leadership,
            self._maps,
            lambda: self._vm_membership.is_registered,
            lambda: self._state.contact_at,
            lambda: self._state.generation,
        )
        self._retry_tracker = caller_retries.RetryTracker(
            self._is_on(settings.load.returning_callers), self._meters
        )
        self._controller = admission.AdmissionController(
            self._target_table,
            self._node.domain,
            self._drain_s,
            self._cold_limits,
            self._rate_limiter,
            self._retry_tracker,
            retry_schedule.RetrySchedule(
                self._is_on(settings.load.returning_callers), self._meters
            ),
            self._load_rules(),
        )
        self._registry: registry_lib.Registry | None = None
        self._operations: follow.TableFollower | None = None
        self._map_catch_up: map_catch_up.MapCatchUp | None = None
        self._daemon: daemon_lib.GatewayDaemon | None = None

    def build(self) -> daemon_lib.GatewayDaemon:
        """Returns the daemon."""
        adapters, bounds = self._adapters, self._settings.bounds
        retry_budget = budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_allowance,
            settings_lib.parse_seconds(bounds.retry_window),
        )
        key_owners = owners.KeyOwners(
            self._maps,
            self._target_table,
            self._key_load_table,
            self._peers,
            self._drain_s,
            self._leadership.can_write,
        )
        gate = gate_lib.Gate(
            admission.AdmissionController(
                self._target_table,
                self._node.domain,
                self._drain_s,
                self._cold_limits,
                self._rate_limiter,
            ),
            key_owners.count_request,
        )
        gate = gate_lib.Gate(self._controller, key_owners.count_request)

        def on_registrations() -> None:
            detector.on_registrations(clocks.monotonic())
            gate.dispatch()

        self._registry = registry = registry_lib.Registry(
            self._target_table,
            adapters.decode_upstream,
            on_registrations,
            self._meters,
            self._supervisor,
        )
        registrations = follow.TableFollower(
            "registrations",
            adapters.registrations,
            registry.apply,
            REGISTRATIONS_BATCH_S,
            self._readers,
            readers.READER_WATCH_S,
            self._outage,
            self._turns,
            store_calls=self._meters.store_calls,
        )
        registry.follower = registrations
        self._operations = operations = follow.TableFollower(
            "operations",
            adapters.operations,
            self._apply_operations,
            # The leader doesn't plan by this table, so it takes it from readers
            # like other VMs do: the table may be large, and the leader's link
            # narrow.
            store_readers=readers.StoreReaders(self._peers, lambda: False),
            reader_watch_s=readers.READER_WATCH_S,
            outage=self._outage,
            turns=self._turns,
            # Its changes have to be in force on all VMs within a time limit.
            announces_changes=True,
            store_calls=self._meters.store_calls,
        )
        arbiter = arbiter_lib.Arbiter(
            self._peers,
            gate,
            self._target_table,
            self._is_leaving,
            self._meters,
            self._retry_tracker,
        )
        detector = crash_detector.CrashDetector(
            self._suspect_table,
            self._target_table,
            lambda address: prober.answers(address),
            lambda address: pool.refuses_connections(address),
            lambda address: prober.reaches_another(address),
            self._meters,
        )
        pool = connection_pool.ConnectionPool(
            self._settings.vm.host,
            link_observers.ObserverChain(self._links, detector),
        )
        bodies = body_budget.BodyBudget(self._peer_limits.response_bytes)
        client = exchange.UpstreamClient(
            pool,
            adapters.dialect,
            self._advisories,
            self._drain_s,
            bodies,
            self._settings.vm.link_mbps,
        )
        prober = link_probes.LinkProber(
            self._links,
            pool,
            self._target_table,
            self._health_path,
            client.abandon_idempotent,
            self._target_table.forget_failures,
        )
        forwarder = forwarding.PeerForwarder(
            reports.short_run(self._node.incarnation),
            forward_selection.ForwardSelector(self._peers),
            connection_pool.ConnectionPool(self._settings.vm.host),
            adapters.dialect,
            self._meters,
            bodies,
        )
        self._handler = handler = handler_lib.RequestHandler(
            permits.PermitClient(
                self._peers,
                gate,
                arbiter,
                self._target_table,
                self._meters,
                self._arbiter_selector,
                self._rate_limiter,
            ),
            client,
            adapters.dialect,
            self._target_table,
            key_owners,
            retry_budget,
            self._speed_table,
            self._request_log,
            self._state,
            operations,
            crash_guard.CrashGuard(
                self._suspect_table,
                self._peers,
                self._started,
                self._meters,
            ),
            detector,
            self._links,
            forwarder,
            self._meters,
            service_samples.ServiceTimeSampler(
                self._is_on(self._settings.load.placement)
            ),
            self._is_on(self._settings.load.returning_callers),
            self._send_limits,
        )
        self._renewer = renewals.GrantRenewer(
            self._maps,
            self._target_table,
            self._peers,
            adapters.control,
            self._authority,
            self._meters,
            self._links.is_isolated,
        )
        followers = {
            follower.name: follower
            for follower in (self._state, registrations, operations)
        }
        row_relay = relay.RowRelay(
            followers,
            self._peers,
            links.LinkPool(self._meters),
            _seed_addresses(self._settings.vm),
            self._meters,
        )
        self._map_catch_up = map_catch_up.MapCatchUp(
            self._peers,
            self._state,
            self._state_readers,
            row_relay,
            self._own_map_versions,
        )
        self._daemon = daemon_lib.GatewayDaemon(
            self._node,
            frontend.Frontend(
                self._settings.vm.listen,
                handler,
                self._meters,
                self._send_limits.stop,
                self._peer_limits.callers,
            ),
            self._settings.vm.ready,
            handler,
            gate,
            arbiter,
            self._target_table,
            self._maps,
            self._renewer,
            self._authority,
            self._peers,
            self._leadership,
            self._vm_membership,
            registry,
            followers,
            self._readers,
            row_relay,
            self._map_catch_up,
            links.ControlServer(
                self._settings.vm.peers,
                row_relay,
                self._meters,
                relay.MAX_PARALLEL_REQUESTS,
            ),
            retry_budget,
            self._speed_table,
            self._key_load_table,
            self._cold_limits,
            self._rate_limiter,
            self._suspect_table,
            detector,
            self._advisories,
            self._links,
            prober,
            forwarder,
            forward_listener.ForwardListener(
                self._settings.vm.forward_address,
                handler,
                self._peers,
                self._meters,
                self._send_limits.stop,
                self._peer_limits.forwards,
            ),
            self._request_log,
            open_requests.OpenRequests(
                [
                    self._peer_limits.callers.connections,
                    self._peer_limits.forwards.connections,
                ],
                adapters.dialect,
                self._request_log,
                self._meters,
            ),
            key_assignment.KeyAssignment(
                self._make_key_assigner, self._supervisor
            ),
            self._send_limits,
            self._meters,
            self._supervisor,
        )
        return self._daemon

    def _load_rules(self) -> load_rules.LoadRules:
        load = self._settings.load
        return load_rules.LoadRules(
            queue_limits.QueueLimits(self._is_on(load.queue_limits)),
            fair_shares.FairShares(self._is_on(load.fair_shares)),
            self._meters.queue_limits,
            load_rules.log_contention,
        )

    def _make_key_assigner(
        self, service: ids.ServiceName
    ) -> key_assigner.KeyAssigner:
        return key_assigner.KeyAssigner(
            service,
            self._maps,
            self._target_table,
            slotplan.SlotPlan(
                service,
                self._target_table,
                self._speed_table,
                self._key_load_table,
                self._handler.mean_service_time_s,
                self._now(),
                self._cold_limits,
                self._max_ranges,
            ),
            self._peers,
            self._renewer,
            self._leadership,
            self._succession,
            self._state_table,
            self._state,
            self._adapters.control,
            self._authority,
            self._settings.store.row_bytes,
            self._started,
            self._meters,
        )

    def _health_path(self, service: ids.ServiceName) -> str:
        """Returns the path of a service's health check."""
        config = self._handler.config
        known = config.services_by_name.get(service) if config else None
        return known.health_path if known else "/"

    def _own_map_versions(self) -> dict[ids.ServiceName, int] | None:
        """Returns the versions that this VM reports as the leader, if it is."""
        if not self._leadership.is_leader:
            return None
        return self._daemon.map_versions()

    def _is_on(
        self, switch: load_settings.Switch
    ) -> collections.abc.Callable[[], bool]:
        """Returns a function that states whether a mechanism is active."""
        return lambda: load_settings.is_on(switch, self._controller.vm_count)

    def _is_leaving(self) -> bool:
        return self._daemon is not None and self._daemon.is_leaving

    def _max_ranges(self) -> int:
        peers = self._peers.by_node.values()
        rows = [peer.row for peer in peers if not peer.row.is_retired]
        return renewal_budget.max_ranges([self._node, *rows])

    def _on_report(self, peer: reports.Peer, now: float) -> None:
        for apply in (
            self._succession.note_report,
            self._map_catch_up.on_report,
            self._daemon.on_report,
        ):
            with self._supervisor.isolate("peer-reports", peer.row.node):
                apply(peer, now)

    def _apply_state(self, changes: list[interfaces.Change]) -> None:
        for change in changes:
            with self._supervisor.isolate("state-rows", change.key):
                self._apply_state_row_if_valid(change)

    def _apply_state_row_if_valid(self, change: interfaces.Change) -> None:
        try:
            self._apply_state_row(change)
        except (errors.ControlMessageError, msgspec.MsgspecError) as error:
            logs.logger.error("row dropped", key=change.key, error=str(error))

    def _apply_state_row(self, change: interfaces.Change) -> None:
        key = change.key
        if key == leadership_lib.LEADER_KEY:
            self._leadership.apply(change)
        elif key.startswith(membership.NODE_PREFIX):
            self._vm_membership.apply(change)
        elif (
            key.startswith(key_assigner.MAP_PREFIX) and change.value is not None
        ):
            service = ids.ServiceName(key.removeprefix(key_assigner.MAP_PREFIX))
            known = self._maps.by_service.get(service)
            if known is not None and known.version >= change.version:
                # Written by this VM.
                return
            key_map = keymap.decode(change.value, change.version, key, known)
            self._maps.put(service, key_map, self._now())

    @staticmethod
    def _now() -> float:
        return clocks.monotonic()

    def _apply_operations(self, changes: list[interfaces.Change]) -> None:
        for change in changes:
            with self._supervisor.isolate("operations", change.key):
                self._apply_operation(change)

    def _apply_operation(self, change: interfaces.Change) -> None:
        domain = self._adapters.evacuated_domain(change.key)
        if domain is not None:
            self._registry.set_evacuated(
                domain, change.value is not None, self._is_returning()
            )
        elif change.key == self._adapters.config_key:
            self._apply_config(change)

    def _is_returning(self) -> bool:
        """Whether the operator's rows are those of an older copy."""
        return self._operations is not None and self._operations.is_returning

    def _apply_config(self, change: interfaces.Change) -> None:
        if change.value is None:
            return
        try:
            config = self._adapters.decode_config(change.value)
        except errors.SwiftstileError as error:
            self._daemon.reject_config(error)
            return
        self._daemon.apply_config(config)
