"""Which VMs read the store, and how others fetch rows from them."""

import asyncio
import os

import pytest

from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import freshness
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import readers
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from swiftstile.gateway import table_rows
from swiftstile.gateway import transfers
from swiftstile.peers import messages
from tests import gateway_builders as builders
from tests import row_parts

_TABLE = row_parts.TABLE


def _readers(peers: gossip.Peers, leads: bool = False):
    return readers.StoreReaders(peers, lambda: leads)


def test_few_vms_each_read_the_store():
    made = _readers(row_parts.near_peers(readers.MAX_INDEPENDENT_VMS - 1))
    assert made.must_read_store(_TABLE, 1.0, 100.1)


def test_many_vms_rely_on_the_readers():
    made = _readers(row_parts.near_peers(20))
    assert not made.must_read_store(_TABLE, 1.0, 100.1)


def test_the_readers_read_the_store():
    made = _readers(row_parts.near_peers(20, me="vm-00"))
    assert made.must_read_store(_TABLE, 1.0, 100.1)
    assert made.is_large_domain(100.1)


def test_the_leader_reads_the_store():
    assert _readers(row_parts.near_peers(20), leads=True).must_read_store(
        _TABLE, 1.0, 100.1
    )


def test_readers_are_the_vms_with_the_most_bandwidth():
    row = builders.node_row("vm-99", link_mbps=200.0)
    peers = row_parts.near_peers(20)
    peers.me = row
    assert _readers(peers).is_reader(100.1)


@pytest.mark.parametrize(
    ("now", "is_fresh"), [(100.9, True), (101.19, False), (102.5, False)]
)
def test_the_status_of_a_reader_without_the_store_expires(now, is_fresh):
    # The reader's last answer was 0.2 s old when it reported; peers are live
    # for 1 s after a report.
    made = _readers(row_parts.near_peers(20))
    assert made.must_read_store(_TABLE, 1.0, now) is not is_fresh


def test_the_status_of_a_leaving_reader_is_ignored():
    made = _readers(row_parts.near_peers(20, is_leaving=True))
    assert made.must_read_store(_TABLE, 1.0, 100.1)


def _follower(apply, store_readers=None) -> follow.TableFollower:
    return follow.TableFollower(
        _TABLE, builders.MemoryTable(), apply, store_readers=store_readers
    )


def _snapshot(version, *rows) -> interfaces.Snapshot:
    return interfaces.Snapshot(
        [interfaces.Change(key, value, at) for key, value, at in rows], version
    )


def test_peers_get_changes_and_removals_since_their_version():
    follower = _follower(lambda _: None)
    follower.accept(_snapshot(3, ("a", b"1", 2), ("b", b"1", 3)), True)
    follower.accept(_snapshot(5, ("a", b"2", 4), ("b", None, 5)), False)
    changed = follower.changes_since(3)
    assert [(c.key, c.value) for c in changed] == [("a", b"2"), ("b", None)]
    assert follower.changes_since(4) == [interfaces.Change("b", None, 5)]
    # Removals before the first read aren't known.
    assert follower.changes_since(1) is None


def test_old_removals_are_dropped_and_all_rows_are_sent(monkeypatch):
    monkeypatch.setattr(table_rows, "MAX_REMOVED_ROWS", 2)
    follower = _follower(lambda _: None)
    rows = [(name, b"1", 2) for name in "abcd"]
    follower.accept(_snapshot(2, *rows), True)
    for at, name in enumerate("abc", start=3):
        follower.accept(_snapshot(at, (name, None, at)), False)
    assert follower.changes_since(2) is None
    assert [c.key for c in follower.changes_since(3)] == ["b", "c"]


