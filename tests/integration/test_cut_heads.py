"""Tests that no reader takes an answer that stops within its head for one."""

import asyncio
import contextlib
import types
from unittest import mock

import aiohttp.client_proto
import aiohttp.http_parser
import multidict
import pytest
from users_platform import control
from users_platform import dialect
from users_platform import store as store_lib

from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forwarding
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from tests import exchange_parts

_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
    + f"{forward_headers.OUTCOME_HEADER}: {forward_headers.ANSWERED}".encode()
    + b"\r\n"
)
_BODY = b"Content-Length: 3\r\n\r\n"
_ANSWERS = {
    "length": _HEAD + _BODY,
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n" + _HEAD + _BODY,
    "chunks-and-trailers": _HEAD
    + b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n",
    "no-length": _HEAD + b"Connection: close\r\n\r\n",
}
_KEYS = interfaces.KeyRange(0, 15)


class _CuttingServer:
    """Sends a part of one answer, and closes or resets the connection.

    Attributes:
        sent: What it sends.
        resets: Whether it resets the connection.
    """

    def __init__(self):
        self.sent = b""
        self.resets = False
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self):
        listener = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        async with listener:
            yield self

    async def _handle(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.sent)
            await writer.drain()
            if self.resets:
                connections.reset_on_close(writer.transport)
        writer.close()


def _run(attempt, answer: bytes) -> None:
    """Tries each cut of an answer's head.

    Args:
        attempt: Called with the address; raises an error, as it should, or
            returns what it took for an answer.
        answer: The head of an answer.
    """

    async def scenario() -> None:
        server = _CuttingServer()
        async with server.running():
            for resets in (False, True):
                for cut in range(0, len(answer), 1 if resets else 2):
                    server.sent, server.resets = answer[:cut], resets
                    taken = await attempt(server.address)
                    assert taken is None, (answer[:cut], taken)

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", _ANSWERS)
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
def test_no_cut_head_of_an_upstream_is_an_answer(kind, method):
    """Guards against a success that the upstream's answer didn't end with."""

    async def attempt(address: str):
        sender = exchange_parts.client(connection_pool.ConnectionPool())
        target = exchange_parts.target(address)
        try:
            return await sender.send(exchange_parts.call("a1", method), target)
        except outcomes.UnknownOutcomeError:
            return None

    _run(attempt, _ANSWERS[kind])


@pytest.mark.parametrize("kind", _ANSWERS)
def test_no_cut_head_of_another_vm_is_an_answer(kind):
    """Guards against a VM that ends while it answers a forwarded request."""

    async def attempt(address: str):
        row = types.SimpleNamespace(node="vm-2", forward_address=address)
        peer = types.SimpleNamespace(row=row)
        selector = mock.Mock(choose=lambda *_: peer, is_near=lambda _: False)
        forwarder = forwarding.PeerForwarder(
            "run",
            selector,
            connection_pool.ConnectionPool(),
            dialect.UsersDialect(),
            metrics.Meters(),
            body_budget.BodyBudget(),
        )

        def make_origin(_age_s: float):
            return types.SimpleNamespace(headers=lambda: [])

        call = exchange_parts.call("a1")
        try:
            return await forwarder.forward(call, 0.0, make_origin)
        except outcomes.UnknownOutcomeError:
            return None

    _run(attempt, _ANSWERS[kind])


def test_no_cut_head_grants_keys_or_hands_them_over():
    """Guards against keys of two owners after half an answer to an order."""
    answer = (
        b"HTTP/1.1 200 OK\r\nX-Handover: abc\r\n"
        b"X-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
    )

    async def grant(address: str):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        try:
            return await calls.grant(
                address, "u-1", _KEYS, 1, 4.0, "", lambda: None
            )
        except errors.PeerUnavailableError:
            return None

    async def release(address: str):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        try:
            return await calls.release(address, "u-1", _KEYS, 1)
        except errors.PeerUnavailableError:
            return None

    _run(grant, answer)
    _run(release, answer)


def test_no_cut_head_passes_a_health_check():
    """Guards against an upstream that counts as alive by half an answer."""

    async def attempt(address: str):
        pool = connection_pool.ConnectionPool()
        return await pool.answers(address, "/health") or None

    answer = b"HTTP/1.1 200 OK\r\nX-Instance-Id: u-1\r\n" + _BODY
    _run(attempt, answer)


@pytest.mark.parametrize(
    "parser",
    [
        aiohttp.http_parser.HttpResponseParser,
        aiohttp.http_parser.HttpResponseParserPy,
    ],
    ids=["default", "python"],
)
def test_no_cut_head_of_the_store_is_an_answer(monkeypatch, parser):
    """Guards against rows that seem to be missing after half an answer."""
    monkeypatch.setattr(aiohttp.client_proto, "HttpResponseParser", parser)

    async def attempt(address: str):
        client = store_lib.StoreClient(address)
        try:
            return await client.call("GET", "/rows-get", {}, None, 0.5)
        except errors.PlatformError:
            return None
        finally:
            await client.close()

    answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + _BODY
    _run(attempt, answer)


def test_headers_of_the_answers_are_sound():
    """Guards against tests above that pass since no answer could be read."""

    async def script(_number, writer):
        writer.write(_ANSWERS["length"] + b"own")

    async def scenario(_server, sender, target):
        answer = await sender.send(exchange_parts.call("a1"), target)
        assert answer.body == b"own"
        assert isinstance(answer.headers, list | multidict.CIMultiDict)

    exchange_parts.run(script, scenario)
