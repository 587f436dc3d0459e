"""Simulates lookups of owned keys under load and checks their total value.

The lower bounds are 0.02 below the mean of three seeds. Decision rules are also
disabled one by one, which must reduce the value by a margin.
"""

import functools
import statistics

import pytest

from swiftstile.gateway import admission
from swiftstile.gateway import caller_retries
from swiftstile.gateway import targets
from tests import keyed_load_simulation

_SEEDS = (1, 2, 3)
# Two owners of mean speed, a slow and a fast one: 133 lookups/s in total.
_CAPACITY_PER_S = 400 / 3


def _results(part: float, **changes) -> list[keyed_load_simulation.Result]:
    """Simulates a fraction of the capacity; shorter when overloaded."""
    duration_s = 20.0 if part < 2.0 else 12.0 / part
    return [
        keyed_load_simulation.KeyedSimulation(
            keyed_load_simulation.KeyedLoad(
                per_s=part * _CAPACITY_PER_S,
                duration_s=duration_s,
                seed=seed,
                **changes,
            )
        ).run()
        for seed in _SEEDS
    ]


@functools.cache
def _baseline(part: float) -> list[keyed_load_simulation.Result]:
    """Returns cached results of the unmodified decisions."""
    return _results(part)


def _value(results: list[keyed_load_simulation.Result]) -> float:
    return statistics.mean(result.value() for result in results)


def _in_time(part: float) -> float:
    """Returns responses within the objective, relative to the capacity."""
    results = _baseline(part)
    offered = sum(result.total for result in results) / part
    return sum(result.in_time for result in results) / offered


@pytest.mark.parametrize(
    ("part", "floor"),
    [(0.7, 0.94), (0.88, 0.895), (1.0, 0.835), (1.3, 0.68), (2.0, 0.437)],
)
def test_value_by_load(part, floor):
    assert _value(_baseline(part)) >= floor


@pytest.mark.parametrize("part", [2.0, 5.0])
def test_responses_in_time_under_overload_stay_near_capacity(part):
    # With lateness judged by the mean service time: 0.91 and 0.81.
    assert _in_time(part) >= 0.9 * _in_time(1.0)


def _never(*_) -> bool:
    return False


def _always(*_) -> bool:
    return True


def _mean_is_late(waiter, now: float) -> bool:
    return now + waiter.service_time_s > waiter.objective_at


@pytest.mark.parametrize(
    ("part", "owner", "name", "old", "margin"),
    [
        # Requests are rejected instead of served late, while slots are idle at
        # times.
        (0.7, admission.AdmissionController, "_is_contended", _always, 0.008),
        # Late requests keep waiting despite contention.
        (2.0, admission.AdmissionController, "_is_contended", _never, 0.015),
        # Requests are late only if the mean service time exceeds the slack.
        (2.0, admission.Waiter, "is_late", _mean_is_late, 0.03),
        # No request counts as late.
        (1.3, admission.Waiter, "is_late", _never, 0.04),
        # Retries of callers count as new requests.
        (
            2.0,
            caller_retries.RetryTracker,
            "match_retry",
            lambda *_: None,
            0.04,
        ),
        # A slightly longer service time makes an owner count as slow.
        (2.0, targets, "STALL_FACTOR", 1.4, 0.015),
    ],
)
def test_each_decision_rule_adds_value(
    monkeypatch, part, owner, name, old, margin
):
    value = _value(_baseline(part))
    monkeypatch.setattr(owner, name, old)
    assert _value(_results(part)) <= value - margin


def test_hot_key_does_not_affect_other_owners():
    assert _value(_results(0.6, hot_per_s=60.0)) >= 0.81
