"""Tests which exchanges without an answer count for a crash."""

import asyncio
import contextlib
from unittest import mock

import pytest

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import causes
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import crash_detector
from swiftstile.gateway import fingerprint
from swiftstile.gateway import model
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.gateway import unanswered
from tests import gateway_builders as builders
from tests import virtual_time

_DIGEST = fingerprint.Digest(b"d" * 16)
_OTHER = fingerprint.Digest(b"o" * 16)
_LEFT = unanswered.ExchangeEnd.ABANDONED
_BROKEN = unanswered.ExchangeEnd.BROKEN
_TIMED_OUT = unanswered.ExchangeEnd.TIMED_OUT


class _Vm:
    """A detector, and what its upstream would answer to checks."""

    def __init__(self, clock: virtual_time.Clock):
        self.clock = clock
        self.is_listening = True
        self.is_unresponsive = False
        self.reaches_others = True
        self.health_checks = 0
        self.table = suspects.SuspectTable()
        self.target_table = targets.TargetTable()
        self.target = self.register(1)
        self.detector = crash_detector.CrashDetector(
            self.table,
            self.target_table,
            self._answers,
            self._refuses,
            self._reaches_another,
            metrics.Meters(),
        )

    @property
    def address(self) -> str:
        return self.target.upstream.address

    @property
    def crashes(self) -> int:
        return self.table.crashes(_DIGEST)

    @property
    def possible_crashes(self) -> int:
        return self.table.possible_crashes(_DIGEST)

    @property
    def is_rejected(self) -> bool:
        verdict = self.table.verdict(_DIGEST, self.clock.now)
        return verdict is suspects.Verdict.REJECT

    def register(
        self,
        run: int,
        state: model.UpstreamState = model.UpstreamState.READY,
        name: str = "u-1",
    ) -> targets.Target:
        address = "127.0.0.1:9000"
        row = builders.upstream(
            name, address=address, started_ms=run, state=state
        )
        return self.target_table.put(row, self.clock.now)

    def restart(self, run: int) -> None:
        self.target = self.register(run)
        self.detector.on_registrations(self.clock.now)

    def unregister(self) -> None:
        self.target_table.mark_unregistered(self.target.id, self.clock.now)
        self.detector.on_registrations(self.clock.now)

    def send(
        self,
        how: unanswered.ExchangeEnd,
        digest: fingerprint.Digest = _DIGEST,
        lasted_s: float = 0.1,
    ) -> None:
        """Sends a request whose exchange ends now without an answer."""
        exchange = self.detector.begin(self.target, self.clock.now - lasted_s)
        self.detector.record_end(exchange, digest, how, self.clock.now)

    def receive(self, opened_ago_s: float) -> None:
        now = self.clock.now
        self.detector.on_received(self.address, now - opened_ago_s, now)

    async def _answers(self, address: str) -> bool:
        self.health_checks += 1
        if self.is_listening and not self.is_unresponsive:
            self.receive(0.0)
            return True
        return False

    async def _refuses(self, address: str) -> bool:
        await asyncio.sleep(0.03)
        return not self.is_listening

    async def _reaches_another(self, address: str) -> bool:
        return self.reaches_others


def _run(scenario) -> None:
    clock = virtual_time.Clock()
    loop = virtual_time.Loop(clock)

    async def run() -> None:
        await scenario(_Vm(clock))

    with (
        mock.patch.object(clocks, "monotonic", lambda: clock.now),
        contextlib.closing(loop),
    ):
        loop.run_until_complete(run())


def test_a_crash_counts_though_the_caller_leaves_during_the_check():
    async def scenario(vm: _Vm) -> None:
        vm.is_listening = False
        vm.send(_BROKEN)

        async def wait_for_check() -> None:
            await asyncio.shield(vm.detector.check(vm.target, vm.clock.now))

        waiting = asyncio.create_task(wait_for_check())
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert vm.crashes == 1

    _run(scenario)


def test_a_closed_unused_connection_counts_for_callers_who_left():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        await asyncio.sleep(0.2)
        vm.is_listening = False
        vm.detector.on_closed(vm.address, vm.clock.now)
        await asyncio.sleep(0.1)
        assert vm.crashes == 1

    _run(scenario)


