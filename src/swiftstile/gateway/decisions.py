"""Structured lines on standard output: one for each decision.

The lines are bounded and never block: they are kept in memory, written a few
times a second to a pipe that doesn't block, and dropped and counted when there
are too many or nobody reads them. The lines of a request are kept together
until it ends: one that ended badly goes before one that ended well.
"""

import collections
import os
import sys

import msgspec

from swiftstile import clocks
from swiftstile import pacing

__all__ = ["BoundedLines", "RequestDecision", "Story"]

# Most lines a second: several times what one VM's share of the users' traffic
# needs, and under 1% of a core.
MOST_PER_S = 400
# Part of them that requests which ended well may take; the rest is left for
# those that didn't, and for changes of state.
WELL_ENDED_SHARE = 0.6
# Most lines kept while nobody reads.
MOST_KEPT = 2000
FLUSH_INTERVAL_S = 0.25
MOST_PENDING_BYTES = 1 << 20


class RequestDecision(msgspec.Struct, omit_defaults=True, kw_only=True):
    """What was decided on a request, and what decided it.

    Attributes:
        id: The caller's id of the attempt.
        vm: The VM that decided.
        at_ms: When, in milliseconds since the Unix epoch.
        event: `sent`, `answered`, `refused`, `failed` or `abandoned`.
        route: Name of the route.
        service: The service that was drawn.
        upstream: Where it was sent, or would have been.
        status: Status of the answer.
        reason: Why, in a word or two.
        attempt: Number of the send, from 1.
        waited_ms: Since the request came.
        left_ms: Until its answer is of no use.
        retry_after_ms: When the caller may come back.
        key: The request's key.
        config: Version of the configuration.
        key_map: Version of the key map.
        store_age_ms: Age of what the store told last.
        occupied: Requests at the upstream, as far as known.
        queued: Requests that wait at this VM.
    """

    id: str
    event: str
    vm: str = ""
    at_ms: int = 0
    route: str = ""
    service: str = ""
    upstream: str = ""
    status: int = 0
    reason: str = ""
    attempt: int = 0
    waited_ms: int = 0
    left_ms: int = 0
    retry_after_ms: int = 0
    key: int | None = None
    config: int = 0
    key_map: int = 0
    store_age_ms: int = 0
    occupied: int = 0
    queued: int = 0


class Story:
    """The decisions on one request, written when it ends."""

    def __init__(self, lines: "BoundedLines"):
        self._lines = lines
        self._decisions: list[RequestDecision] = []

    def note(self, decision: RequestDecision) -> None:
        """Adds a decision."""
        decision.vm = self._lines.vm
        decision.at_ms = clocks.wall_ms()
        self._decisions.append(decision)

    def end(self, is_well: bool) -> None:
        """Writes all decisions, or drops all of them if there are too many."""
        self._lines.write_all(self._decisions, is_well)
        self._decisions = []


class BoundedLines:
    """Writes lines to a file descriptor without ever blocking.

    Attributes:
        vm: The VM that writes, for the lines of requests.
        dropped: Lines that were dropped since the last line that says so.

    Args:
        fd: Where to; standard output if left out.
        most_per_s: More lines in a second are dropped and counted.
    """

    def __init__(self, fd: int | None = None, most_per_s: int = MOST_PER_S):
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._most = most_per_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._encoder = msgspec.json.Encoder()
        self._second = 0
        self._in_second = 0
        self._rest = b""
        self.vm = ""
        self.dropped = 0

    def write_all(self, request: list[RequestDecision], is_well: bool) -> None:
        """Keeps the lines of a request that ended, unless there are too many.

        Args:
            request: What was decided on it.
            is_well: Whether it ended well.
        """
        share = WELL_ENDED_SHARE if is_well else 1.0
        if self._has_room(len(request), share):
            self._lines.extend(map(self._encoder.encode, request))

    def write(self, line: str) -> None:
        """Keeps a line of text, unless there are too many."""
        if self._has_room(1, 1.0):
            self._lines.append(line.rstrip("\n").encode())

    def _has_room(self, count: int, share: float) -> bool:
        second = int(clocks.monotonic())
        if second != self._second:
            self._second, self._in_second = second, 0
        is_over = self._in_second + count > share * self._most
        if is_over or len(self._lines) + count > MOST_KEPT:
            self.dropped += count
            return False
        self._in_second += count
        return True

    async def run(self) -> None:
        """Writes until cancelled, and what is left then."""
        os.set_blocking(self._fd, False)
        try:
            while True:
                await pacing.sleep_aligned(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Writes as much as is taken at once."""
        if self.dropped:
            line = {"event": "lines dropped", "count": self.dropped}
            self._lines.append(self._encoder.encode(line))
            self.dropped = 0
        if self._lines and len(self._rest) < MOST_PENDING_BYTES:
            self._rest += b"\n".join(self._lines) + b"\n"
            self._lines.clear()
        while self._rest:
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                # Nobody reads: what is kept is bounded, the rest is counted.
                break
            except OSError:
                # The reader is gone for good; there is nowhere to say so.
                self._rest = b""
                break
            self._rest = self._rest[written:]
