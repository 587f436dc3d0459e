"""Stand-ins and processes for the cases 6 and 7; standard library only.

The store and the targets follow PROTOCOL.md. They run in the process of the
script, the gateways are separate processes. All addresses are loopback ones.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
KEYS = 65536


def now() -> float:
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago, for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


def consecutive_ports() -> int:
    """Returns the first of two consecutive free ports."""
    while True:
        first = free_ports(1)[0]
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as second:
                    second.bind((HOST, first + 1))
        except (OSError, OverflowError):
            continue
        return first


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Returns the body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    headers = headers | {"Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                answer = asyncio.ensure_future(
                    self.answer(method, target, headers, body)
                )
                # A request is dropped when its connection closes.
                ended = asyncio.ensure_future(_next_byte(reader))
                await asyncio.wait(
                    [answer, ended], return_when=asyncio.FIRST_COMPLETED
                )
                if not answer.done():
                    answer.cancel()
                    break
                ended.cancel()
                await asyncio.wait([ended])
                writer.write(answer.result())
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body) -> bytes:
        raise NotImplementedError

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _next_byte(reader) -> None:
    """Waits for a byte, or the end of the connection."""
    try:
        await reader.read(1)
    except OSError:
        pass


class Store(HttpServer):
    """The platform's store, as PROTOCOL.md states it."""

    def __init__(self):
        super().__init__()
        self.version = 0
        # Value (None after a removal) and version by table and key.
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document) -> None:
        self._apply([(table, key, json.dumps(document).encode())])

    def remove(self, table: str, key: str) -> None:
        self._apply([(table, key, None)])

    def _apply(self, entries) -> None:
        self.version += 1
        for table, key, value in entries:
            self.rows[table, key] = value, self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body) -> bytes:
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        fields = {name: _unquote(value) for name, value in fields.items()}
        name = path.rpartition("/")[2]
        if name == "rows-tx":
            return self._transact(json.loads(body))
        if name == "rows-get":
            rows = [
                self._shown(key, *row)
                for (table, key), row in sorted(self.rows.items())
                if table == fields["table"]
                and key >= fields.get("from", "")
                and row[0] is not None
            ]
            return self._rows(rows)
        if name == "rows-feed":
            return await self._feed(fields)
        return message("HTTP/1.1 404 Not Found", {})

    def _transact(self, call) -> bytes:
        for wanted in call["precondition"]:
            value, version = self.rows.get(
                (wanted["table"], wanted["key"]), (None, 0)
            )
            if (version if value is not None else 0) != wanted["ver"]:
                return message(
                    "HTTP/1.1 412 Precondition Failed", {}, b'{"rows":[]}'
                )
        self._apply(
            [
                (row["table"], row["key"], base64.b64decode(row["value"]))
                for row in call["set_keys"]
            ]
            + [(row["table"], row["key"], None) for row in call["remove"]]
        )
        return self._rows([])

    async def _feed(self, fields) -> bytes:
        end = now() + int(fields["wait_ms"]) / 1000
        while True:
            rows = [
                self._shown(key, *row)
                for (table, key), row in sorted(
                    self.rows.items(), key=lambda entry: entry[1][1]
                )
                if table == fields["table"] and row[1] > int(fields["after"])
            ]
            left_s = end - now()
            if rows or left_s <= 0:
                return self._rows(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def _shown(key: str, value: bytes | None, version: int) -> dict:
        shown = {"part": "", "key": key, "ver": version}
        if value is None:
            return shown | {"tombstone": True}
        return shown | {"value": base64.b64encode(value).decode()}

    def _rows(self, rows) -> bytes:
        document = {
            "rows": rows,
            "ver": self.version,
            "now": f"{int(now() * 1000)}ms",
            "has_more": False,
        }
        return message(
            "HTTP/1.1 200 OK",
            {"Content-Type": "application/json"},
            json.dumps(document).encode(),
        )


def _unquote(text: str) -> str:
    return re.sub(
        "%([0-9A-Fa-f]{2})",
        lambda match: chr(int(match[1], 16)),
        text.replace("+", " "),
    )


class Target(HttpServer):
    """A target with slots and a short queue.

    Args:
        store: Where it registers.
        service: Its service.
        zone: Its zone.
        slots: Requests that it works on at the same time.
        work_s: How long each of them takes.
        is_keyed: Whether it runs only requests whose keys it holds.
        record: Called with an event, the attempt and fields.
    """

    def __init__(self, store, service, zone, slots, work_s, is_keyed, record):
        super().__init__()
        self._is_keyed = is_keyed
        # Ends of the holds and highest epoch numbers, by key.
        self.held_until = [0.0] * KEYS
        self._fences = [0] * KEYS
        self._working: list[int] = []
        self._work_ended = asyncio.Event()
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service, self.zone, self.slots = service, zone, slots
        self._store, self._work_s, self._record = store, work_s, record
        self._queue_limit = 12
        self._slot = asyncio.Semaphore(slots)
        self.running = self.waiting = 0

    async def start(self) -> None:
        await self.listen()
        self._store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining": "0ms",
                "sequence": 1,
            },
        )

    def _grant(self, call) -> str:
        keys = slice(call["from"], call["to"] + 1)
        count = call["to"] + 1 - call["from"]
        if max(self._fences[keys]) > call["fence"]:
            return "HTTP/1.1 409 Conflict"
        hold_s = float(call["hold_time"].removesuffix("ms")) / 1000
        self._fences[keys] = [call["fence"]] * count
        self.held_until[keys] = [now() + hold_s] * count
        return "HTTP/1.1 200 OK"

    async def _release(self, call) -> str:
        keys = range(call["from"], call["to"] + 1)
        self.held_until[keys.start : keys.stop] = [0.0] * len(keys)
        while any(key in keys for key in self._working):
            await self._work_ended.wait()
        return uuid.uuid4().hex[:16]

    def _load(self) -> dict[str, str]:
        load = f"{self.running},{self.waiting},{self.slots}"
        return {"X-Instance-Load": load}

    async def answer(self, method, target, headers, body) -> bytes:
        if target == "/health":
            return message(
                "HTTP/1.1 200 OK", {"X-Instance-Id": self.id} | self._load()
            )
        attempt = headers.get("x-attempt-id", "")
        echoed = {"X-Attempt-Id": attempt}
        is_meant = headers.get("x-expect-instance", self.id) == self.id
        if is_meant and target == "/swiftstile/grant":
            return message(self._grant(json.loads(body)), echoed)
        if is_meant and target == "/swiftstile/release":
            token = await self._release(json.loads(body))
            return message("HTTP/1.1 200 OK", echoed | {"X-Handover": token})
        key = int(headers.get("x-shard-key", 0))
        is_held = not self._is_keyed or self.held_until[key] > now()
        if not is_meant or not is_held:
            return message(
                "HTTP/1.1 421 Misdirected Request",
                echoed | {"X-Not-Executed": "1", "X-Instance-Id": self.id},
            )
        if self.waiting >= self._queue_limit:
            return message(
                "HTTP/1.1 503 Service Unavailable",
                echoed | self._load() | {"X-Not-Executed": "1"},
            )
        self._record("reached", attempt, target=self.id)
        self.waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self._record("run", attempt, target=self.id)
            self._working.append(key)
            await asyncio.sleep(self._work_s)
        except asyncio.CancelledError:
            self._record("dropped", attempt, target=self.id)
            raise
        finally:
            self.running -= 1
            self._working.remove(key)
            self._slot.release()
            self._work_ended.set()
            self._work_ended = asyncio.Event()
        self._record("done", attempt, target=self.id)
        result = f"{attempt}:{len(body)}".encode()
        signature = {"X-Server-Signature": f"s.{len(result):x}"}
        return message(
            "HTTP/1.1 200 OK", echoed | self._load() | signature, result
        )


