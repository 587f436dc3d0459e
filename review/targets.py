"""Stand-in of the targets (PROTOCOL.md); a subclass adds the disruption."""

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import json
import random
import time

import http1
import store as store_lib

KEYS = 65536
_HEARTBEAT_S = 0.87
_QUEUE = 12
_SUCCESS = 200


@dataclasses.dataclass
class Run:
    """A request that a target ran.

    Attributes:
        attempt: Id of the client's attempt.
        target: Id of the target.
        status: The status that the target gave.
        body: The body that it gave.
    """

    attempt: str
    target: str
    status: int
    body: bytes


class Target:
    """One target.

    Attributes:
        id: Its id.
        runs: All runs of all targets, in the order of their start.
        work_s: Least and most time that a request takes.
        slots: Requests that it works on at a time.
    """

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        store: store_lib.Store,
        runs: list[Run],
        work_s: tuple[float, float] = (0.02, 0.06),
        is_sharded: bool = False,
        slots: int = 3,
    ):
        self.id = f"i-{number:08x}"
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work_s = work_s
        self.slots = slots
        self.address = ""
        self.random = random.Random(number)
        self._store = store
        self._is_sharded = is_sharded
        self._held_until = [0.0] * KEYS
        self._fences = [0] * KEYS
        self._running = self._waiting = 0
        self._keys_at_work: collections.Counter[int] = collections.Counter()
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self.state = "ready"

    async def start(self) -> None:
        """Starts to listen and to register."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 21
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._beat = asyncio.create_task(self._register())

    def close(self) -> None:
        """Stops listening."""
        self._beat.cancel()
        self._server.close()

    def drain(self) -> None:
        """Reports that it is leaving; it serves on until it is closed."""
        self.state = "draining"
        self._beat.cancel()
        self._beat = asyncio.create_task(self._register())

    async def _register(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._store.put(
                "servers",
                self.id,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": self.state,
                    "cold_remaining": "0ms",
                    "sequence": sequence,
                },
            )
            await asyncio.sleep(_HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    request = await http1.read_request(reader)
                    if not await self.answer(request, reader, writer):
                        break
        finally:
            writer.close()

    async def answer(self, request, reader, writer) -> bool:
        """Answers a request; returns whether the channel is kept."""
        expected = request.headers.get("x-expect-instance", self.id)
        is_command = request.path.startswith("/swiftstile/")
        if is_command and expected != self.id:
            writer.write(http1.response(421))
        elif request.path == "/swiftstile/grant":
            writer.write(self._grant(json.loads(request.body)))
        elif request.path == "/swiftstile/release":
            writer.write(await self._release(json.loads(request.body)))
        elif request.path == "/health":
            writer.write(http1.response(200, self.headers("")))
        else:
            return await self.work(request, reader, writer)
        await writer.drain()
        return True

    def headers(self, attempt: str) -> dict[str, str]:
        """Returns the headers of each answer."""
        load = f"{self._running},{self._waiting},{self.slots}"
        names = {"X-Attempt-Id": attempt} if attempt else {}
        return names | {"X-Instance-Id": self.id, "X-Instance-Load": load}

    def refusal(self, request: http1.Message) -> bytes | None:
        """Returns the answer to a request that it rejects; None if it runs."""
        attempt = request.headers.get("x-attempt-id", "")
        not_run = self.headers(attempt) | {"X-Not-Executed": "1"}
        if not attempt:
            return http1.response(400, not_run)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return http1.response(421, not_run)
        if not self._holds_key_of(request):
            return http1.response(421, not_run)
        if self._waiting >= _QUEUE:
            return http1.response(503, not_run)
        return None

    def _holds_key_of(self, request: http1.Message) -> bool:
        if not self._is_sharded:
            return True
        key = int(request.headers["x-shard-key"])
        return self._held_until[key] > time.monotonic()

    async def work(self, request, reader, writer) -> bool:
        """Runs a request and answers it; returns whether to keep the channel.

        The work isn't ended when the channel is closed: most targets do that,
        and it would only hide runs.
        """
        refused = self.refusal(request)
        if refused is not None:
            writer.write(refused)
            await writer.drain()
            return True
        status, headers, body = await self.run(request)
        writer.write(http1.response(status, headers, body))
        await writer.drain()
        return True

    async def run(self, request) -> tuple[int, dict[str, str], bytes]:
        """Runs a request; returns status, headers and body of its answer."""
        key = int(request.headers.get("x-shard-key", "-1"))
        async with self.slot():
            if not self._holds_key_of(request):
                # It was released while the request was queued.
                headers = self.headers(request.headers["x-attempt-id"])
                return 421, headers | {"X-Not-Executed": "1"}, b""
            run = Run(request.headers["x-attempt-id"], self.id, _SUCCESS, b"")
            self.runs.append(run)
            self._keys_at_work[key] += 1
            try:
                await asyncio.sleep(self.work_time_s())
            finally:
                self._keys_at_work[key] -= 1
            run.status, run.body = self.result(request)
        return run.status, self.answer_headers(run), run.body

    def work_time_s(self) -> float:
        """Returns the time that the next request takes."""
        return self.random.uniform(*self.work_s)

    def answer_headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of the answer to a request that ran."""
        digest = hashlib.sha256(run.body).hexdigest()[:16]
        return self.headers(run.attempt) | {
            "X-Server-Signature": f"{self.id}.{run.status}.{digest}"
        }

    def result(self, request) -> tuple[int, bytes]:
        """Returns the status and the body of the answer to a request."""
        attempt = request.headers["x-attempt-id"]
        return _SUCCESS, f"{attempt} {request.start[1]}\n".encode() * 8

    @contextlib.asynccontextmanager
    async def slot(self):
        """Holds a slot, after waiting for it."""
        async with self._changed:
            self._waiting += 1
            try:
                await self._changed.wait_for(lambda: self._running < self.slots)
            finally:
                self._waiting -= 1
            self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            async with self._changed:
                self._changed.notify_all()

    def _grant(self, call) -> bytes:
        keys = range(call["from"], call["to"] + 1)
        if any(self._fences[key] > call["fence"] for key in keys):
            return http1.response(409)
        hold_s = float(call["hold_time"].removesuffix("ms")) / 1000
        until = time.monotonic() + hold_s
        for key in keys:
            self._fences[key] = call["fence"]
            self._held_until[key] = until
        return http1.response(200)

    async def _release(self, call) -> bytes:
        keys = range(call["from"], call["to"] + 1)
        for key in keys:
            self._held_until[key] = 0.0
            self._fences[key] = max(self._fences[key], call["fence"])
        async with self._changed:
            await self._changed.wait_for(
                lambda: not any(
                    count and key in keys
                    for key, count in self._keys_at_work.items()
                )
            )
        return http1.response(200, {"X-Handover": "5c0e7a21d94b36f8"})
