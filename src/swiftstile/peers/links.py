"""Control links: request and reply messages over pynng."""

import abc
import asyncio
import typing

import pynng

from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile.peers import messages

__all__ = ["ControlHandler", "ControlServer", "Link", "LinkPool"]

# Value of `resend_time` that disables pynng's automatic resending.
_NO_RESEND = -1
_MAX_MESSAGE_BYTES = 4 << 20
_MAX_RECONNECT_MS = 200

T = typing.TypeVar("T")


class _Connection:
    """A connection of a link, with its number of pending calls."""

    def __init__(self, socket: pynng.Req0):
        self.socket = socket
        self.calls = 0


class Link:
    """A link to one peer; supports concurrent calls."""

    def __init__(self, address: str, meters: metrics.Meters):
        self._address = address
        self._meters = meters
        # Used for new calls. Older connections stay open until their pending
        # calls end.
        self._connection: _Connection | None = None
        self._open_connections: set[_Connection] = set()
        # All unfinished exchanges, including those that timed out.
        self._exchanges: set[asyncio.Task[bytes]] = set()

    async def call(
        self,
        message: messages.Message,
        expected: type[T],
        timeout_s: float,
    ) -> T:
        """Sends a message and returns the reply.

        Raises:
            PeerTimeoutError: No reply in time. New calls use another
                connection, as a device on the path may have dropped the state
                of this one; its pending calls continue.
            ControlMessageError: The reply has an unexpected type, or the
                message exceeds the size limit of peers.
        """
        step = f"call {type(message).__name__}"
        request = messages.CODEC.encode(message)
        if len(request) > _MAX_MESSAGE_BYTES:
            self._meters.control_messages.add("too-large")
            raise errors.ControlMessageError(
                _too_large(request), step=step, peer=self._address
            )
        try:
            data = await self._request(request, timeout_s)
        except (TimeoutError, pynng.NNGException) as error:
            raise errors.PeerTimeoutError(
                repr(error), step=step, peer=self._address
            ) from error
        reply = messages.CODEC.decode(data, self._address)
        if not isinstance(reply, expected):
            raise errors.ControlMessageError(
                f"unexpected reply {reply}", step=step, peer=self._address
            )
        return reply

    async def _request(self, data: bytes, timeout_s: float) -> bytes:
        connection = self._current_connection()
        connection.calls += 1
        try:
            return await self._exchange_within(connection, data, timeout_s)
        except (TimeoutError, pynng.NNGException):
            if self._connection is connection:
                self._connection = None
            raise
        finally:
            connection.calls -= 1
            self._close_unused(connection)

    async def _exchange_within(
        self, connection: _Connection, data: bytes, timeout_s: float
    ) -> bytes:
        # Runs as a separate task that isn't awaited after its cancellation,
        # because pynng may ignore a cancellation, which would block the caller
        # forever.
        exchange = asyncio.create_task(self._exchange(connection, data))
        self._exchanges.add(exchange)
        exchange.add_done_callback(self._on_exchange_done)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=timeout_s)
            if not done:
                raise TimeoutError(f"no reply within {timeout_s:g} s")
            return exchange.result()
        finally:
            exchange.cancel()

    def _on_exchange_done(self, exchange: asyncio.Task[bytes]) -> None:
        self._exchanges.discard(exchange)
        if not exchange.cancelled():
            # Marks the exception of an abandoned exchange as retrieved, so
            # that asyncio doesn't log it.
            exchange.exception()

    def _current_connection(self) -> _Connection:
        if self._connection is None:
            self._connection = _Connection(self._dial())
            self._open_connections.add(self._connection)
        return self._connection

    def _close_unused(self, connection: _Connection) -> None:
        if connection is not self._connection and not connection.calls:
            _close_quietly(connection.socket)
            self._open_connections.discard(connection)

    async def _exchange(self, connection: _Connection, data: bytes) -> bytes:
        self._meters.control_bytes.add("peer-sent", len(data))
        self._meters.control_messages.add("peer")
        context = connection.socket.new_context()
        try:
            await context.asend(data)
            reply = await context.arecv()
        finally:
            _close_quietly(context)
        self._meters.control_bytes.add("peer-received", len(reply))
        return reply

    def _dial(self) -> pynng.Req0:
        socket = pynng.Req0(resend_time=_NO_RESEND)
        socket.recv_max_size = _MAX_MESSAGE_BYTES
        socket.reconnect_time_min = 50
        socket.reconnect_time_max = _MAX_RECONNECT_MS
        socket.dial(f"tcp://{self._address}", block=False)
        return socket

    def close(self) -> None:
        """Closes all connections; the next call opens a new one."""
        for connection in self._open_connections:
            _close_quietly(connection.socket)
        self._open_connections.clear()
        self._connection = None


