"""Long answers to requests that arrive late in a planned stop."""

import asyncio
import json
import signal

from tests.integration import gateways
from tests.integration import users_standins

_ATTEMPT = "0123456789abcdef"


async def _cut_answer(site: gateways.Site) -> tuple[int, int, int]:
    """Returns the status of a late long answer, its bytes, and its length."""
    # Less time than is left: the answer may still take the caller's time.
    route = users_standins.plain_route("/long/", "safe", "1200ms")
    site.store.put("op", "config", users_standins.config(2, route))
    for server in site.cluster.by_id.values():
        server.work_s, server.long_answer_s = 0.05, 4.0
    gateway = site.gateways[0]

    async def has_route() -> bool:
        lines = site.log_lines("configuration in force")
        return any(
            line["version"] == 2 and line["vm"] == "vm-0" for line in lines
        )

    await site.until(has_route, 10)
    host, _, port = gateway.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    attempt = _ATTEMPT
    head = (
        f"GET /long/x{users_standins.LONG_ANSWER} HTTP/1.1\r\n"
        f"Host: a.example\r\nX-Attempt-Id: {attempt}\r\n"
        "X-Deadline-Ms: 9000\r\n"
    )
    gateway.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.9)
    # Its answer keeps the process from ending.
    other_reader, other_writer = await asyncio.open_connection(host, int(port))
    other_writer.write(head.replace("0123", "4567").encode() + b"\r\n")
    other = asyncio.create_task(other_reader.read(-1))
    await asyncio.sleep(1.9)
    writer.write(head.encode())
    # Past the half of the grace, as late requests are.
    await asyncio.sleep(0.7)
    writer.write(b"\r\n")
    answer = await reader.readuntil(b"\r\n\r\n")
    status = int(answer.split()[1])
    length = int(
        answer.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    )
    received = 0
    try:
        while piece := await reader.read(1 << 16):
            received += len(piece)
            if received >= length:
                break
    except ConnectionError:
        pass
    other.cancel()
    await gateway.process.wait()
    return status, received, length


def test_long_answers_are_not_begun_late_in_a_stop_and_cut(tmp_path):
    async def scenario(site):
        status, received, length = await _cut_answer(site)
        assert received == length, (status, received, length)

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))


def test_an_answer_cut_by_a_stop_is_counted_as_cut(tmp_path):
    async def scenario(site):
        _, received, length = await _cut_answer(site)
        lines = [
            json.loads(text)
            for text in site.gateways[0].log.read_text().splitlines()
            if text.startswith("{")
        ]
        (stopped,) = [x for x in lines if x["event"] == "gateway stopped"]
        ends = [
            (x["event"], x.get("status"), x.get("reason"))
            for x in lines
            if x.get("id") == _ATTEMPT
        ]
        # Both answers that a caller saw end early, or none.
        assert received == length or stopped["cut"] > 0, (stopped, ends)

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))
