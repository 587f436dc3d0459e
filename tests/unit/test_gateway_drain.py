"""No requests are sent to a leaving upstream after its drain time.

These tests guard against lookups that reach upstreams 2.74 s after these
announced that they are leaving, where 2.5 s are allowed. It was seen while the
leader was partitioned from the store and so moved no keys. Each VM ends its
sends at a time that it determines itself; the tests cover cases in which this
time was too late or wasn't enforced.
"""

import asyncio

import msgspec
import pytest

from swiftstile import clocks
from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import coldstart
from swiftstile.gateway import follow
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import interfaces
from swiftstile.gateway import key_load
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import owners
from swiftstile.gateway import permit_messages
from swiftstile.gateway import permits
from swiftstile.gateway import registry
from swiftstile.gateway import targets
from tests import assigner_parts
from tests import gateway_builders as builders

_DRAIN_S = 2.5
# Transfer time of a request that is queued behind others on a slow link.
_ON_ITS_WAY_S = 0.1
_KEY = 100


class _Vm:
    """A VM whose keys all belong to an upstream of another domain.

    The arbiter in that domain grants every request for a permit, like one that
    hasn't learned yet that the upstream is leaving.

    Attributes:
        requested: Requests that the arbiter received.
    """

    def __init__(self):
        parts = assigner_parts.Parts()
        meters = metrics.Meters()
        self.target_table = parts.target_table
        self._put(model.UpstreamState.READY, 0.0)
        parts.start(leaving=())
        row = builders.node_row("vm-9", domain=builders.AWAY)
        peer = builders.peer(row, builders.report(row), clocks.monotonic() + 60)
        parts.peers.by_node[row.node] = peer
        self.requested: list[permit_messages.PermitRequest] = []
        self._peers = parts.peers
        self._peers.send_permit = self._permit
        gate = gate_lib.Gate(
            admission.AdmissionController(
                self.target_table, builders.HOME, _DRAIN_S
            ),
            lambda waiter: None,
        )
        arbiter = arbiter_lib.Arbiter(
            self._peers, gate, self.target_table, lambda: False, meters
        )
        self.gate = gate
        self.permits = permits.PermitClient(
            self._peers,
            gate,
            arbiter,
            self.target_table,
            meters,
            arbiter_selection.ArbiterSelector(
                self._peers, lambda: False, coldstart.UNLIMITED
            ),
        )
        self._owners = owners.KeyOwners(
            parts.maps,
            self.target_table,
            key_load.KeyLoadTable(),
            self._peers,
            _DRAIN_S,
        )

    def _put(self, state: model.UpstreamState, at: float) -> None:
        away = builders.upstream(
            "u-1", failure_domain=builders.AWAY, state=state
        )
        self.target_table.put(away, at)

    def learn_leaving(self, since_s: float) -> None:
        """Records that the upstream has been leaving for some time."""
        at = clocks.monotonic() - since_s
        self._put(model.UpstreamState.DRAINING, at)

    def waiter(self) -> admission.Waiter:
        """Returns a request for one of its keys."""
        now = clocks.monotonic()
        owner = self._owners.lookup(builders.LOOKUPS, _KEY)
        made = builders.waiter(now, owner, timeout_s=0.4)
        made.key = _KEY
        return made

    def _permit(self, peer, data: bytes) -> None:
        message = msgspec.msgpack.decode(data, type=permit_messages.Message)
        if not isinstance(message, permit_messages.PermitRequest):
            return
        self.requested.append(message)
        decided = permit_messages.PermitReply(
            message.number, permit_messages.PermitStatus.GRANTED
        )
        answer = msgspec.msgpack.encode(decided)
        asyncio.get_running_loop().call_soon(self._peers.on_permit, answer, "x")


async def _acquire(vm: _Vm):
    pumping = asyncio.create_task(vm.gate.run())
    try:
        async with asyncio.timeout(5):
            return await vm.permits.acquire(vm.waiter())
    finally:
        pumping.cancel()


def test_a_leaving_owner_still_takes_requests_for_a_while():
    async def scenario():
        vm = _Vm()
        vm.learn_leaving(since_s=1.0)
        assert (await _acquire(vm)).id == "u-1"
        assert len(vm.requested) == 1

    asyncio.run(scenario())


def test_an_arbiter_does_not_extend_the_time_of_a_leaving_owner():
    # Only the arbiter checked whether an owner still accepts requests, and it
    # may learn later that the owner is leaving, or not at all. A VM that had
    # known it for 2.4 s was seen to send what the arbiter permitted.
    async def scenario():
        vm = _Vm()
        vm.learn_leaving(since_s=_DRAIN_S - 0.1)
        with pytest.raises(outcomes.RejectedError):
            await _acquire(vm)
        assert not vm.requested

    asyncio.run(scenario())


class _Clock:

    def __init__(self, monkeypatch, now: float):
        self.now = now
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)


class _Store(interfaces.StateTable):
    """A table with predefined answers.

    Attributes:
        answers: Duration of each call in seconds, and the rows in the answer;
            None for a call that fails.
    """

    def __init__(self, clock: _Clock):
        self._clock = clock
        self.answers: list[tuple[float, interfaces.Snapshot | None]] = []

    def _answer(self) -> interfaces.Snapshot:
        took_s, rows = self.answers.pop(0)
        self._clock.now += took_s
        if rows is None:
            raise errors.PlatformUnavailableError("timed out", step="read")
        return rows

    async def read_all(self):
        return self._answer()

    async def wait_for_changes(self, after, wait_s):
        return self._answer()

    async def write(self, conditions, writes):
        raise NotImplementedError


_READY, _LEAVING = b"ready", b"leaving"


def _rows(version: int, value: bytes | None) -> interfaces.Snapshot:
    row = interfaces.Change("u-1", value, version)
    return interfaces.Snapshot([row], version)


