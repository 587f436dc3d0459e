"""Plans the placement of the busiest slots, without any I/O.

It is meant for hotspots such as a single key that gets a third of a service's
requests for a few seconds. Such a key can't be divided, so it is moved to the
fastest upstream, with few other keys beside it.
"""

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = ["BUSY_SHARE", "HOT_SHARE", "busy_shares", "relocations"]

# A slot is hot if it takes up this part of its owner's capacity.
HOT_SHARE = 0.4
# An upstream with a slot that takes up this part of its capacity gets no hot
# slot, as together they would overload it.
BUSY_SHARE = 0.2
# A hot slot moves only to an upstream that is faster by this factor: a smaller
# gain isn't worth the requests that wait for the move, and measured speeds are
# accurate to about 10%.
MIN_SPEEDUP = 1.25


def busy_shares(
    current: keymap.KeyMap,
    rate_by_slot: dict[int, float],
    capacity_by_id: dict[model.UpstreamId, float],
) -> dict[int, float]:
    """Returns busy slots, with the part of their owner's capacity they use.

    Args:
        current: The current map.
        rate_by_slot: Requests/s of busy slots.
        capacity_by_id: Requests/s that each upstream can handle.
    """
    found = {}
    for slot, rate in rate_by_slot.items():
        capacity = capacity_by_id.get(current.slots[slot].owner)
        if capacity and rate / capacity >= BUSY_SHARE:
            found[slot] = rate / capacity
    return found


def relocations(
    current: keymap.KeyMap,
    hot: dict[int, float],
    capacity_by_id: dict[model.UpstreamId, float],
    taken: set[model.UpstreamId] = frozenset(),
) -> dict[int, model.UpstreamId]:
    """Returns faster owners for hot slots, where there are any.

    The hottest slot gets the fastest upstream, the second hottest the second
    fastest, and so on; an upstream gets at most one hot slot.

    Args:
        current: The current map.
        hot: Slots to place, with the part of their owner's capacity they use.
        capacity_by_id: Requests/s that each upstream can handle.
        taken: Upstreams with a busy slot that isn't to be placed now.
    """
    free = sorted(capacity_by_id, key=capacity_by_id.get, reverse=True)
    free = [name for name in free if name not in taken]
    moved: dict[int, model.UpstreamId] = {}
    for slot in sorted(hot, key=hot.get, reverse=True):
        if not free:
            break
        owner, best = current.slots[slot].owner, free[0]
        is_alone = owner in free
        gain = capacity_by_id[best] / capacity_by_id[owner]
        if is_alone and gain < MIN_SPEEDUP:
            free.remove(owner)
            continue
        free.remove(best)
        moved[slot] = best
    return moved
