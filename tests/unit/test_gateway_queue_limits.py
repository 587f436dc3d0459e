"""Tests of queue limits: prompt rejection under overload."""

import dataclasses
import functools
import random

import pytest

from swiftstile.gateway import admission
from swiftstile.gateway import queue_limits
from swiftstile.gateway import target_selection
from swiftstile.gateway import wait_figures
from tests import gateway_builders as builders
from tests import load_builders
from tests import load_simulation

# Six upstreams of three slots with 0.15 s of work.
_CAPACITY = 120.0
_FROM_S, _UNTIL_S = 2.0, 12.0


def _load(vms: int, factor: float, **changes) -> load_simulation.Load:
    """Returns an overload of 10 s after and before half of the capacity."""
    timeout = changes.pop("timeout", 1.5)
    retries = changes.pop("retries", 0)
    streams = (
        load_simulation.Stream("a", 0.5 * _CAPACITY, timeout=timeout),
        load_simulation.Stream(
            "a",
            (factor - 0.5) * _CAPACITY,
            from_s=_FROM_S,
            until_s=_UNTIL_S,
            timeout=timeout,
            retries=retries,
        ),
    )
    return load_builders.small_site(
        vms, streams, duration_s=18.0, **({"has_queue_limits": True} | changes)
    )


@functools.cache
def _outcomes(load: load_simulation.Load):
    return load_simulation.Simulation(load).run().outcomes


def _during(load):
    return [o for o in _outcomes(load) if _FROM_S <= o.arrived < _UNTIL_S]


def _goodput(load) -> float:
    """Returns answers in time by the capacity of the period."""
    answered = sum(outcome.is_in_time for outcome in _during(load))
    return answered / (_CAPACITY * (_UNTIL_S - _FROM_S))


def _prompt(load) -> float:
    """Returns the fraction of the rejections within 0.1 s of arrival."""
    rejected = [o.took_s for o in _during(load) if not o.served]
    return sum(took_s <= 0.1 for took_s in rejected) / len(rejected)


@pytest.mark.parametrize("shares", [False, True])
@pytest.mark.parametrize("factor", [1.5, 3.0])
@pytest.mark.parametrize("vms", [3, 12])
def test_overload_is_rejected_promptly(vms, factor, shares):
    # Late requests used to wait for half of their objective before rejection.
    load = _load(vms, factor, has_fair_shares=shares)
    assert _goodput(load) >= 0.95
    assert _prompt(load) >= 0.95
    after = [o for o in _outcomes(load) if 15.0 <= o.arrived < 18.0]
    assert sum(o.is_in_time for o in after) >= 0.98 * len(after)


@pytest.mark.parametrize("vms", [3, 12])
def test_the_way_before_serves_fewer_in_time(vms):
    load = _load(vms, 3.0)
    before = dataclasses.replace(load, has_queue_limits=False)
    assert _goodput(before) < _goodput(load)


@pytest.mark.parametrize("retries", [0, 1])
@pytest.mark.parametrize("factor", [1.5, 3.0])
@pytest.mark.parametrize("vms", [3, 12])
def test_requests_that_may_be_late_do_not_displace_those_in_time(
    vms, factor, retries
):
    # Late requests that were queued by arrival time took slots from requests
    # in time: 0.84 of the capacity was in time.
    load = _load(vms, factor, timeout=4.0, retries=retries)
    assert _goodput(load) >= 0.95
    assert _prompt(load) >= 0.95


def _run_script(controller, seed: int) -> list:
    """Offers and dispatches requests at random; returns all decisions."""
    drawn = random.Random(seed)
    random.seed(seed)
    running, decisions, now = [], [], 0.0
    for number in range(400):
        now += drawn.expovariate(150.0)
        waiter = builders.waiter(
            now,
            objective_s=drawn.choice([0.3, 0.6]),
            priority=drawn.randrange(3),
            host=drawn.choice(["a", "b"]),
        )
        decided = controller.offer(waiter, now)
        if isinstance(decided, admission.Rejection):
            decisions.append((number, decided))
        elif decided is not None:
            decided.note_sent(waiter.sequence, now, 0.2)
            running.append((waiter, decided))
        if running and drawn.random() < 0.4:
            ended, target = running.pop(0)
            target.note_ended(ended.sequence)
        assigned, rejected = controller.dispatch(now)
        for entry in assigned:
            entry.target.note_sent(entry.waiter.sequence, now, 0.2)
            running.append(entry)
            decisions.append((number, entry.target.id))
        decisions += [(number, entry) for _, entry in rejected]
    return decisions


