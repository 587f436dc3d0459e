"""Tests that one VM assigns the slots of an upstream to all VMs."""

import asyncio
import itertools

import msgspec
import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import outcomes
from swiftstile.gateway import permit_messages
from swiftstile.gateway import permits
from swiftstile.gateway import ratelimits
from swiftstile.gateway import targets
from tests import gateway_builders as builders

_SLOTS = 2


class _Network:
    """Delivers datagrams between the VMs of a test.

    Attributes:
        lose: Returns whether to drop a datagram, by its bytes and receiver.
        sent: All datagrams, including dropped ones.
    """

    def __init__(self):
        self.by_address: dict[tuple, _Vm] = {}
        self.lose = lambda data, to: False
        self.sent: list[tuple[bytes, str]] = []

    def deliver(self, data: bytes, address: tuple) -> None:
        vm = self.by_address.get(address)
        name = vm.name if vm is not None else ""
        self.sent.append((data, name))
        if vm is None or self.lose(data, name):
            return
        asyncio.get_running_loop().call_soon(vm.peers._receive, data, "x")


class _Transport:

    def __init__(self, network: _Network):
        self._network = network

    def sendto(self, data: bytes, address: tuple) -> None:
        self._network.deliver(data, address)


class _Vm:

    def __init__(self, network: _Network, number: int, domain):
        self.name = f"vm-{number}"
        port = 7000 + number
        self.row = builders.node_row(
            self.name,
            run=f"{number:08d}",
            domain=domain,
            address=f"127.0.0.1:{port}",
        )
        network.by_address["127.0.0.1", port] = self
        self.targets = builders.target_table(
            *(
                builders.upstream(
                    f"u-{i}", slots=_SLOTS, address=f"10.0.0.{i}:1"
                )
                for i in (1, 2)
            )
        )
        self.peers = gossip.Peers(self.row, lambda *_: None)
        self.peers._transport = _Transport(network)
        self.peers._tick_at = float("inf")
        self.is_leaving = False
        # Requests that this VM decided on.
        self.demand: list[admission.Waiter] = []
        self.meters = metrics.Meters()
        self.limits = coldstart.ColdLimits(
            self.targets, self.peers, lambda: True
        )
        selector = arbiter_selection.ArbiterSelector(
            self.peers, lambda: self.is_leaving, self.limits
        )
        self.prefers_returning = False
        self.retry_tracker = caller_retries.RetryTracker(
            lambda: self.prefers_returning, self.meters
        )
        self.rate_limiter = ratelimits.RateLimiter(self.peers, selector)
        self.gate = gate_lib.Gate(
            admission.AdmissionController(
                self.targets,
                domain,
                2.0,
                self.limits,
                self.rate_limiter,
                self.retry_tracker,
            ),
            self.demand.append,
        )
        self.arbiter = arbiter_lib.Arbiter(
            self.peers,
            self.gate,
            self.targets,
            lambda: self.is_leaving,
            self.meters,
            self.retry_tracker,
        )
        self.permits = permits.PermitClient(
            self.peers,
            self.gate,
            self.arbiter,
            self.targets,
            self.meters,
            selector,
            self.rate_limiter,
        )

    def make_cold(self, cold_s: float, per_s: float) -> None:
        """Makes an upstream cold, with a rate limit."""
        service = builders.service(cold_per_s=per_s)
        self.limits.set_services({builders.LOOKUPS: service})
        self.targets.by_id["u-1"].extend_cold(clocks.monotonic() + cold_s)

    def learn_of(self, other: "_Vm") -> None:
        now = clocks.monotonic()
        self.peers.apply(other.row, other.row.node, now)
        peer = self.peers.by_node[other.row.node]
        peer.report = builders.report(other.row, is_leaving=other.is_leaving)
        peer.received_at = now + 60

    def waiter(self, upstream: str = "u-1", **changes) -> admission.Waiter:
        owner = _Owner(self, upstream)
        made = builders.waiter(clocks.monotonic(), owner, **changes)
        made.key = 7
        return made


class _Owner(admission.OwnerLookup):
    """An owner lookup whose result a test can change."""

    def __init__(self, vm: _Vm, name: str):
        self._vm = vm
        self.name = name

    def target(self, now):
        return self._vm.targets.by_id[self.name]

    def ready_in_s(self, now):
        return 0.0


