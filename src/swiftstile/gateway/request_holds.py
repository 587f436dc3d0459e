"""What this process holds of one request until it was answered."""

import collections.abc
import contextlib
import enum

from aiohttp import streams

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import piece_buffers

__all__ = ["STALL_S", "RequestHold", "RequestStage"]

# A body is stalled if less than this arrived of it in this time. It is less
# than a body that is too long to buffer needs to arrive within a minute.
STALL_S = 1.0
_MIN_PROGRESS_BYTES = 1 << 14


class RequestStage(enum.Enum):
    """What a request that was read waits for."""

    QUEUED = "queued"  # for earlier requests of its connection
    RECEIVING = "receiving"  # for its body
    WAITING = "waiting"  # for a slot
    SENT = "sent"  # for an upstream, or the VM that it was forwarded to
    ANSWERING = "answering"  # for its response to be written
    ANSWERED = "answered"  # for the rest of its body, which is discarded


def _ignore_change() -> None:
    """Does nothing."""


class RequestHold:
    """The memory of one request, and whether it may still be refused.

    Args:
        head_bytes: Memory of its head.
        payload: Its body; None if it has none.
        on_change: Called when less is held.

    Attributes:
        head_bytes: Memory of its head.
        buffer: What was read of its body and is neither assembled nor sent.
        is_passed_on: Whether a part of it may have been sent to an upstream or
            to another VM. Only until then it can be refused with the promise
            that it never runs.
        progress_at: When enough of its body had arrived since the time before;
            a few bytes now and then don't count.
        is_refused: Whether it was refused.
        is_cut: Whether the process stopped before it was answered.
        received_at: When all of it had been received, on the monotonic clock;
            None before.
        stage: What it waits for.
        upstream: The upstream or VM that it was sent to last.
        refusal: Why, until `take_refusal` was called.
    """

    __slots__ = (
        "_on_change",
        "_payload",
        "_progress_bytes",
        "_released_bytes",
        "buffer",
        "head_bytes",
        "is_cut",
        "is_passed_on",
        "is_refused",
        "progress_at",
        "received_at",
        "refusal",
        "stage",
        "upstream",
    )

    def __init__(
        self,
        head_bytes: int = 0,
        payload: streams.StreamReader | None = None,
        on_change: collections.abc.Callable[[], None] = _ignore_change,
    ):
        self.head_bytes = head_bytes
        self._payload = payload
        self._on_change = on_change
        self._released_bytes = 0
        self._progress_bytes = 0
        self.progress_at = now = clocks.monotonic()
        self.received_at: float | None = None
        if payload is None:
            self.received_at = now
        else:
            payload.on_eof(self._note_whole)
        self.buffer = piece_buffers.PieceBuffer()
        self.is_passed_on = False
        self.is_refused = False
        self.is_cut = False
        self.stage = RequestStage.QUEUED
        self.upstream = ""
        self.refusal: outcomes.GatewayError | None = None

    def _note_whole(self) -> None:
        self.received_at = clocks.monotonic()

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds."""
        if self._payload is None:
            return self.head_bytes
        received = self._payload.total_bytes
        return self.head_bytes + max(0, received - self._released_bytes)

    @property
    def is_receiving(self) -> bool:
        """Whether its body hasn't arrived completely."""
        return self._payload is not None and not self._payload.is_eof()

    def note_received(self, now: float) -> None:
        """Records progress if enough of its body arrived since the last."""
        received = self._payload.total_bytes
        if received - self._progress_bytes >= _MIN_PROGRESS_BYTES:
            self._progress_bytes, self.progress_at = received, now

    def is_stalled(self, now: float) -> bool:
        """Whether its body stopped arriving."""
        return self.is_receiving and now - self.progress_at >= STALL_S

    @property
    def can_refuse(self) -> bool:
        """Whether it was neither sent anywhere nor refused yet."""
        return not self.is_passed_on and not self.is_refused

    def pass_on(self) -> None:
        """Records that it is about to be sent.

        Raises:
            GatewayError: It was refused before.
        """
        if self.is_refused:
            raise self.take_refusal()
        self.is_passed_on = True
        self.stage = RequestStage.SENT

    def take_refusal(self) -> outcomes.GatewayError:
        """Returns why it was refused, and forgets that.

        The error, once raised, refers to the frames that refer to this object.
        """
        error, self.refusal = self.refusal, None
        return error or outcomes.MemoryLimitError("refused", step="receive")

    def release(self, count: int) -> None:
        """Records that a number of bytes of its body aren't held any more."""
        self._released_bytes += count
        self._on_change()

    def refuse(self, error: outcomes.GatewayError) -> None:
        """Refuses it and frees its body."""
        self.is_refused, self.refusal = True, error
        self.discard()

    def discard(self) -> None:
        """Frees its body; the connection must not receive more of it."""
        self.buffer.clear()
        payload, self._payload = self._payload, None
        if payload is not None and payload.exception() is None:
            # Raised while somebody waits for bytes: there are none to free.
            with contextlib.suppress(RuntimeError):
                payload.read_nowait()
