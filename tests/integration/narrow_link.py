"""A link of little bandwidth, as a TCP proxy in the test's own process."""

import asyncio
import contextlib

# The narrowest link that the users' VMs have, 5 Mbit/s, in bytes/s.
NARROW_BYTES_PER_S = 625_000
# Passed on at once; the pause after it makes the bandwidth.
_CHUNK_BYTES = 8192


class NarrowLink:
    """Passes connections on to an address, no faster than a bandwidth.

    Attributes:
        address: Where it listens, as `host:port`.
        passed: Bytes that it passed on to those who connected.
        stop_after: So many such bytes pass, and nothing after them; None for
            no end. Nothing breaks then, as on a connection that went silent.
    """

    def __init__(self, target: str, bytes_per_s: float = NARROW_BYTES_PER_S):
        self._target = target
        self._bytes_per_s = bytes_per_s
        # All connections share the link; when it is free for more.
        self._free_at = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.passed = 0
        self.stop_after: int | None = None

    async def __aenter__(self) -> "NarrowLink":
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=_CHUNK_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port), limit=_CHUNK_BYTES
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._ask(reader, far_writer))
                group.create_task(self._answer(far_reader, writer))
        writer.close()

    @staticmethod
    async def _ask(reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _answer(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._take_turn(len(data))
                writer.write(data)
                await writer.drain()
                self.passed += len(data)
        writer.close()

    async def _take_turn(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        stop = self.stop_after
        if stop is not None and self.passed + size > stop:
            await loop.create_future()
        begin = max(loop.time(), self._free_at)
        self._free_at = begin + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - loop.time())
