"""Tests the cuts of links between VMs and stand-ins."""

import asyncio
import types

from tests.integration import link_cuts


def test_a_cut_can_end_after_a_connection_was_closed():
    """The connection's owner may not have removed it yet."""

    async def scenario() -> None:
        accepted: list[asyncio.StreamWriter] = []

        async def serve(_reader, writer) -> None:
            accepted.append(writer)

        links = link_cuts.Links()
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        links.add(listener, types.SimpleNamespace(connections=accepted))
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            _, client = await asyncio.open_connection("127.0.0.1", port)
            while not accepted:
                await asyncio.sleep(0.01)
            links.cut(["127.0.0.1"], link_cuts.Cut.SILENT)
            accepted[0].transport.abort()
            client.transport.abort()
            await asyncio.sleep(0.01)
            links.heal(["127.0.0.1"])

    asyncio.run(scenario())
