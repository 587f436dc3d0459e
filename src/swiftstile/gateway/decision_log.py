"""Structured log on standard output with one line for each decision.

Logging is bounded and never blocks: lines are buffered in memory and written a
few times a second to a non-blocking pipe. Lines are dropped and counted if
there are too many or nobody reads them. The lines of a request are collected
until it ends, as failed requests have priority over successful ones.
"""

import collections
import os
import sys

import msgspec

from swiftstile import clocks
from swiftstile import pacing

__all__ = ["BoundedLog", "RequestDecision", "RequestTrace"]

# Maximum lines per second: several times what one VM's share of the users'
# traffic needs, and less than 1% of a core.
MAX_LINES_PER_S = 400
# Fraction of these available to successful requests. The rest is reserved for
# failed requests and state changes.
SUCCESS_SHARE = 0.6
# Maximum lines buffered while nobody reads.
MAX_BUFFERED_LINES = 2000
FLUSH_INTERVAL_S = 0.25
MAX_UNWRITTEN_BYTES = 1 << 20


class RequestDecision(msgspec.Struct, omit_defaults=True, kw_only=True):
    """A decision on a request and the state that it was based on.

    Attributes:
        id: The caller's id of the attempt.
        vm: The VM that decided.
        at_ms: Time in milliseconds since the Unix epoch.
        event: `sent`, `not-run` (an upstream rejected it), `answered`,
            `unanswered`, `refused`, `failed`, `abandoned` or `cut` (the process
            stopped before it was answered).
        route: Name of the route.
        service: The service selected by the route's traffic split.
        upstream: The upstream that it was or would have been sent to.
        status: HTTP status of the response.
        reason: Short reason.
        attempt: Number of the send, starting at 1.
        waited_ms: Time since the request arrived.
        left_ms: Time until its deadline.
        retry_after_ms: Value of Retry-After; 0 for none.
        key: The request's key.
        config: Version of the configuration.
        key_map: Version of the key map.
        store_age_ms: Time since the last contact with the store.
        occupied: Requests at the upstream, as far as known.
        queued: Requests that wait at this VM.
        limit_per_s: Rate limit that the upstream states, in requests/s; 0 if
            none is known.
        limit_age_ms: Time since that was last stated.
        leaving_ms: Time since the upstream announced its exit; 0 if it didn't.
        backoff_ms: How much longer the upstream wants no requests of this VM.
        data_age_ms: Time since any upstream delivered data to this VM; of
            requests that weren't served only.
        decided_by: The VM that refused a slot, if it wasn't this one.
        rejections: How often the caller was rejected before this attempt, as
            far as known.
        returned_after_ms: Time from the caller's first attempt to this one.
        reserved: Whether the caller returned at a time that was reserved for
            it, or whether Retry-After is a reservation, if refused.
        extra_send: Whether it is sent again because an upstream with free slots
            rejected it.
        rule: The queue limit that rejected the request, with its figures.
        request: Digest of the request, if it is relevant to crashes.
        upstream_run: Start of the upstream's run as registered when the request
            was sent, of exchanges without an answer.
        sent_ms: Time since the request was sent, of all exchanges.
        connection: Number of the connection to the upstream.
        exchange: Number of the request on that connection, starting at 1.
        stage: What it waited for when it was cut; a `RequestStage`.
        earlier: Requests that its caller's connection carried before it.
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
    limit_per_s: float = 0.0
    limit_age_ms: int = 0
    leaving_ms: int = 0
    backoff_ms: int = 0
    data_age_ms: int = 0
    decided_by: str = ""
    rejections: int = 0
    returned_after_ms: int = 0
    reserved: bool = False
    extra_send: bool = False
    rule: str = ""
    request: str = ""
    upstream_run: int = 0
    sent_ms: float = 0
    connection: int = 0
    exchange: int = 0
    stage: str = ""
    earlier: int = 0


class RequestTrace:
    """Trace of one request: its decisions, written when it ends."""

    def __init__(self, log: "BoundedLog"):
        self._log = log
        self._decisions: list[RequestDecision] = []

    def add(self, decision: RequestDecision) -> None:
        """Adds a decision."""
        decision.vm = self._log.vm
        decision.at_ms = clocks.wall_ms()
        self._decisions.append(decision)

    def finish(self, succeeded: bool) -> None:
        """Writes all decisions, or drops them all if over the limits.

        Args:
            succeeded: Whether the request succeeded.
        """
        self._log.write_trace(self._decisions, succeeded)
        self._decisions = []


class BoundedLog:
    """Writes lines to a file descriptor without ever blocking.

    Attributes:
        vm: Name of this VM, added to the lines of requests.
        dropped: Number of dropped lines that haven't been reported yet.

    Args:
        fd: File descriptor; standard output by default.
        max_lines_per_s: Maximum lines per second; more are dropped and counted.
    """

    def __init__(
        self, fd: int | None = None, max_lines_per_s: int = MAX_LINES_PER_S
    ):
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._max_lines_per_s = max_lines_per_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._encoder = msgspec.json.Encoder()
        self._second = 0
        self._lines_in_second = 0
        self._unwritten = b""
        self.vm = ""
        self.dropped = 0

    def write_trace(
        self, request: list[RequestDecision], succeeded: bool
    ) -> None:
        """Buffers the lines of a finished request, if within the limits.

        Args:
            request: The decisions on it.
            succeeded: Whether it succeeded.
        """
        share = SUCCESS_SHARE if succeeded else 1.0
        if self._reserve(len(request), share):
            self._lines.extend(map(self._encoder.encode, request))

    def write(self, line: str) -> None:
        """Buffers a line of text, if within the limits."""
        if self._reserve(1, 1.0):
            self._lines.append(line.rstrip("\n").encode())

    def _reserve(self, count: int, share: float) -> bool:
        second = int(clocks.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        is_over = self._lines_in_second + count > share * self._max_lines_per_s
        if is_over or len(self._lines) + count > MAX_BUFFERED_LINES:
            self.dropped += count
            return False
        self._lines_in_second += count
        return True

    async def run(self) -> None:
        """Writes lines until cancelled, and flushes the rest then."""
        os.set_blocking(self._fd, False)
        try:
            while True:
                await pacing.sleep_aligned(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Writes as much as possible without blocking."""
        if self.dropped:
            line = {"event": "lines dropped", "count": self.dropped}
            self._lines.append(self._encoder.encode(line))
            self.dropped = 0
        if self._lines and len(self._unwritten) < MAX_UNWRITTEN_BYTES:
            self._unwritten += b"\n".join(self._lines) + b"\n"
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                # The pipe is full. The buffer is bounded, so that further lines
                # are dropped and counted.
                break
            except OSError:
                # The reader has closed the pipe, and this can't be logged.
                self._unwritten = b""
                break
            self._unwritten = self._unwritten[written:]
