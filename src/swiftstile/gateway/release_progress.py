"""Progress of the calls by which an owner releases slots, for logs."""

import collections.abc
import contextlib
import enum

from swiftstile import clocks

__all__ = ["Call", "ReleaseProgress"]


class Call(enum.Enum):
    """The kinds of calls of a release."""

    FENCE = "fence"
    RELEASE = "release"


class ReleaseProgress:
    """Counts and times the calls of one release.

    Attributes:
        started_at: When the release started, on the monotonic clock.
        slots: Number of slots to release.
        answered: Number of answered calls.
        unanswered: Number of calls that failed.
    """

    def __init__(self, slots: int):
        self.started_at = clocks.monotonic()
        self.slots = slots
        self.answered = 0
        self.unanswered = 0
        self._slowest_s = 0.0
        # Kind and start of the calls in flight, in the order of their start.
        self._in_flight: dict[object, tuple[Call, float]] = {}

    @contextlib.contextmanager
    def calling(self, kind: Call) -> collections.abc.Iterator[None]:
        """Records one call."""
        key, sent_at = object(), clocks.monotonic()
        self._in_flight[key] = kind, sent_at
        try:
            yield
        except BaseException:
            self.unanswered += 1
            raise
        else:
            self.answered += 1
        finally:
            del self._in_flight[key]
            took_s = clocks.monotonic() - sent_at
            self._slowest_s = max(self._slowest_s, took_s)

    def fields(self, now: float) -> dict[str, object]:
        """Returns the log fields: counts, times and the oldest call."""
        fields: dict[str, object] = {
            "release_s": round(now - self.started_at, 2),
            "release_slots": self.slots,
            "answered": self.answered,
            "unanswered": self.unanswered,
            "slowest_ms": clocks.milliseconds(self._slowest_s),
            "in_flight": len(self._in_flight),
        }
        if self._in_flight:
            kind, sent_at = next(iter(self._in_flight.values()))
            fields["oldest_call"] = kind.value
            fields["oldest_ms"] = clocks.milliseconds(now - sent_at)
        return fields
