"""Tests exchanges with servers that respond late, twice, early or partially."""

import asyncio
import contextlib

from aiohttp import base_protocol
from aiohttp import streams
import pytest
from users_platform import control

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets
from tests import exchange_parts as parts
from tests import gateway_builders as builders

_answer, _call, _client = parts.answer, parts.call, parts.client
_run = parts.run


def test_connection_is_reused():
    async def script(number, writer):
        writer.write(_answer(f"a{number}"))

    async def scenario(server, sender, target):
        for number in (1, 2, 3):
            answer = await sender.send(_call(f"a{number}"), target)
            assert (answer.status, answer.body) == (200, b"own")
        assert server.connections == 1
        assert b"X-Expect-Instance: u-1" in server.requests[0]
        assert server.requests[0].startswith(b"GET /a/b?c=1 HTTP/1.1\r\n")

    _run(script, scenario)


def test_duplicate_response_is_not_taken_for_the_next():
    async def script(number, writer):
        answers = _answer(f"a{number}") * (2 if number == 1 else 1)
        writer.write(answers)

    async def scenario(_server, sender, target):
        await sender.send(_call("a1"), target)
        answer = await sender.send(_call("a2", "POST", b"x"), target)
        assert dict(answer.headers)["X-Attempt-Id"] == "a2"

    _run(script, scenario)


def test_late_duplicate_response_is_skipped():
    async def script(number, writer):
        if number == 2:
            writer.write(_answer("a1", b"old"))
            await asyncio.sleep(0.01)
        writer.write(_answer(f"a{number}"))

    async def scenario(server, sender, target):
        await sender.send(_call("a1"), target)
        answer = await sender.send(_call("a2", "DELETE"), target)
        assert answer.body == b"own"
        assert server.connections == 1

    _run(script, scenario)


def test_late_rejection_of_another_request_is_ignored():
    async def script(number, writer):
        if number == 2:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\n"
                b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        writer.write(_answer(f"a{number}"))

    async def scenario(_server, sender, target):
        await sender.send(_call("a1"), target)
        assert (await sender.send(_call("a2", "POST"), target)).status == 200

    _run(script, scenario)


@pytest.mark.parametrize("method", ["DELETE", "PUT", "GET", "POST"])
def test_request_on_a_breaking_connection_is_sent_once(method):
    async def script(number, writer):
        if number == 1:
            writer.write(_answer("a1"))
        else:
            writer.transport.abort()

    async def scenario(server, sender, target):
        await sender.send(_call("a1"), target)
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(_call("a2", method), target)
        await asyncio.sleep(0.05)
        assert len(server.requests) == 2

    _run(script, scenario)


def test_truncated_response_is_an_unknown_outcome():
    async def script(_number, writer):
        writer.write(_answer("a1", b"x" * 100)[:-40])
        writer.close()

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(_call("a1"), target)

    _run(script, scenario)


_UNFRAMED = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
    b"Connection: close\r\n\r\nall of it"
)


def test_response_without_length_ends_with_its_connection():
    async def script(_number, writer):
        writer.write(_UNFRAMED)
        writer.close()

    async def scenario(_server, sender, target):
        answer = await sender.send(_call("a1"), target)
        assert answer.body == b"all of it"

    _run(script, scenario)


def test_reset_response_without_length_is_an_unknown_outcome():
    async def script(_number, writer):
        writer.write(_UNFRAMED)
        await writer.drain()
        await asyncio.sleep(0.05)
        connections.reset_on_close(writer.transport)
        writer.transport.abort()

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(_call("a1"), target)

    _run(script, scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
        b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    ],
)
def test_invalid_successful_response_is_an_unknown_outcome(data):
    async def script(_number, writer):
        writer.write(data)

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(_call("a1"), target)

    _run(script, scenario)


def test_unresponsive_server_times_out_at_the_deadline():
    async def script(_number, _writer):
        await asyncio.sleep(5)

    async def scenario(_server, sender, target):
        started = clocks.monotonic()
        with pytest.raises(outcomes.TimedOutError):
            await sender.send(_call("a1", wait_s=0.2), target)
        assert clocks.monotonic() - started < 1.0

    _run(script, scenario)


