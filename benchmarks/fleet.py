"""Processes of one organisation on loopback, behind the fault proxy."""

import contextlib
import json
import pathlib
import signal
import urllib.error
import urllib.request

import msgspec

from benchmarks import members
from benchmarks import organisations
from benchmarks import platform_control
from benchmarks import processes
from standins import fault_proxy
from standins import journal
from swiftstile import ids
from swiftstile.ownership import slices
from swiftstile.provider import base

__all__ = ["Fleet"]

_READY_S = 40.0


class Fleet:
    """Starts and stops the processes of a run, and injects faults.

    Attributes:
        vms: Entry VMs, by name.
        servers: Upstream servers, by name.
        platform: Control of the platform stand-in.
    """

    def __init__(
        self,
        organisation: organisations.Organisation,
        folder: pathlib.Path,
        seed: int,
        service_ms: float = 2.0,
        server_options: dict[str, list[str]] | None = None,
        module: str = "swiftstile",
    ):
        """Creates the members and allocates ports; starts no process.

        Args:
            organisation: The organisation, with its numbers of members.
            folder: Folder for settings, journals and logs.
            seed: Seed of the stand-ins' random choices.
            service_ms: Service time of a request, in milliseconds.
            server_options: Additional arguments of a server, by its name.
            module: Python module that runs the daemons. Tests pass a module
                with a known fault to check that the fault is detected.
        """
        self.organisation = organisation
        self.vms: dict[str, members.EntryVm] = {}
        self.servers: dict[str, members.Server] = {}
        self._folder = folder
        self._seed = seed
        self._service_ms = service_ms
        self._server_options = server_options or {}
        self._module = module
        self._platform_port, *self._proxy_ports = processes.free_ports(
            1 + len(organisations.DOMAINS)
        )
        self.platform = platform_control.PlatformControl(self._platform_port)
        self._platform: processes.Process | None = None
        self._proxies: list[processes.Process] = []
        # Port by (domain of the caller, name of the target).
        self._links: dict[tuple[str, str], int] = {}
        self._create_members()

    def _create_members(self) -> None:
        domains = organisations.DOMAINS
        for index in range(self.organisation.vms_per_domain * len(domains)):
            domain = domains[index % len(domains)]
            name = f"vm-{domain}{index // len(domains) + 1}"
            self.vms[name] = members.EntryVm(
                name, domain, processes.free_ports(4)
            )
        for service in self.organisation.services:
            ports = processes.free_ports(service.servers)
            for index, port in enumerate(ports):
                name = f"{service.name}-{index + 1:02d}"
                domain = domains[index % len(domains)]
                journal = self._folder / f"{name}.journal"
                self.servers[name] = members.Server(
                    name, domain, service, port, journal
                )

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc) -> None:
        self.stop()

    def start(self) -> None:
        """Starts all processes, rolls out the bundle and waits until ready."""
        self._start_standins()
        self._add_links()
        self.publish_vms()
        for vm in self.vms.values():
            self._start_vm(vm)
        self._roll_bundle()
        try:
            processes.wait_until(self.is_ready, _READY_S, "fleet ready", 0.2)
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.logs_of_exited()}") from error

    def logs_of_exited(self) -> str:
        """Returns the last log lines of each process that has exited."""
        return "\n".join(
            f"{process.name}:\n{process.log_tail()}"
            for process in self.all_processes()
            if not process.is_running()
        )

    def stop(self) -> None:
        """Kills all processes."""
        for process in self.all_processes():
            process.send_signal(signal.SIGKILL)
        for process in self.all_processes():
            process.wait(10)

    def all_processes(self) -> list[processes.Process]:
        """Returns all processes that were started."""
        found = [self._platform, *self._proxies]
        found += [server.process for server in self.servers.values()]
        for vm in self.vms.values():
            found += [vm.router, vm.coordinator]
        return [process for process in found if process is not None]

    def _process(self, name, module, args) -> processes.Process:
        process = processes.Process(name, module, args, self._folder)
        process.start()
        return process

    def _start_standins(self) -> None:
        port = str(self._platform_port)
        args = ["--port", port, "--seed", str(self._seed)]
        self._platform = self._process("platform", "standins.platform", args)
        for domain, number in zip(
            organisations.DOMAINS, self._proxy_ports, strict=True
        ):
            self._proxies.append(
                self._process(
                    f"proxy-{domain}",
                    "standins.fault_proxy",
                    ["--port", str(number)],
                )
            )
        for server in self.servers.values():
            self.start_server(server)
        for number in [self._platform_port, *self._proxy_ports]:
            processes.wait_until(
                lambda port=number: _is_responding(port), _READY_S, "stand-ins"
            )

    def start_server(self, server: members.Server) -> None:
        """Starts an upstream server."""
        args = [
            *("--port", str(server.port)),
            *("--journal", str(server.journal)),
            *("--organisation", self.organisation.name),
            *("--service", server.service.name),
            *("--service-ms", str(self._service_ms)),
        ]
        if server.service.keyed and self.organisation.checks_fence:
            args.append("--fenced")
        args += self._server_options.get(server.name, [])
        server.process = self._process(server.name, "standins.upstream", args)

    def _add_links(self) -> None:
        targets = {"platform": self._platform_port}
        targets |= {s.name: s.port for s in self.servers.values()}
        targets |= {v.name: v.coordinator_port for v in self.vms.values()}
        self._add_links_to(targets)

    def _add_links_to(self, targets: dict[str, int]) -> None:
        """Adds a proxy link from each failure domain to each target."""
        for domain, control in zip(
            organisations.DOMAINS, self._proxy_ports, strict=True
        ):
            ports = processes.free_ports(len(targets))
            links = []
            for (name, target), port in zip(
                targets.items(), ports, strict=True
            ):
                link_name = f"{domain}>{self.domain_of(name)}:{name}"
                links.append(fault_proxy.Link(link_name, port, target))
                self._links[domain, name] = port
            processes.post(
                f"http://127.0.0.1:{control}/links", msgspec.json.encode(links)
            )

    def add_server(self, service, domain: str, name: str) -> members.Server:
        """Starts another server and adds it to the VM list."""
        (port,) = processes.free_ports(1)
        journal_file = self._folder / f"{name}.journal"
        server = members.Server(name, domain, service, port, journal_file)
        self.servers[name] = server
        self.start_server(server)
        processes.wait_until(lambda: _is_responding(port), _READY_S, name)
        self._add_links_to({name: port})
        self.publish_vms()
        return server

    def remove_server(self, server: members.Server) -> None:
        """Removes a server from the VM list but keeps its journal."""
        server.state = None
        self.publish_vms()

    def domain_of(self, name: str) -> str:
        """Returns the failure domain of a VM or server; `-` for neither."""
        found = self.vms.get(name) or self.servers.get(name)
        return found.domain if found else "-"

    def publish_vms(self) -> None:
        """Publishes the current VM list to each failure domain."""
        for domain in organisations.DOMAINS:
            self._publish_view(domain)

    def _publish_view(self, domain: str) -> None:
        listed = [self._listed_entry_vm(vm, domain) for vm in self.vms.values()]
        listed += [
            self._listed_server(server, domain)
            for server in self.servers.values()
            if server.state is not None
        ]
        self.platform.put_vm_list(domain, msgspec.json.encode(listed))

    def bypass_proxy(self, vm: members.EntryVm) -> None:
        """Restarts a VM's router with the addresses behind the proxy."""
        real = {v.name: v.coordinator_port for v in self.vms.values()}
        real |= {s.name: s.port for s in self.servers.values()}
        for name, port in real.items():
            self._links["direct", name] = port
        self._links["direct", "platform"] = self._platform_port
        self._publish_view("direct")
        vm.router.kill()
        vm.router = self._daemon(vm, "router", "direct")
        processes.wait_until(self.is_ready, _READY_S, "router ready", 0.2)

    def _listed_entry_vm(self, vm: members.EntryVm, viewer: str) -> base.Vm:
        return base.Vm(
            ids.VmId(vm.name),
            base.VmKind.ENTRY,
            ids.FailureDomain(vm.domain),
            vm.state,
            control_address=f"127.0.0.1:{self._links[viewer, vm.name]}",
            data_address=f"127.0.0.1:{vm.router_port}",
            organisations=(ids.OrganisationId(self.organisation.name),),
        )

    def _listed_server(self, server: members.Server, viewer: str) -> base.Vm:
        return base.Vm(
            ids.VmId(server.name),
            base.VmKind.UPSTREAM,
            ids.FailureDomain(server.domain),
            server.state,
            data_address=f"127.0.0.1:{self._links[viewer, server.name]}",
            group=f"{self.organisation.name}-{server.service.name}",
        )

    def settings_file(
        self, vm: members.EntryVm, view: str = ""
    ) -> pathlib.Path:
        """Writes the settings of an entry VM and returns the file.

        Args:
            vm: The VM.
            view: View whose VM list and links are used; defaults to the
                VM's failure domain.
        """
        view = view or vm.domain
        path = self._folder / f"{vm.name}.ini"
        # Replaced as a whole: a daemon that starts may be reading it.
        written = path.with_suffix(".new")
        written.write_text(
            members.SETTINGS.format(
                vm=vm.name,
                domain=vm.domain,
                view=view,
                organisation=self.organisation.name,
                platform=self._links[view, "platform"],
                router=vm.router_port,
                router_metrics=vm.router_metrics,
                coordinator=vm.coordinator_port,
                coordinator_metrics=vm.coordinator_metrics,
            )
        )
        written.replace(path)
        return path

    def _start_vm(self, vm: members.EntryVm) -> None:
        self.start_coordinator(vm)
        self.start_router(vm)

    def start_router(self, vm: members.EntryVm) -> None:
        """Starts the router of an entry VM."""
        vm.router = self._daemon(vm, "router")

    def start_coordinator(self, vm: members.EntryVm) -> None:
        """Starts the coordinator of an entry VM."""
        vm.coordinator = self._daemon(vm, "coordinator")

    def _daemon(self, vm, role, view="") -> processes.Process:
        path = self.settings_file(vm, view)
        args = [role, "--settings", str(path)]
        return self._process(f"{vm.name}-{role}", self._module, args)

    def run_cli(self, *args: str) -> dict:
        """Runs a `swiftstile` command and returns its JSON output."""
        settings = self.settings_file(next(iter(self.vms.values())))
        arguments = [*args, "--settings", str(settings), "--json"]
        process = processes.Process(
            "cli", "swiftstile", arguments, self._folder
        )
        log = self._folder / "cli.log"
        log.unlink(missing_ok=True)
        process.start()
        status = process.wait(30)
        if status != 0:
            raise RuntimeError(
                f"{args} exited with {status}: {log.read_text()}"
            )
        return json.loads(log.read_text())

    def _roll_bundle(self) -> None:
        path = self._folder / "bundle.ini"
        path.write_text(self.organisation.bundle())
        approved = self.run_cli("bundle", "approve", str(path))
        version = str(approved["version"])
        self.run_cli("bundle", "roll", self.organisation.name, version)

    def status(self, port: int) -> dict | None:
        """Returns a daemon's status from its metrics port; None on failure."""
        with contextlib.suppress(urllib.error.URLError, OSError, ValueError):
            url = f"http://127.0.0.1:{port}/status"
            with urllib.request.urlopen(url, timeout=2) as response:
                return json.load(response)
        return None

    def is_ready(self) -> bool:
        """Returns whether all routers know all services and assignments."""
        keyed = {
            f"{self.organisation.name}/{service.name}"
            for service in self.organisation.services
            if service.keyed
        }
        for vm in self.vms.values():
            state = self.status(vm.router_metrics)
            if not state or len(state["services"]) != len(
                self.organisation.services
            ):
                return False
            if not all(
                state["services"][name]["assignment_version"] for name in keyed
            ):
                return False
        return True

    def holder(self, service: str) -> members.EntryVm | None:
        """Returns the VM that coordinates a service."""
        name = f"{self.organisation.name}/{service}"
        for vm in self.vms.values():
            if vm.coordinator is None or not vm.coordinator.is_running():
                continue
            state = self.status(vm.coordinator_metrics)
            if state and state["services"].get(name, {}).get("holding"):
                return vm
        return None

    def keyed_holder(self) -> members.EntryVm:
        """Waits for and returns the coordinating VM of the keyed service."""
        service = self.keyed_service().name
        return processes.wait_until(
            lambda: self.holder(service), _READY_S, "a coordinator"
        )

    def keyed_service(self) -> organisations.Service:
        """Returns the keyed service."""
        services = self.organisation.services
        return next(service for service in services if service.keyed)

    def keyed_servers(self) -> list[members.Server]:
        """Returns the servers of the keyed service."""
        return [s for s in self.servers.values() if s.service.keyed]

    def fault(self, pattern: str, kind: str, delay_s: float = 0.0) -> None:
        """Sets a fault on all links matching a pattern like `a>b:server-*`."""
        fault = fault_proxy.Fault(pattern, fault_proxy.FaultKind(kind), delay_s)
        for control in self._proxy_ports:
            processes.post(
                f"http://127.0.0.1:{control}/faults", msgspec.json.encode(fault)
            )

    def assignments(self) -> list[slices.Assignment]:
        """Returns all versions of the keyed service's assignment."""
        service = f"{self.organisation.name}/{self.keyed_service().name}"
        return self.platform.assignments(service)

    def journals(self) -> dict[str, list[journal.Entry]]:
        """Returns the journal of each server, by server name."""
        return {
            name: journal.read(server.journal)
            for name, server in self.servers.items()
            if server.journal.exists()
        }


def _is_responding(port: int) -> bool:
    try:
        urllib.request.urlopen(f"http://127.0.0.1:{port}/", timeout=1).close()
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True
