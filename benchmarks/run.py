"""One run: a fleet, a load, a disturbance in between, and the report."""

import pathlib
import signal
import sys
import time

import msgspec

from benchmarks import evidence
from benchmarks import fleet as fleet_lib
from benchmarks import load
from benchmarks import measures
from benchmarks import members
from benchmarks import processes
from swiftstile import clocks
from swiftstile.provider import base
from swiftstile.routing import outcomes

__all__ = ["LoadProcess", "Run"]

_IDLE_S = 3.0
# After the load: requests at their deadline, and leases that lapse.
_LOAD_GRACE_S = 25.0


class LoadProcess:
    """Callers in a process of their own."""

    def __init__(self, plan: load.Plan, folder: pathlib.Path, name: str):
        self.plan = plan
        self._path = pathlib.Path(plan.records)
        plan_file = folder / f"{name}.plan"
        plan_file.write_bytes(msgspec.json.encode(plan))
        self._process = processes.Process(
            name, "benchmarks.load", [str(plan_file)], folder
        )
        self._process.start()

    def records(self) -> list[load.Record]:
        """Waits for the end and returns the records.

        Raises:
            RuntimeError: The process failed.
        """
        status = self._process.wait(self.plan.seconds + _LOAD_GRACE_S)
        if status != 0:
            self._process.kill()
            raise RuntimeError(f"load failed: {self._process.log_tail()}")
        return load.read_records(self._path)

    def kill(self) -> None:
        """Ends the process."""
        self._process.kill()


