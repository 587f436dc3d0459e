"""Control links: requests and answers over pynng."""

import abc
import asyncio
import typing

import pynng

from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile.peers import messages

__all__ = ["ControlHandler", "ControlServer", "Link", "LinkPool"]

# pynng's name for a request that is never sent again by itself.
_NO_RESEND = -1
_MAX_MESSAGE_BYTES = 4 << 20
_MAX_RECONNECT_MS = 200

T = typing.TypeVar("T")


class _Connection:
    """One connection of a link, and how many calls run on it."""

    def __init__(self, socket: pynng.Req0):
        self.socket = socket
        self.calls = 0


class Link:
    """A link to one peer. Calls may run at the same time."""

    def __init__(self, address: str, meters: metrics.Meters):
        self._address = address
        self._meters = meters
        # For the next call; others only end what was begun on them.
        self._connection: _Connection | None = None
        self._open_connections: set[_Connection] = set()
        # All that didn't end yet, those that were given up included.
        self._exchanges: set[asyncio.Task[bytes]] = set()

    async def call(
        self,
        message: messages.Message,
        expected: type[T],
        timeout_s: float,
    ) -> T:
        """Sends a message and returns the answer.

        Raises:
            PeerTimeoutError: No answer in time. No other call begins on that
                connection, as something between may have lost track of it;
                those that run on it go on.
            ControlMessageError: An answer of another kind, or a message that no
                peer would take.
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
        answer = messages.CODEC.decode(data, self._address)
        if not isinstance(answer, expected):
            raise errors.ControlMessageError(
                f"got {answer}", step=step, peer=self._address
            )
        return answer

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
        # A task of its own, which isn't waited for once it is cancelled: a
        # cancel that pynng doesn't heed would keep the caller for good.
        exchange = asyncio.create_task(self._exchange(connection, data))
        self._exchanges.add(exchange)
        exchange.add_done_callback(self._on_exchange_done)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=timeout_s)
            if not done:
                raise TimeoutError(f"no answer within {timeout_s:g} s")
            return exchange.result()
        finally:
            exchange.cancel()

    def _on_exchange_done(self, exchange: asyncio.Task[bytes]) -> None:
        self._exchanges.discard(exchange)
        if not exchange.cancelled():
            # Of one that was given up nobody asks; it needn't be logged.
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
            answer = await context.arecv()
        finally:
            _close_quietly(context)
        self._meters.control_bytes.add("peer-received", len(answer))
        return answer

    def _dial(self) -> pynng.Req0:
        socket = pynng.Req0(resend_time=_NO_RESEND)
        socket.recv_max_size = _MAX_MESSAGE_BYTES
        socket.reconnect_time_min = 50
        socket.reconnect_time_max = _MAX_RECONNECT_MS
        socket.dial(f"tcp://{self._address}", block=False)
        return socket

    def close(self) -> None:
        """Closes all connections; the next call opens another."""
        for connection in self._open_connections:
            _close_quietly(connection.socket)
        self._open_connections.clear()
        self._connection = None


class LinkPool:
    """All links of a process, by address."""

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
        self._by_address: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Returns the link to an address."""
        link = self._by_address.get(address)
        if link is None:
            link = Link(address, self._meters)
            self._by_address[address] = link
        return link

    def retain(self, addresses: set[str]) -> None:
        """Closes links to addresses that are no longer listed."""
        for address in set(self._by_address) - addresses:
            self._by_address.pop(address).close()

    def close(self) -> None:
        """Closes all links."""
        self.retain(set())


class ControlHandler(abc.ABC):
    """Answers control messages."""

    @abc.abstractmethod
    async def handle(self, message: messages.Message) -> messages.Message:
        """Returns the answer to a message."""


class ControlServer:
    """Listens for control messages, one task for each that is in progress."""

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
            SettingsError: It can't listen at its address.
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
                answer = self._encode(await self._answer(data))
                self._meters.control_bytes.add("peer-sent", len(answer))
                self._meters.control_messages.add("peer")
                await self._send(context, answer)
        finally:
            _close_quietly(context)

    def _encode(self, answer: messages.Message) -> bytes:
        data = messages.CODEC.encode(answer)
        if len(data) <= _MAX_MESSAGE_BYTES:
            return data
        # The asker would reset the connection, under other questions as well,
        # and ask again.
        problem = _too_large(data)
        self._meters.control_messages.add("too-large")
        logs.logger.error("answer not sent", error=problem)
        return messages.CODEC.encode(messages.Refused(problem))

    async def _send(self, context, answer: bytes) -> None:
        try:
            await context.asend(answer)
        except pynng.NNGException as error:
            # The asker is gone; it asks again on another connection.
            logs.logger.debug("answer not sent", error=repr(error))

    async def _answer(self, data: bytes) -> messages.Message:
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
        # It was closed by the other side or by a close of its socket.
        return
