"""One run: a fleet, a load, the faults of a scenario, and the report."""

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
# Time for the load process to exit: requests reach their deadline and leases
# expire.
_LOAD_GRACE_S = 25.0


class LoadProcess:
    """The load generator as a separate process."""

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
        """Waits until the load has ended and returns the records.

        Raises:
            RuntimeError: The process failed.
        """
        status = self._process.wait(self.plan.seconds + _LOAD_GRACE_S)
        if status != 0:
            self._process.kill()
            raise RuntimeError(
                f"load process failed: {self._process.log_tail()}"
            )
        return load.read_records(self._path)

    def kill(self) -> None:
        """Kills the process."""
        self._process.kill()


class Run:
    """State and fault operations of one run, used by scenarios.

    Attributes:
        fleet: The processes.
        seconds: Duration of the load.
        extra: Additional metrics of the scenario, for the report.
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
        self._unavailable_spans: dict[str, list[tuple[float, float]]] = {}
        self._loads = 0

    def log_progress(self, text: str) -> None:
        """Prints progress to standard error."""
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
        """Returns the mixed load, sent directly to the servers."""
        plan = self.plan(**changes)
        for service in plan.services:
            service.direct_ports = [
                server.port
                for server in self.fleet.servers.values()
                if server.service.name == service.name
            ]
        return plan

    def start_load(self, plan: load.Plan) -> LoadProcess:
        """Starts a load process."""
        return LoadProcess(plan, self._folder, f"load-{self._loads}")

    def kill_server(self, server: members.Server) -> None:
        """Kills a server and records the time."""
        self.log_progress(f"kill {server.name}")
        server.process.kill()
        # The proxy still listens: it has to refuse connections for the server.
        self.fleet.fault(f"*:{server.name}", "reset")
        self.record_unavailable(server, clocks.monotonic(), float("inf"))

    def kill_domain(self, domain: str) -> None:
        """Kills every process of a failure domain."""
        self.log_progress(f"kill failure domain {domain}")
        for vm in self.fleet.vms.values():
            if vm.domain == domain:
                self.kill_vm(vm)
        for server in self.fleet.servers.values():
            if server.domain == domain:
                self.kill_server(server)

    def kill_vm(self, vm: members.EntryVm) -> None:
        """Kills the router and the coordinator of an entry VM."""
        vm.router.kill()
        self.kill_coordinator(vm)

    def kill_coordinator(self, vm: members.EntryVm) -> None:
        """Kills the coordinator of an entry VM."""
        self.log_progress(f"kill coordinator of {vm.name}")
        vm.coordinator.kill()
        self.fleet.fault(f"*:{vm.name}", "reset")

    def pause_coordinator(self, vm: members.EntryVm, seconds: float) -> None:
        """Pauses a coordinator for a time, as if its VM were paused."""
        self.log_progress(f"pause coordinator of {vm.name} for {seconds} s")
        vm.coordinator.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        vm.coordinator.send_signal(signal.SIGCONT)

    def pause_server(self, server: members.Server, seconds: float) -> None:
        """Pauses a server for a time, as if its VM were paused."""
        self.log_progress(f"pause {server.name} for {seconds} s")
        begin = clocks.monotonic()
        server.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        server.process.send_signal(signal.SIGCONT)
        self.record_unavailable(server, begin, clocks.monotonic())

    def drop_traffic(self, pattern: str, seconds: float) -> None:
        """Drops all data on the matching links for a time."""
        self.log_progress(f"drop data on {pattern} for {seconds} s")
        self.fleet.fault(pattern, "blackhole")
        time.sleep(seconds)
        self.fleet.fault(pattern, "none")
        self.log_progress(f"restored {pattern}")

    def isolate_domain(self, domain: str, seconds: float) -> None:
        """Isolates a failure domain from the others and the platform."""
        outward, inward = f"{domain}>[!{domain}]:*", f"[!{domain}]>{domain}:*"
        self.fleet.fault(inward, "blackhole")
        self.drop_traffic(outward, seconds)
        self.fleet.fault(inward, "none")

    def inject_platform_faults(self, seconds: float, **faults) -> None:
        """Injects platform faults for a time."""
        self.log_progress(f"platform faults {faults} for {seconds} s")
        self.fleet.platform.faults(**faults)
        time.sleep(seconds)
        self.fleet.platform.faults()
        self.log_progress("platform faults cleared")

    def replace_server(self, old: members.Server, name: str) -> float:
        """Starts a new server and retires an old one.

        Returns:
            Seconds from the notice until the old server owned no slice.
        """
        self.log_progress(f"replace {old.name} by {name}")
        self.fleet.add_server(old.service, old.domain, name)
        old.state = base.VmState.LEAVING
        self.fleet.publish_vms()
        begin = clocks.monotonic()
        processes.wait_until(
            lambda: not self.fleet.assignments()[-1].owned_by(old.name),
            20,
            f"{old.name} owns no slices",
        )
        duration_s = clocks.monotonic() - begin
        old.process.send_signal(signal.SIGTERM)
        old.process.wait(5)
        self.fleet.remove_server(old)
        return duration_s

    def record_unavailable(
        self, server: members.Server, begin: float, end: float
    ) -> None:
        """Records that a server was unavailable from `begin` to `end`."""
        self._unavailable_spans.setdefault(server.name, []).append((begin, end))

    def measure_idle_control(self) -> measures.ControlUse:
        """Measures the control overhead without load."""
        before = measures.sample_control(self.fleet)
        begin = clocks.monotonic()
        time.sleep(_IDLE_S)
        after = measures.sample_control(self.fleet)
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
        violations = evidence.find_violations(records, journals)
        positions = measures.key_positions(self.fleet, records)
        outcome = [record.outcome for record in records]
        source, unavailable = self._unavailable_percentiles(
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
            **msgspec.structs.asdict(violations),
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

    def _unavailable_percentiles(self, records, journals, positions, window):
        """Returns the source and the percentiles of keys' unavailable time.

        Only affected keys are counted.
        """
        if not self.fleet.organisation.checks_fence:
            first = self.fleet.assignments()[0]
            waits = measures.waits_by_key(records, positions, first)
            return "callers", measures.percentiles(waits or [0.0])
        gaps = evidence.gaps_by_position(
            evidence.intervals(journals),
            list(positions.values()),
            *window,
            self._unavailable_spans,
        )
        affected = [gap for gap in gaps if gap > 0]
        return "grants", measures.percentiles(affected or [0.0])

    def sends_per_request(self, requests: int) -> float | None:
        """Returns the mean number of sends to servers per request."""
        sends = 0.0
        for vm in self.fleet.vms.values():
            state = self.fleet.status(vm.router_metrics)
            if state is None:
                return None
            sends += sum(state["meters"]["sends"].values())
        return round(sends / requests, 3) if requests else None


def _rate(store, name: str, seconds: float) -> float:
    return round((store[1][name] - store[0][name]) / seconds, 1)