def test_replaced_server_is_distinguished_from_misdirected_key():
    async def script(number, writer):
        instance = "u-9" if number == 1 else "u-1"
        writer.write(
            f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: a{number}\r\n"
            f"X-Instance-Id: {instance}\r\nX-Not-Executed: 1\r\n"
            f"Content-Length: 0\r\n\r\n".encode()
        )

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.ReplacedError):
            await sender.send(_call("a1"), target)
        with pytest.raises(outcomes.MisdirectedError):
            await sender.send(_call("a2"), target)

    _run(script, scenario)


def test_refused_connection_is_unreachable():
    async def scenario():
        target = targets.Target(builders.upstream(address="127.0.0.1:1"), 0.0)
        sender = _client(connection_pool.ConnectionPool())
        with pytest.raises(outcomes.UpstreamUnreachableError):
            await sender.send(_call("a1"), target)

    asyncio.run(scenario())


def test_an_upstream_that_left_while_a_connection_was_opened_gets_nothing():
    async def script(number, writer):
        writer.write(_answer(f"a{number}"))

    async def scenario(server, sender, target):
        target.announce_leaving(clocks.monotonic() - 2.0)
        with pytest.raises(outcomes.WithdrawnError):
            await sender.send(_call("a1"), target)
        assert server.requests == []

    _run(script, scenario)


def test_an_upstream_that_rejected_while_a_connection_was_opened_gets_nothing():
    async def script(number, writer):
        writer.write(_answer(f"a{number}"))

    async def scenario(server, sender, target):
        target.backoff_until = clocks.monotonic() + 1.0
        with pytest.raises(outcomes.WithdrawnError):
            await sender.send(_call("a1"), target)
        assert server.requests == []

    _run(script, scenario)


def test_a_rejection_with_a_pause_is_obeyed_by_the_next_send():
    async def script(number, writer):
        writer.write(
            b"HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: a1\r\n"
            b"X-Not-Executed: 1\r\nRetry-After: 0.2\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    async def scenario(server, sender, target):
        with pytest.raises(outcomes.NotRunError):
            await sender.send(_call("a1"), target)
        with pytest.raises(outcomes.WithdrawnError):
            await sender.send(_call("a1"), target)
        assert len(server.requests) == 1

    _run(script, scenario)


def test_no_unsafe_request_on_idle_connections_after_one_broke(
    monkeypatch,
):
    # Servers that silently dropped an idle connection reset it on the next
    # request. The reset doesn't tell whether that request ran, so that a
    # non-idempotent one can't be retried.
    monkeypatch.setattr(connection_pool, "MAX_SAFE_IDLE_S", -1.0)

    async def script(number, writer):
        if number == 2:
            writer.transport.abort()
            return
        writer.write(_answer(f"a{number}"))

    async def scenario(server, sender, target):
        await sender.send(_call("a1", "POST"), target)
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(_call("a2", "POST"), target)
        for number in (3, 4):
            await sender.send(_call(f"a{number}", "POST"), target)
        # One connection for a1 and a2, and one each for a3 and a4.
        assert server.connections == 3

    _run(script, scenario)


def test_early_response_to_a_long_body_is_returned():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_answer("a1", b"early"))
        await asyncio.sleep(0.2)
        writer.close()

    async def scenario():
        listener = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = builders.upstream(address=f"127.0.0.1:{port}")
        pool = connection_pool.ConnectionPool()
        sender = _client(pool)
        call = _call("a1", "POST", b"x" * (16 << 20))
        answer = await sender.send(call, targets.Target(upstream, 0.0))
        assert answer.body == b"early"
        # The rest of the body wasn't sent, so that the connection isn't reused.
        connection = await pool.acquire(upstream.address, True)
        assert pool.opened == 2
        connection.abort()
        listener.close()

    asyncio.run(scenario())


