"""The router daemon of an entry VM, which serves requests."""

import asyncio

from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile.bundles import model
from swiftstile.bundles import watch as bundle_watch
from swiftstile.daemons import inspection
from swiftstile.membership import vms
from swiftstile.provider import base
from swiftstile.routing import forwarding
from swiftstile.routing import frontend as frontend_lib
from swiftstile.routing import owners
from swiftstile.routing import routes

__all__ = ["RouterDaemon"]


class RouterDaemon(inspection.Inspectable):
    """Routes requests according to the bundles in force."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        bundles: bundle_watch.BundleWatch,
        directory: vms.VmDirectory,
        table: routes.RouteTable,
        forwarder: forwarding.Forwarder,
        frontend: frontend_lib.Frontend,
        meters: metrics.Meters,
        make_watcher,
    ):
        self._settings = settings
        self._bundles = bundles
        self._directory = directory
        self._table = table
        self._forwarder = forwarder
        self._frontend = frontend
        self._meters = meters
        self._make_watcher = make_watcher
        self._watchers: dict[ids.ServiceId, owners.OwnerWatcher] = {}
        self._tasks: dict[ids.ServiceId, asyncio.Task] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until `stopping` is set, then drains requests in flight."""
        self._bundles.changes.subscribe(self._on_bundle)
        self._directory.changes.subscribe(self._on_vms)
        await self._forwarder.open()
        await self._directory.refresh()
        tasks = [
            asyncio.create_task(self._bundles.run()),
            asyncio.create_task(self._directory.run()),
        ]
        await self._frontend.start()
        logs.logger.info("router started")
        stop = asyncio.create_task(stopping.wait())
        try:
            await asyncio.wait(
                [stop, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task.done():
                    task.result()
            logs.logger.info("router drains")
            await self._frontend.drain()
            logs.logger.info("router stopped")
        finally:
            for task in [stop, *tasks, *self._tasks.values()]:
                task.cancel()
            await self._forwarder.close()

    def _on_bundle(self, change: bundle_watch.BundleInForce) -> None:
        organisation = change.bundle.organisation
        wanted = {
            ids.ServiceId(organisation, name): spec
            for name, spec in change.bundle.services.items()
        }
        for service in set(self._table.by_service) - set(wanted):
            if service.organisation == organisation:
                self._remove(service)
        for service, spec in wanted.items():
            known = self._table.by_service.get(service)
            if known is None or known.spec != spec:
                self._replace(service, spec)

    def _replace(self, service: ids.ServiceId, spec: model.ServiceSpec):
        self._remove(service)
        if spec.ownership is model.Ownership.KEYED:
            table = owners.OwnerTable()
            route_class = (
                routes.KeyedRoute if spec.checks_fence else routes.LeasedRoute
            )
            route: routes.ServiceRoute = route_class(spec, table)
            watcher = self._make_watcher(service, spec, table)
            self._watchers[service] = watcher
            self._tasks[service] = asyncio.create_task(watcher.run())
        else:
            route = routes.SharedRoute(spec)
        self._sync_targets(route)
        self._table.by_service[service] = route

    def _remove(self, service: ids.ServiceId) -> None:
        self._table.by_service.pop(service, None)
        self._watchers.pop(service, None)
        if service in self._tasks:
            self._tasks.pop(service).cancel()

    def _on_vms(self, _directory: vms.VmDirectory) -> None:
        for route in self._table.by_service.values():
            self._sync_targets(route)

    def _sync_targets(self, route: routes.ServiceRoute) -> None:
        group = self._directory.group(route.spec.upstream_group)
        is_keyed = route.spec.ownership is model.Ownership.KEYED
        route.targets.sync(
            {
                server: vm.data_address
                for server, vm in group.items()
                # A leaving keyed server keeps its slices until they have moved.
                if is_keyed or vm.state is base.VmState.LIVE
            }
        )

    def status(self) -> dict[str, object]:
        """See base class."""
        return {
            "vm": self._settings.vm.id,
            "failure_domain": self._settings.vm.failure_domain,
            "in_flight": self._frontend.in_flight,
            "platform_reachable": self._bundles.reachable.value,
            "bundles": {
                name: entry.version
                for name, entry in self._bundles.by_organisation.items()
            },
            "services": {
                str(service): self._service_status(service, route)
                for service, route in self._table.by_service.items()
            },
            "meters": self._meters.snapshot(),
        }

    def _service_status(self, service, route) -> dict[str, object]:
        status: dict[str, object] = {
            "targets": len(route.targets.by_server),
            "targets_in_trouble": [
                name
                for name, target in route.targets.by_server.items()
                if target.is_penalised()
            ],
        }
        if isinstance(route, routes.KeyedRoute):
            status["assignment_version"] = route.owners.version
            status["following"] = self._watchers[service].holder
        return status
