"""A VM that shuts down gracefully stops granting, and reports it."""

import asyncio

import pytest

from swiftstile import errors
from swiftstile.gateway import keymap
from tests import assigner_parts
from tests import gateway_builders as builders


def _parts(with_others: bool) -> tuple[assigner_parts.Parts, keymap.KeyMap]:
    parts = assigner_parts.Parts()
    current = parts.start(leaving=())
    if with_others:
        row = builders.node_row("vm-2")
        parts.peers.by_node[row.node] = builders.peer(
            row, builders.report(row), received_at=100.0
        )
    return parts, current


def _grant(parts, current) -> None:
    grant = parts.renewer.grant_and_record(
        builders.LOOKUPS,
        parts.target_table.by_id["u-1"],
        range(0, 1),
        current.keys_of(0),
        1,
        5.0,
        "",
        lambda: True,
    )
    asyncio.run(grant)


@pytest.fixture(autouse=True)
def _clock(monkeypatch):
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: 100.0)


def test_a_granting_vm_reports_no_end_of_its_grants():
    parts, current = _parts(with_others=True)
    _grant(parts, current)
    assert parts.renewer.grants_end_s(100.0) is None


def test_a_stopped_vm_reports_when_its_grants_end():
    parts, current = _parts(with_others=True)
    _grant(parts, current)
    assert parts.renewer.stop(100.0)
    assert parts.renewer.grants_end_s(100.0) == pytest.approx(5.25)
    assert parts.renewer.grants_end_s(103.0) == pytest.approx(2.25)
    assert parts.renewer.grants_end_s(106.0) == 0.0
    with pytest.raises(errors.PeerUnavailableError):
        _grant(parts, current)
    assert len(parts.control.grants) == 1


def test_an_unanswered_grant_counts():
    parts, current = _parts(with_others=True)
    parts.control.is_unresponsive = True
    with pytest.raises(errors.PeerTimeoutError):
        _grant(parts, current)
    parts.renewer.stop(100.0)
    assert parts.renewer.grants_end_s(100.0) == pytest.approx(5.25)


def test_a_vm_without_substitutes_continues_to_grant():
    parts, current = _parts(with_others=False)
    assert not parts.renewer.stop(100.0)
    assert parts.renewer.grants_end_s(100.0) is None
    _grant(parts, current)