def test_wire_format_of_grants_and_releases():
    async def script(number, writer):
        head = b"HTTP/1.1 200 OK\r\n"
        if number == 2:
            head += b"X-Handover: warm\r\n"
        if number == 3:
            head = b"HTTP/1.1 409 Conflict\r\n"
        writer.write(head + b"Content-Length: 0\r\n\r\n")

    async def scenario(server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        address = target.upstream.address
        keys = interfaces.KeyRange(16, 31)
        assert (
            await calls.grant(
                address, "u-1", keys, 7, 4.0, "warm", lambda: None
            )
            is interfaces.GrantResult.HELD
        )
        assert await calls.release(address, "u-1", keys, 7) == "warm"
        assert (
            await calls.grant(address, "u-1", keys, 6, 4.0, "", lambda: None)
            is interfaces.GrantResult.FENCED
        )
        assert server.requests[0].endswith(
            b'{"from":16,"to":31,"fence":7,"hold_time":"4000ms",'
            b'"handover":"warm"}'
        )
        assert server.requests[1].endswith(b'{"from":16,"to":31,"fence":7}')

    _run(script, scenario)


def test_unanswered_grant_resets_its_connection():
    gone = asyncio.Event()

    async def handle(reader, _writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await reader.read()
            await reader.read()
        gone.set()

    async def scenario():
        listener = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        with pytest.raises(errors.PeerTimeoutError):
            await calls.grant(
                f"127.0.0.1:{port}",
                "u-1",
                interfaces.KeyRange(0, 1),
                1,
                4.0,
                "",
                lambda: None,
            )
        async with asyncio.timeout(2):
            await gone.wait()
        listener.close()

    asyncio.run(scenario())


async def _slow_body():
    yield b"x" * 1000
    await asyncio.sleep(30.0)
    yield b"x" * 1000


@pytest.mark.parametrize("status", [503, 200])
def test_no_request_follows_on_a_connection_whose_body_is_unfinished(status):
    # An upstream may answer before it has read a long body. What came next on
    # that connection would be taken for the rest of the body.
    async def scenario():
        heads: list[bytes] = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            heads.append(head)
            number = len(heads)
            if number == 1 and status == 503:
                writer.write(
                    b"HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\n"
                    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            else:
                writer.write(_answer(f"a{number}"))
            while data := await reader.read(65536):
                if number == 1 and b"HTTP/1.1" in data:
                    heads.append(b"taken for a body")

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = builders.upstream("u-1", address=f"127.0.0.1:{port}")
        target = targets.Target(upstream, 0.0)
        sender = _client(connection_pool.ConnectionPool())
        upload = _call("a1", "POST", None)
        upload.stream, upload.length = _slow_body(), 2000
        if status == 503:
            with pytest.raises(outcomes.NotRunError):
                await sender.send(upload, target)
        else:
            await sender.send(upload, target)
        await sender.send(_call("a2"), target)
        listener.close()
        assert len(heads) == 2
        assert b"taken for a body" not in heads

    asyncio.run(scenario())


def test_the_rest_of_a_body_can_be_read_after_an_early_answer():
    # The sender of the body went on reading beside the connection of the
    # caller, which then failed without an answer to what followed.
    async def scenario():
        loop = asyncio.get_running_loop()
        protocol = base_protocol.BaseProtocol(loop)
        protocol.transport = asyncio.Transport()
        content = streams.StreamReader(protocol, 1 << 16, loop=loop)

        async def body():
            while piece := await content.readany():
                yield piece

        async def answer_at_once(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_answer("a1"))

        listener = await asyncio.start_server(answer_at_once, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        call = _call("a1", "POST")
        call.body, call.stream, call.length = None, body(), 100
        sender = _client(connection_pool.ConnectionPool())
        target = parts.target(f"127.0.0.1:{port}")
        assert (await sender.send(call, target)).status == 200
        loop.call_later(0.05, content.feed_data, b"rest")
        assert await content.readany() == b"rest"
        listener.close()

    asyncio.run(scenario())
