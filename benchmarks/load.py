"""Load generator that sends mixed requests and records each outcome.

Runs as a separate process: `python -m benchmarks.load PLAN`, where PLAN is a
JSON file. Records are written as MessagePack when the load ends.
"""

import asyncio
import hashlib
import itertools
import pathlib
import random
import sys
import uuid

import aiohttp
import msgspec
import uvloop
import yarl

from swiftstile import clocks
from swiftstile.routing import outcomes

__all__ = ["Plan", "Record", "ServicePlan", "read_records"]

_CLIENT_TIMEOUT_S = 15.0
_BALANCER_TRIES = 4
_TRANSPORT_FAILED = "transport"


class ServicePlan(msgspec.Struct):
    """The load on one service.

    Attributes:
        name: Name of the service.
        share: Share of the requests, from 0 to 1.
        keyed: Whether requests carry a key.
        protected_share: Share of requests that are not repeatable.
        direct_ports: Ports of its servers if the routers are bypassed, else
            empty.
    """

    name: str
    share: float
    keyed: bool
    protected_share: float
    direct_ports: list[int] = []


class Plan(msgspec.Struct):
    """Parameters of one load.

    Attributes:
        organisation: Organisation whose services are called.
        services: Load on each service.
        ports: Ports of the routers.
        seconds: Duration of the load, in seconds.
        rate: Total requests per second, as a Poisson process; 0 for a closed
            loop of `callers`.
        callers: Concurrent callers of the closed loop, used with rate 0.
        keys: Number of keys in use; the n-th is drawn with weight 1/n**skew.
        skew: Exponent of the key distribution.
        seed: Seed of all random choices.
        hot_keys: Number of keys that are hot at the same time.
        hot_share: Share of keyed requests for hot keys, from 0 to 1.
        shift_s: Time after which a new set of keys becomes hot, in seconds.
        answer_bytes: Length of a response body.
        body_bytes: Length of a protected request's body.
        timeout_ms: Timeout that requests carry in their header.
        records: Path of the file that records are written to.
    """

    organisation: str
    services: list[ServicePlan]
    ports: list[int]
    seconds: float
    rate: float
    seed: int
    records: str
    callers: int = 32
    keys: int = 2000
    skew: float = 0.9
    hot_keys: int = 0
    hot_share: float = 0.0
    shift_s: float = 60.0
    answer_bytes: int = 200
    body_bytes: int = 300
    timeout_ms: int = 5000


class Record(msgspec.Struct, array_like=True):
    """Outcome of one request as its caller saw it.

    Attributes:
        request_id: Id of the request.
        service: Service that was called.
        key: Key of the request; empty for none.
        is_protected: Whether it was marked as not repeatable.
        sent_at: Send time, on the machine's monotonic clock.
        latency_s: Time until the response was read completely or failed.
        status: HTTP status; 0 if the connection failed.
        outcome: Value of the outcome header, or `transport`.
        is_crossed: Whether the response belongs to another request or is
            partial.
    """

    request_id: str
    service: str
    key: str
    is_protected: bool
    sent_at: float
    latency_s: float
    status: int
    outcome: str
    is_crossed: bool


def read_records(path: pathlib.Path) -> list[Record]:
    """Returns the records of a load."""
    return msgspec.msgpack.decode(path.read_bytes(), type=list[Record])


