"""Control calls of the product's own interface to servers that don't stop.

Guards against an answer that is read without a limit, which fills the memory
of the process that sent the call.
"""

import asyncio

import pytest

from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.ownership import upstream_http
from tests.integration import endless_peers

_TIMEOUT_S = 0.5
_KINDS = ("unframed", "length", "chunks", "large-chunk")
# Buffers of both sockets hold some more than what is read.
_MAX_SENT_BYTES = 24 << 20


async def _read_clock(control, address: str) -> None:
    service = ids.ServiceId("organisation", "service")
    with pytest.raises(errors.PeerUnavailableError):
        await control.read_clock(address, service)


async def _probe(control, address: str) -> None:
    await control.probe(address)


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize("call", [_read_clock, _probe])
def test_answer_without_end_is_given_up(call, kind):
    async def scenario():
        peer = endless_peers.EndlessPeer(
            lambda _head: endless_peers.ANSWERS[kind]
        )
        control = upstream_http.HttpUpstreamControl(
            _TIMEOUT_S, metrics.Meters()
        )
        try:
            await call(control, peer.address)
            async with asyncio.timeout(2.0):
                while peer.answers[0].ended is None:
                    await asyncio.sleep(0.02)
            assert peer.answers[0].sent < _MAX_SENT_BYTES
        finally:
            await control.close()
            peer.close()

    asyncio.run(scenario())
