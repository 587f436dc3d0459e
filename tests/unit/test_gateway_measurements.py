"""Tests that measurements reach their audiences, however rare reports are."""

import pytest

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import key_load
from swiftstile.gateway import measurements
from swiftstile.gateway import reports
from swiftstile.gateway import speeds
from tests import gateway_builders as builders

_FAR = ids.FailureDomain("far")
_UPSTREAM = "u-1"


class _Network:
    """Records sent reports by port."""

    def __init__(self):
        self.by_address = {}

    def sendto(self, data, address):
        report = gossip.msgspec.msgpack.decode(data[2:], type=reports.Report)
        self.by_address.setdefault(address[1], []).append(report)


class _Vm:
    """A VM with measurements, and three VMs to which it reports."""

    NEAR, LEADER, OTHER = 7001, 7002, 7003

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)
        self.speed_table = speeds.SpeedTable()
        self.key_load_table = key_load.KeyLoadTable()
        self.peers = gossip.Peers(
            builders.node_row("vm-0"),
            lambda *_: None,
            measurements.MeasurementReporter(
                self.speed_table, self.key_load_table
            ),
        )
        self.network = self.peers._transport = _Network()
        self._add("vm-1", self.NEAR)
        self._add("vm-2", self.LEADER, domain=_FAR, is_leader=True)
        self._add("vm-3", self.OTHER, domain=_FAR)

    def _add(self, name, port, is_leader=False, **changes):
        row = builders.node_row(name, address=f"127.0.0.1:{port}", **changes)
        report = builders.report(row, is_leader=is_leader)
        self.peers.by_node[row.node] = builders.peer(row, report, 1e9)

    def run(self, for_s: float) -> None:
        """Adds measurements and sends a report at each tick."""
        end = self.now + for_s
        while self.now < end:
            self.now += gossip.NEAR_INTERVAL_S
            self.speed_table.add_sample(_UPSTREAM, 3.0, self.now)
            self.key_load_table.record_request(builders.LOOKUPS, 5, self.now)
            sequence = self.peers.next_sequence()
            busy = {_UPSTREAM: (sequence % 2, 0)}
            report = builders.report(self.peers.me, sequence, local=busy)
            self.peers._send(report)

    def count_with(self, port: int, what: str) -> int:
        """Returns how many reports with a kind of measurement were sent."""
        sent = self.network.by_address[port]
        return sum(bool(getattr(report, what)) for report in sent)


@pytest.mark.parametrize("port", [_Vm.NEAR, _Vm.LEADER])
def test_speeds_and_key_loads_are_sent_at_their_interval(monkeypatch, port):
    vm = _Vm(monkeypatch)
    vm.run(for_s=8.0)
    # The leader of another domain gets a report every 0.35 s, so an interval
    # of 0.8 s becomes 1.05 s there.
    assert 7 <= vm.count_with(port, "speeds") <= 11
    assert 20 <= vm.count_with(port, "key_load") <= 28


def test_other_vms_of_other_domains_get_no_measurements(monkeypatch):
    vm = _Vm(monkeypatch)
    vm.run(for_s=8.0)
    assert vm.count_with(vm.OTHER, "speeds") == 0
    assert vm.count_with(vm.OTHER, "key_load") == 0


def test_speeds_are_sent_less_often_with_many_vms():
    table = speeds.SpeedTable()
    reporter = measurements.MeasurementReporter(table, key_load.KeyLoadTable())
    report = builders.report(builders.node_row("vm-0"))
    last_sent = measurements.LastSent()
    count = 0
    for tick in range(600):
        now = 100.0 + tick * 0.1
        table.add_sample(_UPSTREAM, 1.0, now)
        count += bool(
            reporter.add_due(report, last_sent, vms=80, now=now).speeds
        )
    assert 24 <= count <= 26