class _Callers:

    def __init__(self, plan: Plan):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._records: list[Record] = []
        weights = [1 / (n + 1) ** plan.skew for n in range(plan.keys)]
        self._cumulative_key_weights = list(itertools.accumulate(weights))
        self._cumulative_shares = list(
            itertools.accumulate(service.share for service in plan.services)
        )
        self._ports = itertools.cycle(plan.ports)
        self._session: aiohttp.ClientSession | None = None
        self._started = clocks.monotonic()

    async def run(self) -> list[Record]:
        """Sends the load and returns the records."""
        timeout = aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as self._session:
            if self._plan.rate:
                await self._run_open_loop()
            else:
                end = clocks.monotonic() + self._plan.seconds
                await asyncio.gather(
                    *(
                        self._run_closed_caller(end)
                        for _ in range(self._plan.callers)
                    )
                )
        return self._records

    async def _run_open_loop(self) -> None:
        due = start = clocks.monotonic()
        running: set[asyncio.Task] = set()
        while due < start + self._plan.seconds:
            wait = due - clocks.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self._send_request(due))
            running.add(task)
            task.add_done_callback(running.discard)
            due += self._random.expovariate(self._plan.rate)
        await asyncio.gather(*running)

    async def _run_closed_caller(self, end: float) -> None:
        while clocks.monotonic() < end:
            await self._send_request(clocks.monotonic())

    async def _send_request(self, due: float) -> None:
        plan = self._plan
        service = self._random.choices(
            plan.services, cum_weights=self._cumulative_shares
        )[0]
        is_protected = self._random.random() < service.protected_share
        request_id = f"{self._random.getrandbits(96):024x}"
        key = self._key() if service.keyed else ""
        url, headers = self._url_and_headers(service, key, request_id)
        body = None
        if is_protected:
            body = self._random.randbytes(plan.body_bytes)
            headers[outcomes.IDEMPOTENCY_HEADER] = request_id
        record = Record(
            request_id, service.name, key, is_protected, due, 0, 0, "", False
        )
        try:
            await self._exchange_with_failover(url, headers, body, record)
        except (aiohttp.ClientError, TimeoutError, OSError):
            record.outcome = _TRANSPORT_FAILED
        record.latency_s = clocks.monotonic() - due
        self._records.append(record)

    async def _exchange_with_failover(
        self, url, headers, body, record: Record
    ) -> None:
        method = "POST" if body is not None else "GET"
        for tries_left in range(_BALANCER_TRIES, 0, -1):
            try:
                return await self._exchange_once(
                    method, url, headers, body, record
                )
            except aiohttp.ClientConnectorError:
                # The platform's balancer also tries another VM if one refuses
                # the connection.
                if tries_left == 1 or not self._is_routed(url):
                    raise
                url = self._via_next_router(url)

    def _is_routed(self, url: str) -> bool:
        return "/direct" not in url

    def _via_next_router(self, url: str) -> str:
        parts = yarl.URL(url, encoded=True)
        return str(parts.with_port(next(self._ports)))

    async def _exchange_once(self, method, url, headers, body, record) -> None:
        async with self._session.request(
            method, url, headers=headers, data=body
        ) as response:
            answer = await response.read()
            record.status = response.status
            record.outcome = response.headers.get(outcomes.OUTCOME_HEADER, "")
            if record.outcome == outcomes.Outcome.ANSWERED.value:
                record.is_crossed = not self._is_expected_response(
                    answer, record.request_id, body
                )

    def _is_expected_response(
        self, answer: bytes, request_id: str, body
    ) -> bool:
        digest = hashlib.sha256(body or b"").hexdigest()
        prefix = f"{request_id} {digest} ".encode()
        return answer == prefix.ljust(self._plan.answer_bytes, b".")

    def _key(self) -> str:
        plan = self._plan
        if self._random.random() < plan.hot_share:
            period = int((clocks.monotonic() - self._started) / plan.shift_s)
            return f"hot-{period}-{self._random.randrange(plan.hot_keys)}"
        index = self._random.choices(
            range(self._plan.keys), cum_weights=self._cumulative_key_weights
        )[0]
        return f"key-{index}"

    def _url_and_headers(self, service: ServicePlan, key: str, request_id: str):
        query = f"?bytes={self._plan.answer_bytes}"
        headers = {
            outcomes.REQUEST_ID_HEADER: request_id,
            outcomes.TIMEOUT_HEADER: str(self._plan.timeout_ms),
        }
        if service.keyed:
            headers[outcomes.KEY_HEADER] = key
        if service.direct_ports:
            port = self._random.choice(service.direct_ports)
            return f"http://127.0.0.1:{port}/direct{query}", headers
        port = next(self._ports)
        path = f"/{self._plan.organisation}/{service.name}/item{query}"
        return f"http://127.0.0.1:{port}{path}", headers


def main() -> None:
    """Sends the load of a plan and writes the records."""
    plan_file = pathlib.Path(sys.argv[1])
    plan = msgspec.json.decode(plan_file.read_bytes(), type=Plan)
    records = uvloop.run(_Callers(plan).run())
    partial = pathlib.Path(f"{plan.records}.{uuid.uuid4().hex}")
    partial.write_bytes(msgspec.msgpack.encode(records))
    partial.rename(plan.records)


if __name__ == "__main__":
    main()
