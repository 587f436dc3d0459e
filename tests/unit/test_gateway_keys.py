"""Key maps, plans, holds and when a slot may be given away."""

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


def _dealt(weights=None, count: int = 64) -> keymap.KeyMap:
    owners = keyplan.deal(count, weights or _THREE)
    return keymap.KeyMap.empty(count).give({}, dict(enumerate(owners)))


def test_a_map_survives_its_document():
    dealt = _dealt()
    owner = dealt.slots[7].owner
    before = dealt.give({7: "t"}, {7: owner}).mark_leaving([3, 5])
    after = keymap.decode(before.encode("x"), 9)
    assert after.slots == before.slots
    assert (after.version, after.next_fence) == (9, before.next_fence)
    assert after.leaving == {3, 5}


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["give", "mark", "raise", "forget"]),
        strategies.sets(strategies.integers(0, 299), max_size=20),
        strategies.sampled_from(["u-1", "u-2", "u-3", "u-4"]),
    ),
    max_size=12,
)


@hypothesis.given(_STEPS)
def test_a_map_read_by_its_changes_is_the_same_as_one_read_whole(steps):
    written = _dealt(count=300)
    followed = None
    for version, (kind, slots, owner) in enumerate(steps, start=1):
        if kind == "give":
            tokens = dict.fromkeys(list(slots)[::2], f"t{version}")
            written = written.give(tokens, dict.fromkeys(slots, owner))
        elif kind == "mark":
            written = written.mark_leaving(slots)
        elif kind == "raise":
            written = written.raise_fence()
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
                assert made.runs_of(name) == whole.runs_of(name)
        assert followed.version == version


def test_what_did_not_change_is_not_made_again():
    before = keymap.decode(_dealt().encode("a"), 1)
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
    key_map = _dealt()
    ends = [key_map.keys_of(index) for index in range(64)]
    assert ends[0].first == 0 and ends[-1].last == 65535
    for left, right in zip(ends, ends[1:], strict=False):
        assert right.first == left.last + 1
    assert key_map.index_of(65535) == 63


def test_neighbouring_slots_have_different_owners():
    owners = keyplan.deal(64, _THREE)
    assert all(a != b for a, b in zip(owners, owners[1:], strict=False))


def test_shares_follow_weights():
    counts = collections.Counter(keyplan.deal(400, {"u-1": 3.0, "u-2": 1.0}))
    assert counts == {"u-1": 300, "u-2": 100}


def test_a_new_upstream_gets_its_share_and_no_more_moves():
    key_map = _dealt(count=240)
    weights = _THREE | {"u-4": 3.0}
    moving = keyplan.surplus(key_map, weights, most=400)
    placed = keyplan.destinations(key_map, moving, weights)
    assert set(placed.values()) == {"u-4"}
    assert 50 <= len(placed) <= 60
    after = key_map.give({}, placed)
    assert keyplan.surplus(after, weights, most=400) == []


def test_slots_of_a_lost_owner_are_spread():
    key_map = _dealt(count=240)
    left = {"u-1": 3.0, "u-2": 3.0}
    lost = key_map.slots_by_owner["u-3"]
    placed = keyplan.destinations(key_map, lost, left)
    counts = collections.Counter(placed.values())
    assert abs(counts["u-1"] - counts["u-2"]) <= 2


def _ranges(key_map: keymap.KeyMap) -> int:
    return sum(len(key_map.runs_of(name)) for name in key_map.slots_by_owner)


_TWENTY = {f"u-{i:02}": 3.0 for i in range(20)}
_RANGES = 320
_WIDTH = keyplan.block_width(4096, len(_TWENTY), _RANGES)


def _in_blocks() -> keymap.KeyMap:
    owners = keyplan.deal(4096, _TWENTY, _WIDTH)
    return keymap.KeyMap.empty(4096).give({}, dict(enumerate(owners)))


def test_one_grant_renews_a_whole_block():
    key_map = _in_blocks()
    assert _ranges(key_map) <= 1.1 * _RANGES
    counts = [len(slots) for slots in key_map.slots_by_owner.values()]
    assert max(counts) - min(counts) <= 2 * _WIDTH


@pytest.mark.parametrize(
    ("vms", "link_mbps", "owners", "width"),
    [
        # Wide links bear the finest division.
        (8, 1000.0, 14, 1),
        (18, 10.0, 20, 13),
        (66, 10.0, 100, 3),
        (195, 10.0, 140, 2),
        # However narrow, an owner's share has to fit.
        (64, 1.0, 100, 3),
    ],
)
def test_blocks_are_as_narrow_as_links_bear(vms, link_mbps, owners, width):
    rows = [
        builders.node_row(f"vm-{number}", link_mbps=link_mbps)
        for number in range(vms)
    ]
    most = renewal_budget.most_ranges(rows)
    assert keyplan.block_width(4096, owners, most) == width


