"""Tests the limit on requests to cold upstreams from all VMs together.

Guards against overload after an evacuation ends: the upstreams are cold, all
VMs send to them at once, and no VM knows what the others are sending, so single
upstreams get more requests a second than they can take.
"""

import pytest

from swiftstile.gateway import admission
from swiftstile.gateway import coldstart
from swiftstile.gateway import gossip
from swiftstile.gateway import slotplan
from swiftstile.gateway import targets
from tests import assigner_parts
from tests import gateway_builders as builders
from tests import load_simulation

_PER_S = 5.9
_COLD_S = 3.0
# Requests that the platform allows in any one second.
_ALLOWED = 1.5 * _PER_S + 8
_NODES = ("vm-1", "vm-2", "vm-3")

_LOAD = load_simulation.Load(
    service_s=0.1,
    per_s=340.0,
    cold_s=_COLD_S,
    cold_upstreams=6,
    duration_s=_COLD_S,
)


def _simulate(**changes) -> load_simulation.Result:
    load = load_simulation.dataclasses.replace(_LOAD, **changes)
    return load_simulation.Simulation(load).run()


def _max_rate_at_a_cold_upstream(result: load_simulation.Result) -> int:
    return max(
        result.most_in_a_second(f"u-{number}", _COLD_S)
        for number in range(_LOAD.cold_upstreams)
    )


@pytest.mark.parametrize("seed", range(1, 4))
def test_all_vms_together_stay_within_the_limit_of_a_cold_upstream(seed):
    result = _simulate(cold_per_s=_PER_S, seed=seed)
    assert 0 < _max_rate_at_a_cold_upstream(result) <= _PER_S
    # Without the limit the same load exceeds the bound.
    assert _max_rate_at_a_cold_upstream(_simulate(seed=seed)) > _ALLOWED


def test_most_requests_are_in_time_despite_the_limit():
    # Two thirds of the upstreams are warm and can take the whole load.
    result = _simulate(cold_per_s=_PER_S, per_s=150.0)
    assert result.share_in_time > 0.95


def _limits(table, me: str, domain=builders.HOME, is_registered=True):
    """Returns the limits of one VM; three VMs are at home and one away."""
    rows = [builders.node_row(name) for name in _NODES]
    rows.append(builders.node_row("vm-away", domain=builders.AWAY))
    own = builders.node_row(me, domain=domain)
    peers = gossip.Peers(own, lambda *_: None)
    for row in rows:
        peers.apply(row, row.node, 0.0)
    made = coldstart.ColdLimits(table, peers, lambda: is_registered)
    service = builders.service(cold_per_s=_PER_S, cold_start_s=_COLD_S)
    made.set_services({builders.LOOKUPS: service})
    return made


def _cold_upstream(
    now: float = 0.0,
) -> tuple[targets.TargetTable, targets.Target]:
    table = builders.target_table(
        builders.upstream("u-1", cold_s=_COLD_S), now=now
    )
    return table, table.by_id["u-1"]


def _senders(target, table) -> list[str]:
    return [
        name for name in _NODES if _limits(table, name).may_send(target, 0.1)
    ]


def test_one_vm_of_the_domain_sends_until_the_upstream_is_warm():
    table, target = _cold_upstream()
    assert len(_senders(target, table)) == 1
    away = _limits(table, "vm-away", domain=builders.AWAY)
    assert away.is_blocked(target, 0.1)
    assert away.may_send(target, _COLD_S)
    assert not away.is_limited(target, _COLD_S)


def _max_sends_in_a_second(vms: int, per_s: float) -> int:
    """Returns the sends of VMs that each consider themselves the sender."""
    table, _ = _cold_upstream()
    sends = []
    for number in range(vms):
        # Each has its own state of the upstream and starts 1 ms later.
        _, target = _cold_upstream()
        peers = gossip.Peers(builders.node_row(), lambda *_: None)
        limits = coldstart.ColdLimits(table, peers, lambda: True)
        service = builders.service(cold_per_s=per_s)
        limits.set_services({builders.LOOKUPS: service})
        for tick in range(number, int(_COLD_S * 1000), 1):
            if limits.may_send(target, tick / 1000):
                limits.note_sent(target, tick / 1000)
                sends.append(tick)
    return max(
        sum(first <= tick < first + 1000 for tick in sends) for first in sends
    )


@pytest.mark.parametrize("per_s", [0.5, 1.0, 2.0, 5.9, 10.0, 40.0, 200.0])
def test_two_concurrent_senders_stay_within_the_allowance(per_s):
    assert _max_sends_in_a_second(2, per_s) <= 1.5 * per_s + 8


def test_three_concurrent_senders_stay_within_it_at_a_low_rate():
    assert _max_sends_in_a_second(3, _PER_S) <= _ALLOWED


