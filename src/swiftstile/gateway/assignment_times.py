"""When this VM, as leader, assigned slots to their present owners."""

import collections.abc

from swiftstile.gateway import keymap

__all__ = ["AssignmentTimes"]

_UNKNOWN = float("-inf")


class AssignmentTimes:
    """Times of assignments, identified by the fence of each.

    Only assignments that were made after all earlier grants of the slots had
    ended may be recorded, which excludes that of a slot to the same owner.
    """

    def __init__(self):
        # Fence and time, by slot.
        self._by_slot: dict[int, tuple[int, float]] = {}

    def note_assigned(
        self,
        key_map: keymap.KeyMap,
        slots: collections.abc.Iterable[int],
        sent_at: float,
    ) -> None:
        """Records an assignment.

        Args:
            key_map: The map that was written.
            slots: The slots that were assigned.
            sent_at: When the write was sent, on the monotonic clock. It can't
                have been known to any VM before.
        """
        for slot in slots:
            self._by_slot[slot] = key_map.slots[slot].fence, sent_at

    def by_slot(
        self, key_map: keymap.KeyMap, slots: collections.abc.Iterable[int]
    ) -> dict[int, float]:
        """Returns when slots were assigned; minus infinity if unknown."""
        found = {}
        for slot in slots:
            fence, at = self._by_slot.get(slot, (0, _UNKNOWN))
            found[slot] = at if fence == key_map.slots[slot].fence else _UNKNOWN
        return found
