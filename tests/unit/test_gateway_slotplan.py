"""Where slots should be, by speeds and by what is hot."""

import pytest

from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import slotplan
from tests import gateway_builders as builders
from tests import keeper_parts

_NAMES = tuple(f"u-{i}" for i in range(1, 21))
_NOW = 100.0
_RANGES = 320


class _Case:
    """Twenty upstreams of 30 requests/s each, and a map that suits them."""

    def __init__(self):
        self.parts = keeper_parts.Parts(most_ranges=_RANGES)
        self.parts.work_s = 0.1
        self.plan = self.parts.plan
        self.weights = dict.fromkeys(_NAMES, 3.0)
        width = keyplan.block_width(slotplan.SLOT_COUNT, len(_NAMES), _RANGES)
        dealt = keyplan.deal(slotplan.SLOT_COUNT, self.weights, width)
        empty = keymap.KeyMap.empty(slotplan.SLOT_COUNT)
        self.map = empty.give({}, dict(enumerate(dealt)))

    def heat(self, slot: int, per_s: float, now: float) -> None:
        told = {builders.LOOKUPS: {slot: per_s}}
        self.parts.heat.hear("vm-2", told, now)

    def move(self, now: float) -> list[int]:
        moving = self.plan.surplus_to_move(self.map, self.weights, now)
        placed = self.plan.destinations(self.map, moving, self.weights, now)
        self.map = self.map.give({}, placed)
        return moving

    def owned(self, name: str) -> int:
        return len(self.map.slots_by_owner.get(name, ()))


def test_what_suits_its_owners_stays():
    case = _Case()
    assert case.move(_NOW) == []


def test_answers_faster_than_foreseen_move_no_keys():
    # Only u-1 was asked yet. That says nothing of what u-2 can do.
    parts = keeper_parts.Parts()
    for _ in range(20):
        parts.speeds.add_sample("u-1", 0.2, _NOW)
    weights = parts.plan.weights(_NOW)
    assert weights["u-1"] == pytest.approx(weights["u-2"])


@pytest.mark.parametrize("speed", [0.2, 0.5])
def test_one_of_many_that_turned_slow_is_relieved(speed):
    # Its share is missing nowhere else by much: the others are 2% or 4% short.
    case = _Case()
    case.weights["u-7"] *= speed
    before = case.owned("u-7")
    now = _NOW
    while case.move(now):
        now += slotplan.EVEN_OUT_EVERY_S
    assert case.owned("u-7") < before * speed * 1.2
    # And gets its keys back when it is as fast as the others again.
    case.weights["u-7"] = 3.0
    now += slotplan.EVEN_OUT_EVERY_S
    while case.move(now):
        now += slotplan.EVEN_OUT_EVERY_S
    assert case.owned("u-7") > before * 0.8


def test_a_little_slower_is_within_what_is_known_of_speeds():
    case = _Case()
    case.weights["u-7"] *= 0.75
    assert case.move(_NOW) == []


def test_keys_beside_a_hot_slot_move_away_at_once_and_it_stays():
    case = _Case()
    assert case.move(_NOW) == []
    hot = case.map.slots_by_owner["u-3"][50]
    before = case.owned("u-3")
    # It isn't time for a look yet; what is hot doesn't wait for that.
    case.heat(hot, 40.0, _NOW + 0.3)
    moved = case.move(_NOW + 0.3)
    assert len(moved) > 0.8 * before
    assert hot not in moved and case.map.slots[hot].owner == "u-3"
    # Once, not at each look.
    case.heat(hot, 38.0, _NOW + 0.4)
    assert case.move(_NOW + 0.4) == []


def test_they_come_back_when_it_is_hot_no_more():
    case = _Case()
    hot = case.map.slots_by_owner["u-3"][50]
    before = case.owned("u-3")
    case.heat(hot, 40.0, _NOW)
    assert case.move(_NOW)
    now = _NOW + 10
    while case.move(now):
        now += slotplan.EVEN_OUT_EVERY_S
    assert case.owned("u-3") > 0.8 * before


def test_nothing_moves_to_an_owner_beside_a_hot_slot():
    case = _Case()
    hot = case.map.slots_by_owner["u-3"][50]
    case.heat(hot, 40.0, _NOW)
    case.move(_NOW)
    leaving = case.map.slots_by_owner["u-9"][:40]
    placed = case.plan.destinations(
        case.map.mark_leaving(leaving), leaving, case.weights, _NOW
    )
    assert "u-3" not in placed.values()


def test_owners_of_which_slots_are_leaving_keep_the_rest():
    case = _Case()
    case.weights["u-7"] *= 0.2
    case.map = case.map.mark_leaving([case.map.slots_by_owner["u-7"][0]])
    moving = case.plan.surplus_to_move(case.map, case.weights, _NOW)
    assert not any(case.map.slots[index].owner == "u-7" for index in moving)
