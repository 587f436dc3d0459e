"""Plays requests against upstreams that send foreign bytes, without a network.

The real connections, pool and client run on a transport in memory and on an
event loop without waits, so that thousands of histories take seconds.
"""

import asyncio
import collections
import os
import random
import socket

from users_platform import dialect

from swiftstile import metrics
from swiftstile.gateway import advisories
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import exchange
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets
from tests import exchange_parts as parts
from tests import gateway_builders as builders

# Timers of the same time have no order.
_LEAST_INTERVAL_S = 1e-5


class _Socket:
    """A socket without unread input."""

    family = socket.AF_UNIX
    _pipe = os.pipe()

    def fileno(self) -> int:
        return self._pipe[0]

    def setsockopt(self, *_) -> None:
        """Has no options."""


class _Transport(asyncio.Transport):
    """Connects a connection to an upstream in memory."""

    def __init__(self, upstream: "Upstream"):
        super().__init__()
        self._upstream = upstream
        self._is_closing = False
        self._socket = _Socket()
        self.connection: connections.UpstreamConnection | None = None
        self.copy = b""
        self.attempt = "a0"
        self._delivered_at = 0.0

    def get_extra_info(self, name, default=None):
        return self._socket if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self._is_closing

    def pause_reading(self) -> None:
        """What is sent meanwhile arrives all the same."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    def write(self, data: bytes) -> None:
        self._upstream.on_request(self, data)

    def abort(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.connection.connection_lost, None)

    def deliver_after(self, after_s: float, data: bytes) -> None:
        """Delivers data after a time, and after all data sent before."""
        loop = asyncio.get_running_loop()
        self._delivered_at = max(
            loop.time() + after_s, self._delivered_at + _LEAST_INTERVAL_S
        )
        loop.call_at(self._delivered_at, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if not self._is_closing and data:
            self.connection.data_received(data)


class Upstream:
    """Answers, rejects, and sends what belongs to no request.

    Attributes:
        runs: Runs of each attempt.
        sound: Attempts whose answers were sent whole, on connections without
            any foreign bytes before them.
    """

    def __init__(self, draw: random.Random):
        self._draw = draw
        self._noise = draw.uniform(0.0, 0.5)
        self._rejected = draw.uniform(0.0, 0.6)
        self._spoiled: set[_Transport] = set()
        self.runs: collections.Counter[str] = collections.Counter()
        self.sound: set[str] = set()

    def on_request(self, transport: _Transport, data: bytes) -> None:
        attempt = _attempt(data)
        if transport.copy:
            self._send(transport, transport.copy, 0.0)
            transport.copy = b""
        if transport not in self._spoiled:
            self.sound.add(attempt)
        else:
            self.sound.discard(attempt)
        if self._draw.random() < self._rejected:
            answer = _rejection(attempt)
        else:
            self.runs[attempt] += 1
            answer = parts.answer(attempt, attempt.encode())
        if self._draw.random() < self._noise:
            # Bytes while the request is on its way, of an earlier answer.
            self._spoil(transport)
            self.sound.discard(attempt)
            self._send(transport, self._foreign(transport.attempt), 0.001)
        transport.attempt = attempt
        behind = b""
        if self._draw.random() < self._noise:
            behind = self._foreign(attempt)
            self._spoil(transport)
        self._send(transport, answer + behind, 0.002)
        if self._draw.random() < self._noise:
            self._spoil(transport)
            self._send(
                transport,
                self._foreign(attempt),
                0.002 + self._draw.uniform(0.0, 0.05),
            )
        if self._draw.random() < self._noise:
            self._spoil(transport)
            transport.copy = answer

    def _spoil(self, transport: _Transport) -> None:
        self._spoiled.add(transport)

    def _send(self, transport, data: bytes, after_s: float) -> None:
        cut = self._draw.randint(0, len(data))
        transport.deliver_after(after_s, data[:cut])
        transport.deliver_after(0.0, data[cut:])

    def _foreign(self, attempt: str) -> bytes:
        whole = self._draw.choice(
            (
                _rejection(attempt),
                _rejection("a0"),
                b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Load: 1,0,3"
                b"\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nabcde",
                b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
                b"HTTP/1.1 500 Error\r\nX-Server-Signature: s\r\n\r\n",
                b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                parts.answer("a0", b"another"),
                self._draw.randbytes(20),
            )
        )
        return whole[: self._draw.randint(1, len(whole))]


def _attempt(data: bytes) -> str:
    for line in data.split(b"\r\n"):
        if line.startswith(b"X-Attempt-Id: "):
            return line.split(b" ")[1].decode()
    raise ValueError(data)


def _rejection(attempt: str) -> bytes:
    return (
        f"HTTP/1.1 503 Full\r\nX-Attempt-Id: {attempt}\r\n"
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class _Pool(connection_pool.ConnectionPool):
    """Opens connections in memory."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self._upstream = upstream

    async def _open(self, address: str, is_probe: bool = False):
        transport = _Transport(self._upstream)
        connection = connections.UpstreamConnection(
            asyncio.get_running_loop(),
            address,
            on_foreign_bytes=self._note_foreign_bytes,
        )
        transport.connection = connection
        connection.connection_made(transport)
        return connection


class History:
    """Plays one history; the random numbers decide all of it.

    Attributes:
        violations: What callers were told that isn't so.
        lost: Requests with a sound answer that weren't told of it.
        unknown: Number of requests that were told nothing.
    """

    def __init__(self, seed: int):
        self._draw = random.Random(seed)
        self.violations: list[str] = []
        self.lost: list[str] = []
        self.unknown = 0

    async def play(self, count: int) -> None:
        upstream = Upstream(self._draw)
        client = exchange.UpstreamClient(
            _Pool(upstream),
            dialect.UsersDialect(),
            advisories.AdvisoryTable(targets.TargetTable(), metrics.Meters()),
            2.0,
            body_budget.BodyBudget(),
        )
        target = targets.Target(builders.upstream("u-1"), 0.0)
        for number in range(1, count + 1):
            await self._request(f"a{number}", client, target, upstream)
            await asyncio.sleep(self._draw.choice((0.0, 0.001, 0.06)))

    async def _request(self, attempt, client, target, upstream) -> None:
        """Sends an unsafe request, again after a rejection like the handler."""
        result = "unknown"
        for _ in range(2):
            call = parts.call(attempt, "POST", wait_s=0.5)
            try:
                response = await client.send(call, target)
            except outcomes.NotRunError:
                result = "refused"
                continue
            except outcomes.GatewayError:
                result = "unknown"
                self.unknown += 1
            else:
                result = f"{response.status}"
                if response.body != attempt.encode():
                    self.violations.append(f"{attempt}: {response.body!r}")
            break
        # Whatever is still on its way has run by now.
        ran = upstream.runs[attempt]
        if ran > 1 or (ran and result == "refused") or result == "500":
            self.violations.append(f"{attempt}: {result}, ran {ran} times")
        if result == "unknown" and attempt in upstream.sound:
            self.lost.append(attempt)
