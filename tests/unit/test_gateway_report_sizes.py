"""Reports of large deployments stay decodable, whatever they contain.

A VM with requests at many upstreams, or with renewals for many whose slots are
leaving, makes a report larger than the 8,192 bytes that peers used to read of a
datagram. They couldn't decode the truncated report, and the sender didn't
notice: it counted as failed while it served, its leadership, renewals and
counts expired, and keys had no owner. These tests failed before the fix. It
wasn't observed in a bench run; the largest deployment on the bench has 89 VMs
and 464 upstreams.
"""

import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports
from tests import domain_simulation
from tests import gateway_builders as builders

_VMS, _UPSTREAMS = 89, 464
# As long as names made of the service, the location and the run of an upstream.
_NAMES = [f"benchmark-svc-amman-{n:03d}-8f3a1c" for n in range(_UPSTREAMS)]
_HOLD = reports.Hold(4.5, 0.5)


class _Network:
    """Delivers datagrams to one VM.

    Attributes:
        sizes: Sizes of all datagrams that were sent.
    """

    def __init__(self, to: gossip.Peers):
        self.sizes = []
        self._to = to

    def sendto(self, data, address):
        self.sizes.append(len(data))
        if address == ("127.0.0.1", 7001):
            self._to._receive(data, ("127.0.0.1", 7000))


class _Vms:
    """A VM that reports, and one of its peers."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(clocks, "monotonic", lambda: 100.0)
        self.received: list[reports.Report] = []
        rows = [
            builders.node_row(f"vm-{n}", f"{n:08}", address=f"127.0.0.1:{n}")
            for n in range(7000, 7000 + _VMS)
        ]
        self.meters = metrics.Meters()
        self.sender = gossip.Peers(rows[0], lambda *_: None, None, self.meters)
        self.receiver = gossip.Peers(
            rows[1], lambda peer, _: self.received.append(peer.report)
        )
        for row in rows:
            for peers in (self.sender, self.receiver):
                peers.apply(row, row.node, 100.0)
        self.receiver._tick_at = 100.0
        self.network = self.sender._transport = _Network(self.receiver)

    def report(self, **changes) -> list[reports.Report]:
        """Sends a report to all peers; returns what one of them received."""
        sent = builders.report(
            self.sender.me, self.sender.next_sequence(), **changes
        )
        self.sender.send_now(sent)
        return self.received


def test_fields_that_keys_depend_on_are_never_shortened(monkeypatch):
    vms = _Vms(monkeypatch)
    holds = {builders.LOOKUPS: dict.fromkeys(_NAMES, _HOLD)}
    counts = dict.fromkeys(_NAMES, (3, 0))
    [received] = vms.report(
        shared=counts, local=counts, holds=holds, unreachable=_NAMES[:100]
    )
    assert received.holds == holds
    assert received.unreachable == _NAMES[:100]
    # A datagram holds 65,507 bytes at most.
    assert max(vms.network.sizes) <= 40_000


def test_of_many_counts_the_largest_are_reported(monkeypatch):
    vms = _Vms(monkeypatch)
    counts = {name: (n, 0) for n, name in enumerate(_NAMES)}
    speeds = dict.fromkeys(_NAMES[:60], (10, 100))
    [received] = vms.report(shared=counts, local={}, speeds=speeds)
    assert max(vms.network.sizes) <= 8192
    sent = [count for count, _ in received.shared.values()]
    assert min(sent) == _UPSTREAMS - len(sent)
    assert received.speeds == speeds


def test_a_report_of_usual_size_is_sent_unchanged(monkeypatch):
    vms = _Vms(monkeypatch)
    counts = dict.fromkeys(_NAMES[:50], (2, 1))
    [received] = vms.report(
        shared=counts, local=counts, key_load={"a": {7: 1.5}}
    )
    assert (received.shared, received.local) == (counts, counts)
    assert received.key_load == {"a": {7: 1.5}}


def test_a_report_that_fits_no_datagram_is_counted(monkeypatch):
    vms = _Vms(monkeypatch)
    many = [model.UpstreamId(f"{name}-{n}") for name in _NAMES for n in "12345"]
    assert vms.report(unreachable=many) == []
    assert vms.network.sizes == []
    assert vms.meters.control_messages.get("report-too-large") == 1


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90" * 5])
def test_a_malformed_report_is_counted(monkeypatch, data):
    vms = _Vms(monkeypatch)
    vms.sender._tick_at = 100.0
    vms.sender._receive(b"rh" + data, ("127.0.0.1", 7001))
    assert vms.meters.control_messages.get("report-dropped") == 1


def test_a_leader_that_reclaims_keys_sends_small_reports(monkeypatch):
    simulation = domain_simulation.DomainSimulation(40, monkeypatch, leader=5)
    held = {name: reports.Hold(4.9, 0.5) for name in _NAMES[:140]}
    simulation.leader_holds = {builders.LOOKUPS: held}
    simulation.run(1.0)
    simulation.reset_counts()
    simulation.run(2.0)
    # Reports of the leader and batches of two readers.
    assert simulation.vms[39].bytes / 2.0 < 60_000
    leader = simulation.vms[5].row.node
    assert simulation.vms[39].peers.by_node[leader].report.holds is None
