"""Bodies of responses, as they are received."""

import asyncio
import collections
import collections.abc

__all__ = ["MAX_UNREAD_BYTES", "ResponseBody"]

# Reading from the connection pauses while more than this isn't taken.
MAX_UNREAD_BYTES = 1 << 17


def _ignore() -> None:
    """Does nothing."""


class ResponseBody:
    """The received part of a body, until it is taken.

    Args:
        on_taken: Called after a part of it was taken.
    """

    def __init__(self, on_taken: collections.abc.Callable[[], None]):
        self._on_taken = on_taken
        self._pieces: collections.deque[bytes] = collections.deque()
        self._unread = 0
        self._has_ended = False
        self._error: BaseException | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def has_ended(self) -> bool:
        """Whether it was received completely."""
        return self._has_ended

    @property
    def is_drained(self) -> bool:
        """Whether it was received and taken completely."""
        return self._has_ended and not self._pieces

    @property
    def is_full(self) -> bool:
        """Whether no more should be received until a part of it was taken."""
        return self._unread > MAX_UNREAD_BYTES

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        if data:
            self._pieces.append(data)
            self._unread += len(data)
            self._notify()

    def end(self) -> None:
        """Marks it as complete."""
        self._has_ended = True
        self._notify()

    def fail(self, error: BaseException) -> None:
        """Marks it as incomplete; received bytes aren't returned any more."""
        if not self._has_ended:
            self._error = self._error or error
            self._pieces.clear()
            self._notify()

    def detach(self) -> None:
        """Stops reporting that parts were taken."""
        self._on_taken = _ignore

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def next_piece(self) -> bytes:
        """Returns the next bytes; none at the end.

        Raises:
            Exception: The connection failed; the error that it failed with.
        """
        while not self._pieces:
            if self._error is not None:
                raise self._error
            if self._has_ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._error is not None:
            raise self._error
        data = self._pieces.popleft()
        if self._pieces:
            data += b"".join(self._pieces)
            self._pieces.clear()
        self._unread = 0
        self._on_taken()
        return data

    async def read(self, max_bytes: int) -> tuple[bytes, bool]:
        """Returns the body, or its first part if it is long.

        Args:
            max_bytes: Stops after the first piece beyond this size.

        Returns:
            The bytes, and whether these are the whole body.
        """
        pieces, size = [], 0
        while size <= max_bytes:
            piece = await self.next_piece()
            if not piece:
                return b"".join(pieces), True
            pieces.append(piece)
            size += len(piece)
            if self.is_drained:
                return b"".join(pieces), True
        return b"".join(pieces), False

    async def discard(self, max_bytes: int) -> bool:
        """Reads and drops it; returns whether it ended within a size."""
        size = 0
        while size <= max_bytes:
            piece = await self.next_piece()
            if not piece:
                return True
            size += len(piece)
        return False
