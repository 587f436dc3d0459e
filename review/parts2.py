"""Stand-ins and helpers for the cases 4 to 8: store, targets, clients, gateways.

The stand-ins speak what PROTOCOL.md says. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
SIGNATURE = "X-Server-Signature"
HELD, BROKEN, UNUSABLE = 0, 1, 2
_HISTORY_S = 20.0


def has_trouble() -> bool:
    """Whether the disruption of the case is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        now = time.monotonic() - self._started
        self._file.write(f"{now:8.3f} s  {text}\n")
        self._file.flush()


class Request:
    """A request that a stand-in received."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {}
        for field in rest:
            name, colon, value = field.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            size = int(headers.get("content-length", "0"))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return b"".join(pieces)
        pieces.append(piece)


def answer(status: int, headers: dict, body: bytes = b"") -> bytes:
    """Returns the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store, in memory."""

    def __init__(self):
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._log: list[tuple[str, str, str, int]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._started = time.monotonic()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, table: str, key: str, document) -> int:
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self._write([(table, "", key, value)])

    def remove(self, table: str, key: str) -> int:
        return self._write([(table, "", key, None)])

    def _write(self, entries) -> int:
        self._version += 1
        for table, part, key, value in entries:
            self._rows[table, part, key] = (value, self._version)
            self._log.append((table, part, key, self._version))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                status, document = await self._call(request)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                await asyncio.sleep(0.004)
                writer.write(answer(status, headers, body))
                await writer.drain()
        writer.close()

    async def _call(self, request: Request):
        path, _, query = request.target.partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        if path == "/swiftstile/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/swiftstile/rows-get":
            return 200, self._page(params)
        if path == "/swiftstile/rows-feed":
            return 200, await self._feed(params)
        return 404, {}

    def _transact(self, call):
        wrong = []
        for wanted in call.get("precondition", []):
            name = wanted["table"], wanted["part"], wanted["key"]
            value, version = self._rows.get(name, (None, 0))
            if (version if value is not None else 0) != wanted["ver"]:
                wrong.append(self._row(name))
        if wrong:
            return 412, self._rows_answer(wrong)
        entries = [
            (row["table"], row["part"], row["key"], row["value"])
            for row in call.get("set_keys", [])
        ]
        entries += [
            (row["table"], row["part"], row["key"], None)
            for row in call.get("remove", [])
        ]
        self._write(entries)
        return 200, self._rows_answer([])

    def _row(self, name) -> dict:
        value, version = self._rows.get(name, (None, 0))
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def _rows_answer(self, rows, has_more=False) -> dict:
        age_ms = int((time.monotonic() - self._started) * 1000)
        return {
            "rows": rows,
            "ver": self._version,
            "now": f"{age_ms}ms",
            "has_more": has_more,
        }

    def _page(self, params) -> dict:
        limit = min(500, int(params.get("limit", "500")))
        names = sorted(
            name
            for name, (value, _) in self._rows.items()
            if name[0] == params["table"]
            and name[1] == params.get("part", "")
            and name[2] >= params.get("from", "")
            and ("to" not in params or name[2] < params["to"])
            and value is not None
        )
        rows = [self._row(name) for name in names[:limit]]
        return self._rows_answer(rows, len(names) > limit)

    async def _feed(self, params) -> dict:
        table, after = params["table"], int(params["after"])
        end = time.monotonic() + int(params.get("wait_ms", "0")) / 1000
        while True:
            names = {
                entry[:3]
                for entry in reversed(self._log)
                if entry[0] == table and entry[3] > after
            }
            left_s = end - time.monotonic()
            if names or left_s <= 0:
                rows = sorted(map(self._row, names), key=lambda row: row["ver"])
                return self._rows_answer(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def close(self) -> None:
        self._server.close()


class Target:
    """A sound target of a service without keys.

    Attributes:
        arrivals: Time and attempt of each request that reached it.
        runs: Attempts that it began to run.
    """

    def __init__(self, store, record, name, service, zone, work, slots=3):
        self._store, self._record = store, record
        self.name, self.service, self.zone = name, service, zone
        # Returns the seconds of work and the body of an answer.
        self._work = work
        self._slots = asyncio.Semaphore(slots)
        self._count, self._running, self._sequence = slots, 0, 0
        self._born = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self.address = ""
        self.state = "ready"
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.ended: dict[str, str] = {}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(0.87)

    def register(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._count,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    def exit(self) -> None:
        """Ends its process: all connections break."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                # A target drops a request when its channel closes.
                work = asyncio.create_task(self._answer(request, writer))
                closed = asyncio.create_task(_closed(reader))
                await asyncio.wait(
                    [work, closed], return_when=asyncio.FIRST_COMPLETED
                )
                closed.cancel()
                if not work.done():
                    work.cancel()
                    attempt = request.headers.get("x-attempt-id", "")
                    self.ended[attempt] = "channel closed"
                    self._record.note(
                        f"{self.name}: the channel of {attempt} was closed"
                        " while it worked on it"
                    )
                    return
                await work
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"X-Instance-Id": self.name}
        if attempt:
            headers["X-Attempt-Id"] = attempt
        if request.method == "GET" and request.target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(answer(status, headers))
            return
        expected = request.headers.get("x-expect-instance", self.name)
        self.arrivals.append((time.monotonic(), attempt))
        if expected != self.name or not attempt:
            headers["X-Not-Executed"] = "1"
            writer.write(answer(421 if attempt else 400, headers))
            return
        async with self._slots:
            self._running += 1
            try:
                self.runs.append(attempt)
                self._record.note(f"{self.name}: runs {attempt}")
                work_s, body = self._work(request)
                await asyncio.sleep(work_s)
            finally:
                self._running -= 1
        headers[SIGNATURE] = hashlib.sha256(body).hexdigest()[:16]
        headers["X-Instance-Load"] = f"{self._running},0,{self._count}"
        writer.write(answer(200, headers, body))
        await writer.drain()
        self.ended[attempt] = "answered"


