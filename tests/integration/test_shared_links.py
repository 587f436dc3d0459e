"""Transfers that share a link.

Two tables are fetched from one peer over one connection; many VMs fetch from
one reader.
"""

import asyncio
import os

from benchmarks import processes
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from swiftstile.gateway import transfers
from swiftstile.peers import links
from swiftstile.peers import messages
from tests import gateway_builders as builders
from tests import row_parts
from tests.integration import narrow_link

_NAMES = ("operations", "registrations")


def _peers() -> gossip.Peers:
    return gossip.Peers(builders.node_row("vm-50"), lambda *_: None)


def _follower(name: str, version: int, size: int) -> follow.TableFollower:
    made = follow.TableFollower(
        name,
        builders.MemoryTable(),
        lambda _: None,
        store_readers=row_parts.ActiveReaders(),
    )
    row = interfaces.Change("x", os.urandom(size), version)
    made.accept(interfaces.Snapshot([row], version), True)
    return made


class _LosesOne(links.ControlHandler):
    """Delays each answer by 60 ms, and never answers one of the requests.

    Attributes:
        asked: Number of requests so far.
    """

    def __init__(self, server: relay.RowRelay, lost: int):
        self._server = server
        self._lost = lost
        self.asked = 0

    async def handle(self, message: messages.Message) -> messages.Message:
        self.asked += 1
        if self.asked == self._lost:
            await asyncio.sleep(20)
        await asyncio.sleep(0.06)
        return await self._server.handle(message)


def test_one_lost_piece_does_not_break_the_transfer_of_another_table():
    async def scenario():
        meters = metrics.Meters()
        size = 16 * transfers.PIECE_BYTES
        held = {name: _follower(name, 9, size) for name in _NAMES}
        server = relay.RowRelay(held, _peers(), None, [], meters)
        handler = _LosesOne(server, lost=4)
        address = f"127.0.0.1:{processes.free_ports(1)[0]}"
        control = links.ControlServer(
            address, handler, meters, relay.MAX_PARALLEL_REQUESTS
        )
        serving = asyncio.create_task(control.run())
        dependent = {name: _follower(name, 2, 1) for name in _NAMES}
        calls = links.LinkPool(meters)
        client = relay.RowRelay(dependent, _peers(), calls, [], meters)
        row = builders.node_row("vm-10", address=address)
        statuses = {name: reports.TableStatus(9, 0.1) for name in _NAMES}
        publisher = builders.peer(
            row, builders.report(row, tables=statuses), 100.0
        )
        try:
            # Requests each table once.
            client.on_report(publisher, 100.0)
            async with asyncio.timeout(8):
                while client._fetches:
                    await asyncio.sleep(0.01)
            versions = {name: one.version for name, one in dependent.items()}
            assert versions == dict.fromkeys(_NAMES, 9)
        finally:
            calls.close()
            serving.cancel()
            await asyncio.wait([serving])

    asyncio.run(scenario())


def test_a_reader_on_a_narrow_link_serves_the_vms_of_its_domain():
    # 30 VMs with wide links fetch 30 kB (1,470 routes, compressed) from one
    # with 5 Mbit/s, which takes 1.44 s at best. This happens where the store
    # refuses the readers of a domain and serves other VMs.
    async def scenario():
        meters = metrics.Meters()
        reader = _follower("operations", 9, 30_000)
        held = {"operations": reader}
        server = relay.RowRelay(held, _peers(), None, [], meters)
        address = f"127.0.0.1:{processes.free_ports(1)[0]}"
        control = links.ControlServer(
            address, server, meters, relay.MAX_PARALLEL_REQUESTS
        )
        serving = asyncio.create_task(control.run())
        loop = asyncio.get_running_loop()
        async with narrow_link.NarrowLink(address) as link:
            row = builders.node_row("vm-10", address=link.address)
            statuses = {"operations": reports.TableStatus(9, 0.1)}
            publisher = builders.peer(
                row, builders.report(row, tables=statuses), 100.0
            )
            vms = []
            for _ in range(30):
                dependent = _follower("operations", 2, 1)
                calls = links.LinkPool(meters)
                client = relay.RowRelay(
                    {"operations": dependent}, _peers(), calls, [], meters
                )
                vms.append((dependent, client, calls))
            began = loop.time()
            done_at = {}
            try:
                while loop.time() - began < 6 and len(done_at) < len(vms):
                    for number, (dependent, client, _) in enumerate(vms):
                        if dependent.version == 9:
                            done_at.setdefault(number, loop.time() - began)
                            continue
                        # A report every 0.25 s publishes the version again.
                        client.on_report(publisher, 100.0)
                    await asyncio.sleep(0.05)
            finally:
                for _, _, calls in vms:
                    calls.close()
                serving.cancel()
                await asyncio.wait([serving])
            late = sorted(done_at.values())[-1:] or [None]
            assert len(done_at) == len(vms), f"{len(done_at)} of {len(vms)}"
            # Twice the minimum.
            assert late[0] < 2.9

    asyncio.run(scenario())
