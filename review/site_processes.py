"""Starts a small site: gateways by the deploy file's command, and clients."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

import http1
import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("lalitpur-hall", "bhaktapur-hall", "kirtipur-hall")
# As `fleetbench wire` shows them for sites/hbrt-gw.toml.
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "retry_budget_ratio": "0.2",
    "budget_slack": "56",
    "budget_window": "10s",
}


def route(name: str, prefix: str, kind: str, service: str, **spec) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "entry_type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": "jepu9.example",
            "prefix": prefix,
            "kind": kind,
            "timeout": "2000ms",
            "objective": "600ms",
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }
        | spec,
    }


def service(name: str, **spec) -> dict:
    """Returns a service as the operator writes it."""
    return {
        "entry_type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
        }
        | spec,
    }


def config(*resources: dict) -> dict:
    """Returns a config as the operator writes it."""
    limits = {
        "entry_type": "limits",
        "metadata": {},
        "spec": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    return {
        "version": "00000007",
        "base_version": "00000000",
        "resources": [*resources, limits],
    }


def _free_ports(host: str, count: int) -> list[int]:
    """Returns consecutive free ports."""
    while True:
        first = random.randrange(20000, 30000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        sock.bind((host, port))
            except OSError:
                continue
        return list(range(first, first + count))


def _render(template: str, fields: dict[str, str]) -> str:
    """Fills in plain placeholders; those without a value become empty."""
    return re.sub(
        r"{{([\w.]+)}}", lambda match: fields.get(match[1], ""), template
    )


class Gateway:
    """One gateway process.

    Attributes:
        host: Its address.
        front: Where it serves clients.
        log: File with its output.
    """

    def __init__(self, number: int, store: store_lib.Store, folder: str):
        self.host = f"127.{os.getpid() % 200 + 20}.{number + 1}.18"
        ports = _free_ports(self.host, 7)
        self.front = (self.host, ports[0])
        self.ready = (self.host, ports[1])
        self.log = pathlib.Path(folder) / f"gateway-{number}.log"
        self.settings = pathlib.Path(folder) / f"gateway-{number}.ini"
        fields = {
            "node_name": f"front-{number}",
            "zone": ZONES[number % len(ZONES)],
            "ip": self.host,
            "listen.front": f"{self.host}:{ports[0]}",
            "listen.ready": f"{self.host}:{ports[1]}",
            "internal_ports.0": str(ports[2]),
            "internal_ports.1": str(ports[6]),
            "limits.link_mbps": "1000.0",
            "platform.address": store.address,
            "platform.row_bytes": "65536",
        }
        fields |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        template = (ROOT / "deploy" / "node.ini").read_text()
        self.settings.write_text(_render(template, fields))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process by the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= {
            "SWIFTSTILE_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/run.py",
                "gateway",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Whether its readiness page answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(
                    b"GET /swiftstile/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                answer = await http1.read_response(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


@dataclasses.dataclass
class Answer:
    """What a client got for one attempt.

    Attributes:
        attempt: Its id.
        sent_at: When it was sent.
        status: The status; 0 if the channel ended without a whole answer.
        signature: The target's signature, if there is one.
        body: The body.
        took_s: Time until the answer, or until the channel ended.
    """

    attempt: str
    sent_at: float
    status: int = 0
    signature: str = ""
    body: bytes = b""
    took_s: float = 0.0


class Client:
    """Sends requests on kept channels, each used by one request at a time."""

    def __init__(self, gateways: list[Gateway], seed: int):
        self._gateways = gateways
        self._idle_by_front: dict[tuple[str, int], list[tuple]] = {}
        self._random = random.Random(seed)
        self.answers: list[Answer] = []

    async def call(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        key: int | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Sends one attempt and records its answer."""
        attempt = f"{self._random.getrandbits(64):016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: jepu9.example",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if key is not None:
            lines.append(f"X-Shard-Key: {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        answer = Answer(attempt, time.monotonic())
        self.answers.append(answer)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._exchange(data, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer.status = 0
        answer.took_s = time.monotonic() - answer.sent_at
        return answer

    async def _exchange(self, data: bytes, answer: Answer) -> None:
        front = self._random.choice(self._gateways).front
        idle = self._idle_by_front.setdefault(front, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                break
            writer.close()
        else:
            reader, writer = await asyncio.open_connection(*front)
        is_kept = False
        try:
            writer.write(data)
            message = await http1.read_response(reader)
            answer.status = message.status
            answer.signature = message.headers.get("x-server-signature", "")
            answer.body = message.body
            is_kept = message.headers.get("connection", "") != "close"
        finally:
            if is_kept:
                idle.append((reader, writer))
            else:
                writer.transport.abort()


async def send_load(per_s: float, for_s: float, call) -> None:
    """Starts calls at a constant rate and waits for their end."""
    calls, end = [], time.monotonic() + for_s
    due = time.monotonic()
    while due < end:
        calls.append(asyncio.create_task(call()))
        due += 1 / per_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*calls)


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line with the time since the start, in seconds."""
        now = time.monotonic() - self._began
        self._file.write(f"{now:8.3f} {text}\n")

    def add_answers(self, answers: list[Answer]) -> None:
        """Adds what was sent and answered."""
        for answer in answers:
            sent = answer.sent_at - self._began
            self._file.write(
                f"{sent:8.3f} sent {answer.attempt}; after "
                f"{answer.took_s:.3f} s answered {answer.status}, "
                f"{len(answer.body)} bytes, signature "
                f"{answer.signature or 'none'}\n"
            )

    def add_runs(self, runs) -> None:
        """Adds what ran."""
        for run in runs:
            self._file.write(
                f"         ran {run.attempt} at {run.target}; target gave "
                f"{run.status}, {len(run.body)} bytes\n"
            )

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


async def wait_until_ready(gateways: list[Gateway], call) -> bool:
    """Waits until all gateways are ready and calls succeed.

    Args:
        gateways: The gateways.
        call: Sends one request; returns its answer.
    """
    end = time.monotonic() + 30
    successes = 0
    while time.monotonic() < end:
        if not all([await gateway.is_ready() for gateway in gateways]):
            await asyncio.sleep(0.2)
            continue
        answer = await call()
        successes = successes + 1 if answer.status == 200 else 0
        if successes >= 20:
            return True
        await asyncio.sleep(0.02)
    return False


def main(folder: pathlib.Path, case) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: The folder of the case.
        case: Coroutine function; takes the record and a temporary folder, and
            returns the exit status.
    """
    record = Record(folder)

    async def run() -> None:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            with tempfile.TemporaryDirectory() as temporary:
                async with asyncio.timeout(110):
                    status = await case(record, temporary)
        except (Exception, asyncio.CancelledError) as error:
            record.add(f"the case couldn't run: {error!r}")
            status = NOT_RUN
        record.add(f"exit status {status}")
        record.close()
        text = (folder / "record.txt").read_text()
        print(*text.splitlines()[-2:], sep="\n", flush=True)
        # Open channels of the stand-ins need no orderly end.
        os._exit(status)

    asyncio.run(run())
