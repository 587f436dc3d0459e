"""Streams of requests as callers may send them, and their division into reads.

All is drawn from a seeded generator. The streams follow RFC 9112; only their
ends may be malformed.
"""

import asyncio
import dataclasses
import enum
import random
import zlib

from swiftstile.gateway import callers

__all__ = [
    "Answer",
    "CallerStream",
    "Ending",
    "StreamRequest",
    "Transport",
    "answer_text",
    "divide",
    "long_heads_stream",
    "malformed_upload_stream",
    "random_stream",
    "read_answers",
    "upload_stream",
]

_BODY_METHODS = ("POST", "PUT", "PATCH", "DELETE")
_PLAIN_METHODS = ("GET", "GET", "GET", "HEAD", "DELETE", "OPTIONS", "POST")
# Most bytes of one read, as of the transports of asyncio.
_MAX_READ_BYTES = 1 << 18
# Longer streams aren't divided into reads of a few bytes throughout.
_MAX_FINE_BYTES = 3000
# Well above the default limit of a head with the longest request line.
_ENDLESS_HEAD_BYTES = 100_000


class Ending(enum.Enum):
    """What comes behind the last legal request of a stream."""

    NOTHING = enum.auto()
    PARTIAL_HEAD = enum.auto()
    CLOSING_REQUEST = enum.auto()
    MALFORMED_HEAD = enum.auto()
    ENDLESS_HEAD = enum.auto()
    MALFORMED_BODY = enum.auto()


@dataclasses.dataclass
class StreamRequest:
    """One request of a stream.

    Attributes:
        method, path: As sent. The path is unique in the stream.
        fields: Header fields with the number of the request.
        body: Its body, without framing.
        head_start: Position of its first byte in the stream.
        head_end: Position behind its head.
        end: Position behind its last byte.
        cuts: Positions where a read may end that are worth trying.
        is_malformed: Whether its body ends with bytes that aren't legal.
    """

    method: str
    path: str
    fields: list[str]
    body: bytes = b""
    head_start: int = 0
    head_end: int = 0
    end: int = 0
    cuts: list[int] = dataclasses.field(default_factory=list)
    is_malformed: bool = False

    @property
    def answers_early(self) -> bool:
        """Whether the responder answers without reading the body."""
        return self.path.startswith("/early")

    @property
    def text(self) -> str:
        """The body of its answer."""
        if self.answers_early:
            return f"{self.path} early"
        return answer_text(self.path, self.body, self.fields)


@dataclasses.dataclass
class CallerStream:
    """What one caller sends on a connection.

    Attributes:
        data: All bytes.
        requests: The requests that have to be answered.
        ending: What comes behind them.
        partial_head_bytes: Length of the unfinished head at the end.
    """

    data: bytes
    requests: list[StreamRequest]
    ending: Ending
    partial_head_bytes: int = 0

    @property
    def stays_open(self) -> bool:
        """Whether the connection can be used after all answers."""
        return self.ending in (Ending.NOTHING, Ending.PARTIAL_HEAD)

    @property
    def is_malformed(self) -> bool:
        """Whether it ends with a request that isn't legal."""
        return self.ending in (
            Ending.MALFORMED_HEAD,
            Ending.ENDLESS_HEAD,
            Ending.MALFORMED_BODY,
        )

    def is_inside_head(self, position: int) -> bool:
        """Whether a byte of an unfinished head is in front of a position."""
        if self.partial_head_bytes:
            start = len(self.data) - self.partial_head_bytes
            if position > start:
                return True
        return any(
            request.head_start < position < request.head_end
            for request in self.requests
        )


@dataclasses.dataclass
class Answer:
    """One response.

    Attributes:
        status: Its status.
        text: Its body.
    """

    status: int
    text: str


def answer_text(path: str, body: bytes, fields: list[str]) -> str:
    """Returns the answer to a request whose body is read whole."""
    return f"{path} {len(body)} {zlib.crc32(body)} {','.join(fields)}"


def read_answers(data: bytes, methods: list[str]) -> list[Answer]:
    """Returns the responses in what a connection wrote.

    Args:
        data: What it wrote.
        methods: Of the requests, in their order. Further responses are read as
            those of a GET.

    Raises:
        ValueError: It doesn't consist of whole responses.
    """
    answers: list[Answer] = []
    position = 0
    while position < len(data):
        head_end = data.index(b"\r\n\r\n", position) + 4
        head = data[position:head_end].decode().lower()
        length = int(head.partition("content-length: ")[2].split("\r\n")[0])
        number = len(answers)
        if number < len(methods) and methods[number] == "HEAD":
            length = 0
        position = head_end + length
        text = data[head_end:position].decode()
        if len(text) != length or not head.startswith("http/1."):
            raise ValueError(f"no response at {position - length}")
        answers.append(Answer(int(head.split()[1]), text))
    return answers


