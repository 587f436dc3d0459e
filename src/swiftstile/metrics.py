"""Counters and durations, exported by telemetry.py.

Names and units are documented in docs/operators/metrics.md.
"""

import collections
import collections.abc

import aiohttp

__all__ = ["MAX_BUFFERED", "Durations", "LabelledCounter", "Levels", "Meters"]

# Most durations buffered until an instrument is bound. This covers the first
# seconds of a process at a few hundred requests/s.
MAX_BUFFERED = 2000


class LabelledCounter:
    """Counters by label for the hot path, read when they are scraped.

    Adding to a dict costs a tenth of adding to an OpenTelemetry instrument,
    which matters for operations on every request.
    """

    def __init__(self):
        self._by_label: dict[str, float] = {}

    def add(self, label: str, amount: float = 1) -> None:
        """Increments the counter of a label."""
        self._by_label[label] = self._by_label.get(label, 0) + amount

    def get(self, label: str) -> float:
        """Returns the counter of a label."""
        return self._by_label.get(label, 0)

    def by_label(self) -> dict[str, float]:
        """Returns a copy of all counters."""
        return dict(self._by_label)


class Levels:
    """Current values by label, read when they are scraped."""

    def __init__(self):
        self._read_by_label: dict[str, collections.abc.Callable[[], float]] = {}

    def track(
        self, label: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Sets the function that returns the value of a label."""
        self._read_by_label[label] = read

    def by_label(self) -> dict[str, float]:
        """Returns all current values."""
        return {label: read() for label, read in self._read_by_label.items()}


class Durations:
    """Request durations, buffered until an instrument is bound.

    Loading OpenTelemetry takes a fifth of the processor time of a start, so a
    daemon that must be ready at once loads it later.
    """

    def __init__(self):
        self._buffered: collections.deque[float] = collections.deque(
            maxlen=MAX_BUFFERED
        )
        self._record: collections.abc.Callable[[float], None] | None = None

    def record(self, seconds: float) -> None:
        """Records the duration of one request."""
        if self._record is None:
            self._buffered.append(seconds)
        else:
            self._record(seconds)

    def bind(self, record: collections.abc.Callable[[float], None]) -> None:
        """Passes buffered and all later durations to an instrument."""
        self._record = record
        while self._buffered:
            record(self._buffered.popleft())


class Meters:
    """All counters and durations of one process, by metric name."""

    def __init__(self):
        self.durations = Durations()
        self.requests = LabelledCounter()
        self.refusals = LabelledCounter()
        self.sends = LabelledCounter()
        self.control_bytes = LabelledCounter()
        self.control_messages = LabelledCounter()
        self.ownership = LabelledCounter()
        self.permits = LabelledCounter()
        self.crashes = LabelledCounter()
        self.unanswered = LabelledCounter()
        self.rows = LabelledCounter()
        self.advisories = LabelledCounter()
        self.links = LabelledCounter()
        self.foreign_bytes = LabelledCounter()
        self.forwards = LabelledCounter()
        self.store_calls = LabelledCounter()
        self.returning = LabelledCounter()
        self.queue_limits = LabelledCounter()
        self.duty_failures = LabelledCounter()
        self.peer_bytes = Levels()
        self.connections = Levels()

    def count_http(
        self, kind: str, response: aiohttp.ClientResponse, sent: int
    ):
        """Counts the bytes of an HTTP control exchange, headers included.

        Args:
            kind: Kind of the remote side; first part of the label.
            response: The response, after its body was read.
            sent: Length of the request body, in bytes.
        """
        request = response.request_info
        head = sum(len(k) + len(v) + 4 for k, v in request.headers.items())
        line = len(request.method) + len(request.url.raw_path_qs) + 12
        self.control_bytes.add(f"{kind}-sent", head + line + sent)
        head = sum(len(k) + len(v) + 4 for k, v in response.raw_headers)
        received = head + (response.content_length or 0)
        self.control_bytes.add(f"{kind}-received", received)
        self.control_messages.add(kind)

    def snapshot(self) -> dict[str, dict[str, float]]:
        """Returns all counters and levels by metric name and label."""
        return {
            name: counts.by_label()
            for name, counts in vars(self).items()
            if isinstance(counts, LabelledCounter | Levels)
        }
