"""Bounds on how long upstreams may hold the keys that this VM granted them.

An upstream holds keys for the duration of the hold after a grant arrived, by a
clock that may run slow. An answered grant arrived before its answer. For an
unanswered one the connection was reset, so it arrived before the reset or never
will.
"""

from swiftstile.gateway import reports

__all__ = ["CLOCK_RATE", "HoldTable", "max_held_s"]

# An upstream's clock may be slow by this factor (from the platform's
# documentation).
CLOCK_RATE = 1.02
# Margin for timers that fire late here and work that ends late at the upstream.
MARGIN_S = 0.15
# The arrival of a grant in flight has no bound yet.
_UNBOUNDED = float("inf")


def max_held_s(hold_s: float) -> float:
    """Returns the longest that a grant can be held, in seconds."""
    return hold_s * CLOCK_RATE + MARGIN_S


class HoldTable:
    """Bounds on the holds of the slots of one service.

    Args:
        count: Number of slots.
        hold_s: Longest hold that a grant asks for.
    """

    def __init__(self, count: int, hold_s: float):
        self.max_held_s = max_held_s(hold_s)
        self._in_flight = [0] * count
        self._end = [0.0] * count
        # Ends of the holds of unanswered grants, which may yet be carried out.
        self._unanswered_end = [0.0] * count

    def note_sent(self, slots: range) -> None:
        """Records that a grant for these slots is about to be sent."""
        for index in slots:
            self._in_flight[index] += 1

    def note_answered(self, slots: range, now: float, hold_s: float) -> None:
        """Records that a grant was answered, so it arrived before `now`."""
        end = now + max_held_s(hold_s)
        for index in slots:
            self._in_flight[index] -= 1
            self._end[index] = max(self._end[index], end)

    def note_unsent(self, slots: range) -> None:
        """Records that a grant couldn't be sent, so the upstream has none."""
        for index in slots:
            self._in_flight[index] -= 1

    def note_unanswered(self, slots: range, now: float, hold_s: float) -> None:
        """Records that a grant got no answer and its connection was reset."""
        end = now + max_held_s(hold_s)
        for index in slots:
            self._in_flight[index] -= 1
            self._end[index] = max(self._end[index], end)
            self._unanswered_end[index] = max(self._unanswered_end[index], end)

    def max_remaining_s(self, now: float) -> float:
        """Returns how long any slot may still be held by these grants."""
        if any(self._in_flight):
            return _UNBOUNDED
        return max(0.0, max(self._end, default=0.0) - now)

    def hold(
        self, slots, now: float, max_listed: int | None = None
    ) -> reports.Hold:
        """Returns how long any of these slots may still be held.

        Args:
            slots: The slots.
            now: The time, on the monotonic clock.
            max_listed: Maximum number of slots with unanswered grants to list;
                None for no limit.
        """
        unanswered: list[int] | None = self.unanswered_slots(slots, now)
        if max_listed is not None and len(unanswered) > max_listed:
            unanswered = None
        return reports.Hold(
            self.held_for_s(slots, now),
            self.unanswered_for_s(slots, now),
            unanswered,
        )

    def held_for_s(self, slots, now: float) -> float:
        """Returns how long any of these slots may still be held."""
        return self._max_remaining_s(self._end, slots, now)

    def unanswered_for_s(self, slots, now: float) -> float:
        """Returns how long an unanswered grant of any may be in effect."""
        return self._max_remaining_s(self._unanswered_end, slots, now)

    def unanswered_slots(self, slots, now: float) -> list[int]:
        """Returns those slots that an unanswered grant may be in effect for."""
        return [
            index
            for index in slots
            if self._in_flight[index] or self._unanswered_end[index] > now
        ]

    def _max_remaining_s(self, ends: list[float], slots, now: float) -> float:
        remaining_s = 0.0
        for index in slots:
            if self._in_flight[index]:
                return _UNBOUNDED
            remaining_s = max(remaining_s, ends[index] - now)
        return remaining_s
