"""Divides what a caller sends into heads and bodies of requests.

The parser of `aiohttp` checks and decodes each part. It is given no byte behind
the end of the present head or body: it would keep a further request without a
way to tell so. What is held of an unfinished head and of input that waits is
therefore known exactly.

The parser decides what is legal. Bytes that the two divide differently are
refused, as they could hide a request.
"""

import asyncio
import enum
import re

import aiohttp
from aiohttp import base_protocol
from aiohttp import hdrs
from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams

from swiftstile.gateway import caller_input

__all__ = ["MAX_LINE_BYTES", "RequestFraming", "make_parser"]

# Longest line that the parser accepts, in bytes. The operator's limit is lower
# and may change, so it is checked for each request.
MAX_LINE_BYTES = 65536
# Bytes of a body that are buffered before reading pauses.
_BODY_BUFFER_BYTES = 1 << 16
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
# Bytes of an unfinished line of a chunked body that are kept; more than the
# digits of a length.
_KEPT_LINE_BYTES = 80
# Leading zeros are allowed. The parser checks the rest of the line.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,64})(?:;[^\n]*)?\r?\n")


def make_parser(
    protocol: base_protocol.BaseProtocol, loop: asyncio.AbstractEventLoop
) -> http.HttpRequestParser:
    """Returns the parser of a connection."""
    return http.HttpRequestParser(
        protocol,
        loop,
        _BODY_BUFFER_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        payload_exception=aiohttp.ClientPayloadError,
        auto_decompress=False,
    )


class _Place(enum.Enum):
    """Where in a request the next byte belongs."""

    BETWEEN = enum.auto()
    HEAD = enum.auto()
    SIZED_BODY = enum.auto()
    CHUNKS = enum.auto()
    TRAILERS = enum.auto()
    # All of the body was given to the parser, which hasn't completed it yet.
    BODY_END = enum.auto()


