"""Finds where the body of an HTTP/1.1 response ends."""

import abc

from swiftstile import errors
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_heads

__all__ = ["Framing", "framing_of"]

# Maximum length of the line with the size of a chunk, extensions included.
MAX_CHUNK_LINE_BYTES = 1024
# Maximum size of all trailers.
MAX_TRAILER_BYTES = 8192
_MAX_CHUNK_DIGITS = 15
_HEX = frozenset(b"0123456789abcdefABCDEF")


class Framing(abc.ABC):
    """Splits received bytes into a body and what follows it."""

    @abc.abstractmethod
    def feed(
        self, data: bytes, body: response_bodies.ResponseBody
    ) -> bytes | None:
        """Appends received bytes to a body, up to its end.

        Returns:
            The bytes behind the end of the body; None if it hasn't ended.

        Raises:
            MalformedResponseError: The bytes are no body.
        """

    def may_end_with_connection(self) -> bool:
        """Whether the body is complete if the server closes the connection."""
        return False


class _LengthFraming(Framing):
    """A body of a stated length."""

    def __init__(self, length: int):
        self._left = length

    def feed(
        self, data: bytes, body: response_bodies.ResponseBody
    ) -> bytes | None:
        """See base class."""
        if len(data) < self._left:
            self._left -= len(data)
            body.feed(data)
            return None
        body.feed(data[: self._left])
        rest, self._left = data[self._left :], 0
        return rest


class _UntilCloseFraming(Framing):
    """A body that ends with its connection."""

    def feed(
        self, data: bytes, body: response_bodies.ResponseBody
    ) -> bytes | None:
        """See base class."""
        body.feed(data)
        return None

    def may_end_with_connection(self) -> bool:
        """See base class."""
        return True


class _ChunkedFraming(Framing):
    """A body in chunks (RFC 9112, section 7.1)."""

    def __init__(self):
        # Bytes of the current chunk that are still due; its line end included.
        self._left = 0
        self._line = b""
        self._is_in_trailers = False
        self._trailer_bytes = 0

    def feed(
        self, data: bytes, body: response_bodies.ResponseBody
    ) -> bytes | None:
        """See base class."""
        position, size = 0, len(data)
        while position < size:
            if self._left > 2:
                end = min(position + self._left - 2, size)
                body.feed(data[position:end])
                self._left -= end - position
                position = end
            elif self._left:
                due = b"\r\n"[2 - self._left]
                if data[position] != due:
                    raise _malformed("no line end behind a chunk")
                self._left -= 1
                position += 1
            else:
                line, position = self._read_line(data, position)
                if line is not None and self._end_of_line(line):
                    return data[position:]
        return None

    def _read_line(
        self, data: bytes, position: int
    ) -> tuple[bytes | None, int]:
        """Returns a whole line, if there is one, and where the next begins."""
        end = data.find(b"\n", position)
        part = data[position:] if end < 0 else data[position:end]
        self._line += part
        if len(self._line) > MAX_CHUNK_LINE_BYTES:
            raise _malformed("line too long")
        if end < 0:
            return None, len(data)
        line, self._line = self._line, b""
        return line.removesuffix(b"\r"), end + 1

    def _end_of_line(self, line: bytes) -> bool:
        """Handles a line between chunks; returns whether the body has ended."""
        if self._is_in_trailers:
            self._trailer_bytes += len(line) + 2
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise _malformed("trailers too long")
            return not line
        digits = line.partition(b";")[0].strip(b" \t")
        if not 0 < len(digits) <= _MAX_CHUNK_DIGITS or not _HEX.issuperset(
            digits
        ):
            raise _malformed(f"size of a chunk {line[:40]!r}")
        size = int(digits, 16)
        if size:
            self._left = size + 2
        else:
            self._is_in_trailers = True
        return False


def framing_of(
    head: response_heads.ResponseHead, is_answer_to_head: bool
) -> Framing:
    """Returns the framing of the body behind a head.

    Args:
        head: The head of a final response.
        is_answer_to_head: Whether the request's method was HEAD.
    """
    if is_answer_to_head or not head.has_body:
        return _LengthFraming(0)
    if head.is_chunked:
        return _ChunkedFraming()
    if head.length is not None:
        return _LengthFraming(head.length)
    return _UntilCloseFraming()


def _malformed(message: str) -> errors.MalformedResponseError:
    return errors.MalformedResponseError(message, step="read body")
