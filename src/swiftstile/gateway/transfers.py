"""Transfers rows of a table to a peer in compressed pieces.

The timeout of a request covers its whole answer. Over a link of little
bandwidth a large answer would never arrive in time, and each retry would start
at the first byte and fill the link again. Answers are therefore split into
pieces with a timeout each, and only a lost piece is requested again.
"""

import collections.abc
import zlib

import msgspec

from swiftstile import errors
from swiftstile.peers import messages

__all__ = [
    "MAX_BYTES",
    "PIECE_BYTES",
    "IncomingRows",
    "OutgoingRows",
    "Span",
]

# Several VMs of a domain may fetch from one whose link is the narrowest, 5
# Mbit/s: 38 pieces of this size pass within the timeout of one.
PIECE_BYTES = 8192
# Maximum size of all rows of an answer; larger ones are rejected. The whole
# configuration of the largest planned deployment is a tenth of it.
MAX_BYTES = 32 << 20
# Answers are retained for this long after their last piece was requested, in
# seconds.
RETENTION_S = 5.0
# Maximum size of all retained answers; the newest is retained in any case.
MAX_RETAINED_BYTES = 8 << 20
# Rows are JSON or MessagePack with many repeated names: the fastest level
# already compresses them to a tenth.
_LEVEL = 1

# Values of `Span.first` without a first row; versions of rows are greater.
ALL_ROWS, NO_ROWS = -1, -2

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Rows)


class Span(msgspec.Struct, frozen=True):
    """Identifies the rows of an answer, for all peers that lack the same rows.

    Peers know different versions of the store, each as of its own last call.

    Attributes:
        table: Name of the table.
        first: Version of the first row in the answer; `ALL_ROWS` if it has all
            rows, and `NO_ROWS` if it has none.
        newest: Version of the newest change of the table, or of the last time
            at which rows may have changed unseen.
    """

    table: str
    first: int
    newest: int

    @classmethod
    def of(cls, table: str, rows: messages.Rows, newest: int) -> "Span":
        """Returns the span of an answer.

        Args:
            table: Name of the table.
            rows: The answer; changes are ordered by version.
            newest: As above.
        """
        if rows.is_whole:
            return cls(table, ALL_ROWS, newest)
        if not rows.rows:
            # Such an answer only carries the version.
            return cls(table, NO_ROWS, rows.version)
        return cls(table, rows.rows[0].version, newest)


class _RetainedAnswer:
    """An encoded answer, shared by all peers that lack the same rows."""

    def __init__(self, number: int, data: bytes, now: float):
        self.number = number
        self.data = data
        self.used_at = now


class OutgoingRows:
    """Answers that peers fetch piece by piece."""

    def __init__(self):
        self._number = 0
        self._by_number: dict[int, _RetainedAnswer] = {}
        self._number_by_span: dict[Span, int] = {}

    def begin(
        self,
        span: Span,
        make_rows: collections.abc.Callable[[], messages.Rows],
        now: float,
    ) -> messages.Piece:
        """Returns the first piece of an answer.

        Args:
            span: Identifies the answer. It is encoded once for all peers that
                lack the same rows.
            make_rows: Returns the rows; called only if they have to be encoded.
            now: The time.
        """
        number = self._number_by_span.get(span)
        if number is None:
            number = self._retain(span, _encode(make_rows()), now)
        return self.piece(number, 0, now)

    def piece(self, number: int, offset: int, now: float) -> messages.Piece:
        """Returns a piece of an answer.

        Raises:
            ControlMessageError: The answer was evicted, or is shorter than the
                offset.
        """
        answer = self._by_number.get(number)
        if answer is None or not 0 <= offset < len(answer.data):
            raise errors.ControlMessageError(
                f"no byte {offset} of answer {number}", step="find piece"
            )
        answer.used_at = now
        data = answer.data[offset : offset + PIECE_BYTES]
        return messages.Piece(number, len(answer.data), data)

    def _retain(self, span, data: bytes, now: float) -> int:
        self._number += 1
        self._by_number[self._number] = _RetainedAnswer(self._number, data, now)
        self._number_by_span[span] = self._number
        self._evict_old(now)
        return self._number

    def _evict_old(self, now: float) -> None:
        answers = sorted(
            self._by_number.values(),
            key=lambda answer: (answer.used_at, answer.number),
            reverse=True,
        )
        size = 0
        for index, answer in enumerate(answers):
            size += len(answer.data)
            is_old = now - answer.used_at > RETENTION_S
            if index and (is_old or size > MAX_RETAINED_BYTES):
                del self._by_number[answer.number]
        self._number_by_span = {
            span: number
            for span, number in self._number_by_span.items()
            if number in self._by_number
        }


class IncomingRows:
    """An answer that is being received in pieces.

    Attributes:
        number: The peer's number for it.
        size: Its size in bytes.
    """

    def __init__(self, first: messages.Piece):
        if first.size > MAX_BYTES:
            raise errors.ControlMessageError(
                f"{first.size} bytes, at most {MAX_BYTES}", step="fetch rows"
            )
        self.number = first.number
        self.size = first.size
        self._data = bytearray()
        self.add(first)

    @property
    def received(self) -> int:
        """Number of bytes received; the offset of the next piece."""
        return len(self._data)

    @property
    def is_whole(self) -> bool:
        """Whether all pieces were received."""
        return len(self._data) == self.size

    def add(self, piece: messages.Piece) -> None:
        """Adds the next piece.

        Raises:
            ControlMessageError: It doesn't continue this answer.
        """
        is_same = (piece.number, piece.size) == (self.number, self.size)
        fits = 0 < len(piece.data) <= self.size - len(self._data)
        if not is_same or not fits:
            raise errors.ControlMessageError(
                f"{len(piece.data)} bytes of answer {piece.number} at byte"
                f" {len(self._data)} of {self.size}",
                step="fetch rows",
            )
        self._data += piece.data

    def rows(self) -> messages.Rows:
        """Returns the rows, once all pieces were received.

        Raises:
            ControlMessageError: They can't be decoded.
        """
        return _decode(bytes(self._data))


def _encode(rows: messages.Rows) -> bytes:
    return zlib.compress(_encoder.encode(rows), _LEVEL)


def _decode(data: bytes) -> messages.Rows:
    try:
        stream = zlib.decompressobj()
        plain = stream.decompress(data, MAX_BYTES)
        if not stream.eof:
            raise errors.ControlMessageError(
                f"cut off, or more than {MAX_BYTES} bytes", step="decode rows"
            )
        return _decoder.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.ControlMessageError(
            repr(error), step="decode rows"
        ) from error
