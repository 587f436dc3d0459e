"""Connections whose requests are refused for what they hold."""

import asyncio
import contextlib

from aiohttp import web

from swiftstile import clocks
from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import memory_account
from swiftstile.gateway import outcomes
from swiftstile.gateway import request_bodies

_PART_BYTES = 100_000
_GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
_LONG_POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"


class _Responder(caller_requests.Responder):
    """Reads bodies as the gateway does.

    Attributes:
        bodies: The bodies that were read completely.
        passes_on_at_once: Whether requests can't be refused once they began.
    """

    def __init__(self):
        self.bodies: list[bytes] = []
        self.passes_on_at_once = False

    async def respond(self, incoming):
        try:
            if incoming.hold.is_refused:
                raise incoming.hold.take_refusal()
            if self.passes_on_at_once:
                incoming.hold.pass_on()
            if incoming.request.body_exists:
                body = await request_bodies.read_body(
                    incoming.request.content,
                    incoming.hold,
                    clocks.monotonic() + 5,
                    1 << 20,
                )
                self.bodies.append(body.whole)
            else:
                await asyncio.sleep(0.05)
            incoming.hold.pass_on()
            return web.Response(text="served")
        except asyncio.CancelledError:
            if not incoming.hold.is_refused:
                raise
            asyncio.current_task().uncancel()
        except outcomes.GatewayError as error:
            return web.Response(status=error.status)
        return web.Response(status=incoming.hold.take_refusal().status)

    def respond_malformed(self, error):
        return web.Response(status=431, text=str(error))

    def may_run_concurrently(self, request):
        return False


def _run(scenario) -> None:
    async def main():
        responder, connections = _Responder(), set()
        part = memory_account.AccountPart(_PART_BYTES)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: callers.CallerConnection(
                loop, responder, connections, part
            ),
            "127.0.0.1",
            0,
        )
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(20):
                await scenario(responder, part, reader, writer)
        finally:
            writer.close()
            listener.close()

    asyncio.run(main())


async def _send_without_end(writer) -> None:
    """Sends until the connection ends."""
    with contextlib.suppress(OSError):
        while True:
            writer.write(bytes(10_000))
            await writer.drain()
            await asyncio.sleep(0.001)


async def _statuses(reader) -> list[int]:
    """Returns the statuses of all answers until the connection ends."""
    data = await reader.read()
    parts = data.split(b"HTTP/1.1 ")[1:]
    return [int(part[:3]) for part in parts]


def test_a_refusal_reaches_a_caller_that_goes_on_sending():
    # A close with unread input resets the connection, and with it the answer.
    async def scenario(responder, _part, reader, writer):
        writer.write(_LONG_POST)
        sending = asyncio.create_task(_send_without_end(writer))
        assert await _statuses(reader) == [503]
        sending.cancel()
        assert responder.bodies == []

    _run(scenario)


def test_requests_in_front_of_a_refused_one_are_answered():
    async def scenario(responder, _part, reader, writer):
        writer.write(2 * _GET + _LONG_POST + bytes(300_000))
        assert await _statuses(reader) == [200, 200, 503]
        assert responder.bodies == []

    _run(scenario)


def test_requests_behind_a_refused_one_are_not_handled():
    async def scenario(responder, _part, reader, writer):
        writer.write(_LONG_POST + bytes(900_000) + 3 * _GET)
        assert await _statuses(reader) == [503]
        assert responder.bodies == []

    _run(scenario)


def test_a_head_without_end_is_refused_before_it_is_complete():
    # A head was checked once it was complete.
    async def scenario(_responder, part, reader, writer):
        writer.write(_GET.removesuffix(b"\r\n"))
        for number in range(100):
            writer.write(b"x-%d: %b\r\n" % (number, b"v" * 2000))
            await asyncio.sleep(0)
        assert (await _statuses(reader))[0] in (431, 503)
        assert part.held_bytes <= _PART_BYTES

    _run(scenario)


def test_a_request_that_was_passed_on_is_not_refused_for_what_follows():
    # The last request of a connection was passed on; a refusal of what comes
    # behind it must not become its answer.
    async def scenario(responder, _part, reader, writer):
        responder.passes_on_at_once = True
        last = _GET.replace(b"Host", b"Connection: close\r\nHost")
        writer.write(last + bytes(_PART_BYTES))
        assert await _statuses(reader) == [200]

    _run(scenario)


def test_what_a_connection_held_is_free_after_it():
    async def scenario(_responder, part, reader, writer):
        writer.write(_GET + _LONG_POST + bytes(50_000))
        await reader.readuntil(b"served")
        while part.held_bytes < 50_000:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while part.held_bytes:
            await asyncio.sleep(0.01)

    _run(scenario)
