"""Stand-in for the platform: table, object store and VM list over HTTP.

All data is in memory. `POST /faults` injects faults: an outage, delayed
responses, responses lost after a write took effect, stale reads.
"""

import argparse
import asyncio
import random
import zlib

from aiohttp import web
import msgspec
import uvloop

from swiftstile.provider import http as provider_http

__all__ = ["Faults", "PlatformStandin", "main"]


class Faults(msgspec.Struct):
    """Faults that the platform injects.

    Attributes:
        outage: Refuse all requests.
        refuse_writes: Refuse transactions; serve reads.
        delay_s: Delay of each response, in seconds.
        lose_answers: Share of writes whose response is lost, from 0 to 1.
        lag_reads: Share of reads that return the previous version of a row.
        frozen_vms: Ignore updates of the VM list.
    """

    outage: bool = False
    refuse_writes: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    lag_reads: float = 0.0
    frozen_vms: bool = False


class PlatformStandin:
    """Stores rows, objects and VM lists, and injects faults."""

    def __init__(self, seed: int):
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.vm_lists = 0
        self._random = random.Random(seed)
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._previous_rows: dict[str, tuple[bytes, int]] = {}
        self._attempts: set[str] = set()
        self._history: dict[str, list[bytes]] = {}
        self._objects: dict[str, bytes] = {}
        self._vms_by_view: dict[str, bytes] = {}

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/table", self._read)
        app.router.add_post("/table", self._transact)
        app.router.add_put("/objects/{name}", self._put)
        app.router.add_get("/objects/{name}", self._get)
        app.router.add_get("/view/{view}/vms", self._vms)
        app.router.add_put("/view/{view}/vms", self._set_vms)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stats", self._stats)
        app.router.add_get("/history", self._show_history)
        return app

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable(text="outage")

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self.reads += 1
        key = request.query.get("key")
        prefix = request.query.get("prefix", "")
        keys = [key] if key is not None else sorted(self._rows)
        rows = [
            self._row_body(name)
            for name in keys
            if name in self._rows
            and (key is not None or name.startswith(prefix))
        ]
        return _json([row for row in rows if row is not None])

    def _row_body(self, key: str) -> provider_http.RowBody | None:
        value, version = self._rows[key]
        if self._random.random() < self.faults.lag_reads:
            if key not in self._previous_rows:
                return None
            value, version = self._previous_rows[key]
        return provider_http.RowBody(key, value, version)

    async def _transact(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        if self.faults.refuse_writes:
            raise web.HTTPServiceUnavailable(text="read only")
        self.writes += 1
        body = msgspec.json.decode(
            await request.read(), type=provider_http.TransactBody
        )
        if body.attempt not in self._attempts:
            for write in body.writes:
                version = self._rows.get(write.key, (b"", 0))[1]
                if version != write.expected_version:
                    text = f"{write.key} is at {version}"
                    return web.Response(status=409, text=text)
            self._apply(body)
        if self._random.random() < self.faults.lose_answers:
            request.transport.abort()
        return _json({})

    def _apply(self, body: provider_http.TransactBody) -> None:
        self._attempts.add(body.attempt)
        for write in body.writes:
            if write.value is not None:
                if write.key in self._rows:
                    self._previous_rows[write.key] = self._rows[write.key]
                version = write.expected_version + 1
                self._rows[write.key] = (write.value, version)
                self._history.setdefault(write.key, []).append(write.value)

    async def _put(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self.writes += 1
        self._objects[request.match_info["name"]] = await request.read()
        return _json({})

    async def _get(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self.reads += 1
        body = self._objects.get(request.match_info["name"])
        if body is None:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def _vms(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self.vm_lists += 1
        body = self._vms_by_view.get(request.match_info["view"], b"[]")
        headers = {"ETag": f'"{zlib.crc32(body):08x}"'}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, headers=headers)

    async def _set_vms(self, request: web.Request) -> web.Response:
        if not self.faults.frozen_vms:
            view = request.match_info["view"]
            self._vms_by_view[view] = await request.read()
        return _json({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return _json({})

    async def _show_history(self, request: web.Request) -> web.Response:
        """Responds with all values a row has had, oldest first, in base64."""
        return _json(self._history.get(request.query["key"], []))

    async def _stats(self, _request: web.Request) -> web.Response:
        return _json(
            {
                "reads": self.reads,
                "writes": self.writes,
                "vm_lists": self.vm_lists,
            }
        )


def _json(document: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(document))


def main() -> None:
    """Serves until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()

    async def run() -> None:
        runner = web.AppRunner(
            PlatformStandin(args.seed).app(), access_log=None
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", args.port).start()
        await asyncio.Event().wait()

    uvloop.run(run())


if __name__ == "__main__":
    main()
