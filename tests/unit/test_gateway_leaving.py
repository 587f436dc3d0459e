"""A VM that stops in good order gives no more grants, and says so."""

import asyncio

import pytest

from swiftstile import errors
from swiftstile.gateway import keymap
from tests import gateway_builders as builders
from tests import keeper_parts


def _parts(with_others: bool) -> tuple[keeper_parts.Parts, keymap.KeyMap]:
    parts = keeper_parts.Parts()
    current = parts.start(leaving=())
    if with_others:
        row = builders.node_row("vm-2")
        parts.peers.by_node[row.node] = builders.peer(
            row, builders.report(row), received_at=100.0
        )
    return parts, current


def _grant(parts, current) -> None:
    grant = parts.renewing.grant_counted(
        builders.LOOKUPS,
        parts.book.by_id["u-1"],
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


def test_while_it_grants_it_promises_nothing():
    parts, current = _parts(with_others=True)
    _grant(parts, current)
    assert parts.renewing.grants_end_s(100.0) is None


def test_once_it_stopped_it_tells_until_when_its_grants_hold():
    parts, current = _parts(with_others=True)
    _grant(parts, current)
    assert parts.renewing.stop(100.0)
    assert parts.renewing.grants_end_s(100.0) == pytest.approx(5.25)
    assert parts.renewing.grants_end_s(103.0) == pytest.approx(2.25)
    assert parts.renewing.grants_end_s(106.0) == 0.0
    with pytest.raises(errors.PeerUnavailableError):
        _grant(parts, current)
    assert len(parts.control.grants) == 1


def test_a_grant_without_answer_counts():
    parts, current = _parts(with_others=True)
    parts.control.is_silent = True
    with pytest.raises(errors.PeerTimeoutError):
        _grant(parts, current)
    parts.renewing.stop(100.0)
    assert parts.renewing.grants_end_s(100.0) == pytest.approx(5.25)


def test_where_nobody_else_would_it_goes_on():
    parts, current = _parts(with_others=False)
    assert not parts.renewing.stop(100.0)
    assert parts.renewing.grants_end_s(100.0) is None
    _grant(parts, current)
