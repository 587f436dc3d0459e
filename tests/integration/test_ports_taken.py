"""A gateway whose port is taken says which, and ends as for bad settings.

What operators saw: a traceback of a library, with nothing of what the port was
for, and for links between VMs not even which it was. Cause: errors of listening
were passed on as they came. Evidence: the log of a site of a test whose gateway
had drawn a port twice, and these tests without the mend.
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
def _taken(address: str, kind: socket.SocketKind):
    host, _, port = address.rpartition(":")
    with socket.socket(type=kind) as holder:
        holder.bind((host, int(port)))
        if kind is socket.SOCK_STREAM:
            holder.listen()
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
def test_a_port_that_is_taken_is_named(tmp_path, setting, kind, step):
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
        with _taken(address, kind):
            await gateway.start()
            try:
                async with asyncio.timeout(15):
                    status = await gateway.process.wait()
            finally:
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
                await store.close()
        told = gateway.log.read_text()
        assert f"swiftstile: {step} at {address}" in told
        assert "Traceback" not in told
        assert status == _USAGE

    asyncio.run(scenario())
