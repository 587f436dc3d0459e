"""Simulates the admission code of many VMs under load."""

import dataclasses

import pytest

from swiftstile.gateway import target_selection
from tests import load_simulation

# One failure domain of the enlarged site hbrt-gw: 25 VMs and 17 certifiers with
# 3 slots, with a capacity of 160 requests/s.
_MODERATE, _BUSY, _OVERLOAD = 106.0, 145.0, 200.0


def _share_in_time(per_s: float) -> float:
    load = load_simulation.Load(per_s=per_s, duration_s=12.0)
    return load_simulation.Simulation(load).run().share_in_time


@pytest.mark.parametrize(
    ("per_s", "least"), [(_MODERATE, 0.95), (_BUSY, 0.8), (_OVERLOAD, 0.5)]
)
def test_many_vms_do_not_all_choose_the_same_upstream(per_s, least):
    assert _share_in_time(per_s) > least


@pytest.mark.parametrize(
    ("per_s", "most"), [(_MODERATE, 0.9), (_BUSY, 0.7), (_OVERLOAD, 0.45)]
)
def test_many_vms_choose_the_same_upstream_without_sampling(
    per_s, most, monkeypatch
):
    # Without sampling, each VM chooses the best of all upstreams by counts that
    # are 0.25 s old.
    monkeypatch.setattr(target_selection, "MAX_VMS_WITHOUT_SAMPLING", 1000)
    assert _share_in_time(per_s) < most


@pytest.mark.parametrize(
    ("per_s", "least"), [(_MODERATE, 0.97), (_BUSY, 0.95), (_OVERLOAD, 0.62)]
)
def test_arbiter_serves_more_requests_in_time(per_s, least):
    load = load_simulation.Load(per_s=per_s, duration_s=12.0, has_arbiter=True)
    assert load_simulation.Simulation(load).run().share_in_time > least


def test_arbiter_sends_no_more_than_upstreams_can_queue():
    # Upstreams that don't answer requests beyond their queue make callers wait.
    load = load_simulation.Load(per_s=_BUSY, duration_s=12.0, queue_length=2)
    assert load_simulation.Simulation(load).run().unanswered > 100
    load = dataclasses.replace(load, has_arbiter=True)
    assert load_simulation.Simulation(load).run().unanswered == 0


def test_few_vms_with_recent_counts_choose_the_best_target():
    load = load_simulation.Load(
        vms=3, upstreams=6, per_s=38.0, report_interval_s=0.025, duration_s=12.0
    )
    assert load_simulation.Simulation(load).run().mean_queued_s < 0.1


def test_simulation_is_reproducible():
    load = load_simulation.Load(duration_s=3.0)
    first = load_simulation.Simulation(load).run()
    assert load_simulation.Simulation(load).run() == first