def _run(scenario, near: int = 1, far: int = 1) -> None:
    """Runs a scenario with `near` VMs in the upstreams' domain."""

    async def main():
        network = _Network()
        vms = [
            _Vm(network, i, builders.HOME if i < near else builders.AWAY)
            for i in range(near + far)
        ]
        for vm in vms:
            for other in vms:
                if other is not vm:
                    vm.learn_of(other)
        tasks = [
            asyncio.create_task(run)
            for vm in vms
            for run in (vm.gate.run(), vm.arbiter.run())
        ]
        try:
            async with asyncio.timeout(10):
                await scenario(network, *vms)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(main())


async def _until(condition) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def _is_kind(kind: int):
    """Returns a predicate for datagrams of one kind, by their tag."""

    def is_kind(data, to):
        return data[:1] == b"p" and msgspec.msgpack.decode(data[1:])[0] == kind

    return is_kind


_REQUEST, _REPLY, _RELEASE = 1, 2, 3


def test_the_arbiter_counts_granted_permits_until_their_release():
    async def scenario(_network, arbiter, far):
        waiter = far.waiter()
        target = await far.permits.acquire(waiter)
        assert target is far.targets.by_id["u-1"]
        counted = arbiter.targets.by_id["u-1"]
        assert counted.in_flight == 1
        # The requesting VM must not report it too, or it would count twice.
        assert target.in_flight - target.permitted == 0
        far.permits.release(waiter, target)
        await _until(lambda: counted.in_flight == 0)
        assert target.in_flight == target.permitted == 0

    _run(scenario)


def test_requests_of_all_vms_wait_in_one_queue():
    async def scenario(_network, arbiter, far, farther):
        capacity = _SLOTS + admission.MAX_QUEUED_AT_TARGET
        held = [far.waiter() for _ in range(capacity)]
        for waiter in held:
            await far.permits.acquire(waiter)
        late = asyncio.create_task(farther.permits.acquire(farther.waiter()))
        await _until(lambda: len(arbiter.gate.admission) == 1)
        urgent = arbiter.waiter(priority=0)
        first = asyncio.create_task(arbiter.permits.acquire(urgent))
        await _until(lambda: len(arbiter.gate.admission) == 2)
        far.permits.release(held[0], far.targets.by_id["u-1"])
        await first
        assert not late.done()
        far.permits.release(held[1], far.targets.by_id["u-1"])
        await late

    _run(scenario, far=2)


def test_requests_of_all_vms_count_as_demand_at_the_arbiter():
    # Each of many VMs sees too few requests for a slot to detect a hotspot.
    async def scenario(_network, arbiter, *others):
        for vm in others:
            waiter = vm.waiter()
            await vm.permits.acquire(waiter)
            vm.permits.release(waiter, vm.targets.by_id["u-1"])
        assert len(arbiter.demand) == len(others)
        assert {waiter.key for waiter in arbiter.demand} == {7}
        assert not any(vm.demand for vm in others)

    _run(scenario, far=8)


def _any_waiter(vm: _Vm, **changes) -> admission.Waiter:
    """Returns a request of a service without owners, where VMs are many."""
    vm.gate.admission.vm_count = admission.MAX_VMS_WITHOUT_SAMPLING + 1
    return builders.waiter(clocks.monotonic(), None, **changes)


def test_the_arbiter_of_a_service_chooses_among_its_upstreams():
    async def scenario(_network, arbiter, far, farther):
        builders.occupy(arbiter.targets.by_id["u-1"], 60, clocks.monotonic())
        for vm in (far, farther):
            waiter = _any_waiter(vm)
            target = await vm.permits.acquire(waiter)
            assert target is vm.targets.by_id["u-2"]
        counted = arbiter.targets.by_id["u-2"]
        assert counted.in_flight == 2
        farther.permits.release(waiter, target)
        await _until(lambda: counted.in_flight == 1)

    _run(scenario, far=2)


def test_the_arbiter_of_a_service_learns_that_an_upstream_failed():
    async def scenario(_network, arbiter, far):
        waiter = _any_waiter(far)
        target = await far.permits.acquire(waiter)
        target.note_failure(clocks.monotonic())
        far.permits.release(waiter, target)
        counted = arbiter.targets.by_id[target.id]
        await _until(lambda: counted.is_penalised(clocks.monotonic()))
        other = await far.permits.acquire(_any_waiter(far))
        assert other is not target

    _run(scenario)