def _decode(name, value: bytes) -> model.Upstream:
    is_ready = value == _READY
    state = model.UpstreamState.READY
    if not is_ready:
        state = model.UpstreamState.DRAINING
    return builders.upstream(name, state=state)


class _Following:
    """A VM that follows the registrations, with one upstream in them.

    Attributes:
        clock: The time; 100.0 at the last contact with the table.
        store: Answers its calls.
        follower: Follows the table.
        registry: Applies the changes.
    """

    def __init__(self, monkeypatch, is_loaded: bool = True):
        self.clock = _Clock(monkeypatch, 0.0)
        self.store = _Store(self.clock)
        self.target_table = targets.TargetTable()
        self.registry = registry.Registry(
            self.target_table,
            _decode,
            lambda: None,
            metrics.Meters(),
            builders.supervisor(),
        )
        self.registry.set_services(frozenset([builders.LOOKUPS]))
        self.follower = follow.TableFollower(
            "registrations", self.store, self.registry.apply
        )
        self.registry.follower = self.follower
        self.clock.now = 99.99
        if is_loaded:
            self.step(0.01, _rows(1, _READY))

    def step(self, took_s: float, rows: interfaces.Snapshot | None) -> None:
        """Makes one call to the store; `rows` is None if it doesn't answer."""
        self.store.answers.append((took_s, rows))
        sent = self.clock.now
        try:
            asyncio.run(self.follower._step())
        except errors.PlatformError as error:
            self.follower._record_failure(error)
        else:
            self.follower._record_contact(sent)

    def is_sent_to(self, at: float) -> bool:
        """Whether a request may be sent to the upstream at a time."""
        return self.target_table.by_id["u-1"].accepts_requests(at, _DRAIN_S)

    def assert_sends_end_in_time(self, announced_at: float) -> None:
        """Checks that sends end in time after a leaving announcement."""
        assert not self.is_sent_to(announced_at + _DRAIN_S - _ON_ITS_WAY_S)


@pytest.mark.parametrize("late_s", [0.0, 0.3, 0.74, 1.2])
def test_sends_end_in_time_if_a_peer_forwards_the_rows_late(
    monkeypatch, late_s
):
    # The time was counted from the arrival of the rows. In logs of 64 VMs, rows
    # of registrations arrived 0.5 to 0.9 s after the notice of them; a reader
    # waits for 0.3 s and notifies every 0.25 s at most, while sends end only
    # 0.5 s early.
    vm = _Following(monkeypatch)
    announced_at = 100.0
    reported_at = announced_at + 0.5
    vm.follower.record_reported_version(2, reported_at)
    vm.clock.now = reported_at + late_s
    vm.follower.accept(_rows(2, _LEAVING), False)
    vm.assert_sends_end_in_time(announced_at)


def test_sends_end_in_time_if_the_store_is_read_after_a_delay(
    monkeypatch,
):
    vm = _Following(monkeypatch)
    announced_at = vm.clock.now
    vm.clock.now += 0.3
    vm.step(0.45, _rows(2, _LEAVING))
    vm.assert_sends_end_in_time(announced_at)


def test_sends_end_in_time_if_calls_fail_meanwhile(monkeypatch):
    vm = _Following(monkeypatch)
    announced_at = vm.clock.now
    for _ in range(3):
        vm.step(0.7, None)
    vm.step(0.01, _rows(2, _LEAVING))
    vm.assert_sends_end_in_time(announced_at)


def test_nothing_is_sent_to_an_upstream_that_left_before_the_first_read(
    monkeypatch,
):
    vm = _Following(monkeypatch, is_loaded=False)
    vm.step(0.01, _rows(1, _LEAVING))
    assert not vm.is_sent_to(vm.clock.now)


def test_rows_returned_by_a_long_poll_are_new(monkeypatch):
    vm = _Following(monkeypatch)
    vm.step(3.0, _rows(2, _LEAVING))
    announced_at = vm.clock.now
    assert vm.is_sent_to(announced_at + _DRAIN_S - targets.DRAIN_MARGIN_S - 0.1)
    vm.assert_sends_end_in_time(announced_at)
    vm.step(0.5, _rows(3, _READY))
    assert vm.is_sent_to(vm.clock.now + 60)


def test_sends_end_in_time_if_an_upstream_may_register_again(monkeypatch):
    # After a failed call, removed entries are kept for 2.2 s, since upstreams
    # may register again, and the time was counted from the end of that. It was
    # seen in logs of a VM that the store refused, 2.3 to 2.7 s after the other
    # VMs knew that an upstream had left.
    vm = _Following(monkeypatch)
    vm.step(0.7, None)
    vm.step(0.01, interfaces.Snapshot([], 1))
    vm.step(0.6, _rows(2, None))
    announced_at = vm.clock.now
    vm.registry.tick(announced_at + registry.REREGISTRATION_GRACE_S + 0.1)
    vm.assert_sends_end_in_time(announced_at)


def test_an_upstream_that_may_register_again_gets_requests_meanwhile(
    monkeypatch,
):
    vm = _Following(monkeypatch)
    for _ in range(12):
        vm.step(0.7, None)
    vm.step(0.01, _rows(2, None))
    assert vm.is_sent_to(vm.clock.now + registry.REREGISTRATION_GRACE_S)


def test_an_upstream_that_registers_again_gets_requests(monkeypatch):
    vm = _Following(monkeypatch)
    vm.step(0.7, None)
    vm.step(0.01, _rows(2, None))
    vm.step(1.9, _rows(3, _READY))
    vm.registry.tick(vm.clock.now + registry.REREGISTRATION_GRACE_S)
    assert vm.is_sent_to(vm.clock.now + 60)
