"""Tests the limits of responses that are streamed, without a network."""

import asyncio

import pytest

from swiftstile import clocks
from swiftstile.gateway import body_budget
from swiftstile.gateway import outcomes
from swiftstile.gateway import response_bodies
from swiftstile.gateway import response_heads
from swiftstile.gateway import responses
from swiftstile.gateway import stream_limits

_MIB = 1 << 20


def test_a_response_with_a_length_may_take_as_long_as_its_caller_waits():
    limits = stream_limits.limits_of(3 * _MIB, 12.5, 18.0, 2.5)
    assert limits.next_until(11.0) == 13.5
    assert limits.next_until(17.0) == 18.0


def test_a_response_without_a_length_has_the_time_of_the_route():
    limits = stream_limits.limits_of(None, 12.5, 18.0, 2.5)
    assert limits.next_until(11.0) == 12.5


@pytest.mark.parametrize(
    ("length", "left_s", "link_mbps", "can"),
    [
        (10**12, 8.0, 1000.0, False),
        (10**12, 8.0, 0.0, False),
        (3 * 10**6, 5.0, 5.0, True),
        (4 * 10**6, 5.0, 5.0, False),
        (1, 0.0, 1000.0, False),
    ],
)
def test_a_length_is_compared_with_what_the_link_can_carry(
    length, left_s, link_mbps, can
):
    assert stream_limits.can_arrive(length, left_s, link_mbps) is can


def test_reserved_memory_is_returned_with_the_last_reference():
    budget = body_budget.BodyBudget(10)
    first, second = budget.reserve(), budget.reserve()
    assert first.add(8)
    assert not second.add(8)
    assert budget.held_bytes == 16
    del first
    assert budget.held_bytes == 8
    assert not second.add(4)
    del second
    assert budget.held_bytes == 0


class _Exchange:
    """An exchange whose body is fed by the test.

    Attributes:
        ended: Whether it was whole, once it has ended.
        has_failed: Whether the stream failed.
    """

    def __init__(self, head: bytes, limits: stream_limits.StreamLimits):
        self.head = response_heads.parse(head)
        self.body = response_bodies.ResponseBody(lambda: None)
        self.ended: bool | None = None
        self.has_failed = False
        self.source = responses.ResponseSource(
            "u-1", self.body, limits, self._finish, self._on_failed
        )

    def _finish(self, is_whole: bool) -> None:
        self.ended = is_whole

    def _on_failed(self) -> None:
        self.has_failed = True

    async def read(
        self, budget: body_budget.BodyBudget
    ) -> responses.UpstreamResponse:
        return await responses.read_response(
            self.head, [], None, self.source, budget.reserve()
        )


def _limits(ends_in_s: float, stall_s: float) -> stream_limits.StreamLimits:
    return stream_limits.StreamLimits(clocks.monotonic() + ends_in_s, stall_s)


def test_a_response_is_streamed_while_other_bodies_hold_the_memory():
    async def scenario():
        budget = body_budget.BodyBudget(1000)
        other = budget.reserve()
        other.add(900)
        exchange = _Exchange(
            b"HTTP/1.1 200 OK\r\nContent-Length: 400", _limits(5.0, 5.0)
        )
        exchange.body.feed(b"a" * 200)
        response = await exchange.read(budget)
        assert response.body is None
        exchange.body.feed(b"b" * 200)
        exchange.body.end()
        pieces = [piece async for piece in response.stream]
        assert b"".join(pieces) == b"a" * 200 + b"b" * 200

    asyncio.run(scenario())


def test_a_slow_caller_gets_what_was_received_in_time():
    async def scenario():
        exchange = _Exchange(b"HTTP/1.1 200 OK", _limits(0.2, 5.0))
        exchange.body.feed(b"a" * (2 * _MIB))
        response = await exchange.read(body_budget.BodyBudget())
        assert response.body is None
        exchange.body.feed(b"b")
        exchange.body.end()
        size = 0
        async for piece in response.stream:
            size += len(piece)
            await asyncio.sleep(0.15)
        assert size == 2 * _MIB + 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("ends_in_s", "stall_s"), [(0.1, 5.0), (5.0, 0.1)], ids=["end", "stall"]
)
def test_a_stream_without_end_fails_its_upstream(ends_in_s, stall_s):
    async def scenario():
        exchange = _Exchange(b"HTTP/1.1 200 OK", _limits(ends_in_s, stall_s))
        exchange.body.feed(b"a" * (2 * _MIB))
        response = await exchange.read(body_budget.BodyBudget())
        started = clocks.monotonic()
        with pytest.raises(outcomes.TimedOutError):
            async for _ in response.stream:
                pass
        assert clocks.monotonic() - started < 2.0
        assert exchange.has_failed

    asyncio.run(scenario())


def test_a_body_that_ends_with_its_last_piece_is_whole():
    async def scenario():
        exchange = _Exchange(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", _limits(5, 5)
        )
        exchange.body.feed(b"a" * (2 * _MIB))
        exchange.body.end()
        response = await exchange.read(body_budget.BodyBudget())
        assert len(response.body) == 2 * _MIB
        assert exchange.ended

    asyncio.run(scenario())
