"""Crowds of clients that hold much of a VM and finish little.

The VM runs with the memory of the smallest machines in use and few descriptors.
It has to stay within both and to serve ordinary requests beside each crowd.
"""

import asyncio
import contextlib
import signal
import uuid

import aiohttp
import pytest

from tests.integration import crowds
from tests.integration import gateways
from tests.integration import users_standins

MEMORY_MB = 160
MAX_FDS = 600
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
MAX_SOCKETS = MAX_FDS - FILE_DESCRIPTORS
_SERVED_TIMEOUT_S = 30.0
_SERVER_COUNT = 6


async def _ordinary_requests_are_served(site) -> None:
    """Waits until an ordinary read and an ordinary write are served.

    A refused one is sent again, as clients do.
    """

    async def is_served(path: str) -> bool:
        return (await site.callers.call(path)).status == 200

    for path in ("/read/x", "/write/x"):
        await site.until(lambda path=path: is_served(path), _SERVED_TIMEOUT_S)


def _check(watch, site, crowd_list) -> None:
    assert site.gateways[0].is_running
    assert watch.peak_mb <= MEMORY_MB
    assert watch.most_sockets <= MAX_SOCKETS
    broken = [
        problem
        for crowd in crowd_list
        for problem in crowd.broken_promises(site.cluster.runs)
    ]
    assert broken == []


async def _meet(site, address: str, size: int, behaviour, times: int = 1):
    """Lets crowds come and leave, one after the other, and checks the VM."""
    crowd_list = []
    watch = crowds.ProcessWatch(site.gateways[0].process.pid)
    async with watch.running():
        for _ in range(times):
            crowd = crowds.Crowd(address, size, behaviour)
            crowd_list.append(crowd)
            async with crowd.present():
                await _ordinary_requests_are_served(site)
        await _ordinary_requests_are_served(site)
    _check(watch, site, crowd_list)


def _run(tmp_path, scenario) -> None:
    site = gateways.Site(
        tmp_path, 1, limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    )
    asyncio.run(site.run_scenario(scenario))


@pytest.mark.parametrize(
    ("size", "behaviour"),
    [
        pytest.param(200, crowds.ShortBody(), id="short"),
        pytest.param(200, crowds.ShortBody(method="GET"), id="short-get"),
        pytest.param(
            200, crowds.ShortBody(deadline_ms=60_000), id="short-patient"
        ),
        pytest.param(
            200, crowds.ShortBody(is_chunked=True), id="short-in-chunks"
        ),
        pytest.param(
            200, crowds.ShortBody(sent=900_000, pause_s=0.5), id="slow"
        ),
        pytest.param(200, crowds.ShortBody(before=20), id="pipelined"),
        pytest.param(300, crowds.ShortBody(8_000_000), id="short-large"),
        pytest.param(300, crowds.WholeBody(), id="whole"),
        pytest.param(
            200, crowds.ShortBody(path="/nowhere/x"), id="without-route"
        ),
    ],
)
def test_memory_holds_many_bodies_that_do_not_end(tmp_path, size, behaviour):
    # Bodies were buffered without a limit of their sum or of their time.
    async def scenario(site):
        await _meet(site, site.gateways[0].front, size, behaviour)

    _run(tmp_path, scenario)


def test_memory_of_clients_that_left_is_free(tmp_path):
    # Each of several crowds added to the memory of those before.
    async def scenario(site):
        behaviour = crowds.ShortBody()
        await _meet(site, site.gateways[0].front, 150, behaviour, times=4)

    _run(tmp_path, scenario)


@pytest.mark.parametrize(
    ("size", "behaviour"),
    [
        pytest.param(40, crowds.UnfinishedHead(), id="unfinished"),
        pytest.param(300, crowds.PipelinedHeads(), id="pipelined"),
        pytest.param(100, crowds.TinyChunks(), id="tiny-chunks"),
        pytest.param(100, crowds.MalformedRequests(), id="malformed"),
    ],
)
def test_memory_holds_many_heads(tmp_path, size, behaviour):
    # A head was limited once it was complete, and pipelined ones not in sum.
    async def scenario(site):
        await _meet(site, site.gateways[0].front, size, behaviour)

    _run(tmp_path, scenario)


