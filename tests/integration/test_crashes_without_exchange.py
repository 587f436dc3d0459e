"""Tests crashes of upstreams that no exchange shows to a VM.

The caller closed its connection before the upstream crashed, or the upstream
stops answering and its connections stay open. The request comes again all the
same, and must not go on crashing upstreams.
"""

import asyncio
import dataclasses
import itertools
import random
import uuid

import aiohttp

from tests.integration import gateways
from tests.integration import users_standins

# Time within which all VMs learn of a crash: the platform's minimum bound.
_STABLE_WINDOW_S = 3.0
_CRASHES = 3
_MAX_LATER = 3
_CALLERS = 5
_PAUSE_S = 0.4
_ORDINARY_PER_S = 90
_SECONDS = 22.0


@dataclasses.dataclass(frozen=True)
class Case:
    """What crashing callers and upstreams do.

    Attributes:
        plan: How upstreams crash.
        leaves_after_s: Least and most time until the caller closes its
            connection; None if it waits for the answer.
        vms: Number of VMs.
    """

    plan: users_standins.CrashPlan
    leaves_after_s: tuple[float, float] | None = None
    vms: int = 4


_LATE_EXIT = users_standins.CrashPlan(after_s=(0.05, 0.4))
_LATE_STOP = users_standins.CrashPlan(
    users_standins.CrashKind.STOPS_ANSWERING, (0.05, 0.4), 2.5
)
_LEAVING = (0.05, 0.3)


class _Crasher:
    """A caller that repeats one request that crashes its upstream."""

    def __init__(self, site: gateways.Site, number: int, case: Case):
        self.path = f"/write/crash-{number}"
        self.reasons: list[str] = []
        self._site = site
        self._case = case
        self._address = f"127.0.7.{number + 1}"
        self._random = random.Random(number)

    async def run(self) -> None:
        while True:
            # A caller that leaves closes its connection, so that each attempt
            # has one of its own.
            connector = aiohttp.TCPConnector(local_addr=(self._address, 0))
            async with aiohttp.ClientSession(connector=connector) as session:
                await self._attempt(session)
            await asyncio.sleep(_PAUSE_S)

    async def _attempt(self, session: aiohttp.ClientSession) -> None:
        front = self._random.choice(self._site.gateways).front
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": uuid.uuid4().hex[:16],
            "X-Deadline-Ms": "3000",
        }
        wait_s = 4.0
        if self._case.leaves_after_s is not None:
            wait_s = self._random.uniform(*self._case.leaves_after_s)
        try:
            async with (
                asyncio.timeout(wait_s),
                session.post(
                    f"http://{front}{self.path}", headers=headers
                ) as answer,
            ):
                body = await answer.json()
                self.reasons.append(body.get("reason", ""))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self.reasons.append("")


async def _run_ordinary(site: gateways.Site, over: asyncio.Event) -> None:
    """Sends requests, most of them with a path of their own."""
    calls: set[asyncio.Task] = set()
    for number in itertools.count():
        if over.is_set():
            break
        kind = "read" if number % 2 else "write"
        path = f"/{kind}/{number if number % 4 else 'common'}"
        task = asyncio.create_task(site.callers.call(path))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1 / _ORDINARY_PER_S)
    if calls:
        await asyncio.wait(calls)


def _begun_late(site: gateways.Site) -> dict[str, int]:
    """Returns requests begun after the time limit, by path."""
    late = {}
    for path, times in site.cluster.crashes_by_path.items():
        if len(times) >= _CRASHES:
            limit = times[_CRASHES - 1] + _STABLE_WINDOW_S
            begun = site.cluster.begun_by_path[path]
            late[path] = sum(at > limit for at in begun)
    return late


def _summary(site: gateways.Site, crashers: list[_Crasher]) -> str:
    counts = site.callers.counts()
    served = counts[200] / max(1, sum(counts.values()))
    lines = [f"ordinary {dict(counts)} served {served:.3f}"]
    for one in crashers:
        crashes = site.cluster.crashes_by_path.get(one.path, [])
        begun = site.cluster.begun_by_path.get(one.path, [])
        told = one.reasons.count("crashes-upstreams")
        lines.append(
            f"{one.path} attempts {len(one.reasons)} begun {len(begun)}"
            f" crashes {len(crashes)} told {told}"
        )
    lines.append(f"begun late {_begun_late(site)}")
    return "\n".join(lines)


def _run(tmp_path, case: Case) -> None:
    async def scenario(site: gateways.Site) -> None:
        crashers = [_Crasher(site, n, case) for n in range(_CALLERS)]
        site.cluster.crashing_paths = {one.path for one in crashers}
        site.cluster.crash_plan = case.plan
        over = asyncio.Event()
        ordinary = asyncio.create_task(_run_ordinary(site, over))
        tasks = [asyncio.create_task(one.run()) for one in crashers]
        await asyncio.sleep(_SECONDS)
        for task in tasks:
            task.cancel()
        over.set()
        await ordinary
        print(_summary(site, crashers))
        late = _begun_late(site)
        assert late, "no request crashed three upstreams"
        assert max(late.values()) <= _MAX_LATER
        for outcome in site.callers.outcomes:
            assert b"crashes-upstreams" not in outcome.body

    async def run() -> None:
        site = gateways.Site(tmp_path, case.vms, seed=1)
        await site.run_scenario(scenario)

    asyncio.run(run())


def test_crash_after_the_caller_left_is_counted(tmp_path):
    _run(tmp_path, Case(_LATE_EXIT, _LEAVING))


def test_crash_of_an_upstream_that_stops_answering_is_counted(tmp_path):
    _run(tmp_path, Case(_LATE_STOP))


def test_end_of_answers_after_the_caller_left_is_counted(tmp_path):
    _run(tmp_path, Case(_LATE_STOP, _LEAVING))


def test_crash_of_an_upstream_that_is_back_at_once_is_counted(tmp_path):
    _run(tmp_path, Case(dataclasses.replace(_LATE_EXIT, downtime_s=0.15)))


def test_crash_of_an_upstream_that_registered_as_draining_is_counted(tmp_path):
    notice = users_standins.LeavingNotice.REGISTRATION
    plan = dataclasses.replace(_LATE_EXIT, notice=notice)
    _run(tmp_path, Case(plan))


def test_crash_of_an_upstream_that_answers_with_its_leaving_is_counted(
    tmp_path,
):
    notice = users_standins.LeavingNotice.ANSWERS
    plan = dataclasses.replace(_LATE_EXIT, notice=notice, notice_s=1.0)
    _run(tmp_path, Case(plan))


def test_crash_of_an_upstream_that_is_back_under_a_new_id_is_counted(tmp_path):
    _run(tmp_path, Case(dataclasses.replace(_LATE_STOP, renames=True)))
