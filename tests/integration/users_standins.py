"""Stand-ins for the users' platform: its store and its servers.

They run in the test process, so that tests can inject faults and inspect
state; the gateways under test are separate processes.
"""

import array
import asyncio
import base64
import contextlib
import dataclasses
import enum
import json
import random
import uuid

from aiohttp import web

from tests.integration import foreign_bytes
from tests.integration import link_cuts

KEYS = 65536
_QUEUE_LIMIT = 12
# Requests for paths with this end get an answer that is longer by so much.
LONG_ANSWER = "/long"
LONG_ANSWER_BYTES = 3 << 20


@dataclasses.dataclass
class Row:
    value: bytes | None
    version: int


class Store:
    """The platform's store, with an endpoint for each gateway.

    Attributes:
        is_away: Whether it answers nobody.
        era: Rises by one each time the store returns from an older copy.
        intended: What the operator and the servers wrote last, by table and
            key; None for what they removed.
        mode_by_endpoint: Fault of each endpoint: `busy`, `unresponsive`, `lost`
            (applied without an answer), `late` (applied later without an
            answer) or `stale` (no feed of the operator's changes).
    """

    def __init__(self):
        self.rows: dict[tuple[str, str], Row] = {}
        self.version = 0
        self.oldest = 0
        self.log: list[tuple[str, str, int]] = []
        self.mode_by_endpoint: dict[int, str] = {}
        self.is_away = False
        self.era = 1
        self.intended: dict[tuple[str, str], bytes | None] = {}
        # All transactions: time, version and values by table and key.
        self._history: list[tuple[float, int, dict]] = []
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    async def open_endpoint(self, number: int) -> str:
        async def handle(request: web.Request) -> web.Response:
            return await self._answer(request, number)

        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    def put(self, table: str, key: str, document) -> int:
        value = encode(document)
        self.intended[table, key] = value
        return self.write([(table, key, value)])

    def remove(self, table: str, key: str) -> int:
        self.intended[table, key] = None
        return self.write([(table, key, None)])

    def return_from_copy(self, age_s: float) -> None:
        """Continues from a copy of some seconds ago; all later writes are lost.

        Versions after the copy's are given out again.
        """
        end = _now() - age_s
        self._history = [entry for entry in self._history if entry[0] <= end]
        self.era += 1
        self.version, self.rows, self.log = 0, {}, []
        for _, version, values in self._history:
            self.version = version
            for name, value in values.items():
                self.rows[name] = Row(value, version)
                self.log.append((*name, version))
        self.oldest = min(self.oldest, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def write_again(self) -> None:
        """Writes again what the operator and the servers wrote and was lost."""
        for name, value in self.intended.items():
            row = self.rows.get(name)
            if value != (row.value if row else None):
                self.write([(*name, value)])

    def write(self, entries) -> int:
        self.version += 1
        values = {(table, key): value for table, key, value in entries}
        self._history.append((_now(), self.version, values))
        for table, key, value in entries:
            self.rows[table, key] = Row(value, self.version)
            self.log.append((table, key, self.version))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def drop_history(self) -> None:
        self.oldest = self.version

    def keys(self, table: str) -> list[str]:
        return [
            key
            for (name, key), row in self.rows.items()
            if name == table and row.value is not None
        ]

    async def _answer(self, request, endpoint: int) -> web.Response:
        answer = await self._answer_call(request, endpoint)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer_call(self, request, endpoint: int) -> web.Response:
        mode = self.mode_by_endpoint.get(endpoint, "")
        if mode == "busy" or self.is_away:
            return web.Response(status=503)
        if mode == "unresponsive":
            await asyncio.sleep(3600)
        body = await request.read()
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            return await self._transact(json.loads(body), mode)
        if name == "rows-get":
            return self._page(request.query)
        return await self._feed(request.query, endpoint)

    async def _transact(self, call, mode: str) -> web.Response:
        if mode == "late":
            asyncio.get_running_loop().call_later(1.0, self._apply, call)
            await asyncio.sleep(3600)
        answer = self._apply(call)
        if mode == "lost":
            await asyncio.sleep(3600)
        return answer

    def _apply(self, call) -> web.Response:
        for wanted in call["precondition"]:
            row = self.rows.get((wanted["table"], wanted["key"]))
            version = row.version if row and row.value is not None else 0
            if version != wanted["ver"]:
                return web.Response(status=412, text='{"rows":[]}')
        entries = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["set_keys"]
        ]
        entries += [(row["table"], row["key"], None) for row in call["remove"]]
        self.write(entries)
        return self._json([])

    def _page(self, query) -> web.Response:
        return self._json(
            [
                self._row(key, row)
                for (name, key), row in sorted(self.rows.items())
                if name == query["table"]
                and key >= query.get("from", "")
                and row.value is not None
            ]
        )

    @staticmethod
    def _row(key: str, row: Row) -> dict:
        shown = {"key": key, "ver": row.version}
        if row.value is None:
            return shown | {"tombstone": True}
        return shown | {"value": base64.b64encode(row.value).decode()}

    async def _feed(self, query, endpoint: int) -> web.Response:
        table, after = query["table"], int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest or after > self.version:
                return web.Response(status=410)
            names = {
                key
                for name, key, version in self.log
                if name == table and version > after
            }
            left_s = end - loop.time()
            is_stale = self.mode_by_endpoint.get(endpoint) == "stale"
            if is_stale and table == "op":
                await asyncio.sleep(3600)
            if names or left_s <= 0:
                rows = [
                    self._row(key, self.rows[table, key])
                    for key in sorted(names)
                ]
                return self._json(rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _json(self, rows) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "ver": self.version,
                "now": "0ms",
                "has_more": False,
            }
        )


