"""Stand-in of the platform's store (PROTOCOL.md), without any fault."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

import http1

_PAGE_ROWS = 500


class Store:
    """The store, with linearizable rows in tables.

    Attributes:
        address: Where it listens.
    """

    def __init__(self):
        self.address = ""
        self._rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 21
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    def put(self, table: str, key: str, document) -> None:
        """Writes a row as the operator or a target does."""
        self._apply([(table, "", key, json.dumps(document).encode())])

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply([(table, "", key, None)])

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table's rows."""
        return [
            name[2]
            for name, (value, _) in self._rows.items()
            if name[0] == table and value is not None
        ]

    def _apply(self, entries) -> None:
        self._version += 1
        for table, part, key, value in entries:
            self._rows[table, part, key] = (value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await http1.read_request(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: http1.Message) -> bytes:
        name = request.path.rpartition("/")[2]
        query = {
            key: urllib.parse.unquote(value)
            for key, value in request.query.items()
        }
        await asyncio.sleep(0.003)
        if name == "rows-tx":
            return self._transact(json.loads(request.body))
        if name == "rows-get":
            return self._page(query)
        if name == "rows-feed":
            return await self._feed(query)
        return http1.response(400)

    def _transact(self, call) -> bytes:
        for wanted in call["precondition"]:
            name = (wanted["table"], wanted.get("part", ""), wanted["key"])
            value, version = self._rows.get(name, (None, 0))
            if (0 if value is None else version) != wanted["ver"]:
                return self._json({"rows": []}, 412)
        named = call["set_keys"] + call["remove"]
        if any(row["table"] in ("op", "servers") for row in named):
            return http1.response(403)
        entries = [
            (
                row["table"],
                row.get("part", ""),
                row["key"],
                base64.b64decode(row["value"]),
            )
            for row in call["set_keys"]
        ]
        entries += [
            (row["table"], row.get("part", ""), row["key"], None)
            for row in call["remove"]
        ]
        self._apply(entries)
        return self._json({})

    def _page(self, query) -> bytes:
        limit = min(int(query.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        found = [
            (name[2], value, version)
            for name, (value, version) in self._rows.items()
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= query.get("from", "")
            and ("to" not in query or name[2] < query["to"])
            and value is not None
        ]
        found.sort(key=lambda row: row[0].encode())
        rows = [self._row(query["table"], *row) for row in found[:limit]]
        return self._json({"rows": rows, "has_more": len(found) > limit})

    async def _feed(self, query) -> bytes:
        after = int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            changed = self._changed
            found = [
                (version, name[2], value)
                for name, (value, version) in self._rows.items()
                if name[0] == query["table"] and version > after
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                found.sort(key=lambda row: row[:2])
                return self._json(
                    {
                        "rows": [
                            self._row(query["table"], key, value, version)
                            for version, key, value in found
                        ]
                    }
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    @staticmethod
    def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _json(self, document: dict, status: int = 200) -> bytes:
        now = f"{int(time.monotonic() * 1000)}ms"
        body = json.dumps(document | {"ver": self._version, "now": now})
        return http1.response(
            status, {"Content-Type": "application/json"}, body.encode()
        )
