"""Peers whose answers never end must not use up the memory of a VM.

Guards against a VM that keeps the bytes of a faulty upstream, of the store or
of another VM until it runs out of memory, with which the requests of all its
other callers end. One VM with the memory of the smallest machines in use meets
each kind of such bytes on each kind of connection, and has to serve others
meanwhile.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import pathlib
import threading
import types
from unittest import mock
import uuid

import pytest
from users_platform import dialect

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forwarding
from swiftstile.gateway import outcomes
from tests import exchange_parts
from tests.integration import crowds
from tests.integration import endless_peers
from tests.integration import gateways
from tests.integration import users_standins

MEMORY_MB = 160
_MAX_FDS = 600
_ROUTE_TIMEOUT_S = 0.6
# After the route's timeout: the answer is closed, and that is noticed here.
_CLOSED_WITHIN_S = 1.0
_PEERS = 4
_MIN_SERVED = 0.95


# One of each table.
_STORE_CALLS = 3


def _config(version: int) -> dict:
    """Returns a configuration with services of faulty upstreams."""
    route = users_standins.plain_route("/faulty/", "safe")
    route["spec"] |= {
        "service": "faulty",
        "timeout": f"{_ROUTE_TIMEOUT_S * 1000:.0f}ms",
    }
    services = [
        {
            "entry_type": "services",
            "metadata": {"name": name},
            "spec": {"sharded": name != "faulty", "warm": "1s"},
        }
        for name in ("faulty", "faulty-granted", "faulty-released")
    ]
    return users_standins.config(version, route, *services)


def _registration(address: str, service: str, state: str) -> bytes:
    """Returns the row with which a faulty upstream registers."""
    return users_standins.encode(
        {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": 1,
        }
    )


class _KindByTurns:
    """Answers requests with each kind in turn.

    Attributes:
        left: Kinds that weren't sent yet.
    """

    def __init__(self, kinds: collections.abc.Iterable[str]):
        self.left = set(kinds)
        self._kinds = itertools.cycle(sorted(self.left))
        self._lock = threading.Lock()

    def next_answer(self) -> endless_peers.Endless:
        with self._lock:
            kind = next(self._kinds)
            self.left.discard(kind)
        return endless_peers.ANSWERS[kind]


class _Vm:
    """A VM of a site, with the faulty upstreams that it calls.

    Attributes:
        site: The site.
        store: What it takes for the store.
    """

    def __init__(self, site: gateways.Site, store: endless_peers.StoreProxy):
        self.site = site
        self.store = store
        self._numbers = itertools.count(1)

    @property
    def gateway(self) -> gateways.Gateway:
        return self.site.gateways[0]

    @contextlib.contextmanager
    def upstreams(self, script: endless_peers.Script, service: str = "faulty"):
        """Runs faulty upstreams of a service of their own.

        Yields:
            The upstreams, by id.
        """
        by_id = {
            f"f-{next(self._numbers):04d}": endless_peers.EndlessPeer(script)
            for _ in range(_PEERS)
        }
        # At once, so that none is called before the others are known.
        self.site.store.write(
            [
                ("servers", name, _registration(peer.address, service, "ready"))
                for name, peer in by_id.items()
            ]
        )
        try:
            yield by_id
        finally:
            self.site.store.write([("servers", name, None) for name in by_id])
            for peer in by_id.values():
                peer.close()

    async def call(self, method: str = "GET") -> gateways.Outcome:
        """Sends a request to the faulty upstreams."""
        outcome = await self.site.callers.call(
            f"/faulty/{uuid.uuid4().hex}", method=method
        )
        # All outcomes are kept until the end.
        outcome.body = outcome.body[:64]
        return outcome

    async def wait_until_known(self, by_id, method: str) -> None:
        """Waits until a request reaches a faulty upstream."""

        async def is_known() -> bool:
            await self.call(method)
            return any(peer.paths for peer in by_id.values())

        await self.site.until(is_known, 5)

    async def run_unharmed(
        self, during: collections.abc.Awaitable[None], peers, label: str
    ) -> None:
        """Checks that the VM and ordinary requests are unharmed meanwhile.

        Args:
            during: Is awaited.
            peers: The faulty peers, whose answers must be closed afterwards.
            label: Names the figures in the output.
        """
        pid = self.gateway.process.pid
        # The kernel counts the largest memory from now on.
        pathlib.Path(f"/proc/{pid}/clear_refs").write_text("5")
        outcomes = await self._ordinary_outcomes(during)
        peak_mb = crowds.ProcessWatch(pid).peak_mb
        answers = [answer for peer in peers for answer in peer.answers]
        sent = max(answer.sent for answer in answers)
        served = sum(outcome.status == 200 for outcome in outcomes)
        print(
            f"{label}: peak {peak_mb:.0f} MB, {len(answers)} answers of up to"
            f" {sent / 1e6:.0f} MB, served {served} of {len(outcomes)}"
        )
        assert self.gateway.is_running
        assert peak_mb <= MEMORY_MB
        assert served >= _MIN_SERVED * len(outcomes)

        async def are_closed() -> bool:
            return all(answer.ended is not None for answer in answers)

        await self.site.until(are_closed, _ROUTE_TIMEOUT_S + _CLOSED_WITHIN_S)

    async def _ordinary_outcomes(
        self, during: collections.abc.Awaitable[None]
    ) -> list[gateways.Outcome]:
        """Sends requests to sound upstreams until an awaitable has ended."""
        calls: list[asyncio.Task[gateways.Outcome]] = []
        has_ended = asyncio.Event()

        async def send() -> None:
            while not has_ended.is_set():
                for path in ("/read/x", "/write/x"):
                    call = self.site.callers.call(path)
                    calls.append(asyncio.create_task(call))
                await asyncio.sleep(0.05)

        sending = asyncio.create_task(send())
        try:
            await during
        finally:
            has_ended.set()
            await sending
            outcomes = await asyncio.gather(*calls)
        return outcomes


@pytest.fixture(scope="module")
def runner():
    with asyncio.Runner() as started:
        yield started


@pytest.fixture(scope="module")
def vm(tmp_path_factory, runner):
    """The VM; one for all tests, as each start of a site takes seconds."""
    site = gateways.Site(
        tmp_path_factory.mktemp("endless"),
        1,
        limits={"memory_mb": MEMORY_MB, "max_fds": _MAX_FDS},
    )
    proxies = []
    open_endpoint = site.store.open_endpoint

    async def open_proxy(number: int) -> str:
        endpoint = await open_endpoint(number)
        proxies.append(endless_peers.StoreProxy(endpoint))
        return proxies[0].address

    site.store.open_endpoint = open_proxy
    stack = contextlib.AsyncExitStack()

    async def start() -> None:
        await stack.enter_async_context(site.running())
        site.store.put("op", "config", _config(2))

    runner.run(start())
    yield _Vm(site, proxies[0])
    runner.run(stack.aclose())
    proxies[0].close()
    violations = site.violated_guarantees()
    assert violations == [], violations[:5]


_PARALLEL_CALLS = 16


@pytest.mark.parametrize(
    ("method", "kind"),
    [
        *(("GET", kind) for kind in endless_peers.ANSWERS),
        *(("HEAD", kind) for kind in endless_peers.BODIES),
    ],
)
def test_answers_to_callers(vm, runner, method, kind):
    # Guards against a reader of upstreams that has no bound for one kind.
    async def scenario():
        answer = endless_peers.ANSWERS[kind]
        with vm.upstreams(lambda _head: answer) as by_id:
            await vm.wait_until_known(by_id, method)

            async def call_all() -> None:
                calls = [vm.call(method) for _ in range(_PARALLEL_CALLS)]
                await asyncio.gather(*calls)

            label = f"{method} {kind}"
            await vm.run_unharmed(call_all(), by_id.values(), label)

    runner.run(scenario())


# Half of them leave.
_SLOW_CALLERS = 100


async def _call_without_reading(vm) -> None:
    host, _, port = vm.gateway.front.rpartition(":")
    writers = []
    for _ in range(_SLOW_CALLERS):
        _, writer = await asyncio.open_connection(host, int(port), limit=1)
        writers.append(writer)
        writer.transport.pause_reading()
        writer.write(
            f"GET /faulty/{uuid.uuid4().hex} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {uuid.uuid4().hex[:16]}\r\n"
            "X-Deadline-Ms: 9000\r\n\r\n".encode()
        )
    await asyncio.sleep(0.3)
    for writer in writers[::2]:
        writer.transport.abort()
    await asyncio.sleep(_ROUTE_TIMEOUT_S)
    for writer in writers:
        writer.transport.abort()


@pytest.mark.parametrize("kind", endless_peers.STREAMED)
def test_answers_to_callers_that_read_nothing_or_left(vm, runner, kind):
    # Guards against what was received before a body was given up: it stayed
    # until the next collection of garbage.
    async def scenario():
        answer = endless_peers.ANSWERS[kind]
        with vm.upstreams(lambda _head: answer) as by_id:
            await vm.wait_until_known(by_id, "GET")
            await vm.run_unharmed(
                _call_without_reading(vm), by_id.values(), f"unread {kind}"
            )

    runner.run(scenario())


def test_answers_to_health_checks(vm, runner):
    # Guards against a check that reads on until it is answered.
    kinds = _KindByTurns(endless_peers.ANSWERS_OF_ANY_SERVER)

    def script(head: bytes) -> endless_peers.Endless | None:
        # A broken connection lets the VM check this and other upstreams.
        return kinds.next_answer() if b" /health " in head else None

    async def scenario():
        with vm.upstreams(script) as by_id:

            async def is_checked() -> bool:
                await asyncio.gather(*(vm.call() for _ in range(_PEERS)))
                return not kinds.left

            await vm.run_unharmed(
                vm.site.until(is_checked, 20), by_id.values(), "health checks"
            )

    runner.run(scenario())


def test_answers_to_grants(vm, runner):
    # Guards against a call of this VM to an upstream that reads on.
    kinds = _KindByTurns(endless_peers.ANSWERS)

    async def scenario():
        with vm.upstreams(
            lambda _head: kinds.next_answer(), "faulty-granted"
        ) as by_id:

            async def are_sent() -> bool:
                return not kinds.left

            await vm.run_unharmed(
                vm.site.until(are_sent, 20), by_id.values(), "grants"
            )

    runner.run(scenario())


def test_answers_to_releases(vm, runner):
    # As above. Releases are repeated seldom, so that fewer kinds are sent.
    kinds = _KindByTurns(endless_peers.BODIES)
    granted = threading.Event()

    def script(head: bytes) -> endless_peers.Endless | bytes:
        if b" /swiftstile/release " in head:
            return kinds.next_answer()
        granted.set()
        return endless_peers.whole_answer()

    async def scenario():
        with vm.upstreams(script, "faulty-released") as by_id:

            async def are_granted() -> bool:
                return granted.is_set()

            await vm.site.until(are_granted, 10)
            await asyncio.sleep(0.5)
            leaving = list(by_id)[:-1]
            vm.site.store.write(
                [
                    (
                        "servers",
                        name,
                        _registration(
                            by_id[name].address, "faulty-released", "draining"
                        ),
                    )
                    for name in leaving
                ]
            )

            async def are_sent() -> bool:
                return not kinds.left

            await vm.run_unharmed(
                vm.site.until(are_sent, 20), by_id.values(), "releases"
            )

    runner.run(scenario())


@pytest.mark.parametrize("kind", endless_peers.ANSWERS_OF_ANY_SERVER)
def test_answers_of_the_store(vm, runner, kind):
    # Guards against interim responses, or answers on an idle connection, that
    # are queued without a limit, and against long answers of all tables.
    async def scenario():
        vm.store.answers.clear()
        vm.store.script = lambda _head: endless_peers.ANSWERS[kind]
        # Answers the calls that wait for changes.
        vm.site.store.put("op", "note", {})

        async def is_called() -> bool:
            return len(vm.store.answers) >= _STORE_CALLS

        async def is_served() -> bool:
            return (await vm.site.callers.call("/read/x")).status == 200

        async def call_store() -> None:
            try:
                await vm.site.until(is_called, 10)
            finally:
                # Its calls last as long as they make progress.
                vm.store.script = None
                vm.store.break_connections()

        await vm.run_unharmed(call_store(), [vm.store], f"store {kind}")
        await vm.site.until(is_served, 20)

    runner.run(scenario())


# Buffers of both sockets, and what a response may hold that is read whole.
_MAX_SENT_BYTES = 24 << 20
_FORWARD_TIMEOUT_S = 0.5


def _answered_by_an_upstream(
    answer: endless_peers.Endless,
) -> endless_peers.Endless:
    """Returns an answer that states that an upstream gave it."""
    line = b"200 OK\r\n"
    header = f"{forward_headers.OUTCOME_HEADER}: {forward_headers.ANSWERED}\r\n"
    begin = answer.begin.replace(line, line + header.encode(), 1)
    return dataclasses.replace(answer, begin=begin)


def _forwarder(address: str) -> forwarding.PeerForwarder:
    """Returns what forwards requests to one VM."""
    row = types.SimpleNamespace(node="vm-2", forward_address=address)
    peer = types.SimpleNamespace(row=row)
    return forwarding.PeerForwarder(
        "run",
        mock.Mock(choose=lambda *_: peer, is_near=lambda _: False),
        connection_pool.ConnectionPool(),
        dialect.UsersDialect(),
        metrics.Meters(),
        body_budget.BodyBudget(),
    )


def _make_origin(_age_s: float):
    return types.SimpleNamespace(headers=lambda: [])


@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("kind", endless_peers.ANSWERS_OF_ANY_SERVER)
def test_answers_of_other_vms(kind, is_answered):
    # Guards against a forward that reads on though its caller doesn't.
    answer = endless_peers.ANSWERS[kind]
    if is_answered:
        answer = _answered_by_an_upstream(answer)

    async def scenario():
        peer = endless_peers.EndlessPeer(lambda _head: answer)
        forwarder = _forwarder(peer.address)
        call = exchange_parts.call("a" * 16, wait_s=_FORWARD_TIMEOUT_S)
        started = clocks.monotonic()
        try:
            response = await forwarder.forward(call, started, _make_origin)
        except outcomes.GatewayError:
            pass
        else:
            if response.body is None:
                # The caller takes nothing of it.
                await asyncio.sleep(0.2)
                response.finish(False)
        async with asyncio.timeout(_FORWARD_TIMEOUT_S + _CLOSED_WITHIN_S):
            while not peer.answers or peer.answers[0].ended is None:
                await asyncio.sleep(0.02)
        assert peer.answers[0].sent < _MAX_SENT_BYTES
        peer.close()

    asyncio.run(scenario())