def test_what_an_owner_has_too_much_leaves_in_ranges():
    key_map = _in_blocks()
    weights = _TWENTY | {"u-07": 1.0}
    moving = keyplan.surplus(key_map, weights, most=4096, width=_WIDTH)
    placed = keyplan.destinations(key_map, moving, weights, _WIDTH)
    assert {key_map.slots[index].owner for index in moving} == {"u-07"}
    moved = keyplan.pieces(key_map, moving, _WIDTH)
    assert len(moved) <= _RANGES / len(_TWENTY)
    for piece in moved:
        assert len({placed[index] for index in piece}) == 1


def test_ranges_stay_few_while_speeds_vary():
    # Each round another owner is slow for a while, and a slot is hot.
    key_map = _in_blocks()
    names = sorted(_TWENTY)
    for number in range(200):
        weights = _TWENTY | {names[number * 7 % 20]: 1.0}
        moving = keyplan.surplus(key_map, weights, most=400, width=_WIDTH)
        placed = keyplan.destinations(key_map, moving, weights, _WIDTH)
        key_map = key_map.give({}, placed)
    assert _ranges(key_map) <= 4 * _RANGES


def test_hot_slots_leave_one_by_one():
    key_map = _in_blocks()
    slots = key_map.slots_by_owner["u-03"][:5]
    first = slots[0]
    found = keyplan.pieces(key_map, slots, _WIDTH, apart={first + 1, first + 2})
    assert [len(piece) for piece in found] == [1, 1, 1, 2]


def test_fences_only_grow():
    key_map = _dealt()
    before = key_map.slots[4].fence
    after = key_map.give({4: "warm"}, {4: "u-9"})
    assert after.slots[4].fence > max(slot.fence for slot in key_map.slots)
    assert after.slots[4].token == "warm"
    assert key_map.slots[4].fence == before


def test_neighbours_of_one_owner_are_one_run():
    key_map = keymap.KeyMap.empty(8).give({}, dict.fromkeys(range(8), "u-1"))
    assert key_map.runs_of("u-1") == [range(0, 8)]
    assert key_map.mark_leaving([3]).runs_of("u-1") == [range(3), range(4, 8)]
    moved = key_map.give({}, {2: "u-1"})
    assert len(moved.runs_of("u-1")) == 3


def test_a_grant_under_way_has_no_bound():
    book = holds.HoldBook(4, 5.0)
    book.note_sent(range(0, 2))
    assert book.held_for_s([0], 0.0) == float("inf")
    assert book.open_for_s([1], 0.0) == float("inf")
    assert book.held_for_s([2], 0.0) == 0.0


def test_an_answered_grant_is_held_and_not_open():
    book = holds.HoldBook(4, 5.0)
    book.note_sent(range(0, 1))
    book.note_answered(range(0, 1), 1.0, 5.0)
    assert book.held_for_s([0], 1.0) >= 5.0 * holds.CLOCK_RATE
    assert book.open_for_s([0], 1.0) == 0.0
    assert book.held_for_s([0], 10.0) == 0.0


def test_a_grant_that_could_not_be_sent_holds_nothing():
    # A dead owner is tried again and again; that mustn't extend its hold.
    book = holds.HoldBook(4, 5.0)
    book.note_sent(range(0, 1))
    book.note_answered(range(0, 1), 1.0, 5.0)
    for _ in range(9):
        book.note_sent(range(0, 1))
        book.note_unsent(range(0, 1))
    assert book.held_for_s([0], 7.0) == 0.0


def test_an_unanswered_grant_stays_open_after_a_newer_one_is_answered():
    book = holds.HoldBook(4, 5.0)
    book.note_sent(range(0, 1))
    book.note_lost(range(0, 1), 1.0, 5.0)
    book.note_sent(range(0, 1))
    book.note_answered(range(0, 1), 1.5, 5.0)
    assert book.open_for_s([0], 1.5) >= 4.5
    assert book.open_for_s([0], 7.0) == 0.0


def _clearance(peers, now, own=None, stopped_at=12.5):
    return moves.clearance(
        builders.LOOKUPS,
        "u-1",
        7,
        own or reports.Hold(0.0, 0.0),
        peers,
        stopped_at=stopped_at,
        longest_s=5.25,
        now=now,
    )


def _told(version: int, hold: reports.Hold | None, received_at: float):
    row = builders.node_row("vm-2")
    owners = {} if hold is None else {"u-1": hold}
    told = builders.report(
        row,
        versions={builders.LOOKUPS: version},
        holds={builders.LOOKUPS: owners},
    )
    return builders.peer(row, told, received_at)


