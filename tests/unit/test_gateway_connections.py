"""Tests connections on a transport without a network."""

import asyncio

import pytest

from swiftstile.gateway import connections
from tests import exchange_parts as parts


class _Transport(asyncio.Transport):
    """Records whether reading is paused.

    Attributes:
        is_paused: Whether it is.
    """

    def __init__(self):
        super().__init__()
        self.is_paused = False
        self._is_closing = False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        """Sends nothing."""

    def is_closing(self) -> bool:
        return self._is_closing

    def abort(self) -> None:
        self._is_closing = True

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


def _connection() -> connections.UpstreamConnection:
    """Returns a connection on which a request was sent."""
    loop = asyncio.get_running_loop()
    connection = connections.UpstreamConnection(loop, "a:1")
    connection.connection_made(_Transport())
    connection.send_request("GET", b"request")
    return connection


@pytest.mark.parametrize("error", [None, ConnectionResetError("by the peer")])
def test_response_received_before_the_connection_ended_is_whole(error):
    async def scenario():
        connection = _connection()
        body = b"a" * 300_000
        connection.data_received(parts.answer("a1", body))
        connection.connection_lost(error)
        head = await connection.next_head()
        assert head.status == 200
        assert await connection.body.read(1 << 20) == (body, True)

    asyncio.run(scenario())


def test_reading_pauses_while_a_body_isnt_taken_and_resumes():
    async def scenario():
        connection = _connection()
        transport = connection.transport
        data = parts.answer("a1", b"a" * 1_000_000)
        connection.data_received(data[:500_000])
        await asyncio.sleep(0.02)
        assert transport.is_paused
        assert len(await connection.body.next_piece()) < 200_000
        while transport.is_paused:
            await connection.body.next_piece()
            await asyncio.sleep(0)
        connection.data_received(data[500_000:])
        _, is_whole = await connection.body.read(1 << 20)
        assert is_whole
        connection.finish()
        await asyncio.sleep(0)
        assert not transport.is_paused
        assert connection.is_usable

    asyncio.run(scenario())


def test_a_long_read_lets_others_run_in_between():
    async def scenario():
        connection = _connection()
        turns = 0

        def count() -> None:
            nonlocal turns
            turns += 1
            loop.call_soon(count)

        loop = asyncio.get_running_loop()
        loop.call_soon(count)
        chunks = b"1\r\na\r\n" * 20_000
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
        )
        size = 0
        while size < 20_000:
            size += len(await connection.body.next_piece())
        assert turns >= len(chunks) // connections.MAX_READ_BYTES - 1

    asyncio.run(scenario())
