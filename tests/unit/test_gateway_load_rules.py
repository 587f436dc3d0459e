"""Tests of the rules for queues: what they count."""

import pytest

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import fair_shares
from swiftstile.gateway import load_rules
from swiftstile.gateway import queue_limits
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