class CrashKind(enum.Enum):
    """What a server does when a request crashes it."""

    # Its process ends, and with it all connections.
    EXITS = "exits"
    # Connections stay open, and new ones are accepted; nothing is answered.
    STOPS_ANSWERING = "stops-answering"


class LeavingNotice(enum.Enum):
    """How a server states that it is leaving."""

    NONE = "none"
    REGISTRATION = "registration"
    ANSWERS = "answers"


@dataclasses.dataclass(frozen=True)
class CrashPlan:
    """How requests for crashing paths crash the servers that run them.

    Attributes:
        kind: What the server does.
        after_s: Least and most time from the start of a request to the crash.
        downtime_s: Time until the server is back.
        notice: How the server states before the crash that it is leaving.
        notice_s: How long before.
        renames: Whether it is back under a new id.
    """

    kind: CrashKind = CrashKind.EXITS
    after_s: tuple[float, float] = (0.0, 0.0)
    downtime_s: float = 2.0
    notice: LeavingNotice = LeavingNotice.NONE
    notice_s: float = 0.3
    renames: bool = False


@dataclasses.dataclass
class Run:
    attempt: str
    method: str
    key: int | None
    server: str
    started: float


# Headers in which servers state something about themselves.
STATEMENTS = ("Server-Limit", "Server-Leaving", "Retry-After")


@dataclasses.dataclass
class Arrival:
    """A request that reached a server.

    Attributes:
        at: When.
        attempt: The caller's id of the attempt.
        answered_at: When the server answered; infinite if it didn't.
        stated: What the answer states about the server, by header.
    """

    at: float
    attempt: str
    answered_at: float = float("inf")
    stated: dict[str, str] = dataclasses.field(default_factory=dict)


