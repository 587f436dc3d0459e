"""Gateway processes between callers, servers and the store."""

import asyncio
import json
import re
import signal

import aiohttp
import pytest

from tests.integration import gateways
from tests.integration import users_standins

_KEYED_EVERYWHERE = range(0, users_standins.KEYS, 4096)


def _run(tmp_path, scenario, count: int = 3, seed: int = 1) -> None:
    asyncio.run(gateways.Site(tmp_path, count, seed).run_scenario(scenario))


async def _all_served(site, timeout_s: float = 15) -> None:
    await site.until(site.is_serving, timeout_s)


def test_requests_are_served_and_routed(tmp_path):
    async def scenario(site):
        for _ in range(60):
            assert (await site.callers.call()).status == 200
        assert (await site.callers.call("/read/none/../x")).status == 200
        missing = await site.callers.call("/nowhere/x")
        assert missing.status == 404
        big = b"x" * (3 << 20)
        written = await site.callers.call("/write/x", body=big)
        assert written.body == f"{written.attempt}:{len(big)}".encode()
        too_big = await site.callers.call("/write/x", body=b"x" * (17 << 20))
        assert too_big.status in (0, 413)

    _run(tmp_path, scenario)


def test_metrics_show_what_was_served_since_the_start(tmp_path):
    async def page(client, gateway) -> str:
        try:
            async with client.get(f"http://{gateway.metrics}/metrics") as got:
                return await got.text()
        except aiohttp.ClientConnectorError:
            # Metrics are served some seconds after the start.
            return ""

    async def scenario(site):
        await _all_served(site)
        assert (await site.callers.call()).status == 200
        async with aiohttp.ClientSession() as client, asyncio.timeout(20):
            pages = [""]
            while not all(pages):
                pages = [await page(client, one) for one in site.gateways]
                await asyncio.sleep(0.05)
        answered = [
            line
            for text in pages
            for line in text.splitlines()
            if line.startswith("swiftstile_requests_total")
            and 'outcome="answered"' in line
        ]
        assert sum(float(line.split()[-1]) for line in answered) >= 1

    _run(tmp_path, scenario)


def test_a_configuration_takes_effect_everywhere_and_no_older_one(tmp_path):
    async def scenario(site):
        extra = users_standins.plain_route("/new/", "unsafe")
        site.store.put("op", "config", users_standins.config(5, extra))

        async def is_known():
            results = [
                await site.callers.call("/new/x", gateway=gateway)
                for gateway in site.gateways
            ]
            return all(result.status == 200 for result in results)

        await site.until(is_known, 3)
        site.store.put("op", "config", users_standins.config(4))
        site.store.put("op", "config", {"version": "00000009"})
        await asyncio.sleep(0.5)
        assert await is_known()
        log = site.gateways[0].log.read_text()
        assert "configuration refused" in log

    _run(tmp_path, scenario)


def test_keys_of_a_crashed_server_are_served_by_others(tmp_path):
    async def scenario(site):
        server = site.cluster.by_id["i-0000"]
        await server.stop()
        server.unregister()
        await _all_served(site)
        for key in _KEYED_EVERYWHERE:
            assert (await site.callers.call("/read/x", key)).status == 200

    _run(tmp_path, scenario)


def test_a_leaving_server_hands_its_keys_over(tmp_path):
    async def scenario(site):
        server = site.cluster.by_id["i-0000"]
        server.register("draining")

        async def is_empty():
            now = asyncio.get_running_loop().time()
            return not any(until > now for until in server.held_until)

        await site.until(is_empty, 3)
        before = len(site.cluster.runs)
        await _all_served(site, 5)
        for _ in range(40):
            await site.callers.call()
        late = [run.server for run in site.cluster.runs[before:]]
        assert server.name not in late

    _run(tmp_path, scenario)


def test_keys_keep_their_owners_in_an_outage_of_the_store(tmp_path):
    async def scenario(site):
        for endpoint in range(len(site.gateways)):
            site.store.mode_by_endpoint[endpoint] = "unresponsive"
        end = asyncio.get_running_loop().time() + 8
        while asyncio.get_running_loop().time() < end:
            outcome = await site.callers.call()
            assert outcome.status == 200
            await asyncio.sleep(0.02)
        site.store.mode_by_endpoint.clear()
        await _all_served(site)

    _run(tmp_path, scenario)


def test_a_vm_that_the_store_refuses_follows_its_peers(tmp_path):
    async def scenario(site):
        site.store.mode_by_endpoint[0] = "busy"
        await asyncio.sleep(1)
        server = site.cluster.by_id["i-0000"]
        await server.stop()
        server.unregister()
        site.store.put("op", "config", users_standins.config(7))
        await _all_served(site)
        log = site.gateways[0].log.read_text()
        assert "rows from a peer" in log

    _run(tmp_path, scenario)


def test_all_are_killed_and_serve_again(tmp_path):
    async def scenario(site):
        for gateway in site.gateways:
            await gateway.stop(signal.SIGKILL)
        await asyncio.gather(*(gateway.start() for gateway in site.gateways))
        await _all_served(site)

    _run(tmp_path, scenario)


