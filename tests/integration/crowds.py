"""Crowds of clients that hold much of a process and finish little.

Each client has a connection of its own. What it does there is a `Behaviour`; a
`Crowd` starts many of them and records what they were answered.
"""

import abc
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import uuid

# Statuses that promise that a request has not run and never will.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
_CONNECT_TIMEOUT_S = 5.0
_SAMPLING_INTERVAL_S = 0.02
_MEGABYTE = 1 << 20
# Servers may refuse longer ones.
_LINE_BYTES = 4000


@dataclasses.dataclass
class Client:
    """One client of a crowd.

    Attributes:
        attempt: Id of its request.
        position: Number of requests that it sends in front of that.
        statuses: Statuses that it was answered, in order.
    """

    attempt: str
    position: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)

    @property
    def status(self) -> int | None:
        """Status of the answer to its request; None if there was none."""
        answers = self.statuses[self.position : self.position + 1]
        return answers[0] if answers else None


class Behaviour(abc.ABC):
    """What a client does on its connection.

    Attributes:
        reads: Whether the client reads what it is answered.
    """

    reads = True

    @abc.abstractmethod
    async def send(self, writer: asyncio.StreamWriter, client: Client) -> None:
        """Sends all that the client sends before it only stays open."""

    async def stay(self, writer: asyncio.StreamWriter) -> None:
        """Stays on the connection until the crowd leaves."""
        await asyncio.Event().wait()