class Cluster:
    """Servers, their runs of requests, and checks of exclusive ownership.

    Attributes:
        runs: All requests that servers began to run.
        violations: Violated guarantees, as messages.
        crashing_paths: Paths of requests that crash the server that runs them.
        crash_plan: How they do.
        begun_by_path: Times at which servers began such requests, by path.
        crashes_by_path: Times of these crashes, by path.
        links: Links of the VMs to the servers.
    """

    def __init__(self, store: Store):
        self.store = store
        self.by_id: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.violations: list[str] = []
        self.crashing_paths: set[str] = set()
        self.crash_plan = CrashPlan()
        self.begun_by_path: dict[str, list[float]] = {}
        self.crashes_by_path: dict[str, list[float]] = {}
        self.links = link_cuts.Links()
        self._crashes: set[asyncio.Task] = set()

    async def start(self, service: str, zone: str, **changes) -> "Server":
        name = f"i-{len(self.by_id):04d}"
        server = Server(self, name, service, zone, **changes)
        self.by_id[name] = server
        await server.start()
        return server

    def record_run(self, run: Run) -> None:
        ran = [
            other
            for other in self.runs
            if other.attempt == run.attempt and run.method == "POST"
        ]
        if ran:
            self.violations.append(f"{run.attempt} ran twice: {ran[0]} {run}")
        self.runs.append(run)

    def begin_crashing_request(self, server: "Server", path: str) -> None:
        """Records the start of a request that will crash its server."""
        self.begun_by_path.setdefault(path, []).append(_now())
        server.crashing.append(path)
        task = asyncio.create_task(self._crash(server, path))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _crash(self, server: "Server", path: str) -> None:
        plan, incarnation = self.crash_plan, server.incarnation
        if plan.after_s[1]:
            await asyncio.sleep(random.uniform(*plan.after_s))
        if plan.notice is not LeavingNotice.NONE:
            server.give_notice(plan.notice)
            await asyncio.sleep(plan.notice_s)
        if server.incarnation != incarnation or not server.is_serving:
            return
        for crashing in server.crashing:
            self.crashes_by_path.setdefault(crashing, []).append(_now())
        if plan.kind is CrashKind.STOPS_ANSWERING:
            server.is_unresponsive = True
            await asyncio.sleep(plan.downtime_s)
            await server.restart(0.0, plan.renames)
        else:
            await server.restart(plan.downtime_s, plan.renames)

    def check_grant(self, server: "Server", first: int, last: int, now: float):
        for other in self.by_id.values():
            if other is server or not other.is_up:
                continue
            if other.service != server.service:
                continue
            if any(
                other.held_until[key] > now for key in range(first, last + 1)
            ):
                self.violations.append(
                    f"{server.name} and {other.name} hold {first} to {last}"
                )
            if other.is_working_in_hold(first, last, now):
                self.violations.append(
                    f"{server.name} is granted {first} to {last} while"
                    f" {other.name} works on them"
                )

    async def close(self) -> None:
        for task in list(self._crashes):
            task.cancel()
        for server in self.by_id.values():
            await server.close()


