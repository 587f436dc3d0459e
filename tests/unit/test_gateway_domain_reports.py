"""In a large failure domain reports are batched by its readers."""

import msgspec
import pytest

from swiftstile.gateway import domain_reports
from swiftstile.gateway import reports
from tests import domain_simulation
from tests import gateway_builders as builders


def test_all_vms_know_each_other_though_reports_go_to_few(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch)
    simulation.run(3.0)
    for number in (0, 1, 2, 20, 39):
        assert simulation.live_peers_of(number) == 39


@pytest.mark.parametrize("count", [4, 12, 40, 144])
def test_wakeups_of_an_ordinary_vm_dont_grow_with_the_number_of_vms(
    count, monkeypatch
):
    simulation = domain_simulation.DomainSimulation(
        count, monkeypatch, leader=5
    )
    simulation.run(3.0)
    simulation.reset_counts()
    simulation.run(2.0)
    ordinary = simulation.vms[count - 1]
    # With reports from all others it would be woken at each tick, 20 times a
    # second.
    assert ordinary.datagrams / 2.0 <= 50
    assert simulation.live_peers_of(count - 1) == count - 1


def test_datagrams_grow_linearly_with_vms(monkeypatch):
    sent = {}
    for count in (20, 80):
        simulation = domain_simulation.DomainSimulation(count, monkeypatch)
        simulation.run(3.0)
        simulation.reset_counts()
        simulation.run(2.0)
        sent[count] = sum(vm.datagrams for vm in simulation.vms)
    assert sent[80] < 8 * sent[20]


def test_vms_stay_live_when_all_readers_fail(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch)
    simulation.run(3.0)
    for reader in simulation.vms[:2]:
        reader.is_down = True
    for _ in range(40):
        simulation.run(0.1)
        assert simulation.live_peers_of(39) >= 37
    assert simulation.live_peers_of(39) == 37


def test_a_vm_whose_reports_miss_the_readers_reports_to_all(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch)
    simulation.run(3.0)
    simulation.cut |= {(39, reader) for reader in range(3)}
    simulation.run(3.0)
    assert simulation.live_peers_of(38) == 39


def test_a_vm_that_receives_no_reader_reports_to_all(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch)
    simulation.run(3.0)
    simulation.cut |= {(reader, 39) for reader in range(2)}
    simulation.run(3.0)
    assert simulation.live_peers_of(38) == 39
    # It knew the others by the readers' batches; they report to readers only.
    assert simulation.live_peers_of(39) < 39


def test_a_forwarded_report_keeps_its_age(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch)
    simulation.run(3.0)
    last = simulation.vms[39]
    last.is_down = True
    failed_at = simulation.now
    simulation.run(0.9)
    known = simulation.vms[20].peers.by_node[last.row.node]
    assert known.received_at <= failed_at + 0.001


def test_the_leader_receives_reports_directly(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch, leader=30)
    simulation.run(3.0)
    leader = simulation.vms[30].peers
    assert all(
        peer.reported_directly(simulation.now, 0.5)
        for peer in leader.by_node.values()
    )


def test_a_leader_reports_directly_to_all(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch, leader=30)
    simulation.run(3.0)
    for number in (0, 20, 39):
        leader = simulation.vms[number].peers.by_node[
            simulation.vms[30].row.node
        ]
        assert leader.reported_directly(simulation.now, 0.5)


def test_a_malformed_batch_is_dropped(monkeypatch):
    simulation = domain_simulation.DomainSimulation(14, monkeypatch)
    simulation.run(1.0)
    receiver = simulation.vms[3]
    for data in (b"b\x93\x01", b"b" + msgspec.msgpack.encode([["x", 1]])):
        receiver.receive(data, simulation.now)
    counts = receiver.peers._meters.control_messages
    assert counts.get("report-dropped") == 2
    assert simulation.live_peers_of(3) == 13


def test_large_batches_are_split():
    made = domain_reports.DomainReports(None)
    for number in range(60):
        made.add_to_batch(f"run{number:05d}", 1, b"x" * 1000, now=10.0)
    batches = made.take_batches(now=10.2)
    assert len(batches) > 1
    assert all(len(batch) < 2 * domain_reports.BATCH_BYTES for batch in batches)
    entries = [entry for batch in batches for entry in made.entries(batch)]
    assert {entry.run for entry in entries} == {
        f"run{number:05d}" for number in range(60)
    }
    assert {entry.age_ms for entry in entries} == {200}
    assert made.take_batches(now=10.3) == []


def test_direct_reports_of_an_earlier_run_dont_count_for_a_new_one():
    row = builders.node_row("vm-1", run="aaaaaaaa")
    peer = reports.Peer(row, now=1.0)
    peer.record_direct_report(builders.report(row), 2.0)
    assert peer.reported_directly(2.1, 1.0)
    again = builders.node_row("vm-1", run="bbbbbbbb")
    peer.record_run(again, 2.2)
    peer.record_report(builders.report(again), 2.2)
    assert peer.is_live(2.3)
    assert not peer.reported_directly(2.3, 1.0)