def test_a_connection_that_a_check_opened_starts_no_other_check():
    """Each check's connection was reset, which started the next check."""
    opened = 0

    async def reset(_reader, writer) -> None:
        nonlocal opened
        opened += 1
        connections.reset_on_close(writer.transport)
        writer.transport.abort()

    async def scenario() -> None:
        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{port}"
            target_table = targets.TargetTable()
            detector = crash_detector.CrashDetector(
                suspects.SuspectTable(),
                target_table,
                mock.AsyncMock(return_value=True),
                lambda to: pool.refuses_connections(to),
                mock.AsyncMock(return_value=True),
                metrics.Meters(),
            )
            pool = connection_pool.ConnectionPool(observer=detector)
            now = clocks.monotonic()
            target = target_table.put(builders.upstream(address=address), now)
            exchange = detector.begin(target, now)
            detector.record_end(exchange, _DIGEST, _LEFT, now)
            detector.on_closed(address, now)
            await asyncio.sleep(0.3)

    asyncio.run(scenario())
    assert opened == 1


def test_a_refused_connection_counts_for_callers_who_left():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        await asyncio.sleep(0.2)
        vm.is_listening = False
        vm.detector.on_unreachable(vm.target)
        await asyncio.sleep(0.1)
        assert vm.crashes == 1

    _run(scenario)


def test_a_closed_connection_of_an_upstream_that_listens_counts_nothing():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        vm.detector.on_closed(vm.address, vm.clock.now)
        await asyncio.sleep(0.1)
        assert vm.crashes == 0

    _run(scenario)


@pytest.mark.parametrize("how", [_LEFT, _TIMED_OUT, _BROKEN])
def test_a_new_run_shows_that_an_unresponsive_upstream_crashed(how):
    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(how)
        await asyncio.sleep(3.0)
        vm.restart(2)
        assert vm.crashes == 1

    _run(scenario)


@pytest.mark.parametrize("how", [_LEFT, _TIMED_OUT, _BROKEN])
def test_a_removed_registration_is_no_crash(how):
    """Some upstreams leave so without a word, and the store may lose one."""

    async def scenario(vm: _Vm) -> None:
        vm.send(how)
        vm.unregister()
        # Requests sent just before may have reached a later process.
        await asyncio.sleep(unanswered.REGISTRATION_LAG_S)
        vm.detector.on_registrations(vm.clock.now)
        assert vm.crashes == 0

    _run(scenario)


def test_a_new_run_after_its_registration_was_removed_is_a_crash():
    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(_TIMED_OUT)
        await asyncio.sleep(2.0)
        vm.unregister()
        await asyncio.sleep(1.0)
        vm.restart(2)
        assert vm.crashes == 1

    _run(scenario)


def test_another_upstream_at_the_address_of_a_removed_one_is_no_crash():
    async def scenario(vm: _Vm) -> None:
        vm.send(_TIMED_OUT)
        vm.unregister()
        await asyncio.sleep(2.0)
        other = builders.upstream("u-9", address=vm.address, started_ms=5)
        vm.target_table.put(other, vm.clock.now)
        vm.detector.on_registrations(vm.clock.now)
        assert vm.crashes == 0
        # Its data says nothing of the process before.
        vm.receive(0.0)
        await asyncio.sleep(unanswered.REGISTRATION_LAG_S + 0.1)
        vm.receive(0.0)
        assert vm.table.outlived(_DIGEST) == 0

    _run(scenario)


def test_an_upstream_that_leaves_and_is_removed_has_not_crashed():
    async def scenario(vm: _Vm) -> None:
        vm.send(_TIMED_OUT)
        vm.register(1, model.UpstreamState.DRAINING)
        await asyncio.sleep(2.0)
        vm.unregister()
        assert vm.crashes == 0
        vm.restart(2)
        assert vm.crashes == 0

    _run(scenario)


def test_an_exchange_in_progress_at_a_restart_counts_when_it_ends():
    async def scenario(vm: _Vm) -> None:
        exchange = vm.detector.begin(vm.target, vm.clock.now)
        await asyncio.sleep(3.0)
        vm.restart(2)
        assert vm.crashes == 0
        vm.detector.record_end(exchange, _DIGEST, _TIMED_OUT, vm.clock.now)
        assert vm.crashes == 1

    _run(scenario)


def test_the_report_of_another_vm_counts_for_callers_who_left():
    async def scenario(vm: _Vm) -> None:
        other = _Vm(vm.clock)
        other.is_listening = False
        vm.send(_LEFT)
        other.send(_BROKEN, _OTHER)
        other.detector.check(other.target, vm.clock.now)
        await asyncio.sleep(0.1)
        reported = other.table.report(vm.clock.now)
        vm.detector.on_reported(reported, vm.clock.now)
        assert vm.crashes == 1

    _run(scenario)


def test_data_on_an_older_connection_shows_that_an_upstream_lives():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        await asyncio.sleep(1.0)
        vm.receive(opened_ago_s=5.0)
        vm.restart(2)
        assert vm.crashes == 0

    _run(scenario)


