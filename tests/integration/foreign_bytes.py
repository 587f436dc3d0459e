"""Bytes that servers send besides their answers.

A `Noise` belongs to one server: it repeats answers on the next request of their
connection, begins a second answer behind the first, or sends an answer that
never ends. Its own random numbers leave those of other faults unchanged.
"""

import asyncio
import dataclasses
import enum
import itertools
import random

from aiohttp import web

_SUCCESS = "X-Server-Signature: s\r\nContent-Length: 3\r\n"
_REJECTION = "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
# Second answers: status line and headers. They are cut off anywhere.
_SECOND_ANSWERS = (
    ("HTTP/1.1 421 Misdirected Request", _REJECTION),
    ("HTTP/1.1 503 Service Unavailable", _REJECTION),
    ("HTTP/1.1 500 Internal Server Error", "Content-Length: 0\r\n"),
    ("HTTP/1.1 408 Request Timeout", "Content-Length: 0\r\n"),
    ("HTTP/1.1 200 OK", _SUCCESS),
    ("HTTP/1.1 103 Early Hints", "Link: </a>\r\n"),
)
_PIECE_BYTES = 1 << 16


class Framing(enum.Enum):
    """How the end of an answer's body is found."""

    LENGTH = "length"
    TRAILERS = "trailers"
    UNTIL_CLOSE = "until-close"


class Endless(enum.Enum):
    """What an answer without end repeats until its connection is closed."""

    FIRST_LINE = "first-line"
    HEADER = "header"
    HEADERS = "headers"
    INTERIM = "interim"
    NO_HTTP = "no-http"
    UNFRAMED = "unframed"
    CHUNKS = "chunks"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"
    LENGTH = "length"


