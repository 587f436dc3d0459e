"""Answers of different versions cross each other, and versions come in bursts.

What users may see: an upstream that is gone is sent requests again, or a
configuration comes late. Found by reading the code with its tests, not by a
failure in service.
"""

import asyncio
import base64
import json
import os

import pytest
from users_platform import store

from swiftstile import clocks
from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from swiftstile.gateway import transfers
from swiftstile.peers import messages
from tests import gateway_builders as builders
from tests import row_parts

_TABLE = "registrations"


def _snapshot(version, *rows) -> interfaces.Snapshot:
    return interfaces.Snapshot(
        [interfaces.Change(key, value, at) for key, value, at in rows], version
    )


class _Led:
    """Readers that are there, or not."""

    is_led = True

    def follows_itself(self, table, watch_s, now):
        return not self.is_led

    def is_many(self, now):
        return True

    def is_reader(self, now):
        return False


def _follower(table=None, chosen=None) -> follow.TableFollower:
    return follow.TableFollower(
        _TABLE,
        table or builders.MemoryTable(),
        lambda _: None,
        store_readers=chosen or _Led(),
    )


class _SlowTable(builders.MemoryTable):
    """A table whose next answer for changes is made before it is let go."""

    def __init__(self, answer):
        super().__init__()
        self.let_go = asyncio.Event()
        self._answer = answer

    async def wait_for_changes(self, after, wait_s):
        if self._answer is None:
            return await super().wait_for_changes(after, wait_s)
        answer, self._answer = self._answer, None
        await self.let_go.wait()
        return answer


def test_a_late_answer_of_the_store_brings_no_removed_row_back():
    async def scenario():
        # Made by the store at version 12, on its way over a slow link.
        table = _SlowTable(_snapshot(12, ("gone", b"1", 12)))
        chosen = _Led()
        chosen.is_led = False
        follower = _follower(table, chosen)
        follower.accept(_snapshot(10, ("other", b"1", 9)), True)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        # A peer is quicker: the row came and went by version 20.
        follower.accept(_snapshot(20, ("gone", None, 15)), False)
        chosen.is_led = True
        table.let_go.set()
        await asyncio.sleep(0.05)
        running.cancel()
        assert follower.version == 20
        assert "gone" not in follower.rows

    asyncio.run(scenario())


def test_removals_that_a_whole_read_skipped_are_not_left_out_for_peers():
    # Of a VM whose history was dropped: it never saw row `gone`, which was
    # there from version 20 to 25.
    follower = _follower()
    follower.accept(_snapshot(10, ("a", b"1", 9)), True)
    follower.accept(_snapshot(30, ("a", b"1", 9)), True)
    # A peer that read the table at version 22 has that row.
    peer = _follower()
    peer.accept(_snapshot(22, ("a", b"1", 9), ("gone", b"1", 20)), True)
    changed = follower.since(peer.version)
    is_whole = changed is None
    rows = list(follower.rows.values()) if is_whole else changed
    peer.accept(interfaces.Snapshot(rows, follower.version), is_whole)
    assert peer.version == 30
    assert "gone" not in peer.rows


class _Pages(store.StoreClient):
    """A store of which a table is read in two pages."""

    def __init__(self, *pages):
        super().__init__("127.0.0.1:1")
        self._pages = list(pages)

    async def query(self, path, params, timeout_s):
        return 200, json.dumps(self._pages.pop(0)).encode()


def _page(ver, has_more, *keys):
    value = base64.b64encode(b"x").decode()
    rows = [{"key": key, "value": value, "ver": 3} for key in keys]
    return {"rows": rows, "ver": ver, "has_more": has_more}


def test_changes_between_two_pages_of_a_table_are_still_asked_for():
    # Row `a` is removed at version 8, after the first page was read.
    client = _Pages(_page(7, True, "a", "b"), _page(9, False, "c"))
    snapshot = asyncio.run(store.StoreTable(client, "t").read_all())
    # Changes are followed from this version on.
    assert snapshot.version <= 7


