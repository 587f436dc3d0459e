"""Tests connections of callers that pipeline requests."""

import asyncio
import contextlib

from aiohttp import web
import hypothesis
from hypothesis import strategies as st
import pytest

from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import request_queue

# Long enough to reveal responses in the wrong order.
_SLOW_S = 0.05


class _ScriptedResponder(caller_requests.Responder):
    """Responds as given by the path, `/NAME/DELAY_MS/BYTES`.

    Requests for `/x...` may not run concurrently with others.

    Attributes:
        started: Paths in the order in which their handling started.
        cancelled: Paths whose handling was cancelled.
        arrivals: Times of arrival by path.
    """

    def __init__(self):
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.arrivals: dict[str, float] = {}
        self.gates: dict[str, asyncio.Event] = {}
        self.concurrent = 0
        self.max_concurrent = 0

    async def respond(self, incoming):
        path = incoming.request.path
        self.started.append(path)
        self.arrivals[path] = incoming.arrived
        self.concurrent += 1
        self.max_concurrent = max(self.concurrent, self.max_concurrent)
        try:
            return await self._answer(incoming, path)
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        finally:
            self.concurrent -= 1

    async def _answer(self, incoming, path):
        _, name, delay_ms, size = path.split("/")
        body = await incoming.request.read()
        gate = self.gates.get(path)
        if gate is not None:
            await gate.wait()
        await asyncio.sleep(int(delay_ms) / 1000)
        if name.startswith("fail"):
            return web.Response(status=503, text=path)
        if not name.startswith("long"):
            return web.Response(text=path + "." * int(size) + str(len(body)))
        await incoming.wait_for_turn()
        response = web.StreamResponse()
        response.content_length = len(path)
        await response.prepare(incoming.request)
        for byte in path.encode():
            await response.write(bytes([byte]))
        await response.write_eof()
        return response

    def respond_malformed(self, error):
        return web.Response(status=400, text="malformed")

    def may_run_concurrently(self, request):
        return request.method == "GET" and not request.path.startswith("/x")


