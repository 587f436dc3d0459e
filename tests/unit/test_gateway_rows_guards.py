"""Rows that peers ask for: what they get, and what doesn't hold them up."""

import asyncio
import json
import os

import pytest

from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import relay
from swiftstile.gateway import transfers
from swiftstile.peers import messages
from tests import gateway_builders as builders
from tests import row_parts

_NAMES = ("operations", "registrations")


def _follower(name: str, version: int, *rows) -> follow.TableFollower:
    made = follow.TableFollower(
        name,
        builders.MemoryTable(),
        lambda _: None,
        store_readers=row_parts.AlwaysLed(),
    )
    changes = [interfaces.Change(key, value, at) for key, value, at in rows]
    made.accept(interfaces.Snapshot(changes, version), True)
    return made


def _relay(followers, peers=None, link=None) -> relay.RowRelay:
    table = {follower.name: follower for follower in followers}
    return relay.RowRelay(
        table, peers or row_parts.near_peers(20), link, [], metrics.Meters()
    )


def _ask(server: relay.RowRelay, version: int) -> messages.Rows:
    question = messages.RowsRequest("operations", version)
    first = asyncio.run(server.handle(question))
    return transfers.IncomingRows(first).rows()


def test_who_knows_less_gets_more_of_the_same_version():
    reader = _follower("operations", 3, ("a", b"1", 2))
    change = interfaces.Change("b", b"1", 5)
    reader.accept(interfaces.Snapshot([change], 9), False)
    server = _relay([reader])
    assert [row.key for row in _ask(server, 5).rows] == []
    assert [row.key for row in _ask(server, 4).rows] == ["b"]
    assert [row.key for row in _ask(server, 1).rows] == ["a", "b"]


def test_an_answer_that_was_kept_is_not_given_once_there_is_a_newer_version():
    reader = _follower("operations", 3, ("a", b"1", 2))
    server = _relay([reader])
    assert _ask(server, 1).version == 3
    change = interfaces.Change("a", b"2", 5)
    reader.accept(interfaces.Snapshot([change], 9), False)
    assert _ask(server, 1).version == 9


def test_an_answer_that_was_kept_is_not_given_after_a_whole_read():
    # A row came and went while the reader had lost its table: it read all rows
    # again, and found none of them changed. A VM that saw only the row's coming
    # asks it, as the store refuses that VM. The answer kept from before the
    # read is older than what the VM knows, so it went on with a row that is
    # gone.
    reader = _follower("operations", 3, ("a", b"1", 2))
    server = _relay([reader])
    assert _ask(server, 1).version == 3
    reader.accept(
        interfaces.Snapshot([interfaces.Change("a", b"1", 2)], 9), True
    )
    peer = _follower("operations", 6, ("a", b"1", 2), ("gone", b"1", 5))
    told = _ask(server, peer.version)
    assert told.version == 9
    changes = [interfaces.Change(r.key, r.value, r.version) for r in told.rows]
    peer.accept(interfaces.Snapshot(changes, told.version), told.is_whole)
    assert set(peer.rows) == {"a"}


def test_a_configuration_of_many_routes_is_small_on_its_way():
    routes = [
        {
            "entry_type": "routes",
            "metadata": {"name": f"route-{number}"},
            "spec": {
                "host": "jepu9.example",
                "prefix": f"/{os.urandom(5).hex()}/",
                "kind": "safe",
                "service": "lookups",
                "timeout": "1200ms",
                "max_attempts": 3,
            },
        }
        for number in range(1500)
    ]
    value = json.dumps({"resources": routes}).encode()
    assert len(value) > 250_000
    server = _relay([_follower("operations", 3, ("config", value, 2))])
    first = asyncio.run(server.handle(messages.RowsRequest("operations", 1)))
    assert first.size <= 65536


class _Link:
    """A link to a peer that never answers about one table.

    Attributes:
        asked: Names of the tables that it was asked for.
    """

    def __init__(self, silent: str):
        self._silent = silent
        self.asked = []

    def to(self, address):
        return self

    async def call(self, message, expected, timeout_s):
        self.asked.append(message.table)
        if message.table == self._silent:
            await asyncio.get_running_loop().create_future()
        rows = messages.Rows([], 0, False)
        return transfers.OutgoingRows().begin((), lambda: rows, 0.0)


@pytest.mark.parametrize("silent", _NAMES)
def test_a_table_that_does_not_come_holds_up_no_other(monkeypatch, silent):
    monkeypatch.setattr(relay, "INTERVAL_S", 0.02)
    monkeypatch.setattr(relay.RowRelay, "_choose", lambda *_: "127.0.0.1:1")
    link = _Link(silent)
    followers = [_follower(name, 3) for name in _NAMES]
    for follower in followers:
        follower.failing_since = -1000.0

    async def scenario():
        asking = asyncio.create_task(_relay(followers, link=link).run())
        await asyncio.sleep(0.3)
        asking.cancel()

    asyncio.run(scenario())
    other = next(name for name in _NAMES if name != silent)
    assert link.asked.count(silent) == 1
    assert link.asked.count(other) > 2


def test_who_needs_all_rows_gets_them_after_one_that_needed_none():
    # All upstreams were gone for the VMs of a domain: a peer that had lost the
    # store answered one that knew as much as itself with no rows, and the next,
    # which needed all, with the same. Seen as `rows from a peer` with 0 bytes
    # and `upstream gone` for all of them 2.2 s later.
    server = _relay([_follower("operations", 9, ("a", b"1", 2))])
    nothing = _ask(server, 9)
    assert (nothing.rows, nothing.is_whole) == ([], False)
    told = _ask(server, 0)
    assert [row.key for row in told.rows] == ["a"]
    assert told.is_whole
