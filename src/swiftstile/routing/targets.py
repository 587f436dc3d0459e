"""A router's state of the servers of a service: slots, queues and failures."""

import asyncio
import heapq
import itertools

from swiftstile import clocks
from swiftstile import ids
from swiftstile.routing import outcomes

__all__ = ["Target", "Targets"]

# A server isn't used for this long after a failure, unless no other is left.
# The time doubles with each consecutive failure.
_MIN_PENALTY_S = 0.5
_MAX_PENALTY_S = 4.0
# A server with outstanding requests is skipped if it hasn't answered any for
# this long.
_UNRESPONSIVE_AFTER_S = 1.0
# Weight of the newest sample in the smoothed latency.
_LATENCY_WEIGHT = 0.1


class Target:
    """One server, its slots and the requests that wait for a slot.

    Attributes:
        server: Id of the server.
        address: Its `host:port`.
        in_use: Number of slots held by requests of this router.
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
        self._unanswered_since = float("inf")

    @property
    def outstanding(self) -> int:
        """Number of this router's requests that hold or wait for a slot."""
        return self.in_use + len(self._waiting)

    def is_penalised(self) -> bool:
        """Returns whether a recent failure excludes the server."""
        return clocks.monotonic() < self._penalised_until

    def is_responsive(self) -> bool:
        """Returns whether the server is neither penalised nor unresponsive."""
        now = clocks.monotonic()
        is_unresponsive = now - self._unanswered_since > _UNRESPONSIVE_AFTER_S
        return now >= self._penalised_until and not is_unresponsive

    def record_sent(self) -> None:
        """Records that a request is being sent to the server."""
        self._unanswered_since = min(self._unanswered_since, clocks.monotonic())

    def record_failure(self) -> None:
        """Records a failed connection or request."""
        penalty = _MIN_PENALTY_S * 2**self._failures
        now = clocks.monotonic()
        self._penalised_until = now + min(penalty, _MAX_PENALTY_S)
        self._failures += 1
        self._unanswered_since = float("inf")

    def record_answer(self, latency_s: float) -> None:
        """Records an answer and its latency, in seconds."""
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)
        self._penalised_until = float("-inf")
        self._failures = 0
        self._unanswered_since = (
            clocks.monotonic() if self.in_use > 1 else float("inf")
        )

    async def acquire(self, deadline: float) -> None:
        """Waits for a slot. Waiters get slots in order of their deadlines.

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
            self._abandon_wait(future)
            raise outcomes.DeadlineError(
                "no slot in time", step="wait for slot", peer=self.server
            ) from error
        except asyncio.CancelledError:
            self._abandon_wait(future)
            raise

    def release(self) -> None:
        """Passes the slot to the waiter with the earliest deadline, if any."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.in_use -= 1

    def _abandon_wait(self, future: asyncio.Future) -> None:
        if future.done() and not future.cancelled():
            # The slot was assigned just as the wait ended: pass it on.
            self.release()
        else:
            self._waiting = [e for e in self._waiting if e[2] is not future]
            heapq.heapify(self._waiting)


class Targets:
    """Targets of one service by server."""

    def __init__(self, slots: int, queue_limit: int):
        self._slots = slots
        self._queue_limit = queue_limit
        self.by_server: dict[ids.ServerId, Target] = {}

    def sync(self, address_by_server: dict[ids.ServerId, str]) -> None:
        """Replaces the servers by those listed.

        A server whose address is unchanged keeps its state.
        """
        kept = {}
        for server, address in address_by_server.items():
            target = self.by_server.get(server)
            if target is None or target.address != address:
                target = Target(server, address, self._slots, self._queue_limit)
            kept[server] = target
        self.by_server = kept
