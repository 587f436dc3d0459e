"""Where slots of keys should be: decisions without a network."""

import collections

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = ["deal", "destinations", "surplus"]

# A target may own this part more than its share before slots are moved away:
# moving costs its callers more than so small an imbalance.
TOLERANCE = 0.15
# An owner that has this much more than its share is relieved, though no other
# falls short by much: one of twenty that turned slow, or that has a hot slot.
# Speeds are known to a tenth or two.
OVERLOAD = 0.4
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
    pinned: frozenset[int] = frozenset(),
) -> list[int]:
    """Returns slots that should leave owners that have too many.

    Owners of which slots are leaving already keep the rest.

    Args:
        current: The map as it is.
        weight_by_id: Share of each owner that stays.
        most: Most slots to return.
        pinned: Slots that stay where they are.
    """
    shares = _shares(len(current.slots), weight_by_id)
    owned = {
        owner: len(current.slots_by_owner.get(owner, ())) for owner in shares
    }
    missing = sum(
        max(0.0, shares[owner] * (1 - TOLERANCE) - owned[owner])
        for owner in shares
    )
    beyond = sum(
        max(0.0, owned[owner] - shares[owner] * (1 + OVERLOAD))
        for owner in shares
    )
    if missing < 1 and beyond < 1:
        return []
    busy = set(current.leaving_by_owner())
    chosen: list[int] = []
    for owner in sorted(shares, key=lambda name: shares[name] - owned[name]):
        extra = int(owned[owner] - shares[owner])
        extra = min(extra, most - len(chosen))
        if extra <= 0:
            break
        if owner in busy:
            continue
        slots = current.slots_by_owner[owner]
        step = len(slots) / extra
        spread = [slots[int(i * step)] for i in range(extra)]
        chosen += [index for index in spread if index not in pinned]
    return chosen


def destinations(
    current: keymap.KeyMap,
    moving: list[int],
    weight_by_id: dict[model.UpstreamId, float],
) -> dict[int, model.UpstreamId]:
    """Returns a new owner for each slot that moves.

    Of the owners below their share, those that own no neighbouring slot come
    first, and of these the one that is furthest below.
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
        near = {
            placed.get(i, current.slots[i].owner)
            for i in (index - 1, index + 1)
            if 0 <= i < len(current.slots)
        }
        below = [name for name in shares if owned[name] < shares[name] - 0.5]
        pool = [name for name in below if name not in near]
        pool = pool or below or list(shares)
        best = min(pool, key=lambda owner: owned[owner] - shares[owner])
        placed[index] = best
        owned[best] += 1
    return placed
