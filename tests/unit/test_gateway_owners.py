"""Looking up the owner of a key for a request."""

import pytest

from swiftstile.gateway import key_load
from swiftstile.gateway import owners
from tests import assigner_parts
from tests import gateway_builders as builders

_KEY = 100
_NOW = 50.0


class _Case:
    """An upstream of another domain that owns all keys, and a VM there."""

    def __init__(self, received_at: float):
        parts = assigner_parts.Parts()
        parts.target_table.put(
            builders.upstream("u-1", failure_domain=builders.AWAY), 0.0
        )
        parts.start(leaving=())
        row = builders.node_row("vm-9", domain=builders.AWAY)
        parts.peers.by_node[row.node] = builders.peer(
            row, builders.report(row), received_at
        )
        self.target = parts.target_table.by_id["u-1"]
        self.owners = owners.KeyOwners(
            parts.maps,
            parts.target_table,
            key_load.KeyLoadTable(),
            parts.peers,
            drain_s=2.0,
        )

    def find(self):
        return self.owners.find(builders.LOOKUPS, _KEY, _NOW)


def test_a_failing_owner_in_a_partitioned_domain_is_not_retried():
    case = _Case(received_at=_NOW - 5)
    assert case.find() == (case.target, 0.0)
    # A connection to it couldn't be opened, and the penalty has expired.
    case.target.note_failure(_NOW - 1)
    assert case.find() == (None, owners.FAILED_OWNER_S)


@pytest.mark.parametrize("received_at", [_NOW - 0.1, _NOW - 0.9])
def test_a_failing_owner_in_a_responsive_domain_is_retried(received_at):
    case = _Case(received_at)
    case.target.note_failure(_NOW - 1)
    assert case.find() == (case.target, 0.0)


def test_an_owner_is_retried_once_its_domain_responds():
    case = _Case(received_at=_NOW - 5)
    case.target.note_failure(_NOW - 1)
    peer = case.owners._peers.by_node["vm-9"]
    peer.received_at = _NOW
    assert case.find() == (case.target, 0.0)


def test_an_owner_that_wants_a_pause_is_not_sent_requests_until_its_end():
    case = _Case(received_at=_NOW)
    case.target.backoff_until = _NOW + 2.5
    assert case.find() == (None, 2.5)
    case.target.backoff_until = _NOW
    assert case.find() == (case.target, 0.0)
