"""Key maps, plans, holds, and when a slot may be reassigned."""

import collections

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from swiftstile import errors
from swiftstile.gateway import holds
from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import moves
from swiftstile.gateway import renewal_budget
from swiftstile.gateway import reports
from tests import gateway_builders as builders

_THREE = {"u-1": 3.0, "u-2": 3.0, "u-3": 3.0}


def _assigned(weights=None, count: int = 64) -> keymap.KeyMap:
    owners = keyplan.assign_blocks(count, weights or _THREE)
    return keymap.KeyMap.empty(count).assign({}, dict(enumerate(owners)))


def test_a_map_is_decoded_as_it_was_encoded():
    assigned = _assigned()
    owner = assigned.slots[7].owner
    before = assigned.assign({7: "t"}, {7: owner}).mark_leaving([3, 5])
    after = keymap.decode(before.encode("x"), 9)
    assert after.slots == before.slots
    assert (after.version, after.next_fence) == (9, before.next_fence)
    assert after.leaving == {3, 5}


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["assign", "mark", "raise", "forget"]),
        strategies.sets(strategies.integers(0, 299), max_size=20),
        strategies.sampled_from(["u-1", "u-2", "u-3", "u-4"]),
    ),
    max_size=12,
)


@hypothesis.given(_STEPS)
def test_a_map_decoded_by_its_changes_equals_one_decoded_from_scratch(steps):
    written = _assigned(count=300)
    followed = None
    for version, (kind, slots, owner) in enumerate(steps, start=1):
        if kind == "assign":
            tokens = dict.fromkeys(list(slots)[::2], f"t{version}")
            written = written.assign(tokens, dict.fromkeys(slots, owner))
        elif kind == "mark":
            written = written.mark_leaving(slots)
        elif kind == "raise":
            written = written.with_newer_fence()
        else:
            written = written.without_tokens()
        document = written.encode(f"a{version}")
        followed = keymap.decode(document, version, known=followed)
        whole = keymap.decode(document, version)
        for made in (followed, written):
            assert made.slots == whole.slots
            assert made.leaving == whole.leaving
            assert made.slots_by_owner == whole.slots_by_owner
            assert made.next_fence == whole.next_fence
            for name in whole.slots_by_owner:
                assert made.ranges_of(name) == whole.ranges_of(name)
        assert followed.version == version


def test_unchanged_slots_are_reused():
    before = keymap.decode(_assigned().encode("a"), 1)
    document = before.mark_leaving([3]).encode("b")
    after = keymap.decode(document, 2, known=before)
    assert after.changed_since(before) == [3]
    shared = [a is b for a, b in zip(after.slots, before.slots, strict=True)]
    assert shared.count(False) == 1


@hypothesis.given(strategies.binary(max_size=200))
def test_a_malformed_document_is_an_error(data):
    with pytest.raises(errors.ControlMessageError):
        keymap.decode(data, 1)


def test_all_keys_belong_to_exactly_one_slot():
    key_map = _assigned()
    ends = [key_map.keys_of(index) for index in range(64)]
    assert ends[0].first == 0 and ends[-1].last == 65535
    for left, right in zip(ends, ends[1:], strict=False):
        assert right.first == left.last + 1
    assert key_map.index_of(65535) == 63


def test_adjacent_slots_have_different_owners():
    owners = keyplan.assign_blocks(64, _THREE)
    assert all(a != b for a, b in zip(owners, owners[1:], strict=False))


def test_shares_follow_weights():
    counts = collections.Counter(
        keyplan.assign_blocks(400, {"u-1": 3.0, "u-2": 1.0})
    )
    assert counts == {"u-1": 300, "u-2": 100}


def test_a_new_upstream_gets_its_share_and_no_more_moves():
    key_map = _assigned(count=240)
    weights = _THREE | {"u-4": 3.0}
    moving = keyplan.surplus(key_map, weights, limit=400)
    placed = keyplan.destinations(key_map, moving, weights)
    assert set(placed.values()) == {"u-4"}
    assert 50 <= len(placed) <= 60
    after = key_map.assign({}, placed)
    assert keyplan.surplus(after, weights, limit=400) == []


