"""A streamed answer of a leaving VM says whether its connection closes."""

import asyncio

from aiohttp import web

from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from tests import caller_stream_builders

_REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


class _Streaming(caller_requests.Responder):
    is_leaving = True

    async def respond(self, incoming):
        await incoming.wait_for_turn()
        response = web.StreamResponse()
        response.content_length = 4
        await response.prepare(incoming.request)
        await response.write(b"abcd")
        await response.write_eof()
        return response

    def respond_malformed(self, error):
        return web.Response(status=400)

    def may_run_concurrently(self, request):
        return False


def test_no_request_is_dropped_behind_a_streamed_answer():
    async def scenario():
        loop = asyncio.get_running_loop()
        transport = caller_stream_builders.Transport(loop)
        connection = callers.CallerConnection(loop, _Streaming(), set())
        transport.protocol = connection
        connection.connection_made(transport)
        connection.data_received(_REQUEST)
        await asyncio.sleep(0.05)
        announces_close = b"connection: close" in transport.written.lower()
        # The caller has a whole answer, and uses its channel again.
        connection.data_received(_REQUEST)
        await asyncio.sleep(0.05)
        answers = bytes(transport.written).count(b"HTTP/1.1 200")
        assert announces_close or answers == 2, transport.written

    asyncio.run(scenario())