def test_a_vm_that_gets_each_version_in_time_stays_led_through_a_burst(
    monkeypatch,
):
    # A version each 60 ms, each handed over 80 ms after it was told of.
    follower = _follower()
    follower.accept(_snapshot(1, ("x", b"1", 1)), True)
    events = []
    for step in range(50):
        told_at = 100.0 + 0.06 * step
        events.append((told_at, "told", step + 2))
        events.append((told_at + 0.08, "rows", step + 2))
    for now, kind, version in sorted(events):
        monkeypatch.setattr(clocks, "monotonic", lambda now=now: now)
        if kind == "told":
            follower.note_told(version, now)
        else:
            follower.accept(_snapshot(version, ("x", b"1", version)), False)
        assert follower.is_led(now), f"not led {now - 100:.2f} s into the burst"


def test_a_peer_that_tells_of_newer_rows_is_asked_while_the_store_refuses():
    # Left behind once, then refused by the store: the peers that have the rows
    # say so with each report.
    async def scenario():
        table = builders.MemoryTable()
        follower = _follower(table)
        follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        follower.note_told(8, 100.0)
        follower.failing_since = 100.5
        assert not follower.is_led(101.0)
        link = row_parts.LosingLink(_server(9))
        client = relay.RowRelay(
            {_TABLE: follower},
            row_parts.near_peers(20),
            link,
            [],
            metrics.Meters(),
        )
        row = builders.node_row("vm-10")
        words = {_TABLE: reports.TableWord(8, 0.1)}
        teller = builders.peer(row, builders.report(row, tables=words), 101.0)
        client.note(teller, 101.0)
        await asyncio.sleep(0.05)
        assert follower.version == 9

    asyncio.run(scenario())


def test_peers_that_have_the_newer_rows_are_asked_first():
    # 20 VMs of a domain are heard, one of which told of newer rows; the others
    # take theirs from it and may have none.
    peers = row_parts.near_peers(20, tables={})
    for node, peer in peers.by_node.items():
        peer.row = builders.node_row(node, address=f"{node}:1")
    teller = peers.by_node["vm-17"]
    teller.report.tables = {_TABLE: reports.TableWord(8, 0.1)}
    follower = _follower()
    follower.accept(_snapshot(2, ("x", b"1", 2)), True)
    client = relay.RowRelay(
        {_TABLE: follower}, peers, None, [], metrics.Meters()
    )
    assert client._choose(follower, 100.1) == teller.row.address


def test_a_read_that_a_peer_overtakes_is_no_failure_of_the_store():
    # A VM reads the whole table over a narrow link; a peer's rows come first.
    class _Overtaken(builders.MemoryTable):

        async def wait_for_changes(self, after, wait_s):
            if after < 12:
                return None
            return await super().wait_for_changes(after, 0.1)

        async def read_all(self):
            follower.accept(_snapshot(12, ("x", b"2", 12)), True)
            return _snapshot(11, ("x", b"1", 3))

    async def scenario():
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.02)
        assert follower.version == 12
        assert follower.failing_since is None
        running.cancel()

    chosen = _Led()
    chosen.is_led = False
    table = _Overtaken()
    follower = _follower(table, chosen)
    follower.accept(_snapshot(10, ("x", b"1", 3)), True)
    asyncio.run(scenario())


def _server(version: int, size: int = 10) -> relay.RowRelay:
    table = _follower()
    rows = (("x", os.urandom(size), version),)
    table.accept(_snapshot(version, *rows), True)
    return relay.RowRelay(
        {_TABLE: table}, row_parts.near_peers(20), None, [], metrics.Meters()
    )


def test_one_encoding_serves_vms_that_lack_the_same_row(monkeypatch):
    # Each VM's version is the store's as of its own last call, so no two need
    # to be the same, though all lack the same row.
    encoded = []
    encode = transfers._encode
    monkeypatch.setattr(
        transfers, "_encode", lambda rows: encoded.append(1) or encode(rows)
    )

    async def scenario():
        server = _server(500, 30_000)
        for version in range(100, 280):
            await server.handle(messages.RowsRequest(_TABLE, version))

    asyncio.run(scenario())
    assert len(encoded) <= 2


