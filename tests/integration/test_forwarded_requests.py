"""Requests that a VM without upstreams forwards to another VM."""

import asyncio
import signal

import aiohttp
import pytest

from tests.integration import gateways
from tests.integration import link_cuts
from tests.integration import users_standins

# A VM concludes within this time that it has lost its upstreams.
_KNOWN_S = 2.5
_AT_ONCE_S = 0.5
# Work at an upstream ends within this time after its caller left.
_CALLER_LEFT_S = 0.5
_LARGE_BYTES = 3 << 20


def _now() -> float:
    return asyncio.get_running_loop().time()


def _run(tmp_path, scenario, vms: int = 3) -> None:
    asyncio.run(gateways.Site(tmp_path, vms, seed=31).run_scenario(scenario))


async def _cut(site, *numbers: int) -> None:
    """Cuts VMs off from all upstreams and waits until they know."""
    hosts = [site.gateways[number].host for number in numbers]
    site.cluster.links.cut(hosts, link_cuts.Cut.SILENT)

    async def has_forwarded() -> bool:
        for number in numbers:
            await site.callers.call("/read/x", 1, site.gateways[number])
        events = site.log_lines("upstreams unreachable")
        await asyncio.sleep(0.1)
        return len({line["vm"] for line in events}) == len(numbers)

    await site.until(has_forwarded, 2 * _KNOWN_S)


async def _chunks(count: int):
    for _ in range(count):
        yield b"x" * 1000
        await asyncio.sleep(0)


def test_bodies_and_pipelined_requests_arrive_whole(tmp_path):
    async def scenario(site):
        await _cut(site, 0)
        gateway = site.gateways[0]
        for body in (b"y" * 200_000, b"z" * _LARGE_BYTES):
            outcome = await site.callers.call("/write/x", 7, gateway, body)
            assert outcome.status == 200
            assert outcome.body.endswith(b":%d" % len(body))
        outcome = await site.callers.call("/write/x", 7, gateway, _chunks(50))
        assert outcome.body.endswith(b":50000")
        before = len(site.callers.outcomes)
        await site.callers.pipeline(gateway, 6)
        piped = site.callers.outcomes[before:]
        assert [outcome.status for outcome in piped] == [200] * 6

    _run(tmp_path, scenario)


def test_long_answers_arrive_whole_directly_and_forwarded(tmp_path):
    async def scenario(site):
        await _cut(site, 0)
        for gateway in site.gateways:
            path = f"/read/x{users_standins.LONG_ANSWER}"
            outcome = await site.callers.call(path, 3, gateway)
            assert outcome.status == 200
            assert len(outcome.body) > users_standins.LONG_ANSWER_BYTES

    _run(tmp_path, scenario)


def test_work_ends_when_the_caller_of_a_forwarded_request_leaves(tmp_path):
    async def scenario(site):
        await _cut(site, 0)
        for server in site.cluster.by_id.values():
            server.work_s = 3.0
        call = asyncio.create_task(
            site.callers.call("/read/slow", 9, site.gateways[0])
        )

        async def is_running() -> bool:
            return any(s.running for s in site.cluster.by_id.values())

        await site.until(is_running, 2.0)
        call.cancel()
        left_at = _now()

        async def has_ended() -> bool:
            return not await is_running()

        await site.until(has_ended, _CALLER_LEFT_S)
        assert _now() - left_at < _CALLER_LEFT_S
        for server in site.cluster.by_id.values():
            server.work_s = 0.03

    _run(tmp_path, scenario)


def test_requests_are_refused_at_once_if_no_vm_reaches_an_upstream(tmp_path):
    async def scenario(site):
        await _cut(site, 0, 1, 2)
        await asyncio.sleep(1.0)
        for gateway in site.gateways:
            asked_at = _now()
            outcome = await site.callers.call("/write/x", 5, gateway)
            assert outcome.status == 503
            assert b"no-upstream-path" in outcome.body
            assert _now() - asked_at < _AT_ONCE_S
        site.cluster.links.heal([g.host for g in site.gateways])
        await site.until(site.is_serving, 5.0)

    _run(tmp_path, scenario)


def test_only_registered_vms_may_forward_requests(tmp_path):
    async def scenario(site):
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": "0123456789abcdef",
            "X-Deadline-Ms": "3000",
            "Swiftstile-Run": "00000000",
            "Swiftstile-Age-Ms": "0",
            "Swiftstile-Sends": "0",
            "Swiftstile-Config": "1",
        }
        arrived = [len(s.arrivals) for s in site.cluster.by_id.values()]
        async with aiohttp.ClientSession() as session:
            for gateway in site.gateways:
                url = f"http://{gateway.forward}/write/x"
                async with session.post(url, headers=headers) as answer:
                    assert answer.status == 503
                    assert "unknown-vm" in await answer.text()
        now = [len(s.arrivals) for s in site.cluster.by_id.values()]
        assert now == arrived

    _run(tmp_path, scenario)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_no_request_is_doubled_or_wrongly_refused_if_the_sending_vm_is_lost(
    tmp_path, number
):
    async def scenario(site):
        await _cut(site, 0)
        for server in site.cluster.by_id.values():
            server.work_s = 0.3
        calls = [
            asyncio.create_task(
                site.callers.call(path, key * 4000, site.gateways[0])
            )
            for key in range(12)
            for path in ("/read/x", "/write/x")
        ]
        await asyncio.sleep(0.15)
        site.gateways[1].send_signal(number)
        await asyncio.gather(*calls)
        outcomes = [call.result() for call in calls]
        assert all(outcome.status for outcome in outcomes)
        reads = [o.status for o in outcomes if o.method == "GET"]
        assert reads.count(200) >= len(reads) / 2
        ran = {run.attempt for run in site.cluster.runs}
        unknown = [
            outcome
            for outcome in outcomes
            if outcome.method != "GET"
            and outcome.attempt in ran
            and outcome.status != 200
        ]
        assert all(outcome.status in (502, 504) for outcome in unknown)

    _run(tmp_path, scenario, vms=4)
