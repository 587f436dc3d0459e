"""Requests that are still open late in a planned stop of their VM."""

import asyncio
import json
import signal

import pytest

from tests.integration import gateways
from tests.integration import late_requests
from tests.integration import users_standins


def _events(gateway: gateways.Gateway, attempt: str) -> list[str]:
    """Returns the events that the log of a VM names an attempt in."""
    return [
        json.loads(text)["event"]
        for text in gateway.log.read_text().splitlines()
        if f'"id":"{attempt}"' in text
    ]


def test_a_request_open_at_the_end_of_a_stop_leaves_a_line(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=20)
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(1)
        attempt, _ = await channel.upload(1000)
        assert await gateway.process.wait() == 0
        events = _events(gateway, attempt)
        assert {"cut", "failed"} & set(events), events

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_uploads_whose_bodies_end_late_in_a_stop_are_not_cut(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=0.5)
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.9)
        attempt = channel.send_head(60_000)
        answer = asyncio.create_task(channel.status())
        for _ in range(25):
            await asyncio.sleep(0.1)
            channel.send_body(2400)
        assert await answer in (200, 503), _events(gateway, attempt)

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


@pytest.mark.parametrize(
    "spec", [{}, {"objective": "800ms"}], ids=["usual", "longer-than-usual"]
)
def test_requests_that_wait_for_slots_in_a_stop_are_refused_in_time(
    tmp_path, spec
):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=1.5, **spec)
        channels = [
            await late_requests.Channel.open(gateway) for _ in range(60)
        ]
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        sent_at = asyncio.get_running_loop().time()

        async def upload(channel: late_requests.Channel) -> tuple[int, float]:
            _, status = await channel.upload(1000)
            return status, asyncio.get_running_loop().time() - sent_at

        ended = await asyncio.gather(*map(upload, channels))
        assert {status for status, _ in ended} <= {200, 503}, ended
        # At the half of the time left at the latest, a caller goes elsewhere.
        refused_s = [after_s for status, after_s in ended if status == 503]
        assert max(refused_s, default=0) < 3.0, refused_s

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_requests_for_a_silent_upstream_are_answered_before_the_exit(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=30)
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        # What became of it is unknown, and its caller learns that.
        assert (await channel.upload(1000))[1] == 502

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_requests_read_behind_another_one_in_a_stop_are_answered(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=0.5)
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(1)
        for _ in range(2):
            channel.send_head(1000)
            channel.send_body(1000)
        statuses = [await channel.status() for _ in range(2)]
        assert statuses[0] == 200
        assert statuses[1] in (200, 503)

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_stop_ends_before_a_short_grace(tmp_path):
    async def scenario(site):
        await late_requests.restart_with_grace(site, "1s")
        gateway = site.gateways[0]
        started = asyncio.get_running_loop().time()
        assert await gateway.stop(signal.SIGTERM) == 0
        assert asyncio.get_running_loop().time() - started < 1

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_answers_in_progress_are_not_cut_as_the_last_requests_end(tmp_path):
    async def scenario(site):
        await late_requests.restart_with_grace(site, "12s")
        gateway = await late_requests.prepare(site, work_s=7.0)
        for server in site.cluster.by_id.values():
            # From 9.5 s to 10.4 s after the signal; requests end at 10.2 s.
            server.long_answer_s = 0.9
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        channel.send_head(1000, "/slow" + users_standins.LONG_ANSWER)
        channel.send_body(1000)
        assert await channel.status() == 200

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_uploads_are_not_ended_for_a_pause_of_their_upstream(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=0.1)
        for server in site.cluster.by_id.values():
            server.read_pause_s = 1.8
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.2)
        # More than the buffers on the way to the upstream hold.
        assert (await channel.upload(16_000_000))[1] == 200

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))