def test_a_dependent_vm_fetches_newer_rows_from_a_reader():
    async def scenario():
        # The reader.
        table = _follower(lambda _: None)
        table.accept(_snapshot(2, ("x", b"1", 2)), True)
        table.accept(_snapshot(9, ("x", b"2", 8)), False)
        server = relay.RowRelay(
            {_TABLE: table},
            row_parts.near_peers(20),
            None,
            [],
            metrics.Meters(),
        )
        # The dependent VM.
        seen = []
        dependent = _follower(seen.extend, row_parts.ActiveReaders())
        dependent.accept(_snapshot(2, ("x", b"1", 2)), True)
        dependent.is_loaded = True
        asked = []

        class _Link:

            async def call(self, message, expected, timeout_s):
                asked.append(message)
                return await server.handle(message)

        class _Links:

            def to(self, address):
                return _Link()

        peers = row_parts.near_peers(20)
        client = relay.RowRelay(
            {_TABLE: dependent}, peers, _Links(), [], metrics.Meters()
        )
        peer = peers.by_node["vm-10"]
        peer.report.tables[_TABLE] = reports.TableStatus(8, 0.1)
        client.on_report(peer, 100.1)
        # A second report before the answer causes no further request.
        client.on_report(peer, 100.1)
        async with asyncio.timeout(2):
            while dependent.version < 9:
                await asyncio.sleep(0.01)
        assert asked == [messages.RowsRequest(_TABLE, 2)]
        assert dependent.rows["x"].value == b"2"
        client.on_report(peer, 100.2)
        await asyncio.sleep(0.01)
        assert len(asked) == 1

    asyncio.run(scenario())


def test_rows_that_a_peer_publishes_and_does_not_deliver_are_read_directly():
    # Guards against VMs that keep an old configuration though reports of their
    # readers arrive. Suspected on the enlarged haddad-gw site, where some were
    # 5 s behind.
    async def scenario():
        dependent = _follower(lambda _: None, row_parts.ActiveReaders())
        dependent.accept(_snapshot(2, ("x", b"1", 2)), True)
        assert dependent.follows_peers(100.0)

        class _TimingOutLink:

            async def call(self, message, expected, timeout_s):
                raise errors.PeerTimeoutError("no answer", step="call")

            def to(self, address):
                return self

        peers = row_parts.near_peers(20)
        client = relay.RowRelay(
            {_TABLE: dependent}, peers, _TimingOutLink(), [], metrics.Meters()
        )
        peer = peers.by_node["vm-10"]
        peer.report.tables[_TABLE] = reports.TableStatus(8, 0.1)
        client.on_report(peer, 100.0)
        await asyncio.sleep(0.01)
        assert dependent.follows_peers(100.3)
        client.on_report(peer, 100.4)
        await asyncio.sleep(0.01)
        assert not dependent.follows_peers(
            100.0 + freshness.LAG_TOLERANCE_S + 0.01
        )
        # Once it has the rows it relies on peers again.
        dependent.accept(_snapshot(9, ("x", b"2", 8)), False)
        assert dependent.follows_peers(101.0)

    asyncio.run(scenario())


def test_rows_dont_take_a_readers_age_while_some_are_missing():
    # Guards against 404 from VMs whose configuration is seconds old. A peer
    # published a newer row, the row didn't arrive, and the VM took the age of
    # the peer's status for that of its own rows. A follower alone that knew of
    # version 8 and had version 2 showed an age of 4.4 s at any time.
    dependent = _follower(lambda _: None, row_parts.ActiveReaders())
    dependent.accept(_snapshot(2, ("x", b"1", 2)), True)
    dependent._record_peer_coverage(100.0)
    before = dependent.contact_at
    dependent.record_reported_version(8, 100.1)
    dependent._record_peer_coverage(100.2)
    assert dependent.contact_at == before
    dependent.accept(_snapshot(8, ("x", b"2", 8)), False)
    dependent._record_peer_coverage(100.4)
    assert dependent.contact_at == pytest.approx(before + 0.4)


