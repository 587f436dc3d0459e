"""Checks that queue limits and fair shares don't reduce the value at owners."""

import statistics

import pytest

from tests import keyed_load_simulation

# The floors of the decisions without these rules.
_FLOORS = ((0.88, 0.895), (2.0, 0.437))


@pytest.mark.parametrize("has_shares", [False, True])
@pytest.mark.parametrize(("part", "floor"), _FLOORS)
def test_value_by_load_with_queue_limits(part, floor, has_shares):
    # Queue limits that defer requests too soon had a value of 0.886 at 0.88 of
    # the capacity.
    results = [
        keyed_load_simulation.KeyedSimulation(
            keyed_load_simulation.KeyedLoad(
                per_s=part * 400 / 3,
                duration_s=20.0 if part < 2.0 else 12.0 / part,
                seed=seed,
                has_queue_limits=True,
                has_fair_shares=has_shares,
            )
        ).run()
        for seed in (1, 2, 3)
    ]
    assert statistics.mean(one.value() for one in results) >= floor
