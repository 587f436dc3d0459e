"""Answers of the store are limited in size, not only in time."""

import asyncio
import contextlib

import pytest
from users_platform import store as store_lib

from swiftstile import clocks
from swiftstile import errors
from swiftstile import progress
from swiftstile.gateway import interfaces

_LIMIT_BYTES = 1 << 20
# Far below the time limit of a whole call.
_MAX_S = 5.0


class _EndlessStore:
    """Answers each call with a body without end.

    Attributes:
        sent: Bytes of all bodies that were sent.
        open: Number of answers that are still being sent.
    """

    def __init__(self, head: bytes, piece: bytes):
        self._head = head
        self._piece = piece
        self.sent = 0
        self.open = 0

    async def handle(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + self._head + b"\r\n")
            self.open += 1
            try:
                while True:
                    writer.write(self._piece)
                    self.sent += len(self._piece)
                    await writer.drain()
            finally:
                self.open -= 1


_BODIES = {
    "unframed": (b"", b"a" * 65536),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"10000\r\n" + b"a" * 65536 + b"\r\n",
    ),
    "length": (b"Content-Length: 1000000000000\r\n", b"a" * 65536),
}


async def _read_all(table) -> None:
    with pytest.raises(errors.PlatformUnavailableError):
        await table.read_all()


async def _wait_for_changes(table) -> None:
    assert await table.wait_for_changes(7, 0.0) is None


async def _write(table) -> None:
    with pytest.raises(errors.OutcomeUnknownError):
        await table.write([], [interfaces.Write("row", b"value")])


@pytest.mark.parametrize("body", _BODIES)
@pytest.mark.parametrize("call", [_read_all, _wait_for_changes, _write])
def test_answer_of_the_store_without_end_is_given_up(monkeypatch, body, call):
    # Guards against an answer that fills the memory of a VM.
    monkeypatch.setattr(progress, "MAX_BODY_BYTES", _LIMIT_BYTES)

    async def scenario():
        store = _EndlessStore(*_BODIES[body])
        listener = await asyncio.start_server(store.handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = store_lib.StoreClient(f"127.0.0.1:{port}")
        started = clocks.monotonic()
        try:
            await call(store_lib.StoreTable(client, "op"))
            async with asyncio.timeout(_MAX_S):
                while store.open:
                    await asyncio.sleep(0.01)
        finally:
            await client.close()
            listener.close()
        assert clocks.monotonic() - started < _MAX_S
        # The buffers of both sockets hold some more.
        assert store.sent < _LIMIT_BYTES + (16 << 20)

    asyncio.run(scenario())
