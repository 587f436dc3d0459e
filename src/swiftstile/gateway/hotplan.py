"""Where the busiest slots should be: decisions without a network.

The load they answer: one key, or a neighbourhood of 60 to 200, draws a third of
a service's requests for a few seconds. A slot can't be divided, so the hottest
belong on the fastest upstreams, with little else beside them.
"""

import collections

from swiftstile.gateway import keymap
from swiftstile.gateway import model

__all__ = ["hot_shares", "relocations"]

# A slot is hot when it takes this part of its owner's capacity.
HOT_SHARE = 0.4
# Busy slots of one owner are hot, too, when together they take this part of its
# capacity: what is left is needed for its other slots.
HOT_OWNER_SHARE = 0.7
# Of these, slots that take less than this part of it stay.
LEAST_SHARE = 0.1
# A hot slot moves only to an upstream that is so much faster: less isn't worth
# the requests that wait meanwhile, and speeds are known to a tenth or so.
WORTH_MOVING = 1.25


def hot_shares(
    current: keymap.KeyMap,
    rate_by_slot: dict[int, float],
    capacity_by_id: dict[model.UpstreamId, float],
) -> dict[int, float]:
    """Returns hot slots, with the part of their owner's capacity they take.

    Args:
        current: Who owns which slots.
        rate_by_slot: Requests/s of busy slots.
        capacity_by_id: Requests/s that each upstream can do.
    """
    shares: dict[int, float] = {}
    share_by_owner = collections.Counter()
    for slot, rate in rate_by_slot.items():
        owner = current.slots[slot].owner
        capacity = capacity_by_id.get(owner)
        if capacity:
            shares[slot] = rate / capacity
            share_by_owner[owner] += shares[slot]
    return {
        slot: share
        for slot, share in shares.items()
        if share >= HOT_SHARE
        or share >= LEAST_SHARE
        and share_by_owner[current.slots[slot].owner] >= HOT_OWNER_SHARE
    }


def relocations(
    current: keymap.KeyMap,
    hot: dict[int, float],
    capacity_by_id: dict[model.UpstreamId, float],
) -> dict[int, model.UpstreamId]:
    """Returns better owners for hot slots, where there are any.

    The hottest slot gets the fastest upstream, the next one the next; an
    upstream gets one hot slot at most.
    """
    free = sorted(capacity_by_id, key=capacity_by_id.get, reverse=True)
    moved: dict[int, model.UpstreamId] = {}
    for slot in sorted(hot, key=hot.get, reverse=True):
        if not free:
            break
        owner, best = current.slots[slot].owner, free[0]
        is_alone = owner in free
        gain = capacity_by_id[best] / capacity_by_id[owner]
        if is_alone and gain < WORTH_MOVING:
            free.remove(owner)
            continue
        free.remove(best)
        moved[slot] = best
    return moved