class RequestFraming:
    """The input of one connection that belongs to no request yet.

    Attributes:
        head_started_at: When the first byte of an unfinished head was taken.
        head_bytes: Length of what was taken of an unfinished head, or of the
            fields behind a body.
    """

    def __init__(self):
        self._place = _Place.BETWEEN
        # What wasn't given to the parser.
        self._data = b""
        # Most of the given part of a body that the parser may still keep.
        self._kept_bytes = 0
        self._given_bytes = 0
        self._taken_bytes = 0
        self._has_head_ended = False
        self._has_trailers = False
        # The end of an unfinished head, or the start of an unfinished line.
        self._line = b""
        # Bytes of the body or chunk that weren't given yet.
        self._left_bytes = 0
        self._payload: streams.StreamReader | None = None
        self.head_started_at: float | None = None
        self.head_bytes = 0

    @property
    def is_inside_body(self) -> bool:
        """Whether a body hasn't ended."""
        return self._place not in (_Place.BETWEEN, _Place.HEAD)

    @property
    def has_ended_with_trailers(self) -> bool:
        """Whether the last request had fields behind its body."""
        return self._has_trailers and self._place is _Place.BETWEEN

    @property
    def count(self) -> int:
        """Number of bytes that belong to no parsed head or body.

        While the parser is paused it may be too large by the framing of the
        chunks in the last read.
        """
        return self.head_bytes + len(self._data) + self._kept_bytes

    @property
    def held_bytes(self) -> int:
        """Memory of these bytes."""
        unread = len(self._data) + self._kept_bytes
        return unread + caller_input.HEAD_COPIES * self.head_bytes

    @property
    def has_next_part(self) -> bool:
        """Whether the parser may have to be given something."""
        return bool(
            self._data or self._kept_bytes or self._place is _Place.BODY_END
        )

    def receive(self, data: bytes) -> None:
        """Adds received bytes."""
        self._data = self._data + data if self._data else data

    def next_part(self, now: float) -> bytes | None:
        """Takes what the parser has to be given next.

        Returns:
            A part of one head or body; empty if the parser has to go on with
            what it keeps; None if there is nothing to do.
        """
        if self._kept_bytes or self._place is _Place.BODY_END:
            self._given_bytes = 0
            return b""
        data = self._data
        if not data:
            return None
        if self._place is _Place.BETWEEN:
            if data[0] in _LINE_END:
                # Empty lines may precede a request.
                data = self._data = data.lstrip(_LINE_END)
                if not data:
                    return None
            self._place, self._has_trailers = _Place.HEAD, False
            self.head_started_at = now
        end = self._take_end(data)
        if end == len(data):
            part, self._data = data, b""
        else:
            part, self._data = data[:end], data[end:]
        self._given_bytes = len(part)
        return part

    def on_parsed(self, messages, is_paused: bool) -> None:
        """Records what the parser made of the last part.

        Args:
            messages: The heads that it completed, each with its body.
            is_paused: Whether it stopped within the part, as the body that was
                parsed isn't read yet.

        Raises:
            BadHttpMessage: It divides the input in another way.
        """
        if self._place is _Place.HEAD:
            if len(messages) != int(self._has_head_ended):
                raise http_exceptions.BadHttpMessage("ambiguous end of a head")
            if messages:
                self._begin_body(*messages[0])
            return
        payload = self._payload
        taken_bytes = payload.total_bytes - self._taken_bytes
        self._taken_bytes = payload.total_bytes
        self._kept_bytes += self._given_bytes - taken_bytes
        if not is_paused or self._kept_bytes < 0:
            self._kept_bytes = 0
        has_ended = payload.is_eof()
        is_expected = self._place is _Place.BODY_END
        # The parser may need to be called again for the end of a body.
        is_overdue = is_expected and not self._given_bytes and not is_paused
        if (
            messages
            or (has_ended and not is_expected)
            or (is_overdue and not has_ended)
        ):
            raise http_exceptions.BadHttpMessage("ambiguous end of a body")
        if has_ended:
            self._place, self._payload = _Place.BETWEEN, None

    def check_head(self, max_bytes: int) -> None:
        """Checks the length of an unfinished head.

        Args:
            max_bytes: Longest head allowed, without its first line.

        Raises:
            LineTooLong: It is too long.
        """
        if self.head_bytes > max_bytes + MAX_LINE_BYTES:
            raise http_exceptions.LineTooLong(
                b"a head that doesn't end", max_bytes
            )

    def _begin_body(
        self, message: http.RawRequestMessage, payload: streams.StreamReader
    ) -> None:
        self.head_started_at, self.head_bytes = None, 0
        self._has_head_ended, self._line = False, b""
        if payload.is_eof():
            self._place = _Place.BETWEEN
            return
        self._payload, self._taken_bytes = payload, payload.total_bytes
        if message.chunked:
            self._place = _Place.CHUNKS
        else:
            self._place = _Place.SIZED_BODY
            self._left_bytes = int(message.headers[hdrs.CONTENT_LENGTH])

    def _take_end(self, data: bytes) -> int:
        """Returns the end of the next part, and moves the place there."""
        if self._place is _Place.HEAD:
            end = self._head_end(data)
            self.head_bytes += end
            return end
        if self._place is not _Place.SIZED_BODY:
            return self._chunks_end(data)
        end = min(self._left_bytes, len(data))
        self._left_bytes -= end
        if not self._left_bytes:
            self._place = _Place.BODY_END
        return end

    def _head_end(self, data: bytes) -> int:
        overlap = len(_HEAD_END) - 1
        if self._line:
            # The empty line may have begun in an earlier part.
            joint = self._line + data[:overlap]
            found = joint.find(_HEAD_END)
            if found >= 0:
                self._has_head_ended = True
                return found + len(_HEAD_END) - len(self._line)
        found = data.find(_HEAD_END)
        if found >= 0:
            self._has_head_ended = True
            return found + len(_HEAD_END)
        self._line = (self._line + data[-overlap:])[-overlap:]
        return len(data)

    def _chunks_end(self, data: bytes) -> int:
        position, size = 0, len(data)
        while position < size:
            if self._left_bytes:
                skipped = min(self._left_bytes, size - position)
                self._left_bytes -= skipped
                position += skipped
            elif self._place is _Place.TRAILERS:
                end = self._trailer_end(data, position)
                self.head_bytes += end - position
                position = end
                if self._place is _Place.BODY_END:
                    self.head_bytes = 0
                    break
            else:
                position = self._chunk_line_end(data, position)
        return position

    def _chunk_line_end(self, data: bytes, start: int) -> int:
        """Takes the line in front of a chunk; returns its end."""
        match = None if self._line else _CHUNK_LINE.match(data, start)
        if match is not None:
            end = match.end()
        else:
            line, end = self._take_line(data, start)
            if not line:
                return end
            match = _CHUNK_LINE.match(line)
            if match is None:
                raise http_exceptions.TransferEncodingError("chunk size")
        length = int(match[1], 16)
        if length:
            self._left_bytes = length + len(_LINE_END)
        else:
            self._place = _Place.TRAILERS
        return end

    def _trailer_end(self, data: bytes, start: int) -> int:
        """Takes a line behind the last chunk; returns its end."""
        line, end = self._take_line(data, start)
        if line == _LINE_END:
            self._place = _Place.BODY_END
        elif line:
            self._has_trailers = True
        return end

    def _take_line(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Returns the start of a line, empty until it is whole, and its end."""
        end = data.find(b"\n", start) + 1
        if end:
            line, self._line = self._line + data[start:end], b""
            return line, end
        kept = self._line + data[start : start + _KEPT_LINE_BYTES]
        self._line = kept[:_KEPT_LINE_BYTES]
        return b"", len(data)
