"""Connections free what they received once nobody uses them.

Guards against an upstream that sends without end: what each of its connections
had received stayed until a collection of garbage, and with it the memory of a
VM grew by each answer that was given up.
"""

import asyncio
import contextlib
import gc

import pytest

from swiftstile.gateway import connections
from swiftstile.gateway import outcomes
from swiftstile.gateway import response_bodies
from tests import exchange_parts as parts

_ENDLESS_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_CHUNK = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"


async def _send_without_end(_number, writer) -> None:
    writer.write(_ENDLESS_HEAD)
    while not writer.transport.is_closing():
        writer.write(_CHUNK)
        await writer.drain()


@pytest.fixture
def no_collections():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _live_connections() -> list[connections.UpstreamConnection]:
    return [
        found
        for found in gc.get_objects()
        if isinstance(found, connections.UpstreamConnection)
    ]


async def _give_up_by_caller(sender, target) -> None:
    response = await sender.send(parts.call("a1", wait_s=5.0), target)
    await anext(response.stream)
    response.finish(False)
    await response.stream.aclose()


async def _give_up_by_timeout(sender, target) -> None:
    response = await sender.send(parts.call("a1", wait_s=0.5), target)
    with pytest.raises(outcomes.TimedOutError):
        async for _ in response.stream:
            pass
    response.finish(False)


async def _give_up_by_cancellation(sender, target) -> None:
    response = await sender.send(parts.call("a1", wait_s=5.0), target)

    async def read() -> None:
        try:
            async for _ in response.stream:
                await asyncio.sleep(3600)
        finally:
            response.finish(False)

    reading = asyncio.create_task(read())
    await asyncio.sleep(0.1)
    reading.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await reading


@pytest.mark.parametrize(
    "give_up",
    [_give_up_by_caller, _give_up_by_timeout, _give_up_by_cancellation],
)
def test_given_up_answer_leaves_no_connection(no_collections, give_up):
    async def scenario(_server, sender, target):
        known = {id(found) for found in _live_connections()}
        await give_up(sender, target)
        async with asyncio.timeout(2.0):
            while [
                found for found in _live_connections() if id(found) not in known
            ]:
                await asyncio.sleep(0.02)

    parts.run(_send_without_end, scenario)


def test_failed_body_keeps_no_bytes():
    async def scenario():
        body = response_bodies.ResponseBody(lambda: None)
        body.feed(b"received")
        body.fail(ConnectionResetError())
        with pytest.raises(ConnectionResetError):
            await body.next_piece()
        assert not body._pieces

    asyncio.run(scenario())
