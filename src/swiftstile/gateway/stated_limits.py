"""The rate limit that one upstream states, by the newest evidence.

Answers overtake each other, and VMs learn of them at different times. A limit
holds from when an answer that states it arrived. It ends with an answer that
doesn't state it to a request that was sent later than that, as only such an
answer was certainly made after the one that stated it.
"""

__all__ = ["StatedLimit"]


class StatedLimit:
    """A rate limit, or its absence, with the time of its evidence.

    Attributes:
        per_s: Requests/s from all VMs together; None if there is no limit.
        as_of: Time of the evidence, on the monotonic clock.
    """

    __slots__ = ("as_of", "per_s")

    def __init__(self):
        self.per_s: float | None = None
        self.as_of = float("-inf")

    def age_s(self, now: float) -> float:
        """Returns the age of the evidence in seconds; 0 without a limit."""
        return 0.0 if self.per_s is None else max(0.0, now - self.as_of)

    def update(self, per_s: float | None, as_of: float) -> bool:
        """Applies evidence; returns whether the limit changed.

        Args:
            per_s: The stated limit, or None for an answer without one.
            as_of: When the answer that states it arrived; for an answer without
                a limit, when its request was sent.
        """
        if as_of <= self.as_of:
            return False
        if per_s is None and self.per_s is None:
            return False
        has_changed = per_s != self.per_s
        self.per_s, self.as_of = per_s, as_of
        return has_changed
