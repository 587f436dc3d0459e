"""Exchanges on connections with bytes that belong to no request."""

import asyncio
import collections.abc
import contextlib
import os

import pytest
from users_platform import control
from users_platform import unproven_answers

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from tests import exchange_parts as parts

_MISDIRECTED = b"HTTP/1.1 421 Misdirected Request"
_REJECTION = (
    b"HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def _cuts(data: bytes) -> list[bytes]:
    """Returns beginnings of a response: within each line, and at its end."""
    ends = {1, 9, 12, 13, len(data)}
    position = 0
    for line in data.split(b"\r\n"):
        ends |= {position + len(line) // 2, position + len(line)}
        ends |= {position + len(line) + 1, position + len(line) + 2}
        position += len(line) + 2
    return [data[:end] for end in sorted(ends) if 0 < end <= len(data)]


_BEGINNINGS = _cuts(
    b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Load: 1,0,3\r\n"
    b"X-Not-Executed: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 12\r\n\r\n"
    b"abcdefgh"
)
_CUT_IDS = [f"cut-at-{len(data)}" for data in _BEGINNINGS]


@pytest.mark.parametrize("foreign", _BEGINNINGS, ids=_CUT_IDS)
def test_bytes_behind_an_answer_do_not_change_the_next_one(foreign):
    async def script(number, writer):
        answer = parts.answer(f"a{number}")
        writer.write(answer + (foreign if number == 1 else b""))

    async def scenario(_server, sender, target):
        first = await sender.send(parts.call("a1", "POST"), target)
        assert (first.status, first.body) == (200, b"own")
        second = await sender.send(parts.call("a2", "POST"), target)
        assert (second.status, second.body) == (200, b"own")

    parts.run(script, scenario)


@pytest.mark.parametrize("foreign", _BEGINNINGS, ids=_CUT_IDS)
def test_bytes_before_an_answer_are_not_taken_for_a_rejection(foreign):
    async def script(number, writer):
        if number == 2:
            writer.write(foreign)
            await asyncio.sleep(0.02)
        writer.write(parts.answer(f"a{number}"))

    async def scenario(_server, sender, target):
        await sender.send(parts.call("a1", "POST"), target)
        try:
            response = await sender.send(
                parts.call("a2", "POST", wait_s=0.3), target
            )
        except outcomes.GatewayError as error:
            assert not error.promises_not_run
        else:
            assert (response.status, response.body) == (200, b"own")

    parts.run(script, scenario)


def test_late_copy_of_a_rejection_is_not_taken_for_the_next_answer():
    async def script(number, writer):
        if number == 1:
            writer.write(_REJECTION % b"a1")
            return
        # On the same connection the copy comes first.
        if writer.exchanges == 2:
            writer.write(_REJECTION % b"a1")
        writer.write(parts.answer("a1"))

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.NotRunError):
            await sender.send(parts.call("a1", "POST"), target)
        response = await sender.send(parts.call("a1", "POST"), target)
        assert response.status == 200

    parts.run(script, scenario)


def test_attempt_is_never_sent_twice_on_one_connection():
    async def script(number, writer):
        attempt = parts.header(writer, "X-Attempt-Id").encode()
        writer.write(_REJECTION % attempt)

    async def scenario(server, sender, target):
        for attempt, connections_ in (("a1", 1), ("a1", 2), ("a2", 2)):
            with pytest.raises(outcomes.NotRunError):
                await sender.send(parts.call(attempt, "POST"), target)
            assert server.connections == connections_
        with pytest.raises(outcomes.NotRunError):
            await sender.send(parts.call("a1", "POST"), target)
        assert server.connections == 3

    parts.run(script, scenario)


def test_connection_is_replaced_after_as_many_attempts_as_it_remembers(
    monkeypatch,
):
    monkeypatch.setattr(connections, "MAX_REMEMBERED_ATTEMPTS", 3)

    async def script(number, writer):
        writer.write(parts.answer(f"a{number}"))

    async def scenario(server, sender, target):
        for number in range(1, 8):
            await sender.send(parts.call(f"a{number}"), target)
        assert server.connections == 3

    parts.run(script, scenario)


@pytest.mark.parametrize("echoes", [True, False])
def test_late_copy_of_a_grant_is_not_taken_for_a_release(echoes):
    released = asyncio.Event()

    async def script(number, writer):
        ids = b""
        if echoes:
            ids = (
                b"X-Attempt-Id: "
                + parts.header(writer, "X-Attempt-Id").encode()
            )
        answer = b"HTTP/1.1 200 OK\r\n" + ids + b"\r\n" * bool(ids)
        answer += b"Content-Length: 0\r\n\r\n"
        if number == 1:
            writer.copy = answer
        elif writer.copy:
            writer.write(writer.copy)
        if number == 2:
            await asyncio.sleep(0.2)
            released.set()
        writer.write(answer)

    async def scenario(_server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        address, keys = target.upstream.address, interfaces.KeyRange(16, 31)
        await calls.grant(address, "u-1", keys, 7, 4.0, "", lambda: None)
        with contextlib.suppress(errors.PeerUnavailableError):
            await calls.release(address, "u-1", keys, 7)
            assert released.is_set()

    parts.run(script, scenario)


def _release_answer(token: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Handover: {token}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def test_releases_share_a_connection_while_their_tokens_differ():
    async def script(number, writer):
        writer.write(_release_answer(f"token-{number}"))

    async def scenario(server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        address, keys = target.upstream.address, interfaces.KeyRange(16, 31)
        for number in (1, 2, 3):
            token = await calls.release(address, "u-1", keys, 7)
            assert token == f"token-{number}"
        assert server.connections == 1

    parts.run(script, scenario)


def test_late_copy_of_a_release_is_not_taken_for_the_next_one():
    async def script(number, writer):
        if writer.exchanges == 2:
            writer.write(_release_answer("token-1"))
            return
        writer.write(_release_answer(f"token-{number}"))

    async def scenario(server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        address, keys = target.upstream.address, interfaces.KeyRange(16, 31)
        assert await calls.release(address, "u-1", keys, 7) == "token-1"
        with pytest.raises(errors.PeerTimeoutError):
            await calls.release(address, "u-1", keys, 8)
        # New connections from now on.
        for number in (3, 4):
            token = await calls.release(address, "u-1", keys, 8)
            assert token == f"token-{number}"
        assert server.connections == 3

    parts.run(script, scenario)


def _release(calls, target) -> collections.abc.Awaitable[str]:
    keys = interfaces.KeyRange(16, 31)
    return calls.release(target.upstream.address, "u-1", keys, 7)


def test_one_answer_without_proof_costs_no_connections_for_life(monkeypatch):
    # Guards against releases on new connections for the life of the VM.
    monkeypatch.setattr(unproven_answers, "REMEMBERED_S", 0.1)

    async def script(number, writer):
        token = f"token-{max(1, number - 1)}"
        writer.write(_release_answer(token))

    async def scenario(server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        await _release(calls, target)
        with pytest.raises(errors.PeerTimeoutError):
            await _release(calls, target)
        await _release(calls, target)
        assert server.connections == 2
        await asyncio.sleep(0.1)
        for _ in range(4):
            await _release(calls, target)
        assert server.connections == 2

    parts.run(script, scenario)


@pytest.mark.parametrize("token", ["", "always-the-same"])
def test_upstream_without_proof_answers_each_release_on_a_new_connection(
    monkeypatch, token
):
    # Guards against a failed release each time the upstream is forgotten.
    monkeypatch.setattr(unproven_answers, "REMEMBERED_S", 0.2)

    async def script(_number, writer):
        writer.write(_release_answer(token))

    async def scenario(server, _sender, target):
        calls = control.UpstreamCalls(connection_pool.ConnectionPool())
        await _release(calls, target)
        with pytest.raises(errors.PeerTimeoutError):
            await _release(calls, target)
        for number in range(3, 9):
            assert await _release(calls, target) == token
            assert server.connections == number - 1
            await asyncio.sleep(0.1)

    parts.run(script, scenario)


@pytest.mark.parametrize(
    "foreign",
    [b"\x00\xff\x00", b"nonsense", b"HTTP/1.1 200", b"\r\n", _MISDIRECTED],
    ids=["zeros", "nonsense", "first-line", "empty-line", "misdirected"],
)
def test_whole_answer_is_returned_whatever_follows_it(foreign):
    async def script(number, writer):
        writer.write(parts.answer(f"a{number}") + foreign)

    async def scenario(_server, sender, target):
        for number in (1, 2, 3):
            call = parts.call(f"a{number}", "POST")
            assert (await sender.send(call, target)).body == b"own"

    parts.run(script, scenario)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Signature: s\r\n",
        b"HTTP/1.1 421 Misdirected\r\nX-Server-Signature: s\r\n",
        b"HTTP/1.1 200 OK\r\nX-Not-Executed: 1\r\n",
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a2\r\n",
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Instance-Id: u-9\r\n",
    ],
    ids=["signed", "signed-421", "success", "two-ids", "other-upstream"],
)
def test_contradictory_answer_is_no_promise(head):
    async def script(_number, writer):
        writer.write(head + b"X-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(parts.call("a1", "POST"), target)

    parts.run(script, scenario)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize(
    "signature",
    [b"", b"X-Server-Signature: s\r\n"],
    ids=["unsigned", "signed"],
)
def test_promising_status_without_a_statement_is_not_passed_on(
    status, signature
):
    async def script(_number, writer):
        writer.write(
            b"HTTP/1.1 %d Status\r\nX-Attempt-Id: a1\r\n%b"
            b"Content-Length: 0\r\n\r\n" % (status, signature)
        )

    async def scenario(_server, sender, target):
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(parts.call("a1", "POST"), target)
        read = parts.call("a1", "GET")
        read.is_idempotent = True
        assert (await sender.send(read, target)).status == status

    parts.run(script, scenario)


_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
# What a response begins with, and what it repeats.
_ENDLESS = {
    "first-line": (b"HTTP/1.1 200 ", b"O"),
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: a\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "no-http": (b"", b"\x00\xff"),
    "chunk-extension": (_CHUNKED + b"4;a=", b"a"),
    "chunk-size": (_CHUNKED, b"0"),
    "trailers": (_CHUNKED + b"0\r\n", b"X-More: a\r\n"),
    "copies": (b"", parts.answer("a0", b"x" * 1000)),
    "copy": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\n"
        b"Content-Length: 1000000000000\r\n\r\n",
        b"a",
    ),
    "length": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
        b"Content-Length: 1000000000000\r\n\r\n",
        b"a",
    ),
}
# Buffers of both sockets, and what a response may hold that is read whole.
_MAX_SENT_BYTES = 24 << 20


@pytest.mark.parametrize("kind", _ENDLESS)
def test_answer_without_end_fails_at_once(kind):
    begin, repeated = _ENDLESS[kind]
    piece = repeated * (65536 // len(repeated))
    sent = 0

    async def script(_number, writer):
        nonlocal sent
        writer.write(begin)
        while not writer.transport.is_closing():
            writer.write(piece)
            sent += len(piece)
            await writer.drain()
            await asyncio.sleep(0)

    async def scenario(_server, sender, target):
        started = clocks.monotonic()
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sender.send(parts.call("a1", wait_s=5.0), target)
        # Far less than the caller would wait.
        assert clocks.monotonic() - started < 2.0
        assert sent < _MAX_SENT_BYTES

    parts.run(script, scenario)


def test_body_without_a_length_isnt_whole_once_its_connection_was_reset():
    async def script(_number, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s"
            b"\r\nConnection: close\r\n\r\nthe first"
        )
        await asyncio.sleep(5)

    async def scenario(_server, sender, target):
        call = parts.call("a1")
        call.is_idempotent = True
        sending = asyncio.create_task(sender.send(call, target))
        await asyncio.sleep(0.1)
        # As when this VM finds that it reaches no upstream.
        sender.abandon_idempotent()
        with pytest.raises(outcomes.UnknownOutcomeError):
            await sending

    parts.run(script, scenario)


def test_connection_with_unread_input_gets_no_unsafe_request():
    async def script(number, writer):
        writer.write(parts.answer(f"a{number}"))
        if number == 1:
            foreign.append(writer.transport.get_extra_info("socket").fileno())

    foreign: list[int] = []

    async def scenario(server, sender, target):
        await sender.send(parts.call("a1", "POST"), target)
        # Behind the event loop's back: it is read only after the next send.
        os.write(foreign[0], _MISDIRECTED)
        response = await sender.send(parts.call("a2", "POST"), target)
        assert (response.status, server.connections) == (200, 2)

    parts.run(script, scenario)


def test_upstream_that_sent_foreign_bytes_gets_new_connections_for_a_while(
    monkeypatch,
):
    async def script(number, writer):
        behind = b"nonsense" if number == 1 else b""
        writer.write(parts.answer(f"a{number}") + behind)

    async def scenario(server, sender, target):
        for number in (1, 2, 3):
            await sender.send(parts.call(f"a{number}", "POST"), target)
        assert server.connections == 3
        read = parts.call("a4")
        read.is_idempotent = True
        await sender.send(read, target)
        assert server.connections == 3
        monkeypatch.setattr(
            clocks, "monotonic", lambda now=clocks.monotonic: now() + 10.0
        )
        server.connections = 0
        for number in (5, 6):
            await sender.send(parts.call(f"a{number}", "POST"), target)
        assert server.connections <= 1

    parts.run(script, scenario)
