"""The coordinator daemon of an entry VM; not on the request path."""

import asyncio

from swiftstile import clocks
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile.bundles import model
from swiftstile.bundles import watch as bundle_watch
from swiftstile.daemons import inspection
from swiftstile.membership import vms
from swiftstile.ownership import elector as elector_lib
from swiftstile.ownership import leases
from swiftstile.peers import links
from swiftstile.peers import messages

__all__ = ["CoordinatorDaemon"]


class CoordinatorDaemon(links.ControlHandler, inspection.Inspectable):
    """Takes part in lease elections and handles control messages."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        me: leases.Candidate,
        bundles: bundle_watch.BundleWatch,
        directory: vms.VmDirectory,
        promises: leases.PromiseTable,
        meters: metrics.Meters,
        make_elector,
    ):
        self._settings = settings
        self._me = me
        self._bundles = bundles
        self._directory = directory
        self._promises = promises
        self._meters = meters
        self._make_elector = make_elector
        self._leaving = False
        self._electors: dict[ids.ServiceId, elector_lib.CoordinatorElector] = {}
        self._tasks: dict[ids.ServiceId, asyncio.Task] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until `stopping` is set, then releases its leases."""
        self._bundles.changes.subscribe(self._on_bundle)
        await self._directory.refresh()
        server = links.ControlServer(
            self._settings.coordinator.listen,
            self,
            self._meters,
            self._settings.coordinator.max_control_links,
        )
        tasks = [
            asyncio.create_task(self._bundles.run()),
            asyncio.create_task(self._directory.run()),
            asyncio.create_task(server.run()),
        ]
        stop = asyncio.create_task(stopping.wait())
        logs.logger.info("coordinator started")
        try:
            await asyncio.wait(
                [stop, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task.done():
                    task.result()
            await self._leave()
        finally:
            for task in [stop, *tasks, *self._tasks.values()]:
                task.cancel()

    async def _leave(self) -> None:
        self._leaving = True
        electors = self._electors.values()
        await asyncio.gather(*(elector.release() for elector in electors))
        logs.logger.info("coordinator stopped")

    def _on_bundle(self, change: bundle_watch.BundleInForce) -> None:
        organisation = change.bundle.organisation
        wanted = {
            ids.ServiceId(organisation, name): spec
            for name, spec in change.bundle.services.items()
            if spec.ownership is model.Ownership.KEYED
        }
        for service in set(self._tasks) - set(wanted):
            if service.organisation == organisation:
                self._tasks.pop(service).cancel()
                self._electors.pop(service)
        for service in set(wanted) - set(self._tasks):
            elector = self._make_elector(service)
            self._electors[service] = elector
            self._tasks[service] = asyncio.create_task(elector.run())

    async def handle(self, message: messages.Message) -> messages.Message:
        """See base class."""
        match message:
            case messages.Ping():
                return self._pong()
            case messages.PromiseRequest():
                return self._promise(message)
            case messages.Resigned():
                return self._resigned(message)
            case messages.LocateRequest():
                return self._locate(message)
            case messages.WatchRequest():
                return await self._watch(message)
        return messages.Refused(f"can't answer {type(message).__name__}")

    def _pong(self) -> messages.Pong:
        return messages.Pong(
            self._me.vm,
            self._me.incarnation,
            self._bundles.reachable.value,
            self._leaving,
        )

    def _promise(self, request: messages.PromiseRequest) -> messages.Message:
        if request.candidate != self._me.incarnation:
            return messages.Refused("meant for another run of this process")
        duration = min(request.duration_s, self._settings.coordinator.promise_s)
        elector = self._electors.get(request.service)
        if elector is not None:
            elector.record_holder(request.holder, request.epoch)
        granted = (
            duration == request.duration_s
            and not self._leaving
            and self._promises.promise(
                request.service, request.epoch, clocks.monotonic(), duration
            )
        )
        known = (
            elector.known.epoch if elector and elector.known else request.epoch
        )
        return messages.PromiseReply(granted, known)

    def _resigned(self, message: messages.Resigned) -> messages.Message:
        if message.candidate != self._me.incarnation:
            return messages.Refused("meant for another run of this process")
        self._promises.release(message.service, message.epoch)
        return messages.PromiseReply(False, message.epoch)

    def _locate(self, request: messages.LocateRequest) -> messages.LocateReply:
        elector = self._electors.get(request.service)
        if elector is None or elector.known is None:
            return messages.LocateReply(self._me.vm, False, ids.Epoch(0))
        is_holder = elector.active is not None
        return messages.LocateReply(self._me.vm, is_holder, elector.known.epoch)

    async def _watch(self, watch: messages.WatchRequest) -> messages.Message:
        elector = self._electors.get(watch.service)
        active = elector.active if elector else None
        if active is None or active.assignment is None:
            return messages.NotHolder()
        return await active.watch(watch)

    def status(self) -> dict[str, object]:
        """See base class."""
        return {
            "vm": self._me.vm,
            "incarnation": self._me.incarnation,
            "failure_domain": self._settings.vm.failure_domain,
            "platform_reachable": self._bundles.reachable.value,
            "leaving": self._leaving,
            "bundles": {
                name: entry.version
                for name, entry in self._bundles.by_organisation.items()
            },
            "services": {
                str(service): _service_status(elector)
                for service, elector in self._electors.items()
            },
            "meters": self._meters.snapshot(),
        }


def _service_status(
    elector: elector_lib.CoordinatorElector,
) -> dict[str, object]:
    known, active = elector.known, elector.active
    status: dict[str, object] = {
        "holder": known.holder.vm if known else None,
        "epoch": known.epoch if known else None,
        "candidates": [c.vm for c in known.candidates] if known else [],
        "holding": active is not None,
    }
    if active is not None and active.assignment is not None:
        status["assignment_version"] = active.assignment.version
        status["slices"] = len(active.assignment.slices)
        status["slices_moving"] = len(active.withheld)
        status["servers_in_trouble"] = active.unresponsive_servers()
    return status