def test_the_arbiter_of_a_service_learns_that_an_upstream_slowed_down():
    async def scenario(_network, arbiter, far):
        waiter = _any_waiter(far)
        target = await far.permits.acquire(waiter)
        target.note_slowdown(3.0, clocks.monotonic())
        far.permits.release(waiter, target)
        counted = arbiter.targets.by_id[target.id]
        await _until(lambda: counted.slow_factor(clocks.monotonic()) == 3.0)
        other = await far.permits.acquire(_any_waiter(far))
        assert other is not target
        # The slowdown changes several times a second, so it soon expires.
        later = clocks.monotonic() + targets.SLOWDOWN_TTL_S
        assert counted.slow_factor(later) == 1.0

    _run(scenario)


def test_an_upstream_that_refused_a_request_is_not_chosen_for_it_again():
    async def scenario(_network, _arbiter, far):
        waiter = _any_waiter(far)
        waiter.excluded.add("u-1")
        for _ in range(3):
            target = await far.permits.acquire(waiter)
            assert target.id == "u-2"
            far.permits.release(waiter, target)

    _run(scenario)


def test_a_request_is_refused_if_no_upstream_has_a_free_slot():
    async def scenario(_network, arbiter, far):
        for target in arbiter.targets.by_id.values():
            builders.occupy(target, 60, clocks.monotonic())
        with pytest.raises(outcomes.RejectedError) as caught:
            await far.permits.acquire(_any_waiter(far))
        assert caught.value.retry_after_s > 0.5

    _run(scenario)


def test_an_arbiter_that_knows_of_no_upstream_in_service_refuses_at_once():
    # The wait is infinite then, which stopped the reply: after three requests
    # without one, the VM took the arbiter for unresponsive.
    async def scenario(_network, arbiter, far):
        now = clocks.monotonic()
        for target in arbiter.targets.by_id.values():
            target.mark_leaving(now, now - 60.0)
        with pytest.raises(outcomes.RejectedError) as caught:
            await far.permits.acquire(_any_waiter(far))
        assert caught.value.decided_by == arbiter.name
        assert far.meters.permits.get("arbiter-silent") == 0

    _run(scenario)


def test_a_vm_decides_itself_if_a_services_arbiter_is_unresponsive():
    async def scenario(network, _arbiter, far):
        network.lose = _is_kind(_REPLY)
        target = await far.permits.acquire(_any_waiter(far))
        assert target.in_flight == 1 and target.permitted == 0

    _run(scenario)


def test_a_refusal_has_a_retry_time():
    async def scenario(_network, arbiter, far):
        builders.occupy(arbiter.targets.by_id["u-1"], 60, clocks.monotonic())
        with pytest.raises(outcomes.RejectedError) as caught:
            await far.permits.acquire(far.waiter())
        assert caught.value.retry_after_s > 0.5
        assert caught.value.peer == "u-1"

    _run(scenario)


@pytest.mark.parametrize("kind", [_REQUEST, _REPLY])
def test_a_lost_datagram_is_resent_and_nothing_is_counted_twice(kind):
    async def scenario(network, arbiter, far):
        left = [1]

        def lose(data, to):
            if _is_kind(kind)(data, to) and left:
                left.pop()
                return True
            return False

        network.lose = lose
        waiter = far.waiter()
        target = await far.permits.acquire(waiter)
        assert not left
        assert arbiter.targets.by_id["u-1"].in_flight == 1
        assert far.meters.permits.get("arbiter-silent") == 0
        far.permits.release(waiter, target)
        await _until(lambda: arbiter.targets.by_id["u-1"].in_flight == 0)

    _run(scenario)


def test_a_lost_release_is_repeated_with_the_next_message():
    async def scenario(network, arbiter, far):
        waiter = far.waiter()
        target = await far.permits.acquire(waiter)
        network.lose = _is_kind(_RELEASE)
        far.permits.release(waiter, target)
        network.lose = lambda data, to: False
        assert arbiter.targets.by_id["u-1"].in_flight == 1
        await far.permits.acquire(far.waiter())
        assert arbiter.targets.by_id["u-1"].in_flight == 1

    _run(scenario)


