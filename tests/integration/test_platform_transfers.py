"""Transfers from and to the platform over narrow links, whatever their size."""

import asyncio
import contextlib
import os

import aiohttp
from aiohttp import web
import msgspec
import pytest

from standins import platform
from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.provider import base
from swiftstile.provider import http as provider_http
from tests.integration import narrow_link

_TIMEOUT_S = 0.5
# Takes about twice the timeout over the narrowest link.
_SIZE_BYTES = 600_000
_SLOW_READ_BYTES = 8192


@contextlib.asynccontextmanager
async def _platform():
    """Yields the address of a platform and a narrow link to it."""
    app = platform.PlatformStandin(seed=1).app()
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    address = f"127.0.0.1:{port}"
    async with narrow_link.NarrowLink(address) as link:
        yield address, link
    await runner.cleanup()


@contextlib.asynccontextmanager
async def _open(kind, address: str, path: str = ""):
    """Yields a client of one of the platform's services."""
    client = kind(f"http://{address}{path}", _TIMEOUT_S, metrics.Meters())
    try:
        yield client
    finally:
        await client.close()


async def _write_rows(address: str) -> list[base.Row]:
    rows = [
        base.Row(f"row/{number}", os.urandom(_SIZE_BYTES // 10), 1)
        for number in range(10)
    ]
    async with _open(provider_http.HttpTable, address) as client:
        writes = [base.Write(row.key, base.ABSENT, row.value) for row in rows]
        await client.transact(writes, ids.new_attempt_id())
    return rows


def test_many_rows_are_scanned_over_a_narrow_link():
    async def scenario():
        async with _platform() as (address, link):
            rows = await _write_rows(address)
            async with _open(provider_http.HttpTable, link.address) as client:
                assert await client.scan("row/") == rows

    asyncio.run(scenario())


def test_large_object_is_fetched_over_a_narrow_link():
    async def scenario():
        body = os.urandom(_SIZE_BYTES)
        async with _platform() as (address, link):
            async with _open(provider_http.HttpObjectStore, address) as client:
                await client.put("large", body)
            kind = provider_http.HttpObjectStore
            async with _open(kind, link.address) as client:
                assert await client.get("large") == body

    asyncio.run(scenario())


def _many_vms() -> list[base.Vm]:
    return [
        base.Vm(
            ids.VmId(f"vm-{number}-{os.urandom(40).hex()}"),
            base.VmKind.ENTRY,
            ids.FailureDomain("a"),
            control_address="10.0.0.1:81",
            organisations=(ids.OrganisationId("tiny"),),
        )
        for number in range(3000)
    ]


def test_long_vm_list_is_fetched_over_a_narrow_link():
    async def scenario():
        listed = _many_vms()
        async with _platform() as (address, link):
            async with aiohttp.ClientSession() as session:
                url = f"http://{address}/view/a/vms"
                body = msgspec.json.encode(listed)
                async with session.put(url, data=body) as answer:
                    assert answer.status == 200
            kind = provider_http.HttpVmList
            async with _open(kind, link.address, "/view/a") as client:
                assert await client.fetch() == listed

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _slow_reader():
    """Yields the address of a store that reads at the rate of a narrow link."""

    async def accept(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if line
        )
        remaining = int(fields[b"content-length"])
        while remaining > 0:
            chunk = await reader.read(min(remaining, _SLOW_READ_BYTES))
            if not chunk:
                writer.close()
                return
            remaining -= len(chunk)
            pause_s = _SLOW_READ_BYTES / narrow_link.NARROW_BYTES_PER_S
            await asyncio.sleep(pause_s)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await writer.drain()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.close()


def test_large_object_is_stored_over_a_narrow_link():
    async def scenario():
        async with _slow_reader() as address:
            kind = provider_http.HttpObjectStore
            async with _open(kind, address) as client:
                await client.put("large", os.urandom(_SIZE_BYTES))

    asyncio.run(scenario())


def test_response_that_stalls_times_out():
    async def scenario():
        async with _platform() as (address, link):
            await _write_rows(address)
            link.stall_after = 200_000
            async with _open(provider_http.HttpTable, link.address) as client:
                async with asyncio.timeout(_TIMEOUT_S + 1):
                    with pytest.raises(errors.PlatformUnavailableError):
                        await client.scan("row/")

    asyncio.run(scenario())


def test_response_that_never_starts_times_out():
    async def scenario():
        async with _platform() as (_, link):
            link.stall_after = 0
            async with _open(provider_http.HttpTable, link.address) as client:
                async with asyncio.timeout(_TIMEOUT_S + 0.3):
                    with pytest.raises(errors.PlatformUnavailableError):
                        await client.read("row/0")

    asyncio.run(scenario())
