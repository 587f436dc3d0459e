"""Callers that keep channels open across planned stops, and a judge of loss.

Each caller keeps one raw HTTP/1.1 channel and uses it until the process behind
it ends the channel. Uploads send their head and their body in different writes.
The caller records what the rule LOST needs; `lost_requests` applies the rule,
with the journal of the stand-in cluster as evidence of what was passed on.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import random
import signal
import typing
import uuid

from tests.integration import gateways
from tests.integration import users_standins

# The end of a channel counts as a loss later than this after the last byte.
LOSS_SLACK_S = 0.2
GRACE_S = 6.0
# Requests that were sent later than this after SIGTERM have to be answered
# even if their upstream is still at work at the end of the grace.
_LAST_EXCUSED_S = 3.0
_IDLE_TIMEOUT_S = 15.0
# Callers reuse channels that have been idle for up to this long.
_REUSED_S = 0.8 * _IDLE_TIMEOUT_S
_ROUTE_TIMEOUT_S = 8.0
_MEAN_BODY_BYTES, _MAX_BODY_BYTES = 60_000, 400_000
_PIECE_BYTES = 32_768
_TRICKLE_INTERVAL_S = 0.05
# Callers may finish their requests for so long at the end of a play.
_FINISH_S = 1.0
_WORK_S = (0.03, 0.1, 0.3, 1.0)
_PROMISES = (408, 421, 429, 503)


class Kind(enum.Enum):
    """What a request is."""

    READ = "read"
    WRITE = "write"
    UPLOAD = "upload"
    CHUNKED_UPLOAD = "chunked-upload"
    PIPELINED_READ = "pipelined-read"


_READS = (Kind.READ, Kind.PIPELINED_READ)
_UPLOADS = (Kind.UPLOAD, Kind.CHUNKED_UPLOAD)


class End(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    # The caller gave up.
    ABANDONED = "abandoned"


@dataclasses.dataclass
class Request:
    """A request on a kept channel.

    Attributes:
        vm: Number of the VM that took it.
        first_byte_at: When its first byte was sent.
        last_byte_at: When the kernel took its last byte, if it did.
        channel_age_s: Age of the channel at the first byte.
        idle_s: How long the channel had been idle then.
        carried: What the channel had carried before.
        deadline_s: How long its caller waits.
        status: Status of its answer, or 0.
        is_own: Whether its answer is the gateway's own.
        ended_at: When the answer was complete, or the channel ended.
    """

    vm: int
    kind: Kind
    attempt: str
    first_byte_at: float
    channel_age_s: float
    idle_s: float
    carried: tuple[str, ...]
    deadline_s: float
    last_byte_at: float | None = None
    end: End = End.ABANDONED
    status: int = 0
    is_own: bool = False
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True)
class Stop:
    """A SIGTERM of a VM."""

    vm: int
    at: float

    def covers(self, request: Request) -> bool:
        end = self.at + GRACE_S + 1.0
        return request.vm == self.vm and self.at <= request.ended_at <= end


class Stops:
    """Stops VMs as the platform does: SIGTERM, then SIGKILL after the grace.

    Attributes:
        all: All SIGTERMs that began a stop.
        overdue: Numbers of the VMs that had to be killed.
    """

    def __init__(self):
        self.all: list[Stop] = []
        self.overdue: list[int] = []

    async def stop(self, gateway: gateways.Gateway) -> None:
        self.all.append(Stop(gateway.number, _now()))
        gateway.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await gateway.process.wait()
        except TimeoutError:
            self.overdue.append(gateway.number)
            await gateway.stop(signal.SIGKILL)


class _Protocol(asyncio.StreamReaderProtocol):
    """Records when and how a channel ended."""

    def __init__(self, reader: asyncio.StreamReader):
        super().__init__(reader)
        self.end: End | None = None
        self.ended_at = float("inf")

    def note_end(self, end: End) -> None:
        if self.end is None:
            self.end, self.ended_at = end, _now()

    def eof_received(self) -> bool:
        self.note_end(End.CLOSED)
        super().eof_received()
        return False

    def connection_lost(self, exc) -> None:
        self.note_end(End.CLOSED if exc is None else End.RESET)
        super().connection_lost(exc)


class Channel:
    """A channel to a VM that carries requests until it ends.

    Args:
        gateway: The VM.
        record: Gets each request as its first byte is sent.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        record: collections.abc.Callable[[Request], None],
    ):
        self.gateway = gateway
        self._record = record
        self._carried: list[str] = []
        self._must_close = False
        # When an answer came that closes the channel.
        self._closing_at = float("inf")

    async def open(self) -> None:
        """Connects.

        Raises:
            OSError: The VM refuses the channel.
        """
        host, _, port = self.gateway.front.rpartition(":")
        self._reader = asyncio.StreamReader()
        pair = await asyncio.get_running_loop().create_connection(
            lambda: _Protocol(self._reader), host, int(port)
        )
        self._transport, self._protocol = pair
        self._opened_at = self._used_at = _now()

    @property
    def is_usable(self) -> bool:
        """Whether a caller may send a further request on it."""
        return (
            self._protocol.end is None
            and not self._must_close
            and _now() - self._used_at <= _REUSED_S
        )

    def close(self) -> None:
        self._protocol.note_end(End.ABANDONED)
        self._transport.abort()

    async def exchange(self, *plans: "Plan") -> list[Request]:
        """Sends requests behind each other and waits for their ends."""
        sent: list[Request] = []
        sending = asyncio.create_task(self._send_all(plans, sent))
        answered = 0
        try:
            async with asyncio.timeout(max(p.deadline_s for p in plans) + 1):
                while answered < len(plans) and not self._must_close:
                    head = await self._receive_head()
                    await self._receive_body(sent[answered], *head)
                    answered += 1
                await self._wait_for_end(sending)
        except (OSError, EOFError):
            # The protocol knows how the channel ended.
            self._must_close = True
        except TimeoutError:
            self.close()
            self._must_close = True
        sending.cancel()
        await asyncio.wait([sending])
        for request in sent[answered:]:
            # Nothing follows an answer that closes the channel.
            request.end = self._protocol.end or End.ABANDONED
            request.ended_at = min(self._closing_at, self._protocol.ended_at)
        self._used_at = _now()
        return sent

    async def _wait_for_end(self, sending: asyncio.Task) -> None:
        """Waits for the end of the body, or of the channel if it closes."""
        if not self._must_close:
            await sending
            return
        self._closing_at = _now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                while await self._reader.read(_PIECE_BYTES):
                    pass

    async def _send_all(self, plans, sent: list[Request]) -> None:
        for plan in plans:
            now = _now()
            request = Request(
                self.gateway.number,
                plan.kind,
                uuid.uuid4().hex[:16],
                now,
                now - self._opened_at,
                now - self._used_at,
                tuple(self._carried),
                min(plan.deadline_s, _ROUTE_TIMEOUT_S),
            )
            self._carried.append(plan.kind.value)
            self._record(request)
            sent.append(request)
            for pause_s, data in plan.writes(request.attempt):
                if pause_s:
                    await asyncio.sleep(pause_s)
                if self._protocol.end is not None or self._must_close:
                    return
                self._transport.write(data)
                while self._transport.get_write_buffer_size():
                    await asyncio.sleep(0.002)
            if self._protocol.end is None:
                request.last_byte_at = _now()

    async def _receive_head(self) -> tuple[int, dict[str, str]]:
        text = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.rstrip().split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        return int(first.split()[1]), headers

    async def _receive_body(self, request, status: int, headers) -> None:
        await self._reader.readexactly(int(headers["content-length"]))
        request.end, request.ended_at = End.ANSWERED, _now()
        request.status = status
        request.is_own = "x-server-signature" not in headers
        self._must_close |= headers.get("connection", "").lower() == "close"


