"""Pooled HTTP/1.1 connections to upstreams, without pipelining.

A connection is reused only if no unexpected data was ever read from it. An
abandoned connection is closed with a TCP reset, which discards data that is
still in transit.
"""

import abc
import asyncio
import collections
import collections.abc
import enum
import functools
import itertools
import select
import socket
import struct

from aiohttp import base_protocol

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_heads
from swiftstile.gateway import response_reader

__all__ = [
    "ConnectionPool",
    "ForeignBytes",
    "LinkObserver",
    "UpstreamConnection",
    "reset_on_close",
]

# Timeout for opening a connection. Two round trips within a region take less
# than 10 ms; a lost SYN is retransmitted after 1 s only.
CONNECT_TIMEOUT_S = 0.4
# TCP_USER_TIMEOUT: a connection fails if sent data isn't acknowledged for this
# long. Longer than one retransmission on a lossy link, shorter than the
# shortest route timeout.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# An idle connection isn't reused if the server may close it within this time,
# as the request could arrive after the close.
IDLE_MARGIN_S = 1.5
# Assumed idle timeout of a server that doesn't announce one.
DEFAULT_IDLE_TIMEOUT_S = 5.0
# Maximum idle connections to one upstream: its slots and some queued requests.
MAX_IDLE_PER_ADDRESS = 6
# After a reused connection broke before any response, connections that have
# been idle for more than MAX_SAFE_IDLE_S aren't used for non-idempotent
# requests for UNSAFE_REUSE_PAUSE_S: servers may have dropped them silently, and
# a reset doesn't tell whether the request ran. Affected servers drop
# connections that were idle for 0.3 s or more, over a period of some seconds.
UNSAFE_REUSE_PAUSE_S = 10.0
MAX_SAFE_IDLE_S = 0.2
_LINGER_RESET = struct.pack("ii", 1, 0)
# For this long after an upstream sent foreign bytes, requests that may run once
# and orders are sent to it on new connections, which hold none.
DISTRUST_S = 10.0
# Maximum attempts that a connection remembers; it isn't used beyond.
MAX_REMEMBERED_ATTEMPTS = 256
# Bytes of one connection that are read before others are served.
MAX_READ_BYTES = 1 << 15
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


class ForeignBytes(enum.Enum):
    """Bytes from an upstream that are no answer to the request in progress."""

    # A whole answer to an earlier request.
    LATE_COPY = "late-copy"
    # Another answer behind the one to the request.
    SECOND_ANSWER = "second-answer"
    # Data on a connection without a request.
    UNSOLICITED = "unsolicited"
    # No HTTP response.
    MALFORMED = "malformed"


class LinkObserver(abc.ABC):
    """Is told what connections show about the paths to their peers."""

    @abc.abstractmethod
    def may_open(self) -> bool:
        """Whether it is worth trying to open a connection for a request."""

    @abc.abstractmethod
    def on_opened(self, address: str, now: float) -> None:
        """Called after a connection was opened."""

    @abc.abstractmethod
    def on_open_failed(self, address: str, now: float) -> None:
        """Called after a connection couldn't be opened."""

    @abc.abstractmethod
    def on_sent(self, address: str, now: float) -> None:
        """Called after a request was sent."""

    @abc.abstractmethod
    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """Called when data arrives on a connection opened at a time."""

    @abc.abstractmethod
    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """Called when a connection failed, or an exchange on it timed out.

        Args:
            address: Address of the peer.
            is_proven: Whether the connection had delivered data before.
            now: The time.
        """

    @abc.abstractmethod
    def on_probe_failed(self, address: str, now: float) -> None:
        """Called when a probe's connection wasn't opened, or failed.

        It tells nothing of requests: `on_open_failed`, `on_sent` and
        `on_broken` aren't called for probes.
        """

    @abc.abstractmethod
    def on_closed(self, address: str, now: float) -> None:
        """Called when the peer closed or reset an unused connection.

        Only one that had delivered data: a device on the path may accept
        connections and reset them, whatever becomes of the peer.
        """

    def on_foreign_bytes(self, address: str, kind: ForeignBytes) -> None:
        """Called when bytes arrive that are no answer to a request."""


