"""Closing idle connections doesn't cut an answer that is being delivered."""

import asyncio
import socket
import types

from aiohttp import web

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import frontend
from swiftstile.gateway import planned_stop

_ANSWER_BYTES = 300_000


class _Handler:
    config = None
    upload_slots = types.SimpleNamespace(is_wanted=lambda _hold: False)

    async def handle(self, incoming):
        await incoming.request.read()
        return web.Response(body=bytes(_ANSWER_BYTES))

    def may_run_concurrently(self, request):
        return False


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


async def _received(closes_idle: bool) -> int:
    """Returns the size of the answer that a caller that reads late gets."""
    loop = asyncio.get_running_loop()
    stop = planned_stop.PlannedStop(6.0)
    port = _free_port()
    front = frontend.Frontend(
        f"127.0.0.1:{port}", _Handler(), metrics.Meters(), stop
    )
    await front.start()
    stop.begin(clocks.monotonic())
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.setblocking(False)
    await loop.sock_connect(caller, ("127.0.0.1", port))
    request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    await loop.sock_sendall(caller, request)
    received = 0
    # Most of the answer remains in the buffers of the kernel.
    while received < 100_000:
        received += len(await loop.sock_recv(caller, 1 << 14))
    await asyncio.sleep(0.1)
    if closes_idle:
        front.close_idle()
    await asyncio.sleep(0.1)
    # Crosses the end of the connection.
    await loop.sock_sendall(caller, request)
    await asyncio.sleep(0.1)
    try:
        async with asyncio.timeout(5):
            while piece := await loop.sock_recv(caller, 1 << 16):
                received += len(piece)
    except ConnectionError:
        pass
    caller.close()
    front.stop_listening()
    return received


def test_an_answer_is_delivered_while_its_connection_lingers():
    assert asyncio.run(_received(False)) > _ANSWER_BYTES


def test_close_idle_lets_a_lingering_connection_deliver_its_answer():
    assert asyncio.run(_received(True)) > _ANSWER_BYTES
