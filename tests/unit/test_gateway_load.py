"""Simulates the admission code of many VMs under load."""

import dataclasses

import pytest

from swiftstile.gateway import admission
from tests import load_player

# One failure domain of the enlarged site hbrt-gw: 25 VMs and 17 certifiers with
# 3 slots, with a capacity of 160 requests/s.
_CALM, _BUSY, _TOO_MUCH = 106.0, 145.0, 200.0


def _share_in_time(per_s: float) -> float:
    load = load_player.Load(per_s=per_s, length_s=12.0)
    return load_player.Player(load).play().share_in_time


@pytest.mark.parametrize(
    ("per_s", "least"), [(_CALM, 0.95), (_BUSY, 0.8), (_TOO_MUCH, 0.5)]
)
def test_many_vms_do_not_all_choose_the_same_upstream(per_s, least):
    assert _share_in_time(per_s) > least


@pytest.mark.parametrize(
    ("per_s", "most"), [(_CALM, 0.9), (_BUSY, 0.7), (_TOO_MUCH, 0.45)]
)
def test_without_a_sample_they_do(per_s, most, monkeypatch):
    # Without sampling, each VM chooses the best of all upstreams by counts that
    # are 0.25 s old.
    monkeypatch.setattr(admission, "MAX_VMS_WITHOUT_SAMPLING", 1000)
    assert _share_in_time(per_s) < most


@pytest.mark.parametrize(
    ("per_s", "least"), [(_CALM, 0.97), (_BUSY, 0.95), (_TOO_MUCH, 0.62)]
)
def test_one_vm_that_decides_for_all_serves_more_in_time(per_s, least):
    load = load_player.Load(per_s=per_s, length_s=12.0, has_arbiter=True)
    assert load_player.Player(load).play().share_in_time > least


def test_it_sends_nothing_that_upstreams_can_not_queue():
    # Upstreams that don't answer requests beyond their queue make callers wait.
    load = load_player.Load(per_s=_BUSY, length_s=12.0, queue_room=2)
    assert load_player.Player(load).play().unanswered > 100
    load = dataclasses.replace(load, has_arbiter=True)
    assert load_player.Player(load).play().unanswered == 0


def test_few_vms_with_fresh_counts_choose_the_best_of_all():
    load = load_player.Load(
        vms=3, upstreams=6, per_s=38.0, exchange_s=0.025, length_s=12.0
    )
    assert load_player.Player(load).play().mean_queued_s < 0.1


def test_a_play_repeats():
    load = load_player.Load(length_s=3.0)
    first = load_player.Player(load).play()
    assert load_player.Player(load).play() == first
