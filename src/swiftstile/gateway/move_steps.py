"""Decides the next step for slots that are leaving an owner, without any I/O.

A slot that its owner released may get its next owner at once if no older grant
of it can arrive any more; slots that have to be fenced first don't delay the
others.
"""

import collections.abc
import typing

from swiftstile.gateway import moves
from swiftstile.gateway import reclaim_state

__all__ = ["MAX_UNASSIGNED_S", "STOP_WAIT_S", "Step", "next_step"]

# Time to wait for the reports of all VMs that they stopped renewing, and for
# answers to grants in flight; after it the slots are fenced. Long enough for a
# few reports between failure domains.
STOP_WAIT_S = 0.3
# Released slots wait up to this long for the other slots of their owner, so
# that all of them share a write of the map.
MAX_UNASSIGNED_S = 0.25


class Step(typing.NamedTuple):
    """The next step for the slots that are leaving one owner.

    Attributes:
        cleared: Slots that the owner can't hold any more.
        to_release: Slots that it should release.
        to_fence: Slots of which it should first reject older grants.
        is_waiting: Whether reports or answers are missing for longer than
            usual.
    """

    cleared: list[int]
    to_release: list[int] = []
    to_fence: frozenset[int] = frozenset()
    is_waiting: bool = False

    def is_assignment_due(
        self,
        slots: collections.abc.Sized,
        state: reclaim_state.SlotReclaim,
        now: float,
    ) -> bool:
        """Whether the cleared slots should get owners now.

        Args:
            slots: All slots that are leaving the owner.
            state: The state of reclaiming them.
            now: The time, on the monotonic clock.
        """
        if not self.cleared or len(self.cleared) == len(slots):
            return bool(self.cleared)
        oldest = min(state.released_at[slot] for slot in self.cleared)
        return now - oldest >= MAX_UNASSIGNED_S


def next_step(
    slots: list[int],
    state: reclaim_state.SlotReclaim,
    known: moves.OutstandingGrants,
    now: float,
) -> Step:
    """Returns the next step for the slots that are leaving one owner.

    Args:
        slots: The slots.
        state: The state of reclaiming them.
        known: The outstanding grants on them, by the reports of all VMs.
        now: The time, on the monotonic clock.
    """
    if known.all_stopped and known.held_s <= 0:
        return Step(slots)
    cleared = [
        slot
        for slot in slots
        if slot in state.tokens
        and (not known.may_be_open(slot) or state.is_fenced_off(slot, now))
    ]
    pending = set(slots).difference(cleared)
    open_slots = {slot for slot in pending if known.may_be_open(slot)}
    unreleased = pending.difference(state.tokens)
    if now - state.marked_at <= STOP_WAIT_S:
        return Step(cleared, sorted(unreleased - open_slots))
    to_fence = frozenset(open_slots - state.fenced)
    return Step(
        cleared, sorted(unreleased | to_fence), to_fence, bool(open_slots)
    )