_OWN = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n"
_CHUNKED = _OWN + "Transfer-Encoding: chunked\r\n\r\n"
# What such an answer begins with, and what it repeats.
_ENDLESS = {
    Endless.FIRST_LINE: ("HTTP/1.1 200 ", b"O"),
    Endless.HEADER: (_OWN + "X-Long: ", b"a"),
    Endless.HEADERS: (_OWN, b"X-More: a\r\n"),
    Endless.INTERIM: ("", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    Endless.NO_HTTP: ("", b"\x00\xff"),
    Endless.UNFRAMED: (_OWN + "Connection: close\r\n\r\n", b"a"),
    Endless.CHUNKS: (_CHUNKED, b"4\r\naaaa\r\n"),
    Endless.CHUNK_EXTENSION: (_CHUNKED + "4;a=", b"a"),
    Endless.TRAILERS: (_CHUNKED + "0\r\n", b"X-More: a\r\n"),
    Endless.LENGTH: (_OWN + "Content-Length: 1000000000000\r\n\r\n", b"a"),
}


@dataclasses.dataclass
class EndlessAnswer:
    """One answer without end.

    Attributes:
        kind: Its kind.
        began: When it began.
        ended: When its connection was closed; None if it is open.
    """

    kind: Endless
    began: float
    ended: float | None = None


@dataclasses.dataclass
class Noise:
    """What a server sends besides its answers.

    Attributes:
        repeat_share: Share of the answers that are repeated on the next request
            of their connection.
        repeat_path: Path of the requests before whose answers they are
            repeated; empty for all.
        second_share: Share of the answers that are followed by a second one,
            cut off anywhere.
        second_delay_s: Least and most time between these two.
        endless_share: Share of the requests that get an answer without end.
        endless_kinds: Kinds of these.
        endless_bytes_per_s: Rate at which they are sent.
        covers_orders: Whether grants and releases are answered so, too.
        framings: Framings that are drawn for answers. What follows an answer
            without an end of its own would be a part of it, so nothing does.
        sent: Number of foreign answers.
        endless: All answers without end.
    """

    repeat_share: float = 0.0
    repeat_path: str = ""
    second_share: float = 0.0
    second_delay_s: tuple[float, float] = (0.0, 0.0)
    endless_share: float = 0.0
    endless_kinds: tuple[Endless, ...] = tuple(Endless)
    endless_bytes_per_s: float = 1e8
    covers_orders: bool = False
    framings: tuple[Framing, ...] = (Framing.LENGTH,)
    seed: int = 1
    sent: int = 0
    endless: list[EndlessAnswer] = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._kinds = itertools.cycle(self.endless_kinds)
        self._copy_by_connection: dict[asyncio.Transport, bytes] = {}

    def covers(self, request: web.Request) -> bool:
        """Returns whether a request may be answered with foreign bytes."""
        return self.covers_orders or not request.path.startswith("/swiftstile")

    async def before(self, request: web.Request) -> None:
        """Sends what comes before the answer to a request."""
        if self.repeat_path in ("", request.path):
            copy = self._copy_by_connection.pop(request.transport, None)
            if copy is not None and request.transport is not None:
                self.sent += 1
                request.transport.write(copy)
        if self._random.random() < self.endless_share:
            await self._answer_without_end(request)

    def after(self, request: web.Request, answer: web.Response) -> web.Response:
        """Returns the answer with what is sent behind it."""
        framing = self._draw_framing()
        data = _encode(answer, framing, request.method == "HEAD")
        if framing is Framing.UNTIL_CLOSE:
            return _WrittenAnswer(data, is_last=True)
        if self._random.random() < self.repeat_share:
            self._copy_by_connection[request.transport] = data
        if self._random.random() >= self.second_share:
            return answer if len(self.framings) == 1 else _WrittenAnswer(data)
        self.sent += 1
        second = self._second_answer()
        delay_s = self._random.uniform(*self.second_delay_s)
        if delay_s:
            asyncio.get_running_loop().call_later(
                delay_s, request.transport.write, second
            )
            second = b""
        return _WrittenAnswer(data + second)

    def _draw_framing(self) -> Framing:
        # Nothing is drawn for one framing, as seeds of others would change.
        if len(self.framings) == 1:
            return self.framings[0]
        return self._random.choice(self.framings)

    def _second_answer(self) -> bytes:
        line, headers = self._random.choice(_SECOND_ANSWERS)
        whole = f"{line}\r\n{headers}\r\n".encode()
        return whole[: self._random.randint(1, len(whole))]

    async def _answer_without_end(self, request: web.Request) -> None:
        """Sends until the connection is closed, and longer."""
        kind = next(self._kinds)
        loop = asyncio.get_running_loop()
        entry = EndlessAnswer(kind, loop.time())
        self.endless.append(entry)
        begin, repeated = _ENDLESS[kind]
        attempt = request.headers.get("X-Attempt-Id", "")
        piece = repeated * (_PIECE_BYTES // len(repeated))
        transport = request.transport
        transport.write(begin.replace("{id}", attempt).encode())
        sent = 0
        try:
            while not transport.is_closing():
                due = self.endless_bytes_per_s * (loop.time() - entry.began)
                if sent < due and not transport.get_write_buffer_size():
                    transport.write(piece)
                    sent += len(piece)
                    await asyncio.sleep(0)
                else:
                    await asyncio.sleep(0.002)
        finally:
            entry.ended = loop.time()
        await asyncio.sleep(3600)


class _WrittenAnswer(web.Response):
    """Writes given bytes in place of an answer.

    Args:
        data: The bytes.
        is_last: Whether the connection is closed behind them.
    """

    def __init__(self, data: bytes, is_last: bool = False):
        super().__init__()
        self._data = data
        self._keep_alive = not is_last

    async def prepare(self, request):
        """See base class."""
        if request.transport is not None:
            request.transport.write(self._data)

    async def write_eof(self, data: bytes = b"") -> None:
        """See base class."""


def _encode(answer: web.Response, framing: Framing, is_to_head: bool) -> bytes:
    """Returns an answer as it is sent, without a body if it is to HEAD."""
    body = answer.body or b""
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    lines += [
        f"{name}: {value}"
        for name, value in answer.headers.items()
        if name.lower() != "content-length"
    ]
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    elif framing is Framing.UNTIL_CLOSE:
        lines.append("Connection: close")
    else:
        lines.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\nX-Trailer: HTTP/1.1 503 Full\r\n\r\n"
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return head if is_to_head else head + body


def with_noise(server, handler):
    """Wraps a server's handler: adds noise to answers, echoes ids of orders.

    Isn't a middleware: aiohttp caches the handlers of applications that have
    one, and with them servers that were closed long ago.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        noise = server.noise
        is_covered = noise is not None and noise.covers(request)
        if is_covered:
            await noise.before(request)
        answer = await handler(request)
        attempt = request.headers.get("X-Attempt-Id")
        if attempt and server.echoes_ids_of_orders:
            answer.headers.setdefault("X-Attempt-Id", attempt)
        return noise.after(request, answer) if is_covered else answer

    return handle
