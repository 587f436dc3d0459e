"""A peer that fails in the middle of an answer doesn't delay rows.

While the store refuses a VM, a peer delivers the first piece of a table and
fails; the next piece is requested three times, with a doubled timeout each. As
there was only one fetch for each table, the VM kept its old rows for 3.5 s more
though each of its other peers had newer ones.
"""

import asyncio
import os

import pytest

from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import relay
from swiftstile.peers import messages
from tests import gateway_builders as builders
from tests import row_parts

_NEVER = 1e9


class _Peers:
    """Links to peers, some of which fail after their first piece.

    Attributes:
        asked: Address and type of each request.
        max_concurrent: Maximum number of requests in progress at the same time.
    """

    def __init__(self, peers, server: relay.RowRelay, failing_count: int):
        self._peers = peers
        self._server = server
        self._failing_count = failing_count
        self._failed: list[str] = []
        self._in_progress = 0
        self.asked: list[tuple[str, type]] = []
        self.max_concurrent = 0

    def to(self, address: str) -> "_Link":
        return _Link(self, address)

    async def answer(self, address: str, message, timeout_s: float):
        self.asked.append((address, type(message)))
        self._in_progress += 1
        self.max_concurrent = max(self.max_concurrent, self._in_progress)
        try:
            if address in self._failed:
                await asyncio.sleep(timeout_s)
                raise errors.PeerTimeoutError("no answer", step="call")
            if len(self._failed) < self._failing_count:
                self._fail(address)
            return await self._server.handle(message)
        finally:
            self._in_progress -= 1

    def _fail(self, address: str) -> None:
        self._failed.append(address)
        for peer in self._peers.by_node.values():
            if peer.row.address == address:
                # Its reports stop.
                peer.received_at = 0.0


class _Link:

    def __init__(self, peers: _Peers, address: str):
        self._peers, self._address = peers, address

    async def call(self, message, expected, timeout_s):
        return await self._peers.answer(self._address, message, timeout_s)


def _follower() -> follow.TableFollower:
    return follow.TableFollower(
        row_parts.TABLE,
        builders.MemoryTable(),
        lambda _: None,
        store_readers=row_parts.ActiveReaders(),
    )


def _relay(follower, peers, link) -> relay.RowRelay:
    return relay.RowRelay(
        {follower.name: follower}, peers, link, [], metrics.Meters()
    )


def _refused(failing_count: int):
    """Returns a relay that the store refuses, its table and its links."""
    peers = row_parts.near_peers(10)
    for number, peer in enumerate(peers.by_node.values()):
        peer.row.address = f"127.0.0.1:{7000 + number}"
        peer.received_at = _NEVER
    ahead = _follower()
    row = interfaces.Change("config", os.urandom(30_000), 7)
    ahead.accept(interfaces.Snapshot([row], 7), True)
    links = _Peers(peers, _relay(ahead, peers, None), failing_count)
    behind = _follower()
    behind.accept(interfaces.Snapshot([], 1), True)
    behind.failing_since = -1000.0
    return _relay(behind, peers, links), behind, links


async def _until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def _quick(monkeypatch):
    monkeypatch.setattr(relay, "RETRY_INTERVAL_S", 0.02)
    monkeypatch.setattr(relay, "PIECE_TIMEOUT_S", 0.3)


def test_another_peer_is_asked_while_a_piece_is_late():
    async def scenario():
        asking, follower, links = _refused(failing_count=1)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        (failed, _), *_ = links.asked
        pieces = links.asked.count((failed, messages.PieceRequest))
        # The failed peer hasn't been given up yet.
        assert pieces <= relay.PIECE_ATTEMPTS - 1
        # Its fetch ends with the answer of the other peer.
        follower.failing_since = None
        await _until(lambda: not asking._fetches)
        assert links.asked.count((failed, messages.PieceRequest)) == pieces
        running.cancel()

    asyncio.run(scenario())


def test_at_most_two_peers_are_asked_for_a_table_concurrently():
    async def scenario():
        asking, follower, links = _refused(failing_count=3)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        assert links.max_concurrent == 2
        running.cancel()

    asyncio.run(scenario())


def test_no_other_peer_is_asked_while_pieces_arrive_in_time():
    async def scenario():
        asking, follower, links = _refused(failing_count=0)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        assert links.max_concurrent == 1
        assert len({address for address, _ in links.asked}) == 1
        running.cancel()

    asyncio.run(scenario())