class LinkPool:
    """The links of a process, by address."""

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
        self._by_address: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Returns the link to an address, creating it if necessary."""
        link = self._by_address.get(address)
        if link is None:
            link = Link(address, self._meters)
            self._by_address[address] = link
        return link

    def retain(self, addresses: set[str]) -> None:
        """Closes all links except those to the given addresses."""
        for address in set(self._by_address) - addresses:
            self._by_address.pop(address).close()

    def close(self) -> None:
        """Closes all links."""
        self.retain(set())


class ControlHandler(abc.ABC):
    """Handles control messages."""

    @abc.abstractmethod
    async def handle(self, message: messages.Message) -> messages.Message:
        """Returns the reply to a message."""


class ControlServer:
    """Serves control messages with a fixed number of concurrent tasks."""

    def __init__(
        self,
        address: str,
        handler: ControlHandler,
        meters: metrics.Meters,
        max_parallel: int,
    ):
        self._address = address
        self._handler = handler
        self._meters = meters
        self._max_parallel = max_parallel

    async def run(self) -> None:
        """Serves until cancelled.

        Raises:
            SettingsError: Listening at the address failed.
        """
        with pynng.Rep0() as socket:
            socket.recv_max_size = _MAX_MESSAGE_BYTES
            try:
                socket.listen(f"tcp://{self._address}")
            except pynng.NNGException as error:
                raise errors.SettingsError(
                    repr(error), step="listen for peers", peer=self._address
                ) from error
            async with asyncio.TaskGroup() as group:
                for _ in range(self._max_parallel):
                    group.create_task(self._serve(socket))

    async def _serve(self, socket: pynng.Rep0) -> None:
        context = socket.new_context()
        try:
            while True:
                data = await context.arecv()
                self._meters.control_bytes.add("peer-received", len(data))
                reply = self._encode(await self._reply_to(data))
                self._meters.control_bytes.add("peer-sent", len(reply))
                self._meters.control_messages.add("peer")
                await self._send(context, reply)
        finally:
            _close_quietly(context)

    def _encode(self, reply: messages.Message) -> bytes:
        data = messages.CODEC.encode(reply)
        if len(data) <= _MAX_MESSAGE_BYTES:
            return data
        # The requester would reset the connection, which also fails its other
        # requests, and would then retry.
        problem = _too_large(data)
        self._meters.control_messages.add("too-large")
        logs.logger.error("reply not sent", error=problem)
        return messages.CODEC.encode(messages.Refused(problem))

    async def _send(self, context, reply: bytes) -> None:
        try:
            await context.asend(reply)
        except pynng.NNGException as error:
            # The requester has closed the connection and will retry on a new
            # one.
            logs.logger.debug("reply not sent", error=repr(error))

    async def _reply_to(self, data: bytes) -> messages.Message:
        try:
            message = messages.CODEC.decode(data)
            return await self._handler.handle(message)
        except errors.SwiftstileError as error:
            self._meters.control_messages.add("refused")
            return messages.Refused(str(error))


def _too_large(data: bytes) -> str:
    return f"{len(data)} bytes, at most {_MAX_MESSAGE_BYTES}"


def _close_quietly(closable) -> None:
    try:
        closable.close()
    except pynng.NNGException:
        # Already closed, by the peer or together with its socket.
        return
