"""Answers of different versions that overlap, and bursts of versions.

Users might see requests sent to an upstream that has left, or a configuration
that comes into force late. Found by reviewing the code and its tests, not by a
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


class _SwitchableReaders:
    """Readers that can be switched on and off."""

    are_active = True

    def must_read_store(self, table, watch_s, now):
        return not self.are_active

    def is_large_domain(self, now):
        return True

    def is_reader(self, now):
        return False


def _follower(table=None, chosen=None) -> follow.TableFollower:
    return follow.TableFollower(
        _TABLE,
        table or builders.MemoryTable(),
        lambda _: None,
        store_readers=chosen or _SwitchableReaders(),
    )


class _SlowTable(builders.MemoryTable):
    """A table that computes its next answer before it is allowed to send it."""

    def __init__(self, answer):
        super().__init__()
        self.released = asyncio.Event()
        self._answer = answer

    async def wait_for_changes(self, after, wait_s):
        if self._answer is None:
            return await super().wait_for_changes(after, wait_s)
        answer, self._answer = self._answer, None
        await self.released.wait()
        return answer


def test_a_late_answer_of_the_store_restores_no_removed_row():
    async def scenario():
        # Computed by the store at version 12, and delayed by a slow link.
        table = _SlowTable(_snapshot(12, ("removed", b"1", 12)))
        chosen = _SwitchableReaders()
        chosen.are_active = False
        follower = _follower(table, chosen)
        follower.accept(_snapshot(10, ("other", b"1", 9)), True)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        # A peer's answer arrives first: the row was written and removed by
        # version 20.
        follower.accept(_snapshot(20, ("removed", None, 15)), False)
        chosen.are_active = True
        table.released.set()
        await asyncio.sleep(0.05)
        running.cancel()
        assert follower.version == 20
        assert "removed" not in follower.rows

    asyncio.run(scenario())


def test_removals_that_a_whole_read_skipped_reach_peers():
    # A VM whose change history expired never saw row `removed`, which existed
    # from version 20 to 25.
    follower = _follower()
    follower.accept(_snapshot(10, ("a", b"1", 9)), True)
    follower.accept(_snapshot(30, ("a", b"1", 9)), True)
    # A peer that read the table at version 22 has that row.
    peer = _follower()
    peer.accept(_snapshot(22, ("a", b"1", 9), ("removed", b"1", 20)), True)
    changed = follower.changes_since(peer.version)
    is_whole = changed is None
    rows = list(follower.rows.values()) if is_whole else changed
    peer.accept(interfaces.Snapshot(rows, follower.version), is_whole)
    assert peer.version == 30
    assert "removed" not in peer.rows


class _Pages(store.StoreClient):
    """A store that returns a table in two pages."""

    def __init__(self, *pages):
        super().__init__("127.0.0.1:1")
        self._pages = list(pages)

    async def query(self, path, params, timeout_s):
        body = json.dumps(self._pages.pop(0)).encode()
        return store.Answer(200, body, self.generation)


def _page(ver, has_more, *keys):
    value = base64.b64encode(b"x").decode()
    rows = [{"key": key, "value": value, "ver": 3} for key in keys]
    return {"rows": rows, "ver": ver, "has_more": has_more}


def test_changes_between_two_pages_of_a_table_are_read_again():
    # Row `a` is removed at version 8, after the first page was read.
    client = _Pages(_page(7, True, "a", "b"), _page(9, False, "c"))
    snapshot = asyncio.run(store.StoreTable(client, "t").read_all())
    # Changes are read from this version on.
    assert snapshot.version <= 7


def test_a_vm_follows_peers_through_a_burst_of_versions(
    monkeypatch,
):
    # A version every 60 ms, each delivered 80 ms after it was published.
    follower = _follower()
    follower.accept(_snapshot(1, ("x", b"1", 1)), True)
    events = []
    for step in range(50):
        published_at = 100.0 + 0.06 * step
        events.append((published_at, "published", step + 2))
        events.append((published_at + 0.08, "rows", step + 2))
    for now, kind, version in sorted(events):
        monkeypatch.setattr(clocks, "monotonic", lambda now=now: now)
        if kind == "published":
            follower.record_reported_version(version, now)
        else:
            follower.accept(_snapshot(version, ("x", b"1", version)), False)
        assert follower.follows_peers(
            now
        ), f"read from the store {now - 100:.2f} s into the burst"


def test_a_peer_with_newer_rows_is_asked_while_the_store_refuses():
    # A VM lags and is then refused by the store; the peers that have the rows
    # publish them with each report.
    async def scenario():
        table = builders.MemoryTable()
        follower = _follower(table)
        follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        follower.record_reported_version(8, 100.0)
        follower.failing_since = 100.5
        assert not follower.follows_peers(101.0)
        link = row_parts.LosingLink(_server(9))
        client = relay.RowRelay(
            {_TABLE: follower},
            row_parts.near_peers(20),
            link,
            [],
            metrics.Meters(),
        )
        row = builders.node_row("vm-10")
        statuses = {_TABLE: reports.TableStatus(8, 0.1)}
        publisher = builders.peer(
            row, builders.report(row, tables=statuses), 101.0
        )
        client.on_report(publisher, 101.0)
        await asyncio.sleep(0.05)
        assert follower.version == 9

    asyncio.run(scenario())


def test_peers_that_have_the_newer_rows_are_asked_first():
    # 20 VMs of a domain are live and one of them published newer rows; the
    # others fetch theirs from it and may have none.
    peers = row_parts.near_peers(20, tables={})
    for node, peer in peers.by_node.items():
        peer.row = builders.node_row(node, address=f"{node}:1")
    publisher = peers.by_node["vm-17"]
    publisher.report.tables = {_TABLE: reports.TableStatus(8, 0.1)}
    follower = _follower()
    follower.accept(_snapshot(2, ("x", b"1", 2)), True)
    client = relay.RowRelay(
        {_TABLE: follower}, peers, None, [], metrics.Meters()
    )
    assert client._choose(follower, 100.1) == publisher.row.address


def test_a_read_overtaken_by_a_peer_is_not_a_failure():
    # A VM reads the whole table over a narrow link; a peer's rows arrive first.
    class _OvertakenTable(builders.MemoryTable):

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

    chosen = _SwitchableReaders()
    chosen.are_active = False
    table = _OvertakenTable()
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
    # Each VM's version is the store's as of its own last call, so they all
    # differ though all VMs lack the same row.
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
        failed = 0
        for one in incoming:
            try:
                while not one.is_whole:
                    request = messages.PieceRequest(one.number, one.received)
                    one.add(await server.handle(request))
            except errors.ControlMessageError:
                failed += 1
        assert failed == 0

    asyncio.run(scenario())


class _HangingTable(builders.MemoryTable):
    """A table whose answers take longer than any test.

    Attributes:
        calls: Number of calls.
        in_progress: Number of calls that weren't cancelled.
    """

    def __init__(self):
        super().__init__()
        self.calls = self.in_progress = 0

    async def wait_for_changes(self, after, wait_s):
        return await self._hang()

    async def read_all(self):
        return await self._hang()

    async def _hang(self):
        self.calls += 1
        self.in_progress += 1
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.in_progress -= 1


@pytest.mark.parametrize("is_loaded", [True, False])
def test_an_answer_overtaken_by_a_peer_is_cancelled(is_loaded):
    # Observed: after the store had refused all VMs, those on narrow links read
    # each version of a large configuration that they had missed, for up to 5.4
    # s, though their peers had delivered the newest one long before.
    async def scenario():
        table, chosen = _HangingTable(), _SwitchableReaders()
        chosen.are_active = False
        follower = _follower(table, chosen)
        if is_loaded:
            follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        assert (table.calls, table.in_progress) == (1, 1)
        chosen.are_active = True
        follower.accept(_snapshot(9, ("x", b"2", 8)), not is_loaded)
        await asyncio.sleep(0.02)
        assert (table.calls, table.in_progress) == (1, 0)
        # The follower itself can be cancelled without delay.
        running.cancel()
        await asyncio.wait([running], timeout=1)
        assert running.cancelled()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_loaded", [True, False])
def test_a_vm_asks_a_peer_that_is_ahead_while_the_store_answers(is_loaded):
    # A VM that lags for longer than the tolerance, or has just started: the
    # store's answer is on the way, and the peer's may arrive first.
    async def scenario():
        follower = _follower(_HangingTable())
        if is_loaded:
            follower.accept(_snapshot(2, ("x", b"1", 2)), True)
            follower.record_reported_version(8, 100.0)
            assert not follower.follows_peers(101.0)
        client = relay.RowRelay(
            {_TABLE: follower},
            row_parts.near_peers(20),
            row_parts.LosingLink(_server(9)),
            [],
            metrics.Meters(),
        )
        row = builders.node_row("vm-10")
        statuses = {_TABLE: reports.TableStatus(8, 0.1)}
        reported = builders.report(row, tables=statuses)
        client.on_report(builders.peer(row, reported, 101.0), 101.0)
        await asyncio.sleep(0.05)
        assert follower.version == 9

    asyncio.run(scenario())


def test_rows_of_peers_cause_no_calls_to_an_unresponsive_store():
    async def scenario():
        table, chosen = _HangingTable(), _SwitchableReaders()
        chosen.are_active = False
        follower = _follower(table, chosen)
        follower.accept(_snapshot(2, ("x", b"1", 2)), True)
        follower.failing_since = clocks.monotonic()
        running = asyncio.create_task(follower.run())
        for version in range(10, 50):
            follower.accept(_snapshot(version, ("x", b"2", version)), False)
            await asyncio.sleep(0.005)
        running.cancel()
        # One call at first, and at most one after each of the shortest pauses.
        assert table.calls <= 1 + 0.3 / (0.7 * follow.INITIAL_BACKOFF_S)

    asyncio.run(scenario())
