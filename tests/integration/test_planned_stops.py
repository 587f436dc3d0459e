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


class _Operator(kept_channels.Stops):
    """Stops VMs of a site and draws what else it does."""

    def __init__(self, site: gateways.Site, draw: random.Random):
        super().__init__()
        self.site = site
        self.draw = draw
        self._tasks: list[asyncio.Task] = []

    def start_stop(self, gateway: gateways.Gateway) -> None:
        self._tasks.append(asyncio.create_task(self.stop(gateway)))

    async def wait(self) -> None:
        """Waits until all VMs have stopped."""
        await asyncio.gather(*self._tasks)

    def leader(self) -> gateways.Gateway:
        name = self.site.log_lines("leader changed")[-1]["leader"]
        return self.site.gateways[int(name.rpartition("-")[2])]


# Called at drawn times during the stop of a VM.
_Disturb = collections.abc.Callable[[_Operator, gateways.Gateway], None]


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
    disturb: _Disturb | None = None,
    pauses_s: tuple[tuple[float, float], ...] = (),
    seed: int = _SEED,
    has_pipelining: bool = False,
    has_new_vm: bool = False,
) -> None:
    """Stops and restarts a VM while callers keep channels.

    Args:
        folder: Folder of the logs.
        disturb: What else happens during the stop.
        pauses_s: Least and most time before each call of `disturb`.
        seed: Seed of the callers and of what is drawn.
        has_pipelining: Whether reads are pipelined behind uploads.
        has_new_vm: Whether the VM has just been started, as it is stopped.
    """
    draw = random.Random(f"planned-{seed}")
    async with _running_site(folder) as site:
        callers = kept_channels.KeptChannels(site, seed, has_pipelining)
        callers.vary_work()
        operator = _Operator(site, draw)
        # Disturbed stops are those of the leader, whose duties move meanwhile.
        stopped = operator.leader() if disturb else draw.choice(site.gateways)
        if has_new_vm:
            await stopped.stop(signal.SIGKILL)
            await stopped.start()
        async with callers.present(_CALLERS_PER_VM):
            if not has_new_vm:
                await asyncio.sleep(1.0)
            await site.until(lambda: _accepts(stopped), 10)
            operator.start_stop(stopped)
            for pause_s in pauses_s:
                await asyncio.sleep(draw.uniform(*pause_s))
                disturb(operator, stopped)
            await operator.wait()
            await stopped.start()
        site.store.is_away = False
        violations = site.violated_guarantees() + callers.violations(operator)
    print(callers.counts())
    first_stop_at = operator.all[0].at
    late = [r for r in callers.requests if r.first_byte_at > first_stop_at]
    assert len(late) >= _MIN_LATE_REQUESTS
    assert not violations, "\n".join(violations)


def _run(folder, *args, **kwargs) -> None:
    asyncio.run(_play(folder, *args, **kwargs))


async def _accepts(gateway: gateways.Gateway) -> bool:
    channel = kept_channels.Channel(gateway, lambda _: None)
    with contextlib.suppress(OSError):
        await channel.open()
        channel.close()
        return True
    return False


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_as_a_vm_is_restarted(tmp_path, seed):
    _run(tmp_path, seed=seed)


def test_no_read_behind_an_upload_is_lost_as_a_vm_stops(tmp_path):
    _run(tmp_path, has_pipelining=True)


def test_no_request_is_lost_as_a_vm_stops_right_after_its_start(tmp_path):
    _run(tmp_path, has_new_vm=True)


def test_no_request_is_lost_as_the_leader_and_another_vm_stop(tmp_path):
    def disturb(operator, stopped):
        others = [g for g in operator.site.gateways if g is not stopped]
        operator.start_stop(operator.draw.choice(others))

    _run(tmp_path, disturb, ((1.0, 1.0),))


def test_no_request_is_lost_as_sigterm_comes_twice(tmp_path):
    def disturb(_, stopped):
        stopped.send_signal(signal.SIGTERM)

    _run(tmp_path, disturb, ((0.1, 3.0),))


def test_no_request_is_lost_as_sighup_comes_during_a_stop(tmp_path):
    def disturb(operator, _):
        for gateway in operator.site.gateways:
            gateway.send_signal(signal.SIGHUP)

    _run(tmp_path, disturb, ((0.1, 1.0),) * 3)


def test_no_request_is_lost_as_the_configuration_changes_in_a_stop(tmp_path):
    versions = iter((3, 4, 5))

    def disturb(operator, _):
        document = kept_channels.config(next(versions))
        operator.site.store.put("op", "config", document)

    _run(tmp_path, disturb, ((0.3, 1.0),) * 3)


def test_no_request_is_lost_as_upstreams_leave_in_a_stop(tmp_path):
    def disturb(operator, _):
        servers = list(operator.site.cluster.by_id.values())
        for server in operator.draw.sample(servers, 2):
            server.is_leaving = server.announces_exit = True
            server.register("draining")

    _run(tmp_path, disturb, ((0.0, 2.0),))


def test_no_request_is_lost_as_the_store_is_away_in_a_stop(tmp_path):
    def disturb(operator, _):
        operator.site.store.is_away = True

    _run(tmp_path, disturb, ((0.0, 0.5),))


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
    stops = kept_channels.Stops()
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
        stopping = asyncio.create_task(stops.stop(gateway))
        await asyncio.sleep(after_s)
        assert gateway.is_running
        usable = [channel for channel in channels if channel.is_usable]
        if usable:
            await _exchange_all(usable, plan)
        await asyncio.gather(held, stopping)
        return kept_channels.lost_requests(requests, stops.all, site.cluster)


@pytest.mark.parametrize("kind", _UPLOAD_KINDS)
@pytest.mark.parametrize(
    ("after_s", "header_timeout"), [(3.3, "3000ms"), (4.9, "10000ms")]
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
