"""Requests on kept channels are answered around planned stops of VMs."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import signal

import pytest

from tests.integration import gateways
from tests.integration import kept_channels
from tests.integration import users_standins

_CALLERS_PER_VM = 16
_SEED = 7
# Requests sent after the first SIGTERM that a play needs to mean something.
_MIN_LATE_REQUESTS = 20


class _Operator:
    """Signals the VMs of a site and records what it did."""

    def __init__(self, site: gateways.Site, draw: random.Random):
        self.site = site
        self.draw = draw
        self.stops: list[kept_channels.Stop] = []
        # VMs that were still running at the end of their grace.
        self.overdue: list[int] = []

    async def stop(self, gateway: gateways.Gateway) -> None:
        """Stops a VM as the platform does."""
        await kept_channels.stop(gateway, self.stops, self.overdue)

    async def restart(self, gateway: gateways.Gateway) -> None:
        await self.stop(gateway)
        await gateway.start()

    def any_gateway(self) -> gateways.Gateway:
        return self.draw.choice(self.site.gateways)

    def leader(self) -> gateways.Gateway:
        name = self.site.log_lines("leader changed")[-1]["leader"]
        return self.site.gateways[int(name.rpartition("-")[2])]


_Scenario = collections.abc.Callable[
    [_Operator], collections.abc.Awaitable[None]
]


async def _serves_added_routes(site: gateways.Site) -> bool:
    outcomes = [
        await site.callers.call("/kept-read/x", key, gateway, method="GET")
        for gateway in site.gateways
        for key in range(0, users_standins.KEYS, 16384)
    ]
    return all(outcome.status == 200 for outcome in outcomes)


@contextlib.asynccontextmanager
async def _running_site(folder, **limits):
    """Runs three VMs with the routes of the kept channels."""
    site = gateways.Site(folder, 3, _SEED)
    async with site.running():
        site.store.put("op", "config", kept_channels.config(2, **limits))
        await site.until(lambda: _serves_added_routes(site), 10)
        yield site


async def _play(
    folder,
    scenario: _Scenario,
    seed: int,
    has_pipelining: bool,
    has_new_vm: bool,
) -> None:
    draw = random.Random(f"planned-{seed}")
    async with _running_site(folder) as site:
        for server in site.cluster.by_id.values():
            server.work_s = draw.choice((0.03, 0.1, 0.3, 1.0))
        callers = kept_channels.KeptChannels(site, seed, has_pipelining)
        operator = _Operator(site, draw)
        if has_new_vm:
            await site.gateways[0].stop(signal.SIGKILL)
            await site.gateways[0].start()
        async with callers.present(_CALLERS_PER_VM):
            await asyncio.sleep(1.0)
            await scenario(operator)
        lost = kept_channels.lost_requests(
            callers.requests, operator.stops, site.cluster
        )
        violations = site.violated_guarantees()
    violations += kept_channels.broken_promises(callers.requests, site.cluster)
    print(callers.counts(), f"refused channels {callers.refused_channels}")
    first_stop_at = min(stop.at for stop in operator.stops)
    late = [r for r in callers.requests if r.first_byte_at > first_stop_at]
    assert len(late) >= _MIN_LATE_REQUESTS
    assert not lost, "\n".join([f"{len(lost)} lost", *lost])
    assert violations == []
    assert operator.overdue == []


def _run(
    folder,
    scenario: _Scenario,
    seed: int = _SEED,
    has_pipelining: bool = False,
    has_new_vm: bool = False,
) -> None:
    """Plays a scenario; a new VM starts as the callers come."""
    asyncio.run(_play(folder, scenario, seed, has_pipelining, has_new_vm))


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_as_a_vm_is_restarted(tmp_path, seed):
    async def scenario(operator):
        await operator.restart(operator.any_gateway())

    _run(tmp_path, scenario, seed)


def test_no_read_behind_an_upload_is_lost_as_a_vm_stops(tmp_path):
    async def scenario(operator):
        await operator.stop(operator.any_gateway())

    _run(tmp_path, scenario, has_pipelining=True)


def test_no_request_is_lost_as_the_leader_and_another_vm_stop(tmp_path):
    async def scenario(operator):
        leader = operator.leader()
        other = operator.draw.choice(
            [g for g in operator.site.gateways if g is not leader]
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.stop(leader))
            await asyncio.sleep(1.0)
            group.create_task(operator.stop(other))

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_sigterm_comes_twice(tmp_path):
    async def scenario(operator):
        gateway = operator.any_gateway()
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.stop(gateway))
            await asyncio.sleep(operator.draw.uniform(0.1, 3.0))
            gateway.send_signal(signal.SIGTERM)

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_sighup_comes_during_a_stop(tmp_path):
    async def scenario(operator):
        gateway = operator.any_gateway()
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.stop(gateway))
            for _ in range(3):
                await asyncio.sleep(operator.draw.uniform(0.1, 1.0))
                for each in operator.site.gateways:
                    each.send_signal(signal.SIGHUP)

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_the_configuration_changes_in_a_stop(tmp_path):
    async def scenario(operator):
        store = operator.site.store
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.stop(operator.any_gateway()))
            for version in (3, 4, 5):
                await asyncio.sleep(operator.draw.uniform(0.3, 1.2))
                store.put("op", "config", kept_channels.config(version))

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_an_upstream_leaves_in_a_stop(tmp_path):
    async def scenario(operator):
        servers = list(operator.site.cluster.by_id.values())
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.stop(operator.any_gateway()))
            await asyncio.sleep(0.5)
            for server in operator.draw.sample(servers, 2):
                server.is_leaving = server.announces_exit = True
                server.register("draining")

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_the_store_is_away_in_a_stop(tmp_path):
    async def scenario(operator):
        operator.site.store.is_away = True
        try:
            await operator.stop(operator.any_gateway())
        finally:
            operator.site.store.is_away = False

    _run(tmp_path, scenario)


def test_no_request_is_lost_as_a_vm_stops_right_after_its_start(tmp_path):
    async def scenario(operator):
        gateway = operator.site.gateways[0]
        await operator.site.until(lambda: _accepts(gateway), 10)
        await operator.stop(gateway)

    _run(tmp_path, scenario, has_new_vm=True)


async def _accepts(gateway: gateways.Gateway) -> bool:
    channel = kept_channels.Channel(gateway, lambda _: None)
    with contextlib.suppress(OSError):
        await channel.open()
        channel.close()
        return True
    return False


_CHANNELS = 12
_UPLOAD_KINDS = (kept_channels.Kind.UPLOAD, kept_channels.Kind.CHUNKED_UPLOAD)


async def _exchange_all(channels, plan: kept_channels.Plan) -> None:
    step = users_standins.KEYS // len(channels)
    async with asyncio.TaskGroup() as group:
        for number, channel in enumerate(channels):
            own = dataclasses.replace(plan, key=number * step)
            group.create_task(channel.exchange(own))


async def _lost_after_sigterm(
    folder,
    carried: kept_channels.Plan,
    plan: kept_channels.Plan,
    after_s: float,
    work_s: float,
    **limits,
) -> list[str]:
    """Sends requests some time after SIGTERM on channels that carried one.

    A request whose upstream works for long keeps the process running.
    """
    requests: list[kept_channels.Request] = []
    stops: list[kept_channels.Stop] = []
    async with _running_site(folder, **limits) as site:
        gateway = site.gateways[0]
        channels = [
            kept_channels.Channel(gateway, requests.append)
            for _ in range(_CHANNELS + 1)
        ]
        for channel in channels:
            await channel.open()
        holder = channels.pop()

        def set_work_s(work_s: float) -> None:
            for server in site.cluster.by_id.values():
                server.work_s, server.slots = work_s, _CHANNELS

        async def is_held() -> bool:
            runs = {run.attempt for run in site.cluster.runs}
            return bool(requests) and requests[0].attempt in runs

        set_work_s(7.5)
        write = kept_channels.Plan(kept_channels.Kind.WRITE, 0)
        held = asyncio.create_task(holder.exchange(write))
        await site.until(is_held, 5)
        set_work_s(0.02)
        await _exchange_all(channels, carried)
        set_work_s(work_s)
        stopping = asyncio.create_task(kept_channels.stop(gateway, stops, []))
        await asyncio.sleep(after_s)
        assert gateway.is_running
        usable = [channel for channel in channels if channel.is_usable]
        if usable:
            await _exchange_all(usable, plan)
        await asyncio.gather(held, stopping)
        return kept_channels.lost_requests(requests, stops, site.cluster)


@pytest.mark.parametrize("kind", _UPLOAD_KINDS)
@pytest.mark.parametrize(
    ("after_s", "header_timeout"), [(3.3, "3000ms"), (5.4, "10000ms")]
)
def test_no_late_upload_is_lost_on_a_channel_that_carried_an_upload(
    tmp_path, kind, after_s, header_timeout
):
    plan = kept_channels.Plan(kind, 0, 1200, body_pause_s=0.05)
    lost = asyncio.run(
        _lost_after_sigterm(
            tmp_path, plan, plan, after_s, 3.0, header_timeout=header_timeout
        )
    )
    assert not lost, "\n".join([f"{len(lost)} lost", *lost])


@pytest.mark.parametrize("kind", _UPLOAD_KINDS)
def test_no_upload_is_lost_whose_body_ends_late_in_a_stop(tmp_path, kind):
    carried = kept_channels.Plan(kept_channels.Kind.READ, 0)
    upload = kept_channels.Plan(kind, 0, 70_000, rate=40_000)
    lost = asyncio.run(
        _lost_after_sigterm(tmp_path, carried, upload, 3.05, 1.0)
    )
    assert not lost, "\n".join([f"{len(lost)} lost", *lost])
