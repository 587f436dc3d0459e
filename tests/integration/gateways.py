"""Runs sites of gateway processes with stand-ins and callers."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import sys
import uuid

import aiohttp

from benchmarks import processes
from tests.integration import narrow_link
from tests.integration import stall_watch
from tests.integration import users_standins

_ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3")
# Length of the log excerpt shown for a gateway that exited unexpectedly.
_LOG_TAIL_CHARS = 2000
_LIMITS = {"memory_mb": 300, "max_fds": 4100}


def render(template: str, fields: dict) -> str:
    """Fills in a settings template; supports only `{{a.b.0}}` fields."""

    def value(match: re.Match) -> str:
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return str(found)

    return re.sub(r"{{([\w.]+)}}", value, template)


def _free_ports(host: str) -> list[int]:
    """Returns four free ports; the one after the third is free as well."""
    while True:
        ports = processes.free_ports(4, host)
        if ports[2] + 1 not in ports:
            return ports


@dataclasses.dataclass
class Gateway:
    """One gateway process."""

    number: int
    host: str
    store: str
    folder: pathlib.Path
    limits: dict[str, float] = dataclasses.field(
        default_factory=lambda: dict(_LIMITS)
    )
    process: asyncio.subprocess.Process | None = None
    front: str = ""
    ready: str = ""
    metrics: str = ""
    forward: str = ""

    def __post_init__(self):
        self.zone = ZONES[self.number % len(ZONES)]
        self.log = self.folder / f"gateway-{self.number}.log"
        ports = _free_ports(self.host)
        self.front = f"{self.host}:{ports[0]}"
        self.ready = f"{self.host}:{ports[1]}"
        self.metrics = f"{self.host}:{ports[3]}"
        self.forward = f"{self.host}:{ports[2] + 1}"
        fields = {
            "node_name": f"vm-{self.number}",
            "zone": self.zone,
            "ip": self.host,
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": ports[2:],
            "seeds": "",
            "limits": {"link_mbps": 1000.0} | self.limits,
            "platform": {"address": self.store, "row_bytes": 65536},
            "bounds": {
                "drain": "2000ms",
                "grace": "6s",
                "retry_budget_ratio": 0.2,
                "budget_slack": 50,
                "budget_window": "10s",
            },
        }
        template = (_ROOT / "deploy" / "node.ini").read_text()
        self.settings = self.folder / f"gateway-{self.number}.ini"
        self.settings.write_text(render(template, fields))

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROOT / "platform" / "run.py"),
                "gateway",
                env=os.environ | {"SWIFTSTILE_NODE_FILE": str(self.settings)},
                stdout=log,
                stderr=log,
                cwd=_ROOT,
            )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals) -> int:
        self.send_signal(number)
        async with asyncio.timeout(20):
            return await self.process.wait()


@dataclasses.dataclass
class Outcome:
    attempt: str
    method: str
    status: int
    body: bytes
    echoed: str
    # Seconds until the answer, or until the caller gave up.
    took_s: float = 0.0
    retry_after_s: float = 0.0
    # Whether the request crashes servers.
    is_crashing: bool = False


class Callers:
    """Sends requests and records their outcomes.

    Attributes:
        write_paths: Paths of the requests that run once.
    """

    def __init__(self, gateways: list[Gateway], seed: int = 1):
        self._gateways = gateways
        self._random = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.write_paths = ["/write/x"]
        # VM and time of each attempt.
        self.sends: dict[str, tuple[int, float]] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Callers":
        self._session = aiohttp.ClientSession(auto_decompress=False)
        return self

    async def __aexit__(self, *_) -> None:
        await self._session.close()

    async def call(
        self,
        path: str = "",
        key: int | None = None,
        gateway=None,
        body=b"",
        deadline_ms: int = 3000,
        method: str = "",
    ) -> Outcome:
        is_read = self._random.random() < 0.6
        if not path:
            path = "/read/x" if is_read else self._write_path()
        method = method or ("GET" if path.startswith("/read") else "POST")
        if key is None:
            key = self._random.randrange(users_standins.KEYS)
        gateway = gateway or self._random.choice(self._gateways)
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Shard-Key": str(key),
        }
        outcome = Outcome(attempt, method, 0, b"", attempt)
        outcome.is_crashing = "/crash-" in path
        self._note_send(attempt, gateway)
        try:
            async with self._session.request(
                method,
                f"http://{gateway.front}{path}",
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=4),
            ) as answer:
                outcome.body = await answer.read()
                outcome.status = answer.status
                outcome.retry_after_s = float(
                    answer.headers.get("Retry-After", 0.0)
                )
                outcome.echoed = answer.headers.get("X-Attempt-Id", attempt)
        except (aiohttp.ClientError, TimeoutError, OSError):
            outcome.status = 0
        sent_at = self.sends[attempt][1]
        outcome.took_s = asyncio.get_running_loop().time() - sent_at
        self.outcomes.append(outcome)
        return outcome

    def _write_path(self) -> str:
        if len(self.write_paths) == 1:
            return self.write_paths[0]
        return self._random.choice(self.write_paths)

    def _note_send(self, attempt: str, gateway: Gateway) -> None:
        now = asyncio.get_running_loop().time()
        self.sends[attempt] = (gateway.number, now)

    async def pipeline(self, gateway: Gateway, count: int) -> None:
        """Pipelines reads on one connection; responses arrive in order."""
        attempts = [uuid.uuid4().hex[:16] for _ in range(count)]
        heads = [
            f"GET /read/x HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n"
            f"X-Shard-Key: {self._random.randrange(users_standins.KEYS)}"
            "\r\n\r\n"
            for attempt in attempts
        ]
        host, _, port = gateway.front.rpartition(":")
        for attempt in attempts:
            self._note_send(attempt, gateway)
        try:
            async with asyncio.timeout(8):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write("".join(heads).encode())
                for attempt in attempts:
                    outcome = await _read_answer(reader, attempt)
                    self.outcomes.append(outcome)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The requests without a response may have been lost with the VM.
            return

    async def load(self, per_s: float, until: asyncio.Event) -> None:
        """Sends requests at a constant rate until the event is set."""
        calls = set()
        while not until.is_set():
            call = asyncio.create_task(self.call())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(1 / per_s)
        if calls:
            await asyncio.wait(calls)

    async def load_while(
        self, per_s: float, during: collections.abc.Awaitable[None]
    ) -> None:
        """Sends requests at a constant rate while an awaitable runs."""
        has_ended = asyncio.Event()
        load = asyncio.create_task(self.load(per_s, has_ended))
        try:
            await during
        finally:
            has_ended.set()
            await load

    def counts(self) -> collections.Counter:
        return collections.Counter(entry.status for entry in self.outcomes)


async def _read_answer(reader, attempt: str) -> Outcome:
    """Reads the next response of a connection, expected for an attempt."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status, *lines = head.rstrip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    fields = {name.lower(): value.strip() for name, value in pairs}
    if fields.get("transfer-encoding", "") == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields["content-length"]))
    echoed = fields.get("x-attempt-id", attempt)
    return Outcome(attempt, "GET", int(status.split()[1]), body, echoed)