def _head(
    client: Client, method: str, path: str, *fields: str, deadline_ms: int
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"X-Attempt-Id: {client.attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        "X-Shard-Key: 7",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclasses.dataclass
class Silence(Behaviour):
    """Sends nothing."""

    async def send(self, writer, client) -> None:
        """See base class."""


@dataclasses.dataclass
class ShortBody(Behaviour):
    """Sends a body without its last byte.

    Attributes:
        length: Length of the whole body.
        sent: Bytes that are sent at once; all but one by default.
        pause_s: Time between the single bytes that follow; 0 for none.
        before: Whole requests that are pipelined in front.
    """

    length: int = _MEGABYTE - 1000
    sent: int | None = None
    pause_s: float = 0.0
    method: str = "POST"
    path: str = "/write/x"
    is_chunked: bool = False
    deadline_ms: int = 3000
    before: int = 0

    async def send(self, writer, client) -> None:
        """See base class."""
        client.position = self.before
        for _ in range(self.before):
            attempt = Client(uuid.uuid4().hex[:16])
            writer.write(
                _head(attempt, "GET", "/read/x", deadline_ms=self.deadline_ms)
            )
        field = f"Content-Length: {self.length}"
        if self.is_chunked:
            field = "Transfer-Encoding: chunked"
        writer.write(
            _head(
                client,
                self.method,
                self.path,
                field,
                deadline_ms=self.deadline_ms,
            )
        )
        sent = self.length - 1 if self.sent is None else self.sent
        body = bytes(sent)
        if self.is_chunked:
            body = b"%x\r\n%b\r\n" % (sent, body)
        writer.write(body)
        await writer.drain()

    async def stay(self, writer) -> None:
        """See base class."""
        while self.pause_s:
            await asyncio.sleep(self.pause_s)
            writer.write(b"1\r\nx\r\n" if self.is_chunked else b"x")
            await writer.drain()
        await super().stay(writer)


@dataclasses.dataclass
class WholeBody(ShortBody):
    """Sends a whole body."""

    async def send(self, writer, client) -> None:
        """See base class."""
        self.sent = self.length
        await super().send(writer, client)


@dataclasses.dataclass
class UnfinishedHead(Behaviour):
    """Sends long header lines, and not the empty line that ends a head."""

    lines: int = 60
    line_bytes: int = 60_000

    async def send(self, writer, client) -> None:
        """See base class."""
        head = _head(client, "GET", "/read/x", deadline_ms=3000)
        writer.write(head.removesuffix(b"\r\n"))
        for number in range(self.lines):
            writer.write(b"x-%d: %b\r\n" % (number, b"v" * self.line_bytes))
            await writer.drain()


@dataclasses.dataclass
class PipelinedHeads(Behaviour):
    """Pipelines requests with long heads.

    Attributes:
        count: Number of requests.
        head_bytes: Length of the header lines that fill each head.
    """

    count: int = 32
    head_bytes: int = 14_000

    async def send(self, writer, client) -> None:
        """See base class."""
        lines, rest = divmod(self.head_bytes, _LINE_BYTES)
        lengths = [_LINE_BYTES] * lines + [rest] * (rest > 0)
        padding = [
            f"x-pad-{number:03d}: " + "v" * max(0, length - 13)
            for number, length in enumerate(lengths)
        ]
        for number in range(self.count):
            one = client if number == 0 else Client(uuid.uuid4().hex[:16])
            writer.write(
                _head(one, "GET", "/read/x", *padding, deadline_ms=3000)
            )
        await writer.drain()


@dataclasses.dataclass
class UnreadAnswers(Behaviour):
    """Asks for long answers and reads none of them."""

    reads = False
    count: int = 8

    async def send(self, writer, client) -> None:
        """See base class."""
        for number in range(self.count):
            one = client if number == 0 else Client(uuid.uuid4().hex[:16])
            writer.write(_head(one, "GET", "/read/long", deadline_ms=3000))
        await writer.drain()


@dataclasses.dataclass
class TinyChunks(Behaviour):
    """Sends a body in chunks of one byte, and not its end."""

    count: int = 50_000

    async def send(self, writer, client) -> None:
        """See base class."""
        field = "Transfer-Encoding: chunked"
        writer.write(_head(client, "POST", "/write/x", field, deadline_ms=3000))
        writer.write(b"1\r\nx\r\n" * self.count)
        await writer.drain()


@dataclasses.dataclass
class MalformedRequests(Behaviour):
    """Pipelines requests that can't be parsed."""

    count: int = 100

    async def send(self, writer, client) -> None:
        """See base class."""
        writer.write(b"GET\x01/ HTTP/9.9\r\n\r\n" * self.count)
        await writer.drain()


class Crowd:
    """Clients that act alike, each on a connection of its own.

    Args:
        address: `host:port` to connect to.
        size: Number of clients.
        behaviour: What each does.

    Attributes:
        clients: The clients.
    """

    def __init__(self, address: str, size: int, behaviour: Behaviour):
        self._address = address
        self._behaviour = behaviour
        self.clients = [Client(uuid.uuid4().hex[:16]) for _ in range(size)]
        self._tasks: list[asyncio.Task] = []

    @contextlib.asynccontextmanager
    async def present(self, sending_s: float = 8.0):
        """Keeps the crowd connected.

        Args:
            sending_s: Longest wait for all to have sent what they send: a
                process that doesn't read keeps them from it.
        """
        sent = [asyncio.Event() for _ in self.clients]
        self._tasks = [
            asyncio.create_task(self._run(client, event))
            for client, event in zip(self.clients, sent, strict=True)
        ]
        waits = [asyncio.create_task(event.wait()) for event in sent]
        try:
            await asyncio.wait(waits, timeout=sending_s)
            yield self
        finally:
            for task in [*waits, *self._tasks]:
                task.cancel()
            await asyncio.wait([*waits, *self._tasks])

    async def _run(self, client: Client, sent: asyncio.Event) -> None:
        host, _, port = self._address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            reading = None
            if self._behaviour.reads:
                reading = asyncio.create_task(_read_statuses(reader, client))
            else:
                writer.transport.pause_reading()
            try:
                await self._behaviour.send(writer, client)
                sent.set()
                await self._behaviour.stay(writer)
            finally:
                if reading is not None:
                    reading.cancel()
        except (OSError, TimeoutError):
            # Refused, or closed by the process.
            return
        finally:
            sent.set()
            if writer is not None:
                writer.transport.abort()

    def broken_promises(self, runs) -> list[str]:
        """Returns the requests that were refused as not run, and ran.

        Args:
            runs: All requests that servers began to run.
        """
        ran = {run.attempt for run in runs}
        return [
            f"{client.attempt} was refused with {client.status} and ran"
            for client in self.clients
            if client.attempt in ran and client.status in PROMISING_STATUSES
        ]


async def _read_statuses(reader, client: Client) -> None:
    """Reads answers until the connection ends, and keeps their statuses."""
    behind = b""
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            parts = (behind + data).split(b"HTTP/1.1 ")
            for part in parts[1:]:
                if part[:3].isdigit():
                    client.statuses.append(int(part[:3]))
            behind = data[-8:] if b"HTTP/1.1 " not in data[-12:] else b""


@dataclasses.dataclass
class ProcessWatch:
    """The memory and the sockets of a process.

    Attributes:
        pid: Its id.
        most_sockets: Most sockets that it had open at a time.
    """

    pid: int
    most_sockets: int = 0

    @property
    def peak_mb(self) -> float:
        """Largest resident memory so far, in MiB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    @contextlib.asynccontextmanager
    async def running(self):
        """Samples its sockets."""
        task = asyncio.create_task(self._sample())
        try:
            yield self
        finally:
            task.cancel()

    async def _sample(self) -> None:
        while True:
            self.most_sockets = max(self.most_sockets, self._sockets())
            await asyncio.sleep(_SAMPLING_INTERVAL_S)

    def _sockets(self) -> int:
        folder = f"/proc/{self.pid}/fd"
        count = 0
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                count += os.readlink(f"{folder}/{name}").startswith("socket:")
        return count


@dataclasses.dataclass
class Wave:
    """A crowd that comes and leaves.

    Attributes:
        behaviour: What its clients do.
        size: Their number.
        starts_s: When they come.
        stays_s: How long they stay once they have sent what they send.
    """

    behaviour: Behaviour
    size: int
    starts_s: float
    stays_s: float


def random_waves(seed: int) -> list[Wave]:
    """Returns crowds of random kinds, sizes and paces that overlap."""
    draw = random.Random(seed)
    return [
        Wave(
            random_behaviour(draw),
            draw.choice((60, 150, 300)),
            draw.uniform(0.0, 3.0),
            draw.uniform(0.0, 4.0),
        )
        for _ in range(draw.randint(4, 6))
    ]


def random_behaviour(draw: random.Random) -> Behaviour:
    """Returns what the clients of a crowd do, drawn at random."""
    length = draw.choice((100, 60_000, 900_000, _MEGABYTE - 1000, 4_000_000))
    deadline_ms = draw.choice((500, 3000, 60_000))
    kinds = [
        lambda: ShortBody(
            length,
            sent=draw.choice((None, 0, length // 2)),
            pause_s=draw.choice((0.0, 0.0, 0.05, 0.5)),
            method=draw.choice(("POST", "GET", "PUT")),
            path=draw.choice(("/write/x", "/read/x", "/nowhere/x")),
            is_chunked=draw.random() < 0.3,
            deadline_ms=deadline_ms,
            before=draw.choice((0, 0, 5, 20)),
        ),
        lambda: WholeBody(length, deadline_ms=deadline_ms),
        lambda: UnfinishedHead(
            draw.choice((1, 10, 60)), draw.choice((100, 8000, 60_000))
        ),
        lambda: PipelinedHeads(
            draw.choice((2, 32, 100)), draw.choice((100, 4000, 14_000))
        ),
        lambda: UnreadAnswers(draw.choice((1, 8))),
        lambda: TinyChunks(draw.choice((1000, 50_000))),
        MalformedRequests,
        Silence,
    ]
    return draw.choice(kinds)()
