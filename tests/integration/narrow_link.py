"""A low-bandwidth link, simulated by a TCP proxy in the test process."""

import asyncio
import contextlib

# The slowest link of the users' VMs, 5 Mbit/s, in bytes/s.
NARROW_BYTES_PER_S = 625_000
# Forwarded at a time; a pause before each chunk limits the bandwidth.
_CHUNK_BYTES = 8192


class NarrowLink:
    """Forwards connections to an address with limited response bandwidth.

    Attributes:
        address: Listening address, as `host:port`.
        forwarded: Number of response bytes that were forwarded.
        stall_after: Number of response bytes after which nothing more is
            forwarded; None for no limit. Connections stay open then, as if
            the peer had become unresponsive.
    """

    def __init__(self, target: str, bytes_per_s: float = NARROW_BYTES_PER_S):
        self._target = target
        self._bytes_per_s = bytes_per_s
        # Time at which the link, which all connections share, is free again.
        self._free_at = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.forwarded = 0
        self.stall_after: int | None = None

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
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port), limit=_CHUNK_BYTES
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward_requests(reader, target_writer))
                group.create_task(
                    self._forward_responses(target_reader, writer)
                )
        writer.close()

    @staticmethod
    async def _forward_requests(reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _forward_responses(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._wait_for_bandwidth(len(data))
                writer.write(data)
                await writer.drain()
                self.forwarded += len(data)
        writer.close()

    async def _wait_for_bandwidth(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        limit = self.stall_after
        if limit is not None and self.forwarded + size > limit:
            await loop.create_future()
        begin = max(loop.time(), self._free_at)
        self._free_at = begin + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - loop.time())
