"""The unanswered requests of one connection, in the order of their arrival."""

import collections
import collections.abc

from aiohttp import streams

from swiftstile.gateway import caller_requests

__all__ = [
    "MAX_CONCURRENT_REQUESTS",
    "MAX_FINISHED_BYTES",
    "MAX_PENDING_REQUESTS",
    "RequestQueue",
]

# Maximum requests of one connection that are handled at the same time. A
# browser sends about six. Without a limit one caller could take all slots.
MAX_CONCURRENT_REQUESTS = 8
# Maximum size of the finished responses of one connection that wait for earlier
# ones. Above it, no further request of the connection is started.
MAX_FINISHED_BYTES = 1 << 18
# Maximum unanswered requests of one connection, and maximum memory of their
# heads. Reading pauses above either.
MAX_PENDING_REQUESTS = 32
MAX_PENDING_HEAD_BYTES = 1 << 18


class RequestQueue:
    """Unanswered requests of one connection."""

    def __init__(self):
        self._pending: collections.deque[caller_requests.PendingRequest] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._pending)

    def __iter__(
        self,
    ) -> collections.abc.Iterator[caller_requests.PendingRequest]:
        return iter(self._pending)

    @property
    def first(self) -> caller_requests.PendingRequest:
        """The request whose response is sent next."""
        return self._pending[0]

    @property
    def last(self) -> caller_requests.PendingRequest:
        """The request that arrived last."""
        return self._pending[-1]

    @property
    def is_full(self) -> bool:
        """Whether no further request should be read."""
        count = len(self._pending)
        return count >= MAX_PENDING_REQUESTS or (
            count > 1 and self._head_bytes() > MAX_PENDING_HEAD_BYTES
        )

    @property
    def has_space(self) -> bool:
        """Whether reading may go on after it was full.

        The body of a single request has to be read however long its head is.
        """
        return len(self._pending) <= 1 or (
            len(self._pending) <= MAX_PENDING_REQUESTS // 2
            and self._head_bytes() <= MAX_PENDING_HEAD_BYTES // 2
        )

    def _head_bytes(self) -> int:
        return sum(pending.hold.head_bytes for pending in self._pending)

    @property
    def held_bytes(self) -> int:
        """Memory of all requests, in bytes."""
        return sum(pending.hold.held_bytes for pending in self._pending)

    def append(self, pending: caller_requests.PendingRequest) -> None:
        """Adds a request that was read."""
        self._pending.append(pending)

    def remove_first(self) -> None:
        """Removes the first request, which was answered."""
        self._pending.popleft()
        if self._pending:
            self._pending[0].note_turn()

    def largest_refusable(self) -> caller_requests.PendingRequest | None:
        """Returns the request that holds most behind all that must be answered.

        Returns:
            The first of these that holds so much; None if there is none.
        """
        largest = None
        for pending in reversed(self._pending):
            if not pending.can_refuse:
                break
            held = pending.hold.held_bytes
            if largest is None or held >= largest.hold.held_bytes:
                largest = pending
        return largest

    def drop_behind(self, pending: caller_requests.PendingRequest) -> None:
        """Drops the requests behind one."""
        while self._pending[-1] is not pending:
            self._pending.pop().cancel()

    def cancel_all(self) -> None:
        """Drops all requests."""
        for pending in self._pending:
            pending.cancel()
        self._pending.clear()

    def incomplete_bodies(self) -> list[streams.StreamReader]:
        """Returns the bodies that haven't arrived completely."""
        return [
            pending.payload
            for pending in self._pending
            if not pending.payload.is_eof()
        ]

    def startable(
        self, responder: caller_requests.Responder
    ) -> list[caller_requests.PendingRequest]:
        """Returns requests behind the first one that may be started now."""
        found: list[caller_requests.PendingRequest] = []
        if len(self._pending) < 2:
            return found
        finished_bytes = 0
        for position, pending in enumerate(self._pending):
            if not pending.may_run_concurrently(responder):
                break
            finished_bytes += pending.response_bytes()
            if (
                position >= MAX_CONCURRENT_REQUESTS
                or finished_bytes > MAX_FINISHED_BYTES
            ):
                break
            if position and pending.task is None:
                found.append(pending)
        return found