def _controller(has_limits: bool, has_shares: bool, is_explicit: bool = True):
    table = builders.target_table(
        *(
            builders.upstream(f"u-{i}", address=f"127.0.0.1:{9000 + i}")
            for i in range(4)
        )
    )
    rules = load_builders.rules(has_limits, has_shares) if is_explicit else None
    return admission.AdmissionController(table, builders.HOME, 2.0, rules=rules)


@pytest.mark.parametrize("seed", range(5))
def test_rules_that_are_off_change_no_decision(seed):
    off = _run_script(_controller(False, False), seed)
    assert off == _run_script(_controller(False, False, False), seed)
    assert any(
        isinstance(decided, admission.Rejection) and decided.figures is None
        for _, decided in off
    )
    assert off != _run_script(_controller(True, False), seed)


def test_a_rejection_states_its_rule_and_figures():
    decided = [
        entry
        for _, entry in _run_script(_controller(True, True), 1)
        if isinstance(entry, admission.Rejection)
    ]
    figures = decided[0].figures
    assert figures.is_hopeless
    assert figures.text().startswith(figures.rule.label)
    received = wait_figures.decode(figures.encode())
    assert received.rule is figures.rule
    assert received.per_s == pytest.approx(figures.per_s, abs=0.06)


def test_figures_of_an_unknown_build_are_ignored():
    assert wait_figures.decode([]) is None
    assert wait_figures.decode([9, 1, 1, 1, 1, 1]) is None


def test_rate_follows_measurements_and_starts_at_the_estimate():
    meter = queue_limits.RateMeter(0.0)
    assert meter.per_s(40.0) == pytest.approx(40.0)
    for number in range(1, 300):
        meter.advance(number / 100, True)
        meter.add()
    assert 75 < meter.per_s(40.0) < 101


def test_time_without_waiting_requests_does_not_lower_the_rate():
    meter = queue_limits.RateMeter(0.0)
    for number in range(1, 100):
        meter.advance(number / 100, True)
        meter.add()
    before = meter.per_s(100.0)
    meter.advance(1.4, False)
    assert meter.per_s(100.0) == pytest.approx(before, rel=0.05)


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("level", [0.6, 0.8])
def test_no_priority_is_rejected_below_capacity(level, seed):
    # Arrivals of higher priority counted as if they overtook without end:
    # 0.089 of priority 2 were rejected at 0.8 of the capacity.
    per_s = level * 20.0
    streams = (
        load_simulation.Stream("a", 0.7 * per_s, "orders", 1),
        load_simulation.Stream("a", 0.3 * per_s, "uploads", 2),
    )
    load = load_builders.small_site(
        12,
        streams,
        upstreams=1,
        objective_s=0.9,
        duration_s=100.0,
        seed=seed,
        has_queue_limits=True,
    )
    off = dataclasses.replace(load, has_queue_limits=False)
    for priority in (1, 2):
        # One of 100 more, for bursts beyond the capacity.
        most = load_builders.rejected_fraction(off, priority) + 0.01
        assert load_builders.rejected_fraction(load, priority) <= most


@pytest.mark.parametrize("upstreams", [1, 6])
@pytest.mark.parametrize("level", [0.5, 0.7])
def test_several_deciding_vms_reject_nothing_below_capacity(level, upstreams):
    # With nothing waiting at a VM, a request was judged by a sixth of the rate
    # although the other VMs had nothing waiting either.
    stream = load_simulation.Stream("a", level * 20.0 * upstreams)
    load = load_builders.small_site(
        6,
        (stream,),
        upstreams=upstreams,
        duration_s=60.0,
        has_queue_limits=True,
    )
    off = dataclasses.replace(load, has_queue_limits=False)
    # One of 200 more, for bursts beyond the capacity.
    most = load_builders.rejected_fraction(off) + 0.005
    assert load_builders.rejected_fraction(load) <= most


def test_a_vm_without_waiting_requests_goes_by_those_elsewhere():
    rules = load_builders.rules(True, False)
    waiter = builders.waiter()
    position = rules.position_of(waiter, [], 0.0)
    idle = target_selection.Capacity(20.0, 3, 0, 1)
    assert rules.figures(waiter, position, idle, 6, 0.0).wait_s == 0.1
    busy = target_selection.Capacity(20.0, 3, 8, 1)
    assert rules.figures(waiter, position, busy, 6, 0.0).wait_s == 0.5
