"""Tests where responses begin and end, without a network."""

import hypothesis
from hypothesis import strategies
import pytest

from swiftstile import errors
from swiftstile.gateway import response_heads
from swiftstile.gateway import response_reader

_PLAIN = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 3\r\n\r\nown"
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\now\n\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n"
)
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_NO_BODY = b"HTTP/1.1 204 No Content\r\n\r\n"
_WHOLE = [_PLAIN, _CHUNKED, _INTERIM + _PLAIN, _INTERIM * 16 + _CHUNKED]
_WHOLE += [_NO_BODY, b"\r\n" + _PLAIN, _PLAIN.replace(b"\r\n", b"\n")]


def _reader(is_answer_to_head: bool = False) -> response_reader.ResponseReader:
    return response_reader.ResponseReader(is_answer_to_head, lambda: None)


def _body(reader: response_reader.ResponseReader) -> bytes:
    """Returns the received part of the body."""
    return b"".join(reader.body._pieces)


def _feed(reader, pieces) -> bytes:
    """Feeds pieces as a connection does; returns what is left behind."""
    unread = b""
    for piece in pieces:
        unread = reader.feed(unread + piece)
    return unread


def _split(data: bytes, cuts: list[int]) -> list[bytes]:
    ends = sorted({cut % (len(data) + 1) for cut in cuts})
    starts = [0, *ends]
    return [data[a:b] for a, b in zip(starts, [*ends, None], strict=True)]


@pytest.mark.parametrize("data", _WHOLE, ids=range(len(_WHOLE)))
@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, 1000), max_size=8),
    behind=strategies.binary(max_size=40),
)
def test_response_ends_at_the_same_byte_however_it_is_split(data, cuts, behind):
    whole = _reader()
    assert whole.feed(data) == b""
    reader = _reader()
    assert _feed(reader, _split(data + behind, cuts)) == behind
    assert reader.is_done
    assert reader.head.status == whole.head.status
    assert _body(reader) == _body(whole)


@hypothesis.given(
    data=strategies.binary(max_size=300),
    cuts=strategies.lists(strategies.integers(0, 300), max_size=4),
    begin=strategies.sampled_from([b"", _PLAIN[:-3], _CHUNKED[:50], b"HTTP/1"]),
)
def test_any_bytes_are_read_or_malformed(data, cuts, begin):
    reader = _reader()
    try:
        _feed(reader, _split(begin + data, cuts))
        reader.feed_end()
    except errors.MalformedResponseError:
        return
    assert reader.is_done


_REJECTION = (
    b"HTTP/1.1 503 Busy\r\nX-Instance-Load: 3,1,3\r\nX-Not-Executed: 1\r\n"
    b"Server: a\r\nX-Id: a0\r\n"
)


@pytest.mark.parametrize("end", range(1, len(_REJECTION) + 1))
def test_beginning_of_a_rejection_never_joins_the_next_answer(end):
    reader = _reader()
    try:
        reader.feed(_REJECTION[:end] + _PLAIN)
    except errors.MalformedResponseError:
        return
    pytest.fail(f"read as {reader.head and reader.head.status}")


@pytest.mark.parametrize("end", range(1, len(_INTERIM)))
def test_beginning_of_an_interim_response_never_joins_the_next(end):
    reader = _reader()
    with pytest.raises(errors.MalformedResponseError):
        reader.feed(_INTERIM[:end] + _PLAIN)


def test_header_that_names_the_same_status_line_is_accepted():
    head = b"HTTP/1.1 200 OK\r\nX-Origin-Status: HTTP/1.1 200 OK\r\n"
    assert response_heads.parse(head.rstrip()).status == 200


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 200 Fine",
        "HTTP/1.1 200 Größe\r\nX-Text: größer\tals".encode(),
        b"HTTP/1.1 299 Own\r\nX-Empty:\r\nX-Space: \t a b \t",
    ],
)
def test_sound_heads_are_accepted(head):
    assert response_heads.parse(head).status in (200, 299)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 2000 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 200 OK\r\nno colon",
        b"HTTP/1.1 200 OK\r\nspace before: a\r\n colon",
        b"HTTP/1.1 200 OK\r\nX-A: a\x00b",
        b"HTTP/1.1 200 OK\r\nX-A: a\rb",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1",
        b"HTTP/1.1 200 OK\r\nContent-Length: +1",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
        b"HTTP/1.1 200 OK" + b"\r\nX-More: a" * 129,
    ],
)
def test_ambiguous_heads_are_malformed(head):
    with pytest.raises(errors.MalformedResponseError):
        response_heads.parse(head)


def test_body_without_a_length_ends_with_its_connection():
    reader = _reader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nall") == b""
    assert reader.head.should_close
    assert not reader.is_done
    reader.feed_end()
    assert (reader.is_done, _body(reader)) == (True, b"all")


@pytest.mark.parametrize("data", [_PLAIN[:-1], _CHUNKED[:-2], _PLAIN[:20]])
def test_response_that_is_cut_off_isnt_complete(data):
    reader = _reader()
    reader.feed(data)
    with pytest.raises(errors.MalformedResponseError):
        reader.feed_end()


def test_response_to_head_has_no_body():
    reader = _reader(is_answer_to_head=True)
    assert reader.feed(_PLAIN) == b"own"
    assert reader.is_done
