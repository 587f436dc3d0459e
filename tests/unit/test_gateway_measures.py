"""What VMs measured reaches those who need it, however seldom reports go."""

import pytest

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import heat
from swiftstile.gateway import measures
from swiftstile.gateway import reports
from swiftstile.gateway import speeds
from tests import gateway_builders as builders

_FAR = ids.FailureDomain("far")
_UPSTREAM = "u-1"


class _Network:
    """Keeps what is sent, by address."""

    def __init__(self):
        self.by_address = {}

    def sendto(self, data, address):
        report = gossip.msgspec.msgpack.decode(data[2:], type=reports.Report)
        self.by_address.setdefault(address[1], []).append(report)


class _Vm:
    """A VM that has measured, and three that it tells of it."""

    NEAR, LEADER, OTHER = 7001, 7002, 7003

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)
        self.speeds = speeds.SpeedBook()
        self.heat = heat.HeatBook()
        self.peers = gossip.Peers(
            builders.node_row("vm-0"),
            lambda *_: None,
            measures.Measures(self.speeds, self.heat),
        )
        self.network = self.peers._transport = _Network()
        self._add("vm-1", self.NEAR)
        self._add("vm-2", self.LEADER, domain=_FAR, is_leader=True)
        self._add("vm-3", self.OTHER, domain=_FAR)

    def _add(self, name, port, is_leader=False, **changes):
        row = builders.node_row(name, address=f"127.0.0.1:{port}", **changes)
        told = builders.report(row, is_leader=is_leader)
        self.peers.by_node[row.node] = builders.peer(row, told, 1e9)

    def play(self, for_s: float) -> None:
        """Answers and requests come all the time; a report at each tick."""
        end = self.now + for_s
        while self.now < end:
            self.now += gossip.NEAR_INTERVAL_S
            self.speeds.note(_UPSTREAM, 3.0, self.now)
            self.heat.note(builders.LOOKUPS, 5, self.now)
            sequence = self.peers.next_sequence()
            busy = {_UPSTREAM: (sequence % 2, 0)}
            report = builders.report(self.peers.me, sequence, local=busy)
            self.peers._send(report)

    def told(self, port: int, what: str) -> int:
        """Returns how many reports with measures of a sort were sent."""
        sent = self.network.by_address[port]
        return sum(bool(getattr(report, what)) for report in sent)


@pytest.mark.parametrize("port", [_Vm.NEAR, _Vm.LEADER])
def test_speeds_and_heat_come_at_their_pace(monkeypatch, port):
    vm = _Vm(monkeypatch)
    vm.play(for_s=8.0)
    # The leader of another domain gets a report each 0.35 s, so a pace of
    # 0.8 s becomes 1.05 s there.
    assert 7 <= vm.told(port, "speeds") <= 11
    assert 20 <= vm.told(port, "key_load") <= 28


def test_other_vms_of_other_domains_are_spared(monkeypatch):
    vm = _Vm(monkeypatch)
    vm.play(for_s=8.0)
    assert vm.told(vm.OTHER, "speeds") == 0
    assert vm.told(vm.OTHER, "key_load") == 0


def test_where_vms_are_many_speeds_are_told_less_often():
    book = speeds.SpeedBook()
    told = measures.Measures(book, heat.HeatBook())
    report = builders.report(builders.node_row("vm-0"))
    pace = measures.Pace()
    count = 0
    for tick in range(600):
        now = 100.0 + tick * 0.1
        book.note(_UPSTREAM, 1.0, now)
        count += bool(told.attach(report, pace, vms=80, now=now).speeds)
    assert 24 <= count <= 26
