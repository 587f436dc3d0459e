"""Rows of a table on their way to a peer, in compressed pieces.

The time limit of a question is one for its whole answer. Over a link of little
bandwidth a large answer would never come within it, and each new try would
begin at the first byte and fill the link again. So an answer comes in pieces,
each with a limit of its own, and a piece that is lost is asked for alone.
"""

import collections.abc
import zlib

import msgspec

from swiftstile import errors
from swiftstile.peers import messages

__all__ = [
    "MOST_BYTES",
    "PIECE_BYTES",
    "IncomingRows",
    "OutgoingRows",
    "Span",
]

# Some VMs of a domain may fetch from one whose link is the narrowest, 5 Mbit/s:
# 38 such pieces pass there within the time limit of one.
PIECE_BYTES = 8192
# Rows of more bytes than this, all together, are refused. The whole
# configuration of the largest deployment that is planned for is a tenth of it.
MOST_BYTES = 32 << 20
# An answer is kept for so long after its last piece was asked for, in seconds.
KEPT_S = 5.0
# Most bytes of answers that are kept; the newest is kept in any case.
MOST_KEPT_BYTES = 8 << 20
# Rows are JSON or MessagePack with many names that repeat. The fastest level
# already makes a tenth of it.
_LEVEL = 1

# First rows of spans without one; versions of rows are greater.
ALL_ROWS, NO_ROWS = -1, -2

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Rows)


class Span(msgspec.Struct, frozen=True):
    """What an answer holds, the same for all peers that lack the same rows.

    Peers know different versions of the store, each as of its own last call.

    Attributes:
        table: Name of the table.
        first: Version of the first row that is missing; `ALL_ROWS` if all rows
            are told, and `NO_ROWS` if none is.
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
            # Says nothing but the version.
            return cls(table, NO_ROWS, rows.version)
        return cls(table, rows.rows[0].version, newest)


class _Answer:
    """An encoded answer, for all peers that asked the same."""

    def __init__(self, number: int, data: bytes, now: float):
        self.number = number
        self.data = data
        self.used_at = now


class OutgoingRows:
    """Answers that peers are fetching piece by piece."""

    def __init__(self):
        self._number = 0
        self._by_number: dict[int, _Answer] = {}
        self._number_by_span: dict[Span, int] = {}

    def begin(
        self,
        span: Span,
        make_rows: collections.abc.Callable[[], messages.Rows],
        now: float,
    ) -> messages.Chunk:
        """Returns the first piece of an answer.

        Args:
            span: What it holds. What was encoded once serves all peers that
                lack the same.
            make_rows: Returns the rows, if they have to be encoded.
            now: The time.
        """
        number = self._number_by_span.get(span)
        if number is None:
            number = self._keep(span, _encode(make_rows()), now)
        return self.piece(number, 0, now)

    def piece(self, number: int, offset: int, now: float) -> messages.Chunk:
        """Returns a piece of an answer.

        Raises:
            ControlMessageError: It isn't kept any more, or isn't as long.
        """
        answer = self._by_number.get(number)
        if answer is None or not 0 <= offset < len(answer.data):
            raise errors.ControlMessageError(
                f"no byte {offset} of answer {number}", step="find piece"
            )
        answer.used_at = now
        data = answer.data[offset : offset + PIECE_BYTES]
        return messages.Chunk(number, len(answer.data), data)

    def _keep(self, span, data: bytes, now: float) -> int:
        self._number += 1
        self._by_number[self._number] = _Answer(self._number, data, now)
        self._number_by_span[span] = self._number
        self._forget_old(now)
        return self._number

    def _forget_old(self, now: float) -> None:
        kept = sorted(
            self._by_number.values(),
            key=lambda answer: (answer.used_at, answer.number),
            reverse=True,
        )
        size = 0
        for place, answer in enumerate(kept):
            size += len(answer.data)
            is_old = now - answer.used_at > KEPT_S
            if place and (is_old or size > MOST_KEPT_BYTES):
                del self._by_number[answer.number]
        self._number_by_span = {
            span: number
            for span, number in self._number_by_span.items()
            if number in self._by_number
        }


class IncomingRows:
    """An answer of which pieces come in.

    Attributes:
        number: The peer's number for it.
        size: Bytes in all.
    """

    def __init__(self, first: messages.Chunk):
        if first.size > MOST_BYTES:
            raise errors.ControlMessageError(
                f"{first.size} bytes, at most {MOST_BYTES}", step="fetch rows"
            )
        self.number = first.number
        self.size = first.size
        self._data = bytearray()
        self.add(first)

    @property
    def received(self) -> int:
        """Bytes that are here; the offset of the next piece."""
        return len(self._data)

    @property
    def is_whole(self) -> bool:
        """Whether all pieces are here."""
        return len(self._data) == self.size

    def add(self, piece: messages.Chunk) -> None:
        """Takes in the next piece.

        Raises:
            ControlMessageError: It doesn't continue this answer.
        """
        is_same = (piece.number, piece.size) == (self.number, self.size)
        is_fit = 0 < len(piece.data) <= self.size - len(self._data)
        if not is_same or not is_fit:
            raise errors.ControlMessageError(
                f"{len(piece.data)} bytes of answer {piece.number} at byte"
                f" {len(self._data)} of {self.size}",
                step="fetch rows",
            )
        self._data += piece.data

    def rows(self) -> messages.Rows:
        """Returns the rows, once all pieces are here.

        Raises:
            ControlMessageError: They can't be decoded.
        """
        return _decode(bytes(self._data))


def _encode(rows: messages.Rows) -> bytes:
    return zlib.compress(_encoder.encode(rows), _LEVEL)


def _decode(data: bytes) -> messages.Rows:
    try:
        stream = zlib.decompressobj()
        plain = stream.decompress(data, MOST_BYTES)
        if not stream.eof:
            raise errors.ControlMessageError(
                f"cut off, or more than {MOST_BYTES} bytes", step="decode rows"
            )
        return _decoder.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.ControlMessageError(
            repr(error), step="decode rows"
        ) from error
