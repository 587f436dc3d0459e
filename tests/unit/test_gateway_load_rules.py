"""Tests of the rules for queues: what they count."""

import pytest

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import fair_shares
from swiftstile.gateway import load_rules
from swiftstile.gateway import queue_limits
from swiftstile.gateway import wait_figures
from tests import gateway_builders as builders


class _CountingLimits(queue_limits.QueueLimits):
    """Queue limits that record arrivals."""

    def __init__(self, has_limits: bool):
        super().__init__(lambda: has_limits)
        self.arrived: list[tuple] = []

    def note_arrived(self, queue, waiter, now):
        self.arrived.append(queue)
        super().note_arrived(queue, waiter, now)


class _Scene:
    """An admission controller whose only upstream is full."""

    def __init__(self, has_limits: bool = True):
        self.counter = metrics.LabelledCounter()
        self.limits = _CountingLimits(has_limits)
        self.sent = []
        self.rules = load_rules.LoadRules(
            self.limits,
            fair_shares.FairShares(lambda: True),
            self.counter,
            lambda *change: self.changes.append(change),
        )
        self.changes = []
        table = builders.target_table(builders.upstream())
        self.target = next(iter(table.by_id.values()))
        self.controller = admission.AdmissionController(
            table, builders.HOME, 2.0, rules=self.rules
        )
        for _ in range(self.target.upstream.slots + 1):
            waiter = builders.waiter()
            self.controller.offer(waiter, 0.0)
            self.target.note_sent(waiter.sequence, 0.0, 0.2)
            self.sent.append(waiter.sequence)

    def arrivals(self, waiter) -> int:
        """Returns the counted arrivals of a request's queue."""
        return self.limits.arrived.count(self.rules.queue_name(waiter))


@pytest.mark.parametrize("max_wait_s", [0.0, 0.02])
def test_probes_do_not_count_as_overload(max_wait_s):
    # Probes of other domains made their queues count as contended.
    scene = _Scene()
    waiter = builders.waiter()
    before = scene.arrivals(waiter)
    waiter.max_wait_s = max_wait_s
    assert isinstance(scene.controller.offer(waiter, 0.0), admission.Rejection)
    assert scene.changes == []
    assert not scene.counter.by_label()
    assert scene.arrivals(waiter) == before


def test_an_arrival_counts_once_for_each_request_and_queue():
    # A request that an upstream rejects is offered again.
    scene = _Scene()
    waiter = builders.waiter()
    before = scene.arrivals(waiter)
    scene.controller.offer(waiter, 0.0)
    scene.controller.remove(waiter)
    scene.controller.offer(waiter, 0.0)
    assert scene.arrivals(waiter) == before + 1


def test_a_probe_that_is_sent_counts_as_an_arrival():
    # Otherwise less would seem to arrive than is served.
    scene = _Scene()
    waiter = builders.waiter()
    before = scene.arrivals(waiter)
    waiter.max_wait_s = 0.0
    for sequence in scene.sent[:2]:
        scene.target.note_ended(sequence)
    assert scene.controller.offer(waiter, 0.0) is scene.target
    assert scene.arrivals(waiter) == before + 1


def _figures(wait_s: float):
    return wait_figures.Figures(False, 0, 10.0, 8.0, wait_s, 0.1)


def test_a_request_that_is_offered_again_is_no_longer_deferred():
    # It stayed behind requests in time for its other attempts as well.
    scene = _Scene()
    waiter = builders.waiter()
    waiter.is_deferred = True
    scene.target.note_ended(scene.sent[0])
    scene.target.note_ended(scene.sent[1])
    assert scene.controller.offer(waiter, 0.0) is scene.target
    assert not waiter.is_deferred


def test_the_first_of_a_queue_is_not_rejected(monkeypatch):
    # The next slot is its own, so only its deadline ends its wait.
    scene = _Scene()
    first, second = builders.waiter(), builders.waiter()
    scene.controller.offer(first, 0.0)
    scene.controller.offer(second, 0.0)
    monkeypatch.setattr(scene.rules, "figures", lambda *_: _figures(9.0))
    _, rejected = scene.controller.dispatch(0.0)
    assert [waiter for waiter, _ in rejected] == [second]


def test_retry_after_covers_the_requests_that_overtake(monkeypatch):
    # Callers came back after the wait without overtaking, 0.1 s here.
    scene = _Scene()
    monkeypatch.setattr(scene.rules, "figures", lambda *_: _figures(2.0))
    rejection = scene.controller.offer(builders.waiter(), 0.0)
    assert rejection.wait_s == 2.0
    assert rejection.retry_after_s >= 1.9
    infinite = _figures(float("inf"))
    monkeypatch.setattr(scene.rules, "figures", lambda *_: infinite)
    assert scene.controller.offer(builders.waiter(), 0.0).wait_s == 0.1


def test_a_starved_request_makes_its_queue_contended():
    # With shares alone, such a queue wasn't divided.
    scene = _Scene(has_limits=False)
    late = builders.waiter(objective_s=0.5, timeout_s=3.0)
    scene.controller.offer(late, 0.0)
    for now in (0.0, 0.6):
        waiter = builders.waiter(now, objective_s=1.0, timeout_s=3.0)
        scene.controller.offer(waiter, now)
        _, rejected = scene.controller.dispatch(now)
    assert [waiter for waiter, _ in rejected] == [late]
    assert scene.changes == [(scene.rules.queue_name(late), True)]