def test_many_vms_fetch_the_same_rows_to_their_end():
    # 100 VMs, each with a version of its own, fetch 96 kB.
    async def scenario():
        server = _server(500, 96_000)
        incoming = [
            transfers.IncomingRows(
                await server.handle(messages.RowsRequest(_TABLE, version))
            )
            for version in range(100, 200)
        ]
        lost = 0
        for one in incoming:
            try:
                while not one.is_whole:
                    question = messages.ChunkRequest(one.number, one.received)
                    one.add(await server.handle(question))
            except errors.ControlMessageError:
                lost += 1
        assert lost == 0

    asyncio.run(scenario())


class _NeverEnding(builders.MemoryTable):
    """A table whose answers take longer than any test.

    Attributes:
        calls: Calls that were begun.
        under_way: Those that weren't given up.
    """

    def __init__(self):
        super().__init__()
        self.calls = self.under_way = 0

    async def wait_for_changes(self, after, wait_s):
        return await self._never()

    async def read_all(self):
        return await self._never()

    async def _never(self):
        self.calls += 1
        self.under_way += 1
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.under_way -= 1


@pytest.mark.parametrize("is_loaded", [True, False])
def test_an_answer_that_a_peer_overtook_is_given_up(is_loaded):
    # What users saw: after the store had turned all VMs away, those on narrow
    # links read each version of a large configuration that they had missed, up
    # to 5.4 s, though their peers had handed over the newest long before.
    async def scenario():
        table, chosen = _NeverEnding(), _Led()
        chosen.is_led = False
        follower = _follower(table, chosen)
        if is_loaded:
            follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        assert (table.calls, table.under_way) == (1, 1)
        chosen.is_led = True
        follower.accept(_snapshot(9, ("x", b"2", 8)), not is_loaded)
        await asyncio.sleep(0.02)
        assert (table.calls, table.under_way) == (1, 0)
        # Its own end isn't held up.
        running.cancel()
        await asyncio.wait([running], timeout=1)
        assert running.cancelled()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_loaded", [True, False])
def test_a_vm_asks_a_peer_that_is_ahead_while_the_store_answers(is_loaded):
    # Left behind for longer than a peer is waited for, or just started: the
    # store's answer is on its way, and the peer's may be quicker.
    async def scenario():
        follower = _follower(_NeverEnding())
        if is_loaded:
            follower.accept(_snapshot(2, ("x", b"1", 2)), True)
            follower.note_told(8, 100.0)
            assert not follower.is_led(101.0)
        client = relay.RowRelay(
            {_TABLE: follower},
            row_parts.near_peers(20),
            row_parts.LosingLink(_server(9)),
            [],
            metrics.Meters(),
        )
        row = builders.node_row("vm-10")
        words = {_TABLE: reports.TableWord(8, 0.1)}
        told = builders.report(row, tables=words)
        client.note(builders.peer(row, told, 101.0), 101.0)
        await asyncio.sleep(0.05)
        assert follower.version == 9

    asyncio.run(scenario())


def test_rows_of_peers_do_not_make_a_vm_ask_a_silent_store_more_often():
    async def scenario():
        table, chosen = _NeverEnding(), _Led()
        chosen.is_led = False
        follower = _follower(table, chosen)
        follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        follower.failing_since = clocks.monotonic()
        running = asyncio.create_task(follower.run())
        for version in range(10, 50):
            follower.accept(_snapshot(version, ("x", b"2", version)), False)
            await asyncio.sleep(0.005)
        running.cancel()
        # Once at first, and after each of the shortest pauses at most.
        assert table.calls <= 1 + 0.3 / (0.7 * follow.FIRST_PAUSE_S)

    asyncio.run(scenario())