@dataclasses.dataclass(frozen=True)
class Plan:
    """A request to send.

    Attributes:
        body_bytes: Length of its body.
        body_pause_s: Time between its head and its body.
        rate: Bytes of its body per second; unlimited if 0.
    """

    kind: Kind
    key: int
    body_bytes: int = 0
    body_pause_s: float = 0.0
    rate: float = 0.0
    deadline_s: float = _ROUTE_TIMEOUT_S

    def writes(
        self, attempt: str
    ) -> collections.abc.Iterator[tuple[float, bytes]]:
        """Yields what is written, each with the pause before it."""
        is_read = self.kind in _READS
        route = "read" if is_read else "write"
        if self.kind in _UPLOADS:
            route = "upload"
        lines = [
            f"{'GET' if is_read else 'POST'} /kept-{route}/x HTTP/1.1",
            "Host: a.example",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {self.deadline_s * 1000:.0f}",
            f"X-Shard-Key: {self.key}",
        ]
        is_chunked = self.kind is Kind.CHUNKED_UPLOAD
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif not is_read:
            lines.append(f"Content-Length: {self.body_bytes}")
        yield 0.0, ("\r\n".join(lines) + "\r\n\r\n").encode()
        left, pause_s = self.body_bytes, self.body_pause_s
        piece = int(self.rate * _TRICKLE_INTERVAL_S) or _PIECE_BYTES
        while left:
            size = min(piece, left)
            data = b"x" * size
            if is_chunked:
                data = b"%x\r\n%s\r\n" % (size, data)
            yield pause_s, data
            left -= size
            pause_s = _TRICKLE_INTERVAL_S if self.rate else 0.0
        if is_chunked:
            yield 0.001, b"0\r\n\r\n"