def test_a_peer_that_stopped_and_granted_nothing_clears():
    known = _clearance([_told(7, reports.Hold(0.0, 0.0), 10.1)], 10.2)
    assert known.all_stopped and known.held_s == 0.0


def test_a_peer_with_an_older_map_may_still_renew():
    known = _clearance([_told(6, None, 10.1)], 10.2)
    assert not known.all_stopped
    assert known.held_s == pytest.approx(2.3 + 5.25)


def test_a_retired_peer_has_no_right_whoever_leads():
    row = builders.node_row("vm-2", is_retired=True)
    peer = builders.peer(row, None, received_at=0.0)
    peer.retired_at = 3.0
    known = _clearance([peer], 10.2, stopped_at=20.0)
    assert known.all_stopped
    assert known.held_s == pytest.approx(3.0 + 2.5 + 5.25 - 10.2)
    assert _clearance([peer], 11.0, stopped_at=20.0).held_s == 0.0


def test_what_a_peer_said_runs_down_while_it_is_silent():
    known = _clearance([_told(7, reports.Hold(4.0, 2.0), 10.1)], 13.1)
    assert known.all_stopped
    assert known.held_s == pytest.approx(1.0)
    assert known.open_s == 0.0


def test_a_silent_peer_is_waited_for_until_it_must_have_stopped():
    silent = builders.peer(builders.node_row("vm-2"), None, 0.0)
    assert not _clearance([silent], 12.4).all_stopped
    assert _clearance([silent], 17.0).held_s == pytest.approx(0.75)
    late = _clearance([silent], 17.8)
    assert late.all_stopped and late.held_s == 0.0


def test_a_restarted_peer_may_have_granted_until_it_ended():
    peer = _told(7, reports.Hold(0.0, 0.0), 10.1)
    told = peer.report
    peer.record_run(peer.row, 10.0)
    peer.record_direct_report(told, 10.1)
    assert _clearance([peer], 10.2).held_s == pytest.approx(5.05)


def test_one_that_led_when_it_spoke_may_hold_what_it_did_not_tell():
    peer = _told(7, reports.Hold(0.0, 0.0), 10.1)
    peer.report.holds = None
    assert _clearance([peer], 10.2).held_s > 0
    peer.record_direct_report(
        _told(7, reports.Hold(1.0, 0.0), 10.1).report, 10.2
    )
    assert _clearance([peer], 10.3).held_s == pytest.approx(0.9)


def _restarted(peer: reports.Peer, at: float, uptime_s: float) -> None:
    """Another run of a peer registers, and tells for how long it has lived."""
    told = peer.report
    peer.record_run(peer.row, at)
    fresh = msgspec.structs.replace(told, uptime_s=uptime_s, grants_end_s=None)
    peer.record_direct_report(fresh, at + 0.1)


def test_an_earlier_run_ended_before_the_present_one_began():
    peer = _told(7, reports.Hold(0.0, 0.0), 10.1)
    # It registered late, as the store was away.
    _restarted(peer, 10.0, uptime_s=4.1)
    assert _clearance([peer], 10.2).held_s == pytest.approx(1.05)


def _leave(peer: reports.Peer, at: float, grants_end_s: float) -> None:
    leaving = msgspec.structs.replace(peer.report, grants_end_s=grants_end_s)
    peer.record_direct_report(leaving, at)


def test_a_run_that_told_when_its_grants_end_is_not_waited_for_longer():
    peer = _told(7, reports.Hold(0.0, 0.0), 10.1)
    _leave(peer, 9.0, grants_end_s=2.0)
    _restarted(peer, 10.0, uptime_s=0.1)
    assert _clearance([peer], 10.2).held_s == pytest.approx(0.8)
    assert _clearance([peer], 11.1).held_s == 0.0


def test_what_one_run_told_says_nothing_of_those_before_and_after():
    peer = _told(7, reports.Hold(0.0, 0.0), 10.1)
    # Killed, started again, stopped in good order, started again.
    _restarted(peer, 10.0, uptime_s=0.1)
    _leave(peer, 10.5, grants_end_s=0.2)
    _restarted(peer, 11.0, uptime_s=0.1)
    assert _clearance([peer], 11.1).held_s == pytest.approx(4.15)
    # Killed once more.
    _restarted(peer, 12.0, uptime_s=0.1)
    assert _clearance([peer], 12.2).held_s == pytest.approx(5.05)


def test_a_grant_under_way_here_blocks():
    infinite = reports.Hold(float("inf"), float("inf"))
    assert _clearance([], 10.2, own=infinite).held_s == float("inf")
