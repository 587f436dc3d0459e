"""How bodies of requests are read, and what is held of them meanwhile."""

import asyncio

from aiohttp import base_protocol
from aiohttp import streams
import hypothesis
from hypothesis import strategies as st
import pytest

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import piece_buffers
from swiftstile.gateway import request_bodies
from swiftstile.gateway import request_holds

_LONG = request_bodies.MAX_BUFFERED_BYTES + 1


def _content(loop) -> streams.StreamReader:
    protocol = base_protocol.BaseProtocol(loop)
    protocol.transport = asyncio.Transport()
    return streams.StreamReader(protocol, 1 << 30, loop=loop)


def _run(scenario) -> None:
    async def main():
        content = _content(asyncio.get_running_loop())
        await scenario(content, request_holds.RequestHold(0, content))

    asyncio.run(main())


def test_a_body_that_does_not_arrive_in_time_is_refused_with_a_promise():
    # Such a request was held until its caller left, and got no answer.
    async def scenario(content, hold):
        content.feed_data(b"x")
        with pytest.raises(outcomes.BodyTimeoutError) as caught:
            await request_bodies.read_body(
                content, hold, clocks.monotonic() + 0.01, 10
            )
        assert caught.value.status == 408

    _run(scenario)


def test_a_whole_body_is_held_until_it_is_discarded():
    async def scenario(content, hold):
        content.feed_data(b"x" * 100)
        content.feed_eof()
        body = await request_bodies.read_body(content, hold, 0.0, 100)
        assert (body.whole, hold.held_bytes) == (b"x" * 100, 100)
        hold.discard()
        assert hold.held_bytes == 0

    _run(scenario)


def test_what_was_sent_of_a_long_body_is_not_held_any_more():
    async def scenario(content, hold):
        content.feed_data(b"x" * _LONG)
        end = clocks.monotonic() + 5
        body = await request_bodies.read_body(content, hold, end, 2 * _LONG)
        assert (body.whole, hold.held_bytes) == (None, _LONG)
        assert len(await anext(body.stream)) == _LONG
        content.feed_data(b"end")
        assert await anext(body.stream) == b"end"
        assert hold.held_bytes == 3

    _run(scenario)


def test_a_stream_longer_than_allowed_ends_with_an_error():
    async def scenario(content, hold):
        content.feed_data(b"x" * _LONG)
        end = clocks.monotonic() + 5
        body = await request_bodies.read_body(content, hold, end, _LONG)
        await anext(body.stream)
        content.feed_data(b"x")
        with pytest.raises(outcomes.BodyTooLargeError):
            await anext(body.stream)

    _run(scenario)


def test_a_refused_request_is_never_passed_on():
    # A refusal promises that the request never runs.
    hold = request_holds.RequestHold()
    hold.refuse(outcomes.MemoryLimitError("full", step="receive"))
    assert not hold.can_refuse
    with pytest.raises(outcomes.MemoryLimitError):
        hold.pass_on()
    assert not hold.is_passed_on


def test_a_request_that_was_passed_on_is_not_refused():
    hold = request_holds.RequestHold()
    hold.pass_on()
    assert not hold.can_refuse


@hypothesis.given(st.lists(st.integers(0, 9000), max_size=30))
def test_pieces_of_any_size_are_put_together(sizes):
    buffer = piece_buffers.PieceBuffer()
    pieces = [bytes([n % 256]) * size for n, size in enumerate(sizes)]
    for piece in pieces:
        buffer.append(piece)
    assert len(buffer) == sum(sizes)
    assert buffer.take() == b"".join(pieces)
    assert len(buffer) == 0
