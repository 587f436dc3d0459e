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
        store_readers=row_parts.AlwaysLed(),
    )
    row = interfaces.Change("x", os.urandom(size), version)
    made.accept(interfaces.Snapshot([row], version), True)
    return made


class _LosesOne(links.ControlHandler):
    """Takes 60 ms for each answer, and never answers one of the questions.

    Attributes:
        asked: Questions so far.
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
        control = links.ControlServer(address, handler, meters, relay.PARALLEL)
        serving = asyncio.create_task(control.run())
        led = {name: _follower(name, 2, 1) for name in _NAMES}
        calls = links.LinkPool(meters)
        client = relay.RowRelay(led, _peers(), calls, [], meters)
        row = builders.node_row("vm-10", address=address)
        words = {name: reports.TableWord(9, 0.1) for name in _NAMES}
        teller = builders.peer(row, builders.report(row, tables=words), 100.0)
        try:
            # Each is asked for once.
            client.note(teller, 100.0)
            async with asyncio.timeout(8):
                while client._asking:
                    await asyncio.sleep(0.01)
            versions = {name: one.version for name, one in led.items()}
            assert versions == dict.fromkeys(_NAMES, 9)
        finally:
            calls.close()
            serving.cancel()
            await asyncio.wait([serving])

    asyncio.run(scenario())


def test_a_reader_on_a_narrow_link_serves_the_vms_of_its_domain():
    # 30 VMs with wide links take 30 kB (1,470 routes, compressed) from one with
    # 5 Mbit/s: 1.44 s for all of it, at best. So it is where the store refuses
    # the readers of a domain and serves others.
    async def scenario():
        meters = metrics.Meters()
        reader = _follower("operations", 9, 30_000)
        held = {"operations": reader}
        server = relay.RowRelay(held, _peers(), None, [], meters)
        address = f"127.0.0.1:{processes.free_ports(1)[0]}"
        control = links.ControlServer(address, server, meters, relay.PARALLEL)
        serving = asyncio.create_task(control.run())
        loop = asyncio.get_running_loop()
        async with narrow_link.NarrowLink(address) as link:
            row = builders.node_row("vm-10", address=link.address)
            words = {"operations": reports.TableWord(9, 0.1)}
            teller = builders.peer(
                row, builders.report(row, tables=words), 100.0
            )
            vms = []
            for _ in range(30):
                led = _follower("operations", 2, 1)
                calls = links.LinkPool(meters)
                client = relay.RowRelay(
                    {"operations": led}, _peers(), calls, [], meters
                )
                vms.append((led, client, calls))
            began = loop.time()
            done_at = {}
            try:
                while loop.time() - began < 6 and len(done_at) < len(vms):
                    for number, (led, client, _) in enumerate(vms):
                        if led.version == 9:
                            done_at.setdefault(number, loop.time() - began)
                            continue
                        # A report each 0.25 s tells of it again.
                        client.note(teller, 100.0)
                    await asyncio.sleep(0.05)
            finally:
                for _, _, calls in vms:
                    calls.close()
                serving.cancel()
                await asyncio.wait([serving])
            late = sorted(done_at.values())[-1:] or [None]
            assert len(done_at) == len(vms), f"{len(done_at)} of {len(vms)}"
            # Twice what it takes at best.
            assert late[0] < 2.9

    asyncio.run(scenario())