def test_a_vm_of_another_domain_sends_if_the_own_domain_has_none():
    table = builders.target_table(
        builders.upstream("u-1", cold_s=_COLD_S, failure_domain="third")
    )
    target = table.by_id["u-1"]
    away = _limits(table, "vm-away", domain=builders.AWAY)
    sending = len(_senders(target, table)) + away.may_send(target, 0.1)
    assert sending == 1


def test_a_vm_that_is_not_registered_sends_nothing():
    # It knows no other VM yet, and would select itself as the sender.
    table, target = _cold_upstream()
    assert not any(
        _limits(table, name, is_registered=False).may_send(target, 0.1)
        for name in _NODES
    )


def test_a_service_without_a_rate_has_no_limit():
    table, target = _cold_upstream()
    limits = _limits(table, "vm-1")
    limits.set_services({builders.LOOKUPS: builders.service()})
    assert all(limits.may_send(target, 0.1) for _ in range(100))
    limits.note_sent(target, 0.1)
    assert limits.may_send(target, 0.1)


def test_an_upstream_that_reports_cold_again_is_limited_again():
    table, target = _cold_upstream()
    limits = _limits(table, "vm-1")
    assert not limits.is_limited(target, 10.0)
    table.put(builders.upstream("u-1", cold_s=2.0), 10.0)
    assert limits.is_limited(target, 11.9)
    # An older registration may be read later and must not shorten the limit.
    table.put(builders.upstream("u-1", cold_s=0.0), 10.5)
    assert limits.is_limited(target, 11.9)
    assert not limits.is_limited(target, 12.0)


def test_upstreams_count_as_cold_after_an_evacuation():
    table = builders.target_table(builders.upstream("u-1"))
    limits = _limits(table, "vm-1")
    table.evacuate(builders.HOME, 0.0)
    table.end_evacuation(builders.HOME, 20.0)
    target = table.by_id["u-1"]
    assert limits.is_limited(target, 20.0 + _COLD_S - 0.1)
    assert not limits.is_limited(target, 20.0 + _COLD_S)


class _ColdOwner:
    """A cold upstream that owns the key of each request, as one VM sees it."""

    def __init__(self, is_sender: bool):
        self.table, self.target = _cold_upstream()
        sender = _senders(self.target, self.table)[0]
        others = [name for name in _NODES if name != sender]
        limits = _limits(self.table, sender if is_sender else others[0])
        self.decisions = admission.AdmissionController(
            self.table, builders.HOME, 2.0, limits
        )

    def offer(self, now: float, **changes):
        lookup = builders.FixedOwner(self.target)
        waiter = builders.waiter(now, lookup, **changes)
        return self.decisions.offer(waiter, now)


def test_requests_for_a_cold_owner_are_spaced():
    cold_owner = _ColdOwner(is_sender=True)
    assert cold_owner.offer(0.1) is cold_owner.target
    assert cold_owner.offer(0.1) is None
    assert cold_owner.decisions.dispatch(0.2) == ([], [])
    spaced_at = 0.1 + 1 / (coldstart.RATE_FRACTION * _PER_S)
    assigned, _ = cold_owner.decisions.dispatch(spaced_at)
    assert len(assigned) == 1


def test_a_vm_that_cannot_ask_the_sender_sends_nothing_to_a_cold_owner():
    cold_owner = _ColdOwner(is_sender=False)
    # The request can be served once the owner is warm.
    assert cold_owner.offer(0.1, timeout_s=9.0) is None
    assert cold_owner.decisions.dispatch(_COLD_S - 0.1) == ([], [])
    assigned, _ = cold_owner.decisions.dispatch(_COLD_S)
    assert len(assigned) == 1
    # A request that can't wait that long is refused at once.
    refused = _ColdOwner(is_sender=False).offer(0.1, timeout_s=1.0)
    assert isinstance(refused, admission.Rejection)


class _PlanSetup:
    """Upstreams that may own keys; each is cold or warm."""

    def __init__(self, *cold: bool):
        self.table = builders.target_table(
            *(
                builders.upstream(f"u-{number}", cold_s=_COLD_S * is_cold)
                for number, is_cold in enumerate(cold, 1)
            )
        )
        parts = assigner_parts.Parts()
        self.plan = slotplan.SlotPlan(
            builders.LOOKUPS,
            self.table,
            parts.speeds,
            parts.key_load,
            lambda _: None,
            0.0,
            _limits(self.table, "vm-1"),
        )


def test_a_cold_upstream_gets_no_keys_until_it_is_warm():
    plan = _PlanSetup(True, False).plan
    assert set(plan.weights(0.1)) == {"u-2"}
    assert set(plan.weights(_COLD_S)) == {"u-1", "u-2"}


def test_a_cold_upstream_keeps_the_keys_that_it_owns():
    plan = _PlanSetup(True, False).plan
    assert set(plan.weights(0.1, {"u-1": [1]})) == {"u-1", "u-2"}


def test_cold_upstreams_get_keys_if_all_are_cold():
    plan = _PlanSetup(True, True).plan
    assert set(plan.weights(0.1)) == {"u-1", "u-2"}