def test_data_on_a_later_connection_may_be_from_the_next_run():
    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(_LEFT)
        await asyncio.sleep(2.5)
        vm.receive(opened_ago_s=0.1)
        await asyncio.sleep(0.5)
        vm.restart(2)
        assert vm.crashes == 1

    _run(scenario)


def test_an_upstream_lives_if_it_serves_and_no_restart_becomes_known():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        await asyncio.sleep(1.0)
        vm.receive(opened_ago_s=0.1)
        await asyncio.sleep(unanswered.REGISTRATION_LAG_S + 0.1)
        vm.restart(2)
        assert vm.crashes == 0

    _run(scenario)


def test_requests_to_an_upstream_that_had_stopped_are_no_suspects():
    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(_TIMED_OUT, _OTHER, lasted_s=2.0)
        vm.send(_TIMED_OUT, _DIGEST, lasted_s=0.5)
        await asyncio.sleep(3.0)
        vm.restart(2)
        assert vm.table.crashes(_OTHER) == 1
        assert vm.crashes == 0

    _run(scenario)


def test_one_exchange_counts_for_one_crash():
    async def scenario(vm: _Vm) -> None:
        vm.is_listening = False
        vm.send(_BROKEN)
        vm.detector.check(vm.target, vm.clock.now)
        await asyncio.sleep(2.0)
        vm.is_listening = True
        vm.restart(2)
        assert vm.crashes == 1

    _run(scenario)


def test_only_upstreams_that_deliver_no_data_are_followed_up():
    async def scenario(vm: _Vm) -> None:
        vm.send(_LEFT)
        await asyncio.sleep(unanswered.AFTEREFFECT_S + 0.01)
        vm.receive(0.0)
        await asyncio.sleep(1.0)
        assert vm.health_checks == 0
        vm.send(_LEFT)
        await asyncio.sleep(1.0)
        assert vm.health_checks == 1

    _run(scenario)


def test_callers_who_leave_cause_few_health_checks():
    async def scenario(vm: _Vm) -> None:
        for number in range(100):
            digest = fingerprint.Digest(number.to_bytes(16, "big"))
            vm.send(_LEFT, digest)
            await asyncio.sleep(0.02)
        await asyncio.sleep(2.0)
        needed_s = 2.0 + unanswered.AFTEREFFECT_S
        most = needed_s / crash_detector.FOLLOW_UP_S + 1
        assert 0 < vm.health_checks <= most

    _run(scenario)


def test_an_upstream_is_not_unresponsive_if_no_other_one_answers():
    """The VM may have lost its links; the upstream may crash much later."""

    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.reaches_others = False
        vm.send(_LEFT)
        await asyncio.sleep(4.0)
        vm.restart(2)
        assert vm.crashes == 0

    _run(scenario)


def test_follow_ups_find_crashes_after_the_caller_left():
    async def scenario(vm: _Vm) -> None:
        for run in (1, 2):
            vm.send(_LEFT)
            await asyncio.sleep(0.2)
            vm.is_listening = run == 1
        await asyncio.sleep(0.5)
        assert vm.crashes == 1

    _run(scenario)


async def _end_while_leaving(vm: _Vm, run: int) -> None:
    """The process ends after it stated that it is leaving."""
    vm.target.announce_leaving(vm.clock.now)
    vm.is_listening = False
    vm.send(_BROKEN)
    await vm.detector.check(vm.target, vm.clock.now)
    vm.is_listening = True
    vm.restart(run + 1)


async def _be_replaced(vm: _Vm, run: int) -> None:
    """Another upstream follows at the address of one that was silent."""
    vm.is_unresponsive = True
    vm.reaches_others = False
    vm.send(_TIMED_OUT)
    await asyncio.sleep(2.0)
    vm.is_unresponsive = False
    vm.unregister()
    vm.target = vm.register(run, name=f"u-{run + 1}")
    vm.detector.on_registrations(vm.clock.now)


async def _stay_silent(vm: _Vm, run: int) -> None:
    """Nothing is heard of the process any more."""
    vm.is_unresponsive = True
    vm.send(_LEFT)
    await asyncio.sleep(1.2)
    vm.is_unresponsive = False
    vm.target = vm.register(run, name=f"u-{run + 1}")


async def _break_and_serve(vm: _Vm, run: int) -> None:
    """Connections break and new ones are served, under the same run."""
    vm.send(_BROKEN)
    await asyncio.sleep(1.0)
    vm.receive(opened_ago_s=0.1)
    await asyncio.sleep(unanswered.REGISTRATION_LAG_S + 0.1)
    vm.receive(opened_ago_s=0.1)
    vm.restart(run + 1)


