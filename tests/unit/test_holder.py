"""Tests for concurrent reads and writes of the lease row by its holder.

Guards against two VMs coordinating one service, so that two servers own the
same keys. If the row names a candidate whose promise the holder doesn't
require, that candidate can take over while the holder still coordinates.
"""

import asyncio

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile import settings
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import leases
from swiftstile.peers import messages
from swiftstile.provider import base
from tests import builders

_KEY = leases.lease_key(builders.SERVICE)
_HOLDER, _UNRESPONSIVE, _OTHER, _NEW = map(builders.candidate, "abcd")


class _Table(base.Table):
    """A table of one row, whose calls block until they are released.

    Attributes:
        may_read: Set to let reads return.
        may_write: Set to let writes be applied.
        on_write: Called before a write is applied.
    """

    def __init__(self, lease: leases.CoordinatorLease):
        self.row = base.Row(_KEY, codec.to_json(lease), 1)
        self.may_read = asyncio.Event()
        self.may_write = asyncio.Event()
        self.on_write = None

    async def read(self, key):
        row = self.row
        await self.may_read.wait()
        return row

    async def scan(self, prefix):
        return [self.row]

    async def transact(self, writes, attempt):
        await self.may_write.wait()
        if self.on_write is not None:
            self.on_write()
        (write,) = writes
        if write.expected_version != self.row.version:
            raise errors.ConflictError("version", step="write")
        self.row = base.Row(_KEY, write.value, self.row.version + 1)

    @property
    def lease(self) -> leases.CoordinatorLease:
        return codec.from_json(self.row.value, leases.CoordinatorLease)


class _Peers:
    """Peers that grant every promise."""

    def to(self, address):
        return self

    async def call(self, message, expected, timeout_s):
        return messages.PromiseReply(True, ids.Epoch(1))


class _Selector:
    """Adds the new candidate to those that are kept."""

    def address(self, vm):
        return vm

    async def choose(self, service, keep):
        return (*keep, _NEW)


def _held() -> tuple[holder_lib.LeaseHolder, _Table]:
    lease = leases.CoordinatorLease(
        ids.Epoch(1), _HOLDER, (_UNRESPONSIVE, _OTHER)
    )
    table = _Table(lease)
    holder = holder_lib.LeaseHolder(
        builders.SERVICE,
        lease,
        1,
        clocks.monotonic(),
        table,
        _Peers(),
        _Selector(),
        settings.CoordinatorSettings("127.0.0.1:0"),
    )
    return holder, table


async def _settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


def test_refresh_does_not_restore_a_replaced_candidate(monkeypatch):
    monkeypatch.setattr(holder_lib, "_REFRESH_SHARE", 0.0)

    async def scenario():
        holder, table = _held()
        replacing = asyncio.create_task(
            holder._replace({_UNRESPONSIVE.incarnation})
        )
        await _settle()
        refreshing = asyncio.create_task(holder._refresh_forever())
        await _settle()
        table.may_write.set()
        await replacing
        while table.row.version < 3:
            await asyncio.sleep(0)
        refreshing.cancel()
        assert table.lease.candidates == (_OTHER, _NEW)
        assert holder.lease.candidates == (_OTHER, _NEW)

    asyncio.run(scenario())


def test_new_candidate_is_required_despite_a_concurrent_read():
    async def scenario():
        holder, table = _held()
        confirming = asyncio.create_task(holder._confirm())
        await _settle()
        replacing = asyncio.create_task(
            holder._replace({_UNRESPONSIVE.incarnation})
        )
        await _settle()
        promised = []
        table.on_write = lambda: promised.append(
            holder.validity.promised_until(_NEW.incarnation)
        )
        table.may_read.set()
        table.may_write.set()
        await asyncio.gather(confirming, replacing)
        assert len(promised) == 1 and promised[0] > 0

    asyncio.run(scenario())
