"""HTTP server for the metrics, status and health of a daemon."""

import collections.abc

from aiohttp import web
import msgspec

from swiftstile import settings as settings_lib
from swiftstile.daemons import inspection

__all__ = ["start"]


async def start(
    address: str,
    daemon: inspection.Inspectable,
    render_metrics: collections.abc.Callable[[], bytes],
) -> web.AppRunner:
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
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = settings_lib.split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