def random_plans(draw: random.Random, has_pipelining: bool) -> list[Plan]:
    """Returns a random request, and maybe reads behind it."""
    kind = draw.choice(
        (Kind.READ, Kind.WRITE, Kind.UPLOAD, Kind.CHUNKED_UPLOAD)
    )
    plan = Plan(kind, draw.randrange(users_standins.KEYS))
    if kind in _UPLOADS:
        size = int(draw.expovariate(1 / _MEAN_BODY_BYTES))
        plan = dataclasses.replace(
            plan,
            body_bytes=max(1, min(size, _MAX_BODY_BYTES)),
            body_pause_s=draw.choice((0.0, 0.002, 0.02, 0.2)),
            rate=draw.choice((0.0, 0.0, 4e4 * 10 ** draw.random())),
        )
    reads = draw.randint(1, 3) if has_pipelining and kind in _UPLOADS else 0
    read = Plan(Kind.PIPELINED_READ, draw.randrange(users_standins.KEYS))
    return [plan, *[read] * (reads if draw.random() < 0.3 else 0)]


class KeptChannels:
    """Callers of a site that keep channels, several for each VM.

    Attributes:
        requests: All requests, in the order of their first bytes.
    """

    def __init__(
        self, site: gateways.Site, seed: int, has_pipelining: bool = False
    ):
        self._site = site
        self._seed = seed
        self._has_pipelining = has_pipelining
        self.requests: list[Request] = []

    def vary_work(self) -> None:
        """Lets the servers take different times for a request."""
        draw = random.Random(f"work-{self._seed}")
        for server in self._site.cluster.by_id.values():
            server.work_s = draw.choice(_WORK_S)

    @contextlib.asynccontextmanager
    async def present(self, per_vm: int):
        """Runs the callers; they may finish their requests at the end."""
        has_ended = asyncio.Event()
        callers = [
            asyncio.create_task(self._call(number, has_ended))
            for number in range(per_vm * len(self._site.gateways))
        ]
        try:
            yield self
        finally:
            has_ended.set()
            _, unfinished = await asyncio.wait(callers, timeout=_FINISH_S)
            for caller in unfinished:
                caller.cancel()
            await asyncio.wait(callers)
            for caller in callers:
                if not caller.cancelled():
                    caller.result()

    async def _call(self, number: int, has_ended: asyncio.Event) -> None:
        draw = random.Random(f"kept-{self._seed}-{number}")
        home = number % len(self._site.gateways)
        channel = None
        while not has_ended.is_set():
            if channel is None or not channel.is_usable:
                if channel is not None:
                    channel.close()
                channel = await self._open(home, draw)
            if channel is not None:
                plans = random_plans(draw, self._has_pipelining)
                await channel.exchange(*plans)
            pause_s = 0.1 * 140 ** draw.random()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await has_ended.wait()
        if channel is not None:
            channel.close()

    async def _open(self, home: int, draw: random.Random) -> Channel | None:
        others = [g for g in self._site.gateways if g.number != home]
        draw.shuffle(others)
        for gateway in (self._site.gateways[home], *others):
            channel = Channel(gateway, self.requests.append)
            try:
                await channel.open()
            except OSError:
                continue
            return channel
        return None

    def counts(self) -> collections.Counter:
        return collections.Counter(
            r.status if r.end is End.ANSWERED else r.end.value
            for r in self.requests
        )

    def violations(self, stops: Stops) -> list[str]:
        """Returns lost requests, broken promises and stops that took long."""
        cluster = self._site.cluster
        return [
            *(
                f"lost: {s}"
                for s in lost_requests(self.requests, stops.all, cluster)
            ),
            *broken_promises(self.requests, cluster),
            *(f"vm-{number} outlived its grace" for number in stops.overdue),
        ]


class _Work(typing.NamedTuple):
    """What servers did with a request; infinite for what didn't happen."""

    is_passed_on: bool = False
    began_at: float = float("inf")
    answered_at: float = float("inf")
    broke_off_at: float = float("inf")


