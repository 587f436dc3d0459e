"""The servers of a service as one router sees them: slots and outcomes."""

import asyncio
import heapq
import itertools

from swiftstile import clocks
from swiftstile import ids
from swiftstile.routing import outcomes

__all__ = ["Target", "Targets"]

# A server that failed isn't tried for this long, unless no other is left;
# doubled with each failure in a row.
_FIRST_PENALTY_S = 0.5
_LONGEST_PENALTY_S = 4.0
# A server that answered nothing for this long, while something was sent to
# it, is passed over.
_SILENCE_S = 1.0
# Weight of the newest sample in the smoothed latency.
_LATENCY_WEIGHT = 0.1


class Target:
    """One server: which of its slots are taken, and who waits for one.

    Attributes:
        server: Its id.
        address: Its `host:port`.
        in_use: Slots that requests of this router hold.
        latency_s: Smoothed latency of answers, in seconds.
    """

    def __init__(
        self, server: ids.ServerId, address: str, slots: int, queue_limit: int
    ):
        self.server = server
        self.address = address
        self.in_use = 0
        self.latency_s = 0.0
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiting: list[tuple[float, int, asyncio.Future]] = []
        self._order = itertools.count()
        self._penalised_until = float("-inf")
        self._failures = 0
        self._silent_since = float("inf")

    @property
    def outstanding(self) -> int:
        """Requests of this router that it runs or that wait for it."""
        return self.in_use + len(self._waiting)

    def is_penalised(self) -> bool:
        """Returns whether it failed a moment ago."""
        return clocks.monotonic() < self._penalised_until

    def is_answering(self) -> bool:
        """Returns whether it neither failed nor fell silent."""
        now = clocks.monotonic()
        is_silent = now - self._silent_since > _SILENCE_S
        return now >= self._penalised_until and not is_silent

    def note_sent(self) -> None:
        """Notes that a request is sent to it."""
        self._silent_since = min(self._silent_since, clocks.monotonic())

    def note_failure(self) -> None:
        """Notes that a connection or a request to it failed."""
        penalty = _FIRST_PENALTY_S * 2**self._failures
        now = clocks.monotonic()
        self._penalised_until = now + min(penalty, _LONGEST_PENALTY_S)
        self._failures += 1
        self._silent_since = float("inf")

    def note_answer(self, latency_s: float) -> None:
        """Notes an answer and how long it took, in seconds."""
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)
        self._penalised_until = float("-inf")
        self._failures = 0
        self._silent_since = (
            clocks.monotonic() if self.in_use > 1 else float("inf")
        )

    async def acquire(self, deadline: float) -> None:
        """Waits for a slot; the earliest deadline goes first.

        Raises:
            OverloadedError: The queue is full.
            DeadlineError: No slot was free before the deadline.
        """
        if self.in_use < self._slots:
            self.in_use += 1
            return
        if len(self._waiting) >= self._queue_limit:
            raise outcomes.OverloadedError(
                f"{len(self._waiting)} requests wait",
                step="wait for slot",
                peer=self.server,
            )
        future = asyncio.get_running_loop().create_future()
        entry = (deadline, next(self._order), future)
        heapq.heappush(self._waiting, entry)
        try:
            async with asyncio.timeout(deadline - clocks.monotonic()):
                await future
        except TimeoutError as error:
            self._give_up(future)
            raise outcomes.DeadlineError(
                "no slot in time", step="wait for slot", peer=self.server
            ) from error
        except asyncio.CancelledError:
            self._give_up(future)
            raise

    def release(self) -> None:
        """Gives a slot back, to the waiter with the earliest deadline."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.in_use -= 1

    def _give_up(self, future: asyncio.Future) -> None:
        if future.done() and not future.cancelled():
            # The slot came in the same moment; hand it on.
            self.release()
        else:
            self._waiting = [e for e in self._waiting if e[2] is not future]
            heapq.heapify(self._waiting)


class Targets:
    """All targets of one service, by server."""

    def __init__(self, slots: int, queue_limit: int):
        self._slots = slots
        self._queue_limit = queue_limit
        self.by_server: dict[ids.ServerId, Target] = {}

    def sync(self, address_by_server: dict[ids.ServerId, str]) -> None:
        """Makes the targets those listed; kept ones keep their state."""
        kept = {}
        for server, address in address_by_server.items():
            target = self.by_server.get(server)
            if target is None or target.address != address:
                target = Target(server, address, self._slots, self._queue_limit)
            kept[server] = target
        self.by_server = kept
