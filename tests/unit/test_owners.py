import asyncio
from unittest import mock

import pytest

from swiftstile import errors
from swiftstile import ids
from swiftstile.membership import vms
from swiftstile.peers import messages
from swiftstile.provider import base
from swiftstile.routing import owners
from tests import builders

POSITION = ids.KeyHash(0)
_WAIT_S = 0.02
_TIMEOUT_S = 0.05


def other_owner(assignment):
    old = assignment.at(POSITION).server
    new = next(s for s in builders.servers(3) if s != old)
    return old, assignment.moved({0: new}, ids.Epoch(1))


def test_an_attempt_at_the_old_owner_ends_early():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old, second = other_owner(first)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60) as limit:
                table.watch_attempt(POSITION, old, limit)
                table.update(second)
                await asyncio.Event().wait()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_expired_attempt_does_not_prevent_the_update():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old, second = other_owner(first)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0) as limit:
                table.watch_attempt(POSITION, old, limit)
                await asyncio.Event().wait()
        assert limit.expired()
        table.update(second)
        assert table.version == second.version

    asyncio.run(run())


def test_attempt_whose_owner_is_unchanged_keeps_its_deadline():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old = first.at(POSITION).server
        async with asyncio.timeout(60) as limit:
            end = limit.when()
            table.watch_attempt(POSITION, old, limit)
            table.update(first.split([5], ids.Epoch(1)))
            assert limit.when() == end

    asyncio.run(run())


class _SlowLink:
    """A coordinator whose whole assignment takes long to transfer."""

    def __init__(self, whole_s: float):
        self.assignment = builders.assignment()
        self.limits: list[float] = []
        self._whole_s = whole_s

    async def call(self, message, expected, timeout_s):
        if isinstance(message, messages.LocateRequest):
            return messages.LocateReply(ids.VmId("vm-1"), True, ids.Epoch(1))
        self.limits.append(timeout_s)
        is_known = message.version == self.assignment.version
        takes_s = message.wait_s if is_known else self._whole_s
        await asyncio.sleep(min(takes_s, timeout_s))
        if takes_s > timeout_s:
            raise errors.PeerTimeoutError("late", step="call", peer="vm-1")
        delta = None if is_known else self.assignment.delta_from(None)
        return messages.WatchReply(ids.Epoch(1), delta, 0.0)


def _watch(link, table) -> owners.OwnerWatcher:
    vm = base.Vm(
        ids.VmId("vm-1"),
        base.VmKind.ENTRY,
        ids.FailureDomain("a"),
        organisations=(builders.SERVICE.organisation,),
    )
    directory = vms.VmDirectory(mock.Mock(), 1.0)
    directory.by_id = {vm.id: vm}
    peers = mock.Mock()
    peers.to.return_value = link
    me = ids.VmId("vm-2")
    run = ids.Incarnation("vm-2#1")
    service = builders.SERVICE
    return owners.OwnerWatcher(
        service, me, run, table, directory, peers, _WAIT_S, _TIMEOUT_S
    )


def test_assignment_slower_than_the_timeout_is_received():
    async def run():
        table, link = owners.OwnerTable(), _SlowLink(whole_s=0.6)
        watching = asyncio.create_task(_watch(link, table).run())
        async with asyncio.timeout(5):
            while len(link.limits) < 2 or table.version == 0:
                await asyncio.sleep(0.01)
            known_after = len(link.limits)
            while len(link.limits) < known_after + 2:
                await asyncio.sleep(0.01)
        watching.cancel()
        assert table.assignment == link.assignment
        # Short again, so that the crash of a coordinator is soon noticed.
        assert link.limits[0] == link.limits[-1] == _TIMEOUT_S

    asyncio.run(run())