def test_slots_of_a_crashed_owner_are_spread():
    key_map = _assigned(count=240)
    left = {"u-1": 3.0, "u-2": 3.0}
    orphaned = key_map.slots_by_owner["u-3"]
    placed = keyplan.destinations(key_map, orphaned, left)
    counts = collections.Counter(placed.values())
    assert abs(counts["u-1"] - counts["u-2"]) <= 2


def _ranges(key_map: keymap.KeyMap) -> int:
    return sum(len(key_map.ranges_of(name)) for name in key_map.slots_by_owner)


_TWENTY = {f"u-{i:02}": 3.0 for i in range(20)}
_RANGES = 320
_WIDTH = keyplan.block_width(4096, len(_TWENTY), _RANGES)


def _in_blocks() -> keymap.KeyMap:
    owners = keyplan.assign_blocks(4096, _TWENTY, _WIDTH)
    return keymap.KeyMap.empty(4096).assign({}, dict(enumerate(owners)))


def test_one_grant_renews_a_whole_block():
    key_map = _in_blocks()
    assert _ranges(key_map) <= 1.1 * _RANGES
    counts = [len(slots) for slots in key_map.slots_by_owner.values()]
    assert max(counts) - min(counts) <= 2 * _WIDTH


@pytest.mark.parametrize(
    ("vms", "link_mbps", "owners", "width"),
    [
        # Fast links can afford the finest division.
        (8, 1000.0, 14, 1),
        (18, 10.0, 20, 13),
        (66, 10.0, 100, 3),
        (195, 10.0, 140, 2),
        # Even on slow links, the blocks have to match an owner's share.
        (64, 1.0, 100, 3),
    ],
)
def test_block_width_follows_the_bandwidth_of_links(
    vms, link_mbps, owners, width
):
    rows = [
        builders.node_row(f"vm-{number}", link_mbps=link_mbps)
        for number in range(vms)
    ]
    most = renewal_budget.max_ranges(rows)
    assert keyplan.block_width(4096, owners, most) == width


def test_surplus_slots_leave_in_ranges():
    key_map = _in_blocks()
    weights = _TWENTY | {"u-07": 1.0}
    moving = keyplan.surplus(key_map, weights, limit=4096, width=_WIDTH)
    placed = keyplan.destinations(key_map, moving, weights, _WIDTH)
    assert {key_map.slots[index].owner for index in moving} == {"u-07"}
    moved = keyplan.move_ranges(key_map, moving, _WIDTH)
    assert len(moved) <= _RANGES / len(_TWENTY)
    for slot_range in moved:
        assert len({placed[index] for index in slot_range}) == 1


def test_ranges_stay_few_while_speeds_vary():
    # In each round another owner is slow.
    key_map = _in_blocks()
    names = sorted(_TWENTY)
    for number in range(200):
        weights = _TWENTY | {names[number * 7 % 20]: 1.0}
        moving = keyplan.surplus(key_map, weights, limit=400, width=_WIDTH)
        placed = keyplan.destinations(key_map, moving, weights, _WIDTH)
        key_map = key_map.assign({}, placed)
    assert _ranges(key_map) <= 4 * _RANGES


def test_hot_slots_leave_one_by_one():
    key_map = _in_blocks()
    slots = key_map.slots_by_owner["u-03"][:5]
    first = slots[0]
    found = keyplan.move_ranges(
        key_map, slots, _WIDTH, separate={first + 1, first + 2}
    )
    assert [len(slot_range) for slot_range in found] == [1, 1, 1, 2]


def test_fences_only_grow():
    key_map = _assigned()
    before = key_map.slots[4].fence
    after = key_map.assign({4: "warm"}, {4: "u-9"})
    assert after.slots[4].fence > max(slot.fence for slot in key_map.slots)
    assert after.slots[4].token == "warm"
    assert key_map.slots[4].fence == before


def test_adjacent_slots_of_one_owner_are_one_range():
    key_map = keymap.KeyMap.empty(8).assign({}, dict.fromkeys(range(8), "u-1"))
    assert key_map.ranges_of("u-1") == [range(0, 8)]
    assert key_map.mark_leaving([3]).ranges_of("u-1") == [range(3), range(4, 8)]
    moved = key_map.assign({}, {2: "u-1"})
    assert len(moved.ranges_of("u-1")) == 3