class _StreamWriter:
    """Puts a stream together.

    Attributes:
        pieces: What was written.
        size: Its length.
    """

    def __init__(self):
        self.pieces: list[bytes] = []
        self.size = 0

    def write(self, data: bytes) -> None:
        """Adds bytes."""
        self.pieces.append(data)
        self.size += len(data)


def random_stream(rng: random.Random) -> CallerStream:
    """Returns a random stream."""
    writer = _StreamWriter()
    max_body_bytes = rng.choice((0, 40, 40, 2000, 100_000, 400_000))
    if rng.random() < 0.03:
        max_body_bytes = 2_000_000
    count = rng.choice((0, 1, 1, 2, 2, 3, 4, 6))
    if max_body_bytes < 100_000 and rng.random() < 0.1:
        count = rng.randint(30, 45)
    requests = [
        _write_request(rng, writer, number, max_body_bytes)
        for number in range(count)
    ]
    ending = rng.choice([Ending.NOTHING] * 5 + list(Ending))
    partial_head_bytes = 0
    if ending is Ending.PARTIAL_HEAD:
        part = _head(rng, "GET", "/next", [])
        part = part[: rng.randint(1, len(part) - 1)]
        writer.write(part)
        partial_head_bytes = len(part)
    elif ending is Ending.CLOSING_REQUEST:
        request = StreamRequest("GET", "/closing", [])
        _write_closing(rng, writer, request)
        requests.append(request)
    elif ending is Ending.MALFORMED_HEAD:
        writer.write(rng.choice(_MALFORMED_HEADS))
    elif ending is Ending.ENDLESS_HEAD:
        line = b"X-Long: " + b"y" * 8000 + b"\r\n"
        lines = _ENDLESS_HEAD_BYTES // len(line)
        writer.write(b"GET /endless HTTP/1.1\r\nHost: a\r\n" + line * lines)
    elif ending is Ending.MALFORMED_BODY:
        kind = rng.choice(("whole", "early"))
        request = StreamRequest("POST", f"/{kind}/malformed", [])
        request.is_malformed = True
        _write_malformed_body(rng, writer, request)
        requests.append(request)
    if ending in (
        Ending.CLOSING_REQUEST,
        Ending.MALFORMED_HEAD,
        Ending.MALFORMED_BODY,
    ):
        # None of this may be answered.
        writer.write(
            rng.choice((b"", b"GET /behind HTTP/1.1\r\nHost: a\r\n\r\n"))
        )
    return CallerStream(
        b"".join(writer.pieces), requests, ending, partial_head_bytes
    )


