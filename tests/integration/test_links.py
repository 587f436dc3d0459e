"""Control links: concurrent calls and large messages."""

import asyncio
import contextlib
import os

import pytest

from benchmarks import processes
from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.peers import links
from swiftstile.peers import messages
from tests.integration import narrow_link

_LARGE_BYTES = 500_000
_PARALLEL = 4
_SENDER = ids.Incarnation("vm#1")


class _Responder(links.ControlHandler):
    """Replies to pings, and to requests for rows with one large row."""

    def __init__(self, size: int):
        row = messages.Row("config", os.urandom(size), 1)
        self.rows = messages.Rows([row], 1, True)
        self.pings = 0

    async def handle(self, message: messages.Message) -> messages.Message:
        if isinstance(message, messages.Ping):
            self.pings += 1
            return messages.Pong(ids.VmId("vm"), _SENDER, True)
        return self.rows


@contextlib.asynccontextmanager
async def _responding(size: int = _LARGE_BYTES):
    """Yields a responder, a link to it, and the narrow link between them."""
    meters = metrics.Meters()
    address = f"127.0.0.1:{processes.free_ports(1)[0]}"
    responder = _Responder(size)
    server = links.ControlServer(address, responder, meters, _PARALLEL)
    serving = asyncio.create_task(server.run())
    calls = links.LinkPool(meters)
    try:
        async with narrow_link.NarrowLink(address) as narrow:
            yield responder, calls.to(narrow.address), narrow
    finally:
        calls.close()
        serving.cancel()
        await asyncio.wait([serving])


async def _ping(link: links.Link, timeout_s: float) -> messages.Pong:
    return await link.call(messages.Ping(_SENDER), messages.Pong, timeout_s)


async def _request_rows(link: links.Link, timeout_s: float) -> messages.Rows:
    request = messages.RowsRequest("op", 0)
    return await link.call(request, messages.Rows, timeout_s)


def test_timed_out_call_does_not_break_concurrent_calls():
    async def scenario():
        async with _responding() as (responder, link, narrow):
            await _ping(link, 1)
            pending = asyncio.create_task(_request_rows(link, 5))
            await asyncio.sleep(0.1)
            # The reply is queued behind the large one.
            with pytest.raises(errors.PeerTimeoutError):
                await _ping(link, 0.1)
            assert await pending == responder.rows
            # No data was resent.
            assert narrow.forwarded < 1.1 * _LARGE_BYTES

    asyncio.run(scenario())


def test_call_after_lost_reply_uses_new_connection():
    async def scenario():
        async with _responding() as (_, link, narrow):
            await _ping(link, 1)
            narrow.stall_after = 0
            with pytest.raises(errors.PeerTimeoutError):
                await _ping(link, 0.1)
            narrow.stall_after = None
            await _ping(link, 1)

    asyncio.run(scenario())


def test_closed_link_frees_its_connections_and_reconnects():
    async def scenario():
        async with _responding() as (_, link, _narrow):
            pending = asyncio.create_task(_request_rows(link, 5))
            await asyncio.sleep(0.1)
            with pytest.raises(errors.PeerTimeoutError):
                await _ping(link, 0.05)
            link.close()
            async with asyncio.timeout(1):
                with pytest.raises(errors.PeerTimeoutError):
                    await pending
            await _ping(link, 1)

    asyncio.run(scenario())


class _Stuck:
    """A connection whose calls end neither by a reply nor by cancellation."""

    def __init__(self):
        self.released = asyncio.Event()

    def new_context(self) -> "_Stuck":
        return self

    async def asend(self, data: bytes) -> None:
        """Sends nothing."""

    async def arecv(self) -> bytes:
        while not self.released.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await self.released.wait()
        return b""

    def close(self) -> None:
        """Does nothing."""


def test_call_that_ignores_cancellation_times_out(monkeypatch):
    # Guards against calls that hang in pynng's cancellation, as seen in tests:
    # the caller hung as well and never requested its table again.
    async def scenario():
        stuck = _Stuck()
        monkeypatch.setattr(links.Link, "_dial", lambda _: stuck)
        link = links.Link("127.0.0.1:1", metrics.Meters())
        pending = asyncio.create_task(_ping(link, 0.05))
        done, _ = await asyncio.wait({pending}, timeout=1)
        stuck.released.set()
        assert done
        with pytest.raises(errors.PeerTimeoutError):
            pending.result()

    asyncio.run(scenario())


def test_message_above_size_limit_is_rejected_by_its_sender():
    """Messages above 4 MB fail at the sender, not at the receiver.

    The receiving library resets the connection without giving a reason, so the
    request would never get a reply, concurrent requests would fail, and each
    retry would send everything again (`ConnectionReset` without the check).
    Messages of gateways are far smaller, as rows are sent in chunks of 8 kB,
    but routers and coordinators exchange whole documents.
    """

    async def scenario():
        async with _responding(5 << 20) as (responder, link, narrow):
            with pytest.raises(errors.ControlMessageError, match="bytes"):
                await _request_rows(link, 5)
            [row] = responder.rows.rows
            request = messages.Refused(row.value.hex())
            passed = narrow.forwarded
            with pytest.raises(errors.ControlMessageError, match="bytes"):
                await link.call(request, messages.Pong, 5)
            assert narrow.forwarded == passed
            # The connection remains usable.
            await _ping(link, 1)

    asyncio.run(scenario())