def test_memory_holds_answers_that_nobody_reads(tmp_path):
    async def scenario(site):
        behaviour = crowds.UnreadAnswers()
        await _meet(site, site.gateways[0].front, 200, behaviour)

    _run(tmp_path, scenario)


@pytest.mark.parametrize("listener", ["front", "ready", "forward", "metrics"])
def test_descriptors_hold_many_silent_connections(tmp_path, listener):
    # Connections were accepted until no descriptor was left for upstreams,
    # the store and other VMs.
    async def scenario(site):
        address = getattr(site.gateways[0], listener)
        if listener == "metrics":
            await _wait_for_metrics(site)
        await _meet(site, address, 500, crowds.Silence())

    _run(tmp_path, scenario)


def test_descriptors_hold_many_unfinished_requests(tmp_path):
    # As above, by connections that aren't idle.
    async def scenario(site):
        behaviour = crowds.ShortBody(1000, deadline_ms=60_000)
        await _meet(site, site.gateways[0].front, 500, behaviour)

    _run(tmp_path, scenario)


@pytest.mark.parametrize("listener", ["ready", "forward", "metrics"])
@pytest.mark.parametrize(
    ("size", "behaviour"),
    [
        pytest.param(200, crowds.ShortBody(), id="short"),
        pytest.param(40, crowds.UnfinishedHead(), id="heads"),
    ],
)
def test_memory_holds_crowds_at_other_listeners(
    tmp_path, listener, size, behaviour
):
    # Each listener had limits of its own, or none.
    async def scenario(site):
        address = getattr(site.gateways[0], listener)
        if listener == "metrics":
            await _wait_for_metrics(site)
        await _meet(site, address, size, behaviour)

    _run(tmp_path, scenario)


@pytest.mark.parametrize("seed", range(6))
def test_random_crowds_leave_the_vm_serving(tmp_path, seed):
    # Crowds of random kinds, sizes and paces overlap.
    async def scenario(site):
        address = site.gateways[0].front
        crowd_list = []

        async def play(wave: crowds.Wave) -> None:
            await asyncio.sleep(wave.starts_s)
            crowd = crowds.Crowd(address, wave.size, wave.behaviour)
            crowd_list.append(crowd)
            async with crowd.present():
                await asyncio.sleep(wave.stays_s)

        watch = crowds.ProcessWatch(site.gateways[0].process.pid)
        async with watch.running():
            async with asyncio.TaskGroup() as group:
                for wave in crowds.random_waves(seed):
                    group.create_task(play(wave))
                group.create_task(_ordinary_requests_are_served(site))
            await _ordinary_requests_are_served(site)
        _check(watch, site, crowd_list)

    _run(tmp_path, scenario)


async def _use_uploads(site, timeout: str = "30000ms", **limits) -> None:
    """Puts a route of uploads in force that wait for long."""
    site.store.put("op", "config", _legal_config(timeout, **limits))
    await site.until(_has_route(site), _SERVED_TIMEOUT_S)


def test_stalled_uploads_leave_slots_to_ordinary_requests(tmp_path):
    # Each kept a slot of an upstream until its time was up, and all others of
    # the service were refused meanwhile.
    async def scenario(site):
        await _use_uploads(site, timeout="120000ms")
        behaviour = crowds.ShortBody(
            8_000_000, path="/upload/x", deadline_ms=120_000
        )
        address = site.gateways[0].front
        async with contextlib.AsyncExitStack() as stack:
            # A part of each crowd is refused, and the others get slots.
            for _ in range(8):
                crowd = crowds.Crowd(address, 30, behaviour)
                await stack.enter_async_context(crowd.present())
            await _ordinary_requests_are_served(site)

    _run(tmp_path, scenario)


def test_stalled_bodies_are_refused_when_the_process_stops(tmp_path):
    # They used up the time until the process is killed, and got no answer.
    async def scenario(site):
        await _use_uploads(site)
        gateway = site.gateways[0]
        behaviour = crowds.ShortBody(1000, path="/upload/x", deadline_ms=60_000)
        crowd = crowds.Crowd(gateway.front, 20, behaviour)
        async with crowd.present():
            assert await gateway.stop(signal.SIGTERM) == 0
            await asyncio.sleep(0.1)
        assert [client.statuses for client in crowd.clients] == [[503]] * 20
        assert crowd.broken_promises(site.cluster.runs) == []

    _run(tmp_path, scenario)


