"""Where the busiest slots should be: decisions without a network.

The load they answer: for a few seconds one key, or some dozens of neighbouring
ones, draw a third of a service's requests, more than several owners can do. A
single key can't be divided, so it belongs on the fastest upstream; neighbours
are spread over many.
"""

import collections.abc

from swiftstile.gateway import model

__all__ = ["BUSY_SHARE", "HOT_SHARE", "loads", "relocations"]

# An owner is hot when its busy slots take this part of its capacity.
HOT_SHARE = 0.4
# One that was hot counts as such until they take less than this.
BUSY_SHARE = 0.2
# A busy slot moves only where its owner's load is this many times the one at
# its next owner: less isn't worth the requests that wait meanwhile, and speeds
# are known to a tenth or so.
WORTH_MOVING = 1.25

# Requests/s.
Rates = dict[int, float]
Capacities = dict[model.UpstreamId, float]


def loads(
    rate_by_slot: Rates,
    owner_by_slot: dict[int, model.UpstreamId],
    capacity_by_id: Capacities,
) -> dict[model.UpstreamId, float]:
    """Returns the part of each upstream's capacity that busy slots take.

    Args:
        rate_by_slot: Requests/s of busy slots.
        owner_by_slot: Who owns them, or is about to.
        capacity_by_id: Requests/s that each upstream can do.
    """
    found = dict.fromkeys(capacity_by_id, 0.0)
    for slot, rate in rate_by_slot.items():
        owner = owner_by_slot[slot]
        if owner in found:
            found[owner] += rate / capacity_by_id[owner]
    return found


def relocations(
    rate_by_slot: Rates,
    owner_by_slot: dict[int, model.UpstreamId],
    capacity_by_id: Capacities,
    movable: collections.abc.Container[int],
) -> dict[int, model.UpstreamId]:
    """Returns better owners for busy slots, where there are any.

    The busiest slot of a hot owner goes where its load is least, then the next
    one, until the owner isn't hot any more.

    Args:
        rate_by_slot: Requests/s of busy slots.
        owner_by_slot: Who owns them, or is about to.
        capacity_by_id: Requests/s that each upstream can do.
        movable: Slots that may move now.
    """
    load_by_id = loads(rate_by_slot, owner_by_slot, capacity_by_id)
    moved: dict[int, model.UpstreamId] = {}
    for slot in sorted(rate_by_slot, key=rate_by_slot.get, reverse=True):
        owner, rate = owner_by_slot[slot], rate_by_slot[slot]
        if slot not in movable or load_by_id.get(owner, 0.0) < HOT_SHARE:
            continue
        load_there = {
            name: load + rate / capacity_by_id[name]
            for name, load in load_by_id.items()
            if name != owner
        }
        best = min(load_there, key=load_there.get, default=owner)
        if best == owner:
            continue
        if load_by_id[owner] < WORTH_MOVING * load_there[best]:
            continue
        load_by_id[owner] -= rate / capacity_by_id[owner]
        load_by_id[best] = load_there[best]
        moved[slot] = best
    return moved
