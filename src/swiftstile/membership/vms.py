"""Cache of the platform's VM list, which may be stale during an outage."""

import asyncio

from reactivex import subject

from swiftstile import errors
from swiftstile import ids
from swiftstile.provider import base

__all__ = ["VmDirectory"]


class VmDirectory:
    """Polls the platform's VM list.

    Attributes:
        changes: Emits this directory after each change of the list.
        by_id: VMs of the last fetched list, by id.
    """

    def __init__(self, source: base.VmList, interval_s: float):
        self._source = source
        self._interval_s = interval_s
        self.changes: subject.Subject[VmDirectory] = subject.Subject()
        self.by_id: dict[ids.VmId, base.Vm] = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._interval_s)

    async def refresh(self) -> None:
        """Fetches the list once; keeps the previous one on failure."""
        try:
            vms = await self._source.fetch()
        except errors.PlatformUnavailableError:
            return
        by_id = {vm.id: vm for vm in vms}
        if by_id != self.by_id:
            self.by_id = by_id
            self.changes.on_next(self)

    def entry_vms(self, organisation: ids.OrganisationId) -> list[base.Vm]:
        """Returns the entry VMs of an organisation, including leaving ones."""
        return [
            vm
            for vm in self.by_id.values()
            if vm.kind is base.VmKind.ENTRY and organisation in vm.organisations
        ]

    def group(self, name: str) -> dict[ids.ServerId, base.Vm]:
        """Returns the upstream VMs of a group, by server id."""
        return {
            ids.ServerId(vm.id): vm
            for vm in self.by_id.values()
            if vm.kind is base.VmKind.UPSTREAM and vm.group == name
        }
