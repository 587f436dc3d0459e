"""Reads of bodies are limited by stalls, not by their total time."""

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


def test_progressing_body_may_take_longer_than_the_timeout():
    async def scenario():
        async with _fed(20, _STALL_TIMEOUT_S / 10, is_whole=True) as content:
            body = await progress.read_body(content, _STALL_TIMEOUT_S)
        assert body == _CHUNK * 20

    asyncio.run(scenario())


def test_stalled_body_times_out_with_number_of_bytes_read():
    async def scenario():
        async with _fed(3, 0.01, is_whole=False) as content:
            with pytest.raises(TimeoutError, match="3000 bytes"):
                await progress.read_body(content, _STALL_TIMEOUT_S)

    asyncio.run(scenario())


def test_body_that_never_starts_times_out():
    async def scenario():
        async with _fed(0, 0.01, is_whole=False) as content:
            with pytest.raises(TimeoutError, match="after 0 bytes"):
                await progress.read_body(content, _STALL_TIMEOUT_S)

    asyncio.run(scenario())


def test_empty_body_is_read():
    async def scenario():
        async with _fed(0, 0.01, is_whole=True) as content:
            assert await progress.read_body(content, _STALL_TIMEOUT_S) == b""

    asyncio.run(scenario())


def test_broken_connection_raises():
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


def test_trickling_body_times_out():
    """A few bytes now and then don't count as progress.

    Guards against single bytes that restart the stall timeout: a VM would keep
    stale rows for half a minute, until the limit for the whole call ends the
    store's response.
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


def test_short_last_chunk_is_read():
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
