"""HTTP/1.1 connections to upstreams, without pipelining.

A connection can be used again only if each request on it got one response, and
nothing else was received. An abandoned connection is closed with a TCP reset,
which discards data that is still in transit.
"""

import asyncio
import collections.abc
import functools
import itertools
import select
import socket
import struct

from aiohttp import base_protocol

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import link_observers
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_heads
from swiftstile.gateway import response_reader

__all__ = [
    "EXCHANGE_ERRORS",
    "UpstreamConnection",
    "reset_on_close",
]

# Errors of an exchange that leave it unknown whether the request ran.
EXCHANGE_ERRORS = (OSError, errors.MalformedResponseError, EOFError)
# TCP_USER_TIMEOUT: a connection fails if sent data isn't acknowledged for this
# long. Longer than one retransmission on a lossy link, shorter than the
# shortest route timeout.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# An idle connection isn't reused if the server may close it within this time,
# as the request could arrive after the close.
IDLE_MARGIN_S = 1.5
# Assumed idle timeout of a server that doesn't announce one.
DEFAULT_IDLE_TIMEOUT_S = 5.0
_LINGER_RESET = struct.pack("ii", 1, 0)
# Maximum attempts that a connection remembers; it isn't used beyond.
MAX_REMEMBERED_ATTEMPTS = 256
# Bytes of one connection that are read before others are served. Chunks of a
# byte each take the longest, some milliseconds.
MAX_READ_BYTES = 1 << 13
# Late answers to earlier requests before that to the current one, and the
# maximum size of each.
MAX_SKIPPED = 8
MAX_SKIPPED_BYTES = 1 << 20
_numbers = itertools.count(1)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes the socket send a TCP reset on close, even if the process dies."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


def _ignore_foreign_bytes(
    _address: str, _kind: link_observers.ForeignBytes
) -> None:
    """Does nothing."""


