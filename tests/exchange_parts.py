"""A scripted server and calls, for tests of single exchanges."""

import asyncio
import contextlib

import multidict
from users_platform import dialect

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import advisories
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import exchange
from swiftstile.gateway import interfaces
from swiftstile.gateway import targets
from tests import gateway_builders as builders


def answer(attempt: str, body: bytes = b"own") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Server-Signature: s\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def header(writer, name: str) -> str:
    """Returns a header of the last request that a scripted server read."""
    for line in writer.head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.decode().lower() == name.lower():
            return value.decode().strip()
    return ""


class _Writer:
    """Writes to a connection, and knows what was read from it.

    Attributes:
        head: Head of the last request.
        exchanges: Requests read so far.
        copy: What a script keeps for a later request of the connection.
    """

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        self.transport = writer.transport
        self.head = b""
        self.exchanges = 0
        self.copy = b""

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        self._writer.close()


class Server:
    """A server that handles each request with a function.

    Attributes:
        requests: Heads and bodies of all requests, in order.
        connections: Number of accepted connections.
    """

    def __init__(self, script):
        self._script = script
        self.requests: list[bytes] = []
        self.connections = 0

    async def handle(self, reader, stream_writer) -> None:
        self.connections += 1
        writer = _Writer(stream_writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                writer.head = await reader.readuntil(b"\r\n\r\n")
                length = int(header(writer, "Content-Length") or "0")
                body = await reader.readexactly(length)
                self.requests.append(writer.head + body)
                writer.exchanges += 1
                await self._script(len(self.requests), writer)
        stream_writer.close()


def call(attempt: str, method: str = "GET", body: bytes = b"", wait_s=1.0):
    headers = multidict.CIMultiDict(Host="a.example")
    headers["X-Attempt-Id"] = attempt
    return exchange.Call(
        method,
        "/a/b?c=1",
        headers,
        interfaces.RequestMetadata(attempt, wait_s, None),
        body,
        None,
        None,
        clocks.monotonic() + wait_s,
        timeout_s=wait_s,
        gives_up_at=clocks.monotonic() + wait_s,
    )


def client(pool: connection_pool.ConnectionPool) -> exchange.UpstreamClient:
    return exchange.UpstreamClient(
        pool,
        dialect.UsersDialect(),
        advisories.AdvisoryTable(targets.TargetTable(), metrics.Meters()),
        2.0,
        body_budget.BodyBudget(),
    )


def target(address: str) -> targets.Target:
    """Returns an upstream at an address."""
    return targets.Target(builders.upstream("u-1", address=address), 0.0)


@contextlib.asynccontextmanager
async def running(script):
    server = Server(script)
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    sender = client(connection_pool.ConnectionPool())
    try:
        yield server, sender, target(f"127.0.0.1:{port}")
    finally:
        listener.close()


def run(script, scenario) -> None:
    async def main():
        async with running(script) as parts:
            await scenario(*parts)

    asyncio.run(main())
