"""Upstreams in a failure domain that the operator evacuates.

These tests guard against VMs that continue to send requests to an evacuated
domain and leave its upstreams their keys. It was seen when nothing applied the
operator's row.
"""

import asyncio

import pytest

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import key_load
from swiftstile.gateway import model
from swiftstile.gateway import owners
from swiftstile.gateway import registry
from swiftstile.gateway import slotplan
from swiftstile.gateway import targets
from tests import assigner_parts
from tests import gateway_builders as builders

_KEY = 100
_EVACUATED_AT = 50.0
_CLOSED_AT = _EVACUATED_AT + targets.EVACUATION_GRACE_S
_DRAIN_S = 60.0


def _table(*domains) -> targets.TargetTable:
    """Returns upstreams `u-1`, `u-2`, ... in the domains."""
    return builders.target_table(
        *(
            builders.upstream(f"u-{number}", failure_domain=domain)
            for number, domain in enumerate(domains, 1)
        )
    )


def _staying(table) -> set[str]:
    return {
        name
        for name, target in table.by_id.items()
        if target.leaving_since is None
    }


def test_all_upstreams_of_the_domain_leave_and_no_others():
    table = _table(builders.HOME, builders.AWAY, builders.AWAY)
    table.evacuate(builders.AWAY, _EVACUATED_AT)
    assert _staying(table) == {"u-1"}
    table.end_evacuation(builders.AWAY, _CLOSED_AT)
    assert _staying(table) == {"u-1", "u-2", "u-3"}


def test_an_upstream_that_registers_there_later_gets_nothing():
    table = _table(builders.HOME)
    table.evacuate(builders.AWAY, _EVACUATED_AT)
    late = builders.upstream("u-9", failure_domain=builders.AWAY)
    target = table.put(late, _CLOSED_AT)
    assert not target.accepts_requests(_CLOSED_AT, _DRAIN_S)
    # Nor does one that registers there again.
    assert table.put(late, _CLOSED_AT + 1).leaving_since == _EVACUATED_AT


def test_a_repeated_evacuation_does_not_start_again():
    table = _table(builders.AWAY)
    table.evacuate(builders.AWAY, _EVACUATED_AT)
    table.evacuate(builders.AWAY, _EVACUATED_AT + 1)
    assert table.by_id["u-1"].is_evacuated(_CLOSED_AT)


def test_evacuated_owners_get_requests_for_a_limited_time():
    target = _table(builders.AWAY).by_id["u-1"]
    target.set_evacuated(_EVACUATED_AT)
    assert target.accepts_requests(_CLOSED_AT - 0.01, _DRAIN_S)
    assert not target.accepts_requests(_CLOSED_AT, _DRAIN_S)


def test_a_draining_upstream_stays_away_when_its_domain_returns():
    table = _table(builders.AWAY)
    table.evacuate(builders.AWAY, _EVACUATED_AT)
    drains = builders.upstream(
        "u-1",
        failure_domain=builders.AWAY,
        state=model.UpstreamState.DRAINING,
    )
    table.put(drains, _EVACUATED_AT + 1)
    table.end_evacuation(builders.AWAY, _CLOSED_AT)
    assert table.by_id["u-1"].leaving_since == _EVACUATED_AT + 1


def test_an_upstream_that_left_is_remembered_as_long_as_any_other():
    table = _table(builders.AWAY)
    table.evacuate(builders.AWAY, _EVACUATED_AT)
    table.mark_unregistered("u-1", _EVACUATED_AT + 100)
    assert (
        table.remove_departed(
            _EVACUATED_AT + 110, registry.DEPARTED_RETENTION_S
        )
        == []
    )
    assert (
        table.remove_departed(
            _EVACUATED_AT + 121, registry.DEPARTED_RETENTION_S
        )
        != []
    )


def test_waiting_requests_are_checked_when_an_evacuation_changes():
    checks = []
    table = _table(builders.AWAY)
    made = registry.Registry(
        table,
        None,
        lambda: checks.append(1),
        metrics.Meters(),
        builders.supervisor(),
    )
    made.set_evacuated(builders.AWAY, False)
    assert not checks
    made.set_evacuated(builders.AWAY, True)
    made.set_evacuated(builders.AWAY, True)
    assert (len(checks), _staying(table)) == (1, set())
    made.set_evacuated(builders.AWAY, False)
    assert (len(checks), _staying(table)) == (2, {"u-1"})


def test_requests_without_a_key_go_elsewhere_at_once():
    table = _table(builders.HOME, builders.AWAY)
    # The upstream that stays is slow and has one free slot.
    table.by_id["u-1"].slowness = 1.5
    builders.occupy(table.by_id["u-1"], 3)
    decisions = admission.AdmissionController(table, builders.AWAY, _DRAIN_S)
    assert decisions.select_target(builders.waiter(0.0), 0.0).id == "u-2"
    table.evacuate(builders.AWAY, 0.0)
    assert decisions.select_target(builders.waiter(0.0), 0.0).id == "u-1"


