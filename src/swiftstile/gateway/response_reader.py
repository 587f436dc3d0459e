"""Reads the responses of one connection, one at a time.

The one place that decides where a response begins and ends. It reads no byte
behind the end of a response until the next one is asked for: these bytes belong
to no request, unless the response turns out to be a copy of an earlier one.
"""

import collections.abc
import re

from swiftstile import errors
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_framing
from swiftstile.gateway import response_heads

__all__ = ["MAX_HEAD_BYTES", "MAX_INTERIM_RESPONSES", "ResponseReader"]

# Maximum size of a head with all interim responses before it.
MAX_HEAD_BYTES = 1 << 16
MAX_INTERIM_RESPONSES = 16
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_BEGIN = b"HTTP/1."
# The longest end of a head that may be split between two reads.
_SPLIT_BYTES = 3


def _ignore() -> None:
    """Does nothing."""


class ResponseReader:
    """Splits the bytes behind one request into heads and bodies.

    Attributes:
        head: Head of the current response; None while it isn't complete.
        body: Its body.
        is_done: Whether the current response has ended.

    Args:
        is_answer_to_head: Whether the request's method is HEAD.
        on_taken: Called after a part of a body was taken.
    """

    def __init__(
        self,
        is_answer_to_head: bool,
        on_taken: collections.abc.Callable[[], None],
    ):
        self._is_answer_to_head = is_answer_to_head
        self._on_taken = on_taken
        self.expect_response()

    def expect_response(self) -> None:
        """Begins to read the next response."""
        self.head: response_heads.ResponseHead | None = None
        self.body = response_bodies.ResponseBody(self._on_taken)
        self.is_done = False
        self._partial = b""
        self._head_bytes = 0
        self._interim = 0
        self._framing: response_framing.Framing | None = None

    def detach(self) -> None:
        """Ends reading for good, and stops reporting that parts were taken.

        The callback refers to the connection, which refers to this object: all
        received bytes would else stay until the next collection of garbage.
        """
        self._on_taken = _ignore
        self._partial = b""
        self.body.detach()

    def feed(self, data: bytes) -> bytes:
        """Reads received bytes; returns those behind the end of the response.

        Raises:
            MalformedResponseError: They are no response, or exceed a limit.
        """
        if self.is_done:
            return data
        if self._framing is None:
            data = self._read_head(data)
            if self._framing is None:
                return b""
        rest = self._framing.feed(data, self.body)
        if rest is None:
            return b""
        self.body.end()
        self.is_done = True
        return rest

    def feed_end(self) -> None:
        """Notes that the server closed the connection.

        Raises:
            MalformedResponseError: The response isn't complete.
        """
        if self.is_done:
            return
        framing = self._framing
        if framing is None or not framing.may_end_with_connection():
            raise errors.MalformedResponseError(
                "the connection ended first", step="read response"
            )
        self.body.end()
        self.is_done = True

    def _read_head(self, data: bytes) -> bytes:
        """Reads heads up to that of the final response; returns the rest."""
        while True:
            start = max(0, len(self._partial) - _SPLIT_BYTES)
            received = self._partial + data
            # Empty lines before a status line are ignored.
            self._partial = received.lstrip(b"\r\n")
            self._head_bytes += len(received) - len(self._partial)
            match = _HEAD_END.search(self._partial, start)
            length = len(self._partial) if match is None else match.end()
            self._check_limits(length)
            if match is None:
                return b""
            head = response_heads.parse(self._partial[: match.start()])
            data, self._partial = self._partial[match.end() :], b""
            self._head_bytes += length
            if not head.is_interim:
                self._begin_body(head)
                return data
            self._interim += 1
            if self._interim > MAX_INTERIM_RESPONSES:
                raise _malformed(f"{self._interim} interim responses")

    def _check_limits(self, length: int) -> None:
        if not self._partial.startswith(_BEGIN[: len(self._partial)]):
            raise _malformed(f"no response: {self._partial[:40]!r}")
        if self._head_bytes + length > MAX_HEAD_BYTES:
            raise _malformed(f"head of over {MAX_HEAD_BYTES} bytes")

    def _begin_body(self, head: response_heads.ResponseHead) -> None:
        self.head = head
        self._framing = response_framing.framing_of(
            head, self._is_answer_to_head
        )
        if self._framing.may_end_with_connection():
            head.should_close = True


def _malformed(message: str) -> errors.MalformedResponseError:
    return errors.MalformedResponseError(message, step="read head")
