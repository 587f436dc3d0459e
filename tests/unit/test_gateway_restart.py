"""Upstreams that restart with the same id."""

import asyncio

from swiftstile.gateway import key_load
from swiftstile.gateway import keymap
from swiftstile.gateway import model
from swiftstile.gateway import owners
from tests import assigner_parts
from tests import gateway_builders as builders

_FIRST, _SECOND = 1_789_144_553_235, 1_789_144_560_000


def _incarnation(started_ms: int, name: str = "u-1") -> model.Upstream:
    return builders.upstream(name, started_ms=started_ms)


def _parts() -> tuple[assigner_parts.Parts, keymap.KeyMap]:
    """Returns a leader with two upstreams that haven't restarted yet.

    Slots 0 and 1 of u-1 are leaving, all others stay with it.
    """
    parts = assigner_parts.Parts()
    for name in ("u-1", "u-2"):
        parts.target_table.put(_incarnation(_FIRST, name), 0.0)
    started = {model.UpstreamId("u-1"): _FIRST}
    return parts, parts.start(leaving=(0, 1), started_ms=started)


def test_a_restarted_upstream_has_no_history():
    table = builders.target_table(_incarnation(_FIRST))
    before = table.by_id["u-1"]
    builders.occupy(before, 4)
    before.note_failure(0.0)
    before.peer_counts["vm-2"] = (3, 1, 0.0)
    after = table.put(_incarnation(_SECOND), 0.1)
    assert after is table.by_id["u-1"] is not before
    assert after.occupied(0.1) == 0 and not after.is_penalised(0.1)
    # Requests in flight to the earlier incarnation are counted there.
    assert before.is_replaced
    before.note_ended(-1)
    assert after.in_flight == 0


def test_a_repeated_registration_changes_nothing():
    table = builders.target_table(_incarnation(_FIRST))
    before = table.by_id["u-1"]
    assert table.put(_incarnation(_FIRST), 1.0) is before
    assert table.put(_incarnation(0), 2.0) is before


def test_an_upstream_that_left_and_restarts_is_used():
    table = builders.target_table(_incarnation(_FIRST))
    table.mark_unregistered("u-1", 1.0)
    assert not table.by_id["u-1"].accepts_requests(9.0, drain_s=2.0)
    table.put(_incarnation(_SECOND), 9.0)
    assert table.by_id["u-1"].accepts_requests(9.0, drain_s=2.0)


def test_a_map_records_the_incarnation_that_slots_were_assigned_to():
    made = keymap.KeyMap.empty(8)
    made = made.assign({}, {0: "u-1", 1: "u-2"}, {"u-1": _FIRST})
    first = keymap.decode(made.encode("a"), 1)
    assert first.started_ms == {"u-1": _FIRST, "u-2": 0}
    later = made.assign({}, {0: "u-1"}, {"u-1": _SECOND})
    followed = keymap.decode(later.encode("b"), 2, known=first)
    assert followed.started_ms["u-1"] == _SECOND
    assert first.started_ms["u-1"] == _FIRST


def test_a_restarted_owner_is_not_granted_under_its_earlier_fence():
    parts, _ = _parts()

    def renew():
        asyncio.run(parts.renewer._renew_due(builders.LOOKUPS, "u-1"))

    parts.target_table.put(_incarnation(_SECOND), 1.0)
    renew()
    assert parts.control.grants == []
    parts.target_table.put(_incarnation(_FIRST), 2.0)
    renew()
    assert parts.control.grants


def test_the_leader_reassigns_slots_to_a_restarted_owner_under_a_newer_fence():
    parts, before = _parts()
    parts.target_table.put(_incarnation(_SECOND), 1.0)
    asyncio.run(parts.assigner.tick())
    after = parts.maps.by_service[builders.LOOKUPS]
    assert after.started_ms["u-1"] == _SECOND
    old, new = before.slots[5], after.slots[5]
    assert (new.owner, new.token) == ("u-1", "")
    assert new.fence > old.fence
    # Moves to other upstreams continue.
    assert after.leaving == {0, 1}
    asyncio.run(parts.renewer._renew_due(builders.LOOKUPS, "u-1"))
    assert {fence for _, _, fence in parts.control.grants} == {new.fence}


def test_an_assignment_to_an_owner_that_restarts_meanwhile_waits():
    parts, _ = _parts()
    current = parts.maps.by_service[builders.LOOKUPS]
    parts.target_table.put(_incarnation(_SECOND), 1.0)
    assign = parts.assigner._assign(current, {0: "u-1", 1: "u-1"}, {})
    asyncio.run(assign)
    assert parts.maps.by_service[builders.LOOKUPS] is current


def test_requests_wait_until_a_restarted_owner_holds_its_keys():
    parts, _ = _parts()
    found = owners.KeyOwners(
        parts.maps,
        parts.target_table,
        key_load.KeyLoadTable(),
        parts.peers,
        drain_s=2.0,
    )
    key = 100

    def owner(now: float):
        return found.find(builders.LOOKUPS, key, now)[0]

    assert owner(10.0) is parts.target_table.by_id["u-1"]
    parts.target_table.put(_incarnation(_SECOND), 10.0)
    assert owner(10.0) is None
    asyncio.run(parts.assigner.tick())
    later = parts.maps.changed_at[builders.LOOKUPS][10] + 1.0
    assert owner(later) is parts.target_table.by_id["u-1"]
