"""Which owner a request is sent to, and when there is none."""

import pytest

from swiftstile.gateway import heat
from swiftstile.gateway import owners
from tests import gateway_builders as builders
from tests import keeper_parts

_KEY = 100
_NOW = 50.0


class _Case:
    """One upstream of another domain that owns all keys, and a VM there."""

    def __init__(self, received_at: float):
        parts = keeper_parts.Parts()
        parts.book.put(
            builders.upstream("u-1", failure_domain=builders.AWAY), 0.0
        )
        parts.start(leaving=())
        row = builders.node_row("vm-9", domain=builders.AWAY)
        parts.peers.by_node[row.node] = builders.peer(
            row, builders.report(row), received_at
        )
        self.target = parts.book.by_id["u-1"]
        self.owners = owners.KeyOwners(
            parts.maps, parts.book, heat.HeatBook(), parts.peers, drain_s=2.0
        )

    def find(self):
        return self.owners.find(builders.LOOKUPS, _KEY, _NOW)


def test_an_owner_that_fails_in_a_domain_that_is_cut_off_is_not_tried_again():
    case = _Case(received_at=_NOW - 5)
    assert case.find() == (case.target, 0.0)
    # A connection to it couldn't be opened; the penalty is over by now.
    case.target.note_failure(_NOW - 1)
    assert case.find() == (None, owners.LOST_OWNER_S)


@pytest.mark.parametrize("received_at", [_NOW - 0.1, _NOW - 0.9])
def test_one_that_fails_in_a_domain_that_is_heard_is_tried_again(received_at):
    case = _Case(received_at)
    case.target.note_failure(_NOW - 1)
    assert case.find() == (case.target, 0.0)


def test_it_is_tried_again_once_its_domain_is_heard():
    case = _Case(received_at=_NOW - 5)
    case.target.note_failure(_NOW - 1)
    peer = case.owners._peers.by_node["vm-9"]
    peer.received_at = _NOW
    assert case.find() == (case.target, 0.0)