class Run:
    """What a scenario works with.

    Attributes:
        fleet: All processes.
        seconds: How long the load lasts.
        extra: Figures of the scenario's own, for the report.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        folder: pathlib.Path,
        seed: int,
        seconds: float,
        rate: float,
    ):
        self.fleet = fleet
        self.seconds = seconds
        self.extra: dict[str, object] = {}
        self.seed = seed
        self._folder = folder
        self._rate = rate
        self._unable: dict[str, list[tuple[float, float]]] = {}
        self._loads = 0

    def say(self, text: str) -> None:
        """Shows progress on standard error."""
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr)

    def plan(self, **changes) -> load.Plan:
        """Returns the organisation's mixed load."""
        self._loads += 1
        services = [
            load.ServicePlan(s.name, s.share, s.keyed, s.protected_share)
            for s in self.fleet.organisation.services
        ]
        plan = load.Plan(
            self.fleet.organisation.name,
            services,
            [vm.router_port for vm in self.fleet.vms.values()],
            self.seconds,
            self._rate,
            self.seed * 1000 + self._loads,
            str(self._folder / f"load-{self._loads}.records"),
        )
        return msgspec.structs.replace(plan, **changes)

    def direct_plan(self, **changes) -> load.Plan:
        """Returns the same load, sent straight to the servers."""
        plan = self.plan(**changes)
        for service in plan.services:
            service.direct_ports = [
                server.port
                for server in self.fleet.servers.values()
                if server.service.name == service.name
            ]
        return plan

    def start_load(self, plan: load.Plan) -> LoadProcess:
        """Starts callers."""
        return LoadProcess(plan, self._folder, f"load-{self._loads}")

    def kill_server(self, server: members.Server) -> None:
        """Kills a server and notes when."""
        self.say(f"kill {server.name}")
        server.process.kill()
        # Nothing listens there any more: connections are refused.
        self.fleet.fault(f"*:{server.name}", "reset")
        self.note_unable(server, clocks.monotonic(), float("inf"))

    def kill_domain(self, domain: str) -> None:
        """Kills every process of a failure domain."""
        self.say(f"kill failure domain {domain}")
        for vm in self.fleet.vms.values():
            if vm.domain == domain:
                self.kill_vm(vm)
        for server in self.fleet.servers.values():
            if server.domain == domain:
                self.kill_server(server)

    def kill_vm(self, vm: members.EntryVm) -> None:
        """Kills router and coordinator of an entry VM."""
        vm.router.kill()
        self.kill_coordinator(vm)

    def kill_coordinator(self, vm: members.EntryVm) -> None:
        """Kills the coordinator of an entry VM."""
        self.say(f"kill coordinator of {vm.name}")
        vm.coordinator.kill()
        self.fleet.fault(f"*:{vm.name}", "reset")

    def freeze_coordinator(self, vm: members.EntryVm, seconds: float) -> None:
        """Stops a coordinator for a time, as if its machine were paused."""
        self.say(f"freeze coordinator of {vm.name} for {seconds} s")
        vm.coordinator.send(signal.SIGSTOP)
        time.sleep(seconds)
        vm.coordinator.send(signal.SIGCONT)

    def freeze_server(self, server: members.Server, seconds: float) -> None:
        """Stops a server for a time, as if its machine were paused."""
        self.say(f"freeze {server.name} for {seconds} s")
        begin = clocks.monotonic()
        server.process.send(signal.SIGSTOP)
        time.sleep(seconds)
        server.process.send(signal.SIGCONT)
        self.note_unable(server, begin, clocks.monotonic())

    def cut(self, pattern: str, seconds: float) -> None:
        """Drops everything on the links that match, for a time."""
        self.say(f"cut {pattern} for {seconds} s")
        self.fleet.fault(pattern, "blackhole")
        time.sleep(seconds)
        self.fleet.fault(pattern, "none")
        self.say(f"restored {pattern}")

    def cut_domain(self, domain: str, seconds: float) -> None:
        """Cuts a failure domain off from the others and the platform."""
        outward, inward = f"{domain}>[!{domain}]:*", f"[!{domain}]>{domain}:*"
        self.fleet.fault(inward, "blackhole")
        self.cut(outward, seconds)
        self.fleet.fault(inward, "none")

    def disturb_platform(self, seconds: float, **faults) -> None:
        """Makes the platform misbehave for a time."""
        self.say(f"platform {faults} for {seconds} s")
        self.fleet.platform.faults(**faults)
        time.sleep(seconds)
        self.fleet.platform.faults()
        self.say("platform well again")

    def replace_server(self, old: members.Server, name: str) -> float:
        """Starts a new server, and lets an old one leave.

        Returns:
            Seconds from the notice until the old one owned nothing.
        """
        self.say(f"replace {old.name} by {name}")
        self.fleet.add_server(old.service, old.domain, name)
        old.state = base.VmState.LEAVING
        self.fleet.publish_vms()
        begin = clocks.monotonic()
        processes.wait_until(
            lambda: not self.fleet.assignments()[-1].owned_by(old.name),
            20,
            f"{old.name} owns nothing",
        )
        taken = clocks.monotonic() - begin
        old.process.send(signal.SIGTERM)
        old.process.wait(5)
        self.fleet.remove_server(old)
        return taken

    def note_unable(
        self, server: members.Server, begin: float, end: float
    ) -> None:
        """Notes that a server couldn't serve from `begin` to `end`."""
        self._unable.setdefault(server.name, []).append((begin, end))

    def idle_use(self) -> measures.ControlUse:
        """Returns what control costs while there is no load."""
        before = measures.sample(self.fleet)
        begin = clocks.monotonic()
        time.sleep(_IDLE_S)
        after = measures.sample(self.fleet)
        return measures.control_use(
            self.fleet, before, after, clocks.monotonic() - begin
        )

    def report(
        self,
        scenario: str,
        records: list[load.Record],
        direct: list[load.Record],
        use: measures.ControlUse | None,
        window: tuple[float, float],
        store: tuple[dict[str, int], dict[str, int]],
        sends: float | None,
    ) -> measures.Report:
        """Computes the report from records and journals."""
        journals = self.fleet.journals()
        verdict = evidence.judge(records, journals)
        positions = measures.key_positions(self.fleet, records)
        outcome = [record.outcome for record in records]
        source, unavailable = self._unavailable(
            records, journals, positions, window
        )
        seconds = window[1] - window[0]
        return measures.Report(
            scenario=scenario,
            organisation=self.fleet.organisation.name,
            seed=self.seed,
            requests=len(records),
            answered=outcome.count(outcomes.Outcome.ANSWERED.value),
            refused_not_run=outcome.count(outcomes.Outcome.NOT_RUN.value),
            unknown=len(records)
            - outcome.count(outcomes.Outcome.ANSWERED.value)
            - outcome.count(outcomes.Outcome.NOT_RUN.value),
            **msgspec.structs.asdict(verdict),
            latency_ms=measures.percentiles(measures.latencies(records), 1000),
            direct_latency_ms=measures.percentiles(
                measures.latencies_of_all(direct), 1000
            ),
            imbalance=measures.imbalance(self.fleet, journals),
            churn_keys=measures.churn_keys(
                self.fleet.assignments(), list(positions.values())
            ),
            unavailable_s=unavailable,
            unavailable_by=source,
            control_bytes_per_s=use.bytes_per_s if use else None,
            control_cpu_percent=use.cpu_percent if use else None,
            memory_mb=use.memory_mb if use else None,
            store_writes_per_s=_rate(store, "writes", seconds),
            store_reads_per_s=_rate(store, "reads", seconds),
            sends_per_request=sends,
            extra=self.extra,
        )

    def _unavailable(self, records, journals, positions, window):
        """Time without an able owner, of the keys that were without one."""
        if not self.fleet.organisation.checks_fence:
            first = self.fleet.assignments()[0]
            waits = measures.waits_by_key(records, positions, first)
            return "callers", measures.percentiles(waits or [0.0])
        gaps = evidence.gaps_by_position(
            evidence.intervals(journals),
            list(positions.values()),
            *window,
            self._unable,
        )
        affected = [gap for gap in gaps if gap > 0]
        return "grants", measures.percentiles(affected or [0.0])

    def sends_per_request(self, requests: int) -> float | None:
        """Returns attempts at servers for each request so far."""
        sends = 0.0
        for vm in self.fleet.vms.values():
            state = self.fleet.status(vm.router_metrics)
            if state is None:
                return None
            sends += sum(state["meters"]["sends"].values())
        return round(sends / requests, 3) if requests else None


def _rate(store, name: str, seconds: float) -> float:
    return round((store[1][name] - store[0][name]) / seconds, 1)