def test_a_dependent_vm_does_not_call_the_store():
    async def scenario():
        table = builders.MemoryTable()
        table.apply([], [interfaces.Write("a", b"1")])
        follower = follow.TableFollower(
            _TABLE,
            table,
            lambda _: None,
            store_readers=row_parts.ActiveReaders(),
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(2):
            while not follower.is_loaded:
                await asyncio.sleep(0.01)
        table.apply([], [interfaces.Write("a", b"2")])
        await asyncio.sleep(3 * follow.PEER_CHECK_INTERVAL_S)
        task.cancel()
        assert table.probes == []
        assert follower.rows["a"].value == b"1"

    asyncio.run(scenario())


def test_two_of_four_vms_read_the_gateways_own_table():
    # Observed on armor-encheres: calls to the store cost 0.032 of the worth of
    # a steady day, half of them for the key maps, which each of 12 VMs
    # followed.
    def follows(me: str) -> bool:
        others = [f"vm-{i}" for i in range(1, 5) if f"vm-{i}" != me]
        peers = gossip.Peers(builders.node_row(me), lambda *_: None)
        for name in others:
            row = builders.node_row(name)
            reported = {"state": reports.TableStatus(7, 0.1)}
            report = builders.report(row, tables=reported)
            peers.by_node[row.node] = builders.peer(row, report, 100.0)
        made = readers.StoreReaders(
            peers, lambda: False, readers.MAX_INDEPENDENT_VMS_FOR_STATE
        )
        return made.must_read_store("state", 4.0, 100.0)

    assert [follows(f"vm-{i}") for i in range(1, 5)] == [
        True,
        True,
        False,
        False,
    ]


def _large_table() -> follow.TableFollower:
    table = _follower(lambda _: None)
    rows = (("x", os.urandom(4 * transfers.PIECE_BYTES), 8),)
    table.is_loaded = True
    table.accept(_snapshot(9, *rows), True)
    return table


def _ask_losing(*lost: int):
    """Returns the link and the table of a VM that fetches over a lossy link."""

    async def scenario():
        server = relay.RowRelay(
            {_TABLE: _large_table()},
            row_parts.near_peers(20),
            None,
            [],
            metrics.Meters(),
        )
        dependent = _follower(lambda _: None, row_parts.ActiveReaders())
        dependent.accept(_snapshot(2, ("x", b"1", 2)), True)
        dependent.is_loaded = True
        link = row_parts.LosingLink(server, *lost)
        peers = row_parts.near_peers(20)
        client = relay.RowRelay(
            {_TABLE: dependent}, peers, link, [], metrics.Meters()
        )
        peer = peers.by_node["vm-10"]
        peer.report.tables[_TABLE] = reports.TableStatus(8, 0.1)
        client.on_report(peer, 100.0)
        async with asyncio.timeout(2):
            while client._fetches:
                await asyncio.sleep(0.01)
        return link, dependent

    return asyncio.run(scenario())


def test_only_a_lost_piece_is_requested_again():
    link, dependent = _ask_losing(3, 4)
    offsets = [
        request.offset
        for request in link.asked
        if isinstance(request, messages.PieceRequest)
    ]
    assert dependent.version == 9
    step = transfers.PIECE_BYTES
    assert offsets == [step, 2 * step, 2 * step, 2 * step, 3 * step, 4 * step]


def test_a_peer_that_keeps_losing_a_piece_is_given_up():
    link, dependent = _ask_losing(*range(3, 3 + relay.PIECE_ATTEMPTS))
    assert dependent.version == 2
    assert len(link.asked) == 2 + relay.PIECE_ATTEMPTS


def test_the_store_is_not_called_while_a_peer_delivers_rows():
    dependent = _follower(lambda _: None, row_parts.ActiveReaders())
    dependent.accept(_snapshot(2, ("x", b"1", 2)), True)
    dependent.is_loaded = True
    dependent.record_reported_version(8, 100.0)
    dependent.record_progress(100.4)
    assert dependent.follows_peers(100.4 + freshness.LAG_TOLERANCE_S)
    assert not dependent.follows_peers(100.41 + freshness.LAG_TOLERANCE_S)


def test_each_received_piece_is_recorded_as_progress(monkeypatch):
    noted = []
    monkeypatch.setattr(
        follow.TableFollower,
        "record_progress",
        lambda _, now: noted.append(now),
    )
    _ask_losing()
    assert len(noted) >= 4
