"""Plans the assignment of key ranges to owners, without any I/O.

Keys are assigned in blocks of adjacent slots, so that one grant renews a whole
block. A hot slot is moved on its own; rebalancing moves whole blocks.
"""

import collections
import collections.abc

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = [
    "assign_blocks",
    "block_width",
    "destinations",
    "move_ranges",
    "surplus",
]

# Minimum number of blocks for an owner of mean capacity: with fewer its share
# can't be matched, and one hotspot takes up too much of it.
MIN_BLOCKS_PER_OWNER = 16

# Owners may fall short of their share by this part before slots are moved to
# them: moving costs the callers more than a smaller imbalance does.
IMBALANCE_TOLERANCE = 0.15
# An owner that exceeds its share by more than this part is relieved even if no
# other falls short by much: one of twenty that became slow or has a hot slot.
# Measured speeds are accurate to 10% or 20%.
OVERLOAD_TOLERANCE = 0.4
# Part of its share by which that of an owner may be wrong, by owner.
Uncertainties = collections.abc.Mapping[model.UpstreamId, float]
_CERTAIN: Uncertainties = {}
# In blocks: how far behind its share an owner must be to get two in a row.
ADJACENCY_PENALTY = 0.25


def block_width(count: int, owners: int, max_ranges: int) -> int:
    """Returns the width of a block, in slots.

    Args:
        count: Slots of the service.
        owners: Number of upstreams that own them.
        max_ranges: Ranges that the fleet can afford to renew.
    """
    ranges = max(MIN_BLOCKS_PER_OWNER * max(1, owners), max_ranges)
    return max(1, round(count / ranges))


def assign_blocks(
    count: int, weight_by_id: dict[model.UpstreamId, float], width: int = 1
) -> list[model.UpstreamId]:
    """Assigns blocks of slots, those of each owner as far apart as possible.

    Args:
        count: Number of slots.
        weight_by_id: Share of each owner, in any unit.
        width: Slots of a block; the last one may be narrower.

    Returns:
        The owner of each slot.
    """
    total = sum(weight_by_id.values())
    credit = dict.fromkeys(sorted(weight_by_id), 0.0)
    assigned: list[model.UpstreamId] = []
    while len(assigned) < count:
        for owner in credit:
            credit[owner] += weight_by_id[owner] / total
        last = assigned[-1] if assigned else None
        best = max(
            credit,
            key=lambda owner: credit[owner]
            - ADJACENCY_PENALTY * (owner == last),
        )
        credit[best] -= 1.0
        assigned += [best] * min(width, count - len(assigned))
    return assigned


def move_ranges(
    current: keymap.KeyMap,
    slots: collections.abc.Iterable[int],
    width: int = 1,
    separate: collections.abc.Container[int] = (),
) -> list[range]:
    """Groups slots into ranges that are moved as a whole, in order.

    Adjacent slots that were assigned together are in one range.

    Args:
        current: The current map.
        slots: The slots.
        width: Maximum width of a range, in slots.
        separate: Slots that form ranges of their own.
    """
    found: list[range] = []
    for index in sorted(slots):
        last = found[-1] if found else None
        is_next = (
            last is not None
            and last.stop == index
            and len(last) < width
            and index not in separate
            and last[-1] not in separate
            and current.were_assigned_together(last[-1], index)
        )
        if is_next:
            found[-1] = range(last.start, index + 1)
        else:
            found.append(range(index, index + 1))
    return found


def _shares(count, weight_by_id) -> dict[model.UpstreamId, float]:
    total = sum(weight_by_id.values())
    return {
        owner: count * weight / total for owner, weight in weight_by_id.items()
    }