class UpstreamConnection(base_protocol.BaseProtocol):
    """One connection to an upstream.

    Attributes:
        number: Number of the connection in this process.
        exchanges: Requests that were sent on it.
        is_usable: Whether another request may be sent on it.
        is_probe: Whether it was opened to learn about its path, and hasn't been
            used for a request since.
        is_reused: Whether it came from the pool for the current request.
        has_response: Whether a response to the current request, or bytes in its
            place, were received.
        opened_at: When it was opened, on the monotonic clock.
        idle_since: When it became idle.
        idle_timeout_s: Idle timeout of the server.

    Args:
        loop: The event loop.
        peer: Address of the upstream.
        observer: Is told what the connection shows about its path.
        is_probe: As above.
        on_foreign_bytes: Called when bytes arrive that are no answer to the
            request in progress.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        peer: str,
        observer: link_observers.LinkObserver | None = None,
        is_probe: bool = False,
        on_foreign_bytes: collections.abc.Callable[
            [str, link_observers.ForeignBytes], None
        ] = _ignore_foreign_bytes,
    ):
        super().__init__(loop)
        self._loop = loop
        self._observer = observer or link_observers.UNOBSERVED
        self._on_foreign_bytes = on_foreign_bytes
        self.peer = peer
        self.number = next(_numbers)
        self.exchanges = 0
        self.is_probe = is_probe
        self.is_usable = True
        self.is_reused = False
        self.has_response = False
        self._is_aborted = False
        self._has_received = False
        self.opened_at = clocks.monotonic()
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        # None while no exchange is in progress.
        self._reader: response_reader.ResponseReader | None = None
        # Received, and not read yet.
        self._unread = b""
        self._is_reading_paused = False
        self._reading: asyncio.Handle | None = None
        self._skipped = 0
        # Hashes of the ids of the attempts that were sent on it. A collision
        # only costs a new connection.
        self._attempts: set[int] = set()
        self._waiter: asyncio.Future[None] | None = None
        self._error: BaseException | None = None

    @property
    def body(self) -> response_bodies.ResponseBody:
        """The body of the current response."""
        return self._reader.body

    def connection_made(self, transport) -> None:
        """See base class."""
        super().connection_made(transport)
        reset_on_close(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(UNACKNOWLEDGED_TIMEOUT_S * 1000),
            )

    def data_received(self, data: bytes) -> None:
        """See base class."""
        self._has_received = True
        self._observer.on_received(
            self.peer, self.opened_at, clocks.monotonic()
        )
        if self._reader is None:
            self.note_foreign_bytes(link_observers.ForeignBytes.UNSOLICITED)
            self.abort()
            return
        self._unread += data
        if self._reading is None:
            self._read()

    def _read(self) -> None:
        """Reads a limited part of the received bytes, and later the rest."""
        self._reading = None
        reader = self._reader
        if reader is not None and self._can_read(reader):
            part = self._unread[:MAX_READ_BYTES]
            behind = self._unread[MAX_READ_BYTES:]
            had_head = reader.head is not None
            try:
                self._unread = reader.feed(part) + behind
            except errors.MalformedResponseError as error:
                self.note_foreign_bytes(link_observers.ForeignBytes.MALFORMED)
                self.has_response = True
                self._fail(error)
                self.abort()
                return
            if reader.head is not None and not had_head:
                self.has_response = True
                self._notify()
            if behind and self._can_read(reader):
                # Other connections are served in between.
                self._reading = self._loop.call_soon(self._read)
        self._pause_or_resume()

    def _can_read(self, reader: response_reader.ResponseReader) -> bool:
        return (
            bool(self._unread)
            and self._error is None
            and not reader.is_done
            and not reader.body.is_full
        )

    def _pause_or_resume(self) -> None:
        """Receives more only once the received bytes were read."""
        if self.transport is None or self.transport.is_closing():
            return
        reader = self._reader
        should_pause = reader is not None and (
            bool(self._unread) or reader.body.is_full
        )
        if should_pause == self._is_reading_paused:
            return
        self._is_reading_paused = should_pause
        if should_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _on_taken(self) -> None:
        is_waiting = self._is_reading_paused or bool(self._unread)
        if is_waiting and self._reading is None:
            self._reading = self._loop.call_soon(self._read)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        is_in_use = self._reader is not None
        if exc is None:
            # Closed by the server before it answered, and not by this VM.
            is_broken = self.is_usable and is_in_use and not self.has_response
        else:
            is_broken = is_in_use or not self._has_received
        if is_broken:
            self._note_broken()
        if self.is_usable and not is_in_use and self._has_received:
            self._observer.on_closed(self.peer, clocks.monotonic())
        self.is_usable = False
        if self._is_aborted:
            exc = exc or ConnectionAbortedError("reset by this VM")
        elif self._reader is not None:
            exc = self._end_response(self._reader, exc)
        self._fail(exc or ConnectionResetError("closed by the server"))
        # A caller that reads slowly may refer to the body for long.
        self._unread = b""
        if self._reader is not None:
            self._reader.detach()
        super().connection_lost(exc)

    def _end_response(
        self, reader: response_reader.ResponseReader, exc: BaseException | None
    ) -> BaseException | None:
        """Reads what was received before the end of the connection.

        Args:
            reader: Reads the current response.
            exc: Why the connection ended; None if the server closed it.

        Returns:
            Why the response isn't complete, unless it is.
        """
        try:
            while self._unread and not reader.is_done:
                self._unread = reader.feed(self._unread)
            if exc is None:
                reader.feed_end()
        except errors.MalformedResponseError as error:
            return error
        if reader.head is not None:
            self.has_response = True
        return exc

    def note_foreign_bytes(self, kind: link_observers.ForeignBytes) -> None:
        """Reports bytes that are no answer to the request in progress."""
        self._observer.on_foreign_bytes(self.peer, kind)
        self._on_foreign_bytes(self.peer, kind)

    def _note_broken(self) -> None:
        now = clocks.monotonic()
        if self.is_probe:
            self._observer.on_probe_failed(self.peer, now)
        else:
            self._observer.on_broken(self.peer, self._has_received, now)

    def _fail(self, error: BaseException) -> None:
        self.is_usable = False
        self._error = self._error or error
        if self._reader is not None:
            self._reader.body.fail(error)
        self._notify()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send_request(self, method: str, data: bytes) -> None:
        """Sends the head of a request and the available part of its body.

        Raises:
            PeerUnavailableError: The connection is closed; nothing was sent.
        """
        if not self.is_usable or self.transport is None:
            raise errors.PeerUnavailableError(
                "closed before use", step="send", peer=self.peer
            )
        self.exchanges += 1
        self.has_response = False
        self._skipped = 0
        self._reader = response_reader.ResponseReader(
            method == "HEAD", self._on_taken
        )
        self.transport.write(data)
        if not self.is_probe:
            self._observer.on_sent(self.peer, clocks.monotonic())

    async def send_body(self, data: bytes) -> None:
        """Sends more of a body, waiting while the send buffer is full."""
        if self.transport is None:
            raise ConnectionResetError("closed while the body was sent")
        self.transport.write(data)
        await self._drain_helper()

    async def next_head(self) -> response_heads.ResponseHead:
        """Returns the head of the next final response.

        Raises:
            ConnectionError: The connection ended first.
            MalformedResponseError: The received data is no response.
        """
        while True:
            if self._reader is not None and self._reader.head is not None:
                return self._reader.head
            if self._error is not None:
                raise self._error
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    async def skip_response(self) -> None:
        """Drops the current response, which answers an earlier request.

        Raises:
            MalformedResponseError: No response can follow it, or too many
                precede the one to the current request.
        """
        self.note_foreign_bytes(link_observers.ForeignBytes.LATE_COPY)
        reader = self._reader
        self._skipped += 1
        is_last = reader.head.should_close or self._skipped > MAX_SKIPPED
        if is_last or (reader.head.length or 0) > MAX_SKIPPED_BYTES:
            raise errors.MalformedResponseError(
                "only answers to other requests", step="skip", peer=self.peer
            )
        if not await reader.body.discard(MAX_SKIPPED_BYTES):
            raise errors.MalformedResponseError(
                "a long answer to another request", step="skip", peer=self.peer
            )
        self.has_response = False
        reader.expect_response()
        self._read()

    def finish(self) -> None:
        """Ends an exchange whose response was read completely.

        The connection isn't used again if anything but one response was
        received: the rest would precede the next one.
        """
        reader = self._reader
        if self._unread:
            self.note_foreign_bytes(link_observers.ForeignBytes.SECOND_ANSWER)
        unsent = self.transport and self.transport.get_write_buffer_size()
        is_clean = reader.is_done and not self._unread and not unsent
        if not is_clean or reader.head.should_close or not self.is_usable:
            self.abort()
            return
        self._reader = None
        self.idle_since = clocks.monotonic()
        self.idle_timeout_s = _keep_alive_s(reader.head.headers)

    def note_attempt(self, attempt_id: str) -> None:
        """Records that an attempt is sent on it."""
        self._attempts.add(hash(attempt_id))

    def has_carried(self, attempt_id: str) -> bool:
        """Whether an attempt was sent on it before.

        A late copy of the answer to that send couldn't be told from the answer
        to another one.
        """
        return hash(attempt_id) in self._attempts

    def has_unread_input(self) -> bool:
        """Whether the socket holds bytes, or an end, that wasn't read yet."""
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def can_reuse(self, now: float) -> bool:
        """Whether it is open and the server isn't about to close it."""
        return (
            self.is_usable
            and len(self._attempts) < MAX_REMEMBERED_ATTEMPTS
            and self.transport is not None
            and not self.transport.is_closing()
            and now - self.idle_since < self.idle_timeout_s - IDLE_MARGIN_S
        )

    def fail_with_timeout(self) -> None:
        """Fails the current exchange with a timeout and aborts."""
        self._note_broken()
        self._fail(TimeoutError("no answer in time"))
        self.abort()

    def abort(self) -> None:
        """Resets the connection, discarding data that isn't delivered yet."""
        self.is_usable = False
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()


def _keep_alive_s(headers) -> float:
    return _parse_keep_alive_s(headers.get("Keep-Alive", ""))


@functools.lru_cache(maxsize=64)
def _parse_keep_alive_s(text: str) -> float:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return DEFAULT_IDLE_TIMEOUT_S