def test_a_permit_without_a_release_expires():
    async def scenario(_network, arbiter, far):
        await far.permits.acquire(far.waiter(timeout_s=0.3))
        await _until(lambda: arbiter.targets.by_id["u-1"].in_flight == 0)
        assert arbiter.meters.permits.get("lapsed") == 1

    _run(scenario)


def test_the_permits_of_a_restarted_vm_end():
    async def scenario(_network, arbiter, far):
        await far.permits.acquire(far.waiter())
        row = builders.node_row(far.name, run="again---", domain=builders.AWAY)
        arbiter.peers.apply(row, row.node, clocks.monotonic())
        await _until(lambda: arbiter.targets.by_id["u-1"].in_flight == 0)

    _run(scenario)


def test_a_vm_soon_decides_itself_if_an_owners_arbiter_is_unresponsive():
    async def scenario(network, _arbiter, far):
        network.lose = _is_kind(_REPLY)
        began = clocks.monotonic()
        waiter = far.waiter()
        target = await far.permits.acquire(waiter)
        took_s = clocks.monotonic() - began
        retry_s = permits.REQUEST_RETRY_FRACTION * builders.route().objective_s
        assert took_s < (permits.MAX_REQUEST_SENDS + 2) * retry_s
        # Now the VM counts the request itself and reports it to the others.
        assert target.in_flight - target.permitted == 1
        asked = far.meters.permits.get("asked")
        await far.permits.acquire(far.waiter())
        assert far.meters.permits.get("asked") == asked

    _run(scenario)


def test_a_disconnected_caller_leaves_the_queue():
    async def scenario(_network, arbiter, far):
        builders.occupy(arbiter.targets.by_id["u-1"], 3, clocks.monotonic())
        waiting = asyncio.create_task(far.permits.acquire(far.waiter()))
        await _until(lambda: len(arbiter.gate.admission) == 1)
        waiting.cancel()
        await _until(lambda: len(arbiter.gate.admission) == 0)
        assert arbiter.targets.by_id["u-1"].waiting == 0
        assert not arbiter.arbiter._permits

    _run(scenario)


def test_a_caller_that_disconnects_before_its_permit_arrives_frees_the_slot():
    async def scenario(_network, arbiter, far):
        waiting = asyncio.create_task(far.permits.acquire(far.waiter()))
        await _until(lambda: arbiter.targets.by_id["u-1"].in_flight == 1)
        waiting.cancel()
        await _until(lambda: arbiter.targets.by_id["u-1"].in_flight == 0)

    _run(scenario)


def test_a_permit_is_requested_for_the_new_owner_of_a_moved_key():
    async def scenario(_network, arbiter, far):
        builders.occupy(arbiter.targets.by_id["u-1"], 3, clocks.monotonic())
        waiter = far.waiter()
        waiting = asyncio.create_task(far.permits.acquire(waiter))
        await _until(lambda: len(arbiter.gate.admission) == 1)
        waiter.owner.name = "u-2"
        assert (await waiting).id == "u-2"
        assert arbiter.targets.by_id["u-2"].in_flight == 1
        await _until(lambda: len(arbiter.gate.admission) == 0)

    _run(scenario)


def test_all_vms_choose_the_same_arbiter_and_another_when_it_leaves():
    async def scenario(_network, *vms):
        now = clocks.monotonic()

        def chosen(vm):
            peer = vm.permits._selector.arbiter_of(vm.targets.by_id["u-1"], now)
            return vm.name if peer is None else peer.row.node

        names = {chosen(vm) for vm in vms}
        assert len(names) == 1
        near = {vm.name: vm for vm in vms[:3]}
        (first,) = names
        assert first in near
        near[first].is_leaving = True
        for vm in vms:
            if vm is not near[first]:
                vm.learn_of(near[first])
        after = {chosen(vm) for vm in vms}
        assert len(after) == 1 and after != names

    _run(scenario, near=3, far=3)


def test_vms_with_low_bandwidth_are_not_arbiters():
    async def scenario(_network, *vms):
        links = {"vm-0": 10.0, "vm-1": 200.0, "vm-2": 10.0, "vm-3": 200.0}
        for vm in vms:
            vm.peers.me = vm.row = msgspec.structs.replace(
                vm.row, link_mbps=links.get(vm.name, 10.0)
            )
        for vm in vms:
            for other in vms:
                if other is not vm:
                    vm.learn_of(other)
        now = clocks.monotonic()
        for name in ("u-1", "u-2"):
            for vm in vms:
                peer = vm.permits._selector.arbiter_of(
                    vm.targets.by_id[name], now
                )
                chosen = vm.name if peer is None else peer.row.node
                assert chosen in ("vm-1", "vm-3")

    _run(scenario, near=4, far=2)


