"""Randomized soak test: real gateways under injected faults.

`python -m tests.integration.soak --seeds 1-50 --seconds 20` runs one site for
each seed and prints violated guarantees; the exit status is 0 if there are
none. Overlapping faults are injected: gateways are killed, paused, shut down
gracefully and restarted; a proxy delays, resets or stalls connections to
servers, or drops one direction; VMs lose their links to all servers; the store
refuses VMs, loses answers, applies writes late, drops its history and returns
from older copies; servers crash, leave, join, restart under the same id and
don't answer grants; callers repeat requests that crash servers or make them
stop answering, and may leave before; servers state rate limits, announce their
exit in answers or ask for pauses; they send bytes that belong to no request,
also without end, and reject requests meanwhile; callers pipeline; crowds of
clients hold much and finish little at VMs with little memory. The checks use
only what callers and servers observe, and the memory of the VMs.

`--planned` injects planned work only, in overlapping series: stops, repeated
signals, changes of the configuration and leaving servers, while callers keep
channels that no request may be lost on. They pipeline in even seeds.
"""

import argparse
import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import typing

from tests.integration import foreign_bytes
from tests.integration import gateways
from tests.integration import kept_channels
from tests.integration import link_cuts
from tests.integration import soak_crowds
from tests.integration import statement_checks
from tests.integration import users_standins

# Time between two faults, in seconds: short enough that they overlap.
_INTERVAL_S = (0.2, 2.0)
# Duration of a fault, in seconds.
_DURATION_S = (0.5, 5.0)
# Share of the cuts of links that hit all VMs of a failure domain.
_WHOLE_DOMAIN_SHARE = 0.4
# Limits are stated for longer than faults last, to be in force for a while.
_LIMIT_FACTOR = 2.5
# Requests per second during the faults.
_RATE = 40
_VMS = 4
# Callers of each VM that keep channels, during planned work.
_KEPT_PER_VM = 12
# Time after the last fault within which all keys must be served again.
_RECOVERY_S = 30.0


# A VM, or a path to a server, counts as faulty for this long after a fault.
_EXCUSED_AFTER_S = 3.0


class _Excuse(typing.NamedTuple):
    """A fault of a VM, or of all paths to a server if `vm` is None."""

    vm: int | None
    server: str | None
    start: float
    end: float


