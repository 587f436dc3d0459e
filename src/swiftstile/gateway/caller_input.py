"""Measures what a connection holds of requests that aren't parsed yet."""

from aiohttp import http
from aiohttp import streams

__all__ = ["UnparsedInput", "head_memory"]

# Memory of a request besides its head; a head is held as bytes and as text, and
# each of its fields as objects.
_REQUEST_BYTES = 4096
_FIELD_BYTES = 256
HEAD_COPIES = 3

# Length of the spaces and the version in a request line, of its line end and of
# the empty line.
_REQUEST_LINE_EXTRA_BYTES = 14
# Length of ": " and of a line end.
_FIELD_EXTRA_BYTES = 4


def head_memory(message: http.RawRequestMessage) -> int:
    """Returns the memory that a parsed request takes without its body."""
    fields = len(message.raw_headers)
    copies = HEAD_COPIES * _head_size(message)
    return _REQUEST_BYTES + _FIELD_BYTES * fields + copies


def _head_size(message: http.RawRequestMessage) -> int:
    """Returns the usual length of a head, in bytes."""
    size = len(message.method) + len(message.path) + _REQUEST_LINE_EXTRA_BYTES
    for name, value in message.raw_headers:
        size += len(name) + len(value) + _FIELD_EXTRA_BYTES
    return size


class UnparsedInput:
    """Counts received bytes that belong to no parsed request.

    The count may be too large, by at most the length of the last read: spaces
    and the framing of chunks can't be told from the start of the next request.

    Attributes:
        count: The bytes.
    """

    def __init__(self):
        self.count = 0
        self._payload: streams.StreamReader | None = None
        self._payload_bytes = 0

    def on_received(self, count: int) -> None:
        """Records received bytes."""
        self.count += count

    def on_parsed(self, messages, read_bytes: int) -> None:
        """Records what a step of the parser took.

        Args:
            messages: The heads that it completed, each with its body.
            read_bytes: Length of the data that was received for it; 0 if it
                only had what was left.
        """
        taken = self._take_payload()
        for message, payload in messages:
            taken += _head_size(message)
            is_empty = payload is streams.EMPTY_PAYLOAD
            self._payload = None if is_empty else payload
            self._payload_bytes = 0
            taken += self._take_payload()
        self.count = max(0, self.count - taken)
        if messages and read_bytes:
            self.count = min(self.count, read_bytes)

    def _take_payload(self) -> int:
        if self._payload is None:
            return 0
        total = self._payload.total_bytes
        taken, self._payload_bytes = total - self._payload_bytes, total
        return taken

    def clear(self) -> None:
        """Records that nothing is held any more."""
        self.count = 0
        self._payload = None