def test_an_unreachable_domain_is_not_asked():
    async def scenario(network, _arbiter, far):
        peer = far.peers.by_node["vm-0"]
        peer.received_at = clocks.monotonic() - 5
        await far.permits.acquire(far.waiter())
        assert not network.sent

    _run(scenario)


def test_malformed_messages_are_dropped():
    async def scenario(_network, arbiter, far):
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", b"\x90"):
            arbiter.peers._receive(b"p" + data, "x")
        await far.permits.acquire(far.waiter())

    _run(scenario)


def test_a_cold_owner_gets_spaced_requests_from_all_vms_together():
    per_s = 20.0

    async def scenario(_network, *vms):
        granted_at = []

        async def ask(vm) -> None:
            await vm.permits.acquire(vm.waiter())
            granted_at.append(clocks.monotonic())

        for vm in vms:
            vm.make_cold(60.0, per_s)
        await asyncio.gather(*map(ask, vms[: _SLOTS + 1]))
        least_s = 0.8 / (coldstart.RATE_FRACTION * per_s)
        for earlier, later in itertools.pairwise(granted_at):
            assert later - earlier > least_s

    _run(scenario, near=2, far=2)


def test_a_cold_owner_gets_no_requests_if_its_sender_is_unreachable():
    async def scenario(network, *vms):
        now = clocks.monotonic()
        for vm in vms:
            vm.make_cold(60.0, 20.0)
        target = vms[0].targets.by_id["u-1"]
        sender = vms[0].limits.designated_sender(target, now).node
        network.lose = lambda data, to: to == sender
        others = [vm for vm in vms if vm.name != sender]
        assert len(others) == len(vms) - 1
        for vm in others:
            with pytest.raises(outcomes.RejectedError):
                await vm.permits.acquire(vm.waiter())

    _run(scenario, near=2, far=2)


def _limit_rate(per_s: float, *vms: _Vm, upstream: str = "u-1") -> None:
    for vm in vms:
        target = vm.targets.by_id[upstream]
        target.rate_limit.update(per_s, clocks.monotonic())
        # Tokens accrue from when a VM first decides on the upstream.
        vm.rate_limiter.may_send(target, clocks.monotonic())


def test_a_limited_upstream_without_owner_gets_what_its_limiter_allows():
    async def scenario(_network, limiter, far, farther):
        vms = (limiter, far, farther)
        _limit_rate(20.0, *vms)
        await asyncio.sleep(0.3)
        chosen = []
        for vm in vms * 5:
            waiter = builders.waiter(clocks.monotonic(), None)
            target = await vm.permits.acquire(waiter)
            chosen.append(target.id)
            vm.permits.release(waiter, target)
        # The limiter's reserve is half a second's tokens.
        assert 1 <= chosen.count("u-1") <= 11
        assert chosen.count("u-2") >= 4
        counted = limiter.targets.by_id["u-1"]
        await _until(lambda: counted.in_flight == 0)
        assert far.targets.by_id["u-1"].in_flight == 0

    _run(scenario, far=2)


def test_without_a_reply_of_the_limiter_another_upstream_is_chosen():
    async def scenario(network, _limiter, far):
        _limit_rate(1.0, far)
        network.lose = _is_kind(_REPLY)
        for _ in range(3):
            waiter = builders.waiter(clocks.monotonic(), None)
            target = await far.permits.acquire(waiter)
            assert target.id == "u-2"
            far.permits.release(waiter, target)

    _run(scenario)


def test_without_a_reply_of_the_limiter_owners_requests_are_refused_at_once():
    async def scenario(network, _limiter, far):
        _limit_rate(1.0, far)
        network.lose = _is_kind(_REPLY)
        for _ in range(2):
            with pytest.raises(outcomes.RejectedError) as caught:
                await far.permits.acquire(far.waiter())
            assert caught.value.retry_after_s > 0.5
        began = clocks.monotonic()
        with pytest.raises(outcomes.RejectedError):
            await far.permits.acquire(far.waiter())
        assert clocks.monotonic() - began < permits.MIN_REQUEST_RETRY_S

    _run(scenario)


