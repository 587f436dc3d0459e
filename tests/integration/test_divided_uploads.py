"""Uploads whose bytes a gateway process reads in other pieces than usual."""

import asyncio
import signal
import uuid

import pytest

from tests.integration import gateways
from tests.integration import users_standins

_IDLE_TIMEOUT_S = 4.0
# With its tolerance and the interval of the checks it ends well before 0.8 of
# the idle timeout.
_HEADER_TIMEOUT_S = 0.5
# Within which a head is read before its body is sent.
_HEAD_S = 0.15
_ANSWER_TIMEOUT_S = 6.0
_REQUEST_TIMEOUT_MS = 5000
_CONFIG_TIMEOUT_S = 30.0


def _run(tmp_path, scenario) -> None:
    asyncio.run(gateways.Site(tmp_path, 1).run_scenario(scenario))


class _Connection:
    """A connection to the first VM of a site."""

    def __init__(self, site):
        self._address = site.gateways[0].front
        self._attempts: list[str] = []
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> "_Connection":
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        return self

    async def __aexit__(self, *_) -> None:
        self._writer.close()

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    def head(self, line: str, field: str = "") -> bytes:
        """Returns the head of a further request."""
        self._attempts.append(uuid.uuid4().hex[:16])
        return (
            f"{line} HTTP/1.1\r\nHost: a.example\r\n{field}"
            f"X-Attempt-Id: {self._attempts[-1]}\r\n"
            f"X-Deadline-Ms: {_REQUEST_TIMEOUT_MS}\r\n\r\n"
        ).encode()

    def read_head(self) -> bytes:
        return self.head("GET /read/x")

    async def check_answer(self, body_bytes: int) -> None:
        """Checks that the oldest request gets its own answer."""
        attempt = self._attempts.pop(0)
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            wanted = f"{attempt}:{body_bytes}".encode()
            assert await self._reader.readexactly(len(wanted)) == wanted

    async def is_quiet(self, timeout_s: float) -> bool:
        """Whether it stays open without further bytes for a time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._reader.read(1)
        except TimeoutError:
            return True
        return False


def _upload(connection, size: int, framing: str) -> tuple[bytes, bytes]:
    """Returns head and body of an upload."""
    if framing == "length":
        field, body = f"Content-Length: {size}\r\n", bytes(size)
    else:
        field = "Transfer-Encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, bytes(size))
    return connection.head("POST /write/x", field), body


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_connection_that_carried_an_upload_stays_open_while_idle(
    tmp_path, framing
):
    # If its body came in another read than its head, the header timeout closed
    # the connection; above 82 kB an unasked 431 followed its answer.
    async def scenario(site):
        route = users_standins.plain_route("/upload/", "upload")
        document = users_standins.config(2, route)
        document["resources"][-1]["spec"] |= {
            "idle_timeout": f"{_IDLE_TIMEOUT_S * 1000:.0f}ms",
            "header_timeout": f"{_HEADER_TIMEOUT_S * 1000:.0f}ms",
        }
        site.store.put("op", "config", document)

        async def has_config() -> bool:
            return (await site.callers.call("/upload/x")).status == 200

        await site.until(has_config, _CONFIG_TIMEOUT_S)

        async def use(size: int) -> None:
            async with _Connection(site) as connection:
                head, body = _upload(connection, size, framing)
                connection.send(head)
                await asyncio.sleep(_HEAD_S)
                connection.send(body)
                await connection.check_answer(size)
                assert await connection.is_quiet(0.8 * _IDLE_TIMEOUT_S)
                connection.send(connection.read_head())
                await connection.check_answer(0)

        await asyncio.gather(*map(use, (100, 4000, 90_000, 120_000, 400_000)))

    _run(tmp_path, scenario)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_read_behind_an_upload_is_answered(tmp_path, framing):
    # The parser kept a request behind an upload whose last read had more than
    # the buffer of a body holds.
    async def scenario(site):
        for size in (4000, 100_000, 150_000, 200_000, 300_000, 400_000):
            async with _Connection(site) as connection:
                head, body = _upload(connection, size, framing)
                connection.send(head)
                await asyncio.sleep(_HEAD_S)
                connection.send(body + connection.read_head())
                await connection.check_answer(size)
                await connection.check_answer(0)

    _run(tmp_path, scenario)


def test_uploads_sent_while_the_process_is_paused_are_answered(tmp_path):
    # It reads as much at once as it may when it goes on, with the beginning of
    # what is behind the body.
    async def scenario(site):
        gateway = site.gateways[0]
        for size in (90_000, 120_000, 200_000, 300_000):
            async with _Connection(site) as connection:
                head, body = _upload(connection, size, "length")
                connection.send(head)
                await asyncio.sleep(_HEAD_S)
                gateway.send_signal(signal.SIGSTOP)
                connection.send(body + connection.read_head())
                await asyncio.sleep(_HEAD_S)
                gateway.send_signal(signal.SIGCONT)
                await connection.check_answer(size)
                await connection.check_answer(0)

    _run(tmp_path, scenario)