async def _read_chunks(reader) -> bytes:
    """Reads a whole body in chunks."""
    pieces = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.rstrip(), 16)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(pieces)


class Site:
    """A store, servers, gateways and callers.

    Attributes:
        stalls: When this process, which answers for the stand-ins, didn't.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int,
        seed: int = 1,
        has_narrow_links: bool = False,
        settings: str = "",
        limits: dict[str, float] | None = None,
    ):
        self._has_narrow_links = has_narrow_links
        self._limits = _LIMITS | (limits or {})
        self._extra_settings = settings
        self._links = contextlib.AsyncExitStack()
        self.store = users_standins.Store()
        self.cluster = users_standins.Cluster(self.store)
        self._folder = folder
        self._count = gateways
        self.gateways: list[Gateway] = []
        self.callers: Callers | None = None
        self._seed = seed
        self.stalls = stall_watch.StallWatch()

    @contextlib.asynccontextmanager
    async def running(self, servers: int = 6, start_s: float = 30):
        await self._links.enter_async_context(self.stalls)
        try:
            self.store.put("op", "config", users_standins.config(1))
            for index in range(servers):
                zone = ZONES[index % len(ZONES)]
                await self.add_server("keyed", zone)
                await self.add_server("plain", zone)
            for number in range(self._count):
                await self._add(number)
            async with Callers(self.gateways, self._seed) as self.callers:
                await self.until(self.is_serving, start_s)
                self.callers.outcomes.clear()
                yield self
        finally:
            for gateway in self.gateways:
                if gateway.is_running:
                    gateway.send_signal(signal.SIGCONT)
                    await gateway.stop(signal.SIGKILL)
            await self._links.aclose()
            await self.cluster.close()
            await self.store.close()
            if self.stalls.stalls:
                print(self.stalls.summary())

    async def _add(self, number: int) -> None:
        run = f"{os.getpid() % 200 + 1}.{self._seed % 200 + 1}"
        host = f"127.{run}.{number + 1}"
        endpoint = await self.store.open_endpoint(number)
        if self._has_narrow_links:
            link = narrow_link.NarrowLink(endpoint)
            endpoint = (await self._links.enter_async_context(link)).address
        gateway = Gateway(number, host, endpoint, self._folder, self._limits)
        with gateway.settings.open("a") as settings:
            settings.write(self._extra_settings)
        await gateway.start()
        self.gateways.append(gateway)

    async def add_server(self, service: str, zone: str):
        """Starts a server; it owns no keys yet."""
        return await self.cluster.start(service, zone)

    async def is_serving(self) -> bool:
        """Returns whether all gateways serve a sample of the keys."""
        for gateway in self.gateways:
            assert gateway.is_running, gateway.log.read_text()[
                -_LOG_TAIL_CHARS:
            ]
            for key in range(0, users_standins.KEYS, 8192):
                outcome = await self.callers.call("/read/x", key, gateway)
                if outcome.status != 200:
                    await asyncio.sleep(0.1)
                    return False
        return True

    async def until(self, condition, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.02)

    async def run_scenario(self, scenario, start_s: float = 30) -> None:
        """Runs a scenario and checks that no guarantee was violated."""
        async with self.running(start_s=start_s):
            await scenario(self)
        violations = self.violated_guarantees()
        assert violations == [], violations[:5]

    def log_lines(self, event: str) -> list[dict]:
        """Returns the log lines of an event, of all gateways."""
        lines = []
        for gateway in self.gateways:
            for text in gateway.log.read_text().splitlines():
                if f'"event":"{event}"' in text:
                    lines.append(json.loads(text))
        return lines

    def violated_guarantees(self) -> list[str]:
        """Returns the violated guarantees that callers or servers observed."""
        ran = {run.attempt for run in self.cluster.runs}
        violations = list(self.cluster.violations)
        for outcome in self.callers.outcomes:
            if outcome.echoed != outcome.attempt:
                violations.append(f"{outcome.attempt} got {outcome.echoed}")
            is_own = outcome.body.startswith(outcome.attempt.encode())
            has_body = outcome.method != "HEAD"
            if outcome.status == 200 and has_body and not is_own:
                violations.append(f"{outcome.attempt} got {outcome.body!r}")
            is_refused = outcome.status in (408, 421, 429, 503)
            is_once = outcome.method == "POST"
            if is_once and is_refused and outcome.attempt in ran:
                violations.append(f"{outcome.attempt} was refused and ran")
        return violations
