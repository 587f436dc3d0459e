"""Raw channels of callers, and a VM with a route of long requests."""

import asyncio
import signal
import uuid

from tests.integration import gateways
from tests.integration import users_standins

__all__ = ["Channel", "prepare", "restart_with_grace"]

# Longer than the grace of 6 s, so that only the stop ends a request.
_ROUTE_TIMEOUT = "9000ms"


class Channel:
    """A connection of a caller."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, gateway: gateways.Gateway) -> "Channel":
        host, _, port = gateway.front.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send_head(self, length: int, path: str = "/slow/x") -> str:
        """Sends the head of an upload and returns the id of the attempt."""
        attempt = uuid.uuid4().hex[:16]
        self._writer.write(
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 9000\r\n"
            f"Content-Length: {length}\r\n\r\n".encode()
        )
        return attempt

    def send_body(self, length: int) -> None:
        self._writer.write(bytes(length))

    async def status(self, timeout_s: float = 10) -> int:
        """Returns the status of the next answer; 0 if the channel ended."""
        try:
            async with asyncio.timeout(timeout_s):
                head = await self._reader.readuntil(b"\r\n\r\n")
                _, _, rest = head.lower().partition(b"content-length: ")
                await self._reader.readexactly(int(rest.split(b"\r\n")[0]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        return int(head.split()[1])

    async def upload(self, length: int) -> tuple[str, int]:
        """Sends an upload; returns the attempt and its status."""
        attempt = self.send_head(length)
        self.send_body(length)
        return attempt, await self.status()


async def prepare(
    site: gateways.Site, work_s: float, **spec: str
) -> gateways.Gateway:
    """Returns a VM with a route of long requests, served in `work_s`.

    Args:
        site: The site.
        work_s: Time that upstreams take.
        spec: Further fields of the route.
    """
    route = users_standins.plain_route(
        "/slow/", "unsafe", _ROUTE_TIMEOUT, **spec
    )
    site.store.put("op", "config", users_standins.config(2, route))
    for server in site.cluster.by_id.values():
        server.work_s = work_s
    gateway = site.gateways[0]

    async def has_route() -> bool:
        lines = site.log_lines("configuration in force")
        return any(
            line["version"] == 2 and line["vm"] == "vm-0" for line in lines
        )

    await site.until(has_route, 10)
    return gateway


async def restart_with_grace(site: gateways.Site, grace: str) -> None:
    """Restarts the first VM with another grace."""
    gateway = site.gateways[0]
    text = gateway.settings.read_text()
    gateway.settings.write_text(text.replace("grace = 6s", f"grace = {grace}"))
    await gateway.stop(signal.SIGTERM)
    await gateway.start()
    await site.until(site.is_serving, 20)
