"""Simulates exchanges without an answer at many VMs, in virtual time.

Runs the detectors and suspect tables of all VMs. Connections, upstreams, their
registrations and the reports between VMs are modelled; no network is used.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import itertools
import random
from unittest import mock

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import causes
from swiftstile.gateway import connection_pool
from swiftstile.gateway import crash_detector
from swiftstile.gateway import fingerprint
from swiftstile.gateway import model
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.gateway import unanswered
from tests import gateway_builders
from tests import virtual_time

__all__ = [
    "Notice",
    "Return",
    "Scenario",
    "Simulation",
    "random_crash_scenario",
    "random_scenario",
]

_REPORT_INTERVAL_S = 0.35
_URGENT_INTERVAL_S = 0.05
# Time until a VM's connection check or health check is answered.
_CHECK_S = 0.03
# How long a VM avoids an upstream that failed.
_PENALTY_S = 0.5
# Initial period without crashes and crashing requests.
_WARM_UP_S = 2.0
# Time until the store removes the registration of an ended upstream.
_EXPIRY_S = 2.0
# Requests that wait for an unresponsive upstream time out.
_TIMEOUT_S = 2.0


class Notice(enum.Enum):
    """How upstreams state before a crash that they are leaving."""

    NONE = "none"
    REGISTRATION = "registration"
    ANSWERS = "answers"


class Return(enum.Enum):
    """As what an upstream is back after a crash."""

    SAME = "same"
    # Its registration doesn't tell one run from the next.
    SAME_WITHOUT_START = "same-without-start"
    NEW_ID = "new-id"
    # At another address. The old one is unresponsive if the upstream was.
    NEW_ADDRESS = "new-address"


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation.

    Attributes:
        seed: Random seed.
        vms: Number of gateway VMs.
        upstreams: Number of upstreams of one service.
        length_s: Length of the simulation.
        crashers: Callers that each repeat a request that crashes its upstream.
        crash_after_s: Least and most time from its start to the crash.
        unresponsive_share: Share of all crashes after which connections stay
            open.
        downtime_s: Least and most time until an upstream is back.
        registration_lag_s: Time until VMs know of its new run.
        leaves_after_s: Least and most time until callers of crashing requests
            leave; None if they wait.
        pause_s: Least and most time between two attempts of a caller.
        per_s: Ordinary requests/s with a path of their own.
        returning: Callers that repeat one ordinary request, like crashers do.
        impatient: Callers that do so and always leave before the answer.
        impatient_pause_s: Time between their attempts.
        hot_per_s: Requests/s of one ordinary request of many callers.
        crashes_per_s: Other crashes per second, of all upstreams.
        freezes_per_s: Upstreams that don't answer for a while, per second.
        domain_loss_at: When a third of the upstreams stops answering; None if
            never.
        exits_per_s: Planned exits per second.
        unannounced_exits_per_s: Those of upstreams whose registration is
            removed first, and which are replaced by others at their addresses.
        lapses_per_s: Registrations per second that the store loses for a while.
        loss_rate: Fraction of reports that are lost.
        notice: How upstreams state before the crashes by requests that they
            are leaving.
        notice_s: How long before.
        returns_as: As what upstreams are back after a crash.
        drop_share: Share of the crashing requests that an upstream drops when
            their caller leaves.
    """

    seed: int = 1
    vms: int = 4
    upstreams: int = 6
    length_s: float = 22.0
    crashers: int = 0
    crash_after_s: tuple[float, float] = (0.05, 0.4)
    unresponsive_share: float = 0.0
    downtime_s: tuple[float, float] = (2.0, 2.5)
    registration_lag_s: float = 0.5
    leaves_after_s: tuple[float, float] | None = None
    pause_s: tuple[float, float] = (0.4, 0.4)
    per_s: float = 45.0
    returning: int = 0
    impatient: int = 0
    impatient_pause_s: float = 0.4
    hot_per_s: float = 0.0
    crashes_per_s: float = 0.0
    freezes_per_s: float = 0.0
    domain_loss_at: float | None = None
    exits_per_s: float = 0.0
    unannounced_exits_per_s: float = 0.0
    lapses_per_s: float = 0.0
    loss_rate: float = 0.0
    notice: Notice = Notice.NONE
    notice_s: float = 0.3
    returns_as: Return = Return.SAME
    drop_share: float = 0.0


