"""Probes of servers that accept no grants, for any size of their page."""

import asyncio
import contextlib
import os

from aiohttp import web
import pytest

from swiftstile import errors
from swiftstile import metrics
from swiftstile.ownership import upstream_http
from tests.integration import narrow_link

_TIMEOUT_S = 0.25
_PROBES = 3


@contextlib.asynccontextmanager
async def _server(page_bytes: int):
    """Yields a narrow link to a server whose page has that size."""
    page = os.urandom(page_bytes)

    async def show(_request: web.BaseRequest) -> web.Response:
        return web.Response(body=page)

    runner = web.ServerRunner(web.Server(show, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    async with narrow_link.NarrowLink(f"127.0.0.1:{port}") as link:
        yield link
    await runner.cleanup()


@contextlib.asynccontextmanager
async def _control():
    control = upstream_http.HttpUpstreamControl(_TIMEOUT_S, metrics.Meters())
    try:
        yield control
    finally:
        await control.close()


@pytest.mark.parametrize("page_bytes", [0, 100, 500_000])
def test_probe_succeeds_for_any_page_size(page_bytes):
    async def scenario():
        async with _server(page_bytes) as link, _control() as control:
            for _ in range(_PROBES):
                await control.probe(link.address)

    asyncio.run(scenario())


def test_probe_of_an_unresponsive_server_times_out():
    async def scenario():
        async with _server(100) as link, _control() as control:
            link.stall_after = 0
            async with asyncio.timeout(_TIMEOUT_S + 0.2):
                with pytest.raises(errors.PeerUnavailableError):
                    await control.probe(link.address)

    asyncio.run(scenario())
