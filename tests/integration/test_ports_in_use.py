"""A gateway whose port is in use names it and exits as for invalid settings.

Guards against unhandled errors of the listening libraries: operators saw a
traceback that didn't name the purpose of the port and, for links between VMs,
not even its number. First seen when a test site assigned one port twice.
"""

import asyncio
import contextlib
import signal
import socket

import pytest

from tests.integration import gateways
from tests.integration import users_standins

_USAGE = 2


@contextlib.contextmanager
def _in_use(address: str, kind: socket.SocketKind):
    host, _, port = address.rpartition(":")
    with socket.socket(type=kind) as occupant:
        occupant.bind((host, int(port)))
        if kind is socket.SOCK_STREAM:
            occupant.listen()
        yield


@pytest.mark.parametrize(
    ("setting", "kind", "step"),
    [
        ("listen", socket.SOCK_STREAM, "listen for callers"),
        ("ready", socket.SOCK_STREAM, "serve the ready page"),
        ("peers", socket.SOCK_STREAM, "listen for peers"),
        ("peers", socket.SOCK_DGRAM, "listen for reports"),
    ],
)
def test_error_names_the_port_in_use(tmp_path, setting, kind, step):
    async def scenario():
        store = users_standins.Store()
        endpoint = await store.open_endpoint(0)
        gateway = gateways.Gateway(0, "127.0.0.1", endpoint, tmp_path)
        lines = gateway.settings.read_text().splitlines()
        [address] = [
            line.partition("=")[2].strip()
            for line in lines
            if line.partition("=")[0].strip() == setting
        ]
        with _in_use(address, kind):
            await gateway.start()
            try:
                async with asyncio.timeout(15):
                    status = await gateway.process.wait()
            finally:
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
                await store.close()
        log = gateway.log.read_text()
        assert f"swiftstile: {step} at {address}" in log
        assert "Traceback" not in log
        assert status == _USAGE

    asyncio.run(scenario())
