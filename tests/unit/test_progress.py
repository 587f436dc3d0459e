"""Transfers are bounded by silence, not by their whole time."""

import asyncio
import contextlib
from unittest import mock

import aiohttp
from aiohttp import base_protocol
import pytest

from swiftstile import progress

_STALL_TIMEOUT_S = 0.2
_CHUNK = b"x" * 1000


def _content() -> aiohttp.StreamReader:
    loop = asyncio.get_running_loop()
    protocol = base_protocol.BaseProtocol(loop)
    protocol.connection_made(mock.Mock())
    return aiohttp.StreamReader(protocol, 1 << 16, loop=loop)


async def _feed(content, chunks: int, pause_s: float, is_whole: bool) -> None:
    for _ in range(chunks):
        await asyncio.sleep(pause_s)
        content.feed_data(_CHUNK)
    if is_whole:
        content.feed_eof()


@contextlib.asynccontextmanager
async def _fed(chunks: int, pause_s: float, is_whole: bool):
    content = _content()
    feeding = asyncio.create_task(_feed(content, chunks, pause_s, is_whole))
    try:
        async with asyncio.timeout(5):
            yield content
    finally:
        feeding.cancel()


def test_a_body_that_keeps_coming_may_take_longer_than_the_limit():
    async def scenario():
        async with _fed(20, _STALL_TIMEOUT_S / 10, is_whole=True) as content:
            body = await progress.read_body(content, _STALL_TIMEOUT_S)
        assert body == _CHUNK * 20

    asyncio.run(scenario())


def test_a_body_that_stops_is_given_up_and_the_error_says_how_much_came():
    async def scenario():
        async with _fed(3, 0.01, is_whole=False) as content:
            with pytest.raises(TimeoutError, match="3000 bytes"):
                await progress.read_body(content, _STALL_TIMEOUT_S)

    asyncio.run(scenario())


def test_a_body_that_never_begins_is_given_up():
    async def scenario():
        async with _fed(0, 0.01, is_whole=False) as content:
            with pytest.raises(TimeoutError, match="after 0 bytes"):
                await progress.read_body(content, _STALL_TIMEOUT_S)

    asyncio.run(scenario())


def test_an_empty_body_is_read():
    async def scenario():
        async with _fed(0, 0.01, is_whole=True) as content:
            assert await progress.read_body(content, _STALL_TIMEOUT_S) == b""

    asyncio.run(scenario())


def test_a_connection_that_breaks_is_told_of():
    async def scenario():
        async with _fed(1, 0.01, is_whole=False) as content:
            reading = asyncio.create_task(
                progress.read_body(content, _STALL_TIMEOUT_S)
            )
            await asyncio.sleep(0.05)
            content.set_exception(aiohttp.ClientPayloadError("cut off"))
            with pytest.raises(aiohttp.ClientPayloadError):
                await reading

    asyncio.run(scenario())


def test_a_body_that_only_trickles_is_given_up():
    """Some bytes now and then are no progress.

    What callers would see: a VM that stays on its rows for half a minute, until
    the limit for the whole call ends the store's answer. Cause: each byte began
    the time of silence anew. Evidence: this test without the mend; no play has
    shown it.
    """

    async def scenario():
        content = _content()

        async def trickle():
            while True:
                content.feed_data(b"x")
                await asyncio.sleep(_STALL_TIMEOUT_S / 20)

        feeding = asyncio.create_task(trickle())
        try:
            async with asyncio.timeout(20 * _STALL_TIMEOUT_S):
                with pytest.raises(TimeoutError, match="bytes"):
                    await progress.read_body(content, _STALL_TIMEOUT_S)
        finally:
            feeding.cancel()

    asyncio.run(scenario())


def test_a_short_rest_of_a_body_is_waited_for():
    async def scenario():
        content = _content()

        async def feed():
            content.feed_data(_CHUNK)
            await asyncio.sleep(_STALL_TIMEOUT_S / 2)
            content.feed_data(b"rest")
            content.feed_eof()

        feeding = asyncio.create_task(feed())
        body = await progress.read_body(content, _STALL_TIMEOUT_S)
        await feeding
        assert body == _CHUNK + b"rest"

    asyncio.run(scenario())