class _Unobserved(LinkObserver):
    """Ignores everything."""

    def may_open(self) -> bool:
        """See base class."""
        return True

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """See base class."""

    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """See base class."""

    def on_probe_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_closed(self, address: str, now: float) -> None:
        """See base class."""


_UNOBSERVED = _Unobserved()


def _ignore_foreign_bytes(_address: str, _kind: ForeignBytes) -> None:
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
        has_response: Whether any response to the current request was received.
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
        observer: LinkObserver | None = None,
        is_probe: bool = False,
        on_foreign_bytes: collections.abc.Callable[
            [str, ForeignBytes], None
        ] = _ignore_foreign_bytes,
    ):
        super().__init__(loop)
        self._loop = loop
        self._observer = observer or _UNOBSERVED
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
            self.note_foreign_bytes(ForeignBytes.UNSOLICITED)
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
                self.note_foreign_bytes(ForeignBytes.MALFORMED)
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
        if self._reader is not None and exc is None:
            exc = self._end_response(self._reader)
        self._fail(exc or ConnectionResetError("closed by the server"))
        super().connection_lost(exc)

    def _end_response(
        self, reader: response_reader.ResponseReader
    ) -> BaseException | None:
        """Ends the response of a closed connection; returns why it can't."""
        try:
            while self._unread and not reader.is_done:
                self._unread = reader.feed(self._unread)
            reader.feed_end()
        except errors.MalformedResponseError as error:
            return error
        if reader.head is not None:
            self.has_response = True
        return None

    def note_foreign_bytes(self, kind: ForeignBytes) -> None:
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
        self.note_foreign_bytes(ForeignBytes.LATE_COPY)
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
            self.note_foreign_bytes(ForeignBytes.SECOND_ANSWER)
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


