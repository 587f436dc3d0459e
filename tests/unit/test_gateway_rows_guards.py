"""Which rows peers get, and that one fetch doesn't delay another."""

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
        store_readers=row_parts.ActiveReaders(),
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
    request = messages.RowsRequest("operations", version)
    first = asyncio.run(server.handle(request))
    return transfers.IncomingRows(first).rows()


def test_an_answer_has_all_rows_after_the_peers_version():
    reader = _follower("operations", 3, ("a", b"1", 2))
    change = interfaces.Change("b", b"1", 5)
    reader.accept(interfaces.Snapshot([change], 9), False)
    server = _relay([reader])
    assert [row.key for row in _ask(server, 5).rows] == []
    assert [row.key for row in _ask(server, 4).rows] == ["b"]
    assert [row.key for row in _ask(server, 1).rows] == ["a", "b"]


def test_a_retained_answer_is_not_served_after_a_newer_version():
    reader = _follower("operations", 3, ("a", b"1", 2))
    server = _relay([reader])
    assert _ask(server, 1).version == 3
    change = interfaces.Change("a", b"2", 5)
    reader.accept(interfaces.Snapshot([change], 9), False)
    assert _ask(server, 1).version == 9


def test_a_retained_answer_is_not_served_after_a_whole_read():
    # A row was written and removed while the reader's calls failed. The reader
    # then read all rows again and found no change. A VM that the store refuses,
    # and that has seen only the written row, asks this reader. The answer
    # retained from before the read is older than what the VM knows, so it kept
    # the removed row.
    reader = _follower("operations", 3, ("a", b"1", 2))
    server = _relay([reader])
    assert _ask(server, 1).version == 3
    reader.accept(
        interfaces.Snapshot([interfaces.Change("a", b"1", 2)], 9), True
    )
    peer = _follower("operations", 6, ("a", b"1", 2), ("removed", b"1", 5))
    answer = _ask(server, peer.version)
    assert answer.version == 9
    changes = [
        interfaces.Change(r.key, r.value, r.version) for r in answer.rows
    ]
    peer.accept(interfaces.Snapshot(changes, answer.version), answer.is_whole)
    assert set(peer.rows) == {"a"}


def test_a_configuration_of_many_routes_is_compressed():
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
    """A link to a peer that never answers for one table.

    Attributes:
        asked: Names of the tables of all requests.
    """

    def __init__(self, unanswered: str):
        self._unanswered = unanswered
        self.asked = []

    def to(self, address):
        return self

    async def call(self, message, expected, timeout_s):
        self.asked.append(message.table)
        if message.table == self._unanswered:
            await asyncio.get_running_loop().create_future()
        rows = messages.Rows([], 0, False)
        return transfers.OutgoingRows().begin((), lambda: rows, 0.0)


@pytest.mark.parametrize("unanswered", _NAMES)
def test_a_table_without_an_answer_delays_no_other(monkeypatch, unanswered):
    monkeypatch.setattr(relay, "RETRY_INTERVAL_S", 0.02)
    monkeypatch.setattr(relay.RowRelay, "_choose", lambda *_: "127.0.0.1:1")
    link = _Link(unanswered)
    followers = [_follower(name, 3) for name in _NAMES]
    for follower in followers:
        follower.failing_since = -1000.0

    async def scenario():
        asking = asyncio.create_task(_relay(followers, link=link).run())
        await asyncio.sleep(0.3)
        asking.cancel()

    asyncio.run(scenario())
    other = next(name for name in _NAMES if name != unanswered)
    assert link.asked.count(unanswered) == 1
    assert link.asked.count(other) > 2


def test_a_peer_gets_all_rows_after_one_that_needed_none():
    # Guards against a domain whose VMs all lose their upstreams. A peer without
    # the store answered one VM that knew as much as itself with no rows, and
    # sent the same answer to the next VM, which needed all rows. Logs showed
    # `rows from a peer` with 0 bytes, and `upstream gone` for all upstreams 2.2
    # s later.
    server = _relay([_follower("operations", 9, ("a", b"1", 2))])
    nothing = _ask(server, 9)
    assert (nothing.rows, nothing.is_whole) == ([], False)
    answer = _ask(server, 0)
    assert [row.key for row in answer.rows] == ["a"]
    assert answer.is_whole
