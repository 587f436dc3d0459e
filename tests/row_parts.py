"""Helpers for tests of rows that VMs fetch from each other."""

from swiftstile import errors
from swiftstile.gateway import gossip
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from tests import gateway_builders as builders

TABLE = "operations"


def near_peers(count: int, me: str = "vm-50", **reported) -> gossip.Peers:
    """Returns peers of one domain, the first two of which publish a table."""
    peers = gossip.Peers(builders.node_row(me), lambda *_: None)
    statuses = {TABLE: reports.TableStatus(7, 0.2)}
    for number in range(10, 10 + count):
        row = builders.node_row(f"vm-{number}")
        tables = statuses if number < 12 else {}
        report = builders.report(row, **({"tables": tables} | reported))
        peers.by_node[row.node] = builders.peer(row, report, received_at=100.0)
    return peers


class ActiveReaders:
    """Readers that always publish a fresh status."""

    def must_read_store(self, table, watch_s, now):
        return False

    def is_large_domain(self, now):
        return True


class LosingLink:
    """A link to a peer that loses some of its answers.

    Attributes:
        lost: Numbers of the requests whose answers are lost.
        asked: All requests.
    """

    def __init__(self, server: relay.RowRelay, *lost: int):
        self._server = server
        self.lost = set(lost)
        self.asked = []

    async def call(self, message, expected, timeout_s):
        self.asked.append(message)
        if len(self.asked) in self.lost:
            raise errors.PeerTimeoutError("lost", step="call")
        return await self._server.handle(message)

    def to(self, address):
        return self