def entry(entry_type: str, name: str, **spec) -> dict:
    return {"entry_type": entry_type, "metadata": {"name": name}, "spec": spec}


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, number: int, zone: str, store: str, folder):
        front, ready = free_ports(2)
        internal = consecutive_ports()
        self.name = f"front-{zone}-{number}"
        self.front, self.ready = front, ready
        self.log_path = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.ini"
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": HOST,
            "listen.front": f"{HOST}:{front}",
            "listen.ready": f"{HOST}:{ready}",
            "internal_ports.0": internal,
            "internal_ports.1": free_ports(1)[0],
            "seeds": "",
            "limits.link_mbps": 1000.0,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "platform.address": store,
            "platform.row_bytes": 65536,
            "bounds.drain": "2000ms",
            "bounds.grace": "6s",
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": 56,
            "bounds.budget_window": "10s",
        }
        template = (ROOT / "deploy" / "node.ini").read_text()
        self._settings.write_text(
            re.sub(r"{{([\w.]+)}}", lambda m: str(fields[m[1]]), template)
        )
        self.process = None

    async def start(self) -> None:
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["SWIFTSTILE_NODE_FILE"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/run.py",
                "gateway",
                env=env,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /swiftstile/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            return " 200 " in f"{first} "
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, limit_s: float = 15.0) -> bool:
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    async def end(self) -> None:
        """Ends the process; after its grace, as the platform does."""
        if self.process is None:
            return
        if self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
        await self.process.wait()