async def _closed(reader: asyncio.StreamReader) -> None:
    """Waits until the peer closes; these callers send one request at a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def entry(entry_type: str, name: str, **spec) -> dict:
    return {"entry_type": entry_type, "metadata": {"name": name}, "spec": spec}


def config(version: int, *resources: dict) -> dict:
    return {
        "version": f"{version:08x}",
        "base_version": f"{version - 1:08x}",
        "resources": [
            *resources,
            entry(
                "limits",
                "",
                max_header_bytes=16384,
                max_body_bytes=67108864,
                header_timeout="3000ms",
                idle_timeout="15000ms",
            ),
        ],
    }


def service(name: str) -> dict:
    return entry(
        "services",
        name,
        health_path="/health",
        max_connections=110,
        protocol="h1",
        tls=False,
    )


def _render(template: str, fields: dict) -> str:
    def value(match: re.Match) -> str:
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"{{([\w.]+)}}", value, template)


def _free_ports(host: str) -> list[int]:
    """Returns free ports; the one after the third is free as well."""
    while True:
        first = random.randrange(20000, 30000)
        ports = [first, first + 1, first + 2, first + 4]
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + 5):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        stack.enter_context(contextlib.closing(sock))
                        sock.bind((host, port))
            except OSError:
                continue
        return ports


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, number: int, zone: str, store: Store, folder, record):
        self.name = f"front-{zone}-{number}"
        self._folder, self._record = folder, record
        run = os.getpid()
        self.host = f"127.{run // 200 % 200 + 1}.{run % 200 + 1}.{number + 1}"
        ports = _free_ports(self.host)
        self.front = (self.host, ports[0])
        self._ready = (self.host, ports[1])
        self._fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{ports[0]}",
                "ready": f"{self.host}:{ports[1]}",
            },
            "internal_ports": [str(ports[2]), str(ports[3])],
            "seeds": "",
            "limits": {"link_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "platform": {"address": store.address, "row_bytes": 65536},
            "bounds": {
                "drain": "2000ms",
                "grace": "6s",
                "retry_budget_ratio": 0.2,
                "budget_slack": 56,
                "budget_window": "10s",
            },
        }
        self.settings = folder / f"{self.name}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings()

    def write_settings(self, **bounds: str) -> None:
        """Writes the settings file, with other bounds where given."""
        self._fields["bounds"] |= bounds
        template = (ROOT / "deploy" / "node.ini").read_text()
        new = self.settings.with_suffix(".new")
        new.write_text(_render(template, self._fields))
        new.replace(self.settings)

    async def start(self) -> None:
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SWIFTSTILE_NODE_FILE"] = str(self.settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/run.py",
                "gateway",
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self._record.note(f"{self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        self._record.note(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._ready)
                writer.write(b"GET /swiftstile/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return b" 200 " in head

    async def until_ready(self, timeout_s: float = 25.0) -> bool:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def request_bytes(
    method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


def new_attempt() -> str:
    return f"{random.getrandbits(64):016x}"


async def read_answer(reader: asyncio.StreamReader):
    """Returns status, headers and body of the next answer.

    Raises:
        OSError, IncompleteReadError: The channel ended first.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.split("\r\n")
    headers = {}
    for field in fields:
        name, colon, value = field.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(line.split()[1]), headers, body


def run_case(main, folder: pathlib.Path) -> int:
    """Runs a case and returns its exit status."""
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as scratch:
            status = asyncio.run(main(record, pathlib.Path(scratch)))
    except Exception as error:
        record.note(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return UNUSABLE
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.note(verdict.get(status, "the case couldn't run"))
    print(verdict.get(status, "the case couldn't run"))
    return status
