"""Which holders give way when the memory for peers is used up."""

from aiohttp import base_protocol
from aiohttp import streams
import hypothesis
from hypothesis import strategies as st
import pytest

from swiftstile import bounded_server
from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import body_budget
from swiftstile.gateway import memory_account
from swiftstile.gateway import peer_limits
from swiftstile.gateway import request_holds
from swiftstile.gateway import settings


class _NoLoop:
    """Stands for an event loop that isn't used."""


class _Holder(memory_account.Holder):

    def __init__(self, part, since: float | None):
        self._part = part
        self._since = since
        self.is_evicted = False

    def progressed_at(self):
        return None if self.is_evicted else self._since

    def evict(self):
        self.is_evicted = True
        self._part.record(self, 0)


def _watched(part, since: float | None, count: int) -> _Holder:
    holder = _Holder(part, since)
    part.watch(holder)
    part.record(holder, count)
    return holder


@pytest.fixture(autouse=True)
def _fixed_clock(monkeypatch):
    monkeypatch.setattr(clocks, "monotonic", lambda: 100.0)


def test_what_holds_most_for_longest_gives_way():
    part = memory_account.AccountPart(1000)
    young = _watched(part, 99.9, 500)
    small = _watched(part, 90.0, 10)
    slow = _watched(part, 98.0, 400)
    assert part.held_bytes == 910
    newest = _watched(part, 100.0, 100)
    assert slow.is_evicted
    assert not young.is_evicted and not small.is_evicted
    assert not newest.is_evicted
    assert part.held_bytes == 610


def test_a_few_bytes_now_and_then_are_no_progress(monkeypatch):
    payload = streams.StreamReader(
        base_protocol.BaseProtocol(None), 1 << 30, loop=_NoLoop()
    )
    monkeypatch.setattr(clocks, "monotonic", lambda: 90.0)
    hold = request_holds.RequestHold(0, payload)
    for second in (91.0, 92.0, 93.0):
        payload.feed_data(b"x")
        hold.note_received(second)
    assert hold.progress_at == 90.0
    assert hold.is_stalled(93.0)
    payload.feed_data(bytes(20_000))
    hold.note_received(94.0)
    assert hold.progress_at == 94.0
    assert not hold.is_stalled(94.5)


def test_what_cannot_be_evicted_leaves_the_others_in_place():
    part = memory_account.AccountPart(1000)
    sent = _watched(part, None, 1200)
    assert not sent.is_evicted
    part.record(sent, 0)
    assert part.held_bytes == 0


@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 100.0), st.integers(0, 400)), max_size=60)
)
def test_the_sum_stays_within_the_limit(arrivals):
    part = memory_account.AccountPart(1000)
    for since, count in arrivals:
        _watched(part, since, count)
        assert part.held_bytes <= 1000


def test_an_answer_that_is_not_read_gives_way_and_no_other():
    budget = body_budget.BodyBudget(900)
    aborted = []
    unread, unsent = budget.reserve(), budget.reserve()
    unread.add(600)
    unsent.add(300)
    with unread.sent_by(lambda: aborted.append("unread")):
        assert not unsent.add(500)
    assert aborted == ["unread"]
    assert budget.held_bytes == 800


@pytest.mark.parametrize("memory_mb", [160.0, 300.0, 552.0])
@pytest.mark.parametrize("max_fds", [600, 3075, 4100, 10250])
def test_the_limits_leave_something_for_the_process_itself(memory_mb, max_fds):
    limits = peer_limits.PeerLimits(
        settings.LimitSettings(memory_mb, max_fds), metrics.Meters()
    )
    memory = (
        limits.callers.memory.max_bytes
        + limits.forwards.memory.max_bytes
        + body_budget.BodyBudget(limits.response_bytes).part.max_bytes
    )
    assert memory <= 0.5 * memory_mb * 2**20
    sockets = max_fds - 200
    peers = sum(
        listener.connections.most + listener.backlog
        for listener in (limits.callers, limits.forwards)
    )
    # Those of the readiness page and of the metrics.
    peers += 2 * (bounded_server.MAX_CONNECTIONS + bounded_server.BACKLOG)
    assert peers <= 0.8 * sockets
