"""Random histories of exchanges beside bytes that belong to no request."""

import asyncio

import pytest

from swiftstile import clocks
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import response_heads
from tests import foreign_bytes_simulation as simulation
from tests import virtual_time

_SEEDS = range(300)
_REQUESTS = 20


@pytest.fixture(autouse=True)
def clock(monkeypatch) -> virtual_time.Clock:
    """The time of the event loop and of the code under test."""
    virtual = virtual_time.Clock()
    monkeypatch.setattr(clocks, "monotonic", lambda: virtual.now)
    return virtual


def _play(seed: int, clock: virtual_time.Clock) -> simulation.History:
    history = simulation.History(seed)
    with asyncio.Runner(loop_factory=lambda: virtual_time.Loop(clock)) as run:
        run.run(history.play(_REQUESTS))
    return history


def test_no_history_tells_a_caller_what_isnt_so(clock):
    violations = []
    for seed in _SEEDS:
        history = _play(seed, clock)
        violations += [f"seed {seed}: {line}" for line in history.violations]
    assert violations == []


def test_no_sound_answer_is_lost(clock):
    lost = [(seed, _play(seed, clock).lost) for seed in _SEEDS]
    assert [entry for entry in lost if entry[1]] == []


@pytest.mark.parametrize(
    ("owner", "safeguard"),
    [
        (connections.UpstreamConnection, "has_carried"),
        (response_heads, "_check_nested_status"),
    ],
    ids=["attempts-remembered", "nested-status"],
)
def test_histories_without_a_safeguard_break_promises(
    monkeypatch, clock, owner, safeguard
):
    monkeypatch.setattr(owner, safeguard, lambda *_: False)
    assert any(_play(seed, clock).violations for seed in _SEEDS)


def test_new_connections_after_foreign_bytes_save_answers(monkeypatch, clock):
    before = sum(_play(seed, clock).unknown for seed in _SEEDS)
    monkeypatch.setattr(connection_pool, "DISTRUST_S", 0.0)
    after = sum(_play(seed, clock).unknown for seed in _SEEDS)
    assert before < after
