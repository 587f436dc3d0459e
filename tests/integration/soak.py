"""Randomized soak test: real gateways under injected faults.

`python -m tests.integration.soak --seeds 1-50 --seconds 20` runs one site for
each seed and prints violated guarantees; the exit status is 0 if there are
none. Overlapping faults are injected: gateways are killed, paused, shut down
gracefully and restarted; a proxy delays, resets or stalls connections to
servers, or drops one direction; the store refuses VMs, loses answers, applies
writes late and drops its history; servers crash, leave, join, restart under the
same id and don't answer grants; callers pipeline. The checks use only what
callers and servers observe.
"""

import argparse
import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import tempfile

from tests.integration import gateways

# Time between two faults, in seconds: short enough that they overlap.
_GAP_S = (0.2, 2.0)
# Duration of a fault, in seconds.
_LENGTH_S = (0.5, 5.0)
# Requests per second during the faults.
_RATE = 40
# Time after the last fault within which all keys must be served again.
_RECOVERY_S = 30.0


class Proxy:
    """Forwards connections to one server, or injects a fault.

    Attributes:
        mode: `pass`, `delay`, `reset`, `stalled` or `one-way` (data from the
            server is dropped).
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = "pass"

    async def start(self) -> str:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1")
        port = self._listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    def close(self) -> None:
        self._listener.close()
        self.set_mode("reset")

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            if self.mode == "reset":
                writer.transport.abort()
                return
            to_reader, to_writer = await asyncio.open_connection(*self._target)
            self._writers.add(to_writer)
            await asyncio.gather(
                self._pump(reader, to_writer, is_back=False),
                self._pump(to_reader, writer, is_back=True),
            )
            self._writers.discard(to_writer)
        self._writers.discard(writer)

    async def _pump(self, reader, writer, is_back: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "one-way" and is_back:
                    continue
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Soak:
    """Injects the faults of one seed into one site.

    Args:
        site: The site.
        seed: Seed that the faults are drawn from.
        has_all: Whether all kinds of faults are drawn; False excludes server
            restarts and pipelining, which were added later, so that older seeds
            still draw the same faults.
    """

    def __init__(self, site: gateways.Site, seed: int, has_all: bool = True):
        self._site = site
        self._has_all = has_all
        self._random = random.Random(seed)
        self._undo: set[asyncio.Task] = set()
        self._busy: set[int] = set()
        self.history: list[str] = []

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then waits until all have ended."""
        faults = [
            self._kill,
            self._pause,
            self._stop_in_order,
            self._harm_connections,
            self._harm_store,
            self._drop_history,
            self._crash_server,
            self._empty_server,
            self._ignore_orders,
        ]
        if self._has_all:
            faults += [self._start_server_again, self._pipeline]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            fault = self._random.choice(faults)
            task = asyncio.create_task(fault(self._length_s()))
            self._undo.add(task)
            task.add_done_callback(self._undo.discard)
            await asyncio.sleep(self._random.uniform(*_GAP_S))
        if self._undo:
            await asyncio.gather(*self._undo)

    def _length_s(self) -> float:
        return self._random.uniform(*_LENGTH_S)

    def _note(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {text}")

    @contextlib.contextmanager
    def _gateway(self):
        """Selects a gateway without a current fault and reserves it."""
        free = [g for g in self._site.gateways if g.number not in self._busy]
        # One gateway always stays up: other tests cover the loss of all.
        if len(free) < 2:
            yield None
            return
        chosen = self._random.choice(free)
        self._busy.add(chosen.number)
        try:
            yield chosen
        finally:
            self._busy.discard(chosen.number)

    async def _kill(self, length_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._note(f"kill vm-{gateway.number} for {length_s:.1f}")
            await gateway.end(signal.SIGKILL)
            await asyncio.sleep(length_s)
            await gateway.start()

    async def _pause(self, length_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._note(f"pause vm-{gateway.number} for {length_s:.1f}")
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(length_s)
            gateway.send(signal.SIGCONT)

    async def _stop_in_order(self, _length_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._note(f"shut down vm-{gateway.number}")
            await gateway.end(signal.SIGTERM)
            await gateway.start()

    async def _harm_connections(self, length_s: float) -> None:
        proxy = self._random.choice(self._site.proxies)
        mode = self._random.choice(("delay", "reset", "silent", "one-way"))
        self._note(f"connections {mode} for {length_s:.1f}")
        proxy.set_mode(mode)
        await asyncio.sleep(length_s)
        proxy.set_mode("pass")

    async def _harm_store(self, length_s: float) -> None:
        doors = range(len(self._site.gateways))
        if self._random.random() < 0.5:
            doors = [self._random.choice(doors)]
        mode = self._random.choice(("busy", "silent", "lost", "late"))
        self._note(f"store {mode} at {list(doors)} for {length_s:.1f}")
        for door in doors:
            self._site.store.mode_by_door[door] = mode
        await asyncio.sleep(length_s)
        for door in doors:
            self._site.store.mode_by_door.pop(door, None)

    async def _drop_history(self, _length_s: float) -> None:
        self._note("store drops its history")
        self._site.store.forget_history()

    def _server(self):
        up = [
            server
            for server in self._site.world.by_id.values()
            if server.is_up and not server.is_leaving
        ]
        of_service = [s for s in up if s.service == "keyed"]
        return self._random.choice(of_service) if len(of_service) > 3 else None

    async def _crash_server(self, length_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._note(f"crash {server.name}")
        await server.stop()
        await asyncio.sleep(min(length_s, 2.0))
        server.unregister()
        await self._site.add_server(server.service, server.zone)

    async def _empty_server(self, length_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._note(f"{server.name} leaves")
        server.is_leaving = True
        server.register("draining")
        await asyncio.sleep(2.0 + length_s)
        server.unregister()
        await server.stop()
        await self._site.add_server(server.service, server.zone)

    async def _ignore_orders(self, length_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._note(f"{server.name} delays grants for {length_s:.1f}")
        server.late_share = 0.4
        await asyncio.sleep(length_s)
        server.late_share = 0.0

    async def _start_server_again(self, length_s: float) -> None:
        server = self._server()
        if server is None:
            return
        pause_s = min(length_s, 1.0)
        self._note(f"{server.name} restarts after {pause_s:.1f}")
        await server.start_again(pause_s)

    async def _pipeline(self, length_s: float) -> None:
        self._note(f"callers pipeline for {length_s:.1f}")
        loop = asyncio.get_running_loop()
        end = loop.time() + length_s
        while loop.time() < end:
            gateway = self._random.choice(self._site.gateways)
            await self._site.callers.pipeline(gateway, 6)


class ProxiedSite(gateways.Site):
    """A site whose servers are behind proxies."""

    def __init__(self, folder: pathlib.Path, count: int, seed: int):
        super().__init__(folder, count, seed)
        self.proxies: list[Proxy] = []

    async def add_server(self, service: str, zone: str):
        server = await super().add_server(service, zone)
        proxy = Proxy(server.address)
        server.address = await proxy.start()
        server.register("ready")
        self.proxies.append(proxy)
        return server


async def play(
    seed: int, seconds: float, folder: pathlib.Path, has_all: bool = True
) -> list[str]:
    """Runs one seed and returns the violated guarantees."""
    site = ProxiedSite(folder, 4, seed)
    async with site.running():
        soak = Soak(site, seed, has_all)
        over = asyncio.Event()
        load = asyncio.create_task(site.callers.load(_RATE, over))
        await soak.run(seconds)
        over.set()
        await load
        broken = site.broken_promises()
        try:
            await site.until(site.is_serving, _RECOVERY_S)
        except TimeoutError:
            broken.append(f"not all keys are served after {_RECOVERY_S} s")
        broken += site.broken_promises()
        for proxy in site.proxies:
            proxy.close()
    (folder / "history").write_text("\n".join(soak.history))
    (folder / "counts").write_text(str(site.callers.counts()))
    return sorted(set(broken))


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=_seeds, default=range(1, 6))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--folder", type=pathlib.Path)
    args = parser.parse_args()
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in args.seeds:
        place = folder / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        broken = asyncio.run(play(seed, args.seconds, place))
        counts = (place / "counts").read_text()
        print(f"seed {seed}: {'FAILED' if broken else 'ok'} {counts}")
        for line in broken[:5]:
            print(f"  {line}")
        failed += bool(broken)
    print(f"{len(args.seeds)} seeds, {failed} failed; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
