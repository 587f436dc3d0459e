"""Connections of callers at the end of a planned stop."""

import asyncio

from aiohttp import web
import pytest

from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import frontend
from swiftstile.gateway import outcomes
from tests import caller_stream_builders


class _Responder(caller_requests.Responder):
    """Answers as the request handler does, after a time."""

    def __init__(self):
        self.is_leaving = True
        self.may_answer = asyncio.Event()

    async def respond(self, incoming):
        try:
            if incoming.hold.is_refused:
                raise incoming.hold.take_refusal()
            await self.may_answer.wait()
        except outcomes.GatewayError as error:
            return frontend.error_response(error)
        except asyncio.CancelledError:
            if not incoming.hold.is_refused:
                raise
            asyncio.current_task().uncancel()
            return frontend.error_response(incoming.hold.take_refusal())
        return web.Response(text="whole")

    def respond_malformed(self, error):
        return web.Response(status=400, text="malformed")

    def may_run_concurrently(self, request):
        return request.method == "GET"


def _connect(responder):
    loop = asyncio.get_running_loop()
    transport = caller_stream_builders.Transport(loop)
    connection = callers.CallerConnection(loop, responder, set())
    transport.protocol = connection
    connection.connection_made(transport)
    return connection, transport


def _stopping(_hold):
    return outcomes.StoppingError("the VM stops", step="queued")


@pytest.mark.parametrize("steps", range(6))
def test_pipelined_requests_are_refused_however_close_the_answer_before_is(
    steps,
):
    async def scenario():
        responder = _Responder()
        connection, transport = _connect(responder)
        connection.data_received(
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
            + b"GET /b HTTP/1.1\r\nHost: a\r\n\r\n" * 3
        )
        await asyncio.sleep(0.01)
        responder.may_answer.set()
        # The first request is answered within these steps of the loop.
        for _ in range(steps):
            await asyncio.sleep(0)
        connection.end_requests(_stopping)
        await asyncio.sleep(0.1)
        answers = bytes(transport.written).count(b"HTTP/1.1 ")
        assert answers == 4, transport.written

    asyncio.run(scenario())