def test_the_arbiter_of_a_service_is_told_which_upstreams_want_a_pause():
    async def scenario(_network, _arbiter, far):
        far.targets.by_id["u-1"].backoff_until = clocks.monotonic() + 60
        for _ in range(3):
            waiter = _any_waiter(far)
            target = await far.permits.acquire(waiter)
            assert target.id == "u-2"
            far.permits.release(waiter, target)

    _run(scenario)


async def _reject_and_return(first: _Vm, second: _Vm, make_waiter):
    """Lets an upstream reject a caller, which returns to another VM."""
    waiter = make_waiter(first)
    waiter.gives_up_at = waiter.arrived + 1.5
    target = await first.permits.acquire(waiter)
    waiter.announced_retry_s = 0.05
    first.permits.release(waiter, target)
    await asyncio.sleep(0.055)
    back = make_waiter(second)
    back.gives_up_at = waiter.gives_up_at
    target = await second.permits.acquire(back)
    second.permits.release(back, target)
    return waiter, back


@pytest.mark.parametrize("is_enabled", [False, True])
def test_arbiters_recognise_callers_that_upstreams_rejected(is_enabled):
    async def scenario(_network, arbiter, near, far):
        arbiter.prefers_returning = is_enabled
        # It travels by the release if another VM granted the slot.
        for first, second in ((far, near), (arbiter, far), (far, arbiter)):
            earlier, back = await _reject_and_return(
                first, second, lambda vm: vm.waiter()
            )
            assert back.rejections == int(is_enabled)
            if is_enabled:
                assert back.arrived == pytest.approx(earlier.arrived, abs=0.01)
                assert back.returned_after_s >= 0.05

    _run(scenario, near=1, far=2)


def test_the_home_arbiter_recognises_callers_without_key():
    # Guards against a record at the other domain's arbiter, which the caller's
    # next attempt doesn't ask first.
    async def scenario(_network, home, away, farther):
        away.prefers_returning = farther.prefers_returning = True
        selector = away.permits._selector
        _, is_away = selector.arbiter_in_domain(
            builders.AWAY, builders.LOOKUPS, clocks.monotonic()
        )
        first = farther if is_away else away
        second = away if is_away else farther
        # All upstreams are in the other domain, whose arbiter doesn't track.
        _, back = await _reject_and_return(first, second, _any_waiter)
        assert back.rejections == 0
        keeper = away if is_away else farther
        entries = keeper.retry_tracker._by_key.values()
        assert sum(map(len, entries)) == 1

    _run(scenario, near=1, far=2)


def test_a_repeated_request_after_a_lost_refusal_is_not_the_callers_return():
    # Guards against a caller that is never served because its reservation was
    # used by the repeated permit request.
    async def scenario(network, arbiter, far):
        arbiter.prefers_returning = True
        builders.occupy(arbiter.targets.by_id["u-1"], 40, clocks.monotonic())
        lost = []

        def lose_first_refusal(data, to):
            lost.append(_is_kind(_REPLY)(data, to))
            return sum(lost) == 1 and lost[-1]

        network.lose = lose_first_refusal
        waiter = far.waiter(timeout_s=0.12)
        waiter.gives_up_at = waiter.deadline
        with pytest.raises(outcomes.RejectedError):
            await far.permits.acquire(waiter)
        assert sum(lost) == 2
        assert waiter.rejections == 0
        assert arbiter.meters.returning.get("recognised") == 0

    _run(scenario)


def test_an_arbiter_learns_the_group_of_a_request_of_another_vm():
    # Without a group, all requests of other VMs would share one part.
    async def scenario(_network, arbiter, far):
        waiter = far.waiter(host="b.example", name="orders")
        await far.permits.acquire(waiter)
        assert [entry.group for entry in arbiter.demand] == [waiter.group]

    _run(scenario)


def test_messages_of_builds_with_and_without_groups_are_understood():
    new = permit_messages.PermitRequest(
        "r", 1, "u-1", 0, 1, 1, 1, 1, None, None, [], group="0123456789abcdef"
    )
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(new))
    decoder = msgspec.msgpack.Decoder(permit_messages.Message)
    old = decoder.decode(msgspec.msgpack.encode(fields[:-1]))
    assert old.group == ""
    later = decoder.decode(
        msgspec.msgpack.encode([*fields, "of a later build"])
    )
    assert later == new