class Server:
    """One server that owns keys.

    Attributes:
        limit_per_s: Rate limit that it states in its answers, if any.
        announces_exit: Whether it says in its answers that it is leaving.
        rejections_left: How many requests it rejects although it has free
            slots.
        rejected_share: Share of the requests that it rejects although it has
            free slots.
        backoff_s: If set, it rejects all requests and wants none of the same VM
            for so long.
        is_unresponsive: Whether it answers nothing, though its connections stay
            open.
        crashing: Paths of the requests in progress that will crash it.
        arrivals: All requests that reached its current run, run or not.
        listener: Where it listens.
        long_answer_s: Time that it takes to send a long answer.
        read_pause_s: Time from the head of a request until it reads the body.
        noise: What it sends besides its answers, if anything.
        echoes_ids_of_orders: Whether it returns the ids of grants and releases.
    """

    def __init__(
        self,
        cluster: Cluster,
        name: str,
        service: str,
        zone: str,
        work_s: float = 0.03,
        slots: int = 3,
    ):
        self.cluster = cluster
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.address = ""
        self._port = 0
        self.is_up = False
        # When it ended, if it has.
        self.stopped_at = float("inf")
        self.is_leaving = False
        self.delayed_grant_share = 0.0
        self.limit_per_s: float | None = None
        self.announces_exit = False
        self.rejections_left = 0
        self.rejected_share = 0.0
        self.backoff_s: float | None = None
        self.is_unresponsive = False
        self.crashing: list[str] = []
        self.arrivals: list[Arrival] = []
        # Number of starts; no state is kept across restarts.
        self.incarnation = 1
        self.held_until = _zeros("d")
        # Ends of the holds, also of those whose release isn't answered yet.
        self._lease_ends = _zeros("d")
        self.fences = _zeros("q")
        self.running = 0
        self.waiting = 0
        self._working: list[int | None] = []
        self._request_ended = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.listener: asyncio.Server | None = None
        self.long_answer_s = 0.0
        self.read_pause_s = 0.0
        self.noise: foreign_bytes.Noise | None = None
        self.echoes_ids_of_orders = False
        self._is_restarting = False

    @property
    def is_serving(self) -> bool:
        """Whether it runs and answers."""
        return self.is_up and not self.is_unresponsive

    async def start(self) -> None:
        app = web.Application(client_max_size=1 << 26)
        for method, path, handler in (
            ("POST", "/swiftstile/grant", self._grant),
            ("POST", "/swiftstile/release", self._release),
            ("*", "/{tail:.*}", self._request),
        ):
            handler = foreign_bytes.with_noise(self, handler)
            app.router.add_route(method, path, handler)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0
        )
        await self._runner.setup()
        # A restarted server listens at the same address.
        links = self.cluster.links
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: link_cuts.Door(links, self._runner.server),
            "127.0.0.1",
            self._port,
            reuse_address=True,
        )
        links.add(self.listener, self._runner.server)
        self._port = self.listener.sockets[0].getsockname()[1]
        self.address = self.address or f"127.0.0.1:{self._port}"
        self.is_up = True
        self.stopped_at = float("inf")
        self.register("ready")

    def register(self, state: str) -> None:
        self.cluster.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_remaining": "0ms",
                "sequence": 1,
                "born": self.incarnation,
            },
        )

    def give_notice(self, notice: LeavingNotice) -> None:
        """States that it is leaving."""
        if notice is LeavingNotice.REGISTRATION:
            self.register("draining")
        else:
            self.announces_exit = True

    async def restart(self, pause_s: float, renames: bool = False) -> None:
        """Crashes the server and restarts it at the same address.

        Args:
            pause_s: Time until it is back.
            renames: Whether it gets a new id.
        """
        if self._is_restarting:
            return
        self._is_restarting = True
        await self.exit()
        await asyncio.sleep(pause_s)
        self.incarnation += 1
        if renames:
            self.unregister()
            del self.cluster.by_id[self.name]
            self.name = f"{self.name.partition('-r')[0]}-r{self.incarnation}"
            self.cluster.by_id[self.name] = self
        self.held_until = _zeros("d")
        # Ends of the holds, also of those whose release isn't answered yet.
        self._lease_ends = _zeros("d")
        self.fences = _zeros("q")
        self.limit_per_s = self.backoff_s = None
        self.announces_exit = self.is_unresponsive = False
        self.arrivals = []
        self.crashing = []
        self.running = self.waiting = 0
        self._working.clear()
        await self.start()
        self._is_restarting = False

    def _break_connections(self) -> None:
        """Aborts all connections, as the exit of a process does."""
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def unregister(self) -> None:
        self.cluster.store.remove("servers", self.name)

    async def exit(self) -> None:
        """Stops the server as the exit of its process does."""
        self._break_connections()
        await self.stop()

    async def stop(self) -> None:
        """Stops the server like a crash: its registration remains."""
        if self.is_up:
            self.is_up = False
            self.stopped_at = _now()
            self.listener.close()
            self.cluster.links.remove(self.listener)
            await self._runner.cleanup()

    async def close(self) -> None:
        """Stops the server for good and frees its records of keys."""
        await self.stop()
        for record in (self.held_until, self._lease_ends, self.fences):
            del record[:]

    async def _grant(self, request: web.Request) -> web.Response:
        call = await request.json()
        await self._wait_if_unresponsive()
        arrived = _now()
        if random.random() < self.delayed_grant_share:
            asyncio.get_running_loop().call_later(
                random.uniform(0.5, 3.0),
                self._apply_grant,
                call,
                arrived,
                self.incarnation,
            )
            await asyncio.sleep(3600)
        status = self._apply_grant(call, arrived, self.incarnation)
        if self.cluster.links.loses_answers(request.remote):
            await asyncio.sleep(3600)
        return web.Response(status=status)

    def _apply_grant(self, call, arrived: float, incarnation: int) -> int:
        first, last, fence = call["from"], call["to"], call["fence"]
        if not self.is_up or incarnation != self.incarnation:
            return 409
        if any(self.fences[key] > fence for key in range(first, last + 1)):
            return 409
        until = arrived + float(call["hold_time"].removesuffix("ms")) / 1000
        if until > _now():
            self.cluster.check_grant(self, first, last, _now())
        for key in range(first, last + 1):
            self.fences[key] = fence
            self.held_until[key] = max(self.held_until[key], until)
            self._lease_ends[key] = max(self._lease_ends[key], until)
        return 200

    def is_working_in_hold(self, first: int, last: int, now: float) -> bool:
        """Whether it works on keys before their hold has ended.

        A hold ends with the answer to its release, or with its duration.
        """
        return any(
            key is not None
            and first <= key <= last
            and self._lease_ends[key] > now
            for key in self._working
        )

    async def _release(self, request: web.Request) -> web.Response:
        call = await request.json()
        await self._wait_if_unresponsive()
        if self.cluster.links.loses_answers(request.remote):
            await asyncio.sleep(3600)
        keys = range(call["from"], call["to"] + 1)
        for key in keys:
            self.held_until[key] = 0.0
            self.fences[key] = max(self.fences[key], call["fence"])
        async with self._request_ended:
            await self._request_ended.wait_for(
                lambda: not any(key in keys for key in self._working)
            )
        for key in keys:
            if not self.held_until[key]:
                self._lease_ends[key] = 0.0
        return web.Response(headers={"X-Handover": uuid.uuid4().hex[:16]})

    async def _wait_if_unresponsive(self) -> None:
        """Waits for ever while it answers nothing."""
        if self.is_unresponsive:
            await asyncio.sleep(3600)

    def _statements(self) -> dict[str, str]:
        """Returns the headers in which it states its condition."""
        headers = {}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
        if self.announces_exit:
            headers["Server-Leaving"] = "1"
        return headers

    def _reject(self, headers: dict[str, str]) -> web.Response:
        """Rejects a request and states the pause that it wants."""
        headers |= {
            "X-Not-Executed": "1",
            "Retry-After": str(self.backoff_s),
            "X-Instance-Load": f"0,0,{self.slots}",
        }
        return web.Response(status=503, headers=headers)

    async def _request(self, request: web.Request) -> web.Response:
        arrival = Arrival(_now(), request.headers.get("X-Attempt-Id", ""))
        self.arrivals.append(arrival)
        headers = {"X-Attempt-Id": arrival.attempt} | self._statements()
        await self._wait_if_unresponsive()
        answer = await self._respond(request, headers)
        await self._wait_if_unresponsive()
        if self.cluster.links.loses_answers(request.remote):
            await asyncio.sleep(3600)
        arrival.answered_at = _now()
        arrival.stated = {
            name: value
            for name, value in answer.headers.items()
            if name in STATEMENTS
        }
        return answer

    async def _respond(self, request, headers) -> web.Response:
        expected = request.headers.get("X-Expect-Instance", self.name)
        text = request.headers.get("X-Shard-Key")
        key = int(text) if text and self.service == "keyed" else None
        not_held = key is not None and self.held_until[key] <= _now()
        if expected != self.name or not_held:
            headers |= {"X-Not-Executed": "1", "X-Instance-Id": self.name}
            return web.Response(status=421, headers=headers)
        is_drawn = random.random() < self.rejected_share
        if self.rejections_left or is_drawn:
            self.rejections_left = max(0, self.rejections_left - 1)
            headers |= {
                "X-Not-Executed": "1",
                "X-Instance-Load": f"0,0,{self.slots}",
            }
            return web.Response(status=503, headers=headers)
        if self.backoff_s is not None:
            return self._reject(headers)
        if self.waiting >= _QUEUE_LIMIT:
            await asyncio.sleep(3600)
        incarnation = self.incarnation
        await self._enter()
        try:
            return await self._work(request, headers, key)
        finally:
            await self._leave(key, incarnation)

    async def _enter(self) -> None:
        async with self._request_ended:
            self.waiting += 1
            try:
                await self._request_ended.wait_for(
                    lambda: self.running < self.slots
                )
            finally:
                self.waiting -= 1
            self.running += 1

    async def _leave(self, key: int | None, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.running -= 1
        if key in self._working:
            self._working.remove(key)
        async with self._request_ended:
            self._request_ended.notify_all()

    async def _work(self, request, headers, key) -> web.Response:
        self._working.append(key)
        attempt = headers["X-Attempt-Id"]
        if request.path in self.cluster.crashing_paths:
            self.cluster.begin_crashing_request(self, request.path)
            await asyncio.sleep(3600)
        self.cluster.record_run(
            Run(attempt, request.method, key, self.name, _now())
        )
        if request.body_exists:
            await asyncio.sleep(self.read_pause_s)
        body = await request.read()
        await asyncio.sleep(self.work_s)
        load = f"{self.running},{self.waiting},{self.slots}"
        answer = f"{attempt}:{len(body)}".encode()
        if request.path.endswith(LONG_ANSWER):
            answer += bytes(LONG_ANSWER_BYTES)
        headers |= self._statements()
        headers |= {"X-Server-Signature": "s", "X-Instance-Load": load}
        if request.path.endswith(LONG_ANSWER) and self.long_answer_s:
            return await self._answer_slowly(request, headers, answer)
        return web.Response(body=answer, headers=headers)

    async def _answer_slowly(
        self, request: web.Request, headers, body: bytes
    ) -> web.StreamResponse:
        """Sends a long answer in equal pieces over a time."""
        answer = web.StreamResponse(headers=headers)
        answer.content_length = len(body)
        await answer.prepare(request)
        pieces = 20
        size = len(body) // pieces + 1
        for start in range(0, len(body), size):
            await answer.write(body[start : start + size])
            await asyncio.sleep(self.long_answer_s / pieces)
        await answer.write_eof()
        return answer


def encode(document) -> bytes:
    """Returns the value of a row."""
    return json.dumps(document).encode()


def _zeros(typecode: str) -> array.array:
    """Returns a record of a zero for each key.

    The garbage collector doesn't traverse the elements of arrays, unlike those
    of lists.
    """
    return array.array(typecode, [0]) * KEYS


def _now() -> float:
    return asyncio.get_running_loop().time()


def _entry(entry_type: str, name: str, **spec) -> dict:
    return {"entry_type": entry_type, "metadata": {"name": name}, "spec": spec}


def plain_route(
    prefix: str, kind: str, timeout: str = "2000ms", **spec: str
) -> dict:
    """Returns an additional route to the plain service, with one attempt."""
    return _entry(
        "routes",
        "new",
        host="a.example",
        prefix=prefix,
        kind=kind,
        timeout=timeout,
        service="plain",
        max_attempts=1,
        **spec,
    )


def keyed_write_route(prefix: str, max_attempts: int = 2) -> dict:
    """Returns a route of unsafe requests, for the owners of their keys."""
    return _entry(
        "routes",
        "orders",
        host="a.example",
        prefix=prefix,
        kind="unsafe",
        timeout="2500ms",
        objective="600ms",
        priority=1,
        service="keyed",
        max_attempts=max_attempts,
    )


def route(
    name: str, prefix: str, kind: str, service: str, timeout_s: float
) -> dict:
    """Returns an additional route."""
    return _entry(
        "routes",
        name,
        host="a.example",
        prefix=prefix,
        kind=kind,
        timeout=f"{timeout_s * 1000:.0f}ms",
        objective="1300ms",
        priority=1,
        service=service,
        max_attempts=2,
    )


def config(version: int, *extra: dict, **limits) -> dict:
    """Returns the operator's configuration with a keyed and a plain service."""

    common = {"timeout": "2000ms", "objective": "600ms", "max_attempts": 2}
    return {
        "version": f"{version:08x}",
        "base_version": "00000000",
        "resources": [
            _entry(
                "routes",
                "reads",
                host="a.example",
                prefix="/read/",
                kind="safe",
                priority=2,
                service="keyed",
                **common,
            ),
            _entry(
                "routes",
                "writes",
                host="a.example",
                prefix="/write/",
                kind="unsafe",
                priority=1,
                service="plain",
                **common,
            ),
            *extra,
            _entry("services", "keyed", sharded=True, warm="1s"),
            _entry("services", "plain"),
            _entry("limits", "", max_body_bytes=1 << 24, **limits),
        ],
    }
