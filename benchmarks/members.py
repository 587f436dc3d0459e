"""Entry VMs and upstream servers of a run."""

import pathlib

from benchmarks import organisations
from benchmarks import processes
from swiftstile.provider import base

__all__ = ["SETTINGS", "EntryVm", "Server"]

SETTINGS = """[vm]
id = {vm}
failure_domain = {domain}
organisations = {organisation}

[platform]
table_url = http://127.0.0.1:{platform}
objects_url = http://127.0.0.1:{platform}
vms_url = http://127.0.0.1:{platform}/view/{view}
timeout_s = 2
poll_interval_s = 1

[router]
listen = 127.0.0.1:{router}
metrics = 127.0.0.1:{router_metrics}

[coordinator]
listen = 127.0.0.1:{coordinator}
metrics = 127.0.0.1:{coordinator_metrics}
"""


class EntryVm:
    """An entry VM: a router and a coordinator."""

    def __init__(self, name: str, domain: str, ports: list[int]):
        self.name = name
        self.domain = domain
        self.router_port, self.router_metrics = ports[0], ports[1]
        self.coordinator_port, self.coordinator_metrics = ports[2], ports[3]
        self.router: processes.Process | None = None
        self.coordinator: processes.Process | None = None
        self.state = base.VmState.LIVE


class Server:
    """An upstream VM with one server."""

    def __init__(self, name, domain, service, port, journal):
        self.name = name
        self.domain = domain
        self.service: organisations.Service = service
        self.port = port
        self.journal: pathlib.Path = journal
        self.process: processes.Process | None = None
        self.state: base.VmState | None = base.VmState.LIVE