def random_crash_scenario(seed: int) -> Scenario:
    """Returns a site with crashing requests: any end, with any trouble."""
    draw = random.Random(seed)
    leaves_after_s = draw.choice([None, None, (0.05, 0.3), (0.2, 0.6)])
    return Scenario(
        seed=seed,
        vms=draw.choice([2, 4, 8, 12]),
        upstreams=draw.choice([6, 9, 12]),
        length_s=30.0,
        crashers=draw.choice([1, 2, 5]),
        unresponsive_share=draw.choice([0, 0.5, 1.0]),
        downtime_s=draw.choice([(0.15, 0.3), (2.0, 2.5), (1.0, 6.0)]),
        registration_lag_s=draw.choice([0.1, 0.5, 1.2, 4.0]),
        leaves_after_s=leaves_after_s,
        pause_s=draw.choice([(0.1, 0.2), (0.4, 0.4), (1.0, 3.0)]),
        per_s=draw.choice([5, 45]),
        hot_per_s=20.0,
        loss_rate=draw.choice([0, 0, 0.3]),
        notice=draw.choice(list(Notice)),
        notice_s=draw.choice([0.05, 0.3, 1.0]),
        returns_as=draw.choice(list(Return)),
        drop_share=draw.choice([0, 0.3, 0.6]) if leaves_after_s else 0.0,
    )


def random_scenario(seed: int) -> Scenario:
    """Returns a site without crashing requests, and its disturbances."""
    draw = random.Random(seed)
    upstreams = draw.randint(3, 12)
    return Scenario(
        seed=seed,
        upstreams=upstreams,
        length_s=12.0,
        vms=draw.choice([1, 2, 3, 4, 8, 12]),
        unresponsive_share=draw.choice([0, 0.3, 1.0]),
        downtime_s=draw.choice([(0.15, 0.3), (2.0, 2.5), (1.0, 6.0)]),
        registration_lag_s=draw.choice([0.1, 0.5, 1.2]),
        per_s=draw.choice([5, 20, 45]),
        returning=draw.randint(0, 4),
        impatient=draw.randint(0, 4),
        impatient_pause_s=draw.choice([0.01, 0.1, 0.4, 3.0]),
        hot_per_s=draw.choice([0, 10, 40]),
        crashes_per_s=draw.choice([0, 0.03, 0.07, 0.15]) * upstreams,
        freezes_per_s=draw.choice([0, 0, 0.05]) * upstreams,
        domain_loss_at=draw.choice([None, None, 4.0]),
        exits_per_s=draw.choice([0, 0, 0.03]) * upstreams,
        loss_rate=draw.choice([0, 0.1, 0.3]),
    )


@dataclasses.dataclass
class _Connection:
    """A connection of a VM to the current run of an upstream."""

    opened_at: float
    run: int


class _Upstream:
    """An upstream and the requests in progress at its current run."""

    def __init__(self, number: int):
        self.row = gateway_builders.upstream(
            f"u-{number}", address=f"10.0.0.1:{number + 1}", started_ms=1
        )
        self.run = 1
        self.is_listening = True
        self.is_unresponsive = False
        # Requests in progress, and those that a frozen run will answer.
        self.working: dict[int, _Send] = {}
        self.delayed: list[_Send] = []

    @property
    def address(self) -> str:
        return self.row.address


@dataclasses.dataclass
class _Send:
    """One exchange of a VM."""

    vm: "_Vm"
    upstream: _Upstream
    connection: _Connection
    digest: fingerprint.Digest
    exchange: unanswered.Exchange
    run: int
    is_open: bool = True


class _Vm:
    """One VM: its suspect table, detector and idle connections."""

    def __init__(self, simulation: "Simulation"):
        self.table = suspects.SuspectTable()
        self.target_table = targets.TargetTable()
        self.detector = crash_detector.CrashDetector(
            self.table,
            self.target_table,
            lambda address: simulation.answers(self, address),
            simulation.refuses_connections,
            simulation.reaches_another,
            metrics.Meters(),
        )
        self.idle: dict[str, list[_Connection]] = collections.defaultdict(list)
        self.avoided_until: dict[str, float] = {}


