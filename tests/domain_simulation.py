"""Simulates the reports of one failure domain, without a network or a clock.

Each VM is a `gossip.Peers` whose datagrams reach the others at once. VMs can be
stopped, and the path between two of them cut.
"""

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import reports
from tests import gateway_builders as builders

__all__ = ["DomainSimulation"]

TICK_S = 0.05
_READERS = 2


class _Wire:
    """Replaces a VM's socket."""

    def __init__(self, simulation: "DomainSimulation", number: int):
        self._simulation = simulation
        self._number = number

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._simulation.deliver(self._number, address[1], data)


class _Vm:
    """One VM, and counts of what it received."""

    def __init__(self, simulation: "DomainSimulation", number: int):
        self.row = builders.node_row(
            f"vm-{number:03d}",
            run=f"{number:08x}",
            domain=ids.FailureDomain("z1"),
            address=f"127.0.0.1:{number}",
            link_mbps=1000.0 - number,
        )
        self.peers = gossip.Peers(self.row, lambda peer, now: None)
        self.peers._transport = _Wire(simulation, number)
        self.is_down = False
        self.datagrams = self.bytes = self.wakeups = 0
        self._woken_at = -1.0

    def receive(self, data: bytes, now: float) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        self.wakeups += now != self._woken_at
        self._woken_at = now
        self.peers._receive(data, ("127.0.0.1", 1))


class DomainSimulation:
    """A failure domain whose VMs exchange reports.

    Attributes:
        vms: All VMs; the first two are the readers.
        now: The time, on the monotonic clock.
        cut: Pairs of VMs, sender and receiver, between which datagrams are
            lost.
        leader_holds: How long the leader's grants may still hold slots.
    """

    def __init__(self, count: int, monkeypatch, leader: int | None = None):
        self.now = 100.0
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)
        self.vms = [_Vm(self, number) for number in range(count)]
        self.cut: set[tuple[int, int]] = set()
        self._leader = leader
        self.leader_holds: dict = {}
        for vm in self.vms:
            for other in self.vms:
                vm.peers.apply(other.row, other.row.node, self.now)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        vm = self.vms[receiver]
        if not vm.is_down and (sender, receiver) not in self.cut:
            vm.receive(data, self.now)

    def run(self, seconds: float) -> None:
        """Simulates a span of time."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for number, vm in enumerate(self.vms):
                if not vm.is_down:
                    self._tick(number, vm)

    def _tick(self, number: int, vm: _Vm) -> None:
        peers = vm.peers
        peers.detect_stall(self.now)
        is_whole = peers._is_full_report_due(self.now)
        peers._send(self._report(number, vm), is_whole)

    def _report(self, number: int, vm: _Vm) -> reports.Report:
        alive = [n for n, one in enumerate(self.vms) if not one.is_down]
        return builders.report(
            vm.row,
            vm.peers.next_sequence(),
            is_leader=number == self._leader,
            leader_version=7,
            is_reader=number in alive[:_READERS],
            holds=self.leader_holds if number == self._leader else {},
        )

    def live_peers_of(self, number: int) -> int:
        """Returns how many peers a VM regards as live."""
        return len(self.vms[number].peers.live_peers(self.now))

    def reset_counts(self) -> None:
        """Resets the counts of received datagrams."""
        for vm in self.vms:
            vm.datagrams = vm.bytes = vm.wakeups = 0
