"""Where the busiest slots should be: decisions without a network.

The load they answer: one key draws a third of a service's requests for a few
seconds. It can't be divided, so it belongs on the fastest upstream, with
little else beside it.
"""

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = ["BUSY_SHARE", "HOT_SHARE", "busy_shares", "relocations"]

# A slot is hot when it takes this part of its owner's capacity.
HOT_SHARE = 0.4
# An upstream with a slot that takes this part of it gets no hot slot besides:
# together they would be hot again.
BUSY_SHARE = 0.2
# A hot slot moves only to an upstream that is so much faster: less isn't worth
# the requests that wait meanwhile, and speeds are known to a tenth or so.
MIN_SPEEDUP = 1.25


def busy_shares(
    current: keymap.KeyMap,
    rate_by_slot: dict[int, float],
    capacity_by_id: dict[model.UpstreamId, float],
) -> dict[int, float]:
    """Returns busy slots, with the part of their owner's capacity they take.

    Args:
        current: Who owns which slots.
        rate_by_slot: Requests/s of busy slots.
        capacity_by_id: Requests/s that each upstream can do.
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
    """Returns better owners for hot slots, where there are any.

    The hottest slot gets the fastest upstream, the next one the next; an
    upstream gets one hot slot at most.

    Args:
        current: Who owns which slots.
        hot: Slots to place, with the part of their owner's capacity they take.
        capacity_by_id: Requests/s that each upstream can do.
        taken: Upstreams that have a busy slot which isn't to be placed now.
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