class _Incoming(asyncio.Protocol):
    """What arrives on a channel."""

    def __init__(self):
        self.data = bytearray()
        # When the oldest byte in `data` arrived.
        self.since = 0.0
        self.end = ""
        self.changed = asyncio.Event()

    def data_received(self, data):
        if not self.data:
            self.since = now()
        self.data += data
        self.changed.set()

    def eof_received(self):
        self.end = self.end or "closed"
        self.changed.set()

    def connection_lost(self, exc):
        self.end = self.end or ("closed" if exc is None else "reset")
        self.changed.set()


class Client:
    """A client with one channel at a time.

    Args:
        port: Port of a gateway on the loopback address.
    """

    def __init__(self, port: int):
        self._port = port
        self._transport = self._incoming = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, self._incoming = await loop.create_connection(
            _Incoming, HOST, self._port
        )

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._incoming.end

    @property
    def unread(self) -> bytes:
        """What arrived and wasn't read."""
        return bytes(self._incoming.data) if self._incoming else b""

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    def unread_by_gateway(self) -> int | None:
        """Returns how many bytes the gateway's process hasn't read yet.

        They wait in its socket's receive queue; None if that isn't known.
        """
        own_port = self._transport.get_extra_info("sockname")[1]
        ends = (f":{self._port:04X}", f":{own_port:04X}")
        try:
            lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        except OSError:
            return None
        for line in lines:
            fields = line.split()
            if fields[1].endswith(ends[0]) and fields[2].endswith(ends[1]):
                return int(fields[4].partition(":")[2], 16)
        return None

    async def receive(self) -> tuple[str, dict[str, str], float]:
        """Returns the status and the headers of an answer, and its arrival.

        The status is `closed` or `reset` if the channel ended so before a
        whole answer. The arrival is the time of the first byte.
        """
        incoming = self._incoming
        while True:
            head, found, rest = bytes(incoming.data).partition(b"\r\n\r\n")
            if found:
                first, *lines = head.decode("latin-1").split("\r\n")
                headers = {
                    line.partition(":")[0]
                    .lower(): line.partition(":")[2]
                    .strip()
                    for line in lines
                }
                length = int(headers.get("content-length", 0))
                if len(rest) >= length:
                    del incoming.data[: len(head) + 4 + length]
                    since, incoming.since = incoming.since, now()
                    return first.split(" ")[1], headers, since
            if incoming.end:
                return incoming.end, {}, now()
            incoming.changed.clear()
            await incoming.changed.wait()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None


def head_of(
    method: str, path: str, attempt: str, deadline_ms: int, key: int, length
) -> bytes:
    """Returns the head of a request; `length` None means no body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: jepu9.example",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Shard-Key: {key}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._started = now()
        # Names of the events of each attempt.
        self.events: dict[str, list[str]] = {}

    def add(self, event: str, attempt: str = "", **fields) -> None:
        at = now() - self._started
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(
            f"{at:8.3f} {event:11} {attempt:16} {shown}".rstrip()
        )
        self.events.setdefault(attempt, []).append(event)

    def write(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


HELD, BROKEN, UNABLE = 0, 1, 2


class Unable(Exception):
    """The case couldn't run."""


class Site:
    """A store, targets and gateways, as an asynchronous context.

    Args:
        record: Gets what the targets run.
        config: The operator's configuration.
        target_fields: For each target: service, zone, slots and work time.
        zones: The zone of each gateway.
    """

    def __init__(self, record, config, target_fields, zones):
        self.record = record
        self._config, self._zones = config, zones
        self._folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.targets = [
            Target(self.store, *fields, record.add) for fields in target_fields
        ]
        self.gateways: list[Gateway] = []

    async def __aenter__(self) -> "Site":
        await self.store.listen()
        self.store.put("op", "config", self._config)
        for target in self.targets:
            await target.start()
        folder = pathlib.Path(self._folder.name)
        try:
            for number, zone in enumerate(self._zones):
                gateway = Gateway(number, zone, self.store.address, folder)
                self.gateways.append(gateway)
                await gateway.start()
            for gateway in self.gateways:
                if not await gateway.wait_until_ready():
                    raise Unable(f"{gateway.name} isn't ready")
            # The reports of the gateways reach each other.
            await asyncio.sleep(3)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_) -> None:
        for gateway in self.gateways:
            await gateway.end()
        for server in (*self.targets, self.store):
            server.close()
        self._folder.cleanup()

    async def wait_for_owner(self, key: int) -> None:
        """Waits until a target holds a key.

        Raises:
            Unable: None does.
        """
        end = now() + 10
        while now() < end:
            if any(one.held_until[key] > now() for one in self.targets):
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.1)
        raise Unable("no target holds the key")


def run_case(folder: pathlib.Path, play) -> int:
    """Runs a case and writes its record; returns the exit status."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:
        record.add("unable", reason=repr(error))
        print(f"unable: {error!r}")
        result = UNABLE
    record.write()
    return result