async def _wait_for_metrics(site) -> None:
    """Waits until the VM serves its metrics."""
    url = f"http://{site.gateways[0].metrics}/health"

    async def is_served() -> bool:
        async with aiohttp.ClientSession() as session:
            try:
                async with session.get(url) as answer:
                    return answer.status == 200
            except aiohttp.ClientError:
                return False

    await site.until(is_served, _SERVED_TIMEOUT_S)


def _legal_config(timeout: str, **limits) -> dict:
    """Returns a configuration with a route of uploads and other limits."""
    route = users_standins.plain_route("/upload/", "upload")
    route["spec"] |= {"timeout": timeout, "objective": "600ms"}
    document = users_standins.config(2, route)
    document["resources"][-1]["spec"] |= limits
    return document


async def _upload(site, size: int, pieces: int, pause_s: float) -> None:
    """Uploads a body in equal pieces and checks that it is served."""
    piece = bytes(size // pieces)

    async def body():
        for _ in range(pieces):
            yield piece
            await asyncio.sleep(pause_s)

    headers = {
        "Host": "a.example",
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": "30000",
        "Content-Length": str(len(piece) * pieces),
    }
    url = f"http://{site.gateways[0].front}/upload/x"
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.post(url, headers=headers, data=body()) as answer,
    ):
        text = await answer.read()
        assert (answer.status, text.partition(b":")[2]) == (
            200,
            str(len(piece) * pieces).encode(),
        )


def test_an_upload_of_the_longest_body_is_served(tmp_path):
    async def scenario(site):
        await _use_uploads(site, max_body_bytes=1 << 26)
        await _upload(site, 1 << 26, 64, 0.05)

    _run(tmp_path, scenario)


def test_several_slow_uploads_at_once_are_served(tmp_path):
    async def scenario(site):
        await _use_uploads(site)
        async with asyncio.TaskGroup() as group:
            for _ in range(4):
                group.create_task(_upload(site, 1 << 23, 8, 0.8))
            for _ in range(4):
                group.create_task(_upload(site, 1_000_000, 8, 0.8))

    _run(tmp_path, scenario)


def _has_route(site):
    async def has_route() -> bool:
        return (await site.callers.call("/upload/x")).status == 200

    return has_route


@pytest.mark.parametrize("size", [1, 3, 4096])
def test_a_body_in_chunks_of_any_size_is_served(tmp_path, size):
    async def scenario(site):
        client = crowds.Client("c" * 16)
        host, _, port = site.gateways[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /write/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: "
            + client.attempt.encode()
            + b"\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        count = 30_000 // size
        chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
        writer.write(chunk * count + b"0\r\n\r\n")
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        body = await reader.readexactly(len(f"{client.attempt}:{size * count}"))
        assert body == f"{client.attempt}:{size * count}".encode()
        writer.close()

    _run(tmp_path, scenario)


def test_a_connection_is_used_again_shortly_before_its_idle_timeout(tmp_path):
    async def scenario(site):
        await _use_uploads(site, idle_timeout="2500ms")
        host, _, port = site.gateways[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(2):
            client = crowds.Client(f"{number}" * 16)
            await crowds.PipelinedHeads(1, 10).send(writer, client)
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await reader.readuntil(f"{client.attempt}:0".encode())
            await asyncio.sleep(2.0 if number == 0 else 0.0)
        writer.close()

    _run(tmp_path, scenario)


def test_32_pipelined_requests_with_the_longest_heads_are_served(tmp_path):
    async def scenario(site):
        host, _, port = site.gateways[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        client = crowds.Client("p" * 16)
        behaviour = crowds.PipelinedHeads(32, 16_000)
        sending = asyncio.create_task(behaviour.send(writer, client))
        for _ in range(32):
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            await reader.readuntil(b":0")
        await sending
        writer.close()

    _run(tmp_path, scenario)