def surplus(
    current: keymap.KeyMap,
    weight_by_id: dict[model.UpstreamId, float],
    limit: int,
    pinned: frozenset[int] = frozenset(),
    width: int = 1,
    uncertainty_by_id: Uncertainties = _CERTAIN,
) -> list[int]:
    """Returns slots that should leave owners with more than their share.

    As many move as the owners need whose deviation isn't tolerated. Owners with
    slots that are already leaving keep the rest.

    Args:
        current: The current map.
        weight_by_id: Share of each owner that stays.
        limit: Maximum number of slots.
        pinned: Slots that stay with their owners.
        width: Slots of a block.
        uncertainty_by_id: Deviations that are tolerated.
    """
    shares = _shares(len(current.slots), weight_by_id)
    owned = {
        owner: len(current.slots_by_owner.get(owner, ())) for owner in shares
    }
    needed = sum(
        abs(owned[owner] - share)
        for owner, share in shares.items()
        if not _is_tolerated(
            owned[owner], share, uncertainty_by_id.get(owner, 0.0)
        )
    )
    if not needed:
        return []
    busy = set(current.leaving_by_owner())
    ranges_by_id = {
        owner: _spread_out(move_ranges(current, set(slots) - pinned, width))
        for owner, slots in current.slots_by_owner.items()
        if owner in shares and owner not in busy
    }
    remaining = sum(max(0.0, shares[owner] - owned[owner]) for owner in shares)
    remaining = min(remaining, needed, limit)
    chosen: list[int] = []
    while ranges_by_id:
        owner = max(ranges_by_id, key=lambda name: owned[name] - shares[name])
        extra = owned[owner] - shares[owner]
        slot_range = (
            ranges_by_id[owner].pop() if ranges_by_id[owner] else range(0)
        )
        if extra <= 0 or remaining < len(slot_range) / 2:
            break
        if not slot_range:
            # The remaining slots of this owner are pinned.
            del ranges_by_id[owner]
            continue
        chosen += slot_range
        owned[owner] -= len(slot_range)
        remaining -= len(slot_range)
    return chosen


def _is_tolerated(owned: int, share: float, uncertainty: float) -> bool:
    """Whether an owner may keep a number of slots that isn't its share."""
    least = share * (1 - max(IMBALANCE_TOLERANCE, uncertainty))
    most = share * (1 + max(OVERLOAD_TOLERANCE, uncertainty))
    return least - 1 < owned < most + 1


def _spread_out(in_order: list[range]) -> list[range]:
    """Orders ranges so that the last few are far apart, whatever their number.

    Multiples of the golden ratio, modulo 1, are evenly spread for any count.
    """
    golden = 0.618034
    by_place = {(i * golden) % 1.0: one for i, one in enumerate(in_order)}
    return [by_place[place] for place in sorted(by_place, reverse=True)]


def destinations(
    current: keymap.KeyMap,
    moving: list[int],
    weight_by_id: dict[model.UpstreamId, float],
    width: int = 1,
) -> dict[int, model.UpstreamId]:
    """Returns a new owner for each slot that moves; ranges stay together.

    The owner that is furthest below its share is preferred. One that owns an
    adjacent slot counts as if it already owned the range.

    Args:
        current: The current map.
        moving: Slots that move.
        weight_by_id: Share of each owner that stays.
        width: Slots of a block.
    """
    shares = _shares(len(current.slots), weight_by_id)
    owned = collections.Counter(
        {
            owner: len(current.slots_by_owner.get(owner, ()))
            for owner in weight_by_id
        }
    )
    for index in moving:
        owner = current.slots[index].owner
        if owner in owned:
            owned[owner] -= 1
    placed: dict[int, model.UpstreamId] = {}
    for slot_range in move_ranges(current, moving, width):
        adjacent_owners = {
            placed.get(i, current.slots[i].owner)
            for i in (slot_range.start - 1, slot_range.stop)
            if 0 <= i < len(current.slots)
        }
        half = len(slot_range) / 2
        below = [name for name in shares if owned[name] < shares[name] - half]
        excess = {
            name: owned[name]
            - shares[name]
            + len(slot_range) * (name in adjacent_owners)
            for name in below or shares
        }
        best = min(excess, key=excess.get)
        placed |= dict.fromkeys(slot_range, best)
        owned[best] += len(slot_range)
    return placed
