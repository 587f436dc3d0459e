"""How received bytes are divided into heads and bodies of requests."""

import asyncio
import random

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import http_exceptions
import hypothesis
from hypothesis import strategies as st
import pytest

from swiftstile.gateway import request_framing
from tests import caller_stream_builders

_SIZED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
_CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class _Reader:
    """A framing with its parser.

    Attributes:
        parts: What the parser was given.
        payloads: The bodies.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        protocol = base_protocol.BaseProtocol(self._loop)
        protocol.transport = asyncio.Transport()
        # Bodies never pause the parser.
        self._parser = http.HttpRequestParser(
            protocol,
            self._loop,
            1 << 30,
            max_line_size=request_framing.MAX_LINE_BYTES,
            max_field_size=request_framing.MAX_LINE_BYTES,
        )
        protocol._parser = self._parser
        self.framing = request_framing.RequestFraming()
        self.parts: list[bytes] = []
        self.payloads: list = []

    def receive(self, data: bytes) -> None:
        self.framing.receive(data)
        while (part := self.framing.next_part(1.0)) is not None:
            self.parts.append(part)
            messages, _, _ = self._parser.feed_data(part)
            self.payloads += [payload for _, payload in messages]
            self.framing.on_parsed(messages, False)

    def close(self) -> None:
        self._loop.close()


@pytest.fixture(name="reader")
def _reader():
    reader = _Reader()
    yield reader
    reader.close()


@hypothesis.given(
    st.lists(st.integers(0, 300), min_size=1, max_size=8),
    st.lists(st.integers(1, 400), min_size=1, max_size=40),
)
def test_unparsed_input_is_counted(body_sizes, read_sizes):
    # Heads and bodies in reads of any size: the bytes of an unfinished head are
    # counted, all others belong to a parsed head or a body. What ended a body
    # was once counted as the beginning of the next head.
    reader = _Reader()
    stream = caller_stream_builders.upload_stream(body_sizes, "length")
    offset, count = 0, 0
    while offset < len(stream.data):
        read = stream.data[offset:][: read_sizes[count % len(read_sizes)]]
        offset, count = offset + len(read), count + 1
        reader.receive(read)
        unfinished = [
            offset - request.head_start
            for request in stream.requests
            if request.head_start < offset < request.head_end
        ]
        assert reader.framing.count == sum(unfinished)
        assert (reader.framing.head_started_at is None) == (not unfinished)
    received = [payload.total_bytes for payload in reader.payloads]
    assert (received, reader.framing.count) == (body_sizes, 0)
    reader.close()


@pytest.mark.parametrize("seed", range(200))
def test_no_part_goes_beyond_the_end_of_a_head_or_body(reader, seed):
    # The parser would keep a further request without a way to tell so.
    rng = random.Random(seed)
    stream = caller_stream_builders.random_stream(rng)
    end = max((request.end for request in stream.requests), default=0)
    if not stream.stays_open:
        return
    for read in caller_stream_builders.divide(rng, stream):
        reader.receive(read)
    ends = {request.head_end for request in stream.requests}
    ends |= {request.end for request in stream.requests}
    given, position = b"", 0
    for part in reader.parts:
        while stream.data.startswith(b"\r\n", position) and (
            position == 0 or position in ends
        ):
            ends.add(position + 2)
            position += 2
        crossed = [one for one in ends if position < one < position + len(part)]
        assert not crossed
        assert stream.data.startswith(part, position)
        position += len(part)
        given += part
    assert position == end + stream.partial_head_bytes


@pytest.mark.parametrize(
    "data",
    [
        _CHUNKED_HEAD + b"zz\r\nabc\r\n0\r\n\r\n",
        _CHUNKED_HEAD + b"0x3\r\nabc\r\n0\r\n\r\n",
        _CHUNKED_HEAD + b"1_0\r\n" + b"a" * 16 + b"\r\n0\r\n\r\n",
        _CHUNKED_HEAD + b" 3\r\nabc\r\n0\r\n\r\n",
        _CHUNKED_HEAD + b"3\nabc\r\n0\r\n\r\n",
        _CHUNKED_HEAD + b"0" * 100 + b"3\r\nabc\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_malformed_chunks_are_refused(reader, data, step):
    # A length that the parser reads in another way could hide a request.
    with pytest.raises(http_exceptions.BadHttpMessage):
        for start in range(0, len(data), step):
            reader.receive(data[start : start + step])


class _Payload:

    def __init__(self, total_bytes: int = 0, has_ended: bool = False):
        self.total_bytes = total_bytes
        self._has_ended = has_ended

    def is_eof(self) -> bool:
        return self._has_ended


def _message(data: bytes):
    reader = _Reader()
    reader.framing.receive(data)
    messages, _, _ = reader._parser.feed_data(reader.framing.next_part(1.0))
    reader.close()
    return messages[0][0]


@pytest.mark.parametrize("head", [_SIZED_HEAD, _CHUNKED_HEAD])
@pytest.mark.parametrize(
    ("data", "has_ended"),
    [(b"2", True), (b"3\r\nabc\r\n0\r\n\r\n", False)],
)
def test_bodies_that_the_parser_ends_elsewhere_are_refused(
    head, data, has_ended
):
    # What lies between both ends could be taken for a request.
    framing = request_framing.RequestFraming()
    framing.receive(head + data)
    framing.next_part(1.0)
    payload = _Payload()
    framing.on_parsed([(_message(head), payload)], False)
    payload._has_ended = has_ended
    with pytest.raises(http_exceptions.BadHttpMessage):
        while framing.next_part(1.0) is not None:
            framing.on_parsed([], False)


@pytest.mark.parametrize("head", [_SIZED_HEAD, _SIZED_HEAD[:-1]])
def test_heads_that_the_parser_ends_elsewhere_are_refused(head):
    framing = request_framing.RequestFraming()
    framing.receive(head)
    framing.next_part(1.0)
    has_ended = head == _SIZED_HEAD
    messages = [] if has_ended else [(_message(_SIZED_HEAD), _Payload())]
    with pytest.raises(http_exceptions.BadHttpMessage):
        framing.on_parsed(messages, False)
