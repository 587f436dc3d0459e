"""TCP proxy between the processes of a test that injects network faults.

Each link is named `SOURCE>TARGET`, such as `a>server-3`. `POST /links` adds
links; `POST /faults` sets the fault of all links that match a pattern.
"""

import argparse
import asyncio
import enum
import fnmatch

from aiohttp import web
import msgspec
import uvloop

__all__ = ["Fault", "FaultKind", "Link", "main"]


class FaultKind(enum.Enum):
    """Kind of fault on a link."""

    NONE = "none"
    # Open connections are reset and new ones are refused.
    RESET = "reset"
    # Drops all data on open and new connections without closing them.
    BLACKHOLE = "blackhole"
    # Drops all data on connections that are open now; new ones work.
    SILENT = "silent"
    # Delays all data.
    DELAY = "delay"


class Fault(msgspec.Struct):
    """A fault for all links whose names match a pattern.

    Attributes:
        pattern: Shell-style pattern, as for `fnmatch`.
        kind: Kind of fault.
        delay_s: Delay for `DELAY`, in seconds.
    """

    pattern: str
    kind: FaultKind
    delay_s: float = 0.0


class Link(msgspec.Struct):
    """A loopback port that is forwarded to another one."""

    name: str
    port: int
    target: int


class _Endpoint(asyncio.Protocol):
    """One end of a proxied connection; `other` is the opposite end."""

    def __init__(self, route: "_Route", other: "_Endpoint | None"):
        self.route = route
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.is_stalled = False
        self._pending: list[bytes] = []

    def connection_made(self, transport):
        self.transport = transport
        self.route.endpoints.add(self)
        if self.other is None:
            self.other = _Endpoint(self.route, self)
            self._connecting = asyncio.ensure_future(self._connect())
        for data in self._pending:
            transport.write(data)
        self._pending.clear()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        target = self.route.link.target
        try:
            await loop.create_connection(
                lambda: self.other, "127.0.0.1", target
            )
        except OSError:
            self.transport.abort()

    def data_received(self, data):
        fault = self.route.fault
        if self.is_stalled or fault.kind is FaultKind.BLACKHOLE:
            # Dropped bytes can't be restored, so the stream stays stalled even
            # after the fault is cleared.
            self.is_stalled = True
        elif fault.kind is FaultKind.DELAY:
            loop = asyncio.get_running_loop()
            loop.call_later(fault.delay_s, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data):
        other = self.other
        if other.transport is None:
            other._pending.append(data)
        elif not other.transport.is_closing():
            other.transport.write(data)

    def pause_writing(self):
        if self.other and self.other.transport:
            self.other.transport.pause_reading()

    def resume_writing(self):
        if self.other and self.other.transport:
            self.other.transport.resume_reading()

    def connection_lost(self, exc):
        self.route.endpoints.discard(self)
        if self.is_stalled or self.route.fault.kind is FaultKind.BLACKHOLE:
            return
        if self.other and self.other.transport:
            self.other.transport.close()


class _Route:

    def __init__(self, link: Link):
        self.link = link
        self.fault = Fault("*", FaultKind.NONE)
        self.endpoints: set[_Endpoint] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, "127.0.0.1", self.link.port, backlog=512
        )

    def _accept(self) -> asyncio.Protocol:
        return _Endpoint(self, None)

    async def set_fault(self, fault: Fault) -> None:
        """Applies a fault to open connections and to new ones."""
        if fault.kind is FaultKind.SILENT:
            for endpoint in self.endpoints:
                endpoint.is_stalled = True
            return
        previous, self.fault = self.fault, fault
        if fault.kind is FaultKind.RESET and self._server is not None:
            self._server.close()
            self._server = None
            for endpoint in list(self.endpoints):
                endpoint.transport.abort()
        if previous.kind is FaultKind.BLACKHOLE:
            for endpoint in list(self.endpoints):
                if endpoint.is_stalled:
                    endpoint.transport.abort()
        if fault.kind is not FaultKind.RESET and self._server is None:
            await self.open()


class _Proxy:

    def __init__(self):
        self._by_name: dict[str, _Route] = {}

    async def add(self, request: web.Request) -> web.Response:
        links = msgspec.json.decode(await request.read(), type=list[Link])
        for link in links:
            route = _Route(link)
            await route.open()
            self._by_name[link.name] = route
        return web.Response(text="ok")

    async def fault(self, request: web.Request) -> web.Response:
        fault = msgspec.json.decode(await request.read(), type=Fault)
        matched = 0
        for name, route in self._by_name.items():
            if fnmatch.fnmatchcase(name, fault.pattern):
                await route.set_fault(fault)
                matched += 1
        return web.Response(text=str(matched))


def main() -> None:
    """Serves until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()

    async def run() -> None:
        proxy = _Proxy()
        app = web.Application(client_max_size=16 << 20)
        app.router.add_post("/links", proxy.add)
        app.router.add_post("/faults", proxy.fault)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", args.port).start()
        await asyncio.Event().wait()

    uvloop.run(run())


if __name__ == "__main__":
    main()