class _Caller:

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    def send(self, *paths: str, extra: str = "") -> None:
        head = "GET {} HTTP/1.1\r\nHost: a.example\r\n{}\r\n"
        data = "".join(head.format(path, extra) for path in paths)
        self.writer.write(data.encode())

    async def answer(self) -> tuple[int, str, bool]:
        """Returns status, body and whether the connection will be closed."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split()[1])
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        body = (await self._reader.readexactly(length)).decode()
        return status, body, "connection: close" in head

    async def is_closed(self) -> bool:
        return await self._reader.read() == b""


def _run(scenario) -> None:
    async def main():
        responder = _ScriptedResponder()
        connections: set = set()
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: callers.CallerConnection(loop, responder, connections),
            "127.0.0.1",
            0,
        )
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(10):
                await scenario(responder, _Caller(reader, writer))
        finally:
            writer.close()
            listener.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()
        await _until(lambda: not connections)

    asyncio.run(main())


async def _until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)


def _gate(responder, path: str) -> asyncio.Event:
    return responder.gates.setdefault(path, asyncio.Event())


def test_slow_request_does_not_delay_handling_of_later_ones():
    async def scenario(responder, caller):
        gate = _gate(responder, "/slow/0/0")
        paths = ["/slow/0/0", "/a/0/0", "/b/0/0"]
        caller.send(*paths)
        await _until(lambda: responder.started == paths)
        gate.set()
        for path in paths:
            status, body, closes = await caller.answer()
            assert (status, body, closes) == (200, path + "0", False)

    _run(scenario)


def test_request_behind_a_non_idempotent_one_waits_for_its_turn():
    async def scenario(responder, caller):
        gate = _gate(responder, "/x1/0/0")
        caller.send("/x1/0/0", "/a/0/0", "/x2/0/0", "/b/0/0")
        await _until(lambda: responder.started == ["/x1/0/0"])
        # A request that may overlap doesn't start beside one that may not.
        await asyncio.sleep(0)
        assert responder.started == ["/x1/0/0"]
        gate.set()
        for path in ("/x1/0/0", "/a/0/0", "/x2/0/0", "/b/0/0"):
            assert (await caller.answer())[1].startswith(path)
        assert responder.max_concurrent == 1

    _run(scenario)


def test_request_behind_one_with_a_body_waits_for_its_turn():
    async def scenario(responder, caller):
        caller.writer.write(
            b"POST /p/20/0 HTTP/1.1\r\nHost: a.example\r\n"
            b"Content-Length: 100000\r\n\r\n" + b"z" * 100000
        )
        caller.send("/a/0/0")
        assert (await caller.answer())[1] == "/p/20/0100000"
        assert (await caller.answer())[1] == "/a/0/00"
        assert responder.max_concurrent == 1

    _run(scenario)


def test_requests_behind_a_closing_one_are_not_started():
    async def scenario(responder, caller):
        caller.send("/a/20/0", extra="Connection: close\r\n")
        caller.send("/b/0/0")
        assert await caller.answer() == (200, "/a/20/00", True)
        assert await caller.is_closed()
        assert responder.started == ["/a/20/0"]

    _run(scenario)


def test_requests_read_before_a_draining_vm_closes_are_all_answered():
    async def scenario(responder, caller):
        gate = _gate(responder, "/slow/0/0")
        caller.send("/slow/0/0", "/a/0/0")
        await _until(lambda: len(responder.started) == 2)
        responder.is_leaving = True
        caller.send("/b/0/0", "/c/0/0")
        await asyncio.sleep(_SLOW_S)
        gate.set()
        assert await caller.answer() == (200, "/slow/0/00", False)
        assert await caller.answer() == (200, "/a/0/00", False)
        assert await caller.answer() == (200, "/b/0/00", False)
        assert await caller.answer() == (200, "/c/0/00", True)
        caller.send("/d/0/0")
        assert await caller.is_closed()
        # A request behind the closing response isn't handled.
        assert responder.started == ["/slow/0/0", "/a/0/0", "/b/0/0", "/c/0/0"]

    _run(scenario)


def test_error_between_two_responses_leaves_both_complete():
    async def scenario(responder, caller):
        caller.send("/a/30/0", "/fail/0/0", "/b/10/5")
        assert await caller.answer() == (200, "/a/30/00", False)
        assert await caller.answer() == (503, "/fail/0/0", False)
        assert await caller.answer() == (200, "/b/10/5.....0", False)

    _run(scenario)


def test_streamed_response_is_written_at_its_turn():
    async def scenario(responder, caller):
        gate = _gate(responder, "/slow/0/0")
        caller.send("/slow/0/0", "/long/0/0", "/b/0/0")
        await _until(lambda: len(responder.started) == 3)
        await asyncio.sleep(_SLOW_S)
        gate.set()
        assert (await caller.answer())[1] == "/slow/0/00"
        assert (await caller.answer())[1] == "/long/0/0"
        assert (await caller.answer())[1] == "/b/0/00"

    _run(scenario)


def test_disconnect_of_a_caller_cancels_all_its_requests():
    async def scenario(responder, caller):
        paths = [f"/a{i}/5000/0" for i in range(3)]
        caller.send(*paths)
        await _until(lambda: len(responder.started) == 3)
        caller.writer.transport.abort()
        await _until(lambda: sorted(responder.cancelled) == paths)

    _run(scenario)


def test_concurrent_requests_of_one_caller_are_limited():
    async def scenario(responder, caller):
        paths = [
            f"/a{i}/2/0" for i in range(3 * request_queue.MAX_PENDING_REQUESTS)
        ]
        caller.send(*paths)
        for path in paths:
            assert (await caller.answer())[1] == path + "0"
        assert responder.started == paths
        assert (
            1
            < responder.max_concurrent
            <= request_queue.MAX_CONCURRENT_REQUESTS
        )

    _run(scenario)


def test_size_of_waiting_responses_is_limited():
    async def scenario(responder, caller):
        gate = _gate(responder, "/slow/0/0")
        size = request_queue.MAX_FINISHED_BYTES
        paths = [f"/a{i}/0/{size}" for i in range(4)]
        caller.send("/slow/0/0", paths[0])
        await _until(lambda: len(responder.started) == 2)
        await asyncio.sleep(_SLOW_S)
        caller.send(*paths[1:])
        await asyncio.sleep(_SLOW_S)
        # One response fills the buffer, so that no other request is started.
        assert responder.started == ["/slow/0/0", paths[0]]
        gate.set()
        assert (await caller.answer())[1] == "/slow/0/00"
        for path in paths:
            assert (await caller.answer())[1].startswith(path)

    _run(scenario)


def test_arrival_time_is_the_time_of_the_head():
    async def scenario(responder, caller):
        count = request_queue.MAX_CONCURRENT_REQUESTS + 4
        paths = [f"/a{i}/20/0" for i in range(count)]
        caller.send(*paths)
        for _ in paths:
            await caller.answer()
        times = [responder.arrivals[path] for path in paths]
        assert max(times) - min(times) < 0.02

    _run(scenario)


def test_malformed_request_does_not_affect_earlier_ones_in_the_same_read():
    async def scenario(_responder, caller):
        head = "GET /a/5/0 HTTP/1.1\r\nHost: a.example\r\n\r\n"
        caller.writer.write(head.encode() * 2 + b"no request\r\n\r\n")
        assert await caller.answer() == (200, "/a/5/00", False)
        assert await caller.answer() == (200, "/a/5/00", False)
        assert await caller.answer() == (400, "malformed", True)

    _run(scenario)


def test_malformed_request_is_answered_after_earlier_ones():
    async def scenario(responder, caller):
        caller.send("/a/20/0")
        await _until(lambda: responder.started == ["/a/20/0"])
        caller.writer.write(b"no request\r\n\r\n")
        caller.send("/b/0/0")
        assert await caller.answer() == (200, "/a/20/00", False)
        assert await caller.answer() == (400, "malformed", True)
        assert await caller.is_closed()
        assert responder.started == ["/a/20/0"]

    _run(scenario)


@pytest.mark.parametrize("size", [1, 7, 64])
def test_fragmented_requests_are_parsed(size):
    async def scenario(_responder, caller):
        paths = ["/a/0/0", "/x/0/0", "/b/3/0"]
        head = "GET {} HTTP/1.1\r\nHost: a.example\r\n\r\n"
        data = "".join(map(head.format, paths)).encode()
        for start in range(0, len(data), size):
            caller.writer.write(data[start : start + size])
            await asyncio.sleep(0)
        for path in paths:
            assert (await caller.answer())[1] == path + "0"

    _run(scenario)


_requests = st.lists(
    st.tuples(
        st.sampled_from(["a", "x", "fail", "long"]),
        st.integers(0, 6),
        st.integers(0, 2000),
    ),
    min_size=1,
    max_size=12,
)


@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(wanted=_requests, split=st.integers(0, 12))
def test_responses_keep_the_order_of_their_requests(wanted, split):
    async def scenario(_responder, caller):
        paths = [
            f"/{name}{i}/{delay_ms}/{size}"
            for i, (name, delay_ms, size) in enumerate(wanted)
        ]
        caller.send(*paths[:split])
        await asyncio.sleep(0.002)
        caller.send(*paths[split:])
        for path in paths:
            status, body, _ = await caller.answer()
            assert body.startswith(path)
            assert status == (503 if path.startswith("/fail") else 200)

    _run(scenario)
