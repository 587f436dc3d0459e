"""Where slots of keys should be: decisions without a network.

Neighbouring slots may be dealt and evened out in blocks: a block takes one
grant as long as one upstream owns all of it, and hot slots can still leave it.
"""

import collections

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = ["BLOCKS", "blocks", "deal", "destinations", "surplus", "width_of"]

# Blocks of a service. The users' busiest neighbourhoods are 60 keys wide; at 16
# keys a block they are spread over four or five upstreams.
BLOCKS = 4096

# A target may own this part more than its share before slots are moved away:
# moving costs its callers more than so small an imbalance.
TOLERANCE = 0.15
# In slots: how far behind its share an owner must be to get two in a row.
NEIGHBOUR_COST = 0.25


def deal(
    count: int, weight_by_id: dict[model.UpstreamId, float]
) -> list[model.UpstreamId]:
    """Deals slots out, each owner's as far apart as possible.

    Args:
        count: Number of slots.
        weight_by_id: Share of each owner, in any unit.

    Returns:
        The owner of each slot.
    """
    total = sum(weight_by_id.values())
    credit = dict.fromkeys(sorted(weight_by_id), 0.0)
    dealt = []
    for _ in range(count):
        for owner in credit:
            credit[owner] += weight_by_id[owner] / total
        last = dealt[-1] if dealt else None
        best = max(
            credit,
            key=lambda owner: credit[owner] - NEIGHBOUR_COST * (owner == last),
        )
        credit[best] -= 1.0
        dealt.append(best)
    return dealt


def _shares(count, weight_by_id) -> dict[model.UpstreamId, float]:
    total = sum(weight_by_id.values())
    return {
        owner: count * weight / total for owner, weight in weight_by_id.items()
    }


def surplus(
    current: keymap.KeyMap,
    weight_by_id: dict[model.UpstreamId, float],
    most: int,
    width: int = 1,
) -> list[int]:
    """Returns slots that should leave owners that have too many.

    Args:
        current: The map as it is.
        weight_by_id: Share of each owner that stays.
        most: Most slots to return, but for the rest of a block.
        width: Slots of a block; they leave together.
    """
    shares = _shares(len(current.slots), weight_by_id)
    owned = {
        owner: len(current.slots_by_owner.get(owner, ())) for owner in shares
    }
    needed = sum(
        max(0.0, shares[owner] * (1 - TOLERANCE) - owned[owner])
        for owner in shares
    )
    if needed < 1:
        return []
    chosen: list[int] = []
    for owner in sorted(shares, key=lambda name: shares[name] - owned[name]):
        extra = int(owned[owner] - shares[owner])
        extra = min(extra, most - len(chosen))
        if extra <= 0:
            break
        runs = blocks(current.slots_by_owner[owner], width)
        count = min(len(runs), max(1, extra // width))
        step = len(runs) / count
        for i in range(count):
            chosen += runs[int(i * step)]
    return chosen


def width_of(current: keymap.KeyMap) -> int:
    """Returns how many slots a block of a map has."""
    return max(1, len(current.slots) // BLOCKS)


def blocks(slots: list[int], width: int) -> list[range]:
    """Returns slots, in order, with neighbours of one block together."""
    runs: list[range] = []
    for index in slots:
        last = runs[-1] if runs else range(0)
        if last.stop == index and index % width and len(last):
            runs[-1] = range(last.start, index + 1)
        else:
            runs.append(range(index, index + 1))
    return runs


def destinations(
    current: keymap.KeyMap,
    moving: list[int],
    weight_by_id: dict[model.UpstreamId, float],
    width: int = 1,
) -> dict[int, model.UpstreamId]:
    """Returns a new owner for each slot that moves.

    Of the owners below their share, those that own no neighbouring slot come
    first, and of these the one that is furthest below. Slots of a block that
    leave the same owner go together.

    Args:
        current: The map as it is.
        moving: Slots that move, in order.
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
    for index in moving:
        if _goes_with_last(current, placed, index, width):
            placed[index] = placed[index - 1]
            owned[placed[index]] += 1
            continue
        near = {
            placed.get(i, current.slots[i].owner)
            for i in (index - 1, index + width)
            if 0 <= i < len(current.slots)
        }
        below = [name for name in shares if owned[name] < shares[name] - 0.5]
        pool = [name for name in below if name not in near]
        pool = pool or below or list(shares)
        best = min(pool, key=lambda owner: owned[owner] - shares[owner])
        placed[index] = best
        owned[best] += 1
    return placed


def _goes_with_last(current, placed, index: int, width: int) -> bool:
    """Whether a slot moves with the one before, of the same block."""
    last = index - 1
    return (
        last in placed
        and last // width == index // width
        and current.slots[last].owner == current.slots[index].owner
    )
