"""Composition root: builds the daemons from their settings."""

import asyncio

from swiftstile import ids
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile import telemetry
from swiftstile.bundles import commands
from swiftstile.bundles import queries
from swiftstile.bundles import watch as bundle_watch
from swiftstile.daemons import coordinator
from swiftstile.daemons import router
from swiftstile.membership import vms
from swiftstile.ownership import assignment_store
from swiftstile.ownership import coordination
from swiftstile.ownership import elector
from swiftstile.ownership import enforcement
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import leases
from swiftstile.ownership import placement
from swiftstile.ownership import selection
from swiftstile.ownership import upstream_http
from swiftstile.peers import links
from swiftstile.provider import http as provider_http
from swiftstile.routing import dispatch
from swiftstile.routing import forwarding
from swiftstile.routing import frontend
from swiftstile.routing import owners
from swiftstile.routing import routes

__all__ = ["Wiring"]

# How long a router's watch request waits for a change. The wait is shorter for
# services whose route lease is renewed by the response. The margin is the
# additional time for the response to arrive.
_WATCH_WAIT_S = 0.5
_LEASED_WATCH_WAIT_S = 0.3
_WATCH_MARGIN_S = 0.25


class Wiring:
    """Builds the components of one process; each call builds new ones."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings
        self._meters = metrics.Meters()
        platform = settings.platform
        self.table = provider_http.HttpTable(
            platform.table_url, platform.timeout_s, self._meters
        )
        self.objects = provider_http.HttpObjectStore(
            platform.objects_url, platform.timeout_s, self._meters
        )
        self._vm_list = provider_http.HttpVmList(
            platform.vms_url, platform.timeout_s, self._meters
        )

    def queries(self) -> queries.BundleQueries:
        """Builds the bundle queries."""
        return queries.BundleQueries(self.table, self.objects)

    def commands(self, operator: str) -> commands.BundleCommands:
        """Builds the bundle commands for one operator."""
        return commands.BundleCommands(self.table, self.objects, operator)

    def coordinator(self) -> coordinator.CoordinatorDaemon:
        """Builds the coordinator daemon."""
        settings = self._settings.coordinator
        vm = self._settings.vm
        telemetry.expose(self._meters)
        me = leases.Candidate(vm.id, ids.new_incarnation(vm.id))
        vm_directory = self._directory()
        promises = leases.PromiseTable()
        bundles = self._bundle_watch()
        peers = links.LinkPool(self._meters)
        selector = selection.CandidateSelector(
            me, vm_directory, peers, settings.call_timeout_s
        )
        control = upstream_http.HttpUpstreamControl(
            settings.call_timeout_s, self._meters
        )

        def make_elector(service: ids.ServiceId) -> elector.CoordinatorElector:
            def build(lease, row_version, taken_at, released):
                holder = holder_lib.LeaseHolder(
                    service,
                    lease,
                    row_version,
                    taken_at,
                    self.table,
                    peers,
                    selector,
                    settings,
                )
                spec = bundles.by_organisation[
                    service.organisation
                ].bundle.services[service.service]
                changed = asyncio.Event()
                enforcer_class = (
                    enforcement.FencedEnforcer
                    if spec.checks_fence
                    else enforcement.RouteLeaseEnforcer
                )
                work = coordination.Coordination(
                    holder,
                    spec,
                    vm_directory,
                    enforcer_class(holder, control, settings, changed),
                    assignment_store.AssignmentStore(
                        service, self.table, self.objects
                    ),
                    self.table,
                    placement.IsolatingPlacement(spec.imbalance_target),
                    settings,
                    self._meters,
                    changed,
                    released,
                )
                return holder, work

            listed = vm_directory.entry_vms(service.organisation)
            return elector.CoordinatorElector(
                service,
                me,
                self.table,
                promises,
                selector,
                build,
                elector.rank(service, me.vm, [entry.id for entry in listed]),
                settings.outage_tolerance_s,
            )

        return coordinator.CoordinatorDaemon(
            self._settings,
            me,
            bundles,
            vm_directory,
            promises,
            self._meters,
            make_elector,
        )

    def router(self) -> router.RouterDaemon:
        """Builds the router daemon."""
        vm = self._settings.vm
        telemetry.expose(self._meters)
        vm_directory = self._directory()
        peers = links.LinkPool(self._meters)
        table = routes.RouteTable()
        forwarder = forwarding.Forwarder(self._meters)
        incarnation = ids.new_incarnation(vm.id)

        def make_watcher(service, spec, owner_table) -> owners.OwnerWatcher:
            wait_s = (
                _WATCH_WAIT_S if spec.checks_fence else _LEASED_WATCH_WAIT_S
            )
            return owners.OwnerWatcher(
                service,
                vm.id,
                incarnation,
                owner_table,
                vm_directory,
                peers,
                wait_s,
                wait_s + _WATCH_MARGIN_S,
            )

        return router.RouterDaemon(
            self._settings,
            self._bundle_watch(),
            vm_directory,
            table,
            forwarder,
            frontend.Frontend(
                self._settings.router,
                dispatch.Dispatcher(table, forwarder),
                self._meters,
            ),
            self._meters,
            make_watcher,
        )

    async def close(self) -> None:
        """Closes the connections to the platform."""
        await self.table.close()
        await self.objects.close()
        await self._vm_list.close()

    def _directory(self) -> vms.VmDirectory:
        interval_s = self._settings.platform.poll_interval_s
        return vms.VmDirectory(self._vm_list, interval_s)

    def _bundle_watch(self) -> bundle_watch.BundleWatch:
        return bundle_watch.BundleWatch(
            self.queries(),
            self._settings.vm.organisations,
            self._settings.platform.poll_interval_s,
        )
