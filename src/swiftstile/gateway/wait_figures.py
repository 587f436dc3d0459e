"""The figures on which the rejection of a request rests, and their encoding."""

import enum
import typing

__all__ = ["Figures", "Rule", "decode"]

# Longest wait that is sent to other VMs, in milliseconds; also for no end.
_MAX_MS = 1_000_000


class Rule(enum.IntEnum):
    """Which rule a decision follows. The values are sent to other VMs."""

    # Arrived, and might have been in time without the queue.
    ARRIVAL_IN_TIME = 1
    # Arrived, and can only be late.
    ARRIVAL_LATE = 2
    # The same for requests that have waited and were overtaken.
    QUEUED_IN_TIME = 3
    QUEUED_LATE = 4

    @property
    def label(self) -> str:
        """Its name in counters and logs."""
        return self.name.lower().replace("_", "-")


class Figures(typing.NamedTuple):
    """The figures on which a decision rests.

    Attributes:
        is_late: Whether it can only be served after the requests in time.
        ahead: Requests that go before it.
        per_s: Rate at which such requests leave the queue, in requests/s.
        overtaking_per_s: Rate of newer requests that go before it.
        wait_s: Its expected wait, in seconds; infinite if it gets no slot.
        limit_s: The longest wait after which it is served in time.
        is_queued: Whether it has been in the queue.
    """

    is_late: bool
    ahead: int
    per_s: float
    overtaking_per_s: float
    wait_s: float
    limit_s: float
    is_queued: bool = False

    @property
    def is_hopeless(self) -> bool:
        """Whether it won't be served in time."""
        return self.wait_s > self.limit_s

    @property
    def rule(self) -> Rule:
        """The rule that it follows."""
        return Rule(1 + self.is_late + 2 * self.is_queued)

    def text(self) -> str:
        """Returns the rule and the figures for the log."""
        return (
            f"{self.rule.label}: {self.ahead} ahead at {self.per_s:.1f}/s,"
            f" {self.overtaking_per_s:.1f}/s overtake,"
            f" wait {self.wait_s:.3f} s, limit {self.limit_s:.3f} s"
        )

    def encode(self) -> list[int]:
        """Returns the figures as whole numbers, in some 15 bytes."""
        return [
            int(self.rule),
            self.ahead,
            round(10 * self.per_s),
            round(10 * self.overtaking_per_s),
            round(min(1000 * self.wait_s, _MAX_MS)),
            round(1000 * self.limit_s),
        ]


def decode(encoded: list[int]) -> Figures | None:
    """Returns figures that another VM encoded; None if they aren't known."""
    if len(encoded) < 6 or encoded[0] not in list(Rule):
        return None
    rule = encoded[0] - 1
    wait_s = encoded[4] / 1000 if encoded[4] < _MAX_MS else float("inf")
    return Figures(
        bool(rule % 2),
        encoded[1],
        encoded[2] / 10,
        encoded[3] / 10,
        wait_s,
        encoded[5] / 1000,
        rule >= 2,
    )