def _work_by_attempt(cluster: users_standins.Cluster) -> dict[str, _Work]:
    """Returns what the journal of the servers says about each request."""
    found: dict[str, _Work] = {}
    for server in cluster.by_id.values():
        for arrival in server.arrivals:
            known = found.get(arrival.attempt, _Work())
            answered_at = min(known.answered_at, arrival.answered_at)
            found[arrival.attempt] = _Work(True, answered_at=answered_at)
    for run in cluster.runs:
        server = cluster.by_id.get(run.server)
        work = found.get(run.attempt)
        # A server that was restarted has forgotten its arrivals.
        is_kept = server is not None and work is not None
        found[run.attempt] = _Work(
            True,
            run.started,
            work.answered_at if work else float("inf"),
            server.stopped_at if is_kept else run.started,
        )
    return found


def lost_requests(
    requests: list[Request], stops: list[Stop], cluster: users_standins.Cluster
) -> list[str]:
    """Returns the requests that the rule LOST counts, each with its story.

    Args:
        requests: The requests of kept channels.
        stops: All SIGTERMs.
        cluster: The servers, whose journal tells what was passed on.
    """
    work_by_attempt = _work_by_attempt(cluster)
    lost = []
    for request in requests:
        # Others repeat the first SIGTERM.
        stop = next((stop for stop in stops if stop.covers(request)), None)
        work = work_by_attempt.get(request.attempt, _Work())
        if _is_lost(request, stop, work):
            lost.append(_story(request, stop, work))
    return lost


def _is_lost(request: Request, stop: Stop | None, work: _Work) -> bool:
    ended_at = request.ended_at
    if request.last_byte_at is None or request.end is End.ABANDONED:
        return False
    if request.end is End.ANSWERED:
        # An answer of the gateway's own while an upstream is at work.
        is_own = stop is not None and request.is_own
        is_unanswered = is_own and work.began_at <= ended_at < work.answered_at
    else:
        # A channel that closes with unread input is reset.
        is_read = request.end is End.CLOSED or work.began_at < ended_at
        is_late = ended_at - request.last_byte_at > LOSS_SLACK_S
        is_unanswered = is_read and (work.is_passed_on or is_late)
    return (
        is_unanswered
        and ended_at - request.first_byte_at < request.deadline_s
        and ended_at < work.broke_off_at
        and not _is_at_work_in_last_sixth(request, stop, work)
    )


def _is_at_work_in_last_sixth(
    request: Request, stop: Stop | None, work: _Work
) -> bool:
    """Whether its server works at the end of the grace, and it came early."""
    if stop is None or request.last_byte_at - stop.at > _LAST_EXCUSED_S:
        return False
    worked_until = min(request.ended_at, work.answered_at)
    last_sixth_at = stop.at + GRACE_S * 5 / 6
    return work.began_at <= worked_until and worked_until >= last_sixth_at


def broken_promises(
    requests: list[Request], cluster: users_standins.Cluster
) -> list[str]:
    """Returns requests that run once and ran in spite of a promise."""
    ran = {run.attempt for run in cluster.runs}
    return [
        f"{request.kind.value} {request.attempt} got {request.status} and ran"
        for request in requests
        if request.status in _PROMISES
        and request.kind not in _READS
        and request.attempt in ran
    ]


def _story(request: Request, stop: Stop | None, work: _Work) -> str:
    start = request.first_byte_at if stop is None else stop.at
    times = (request.first_byte_at, request.last_byte_at, request.ended_at)
    times += (work.began_at, work.answered_at)
    first, last, end, began, answered = (
        "never" if at == float("inf") else f"{at - start:.3f}" for at in times
    )
    return (
        f"{request.kind.value} {request.attempt} at vm-{request.vm}"
        f" {'without stop' if stop is None else 'after SIGTERM'}:"
        f" sent {first}..{last} {request.end.value} {request.status} {end};"
        f" channel {request.channel_age_s:.1f} s, idle {request.idle_s:.2f} s,"
        f" carried {list(request.carried[-3:])};"
        f" passed on {work.is_passed_on}, upstream began {began}"
        f" answered {answered}"
    )


def config(version: int, *extra: dict, **limits) -> dict:
    """Returns a configuration whose routes leave time for a whole grace."""
    routes = [
        users_standins.route(
            name, f"/kept-{name}/", kind, service, _ROUTE_TIMEOUT_S
        )
        for name, kind, service in (
            ("read", "safe", "keyed"),
            ("write", "unsafe", "plain"),
            ("upload", "upload", "keyed"),
        )
    ]
    return users_standins.config(
        version,
        *routes,
        *extra,
        idle_timeout=f"{_IDLE_TIMEOUT_S:.0f}s",
        **limits,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
