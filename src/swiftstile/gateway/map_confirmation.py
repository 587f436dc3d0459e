"""Decides how a leader confirms key maps after the store lost writes.

Pure decision code, without I/O.

After the store has returned from an older copy, its key maps may name owners
that have given keys away, and fences that upstreams have seen exceeded. The
maps that VMs know from before are newer, and stay in force until the leader has
written a map of the new generation. Nobody renews grants by a map that wasn't
written in the generation of the store.
"""

import enum

from swiftstile.gateway import authority
from swiftstile.gateway import holds
from swiftstile.gateway import renewals
from swiftstile.gateway import store_versions

__all__ = [
    "CURRENT_FOR_S",
    "FENCES_PER_GENERATION",
    "Method",
    "choose_method",
    "fence_step",
    "have_grants_expired",
]

# More fences than the maps of one generation use between its beginning and the
# next return: a map gets two with each write, at most some ten times a second.
FENCES_PER_GENERATION = 1 << 16
# A VM's map is complete if it could renew by it this recently: a leader that
# doesn't hear a VM waits for so long before it assumes that the VM has stopped,
# and no move is completed before that.
CURRENT_FOR_S = authority.STOPPED_AFTER_S
# Time in which all grants by lost maps expire once a majority follows a leader.
_GRANTS_EXPIRE_S = authority.STOPPED_AFTER_S + holds.max_held_s(renewals.HOLD_S)


class Method(enum.Enum):
    """How to confirm a map."""

    # As it is known: the leader itself wrote all maps until the return.
    KEEP = "keep"
    # As it is known, but slots that are leaving may already have been assigned
    # to others, whose grants have to expire first.
    HOLD_BACK_LEAVING = "hold-back-leaving"
    # Once all grants have expired, under new fences.
    ASSIGN_ANEW = "assign-anew"


def choose_method(
    has_led_before: bool,
    is_known_from_before: bool,
    authorised_at: float,
    known_at: float,
) -> Method:
    """Returns how the leader confirms its map.

    Args:
        has_led_before: Whether it was the leader already before the return.
        is_known_from_before: Whether it knows the map from before the return,
            and not from the older copy.
        authorised_at: When it last had the authority to renew by the map.
        known_at: When it saw the return, or became leader if that was later.
    """
    is_complete = known_at - authorised_at <= CURRENT_FOR_S
    if not is_known_from_before or not is_complete:
        return Method.ASSIGN_ANEW
    return Method.KEEP if has_led_before else Method.HOLD_BACK_LEAVING


def fence_step(
    known: store_versions.Generation | None,
    generation: store_versions.Generation,
) -> int:
    """Returns what to add to the fences of a map that is confirmed.

    In each generation since that of the map, a map with higher fences may have
    been confirmed and lost.

    Args:
        known: The generation of the map; None if it isn't known.
        generation: The generation in which it is confirmed.
    """
    return (generation - (known or 0)) * FENCES_PER_GENERATION


def have_grants_expired(quorum_since: float | None, now: float) -> bool:
    """Whether all grants by maps unknown to the leader have expired.

    Args:
        quorum_since: Since when a majority has followed it; None if none does.
        now: The time.
    """
    return quorum_since is not None and now >= quorum_since + _GRANTS_EXPIRE_S