class ConnectionPool:
    """Idle connections to upstreams, by address.

    Args:
        local_host: Address that connections come from; empty for any.
        observer: Is told what the connections show about the paths.
    """

    def __init__(
        self, local_host: str = "", observer: LinkObserver | None = None
    ):
        self._local_address = (local_host, 0) if local_host else None
        self._observer = observer or _UNOBSERVED
        self._idle_by_address: dict[
            str, collections.deque[UpstreamConnection]
        ] = {}
        self.opened = 0
        self._restricted_until = 0.0
        self._distrusted_until_by_address: dict[str, float] = {}

    async def acquire(
        self, address: str, is_idempotent: bool, attempt_id: str = ""
    ) -> UpstreamConnection:
        """Returns an idle connection, or a new one.

        Args:
            address: Address of the upstream.
            is_idempotent: Whether the request may be sent more than once.
            attempt_id: Id that its answer bears, if it isn't used only once.
                Connections that carried it before aren't returned.

        Raises:
            PeerUnavailableError: No connection could be opened; nothing was
                sent.
        """
        connection = self._take_idle(address, is_idempotent, attempt_id)
        if connection is None:
            connection = await self._open_for_request(address)
        if attempt_id:
            connection.note_attempt(attempt_id)
        return connection

    def _take_idle(
        self, address: str, is_idempotent: bool, attempt_id: str
    ) -> UpstreamConnection | None:
        """Returns the newest idle connection that a request may be sent on."""
        now = clocks.monotonic()
        if not is_idempotent and self._is_distrusted(address, now):
            return None
        is_restricted = not is_idempotent and now < self._restricted_until
        idle = self._idle_by_address.get(address)
        passed_over: list[UpstreamConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            was_idle_long = now - connection.idle_since > MAX_SAFE_IDLE_S
            if (
                not connection.can_reuse(now)
                or (is_restricted and was_idle_long)
                or (not is_idempotent and connection.has_unread_input())
            ):
                connection.abort()
            elif attempt_id and connection.has_carried(attempt_id):
                passed_over.append(connection)
            else:
                connection.is_reused = True
                connection.is_probe = False
                found = connection
        if passed_over:
            idle.extend(reversed(passed_over))
        return found

    async def open(self, address: str) -> UpstreamConnection:
        """Returns a connection on which nothing was sent before.

        Raises:
            PeerUnavailableError: No connection could be opened.
        """
        return await self._open_for_request(address)

    async def _open_for_request(self, address: str) -> UpstreamConnection:
        if not self._observer.may_open():
            raise errors.PeerUnreachableError(
                "no new connection opens", step="connect", peer=address
            )
        return await self._open(address)

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether an address refuses connections.

        Returns False if this is unknown, as the address may be unreachable.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(address, connection)
        return False

    async def opens(self, address: str, for_s: float) -> bool:
        """Returns whether a new connection opens and stays open for a time.

        Args:
            address: Address of the upstream.
            for_s: The time. Servers that are short of processor time reset
                connections late.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError:
            return False
        try:
            await asyncio.sleep(for_s)
        except asyncio.CancelledError:
            connection.abort()
            raise
        is_open = connection.is_usable
        self.release(address, connection)
        return is_open

    async def answers(self, address: str, path: str) -> bool:
        """Returns whether a request on a new connection is answered.

        Args:
            address: Address of the upstream.
            path: Path that any request may ask for.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError:
            return False
        request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        is_complete = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection.send_request("GET", request.encode())
                await connection.next_head()
                is_complete = await connection.body.discard(MAX_SKIPPED_BYTES)
        except (
            TimeoutError,
            errors.PeerUnavailableError,
            *EXCHANGE_ERRORS,
        ) as error:
            logs.logger.debug("no answer", peer=address, error=repr(error))
            return connection.has_response
        finally:
            if is_complete:
                connection.finish()
                self.release(address, connection)
            else:
                connection.abort()
        return True

    async def _open(
        self, address: str, is_probe: bool = False
    ) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        loop,
                        address,
                        self._observer,
                        is_probe,
                        self._note_foreign_bytes,
                    ),
                    host,
                    int(port),
                    local_addr=self._local_address,
                )
        except (OSError, TimeoutError, ValueError) as error:
            now = clocks.monotonic()
            if is_probe:
                self._observer.on_probe_failed(address, now)
            else:
                self._observer.on_open_failed(address, now)
            raise errors.PeerUnreachableError(
                repr(error), step="connect", peer=address
            ) from error
        self.opened += 1
        self._observer.on_opened(address, clocks.monotonic())
        return connection

    def _is_distrusted(self, address: str, now: float) -> bool:
        return now < self._distrusted_until_by_address.get(address, 0.0)

    def _note_foreign_bytes(self, address: str, kind: ForeignBytes) -> None:
        """Distrusts an upstream that sent bytes that are no answer."""
        now = clocks.monotonic()
        if not self._is_distrusted(address, now):
            logs.logger.warning(
                "foreign bytes from upstream", peer=address, kind=kind.value
            )
        self._distrusted_until_by_address = {
            known: until
            for known, until in self._distrusted_until_by_address.items()
            if until > now
        }
        self._distrusted_until_by_address[address] = now + DISTRUST_S

    def on_broken(self, connection: UpstreamConnection, now: float) -> None:
        """Records that a connection broke before its response was complete."""
        if connection.is_reused and not connection.has_response:
            self._restricted_until = now + UNSAFE_REUSE_PAUSE_S

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool if it can be reused."""
        if not connection.is_usable:
            return
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().abort()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()


# Errors of an exchange that leave it unknown whether the request ran.
EXCHANGE_ERRORS = (OSError, errors.MalformedResponseError, EOFError)