class Proxy:
    """Forwards connections to one server, or injects a fault.

    Attributes:
        server: Name of the server.
        mode: `pass`, `delay`, `reset`, `stalled` or `one-way` (data from the
            server is dropped).
        links: Links of the VMs to the proxies.
    """

    def __init__(self, target: str, server: str, links: link_cuts.Links):
        host, _, port = target.rpartition(":")
        self.server = server
        self.links = links
        self._target = (host, int(port))
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._accepted: set[asyncio.StreamWriter] = set()
        self.mode = "pass"

    async def start(self) -> str:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1")
        self.links.add(self._listener, self)
        port = self._listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    @property
    def connections(self) -> list[asyncio.StreamWriter]:
        """The connections of VMs."""
        return list(self._accepted)

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    def close(self) -> None:
        self.links.remove(self._listener)
        self._listener.close()
        self.set_mode("reset")

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        self._accepted.add(writer)
        host = writer.get_extra_info("peername")[0]
        with contextlib.suppress(OSError):
            if self.mode == "reset" or self.links.resets_new(host):
                writer.transport.abort()
                self._accepted.discard(writer)
                return
            to_reader, to_writer = await asyncio.open_connection(*self._target)
            self._writers.add(to_writer)
            await asyncio.gather(
                self._forward(reader, to_writer, host, is_response=False),
                self._forward(to_reader, writer, host, is_response=True),
            )
            self._writers.discard(to_writer)
        self._writers.discard(writer)
        self._accepted.discard(writer)

    async def _forward(
        self, reader, writer, host: str, is_response: bool
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                while self.mode == "stalled":
                    await asyncio.sleep(0.05)
                is_lost = self.mode == "one-way" or self.links.loses_answers(
                    host
                )
                if is_lost and is_response:
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
        has_all_kinds: Whether all kinds of faults are drawn; False excludes
            server restarts, pipelining and statements of servers, which were
            added later, so that older seeds still draw the same faults.
        is_planned: Whether only planned work is drawn.

    Attributes:
        planned_stops: Stops of VMs during planned work.
    """

    def __init__(
        self,
        site: gateways.Site,
        seed: int,
        has_all_kinds: bool = True,
        is_planned: bool = False,
    ):
        self._site = site
        self._is_planned = is_planned
        self._config_version = 2
        self.planned_stops = kept_channels.Stops()
        self._has_all_kinds = has_all_kinds
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task] = set()
        self._busy: set[int] = set()
        self._excuses: list[_Excuse] = []
        self.history: list[str] = []

    def is_excused(
        self, server: str, vm: int, start: float, end: float
    ) -> bool:
        """Returns whether a VM, or its path to a server, was faulty."""
        return any(
            excuse.vm in (None, vm)
            and excuse.server in (None, server)
            and excuse.start <= end
            and start <= excuse.end + _EXCUSED_AFTER_S
            for excuse in self._excuses
        )

    @contextlib.contextmanager
    def _excusing(self, vm: int | None = None, server: str | None = None):
        """Excuses a VM or the paths to a server during a fault."""
        loop = asyncio.get_running_loop()
        start, position = loop.time(), len(self._excuses)
        self._excuses.append(_Excuse(vm, server, start, float("inf")))
        try:
            yield
        finally:
            self._excuses[position] = _Excuse(vm, server, start, loop.time())

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then waits until all have ended."""
        faults = [
            self._kill,
            self._pause,
            self._shut_down,
            self._inject_connection_fault,
            self._inject_store_fault,
            self._drop_history,
            self._crash_server,
            self._drain_server,
            self._delay_grants,
        ]
        if self._has_all_kinds:
            faults += [
                self._restart_server,
                self._pipeline,
                self._limit_server,
                self._announce_exit,
                self._ask_for_pause,
                self._cut_links,
                self._return_store,
                self._crash_by_requests,
                self._send_foreign_bytes,
                self._reject_requests,
            ]
        if self._is_planned:
            faults = [
                self._stop_in_series,
                self._stop_in_series,
                self._change_config,
                self._drain_server,
                self._announce_exit,
            ]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            fault = self._random.choice(faults)
            task = asyncio.create_task(fault(self._draw_duration_s()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*_INTERVAL_S))
        if self._tasks:
            await asyncio.gather(*self._tasks)

    def _draw_duration_s(self) -> float:
        return self._random.uniform(*_DURATION_S)

    def _record(self, text: str) -> None:
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
            with self._excusing(vm=chosen.number):
                yield chosen
        finally:
            self._busy.discard(chosen.number)

    async def _kill(self, duration_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._record(f"kill vm-{gateway.number} for {duration_s:.1f}")
            await gateway.stop(signal.SIGKILL)
            await asyncio.sleep(duration_s)
            await gateway.start()

    async def _pause(self, duration_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._record(f"pause vm-{gateway.number} for {duration_s:.1f}")
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            gateway.send_signal(signal.SIGCONT)

    async def _shut_down(self, _duration_s: float) -> None:
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._record(f"shut down vm-{gateway.number}")
            await gateway.stop(signal.SIGTERM)
            await gateway.start()

    async def _stop_in_series(self, _duration_s: float) -> None:
        """Restarts a VM that gets more signals as it stops."""
        with self._gateway() as gateway:
            if gateway is None:
                return
            self._record(f"stop vm-{gateway.number}")
            async with asyncio.TaskGroup() as group:
                group.create_task(self.planned_stops.stop(gateway))
                for _ in range(self._random.randint(0, 3)):
                    await asyncio.sleep(self._random.uniform(0.0, 1.5))
                    gateway.send_signal(
                        self._random.choice((signal.SIGTERM, signal.SIGHUP))
                    )
            await gateway.start()

    async def _change_config(self, _duration_s: float) -> None:
        self._config_version += 1
        self._record(f"configuration {self._config_version}")
        document = kept_channels.config(self._config_version)
        self._site.store.put("op", "config", document)

    async def _inject_connection_fault(self, duration_s: float) -> None:
        proxy = self._random.choice(self._site.proxies)
        mode = self._random.choice(("delay", "reset", "stalled", "one-way"))
        self._record(f"connections {mode} for {duration_s:.1f}")
        proxy.set_mode(mode)
        with self._excusing(server=proxy.server):
            await asyncio.sleep(duration_s)
        proxy.set_mode("pass")

    async def _inject_store_fault(self, duration_s: float) -> None:
        endpoints = range(len(self._site.gateways))
        if self._random.random() < 0.5:
            endpoints = [self._random.choice(endpoints)]
        mode = self._random.choice(("busy", "unresponsive", "lost", "late"))
        self._record(f"store {mode} at {list(endpoints)} for {duration_s:.1f}")
        for endpoint in endpoints:
            self._site.store.mode_by_endpoint[endpoint] = mode
        await asyncio.sleep(duration_s)
        for endpoint in endpoints:
            self._site.store.mode_by_endpoint.pop(endpoint, None)

    async def _drop_history(self, _duration_s: float) -> None:
        self._record("store drops its history")
        self._site.store.drop_history()

    def _server(self):
        running = [
            server
            for server in self._site.cluster.by_id.values()
            if server.is_up and not server.is_leaving
        ]
        keyed = [s for s in running if s.service == "keyed"]
        return self._random.choice(keyed) if len(keyed) > 3 else None

    async def _crash_server(self, duration_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._record(f"crash {server.name}")
        await server.stop()
        await asyncio.sleep(min(duration_s, 2.0))
        server.unregister()
        await self._site.add_server(server.service, server.zone)

    async def _drain_server(self, duration_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._record(f"{server.name} leaves")
        server.is_leaving = server.announces_exit = True
        server.register("draining")
        await asyncio.sleep(2.0 + duration_s)
        server.unregister()
        await server.stop()
        await self._site.add_server(server.service, server.zone)

    async def _delay_grants(self, duration_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._record(f"{server.name} delays grants for {duration_s:.1f}")
        server.delayed_grant_share = 0.4
        await asyncio.sleep(duration_s)
        server.delayed_grant_share = 0.0

    async def _restart_server(self, duration_s: float) -> None:
        server = self._server()
        if server is None:
            return
        pause_s = min(duration_s, 1.0)
        self._record(f"{server.name} restarts after {pause_s:.1f}")
        await server.restart(pause_s)

    def _any_server(self):
        """Returns a server of any service that states nothing yet."""
        running = [
            server
            for server in self._site.cluster.by_id.values()
            if server.is_up
            and not server.is_leaving
            and server.limit_per_s is None
            and server.backoff_s is None
        ]
        return self._random.choice(running)

    async def _limit_server(self, duration_s: float) -> None:
        server = self._any_server()
        limit_per_s = round(self._random.uniform(0.5, 6.0), 1)
        self._record(f"{server.name} limits to {limit_per_s}/s")
        server.limit_per_s = limit_per_s
        await asyncio.sleep(_LIMIT_FACTOR * duration_s)
        server.limit_per_s = None

    async def _announce_exit(self, duration_s: float) -> None:
        server = self._server()
        if server is None:
            return
        self._record(f"{server.name} announces its exit")
        server.is_leaving = server.announces_exit = True
        await asyncio.sleep(2.0 + duration_s)
        server.unregister()
        await server.stop()
        await self._site.add_server(server.service, server.zone)

    async def _ask_for_pause(self, duration_s: float) -> None:
        server = self._any_server()
        server.backoff_s = round(self._random.uniform(0.6, 3.0), 2)
        self._record(f"{server.name} asks for pauses of {server.backoff_s}")
        await asyncio.sleep(duration_s)
        server.backoff_s = None

    async def _cut_links(self, duration_s: float) -> None:
        """Cuts some VMs, a whole domain, or all off from all servers."""
        gateways_ = self._site.gateways
        if self._random.random() < _WHOLE_DOMAIN_SHARE:
            zone = self._random.choice(gateways_).zone
            chosen = [g for g in gateways_ if g.zone == zone]
        else:
            count = self._random.randint(1, len(gateways_))
            chosen = self._random.sample(gateways_, count)
        how = self._random.choice(list(link_cuts.Cut))
        numbers = [gateway.number for gateway in chosen]
        self._record(f"links of {numbers} {how.value} for {duration_s:.1f}")
        hosts = [gateway.host for gateway in chosen]
        links = self._site.cluster.links
        with contextlib.ExitStack() as excuses:
            for number in numbers:
                excuses.enter_context(self._excusing(vm=number))
            links.cut(hosts, how)
            await asyncio.sleep(duration_s)
            links.heal(hosts)

    async def _return_store(self, duration_s: float) -> None:
        """Takes the store away; it returns from a copy of some seconds ago."""
        store = self._site.store
        if store.is_away:
            return
        away_s = min(duration_s, 2.0)
        age_s = self._random.uniform(0.2, 3.0)
        self._record(f"store away for {away_s:.1f}, {age_s:.1f} older")
        store.is_away = True
        await asyncio.sleep(away_s)
        store.return_from_copy(away_s + age_s)
        store.is_away = False
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        store.write_again()

    async def _crash_by_requests(self, duration_s: float) -> None:
        """Repeats a request that crashes servers, as one caller."""
        cluster = self._site.cluster
        path = f"/write/crash-{len(cluster.crashing_paths)}"
        kind = self._random.choice(list(users_standins.CrashKind))
        leaves_after_s = self._random.choice((None, 0.1, 0.3))
        self._record(
            f"{path} {kind.value} for {2 * duration_s:.1f},"
            f" caller leaves after {leaves_after_s}"
        )
        cluster.crashing_paths.add(path)
        cluster.crash_plan = users_standins.CrashPlan(kind, (0.05, 0.4))
        end = asyncio.get_running_loop().time() + 2 * duration_s
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(leaves_after_s):
                    await self._site.callers.call(path)
            await asyncio.sleep(0.4)
        begun = len(cluster.begun_by_path.get(path, ()))
        self._record(f"{path} began {begun} times")

    async def _send_foreign_bytes(self, duration_s: float) -> None:
        """Lets a server send bytes besides its answers, some without end."""
        server = self._any_server()
        draw = self._random
        endless_share = draw.choice((0.0, 0.0, 0.1))
        server.noise = noise = foreign_bytes.Noise(
            repeat_share=draw.uniform(0.0, 0.2),
            second_share=draw.uniform(0.0, 0.2),
            second_delay_s=draw.choice(((0.0, 0.0), (0.0, 0.05))),
            endless_share=endless_share,
            endless_bytes_per_s=1e7,
            covers_orders=draw.random() < 0.5,
            seed=draw.randrange(1 << 30),
        )
        server.echoes_ids_of_orders = draw.random() < 0.5
        self._record(f"{server.name} sends {noise} for {duration_s:.1f}")
        await asyncio.sleep(duration_s)
        if server.noise is noise:
            server.noise = None
        self._record(f"{server.name} sent {noise.sent}, {len(noise.endless)}")

    async def _reject_requests(self, duration_s: float) -> None:
        servers = list(self._site.cluster.by_id.values())
        share = self._random.uniform(0.1, 0.5)
        self._record(f"rejections of {share:.2f} for {duration_s:.1f}")
        for server in servers:
            server.rejected_share = share
        await asyncio.sleep(duration_s)
        for server in servers:
            server.rejected_share = 0.0

    async def _pipeline(self, duration_s: float) -> None:
        self._record(f"callers pipeline for {duration_s:.1f}")
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            gateway = self._random.choice(self._site.gateways)
            await self._site.callers.pipeline(gateway, 6)


class ProxiedSite(gateways.Site):
    """A site whose servers are behind proxies."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        seed: int,
        limits: dict[str, float] | None = None,
    ):
        super().__init__(folder, count, seed, limits=limits)
        self.proxies: list[Proxy] = []

    async def add_server(self, service: str, zone: str):
        server = await super().add_server(service, zone)
        self.cluster.links.remove(server.listener)
        proxy = Proxy(server.address, server.name, self.cluster.links)
        server.address = await proxy.start()
        server.register("ready")
        self.proxies.append(proxy)
        return server


async def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    has_all_kinds: bool = True,
    vms: int = _VMS,
    is_planned: bool = False,
) -> list[str]:
    """Runs one seed and returns the violated guarantees.

    Args:
        seed: Seed that the faults are drawn from.
        seconds: Duration of the faults.
        folder: Folder of the logs.
        has_all_kinds: Whether all kinds of faults are drawn.
        vms: Number of VMs, each a process.
        is_planned: Whether only planned work is drawn.
    """
    has_all_kinds = has_all_kinds and not is_planned
    limits = soak_crowds.LIMITS if has_all_kinds else None
    site = ProxiedSite(folder, vms, seed, limits)
    visits = soak_crowds.CrowdVisits(site, seed)
    async with site.running():
        if has_all_kinds:
            route = users_standins.keyed_write_route("/orders/")
            site.store.put("op", "config", users_standins.config(2, route))
            site.callers.write_paths.append("/orders/x")
        soak = Soak(site, seed, has_all_kinds, is_planned)
        kept = kept_channels.KeptChannels(site, seed, seed % 2 == 0)
        load_ended = asyncio.Event()
        load = asyncio.create_task(site.callers.load(_RATE, load_ended))
        crowds = asyncio.create_task(visits.run()) if has_all_kinds else None
        async with contextlib.AsyncExitStack() as stack:
            if is_planned:
                site.store.put("op", "config", kept_channels.config(2))
                kept.vary_work()
                await stack.enter_async_context(kept.present(_KEPT_PER_VM))
            await soak.run(seconds)
        if crowds is not None:
            crowds.cancel()
            await asyncio.wait([crowds])
        load_ended.set()
        await load
        violations = site.violated_guarantees()
        violations += statement_checks.violations(site, soak.is_excused)
        try:
            await site.until(site.is_serving, _RECOVERY_S)
        except TimeoutError:
            violations.append(f"not all keys are served after {_RECOVERY_S} s")
        violations += site.violated_guarantees()
        violations += _wrongly_refused(site)
        violations += visits.violations()
        violations += kept.violations(soak.planned_stops)
        for proxy in site.proxies:
            proxy.close()
    history = soak.history + visits.history
    (folder / "history").write_text("\n".join(history))
    counts = site.callers.counts() + kept.counts()
    (folder / "counts").write_text(str(counts))
    (folder / "violations").write_text("\n".join(violations))
    (folder / "stalls").write_text("\n".join(map(str, site.stalls.stalls)))
    return sorted(set(violations))


def _wrongly_refused(site: gateways.Site) -> list[str]:
    """Returns ordinary requests that were refused as crashing servers."""
    return [
        f"{outcome.attempt} refused as crashing servers"
        for outcome in site.callers.outcomes
        if b"crashes-upstreams" in outcome.body and not outcome.is_crashing
    ]


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=_seeds, default=range(1, 6))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=_VMS, help="processes")
    parser.add_argument("--planned", action="store_true", help="stops only")
    parser.add_argument("--folder", type=pathlib.Path)
    args = parser.parse_args()
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in args.seeds:
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(
            run_seed(
                seed,
                args.seconds,
                seed_folder,
                vms=args.vms,
                is_planned=args.planned,
            )
        )
        counts = (seed_folder / "counts").read_text()
        print(f"seed {seed}: {'FAILED' if violations else 'ok'} {counts}")
        for line in violations[:5]:
            print(f"  {line}")
        failed += bool(violations)
    print(f"{len(args.seeds)} seeds, {failed} failed; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
