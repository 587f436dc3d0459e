"""A peer that dies in the middle of an answer holds nothing up.

What callers would see: a VM that the store refuses stays on its rows for 3.5 s
more, though each of its peers has newer ones.
Order of events: the store refuses a VM; a peer hands over the first piece of a
table and dies; the next piece is asked for three times, each time with twice
the time.
Cause: one question at a time for each table, however long it stands still.
Evidence: these tests without the mend; no play has shown it.
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
    """Links to peers, of which some die after their first piece.

    Attributes:
        asked: Address and kind of each question.
        most: Most questions that were under way at the same time.
    """

    def __init__(self, peers, server: relay.RowRelay, dying: int):
        self._peers = peers
        self._server = server
        self._dying = dying
        self._dead: list[str] = []
        self._under_way = 0
        self.asked: list[tuple[str, type]] = []
        self.most = 0

    def to(self, address: str) -> "_Link":
        return _Link(self, address)

    async def answer(self, address: str, message, timeout_s: float):
        self.asked.append((address, type(message)))
        self._under_way += 1
        self.most = max(self.most, self._under_way)
        try:
            if address in self._dead:
                await asyncio.sleep(timeout_s)
                raise errors.PeerTimeoutError("dead", step="call")
            if len(self._dead) < self._dying:
                self._die(address)
            return await self._server.handle(message)
        finally:
            self._under_way -= 1

    def _die(self, address: str) -> None:
        self._dead.append(address)
        for peer in self._peers.by_node.values():
            if peer.row.address == address:
                # Nothing is heard of it after a while.
                peer.heard_at = 0.0


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
        store_readers=row_parts.AlwaysLed(),
    )


def _relay(follower, peers, link) -> relay.RowRelay:
    return relay.RowRelay(
        {follower.name: follower}, peers, link, [], metrics.Meters()
    )


def _refused(dying: int):
    """Returns a relay whose table the store refuses, its table and links."""
    peers = row_parts.near_peers(10)
    for number, peer in enumerate(peers.by_node.values()):
        peer.row.address = f"127.0.0.1:{7000 + number}"
        peer.heard_at = _NEVER
    ahead = _follower()
    row = interfaces.Change("config", os.urandom(30_000), 7)
    ahead.accept(interfaces.Snapshot([row], 7), True)
    links = _Peers(peers, _relay(ahead, peers, None), dying)
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
    monkeypatch.setattr(relay, "INTERVAL_S", 0.02)
    monkeypatch.setattr(relay, "TIMEOUT_S", 0.3)


def test_another_peer_is_asked_while_a_piece_does_not_come():
    async def scenario():
        asking, follower, links = _refused(dying=1)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        (dead, _), *_ = links.asked
        pieces = links.asked.count((dead, messages.ChunkRequest))
        # The dead peer hasn't been given up yet.
        assert pieces <= relay.PIECE_TRIES - 1
        # Its question ends with the answer of the other.
        follower.failing_since = None
        await _until(lambda: not asking._asking)
        assert links.asked.count((dead, messages.ChunkRequest)) == pieces
        running.cancel()

    asyncio.run(scenario())


def test_no_more_than_two_peers_are_asked_for_a_table_at_a_time():
    async def scenario():
        asking, follower, links = _refused(dying=3)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        assert links.most == 2
        running.cancel()

    asyncio.run(scenario())


def test_a_peer_whose_pieces_come_is_the_only_one_that_is_asked():
    async def scenario():
        asking, follower, links = _refused(dying=0)
        running = asyncio.create_task(asking.run())
        await _until(lambda: follower.version == 7)
        assert links.most == 1
        assert len({address for address, _ in links.asked}) == 1
        running.cancel()

    asyncio.run(scenario())