def test_the_leader_is_killed_while_a_server_leaves(tmp_path):
    async def scenario(site):
        rows = site.store.rows["swiftstile", "leader"]
        name = rows.value.decode("latin-1")
        leader = next(g for g in site.gateways if f"vm-{g.number}#" in name)
        site.cluster.by_id["i-0002"].register("draining")
        await leader.stop(signal.SIGKILL)
        await leader.start()
        await _all_served(site, 20)

    _run(tmp_path, scenario)


def test_a_frozen_leader_that_returns_does_no_harm(tmp_path):
    async def scenario(site):
        rows = site.store.rows["swiftstile", "leader"]
        name = rows.value.decode("latin-1")
        leader = next(g for g in site.gateways if f"vm-{g.number}#" in name)
        leader.send_signal(signal.SIGSTOP)
        server = site.cluster.by_id["i-0004"]
        await server.stop()
        server.unregister()
        await asyncio.sleep(9)
        leader.send_signal(signal.SIGCONT)
        await _all_served(site, 20)

    _run(tmp_path, scenario)


def test_sigterm_finishes_what_is_in_flight(tmp_path):
    async def scenario(site):
        for server in site.cluster.by_id.values():
            server.work_s = 0.8
        gateway = site.gateways[1]
        calls = [
            asyncio.create_task(site.callers.call("/write/x", gateway=gateway))
            for _ in range(6)
        ]
        await asyncio.sleep(0.3)
        gateway.send_signal(signal.SIGTERM)
        results = await asyncio.gather(*calls)
        assert [result.status for result in results] == [200] * 6
        assert await _ready_status(gateway) == 503
        async with asyncio.timeout(7):
            assert await gateway.process.wait() == 0

    _run(tmp_path, scenario)


def test_lost_and_late_writes_and_late_grants_do_no_harm(tmp_path):
    async def scenario(site):
        for server in site.cluster.by_id.values():
            server.delayed_grant_share = 0.2
        for endpoint in range(len(site.gateways)):
            site.store.mode_by_endpoint[endpoint] = "lost"
        server = site.cluster.by_id["i-0000"]
        server.register("draining")
        await asyncio.sleep(2)
        for endpoint in range(len(site.gateways)):
            site.store.mode_by_endpoint[endpoint] = "late"
        site.cluster.by_id["i-0002"].register("draining")
        await asyncio.sleep(3)
        site.store.mode_by_endpoint.clear()
        for other in site.cluster.by_id.values():
            other.delayed_grant_share = 0.0
        await _all_served(site, 25)

    _run(tmp_path, scenario)


def test_a_request_can_be_followed_by_its_id(tmp_path):
    async def scenario(site):
        outcome = await site.callers.call("/write/x", gateway=site.gateways[0])

        async def lines():
            text = site.gateways[0].log.read_text()
            return [
                json.loads(line)
                for line in text.splitlines()
                if outcome.attempt in line
            ]

        await site.until(_async_len_at_least(lines, 2), 3)
        sent, answered = await lines()
        assert (sent["event"], answered["event"]) == ("sent", "answered")
        assert answered["status"] == 200
        assert (sent["vm"], sent["route"]) == ("vm-0", "writes")
        assert sent["upstream"] == answered["upstream"]
        assert sent["upstream"] in site.cluster.by_id
        assert sent["config"] == 1
        assert 0 <= answered["at_ms"] - sent["at_ms"] < 4000

    _run(tmp_path, scenario, count=1)


async def _ready_status(gateway) -> int:
    url = f"http://{gateway.ready}/ready"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return answer.status


def _async_len_at_least(lines, count: int):
    async def condition():
        return len(await lines()) >= count

    return condition


@pytest.mark.parametrize(
    "data",
    [
        b"GET /read/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /read/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"GET /read/x HTTP/1.1\nHost: a.example\n\n",
        b"GET /read/x HTTP/1.1\r\nHost: a.example\r\nX: a\rb\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_malformed_requests_reach_no_server(tmp_path, data):
    async def scenario(site):
        before = len(site.cluster.runs)
        host, _, port = site.gateways[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.read(200)
        assert re.match(rb"HTTP/1.[01] 4\d\d ", answer) or answer == b""
        writer.close()
        assert len(site.cluster.runs) == before

    _run(tmp_path, scenario, count=1)


def test_limits_of_the_configuration_are_kept(tmp_path):
    async def scenario(site):
        gateway = site.gateways[0]
        url = f"http://{gateway.front}/read/x"
        headers = {"Host": "a.example", "X-Shard-Key": "1"}
        async with aiohttp.ClientSession() as session:
            long = headers | {"X-Long": "x" * 20000}
            async with session.get(url, headers=long) as answer:
                assert answer.status == 431
            async with session.post(
                f"http://{gateway.front}/write/x",
                headers=headers | {"X-Attempt-Id": "expecting"},
                data=b"body",
                expect100=True,
            ) as answer:
                assert answer.status == 200
                assert await answer.read() == b"expecting:4"

    _run(tmp_path, scenario, count=1)
