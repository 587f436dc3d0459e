"""Tests of fair shares among organisations and kinds of requests."""

import dataclasses
import functools
import statistics

import pytest

from swiftstile.gateway import fair_groups
from swiftstile.gateway import fair_shares
from swiftstile.gateway import target_selection
from tests import gateway_builders as builders
from tests import load_builders
from tests import load_simulation

_CAPACITY = 120.0
_SHARE = _CAPACITY / 4
_FROM_S, _UNTIL_S = 3.0, 12.0
_OTHERS = "bcd"


def _load(vms: int, entry: tuple[int, ...], level: float, **changes):
    """Returns a load with one organisation at ten times its share."""
    streams = [load_simulation.Stream(name, level * _SHARE) for name in _OTHERS]
    streams.append(
        load_simulation.Stream("a", 10 * _SHARE, from_s=2.0, vms=entry)
    )
    return load_builders.small_site(
        vms,
        tuple(streams),
        duration_s=_UNTIL_S,
        **({"has_queue_limits": True, "has_fair_shares": True} | changes),
    )


@functools.cache
def _outcomes(load: load_simulation.Load):
    outcomes = load_simulation.Simulation(load).run().outcomes
    return [entry for entry in outcomes if entry.arrived >= _FROM_S]


def _in_time(load, organisation: str) -> int:
    return sum(
        entry.is_in_time
        for entry in _outcomes(load)
        if entry.stream.organisation == organisation
    )


def _offered(load, organisation: str) -> int:
    return sum(
        entry.stream.organisation == organisation for entry in _outcomes(load)
    )


def _fraction(load, organisation: str) -> float:
    return _in_time(load, organisation) / _offered(load, organisation)


def _alone(load, organisation: str):
    streams = tuple(
        entry for entry in load.streams if entry.organisation == organisation
    )
    return dataclasses.replace(load, streams=streams)


# The burst enters at all VMs, at one, or at those of one failure domain.
_ENTRIES = [(3, ()), (3, (0,)), (12, ()), (12, (0,)), (12, (0, 1, 2, 3))]


@pytest.mark.parametrize("level", [0.5, 0.9])
@pytest.mark.parametrize(("vms", "entry"), _ENTRIES)
def test_others_get_what_they_get_alone(vms, entry, level):
    load = _load(vms, entry, level)
    for name in _OTHERS:
        alone = _fraction(_alone(load, name), name)
        assert _fraction(load, name) >= 0.95 * alone
    # Capacity that nobody else asks for goes to the burst.
    total = sum(entry.is_in_time for entry in _outcomes(load))
    assert total >= 0.95 * _CAPACITY * (_UNTIL_S - _FROM_S)


@pytest.mark.parametrize(("vms", "entry"), _ENTRIES)
def test_others_lose_without_shares(vms, entry):
    load = _load(vms, entry, 0.9, has_queue_limits=False, has_fair_shares=False)
    fractions = [_fraction(load, name) for name in _OTHERS]
    assert statistics.mean(fractions) < 0.7


@pytest.mark.parametrize("vms", [3, 12])
def test_a_kind_of_lower_priority_is_not_starved(vms):
    # Without a floor, a kind of higher priority that fills the capacity leaves
    # nothing to the other kinds.
    streams = (
        load_simulation.Stream("a", 1.5 * _CAPACITY, "orders", 0),
        load_simulation.Stream("a", 0.5 * _CAPACITY, "uploads", 2),
    )
    load = load_builders.small_site(
        vms,
        streams,
        duration_s=_UNTIL_S,
        has_queue_limits=True,
        has_fair_shares=True,
    )
    served = {
        kind: sum(
            entry.served
            for entry in _outcomes(load)
            if entry.stream.kind == kind
        )
        for kind in ("orders", "uploads")
    }
    mean = sum(served.values()) / 2
    assert served["uploads"] >= fair_shares.KIND_FLOOR * mean
    assert served["orders"] > served["uploads"]


def _waiting(*hosts: str):
    return [builders.waiter(0.0, host=host) for host in hosts]


def test_slots_go_to_the_organisation_that_had_least():
    shares = fair_shares.FairShares(lambda: True)
    queue = ("lookups", None, None)
    waiting = _waiting("a", "a", "a", "b")
    for waiter in waiting:
        shares.note_arrived(queue, waiter.group, 0.0)
    shares.note_sent(queue, waiting[0], 0.0)
    order = shares.order(queue, waiting[1:], 0.0)
    assert [waiter.route.host for waiter in order] == ["b", "a", "a"]


def test_weights_divide_the_slots():
    heavy = fair_groups.group_of(builders.route(host="a")).organisation
    shares = fair_shares.FairShares(
        lambda: True, lambda name: 3.0 if name == heavy else 1.0
    )
    queue = ("lookups", None, None)
    waiting = _waiting(*"aaaaaaaabbbbbbbb")
    for waiter in waiting:
        shares.note_arrived(queue, waiter.group, 0.0)
    first = shares.order(queue, waiting, 0.0)[:8]
    assert sum(waiter.route.host == "a" for waiter in first) == 6


def test_groups_are_told_by_hashes():
    group = fair_groups.group_of(builders.route(host="a.example", name="r"))
    assert len(group.encode()) == 16
    assert fair_groups.parse(group.encode()) == group
    # A VM of an earlier build sends none.
    assert fair_groups.parse("") is fair_groups.UNKNOWN


def test_contention_is_reported_when_it_begins_and_ends():
    changes = []
    rules = load_builders.rules(
        True, True, lambda name, is_contended: changes.append(is_contended)
    )
    rules.note_rejected(builders.waiter(), 0.0)
    rules.note_rejected(builders.waiter(), 0.5)
    rules.sweep(1.4)
    assert changes == [True]
    rules.sweep(1.6)
    assert changes == [True, False]


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("vms", [3, 12])
def test_many_organisations_are_served_at_half_load(vms, seed):
    # Each of 12 organisations was judged by a twelfth of the rate of a queue
    # that was not contended: 0.081 of the requests were rejected.
    streams = tuple(
        load_simulation.Stream(f"o-{number}", 10.0 / 12) for number in range(12)
    )
    load = load_builders.small_site(
        vms,
        streams,
        upstreams=1,
        duration_s=60.0,
        seed=seed,
        has_queue_limits=True,
        has_fair_shares=True,
    )
    off = dataclasses.replace(
        load, has_queue_limits=False, has_fair_shares=False
    )
    # One of 200 more, for bursts in which the queue is full for a moment.
    most = load_builders.rejected_fraction(off) + 0.005
    assert load_builders.rejected_fraction(load) <= most


def test_only_organisations_that_wait_divide_a_contended_queue():
    rules = load_builders.rules(True, True)
    for number in range(12):
        rules.note_arrived(builders.waiter(0.0, host=f"o-{number}"), 0.0)
    waiter = builders.waiter(0.0, host="o-1")
    rules.note_rejected(builders.waiter(0.0, host="o-0"), 0.0)
    capacity = target_selection.Capacity(24.0, 3, 0, 0)
    position = rules.position_of(waiter, [], 0.0)
    assert rules.figures(waiter, position, capacity, 1, 0.0).per_s == 24.0
    rules.note_queued(builders.waiter(0.0, host="o-2"), 0.0)
    assert rules.figures(waiter, position, capacity, 1, 0.0).per_s == 12.0