def test_a_grant_in_flight_has_no_bound():
    table = holds.HoldTable(4, 5.0)
    table.note_sent(range(0, 2))
    assert table.held_for_s([0], 0.0) == float("inf")
    assert table.unanswered_for_s([1], 0.0) == float("inf")
    assert table.held_for_s([2], 0.0) == 0.0


def test_an_answered_grant_is_held_and_not_unanswered():
    table = holds.HoldTable(4, 5.0)
    table.note_sent(range(0, 1))
    table.note_answered(range(0, 1), 1.0, 5.0)
    assert table.held_for_s([0], 1.0) >= 5.0 * holds.CLOCK_RATE
    assert table.unanswered_for_s([0], 1.0) == 0.0
    assert table.held_for_s([0], 10.0) == 0.0


def test_a_grant_that_could_not_be_sent_holds_nothing():
    # Repeated attempts to reach a crashed owner mustn't extend its hold.
    table = holds.HoldTable(4, 5.0)
    table.note_sent(range(0, 1))
    table.note_answered(range(0, 1), 1.0, 5.0)
    for _ in range(9):
        table.note_sent(range(0, 1))
        table.note_unsent(range(0, 1))
    assert table.held_for_s([0], 7.0) == 0.0


def test_an_unanswered_grant_counts_after_a_newer_one_is_answered():
    table = holds.HoldTable(4, 5.0)
    table.note_sent(range(0, 1))
    table.note_unanswered(range(0, 1), 1.0, 5.0)
    table.note_sent(range(0, 1))
    table.note_answered(range(0, 1), 1.5, 5.0)
    assert table.unanswered_for_s([0], 1.5) >= 4.5
    assert table.unanswered_for_s([0], 7.0) == 0.0


def _outstanding_grants(
    peers, now, own=None, stopped_at=12.5, assigned_at=None
):
    return moves.outstanding_grants(
        builders.LOOKUPS,
        "u-1",
        7,
        own or reports.Hold(0.0, 0.0),
        peers,
        stopped_at=stopped_at,
        max_held_s=5.25,
        now=now,
        assigned_at=assigned_at,
    )


def _reporting_peer(
    version: int, hold: reports.Hold | None, received_at: float
):
    row = builders.node_row("vm-2")
    owners = {} if hold is None else {"u-1": hold}
    report = builders.report(
        row,
        versions={builders.LOOKUPS: version},
        holds={builders.LOOKUPS: owners},
    )
    return builders.peer(row, report, received_at)


def test_slots_are_clear_if_a_peer_stopped_and_granted_nothing():
    known = _outstanding_grants(
        [_reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)], 10.2
    )
    assert known.all_stopped and known.held_s == 0.0


def test_a_peer_with_an_older_map_may_still_renew():
    known = _outstanding_grants([_reporting_peer(6, None, 10.1)], 10.2)
    assert not known.all_stopped
    assert known.held_s == pytest.approx(2.3 + 5.25)


def test_a_retired_peer_has_no_authority_whoever_leads():
    row = builders.node_row("vm-2", is_retired=True)
    peer = builders.peer(row, None, received_at=0.0)
    peer.retired_at = 3.0
    known = _outstanding_grants([peer], 10.2, stopped_at=20.0)
    assert known.all_stopped
    assert known.held_s == pytest.approx(3.0 + 2.5 + 5.25 - 10.2)
    assert _outstanding_grants([peer], 11.0, stopped_at=20.0).held_s == 0.0


def test_a_reported_hold_expires_while_the_peer_is_unresponsive():
    known = _outstanding_grants(
        [_reporting_peer(7, reports.Hold(4.0, 2.0), 10.1)], 13.1
    )
    assert known.all_stopped
    assert known.held_s == pytest.approx(1.0)
    assert known.open_s == 0.0


def test_an_unresponsive_peer_is_waited_for_until_it_must_have_stopped():
    unresponsive = builders.peer(builders.node_row("vm-2"), None, 0.0)
    assert not _outstanding_grants([unresponsive], 12.4).all_stopped
    assert _outstanding_grants([unresponsive], 17.0).held_s == pytest.approx(
        0.75
    )
    late = _outstanding_grants([unresponsive], 17.8)
    assert late.all_stopped and late.held_s == 0.0


