"""Calls to a store that closes idle connections without notice.

Guards against a read that fails because its connection was idle, and against a
write that is sent twice.
"""

import asyncio

import pytest
from users_platform import store

from swiftstile import errors

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _ClosingStore:
    """Answers the first request of a connection, and closes at the second.

    Attributes:
        requests: Number of all requests.
    """

    def __init__(self):
        self.requests = 0

    async def handle(self, reader, writer) -> None:
        for is_answered in (True, False):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if is_answered:
                writer.write(_ANSWER)
        writer.close()


def _run(second_call) -> _ClosingStore:
    """Runs a call on a connection that the store closes meanwhile."""
    closing = _ClosingStore()

    async def scenario():
        listener = await asyncio.start_server(closing.handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = store.StoreClient(f"127.0.0.1:{port}")
        await client.query("/a", {}, 1.0)
        await second_call(client)
        await client.close()
        listener.close()

    asyncio.run(scenario())
    return closing


def test_read_is_repeated_on_a_new_connection():
    async def read(client):
        assert (await client.query("/a", {"from": "b\0"}, 1.0)).body == b"{}"

    assert _run(read).requests == 3


def test_write_isnt_repeated():
    async def write(client):
        with pytest.raises(errors.OutcomeUnknownError):
            await client.call("POST", "/a", {}, None, 1.0)

    assert _run(write).requests == 2