def test_without_any_upstream_left_a_request_is_refused_at_once():
    table = _table(builders.HOME, builders.AWAY)
    for domain in (builders.HOME, builders.AWAY):
        table.evacuate(domain, 0.0)
    decisions = admission.AdmissionController(table, builders.HOME, _DRAIN_S)
    refused = decisions.offer(builders.waiter(10.0), 10.0)
    assert isinstance(refused, admission.Rejection)


class _Keys:
    """A keyed service whose keys are all owned by `u-1`, in one domain."""

    def __init__(self):
        self.parts = assigner_parts.Parts()
        self.target_table = self.parts.target_table
        for name, domain in (("u-1", builders.AWAY), ("u-2", builders.HOME)):
            self.target_table.put(
                builders.upstream(name, failure_domain=domain), 0.0
            )
        self.parts.start(leaving=())
        self.owners = owners.KeyOwners(
            self.parts.maps,
            self.target_table,
            key_load.KeyLoadTable(),
            self.parts.peers,
            _DRAIN_S,
        )
        self.decisions = admission.AdmissionController(
            self.target_table, builders.HOME, _DRAIN_S
        )

    def offer(self, now: float):
        lookup = self.owners.lookup(builders.LOOKUPS, _KEY)
        waiter = builders.waiter(now, lookup)
        return waiter, self.decisions.offer(waiter, now)


def test_a_key_waits_for_its_next_owner_once_the_time_is_over():
    keys = _Keys()
    keys.target_table.evacuate(builders.AWAY, _EVACUATED_AT)
    assert keys.offer(_CLOSED_AT - 0.01)[1] is keys.target_table.by_id["u-1"]
    waiter, offered = keys.offer(_CLOSED_AT)
    assert offered is None
    keys.target_table.end_evacuation(builders.AWAY, _CLOSED_AT)
    assigned, refused = keys.decisions.dispatch(_CLOSED_AT + 0.1)
    assert [entry.waiter for entry in assigned] == [waiter]
    assert refused == []


def test_keys_are_refused_at_once_when_nobody_could_own_them():
    keys = _Keys()
    keys.target_table.evacuate(builders.AWAY, _EVACUATED_AT)
    waiter, offered = keys.offer(_CLOSED_AT)
    assert offered is None
    keys.target_table.evacuate(builders.HOME, _CLOSED_AT)
    assert isinstance(keys.offer(_CLOSED_AT)[1], admission.Rejection)
    # An earlier request doesn't wait any longer either.
    _, refused = keys.decisions.dispatch(_CLOSED_AT)
    assert [entry for entry, _ in refused] == [waiter]


def test_the_leader_moves_all_keys_out_and_may_move_some_back(monkeypatch):
    keys = _Keys()
    parts = keys.parts
    now = [_EVACUATED_AT]
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: now[0])

    async def tick() -> None:
        for _ in range(200):
            now[0] += 0.05
            await parts.assigner.tick()
            # Releases run concurrently.
            await asyncio.sleep(0)

    def owning() -> dict[str, int]:
        current = parts.maps.by_service[builders.LOOKUPS]
        return {
            name: len(slots)
            for name, slots in current.slots_by_owner.items()
            if slots
        }

    async def play() -> None:
        keys.target_table.evacuate(builders.AWAY, now[0])
        await tick()
        assert owning() == {"u-2": slotplan.SLOT_COUNT}
        keys.target_table.end_evacuation(builders.AWAY, now[0])
        await tick()
        assert owning()["u-1"] > 0

    asyncio.run(play())
    # Each key was released before it was assigned to another upstream.
    released = {
        key
        for name, keys, _ in parts.control.released
        if name == "u-1"
        for key in range(keys.first, keys.last + 1)
    }
    assert len(released) == model.KEY_SPACE


@pytest.mark.parametrize("domain", [builders.HOME, builders.AWAY])
def test_new_keys_are_assigned_to_others(domain):
    table = _table(builders.HOME, builders.AWAY)
    table.evacuate(domain, 0.0)
    parts = assigner_parts.Parts()
    plan = slotplan.SlotPlan(
        builders.LOOKUPS,
        table,
        parts.speeds,
        parts.key_load,
        lambda _: None,
        0.0,
    )
    weights = plan.weights(10.0)
    assigned = plan.initial_assignment(weights, 20.0)
    assert {table.by_id[name].upstream.failure_domain for name in assigned} == {
        builders.HOME if domain == builders.AWAY else builders.AWAY
    }