def test_a_restarted_peer_may_have_granted_until_it_ended():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    report = peer.report
    peer.record_run(peer.row, 10.0)
    peer.record_direct_report(report, 10.1)
    assert _outstanding_grants([peer], 10.2).held_s == pytest.approx(5.05)


def test_a_restarted_peer_did_not_grant_what_was_assigned_since():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    report = peer.report
    peer.record_run(peer.row, 10.0)
    peer.record_direct_report(report, 10.1)
    known = _outstanding_grants([peer], 12.0, assigned_at={4: 11.0, 5: 11.0})
    assert known.all_stopped and known.held_s == 0.0
    known = _outstanding_grants([peer], 12.0, assigned_at={4: 11.0, 5: 9.0})
    assert known.held_s == pytest.approx(3.25)
    assert known.may_be_open(5) and not known.may_be_open(4)


def test_unanswered_grants_of_several_vms_are_combined():
    peer = _reporting_peer(7, reports.Hold(4.0, 2.0, [3]), 10.1)
    known = _outstanding_grants([peer], 10.1, own=reports.Hold(4.0, 1.0, [5]))
    assert [slot for slot in range(8) if known.may_be_open(slot)] == [3, 5]
    unlisted = _reporting_peer(7, reports.Hold(4.0, 2.0), 10.1)
    known = _outstanding_grants([peer, unlisted], 10.1)
    assert known.may_be_open(4)


def test_a_report_that_a_peer_sent_as_leader_says_nothing_of_its_holds():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    peer.report.holds = None
    assert _outstanding_grants([peer], 10.2).held_s > 0
    peer.record_direct_report(
        _reporting_peer(7, reports.Hold(1.0, 0.0), 10.1).report, 10.2
    )
    assert _outstanding_grants([peer], 10.3).held_s == pytest.approx(0.9)


def _restarted(peer: reports.Peer, at: float, uptime_s: float) -> None:
    """Registers another run of a peer, and lets it report its uptime."""
    report = peer.report
    peer.record_run(peer.row, at)
    fresh = msgspec.structs.replace(
        report, uptime_s=uptime_s, grants_end_s=None
    )
    peer.record_direct_report(fresh, at + 0.1)


def test_an_earlier_run_ended_before_the_present_one_began():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    # It registered late because of a store outage.
    _restarted(peer, 10.0, uptime_s=4.1)
    assert _outstanding_grants([peer], 10.2).held_s == pytest.approx(1.05)


def _leave(peer: reports.Peer, at: float, grants_end_s: float) -> None:
    leaving = msgspec.structs.replace(peer.report, grants_end_s=grants_end_s)
    peer.record_direct_report(leaving, at)


def test_a_run_that_reported_when_its_grants_end_is_not_waited_for_longer():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    _leave(peer, 9.0, grants_end_s=2.0)
    _restarted(peer, 10.0, uptime_s=0.1)
    assert _outstanding_grants([peer], 10.2).held_s == pytest.approx(0.8)
    assert _outstanding_grants([peer], 11.1).held_s == 0.0


def test_the_report_of_one_run_does_not_apply_to_other_runs():
    peer = _reporting_peer(7, reports.Hold(0.0, 0.0), 10.1)
    # Killed, restarted, shut down gracefully, restarted.
    _restarted(peer, 10.0, uptime_s=0.1)
    _leave(peer, 10.5, grants_end_s=0.2)
    _restarted(peer, 11.0, uptime_s=0.1)
    assert _outstanding_grants([peer], 11.1).held_s == pytest.approx(4.15)
    # Killed again.
    _restarted(peer, 12.0, uptime_s=0.1)
    assert _outstanding_grants([peer], 12.2).held_s == pytest.approx(5.05)


def test_a_grant_in_flight_from_this_vm_prevents_reassignment():
    infinite = reports.Hold(float("inf"), float("inf"))
    assert _outstanding_grants([], 10.2, own=infinite).held_s == float("inf")