def upload_stream(
    sizes: list[int],
    framing: str,
    kind: str = "whole",
    reads: int = 0,
    chunk_bytes: int | None = None,
    trailers: bytes = b"",
) -> CallerStream:
    """Returns uploads with requests without a body behind them.

    Args:
        sizes: Lengths of the bodies.
        framing: `length` or `chunks`.
        kind: `whole` or `early`, as in the paths.
        reads: Number of the requests behind them.
        chunk_bytes: Length of the chunks; a body is one chunk by default.
        trailers: Fields behind each body of chunks.
    """
    writer, requests = _StreamWriter(), []
    for number, size in enumerate(sizes):
        request = StreamRequest(
            "POST", f"/{kind}/{number}", [], random.Random(1).randbytes(size)
        )
        request.head_start = writer.size
        is_chunked = framing == "chunks"
        field = f"Content-Length: {size}"
        if is_chunked:
            field = "Transfer-Encoding: chunked"
        head = f"POST {request.path} HTTP/1.1\r\nHost: a\r\n{field}\r\n\r\n"
        writer.write(head.encode())
        request.head_end = writer.size
        if is_chunked:
            step = chunk_bytes or size
            for start in range(0, size, step):
                chunk = request.body[start : start + step]
                writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            writer.write(b"0\r\n" + trailers + b"\r\n")
        else:
            writer.write(request.body)
        request.end = writer.size
        requests.append(request)
    for number in range(reads):
        request = StreamRequest("GET", f"/whole/read-{number}", [])
        request.head_start = writer.size
        writer.write(f"GET {request.path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        request.head_end = request.end = writer.size
        requests.append(request)
    return CallerStream(b"".join(writer.pieces), requests, Ending.NOTHING)


def long_heads_stream() -> CallerStream:
    """Returns two requests whose heads fill a queue, the second an upload."""
    writer = _StreamWriter()
    read = StreamRequest("GET", "/whole/0/" + "p" * 60_000, [])
    upload = StreamRequest("POST", "/whole/1/" + "p" * 60_000, [], b"b" * 3000)
    for request in (read, upload):
        request.head_start = writer.size
        line = f"{request.method} {request.path} HTTP/1.1\r\nHost: a\r\n"
        length = f"Content-Length: {len(request.body)}\r\n\r\n"
        writer.write((line + length).encode())
        request.head_end = writer.size
        writer.write(request.body)
        request.end = writer.size
    return CallerStream(b"".join(writer.pieces), [read, upload], Ending.NOTHING)


def malformed_upload_stream(rng: random.Random, kind: str) -> CallerStream:
    """Returns one request whose body of chunks is malformed.

    Args:
        rng: Draws the body.
        kind: `whole` or `early`, as in the paths.
    """
    writer = _StreamWriter()
    request = StreamRequest("POST", f"/{kind}/malformed", [])
    request.is_malformed = True
    _write_malformed_body(rng, writer, request)
    return CallerStream(
        b"".join(writer.pieces), [request], Ending.MALFORMED_BODY
    )


_HOST = b"Host: a\r\n"
_MALFORMED_HEADS = (
    b"no request\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\nHost: a\n\n",
    b"GET / HTTP/1.1\r\n" + _HOST + b"A b: c\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + _HOST + b"A: c\r\n folded\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + _HOST + b"A: b\n\r\n",
    b"GET / HTTP/1.1\r\n" + _HOST + b"\n",
    b"POST / HTTP/1.1\r\n" + _HOST + b"Content-Length: x\r\n\r\n",
    b"POST / HTTP/1.1\r\n"
    + _HOST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST / HTTP/1.1\r\n"
    + _HOST
    + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + _HOST + b"Transfer-Encoding: gzip\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + _HOST + b"X: y\r\n" * 130 + b"\r\n",
    b"GET /" + b"x" * 66_000 + b" HTTP/1.1\r\n" + _HOST + b"\r\n",
)
_MALFORMED_CHUNKS = (
    b"zz\r\nabc\r\n0\r\n\r\n",
    b"-3\r\nabc\r\n0\r\n\r\n",
    b"\r\nabc\r\n0\r\n\r\n",
    b"+3\r\nabc\r\n0\r\n\r\n",
    b"0x3\r\nabc\r\n0\r\n\r\n",
    b"1_0\r\n" + b"a" * 16 + b"\r\n0\r\n\r\n",
    b" 3\r\nabc\r\n0\r\n\r\n",
    b"3 \r\nabc\r\n0\r\n\r\n",
    b"3\nabc\r\n0\r\n\r\n",
    b"3\rabc\r\n0\r\n\r\n",
    b"3\r\nabcd\r\n0\r\n\r\n",
    b"3\r\nabc\n0\r\n\r\n",
    b"3;a=b\nabc\r\n0\r\n\r\n",
    b'3;a="b\r\nabc\r\n0\r\n\r\n',
    b"1" * 17 + b"\r\nabc\r\n0\r\n\r\n",
    b"0\r\nX T: v\r\n\r\n",
    b"0\r\nX: v\n\r\n",
    b"0\r\n\n",
)


def _head(
    rng: random.Random, method: str, path: str, fields: list[str]
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", rng.choice(("Host: a", "host:a"))]
    lines += fields
    if rng.random() < 0.1:
        lines += ["Connection: upgrade", "Upgrade: other"]
    for number in range(rng.choice((0, 0, 1, 3))):
        lines.append(f"X-More-{number}:{' ' * rng.randint(0, 2)}{'v' * number}")
    if rng.random() < 0.02:
        lines.append("X-Long: " + "l" * rng.randint(1, 15_000))
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _write_request(
    rng: random.Random, writer: _StreamWriter, number: int, max_body_bytes: int
) -> StreamRequest:
    has_body = rng.random() < 0.6
    kind = rng.choice(("whole", "whole", "early"))
    path = f"/{kind}/{number}"
    if rng.random() < 0.01:
        path += "/" + "p" * rng.randint(1, 60_000)
    fields = [f"X-Number: {number}"]
    method = rng.choice(_BODY_METHODS if has_body else _PLAIN_METHODS)
    request = StreamRequest(method, path, [str(number)])
    if rng.random() < 0.15:
        writer.write(b"\r\n" * rng.randint(1, 3))
    request.head_start = writer.size
    if not has_body:
        if method == "POST":
            fields.append("Content-Length: 0")
        writer.write(_head(rng, method, path, fields))
        request.head_end = request.end = writer.size
    else:
        size = rng.randint(1, max_body_bytes) if max_body_bytes else 1
        request.body = rng.randbytes(size)
        if rng.random() < 0.5:
            fields.append(f"Content-Length: {size}")
            writer.write(_head(rng, method, path, fields))
            request.head_end = writer.size
            writer.write(request.body)
        else:
            fields.append("Transfer-Encoding: chunked")
            writer.write(_head(rng, method, path, fields))
            request.head_end = writer.size
            _write_chunks(rng, writer, request)
    request.end = writer.size
    request.cuts += [request.head_start, request.head_end, request.end]
    return request


def _write_chunks(
    rng: random.Random, writer: _StreamWriter, request: StreamRequest
) -> None:
    body, position = request.body, 0
    # Bodies of many small chunks stay short, as they cost processor time.
    smallest = max(1, len(body) // rng.choice((1, 3, 40, 300)))
    while position < len(body):
        size = rng.randint(1, 2 * smallest)
        chunk = body[position : position + size]
        position += len(chunk)
        line = rng.choice((f"{len(chunk):x}", f"{len(chunk):04X}"))
        writer.write(line.encode() + _extension(rng) + b"\r\n")
        request.cuts.append(writer.size)
        writer.write(chunk)
        request.cuts.append(writer.size)
        writer.write(b"\r\n")
    writer.write(b"0" * rng.choice((1, 1, 3)) + _extension(rng) + b"\r\n")
    request.cuts.append(writer.size)
    if rng.random() < 0.3:
        for number in range(rng.randint(1, 3)):
            writer.write(f"X-Trailer-{number}: {'t' * number}\r\n".encode())
        request.cuts.append(writer.size)
    writer.write(b"\r\n")


def _extension(rng: random.Random) -> bytes:
    if rng.random() < 0.8:
        return b""
    return rng.choice((b";a", b";a=b", b';a="b;c=1"', b";x=" + b"y" * 300))


def _write_closing(
    rng: random.Random, writer: _StreamWriter, request: StreamRequest
) -> None:
    request.head_start = writer.size
    if rng.random() < 0.3:
        writer.write(b"GET /closing HTTP/1.0\r\n\r\n")
    else:
        writer.write(
            b"GET /closing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
    request.head_end = request.end = writer.size


def _write_malformed_body(
    rng: random.Random, writer: _StreamWriter, request: StreamRequest
) -> None:
    request.head_start = writer.size
    writer.write(
        f"POST {request.path} HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    request.head_end = writer.size
    for _ in range(rng.choice((0, 0, 1, 2))):
        size = rng.choice((1, 30, 100_000))
        writer.write(f"{size:x}\r\n".encode() + b"m" * size + b"\r\n")
        request.cuts.append(writer.size)
    writer.write(rng.choice(_MALFORMED_CHUNKS))
    request.cuts.append(writer.size)
    request.end = writer.size


def divide(rng: random.Random, stream: CallerStream) -> list[bytes]:
    """Returns a stream in the reads in which it arrives."""
    size = len(stream.data)
    if not size:
        return []
    kind = rng.choice(("whole", "equal", "random", "boundaries", "mixed"))
    cuts: set[int] = set()
    if kind == "equal":
        if size <= _MAX_FINE_BYTES:
            step = rng.choice((1, 1, 2, 3, 7, 64, 1000))
        else:
            step = rng.randint(max(1000, size // 50), max(2000, size))
        cuts.update(range(step, size, step))
    if kind in ("random", "mixed"):
        cuts.update(rng.randint(1, size) for _ in range(rng.randint(1, 12)))
    if kind in ("boundaries", "mixed"):
        places = [cut for one in stream.requests for cut in one.cuts]
        if stream.partial_head_bytes:
            places.append(size - stream.partial_head_bytes)
        share = rng.choice((0.1, 0.5, 1.0))
        for place in places:
            if rng.random() < share:
                cuts.add(place + rng.choice((0, 0, 0, -3, -2, -1, 1, 2, 3)))
    return _cut(stream.data, cuts)


def _cut(data: bytes, cuts: set[int]) -> list[bytes]:
    ends = sorted(cut for cut in cuts if 0 < cut < len(data))
    reads: list[bytes] = []
    start = 0
    for end in [*ends, len(data)]:
        while start < end:
            stop = min(end, start + _MAX_READ_BYTES)
            reads.append(data[start:stop])
            start = stop
    return reads


class Transport(asyncio.Transport):
    """Takes what is written; the test delivers the reads.

    Attributes:
        written: What the connection wrote.
        is_closed: Whether it closed or aborted the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__()
        self._loop = loop
        self._is_paused = False
        self.protocol: callers.CallerConnection | None = None
        self.written = bytearray()
        self.is_closed = False

    def write(self, data):
        self.written += data

    def writelines(self, list_of_data):
        self.written += b"".join(list_of_data)

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def is_reading(self):
        return not self._is_paused and not self.is_closed

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            self._loop.call_soon(self.protocol.connection_lost, None)

    def abort(self):
        self.close()