class Simulation:
    """Runs one simulation.

    Attributes:
        refused: Ordinary requests that were refused as crashing upstreams.
        begun_at: Times at which upstreams began each crashing request.
        crashed_at: Times at which each of them crashed an upstream.
        report_bytes: Largest size of the suspects in a report.
    """

    def __init__(self, scenario: Scenario):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._clock = virtual_time.Clock()
        self._upstreams = [_Upstream(n) for n in range(scenario.upstreams)]
        self._by_address = {one.address: one for one in self._upstreams}
        # Addresses that no upstream uses any more, and whether connections to
        # them are refused.
        self._left_addresses: dict[str, bool] = {}
        self._vms: list[_Vm] = []
        # Callers that wait for the end of an exchange.
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._crashers: set[fingerprint.Digest] = set()
        self.refused: list[str] = []
        self.begun_at: dict[fingerprint.Digest, list[float]] = {}
        self.crashed_at: dict[fingerprint.Digest, list[float]] = {}
        self.answered = 0

    async def answers(self, vm: "_Vm", address: str) -> bool:
        """Returns whether an upstream answers a health check of a VM."""
        opened_at, upstream = self._clock.now, self._by_address[address]
        await asyncio.sleep(_CHECK_S)
        if address in self._left_addresses or upstream.is_unresponsive:
            await asyncio.sleep(connection_pool.CONNECT_TIMEOUT_S)
            return False
        if upstream.is_listening:
            vm.detector.on_received(address, opened_at, self._clock.now)
        return upstream.is_listening

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether an address refuses connections."""
        await asyncio.sleep(_CHECK_S)
        if address in self._left_addresses:
            return self._left_addresses[address]
        return not self._by_address[address].is_listening

    async def reaches_another(self, address: str) -> bool:
        """Returns whether any upstream but the one at an address answers."""
        await asyncio.sleep(_CHECK_S)
        return any(
            one.is_listening and not one.is_unresponsive
            for one in self._upstreams
            if one.address != address
        )

    def run(self) -> None:
        """Runs the simulation to its end."""
        loop = virtual_time.Loop(self._clock)
        logs.logger.disable("swiftstile")
        with (
            mock.patch.object(clocks, "monotonic", lambda: self._clock.now),
            contextlib.closing(loop),
        ):
            try:
                loop.run_until_complete(self._run())
            finally:
                logs.logger.enable("swiftstile")

    def begun_late(self, bound_s: float = 3.0) -> int:
        """Returns the most requests begun after a request's time limit.

        Args:
            bound_s: Time limit, counted from the request's third crash.
        """
        most = 0
        for digest, crashes in self.crashed_at.items():
            if len(crashes) >= causes.MIN_CRASHES:
                limit = crashes[causes.MIN_CRASHES - 1] + bound_s
                late = sum(at > limit for at in self.begun_at[digest])
                most = max(most, late)
        return most

    async def _run(self) -> None:
        scenario = self._scenario
        self._vms = [_Vm(self) for _ in range(scenario.vms)]
        for upstream in self._upstreams:
            self._register(upstream)
        for vm in self._vms:
            self._spawn(self._report(vm))
        self._spawn(self._send_ordinary())
        self._spawn(self._send_hot())
        for number in range(scenario.crashers):
            digest = _digest(f"crash-{number}")
            self._crashers.add(digest)
            self._spawn(self._call_crashing(digest))
        for number in range(scenario.returning):
            name = f"returning-{number}"
            self._spawn(self._call_again(name, None))
        for number in range(scenario.impatient):
            name = f"impatient-{number}"
            self._spawn(self._call_again(name, (0.01, 0.04)))
        for rate, act in (
            (scenario.crashes_per_s, self._crash_any),
            (scenario.freezes_per_s, self._freeze_any),
            (scenario.exits_per_s, self._exit_any),
        ):
            self._spawn(self._disturb(rate, act))
        for rate, act in (
            (scenario.unannounced_exits_per_s, self._exit_unannounced),
            (scenario.lapses_per_s, self._lose_registration),
        ):
            # A task without an effect would reorder others at the same time.
            if rate:
                self._spawn(self._disturb(rate, act))
        if scenario.domain_loss_at is not None:
            asyncio.get_running_loop().call_later(
                scenario.domain_loss_at, self._lose_domain
            )
        await asyncio.sleep(scenario.length_s)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def _spawn(self, coroutine: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callers.

    async def _send_ordinary(self) -> None:
        for number in itertools.count():
            await asyncio.sleep(self._random.expovariate(self._scenario.per_s))
            name = f"ordinary-{number}"
            self._spawn(self._attempt(name, _digest(name), None))

    async def _send_hot(self) -> None:
        while self._scenario.hot_per_s:
            await asyncio.sleep(
                self._random.expovariate(self._scenario.hot_per_s)
            )
            self._spawn(self._attempt("hot", _digest("hot"), None))

    async def _call_crashing(self, digest: fingerprint.Digest) -> None:
        await asyncio.sleep(_WARM_UP_S + self._random.random())
        while True:
            await self._attempt(None, digest, self._scenario.leaves_after_s)
            await asyncio.sleep(self._random.uniform(*self._scenario.pause_s))

    async def _call_again(
        self, name: str, leaves_after_s: tuple[float, float] | None
    ) -> None:
        await asyncio.sleep(self._random.random())
        pause_s = self._random.uniform(*self._scenario.pause_s)
        if leaves_after_s is not None:
            pause_s = self._scenario.impatient_pause_s
        while True:
            await self._attempt(name, _digest(name), leaves_after_s)
            await asyncio.sleep(pause_s)

    async def _attempt(
        self,
        name: str | None,
        digest: fingerprint.Digest,
        leaves_after_s: tuple[float, float] | None,
    ) -> None:
        """One attempt of a caller; `name` is None for a crashing request."""
        vm = self._random.choice(self._vms)
        now = self._clock.now
        if vm.table.verdict(digest, now) is suspects.Verdict.REJECT:
            if name is not None:
                self.refused.append(name)
            return
        send = self._send(vm, digest)
        if send is None:
            return
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[id(send)] = ended
        wait_s, how = _TIMEOUT_S, unanswered.ExchangeEnd.TIMED_OUT
        if leaves_after_s is not None:
            wait_s = self._random.uniform(*leaves_after_s)
            how = unanswered.ExchangeEnd.ABANDONED
        try:
            await asyncio.wait_for(ended, wait_s)
        except TimeoutError:
            self._end(send, how)
        finally:
            del self._waiting[id(send)]

    # Exchanges.

    def _send(self, vm: _Vm, digest: fingerprint.Digest) -> _Send | None:
        """Sends a request to an upstream, if any can be reached."""
        now = self._clock.now
        chosen = [
            one
            for one in vm.target_table.by_id.values()
            if one.leaving_since is None
            and vm.avoided_until.get(one.upstream.address, 0.0) <= now
        ]
        if not chosen:
            return None
        target = self._random.choice(chosen)
        upstream = self._by_address[target.upstream.address]
        idle = vm.idle[upstream.address]
        if idle:
            connection = idle.pop()
        elif (
            upstream.is_listening
            and target.upstream.address == upstream.address
        ):
            connection = _Connection(now, upstream.run)
        else:
            vm.avoided_until[upstream.address] = now + _PENALTY_S
            vm.detector.on_unreachable(target)
            return None
        send = _Send(
            vm,
            upstream,
            connection,
            digest,
            vm.detector.begin(target, now),
            upstream.run,
        )
        upstream.working[id(send)] = send
        if not upstream.is_unresponsive:
            self._begin(send)
        return send

    def _begin(self, send: _Send) -> None:
        """Begins a request at its upstream."""
        loop = asyncio.get_running_loop()
        if send.digest in self._crashers:
            self.begun_at.setdefault(send.digest, []).append(self._clock.now)
            loop.call_later(
                self._random.uniform(*self._scenario.crash_after_s),
                self._crash_by,
                send,
            )
            return
        loop.call_later(self._random.uniform(0.05, 0.3), self._answer, send)

    def _answer(self, send: _Send) -> None:
        if not send.is_open or send.run != send.upstream.run:
            return
        if send.upstream.is_unresponsive:
            send.upstream.delayed.append(send)
            return
        send.is_open = False
        send.upstream.working.pop(id(send), None)
        now, vm = self._clock.now, send.vm
        address = send.upstream.address
        vm.detector.on_received(address, send.connection.opened_at, now)
        vm.detector.discard(send.exchange)
        vm.table.record_response(send.digest, now)
        vm.idle[address].append(send.connection)
        self.answered += 1
        self._notify(send)

    def _end(self, send: _Send, how: unanswered.ExchangeEnd) -> None:
        """Ends an exchange without an answer; its connection is closed."""
        if not send.is_open:
            return
        send.is_open = False
        now, vm = self._clock.now, send.vm
        is_dropped = (
            self._scenario.drop_share > 0
            and how is unanswered.ExchangeEnd.ABANDONED
            and self._random.random() < self._scenario.drop_share
        )
        if send.digest not in self._crashers or is_dropped:
            # The upstream stops when the connection is closed.
            send.upstream.working.pop(id(send), None)
        if how is not unanswered.ExchangeEnd.ABANDONED:
            vm.avoided_until[send.upstream.address] = now + _PENALTY_S
        vm.detector.record_end(send.exchange, send.digest, how, now)
        if how is unanswered.ExchangeEnd.BROKEN:
            vm.detector.check(send.exchange.target, now)
        self._notify(send)

    def _notify(self, send: _Send) -> None:
        ended = self._waiting.get(id(send))
        if ended is not None and not ended.done():
            ended.set_result(None)

    # Upstreams.

    def _crash_by(self, send: _Send) -> None:
        """Lets a request crash its upstream, maybe after a notice."""
        notice = self._scenario.notice
        if notice is Notice.NONE or id(send) not in send.upstream.working:
            self._crash_now(send)
            return
        if send.run == send.upstream.run:
            self._give_notice(send.upstream, notice)
            asyncio.get_running_loop().call_later(
                self._scenario.notice_s, self._crash_now, send
            )

    def _give_notice(self, upstream: _Upstream, notice: Notice) -> None:
        now = self._clock.now
        leaving = gateway_builders.upstream(
            upstream.row.id,
            state=model.UpstreamState.DRAINING,
            address=upstream.address,
            started_ms=upstream.row.started_ms,
        )
        for vm in self._vms:
            target = vm.target_table.by_id.get(upstream.row.id)
            if target is None:
                continue
            if notice is Notice.REGISTRATION:
                vm.target_table.put(leaving, now)
                vm.detector.on_registrations(now)
            else:
                target.announce_leaving(now)

    def _crash_now(self, send: _Send) -> None:
        upstream = send.upstream
        if send.run != upstream.run or upstream.is_unresponsive:
            return
        if id(send) not in upstream.working:
            return
        for other in upstream.working.values():
            if other.digest in self._crashers:
                times = self.crashed_at.setdefault(other.digest, [])
                times.append(self._clock.now)
        self._crash(upstream)

    def _crash(self, upstream: _Upstream) -> None:
        downtime_s = self._random.uniform(*self._scenario.downtime_s)
        loop = asyncio.get_running_loop()
        if self._random.random() < self._scenario.unresponsive_share:
            upstream.is_unresponsive = True
            loop.call_later(downtime_s, self._end_process, upstream, 0.0)
        else:
            self._end_process(upstream, downtime_s)

    def _end_process(self, upstream: _Upstream, downtime_s: float) -> None:
        """Ends a process, which closes its connections, and restarts it."""
        was_closed = not upstream.is_unresponsive
        upstream.is_listening = upstream.is_unresponsive = False
        upstream.run += 1
        working, upstream.working = upstream.working, {}
        upstream.delayed.clear()
        for vm in self._vms:
            if vm.idle.pop(upstream.address, None):
                vm.detector.on_closed(upstream.address, self._clock.now)
        for send in working.values():
            self._end(send, unanswered.ExchangeEnd.BROKEN)
        asyncio.get_running_loop().call_later(
            max(downtime_s, 0.01), self._restart, upstream, was_closed
        )

    def _restart(self, upstream: _Upstream, was_closed: bool) -> None:
        upstream.is_listening = True
        if self._scenario.returns_as is not Return.SAME:
            self._replace(upstream, was_closed)
            return
        row = {"started_ms": upstream.run, "address": upstream.address}
        upstream.row = gateway_builders.upstream(upstream.row.id, **row)
        asyncio.get_running_loop().call_later(
            self._scenario.registration_lag_s, self._register, upstream
        )

    def _replace(self, upstream: _Upstream, was_closed: bool) -> None:
        """Lets an upstream be back otherwise than as a known next run.

        Args:
            upstream: The upstream.
            was_closed: Whether its connections were closed at its end.
        """
        returns_as, name = self._scenario.returns_as, upstream.row.id
        address = upstream.address
        if returns_as is not Return.SAME_WITHOUT_START:
            name = f"{name.partition('/')[0]}/{upstream.run}"
            asyncio.get_running_loop().call_later(
                _EXPIRY_S, self._unregister_id, upstream.row.id
            )
        if returns_as is Return.NEW_ADDRESS:
            host = "10.0.0.2" if upstream.run % 2 else "10.0.0.3"
            address = f"{host}:{address.rpartition(':')[2]}"
            self._left_addresses[upstream.address] = was_closed
            self._left_addresses.pop(address, None)
            self._by_address[address] = upstream
        upstream.row = gateway_builders.upstream(name, address=address)
        asyncio.get_running_loop().call_later(
            self._scenario.registration_lag_s, self._register, upstream
        )

    def _unregister_id(self, name: model.UpstreamId) -> None:
        now = self._clock.now
        for vm in self._vms:
            vm.target_table.mark_unregistered(name, now)
            vm.detector.on_registrations(now)

    def _register(self, upstream: _Upstream) -> None:
        now = self._clock.now
        for vm in self._vms:
            vm.target_table.put(upstream.row, now)
            vm.detector.on_registrations(now)

    async def _disturb(self, per_s: float, act) -> None:
        await asyncio.sleep(_WARM_UP_S)
        while per_s:
            await asyncio.sleep(self._random.expovariate(per_s))
            up = [
                one
                for one in self._upstreams
                if one.is_listening and not one.is_unresponsive
            ]
            if len(up) > 1:
                act(self._random.choice(up))

    def _crash_any(self, upstream: _Upstream) -> None:
        self._crash(upstream)

    def _freeze_any(self, upstream: _Upstream) -> None:
        """Stops an upstream for a while; it goes on where it was."""
        upstream.is_unresponsive = True
        asyncio.get_running_loop().call_later(
            self._random.uniform(0.3, 4.0), self._thaw, upstream, upstream.run
        )

    def _thaw(self, upstream: _Upstream, run: int) -> None:
        if upstream.run != run:
            return
        upstream.is_unresponsive = False
        delayed, upstream.delayed = upstream.delayed, []
        for send in delayed:
            self._answer(send)
        for send in list(upstream.working.values()):
            self._begin(send)

    def _exit_any(self, upstream: _Upstream) -> None:
        """Lets an upstream leave as planned; it restarts."""
        row = {"started_ms": upstream.run, "address": upstream.address}
        leaving = gateway_builders.upstream(
            upstream.row.id, state=model.UpstreamState.DRAINING, **row
        )
        for vm in self._vms:
            vm.target_table.put(leaving, self._clock.now)
        asyncio.get_running_loop().call_later(
            2.0, self._end_process, upstream, 0.5
        )

    def _unregister(self, upstream: _Upstream) -> None:
        now = self._clock.now
        for vm in self._vms:
            vm.target_table.mark_unregistered(upstream.row.id, now)
            vm.detector.on_registrations(now)

    def _exit_unannounced(self, upstream: _Upstream) -> None:
        """Lets an upstream leave; another one follows at its address."""
        self._unregister(upstream)
        upstream.row = gateway_builders.upstream(
            f"{upstream.row.id}-{upstream.run}", address=upstream.address
        )
        asyncio.get_running_loop().call_later(
            2.0, self._end_process, upstream, 0.5
        )

    def _lose_registration(self, upstream: _Upstream) -> None:
        """Lets the store lose a registration, which is back after a while."""
        self._unregister(upstream)
        asyncio.get_running_loop().call_later(2.0, self._register, upstream)

    def _lose_domain(self) -> None:
        """Lets a third of the upstreams stop answering at the same time."""
        downtime_s = self._random.uniform(3.0, 6.0)
        for upstream in self._upstreams[::3]:
            upstream.is_unresponsive = True
            asyncio.get_running_loop().call_later(
                downtime_s, self._end_process, upstream, 0.0
            )

    # Reports.

    async def _report(self, vm: _Vm) -> None:
        await asyncio.sleep(self._random.random() * _REPORT_INTERVAL_S)
        sent_at, known = float("-inf"), ()
        while True:
            now = self._clock.now
            reported = vm.table.report(now)
            urgent = tuple(
                sorted(
                    (entry.digest, len(entry.crashes))
                    for entry in reported
                    if entry.is_urgent
                )
            )
            if now - sent_at >= _REPORT_INTERVAL_S or urgent != known:
                sent_at, known = now, urgent
                self._deliver(vm, reported, now)
            await asyncio.sleep(_URGENT_INTERVAL_S)

    def _deliver(self, vm: _Vm, reported, now: float) -> None:
        for other in self._vms:
            if other is vm or self._random.random() < self._scenario.loss_rate:
                continue
            asyncio.get_running_loop().call_later(
                self._random.uniform(0.001, 0.02),
                self._receive,
                other,
                reported,
                now,
            )

    @staticmethod
    def _receive(vm: _Vm, reported, sent_at: float) -> None:
        vm.table.receive(reported, sent_at)
        vm.detector.on_reported(reported, sent_at)


def _digest(name: str) -> fingerprint.Digest:
    return fingerprint.digest("POST", "a.example", f"/{name}", "caller", b"")