@pytest.mark.parametrize(
    "end", [_end_while_leaving, _be_replaced, _stay_silent, _break_and_serve]
)
def test_a_request_is_rejected_whatever_the_ends_of_upstreams_look_like(end):
    """Guards against requests that end upstreams in ways that aren't evidence.

    None of these ends is certain, so it takes five.
    """

    async def scenario(vm: _Vm) -> None:
        for run in range(1, 6):
            assert not vm.is_rejected
            await end(vm, run)
            await asyncio.sleep(1.0)
        assert vm.possible_crashes == 5
        assert vm.crashes == 0
        assert vm.is_rejected

    _run(scenario)


def test_a_request_to_an_upstream_that_another_one_silenced_is_presumed():
    """Guards against a wrong guess of which request silenced an upstream."""

    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.reaches_others = False
        vm.send(_TIMED_OUT, _OTHER, lasted_s=2.0)
        vm.send(_TIMED_OUT, _DIGEST, lasted_s=0.5)
        await asyncio.sleep(3.0)
        vm.restart(2)
        assert vm.possible_crashes == 1

    _run(scenario)


def test_a_presumed_crash_at_one_vm_is_no_proof_at_another():
    """Guards against presumptions that confirm each other."""

    async def scenario(vm: _Vm) -> None:
        other = _Vm(vm.clock)
        other.is_unresponsive = True
        other.send(_LEFT, _OTHER)
        await asyncio.sleep(1.2)
        assert other.table.possible_crashes(_OTHER) == 1
        vm.send(_LEFT)
        # Two crashes, so that the suspect is reported.
        other.table.record_presumed_crash(
            _OTHER, causes.CrashId(1), vm.clock.now, vm.clock.now
        )
        reported = other.table.report(vm.clock.now)
        vm.detector.on_reported(reported, vm.clock.now)
        vm.table.receive(reported, vm.clock.now)
        assert vm.crashes == 0
        assert vm.table.possible_crashes(_OTHER) == 2
        assert vm.table.crashes(_OTHER) == 0

    _run(scenario)


def test_an_end_that_is_found_later_confirms_a_presumed_crash():
    """Guards against certain crashes that count as presumed ones only."""

    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(_TIMED_OUT)
        await asyncio.sleep(3.0)
        assert (vm.crashes, vm.possible_crashes) == (0, 1)
        vm.restart(2)
        assert (vm.crashes, vm.possible_crashes) == (1, 1)

    _run(scenario)


def test_an_unknown_fate_does_not_count_for_a_request():
    """Guards against lost evidence that outweighs crashes."""

    async def scenario(vm: _Vm) -> None:
        crash = causes.CrashId(1)
        vm.table.record_crash(_DIGEST, crash, 0.1, vm.clock.now)
        vm.is_unresponsive = True
        vm.reaches_others = False
        vm.send(_LEFT)
        await asyncio.sleep(unanswered.RETENTION_S + 1.0)
        vm.detector.on_registrations(vm.clock.now)
        assert vm.table.outlived(_DIGEST) == 0

    _run(scenario)


def test_an_unknown_fate_is_logged_otherwise_than_an_outlived_request():
    """Guards against reading lost evidence as proof that an upstream lived."""
    reasons = []

    async def scenario(vm: _Vm) -> None:
        vm.is_unresponsive = True
        vm.send(_LEFT)
        await asyncio.sleep(unanswered.RETENTION_S + 1.0)
        vm.detector.on_registrations(vm.clock.now)

    sink = logs.logger.add(
        lambda line: reasons.append(line.record["extra"].get("reason"))
    )
    try:
        _run(scenario)
    finally:
        logs.logger.remove(sink)
    assert unanswered.Fate.UNKNOWN.value in reasons
    assert unanswered.Fate.OUTLIVED.value not in reasons


def test_exchanges_without_an_answer_are_bounded():
    async def scenario(vm: _Vm) -> None:
        for number in range(3 * unanswered.MAX_ENDED):
            digest = fingerprint.Digest(number.to_bytes(16, "big"))
            vm.send(_LEFT, digest)
        await asyncio.sleep(3.0)
        vm.restart(2)
        assert len(vm.table) <= suspects.MAX_SUSPECTS + 1

    exchanges = unanswered.UnansweredExchanges(lambda *_: None)
    target = builders.target_table(builders.upstream()).by_id["u-1"]
    for _ in range(3 * unanswered.MAX_ENDED):
        exchange = exchanges.begin(target, 1.0)
        exchanges.end(exchange, _DIGEST, _LEFT, 2.0)
    assert len(exchanges) == unanswered.MAX_ENDED
    _run(scenario)
