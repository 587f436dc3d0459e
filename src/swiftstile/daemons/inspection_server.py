"""HTTP server for the metrics, status and health of a daemon."""

import asyncio
import collections.abc

from aiohttp import web
import msgspec

from swiftstile import bounded_server
from swiftstile import settings as settings_lib
from swiftstile.daemons import inspection

__all__ = ["InspectionServer", "start"]


class InspectionServer:
    """A server that was started."""

    def __init__(self, runner: web.AppRunner, listener: asyncio.Server):
        self._runner = runner
        self._listener = listener

    async def cleanup(self) -> None:
        """Stops listening and closes the connections."""
        self._listener.close()
        await self._runner.cleanup()


async def start(
    address: str,
    daemon: inspection.Inspectable,
    render_metrics: collections.abc.Callable[[], bytes],
) -> InspectionServer:
    """Starts to serve `/metrics`, `/status` and `/health`.

    Args:
        address: `host:port` to listen at.
        daemon: The daemon whose status is served.
        render_metrics: Returns the metrics in the Prometheus text format.
    """

    async def metrics(_request: web.Request) -> web.Response:
        body = render_metrics()
        return web.Response(body=body, content_type="text/plain")

    async def status(_request: web.Request) -> web.Response:
        body = msgspec.json.encode(daemon.status())
        return web.Response(body=body, content_type="application/json")

    async def health(_request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    app = web.Application()
    app.router.add_get("/metrics", metrics)
    app.router.add_get("/status", status)
    app.router.add_get("/health", health)
    runner = web.AppRunner(app, access_log=None, **bounded_server.LIMITS)
    await runner.setup()
    host, port = settings_lib.split_address(address)
    listener = await asyncio.get_running_loop().create_server(
        bounded_server.BoundedServer(runner.server),
        host,
        port,
        backlog=bounded_server.BACKLOG,
        reuse_address=True,
    )
    return InspectionServer(runner, listener)
