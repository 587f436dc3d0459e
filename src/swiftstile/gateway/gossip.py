"""Exchanges liveness and load reports with the other VMs.

Each datagram is a whole report: the next one makes up for a lost one, and there
is no connection that could stall. Reports go often to the own failure domain
("near" VMs) and rarely to the others ("far" VMs), where bandwidth is scarce.
"""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import dissemination as dissemination_lib
from swiftstile.gateway import domain_reports
from swiftstile.gateway import measurements as measurements_lib
from swiftstile.gateway import model
from swiftstile.gateway import report_encoding
from swiftstile.gateway import reports

__all__ = ["Peers"]

# Interval of reports to the own failure domain while something changes: a
# fraction of the shortest request of the users (72 ms).
NEAR_INTERVAL_S = 0.025
# Interval of reports to other domains, where bandwidth is scarce.
FAR_INTERVAL_S = 0.35
# Timers fire slightly early or late; half an interval of tolerance is enough.
_TIMER_SLACK_S = NEAR_INTERVAL_S / 2
# Interval of reports while nothing changes: three may be lost before a peer
# counts as failed.
HEARTBEAT_INTERVAL_S = 0.25
# Maximum number of reports a second that a VM sends to its own domain. With
# many VMs each of them gets these less often, as each VM carries a smaller part
# of the requests.
MAX_NEAR_REPORTS_PER_S = 100
# Minimum interval between reports to other domains; while keys move each report
# matters to all domains.
URGENT_INTERVAL_S = 0.05
# Interval of checks whether a report is due, in large domains.
LARGE_DOMAIN_TICK_S = 0.1
# A retired VM stays in the quorum for this long: longer than a leader, and the
# VMs that follow it, go on without the store.
RETIRED_QUORUM_S = 20.0
# After a pause of this process of this length, datagrams in its socket are
# stale.
STALL_THRESHOLD_S = 0.25
# Time after such a pause in which all queued datagrams have been read.
DRAIN_AFTER_STALL_S = 0.1
# First byte of a datagram: its type.
_REPORT, _PERMIT, _BATCH = b"r", b"p", b"b"
# Second byte of a report: whether its sender has received reports of the VM
# that it goes to recently.
_RECEIVING, _NOT_RECEIVING = b"h", b"-"


def _urgent_state(report: reports.Report) -> tuple:
    """Returns the parts of a report that all VMs need soon when they change."""
    return (
        report.is_leader,
        report.can_renew,
        report.leader_version,
        report.versions,
        report.unreachable,
        report.is_leaving,
        report.is_isolated,
        report.is_partitioned,
        [
            entry.upstream
            for entry in report.advisories
            if entry.leaving_ms is not None
        ],
        sorted(
            (entry.digest, len(entry.crashes))
            for entry in report.suspicions
            if entry.is_urgent
        ),
    )


def _address(peer: reports.Peer) -> tuple[str, int]:
    host, _, port = peer.row.address.rpartition(":")
    return host, int(port)


class _Socket(asyncio.DatagramProtocol):

    def __init__(self, receive):
        self._receive = receive

    def datagram_received(self, data, addr):
        self._receive(data, addr)

    def error_received(self, exc):
        # A peer's port is closed; the absence of its reports shows that it is
        # down.
        logs.logger.debug("datagram not delivered", error=repr(exc))


class Peers:
    """The registered peers, and the exchange of reports with them.

    Args:
        me: This VM.
        on_report: Called with a peer and the time at which its report arrived.
        reporter: Adds measurements to some reports, if any.
        meters: Counts reports that can't be sent or decoded.

    Attributes:
        by_node: All registered VMs except this one.
        topology: The same by failure domain.
    """

    def __init__(
        self,
        me: reports.NodeRow,
        on_report,
        reporter: measurements_lib.MeasurementReporter | None = None,
        meters: metrics.Meters | None = None,
    ):
        self.me = me
        self._meters = meters or metrics.Meters()
        self._reporter = reporter
        self._near_last_sent = measurements_lib.LastSent()
        self._leader_last_sent = measurements_lib.LastSent()
        self.by_node: dict[model.NodeId, reports.Peer] = {}
        self._by_run: dict[str, reports.Peer] = {}
        self._on_report = on_report
        # Called with the time when a VM registered another run of its process;
        # set by the component that has to inform it.
        self.on_new_run = None
        # Handles messages about permits; set by the component that issues them.
        self.on_permit = None
        self._decoder = msgspec.msgpack.Decoder(reports.Report)
        self._encoder = report_encoding.ReportEncoder(self._meters)
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self.topology = dissemination_lib.Topology(me, self.by_node)
        self._full_mesh = dissemination_lib.FullMesh(me, self.topology)
        self._via_readers = dissemination_lib.ViaReaders(me, self.topology)
        self._domain_reports = domain_reports.DomainReports(self.topology)
        self._own_run = reports.short_run(me.incarnation)
        self._tick_at = 0.0
        self._discard_until = 0.0
        self._isolated_domains_at = float("-inf")
        self._known_isolated_domains: set[ids.FailureDomain] = set()
        self._near_sent_at = self._far_sent_at = self._urgent_sent_at = 0.0
        self._last_near_content: tuple = ()
        self._last_urgent_state: tuple = ()

    def apply(
        self, row: reports.NodeRow | None, node: model.NodeId, now: float
    ):
        """Applies a changed registration; `row` is None if it was removed."""
        if node == self.me.node:
            return
        self.topology.invalidate()
        known = self.by_node.get(node)
        if known is not None:
            self._by_run.pop(reports.short_run(known.row.incarnation), None)
        if row is None:
            self.by_node.pop(node, None)
            return
        is_new_run = known is None or known.row.incarnation != row.incarnation
        if known is None:
            known = self.by_node[node] = reports.Peer(row, now)
        self._by_run[reports.short_run(row.incarnation)] = known
        if known.row.incarnation != row.incarnation:
            known.record_run(row, now)
        if row.is_retired and not known.row.is_retired:
            known.retired_at = now
        known.row = row
        if is_new_run and self.on_new_run is not None:
            self.on_new_run(now)

    def live_peers(
        self, now: float, within_s: float = reports.PEER_TIMEOUT_S
    ) -> list[reports.Peer]:
        """Returns the peers with a recent report."""
        return reports.live_peers(self.by_node.values(), now, within_s)

    def is_received(self, now: float) -> bool:
        """Whether a live VM has reported that it receives this VM's reports.

        Also true if no other VM is registered.
        """
        staying = [p for p in self.by_node.values() if not p.row.is_retired]
        return not staying or any(
            peer.receives_us and peer.is_live(now) for peer in staying
        )

    def find_run(self, run: str) -> reports.Peer | None:
        """Returns the VM whose current run has this short name, if any."""
        return self._by_run.get(run)

    def reachable(
        self, domain: ids.FailureDomain, now: float
    ) -> list[reports.Peer]:
        """Returns the peers of a domain that are likely to answer."""
        uses_reader_reports = (
            domain != self.me.domain and self.dissemination.uses_readers
        )
        return [
            peer
            for peer in self.topology.in_domain(domain)
            if not peer.row.is_retired
            and (uses_reader_reports or peer.is_live(now))
            and not (peer.report is not None and peer.report.is_leaving)
        ]

    def connected(
        self, domain: ids.FailureDomain, now: float
    ) -> list[reports.Peer]:
        """Returns the reachable peers of a domain that reach upstreams.

        As far as known: a VM of a large deployment receives no reports of most
        VMs of other domains, and its readers report which domains reach none.
        A report that has become too old for this says nothing.
        """
        if domain in self._isolated_domains(now):
            return []
        return [
            peer
            for peer in self.reachable(domain, now)
            if not (peer.is_isolated and peer.is_live(now))
        ]

    def _isolated_domains(self, now: float) -> set[ids.FailureDomain]:
        """Returns other domains whose live VMs all reach no upstream."""
        # Each permit needs it several times, and it takes all reports.
        if abs(now - self._isolated_domains_at) >= NEAR_INTERVAL_S:
            self._isolated_domains_at = now
            self._known_isolated_domains = self.dissemination.isolated_domains(
                now
            )
        return self._known_isolated_domains

    def is_domain_unreachable(
        self, domain: ids.FailureDomain, now: float
    ) -> bool:
        """Whether no registered VM of another domain is known to live.

        False also for a domain without registered VMs.
        """
        if (
            domain == self.me.domain
            or domain in self.dissemination.live_domains(now)
        ):
            return False
        known = [
            peer
            for peer in self.topology.in_domain(domain)
            if not peer.row.is_retired
        ]
        return bool(known) and not any(peer.is_live(now) for peer in known)

    def quorum_members(self, now: float) -> list[reports.Peer]:
        """Returns the peers that count towards a majority.

        A retired VM remains a member for a while, as VMs that don't know yet
        that it was retired still count it.
        """
        return [
            peer
            for peer in self.by_node.values()
            if not peer.row.is_retired
            or now - peer.retired_at < RETIRED_QUORUM_S
        ]

    async def run(self, make_report) -> None:
        """Sends and receives reports until cancelled.

        Args:
            make_report: Returns this VM's report; takes its sequence number,
                and whether to include the parts that only its own domain
                receives.

        Raises:
            SettingsError: It can't receive at its address.
        """
        await self._open()
        try:
            self._tick_at = clocks.monotonic()
            while True:
                now = clocks.monotonic()
                self.detect_stall(now)
                is_full = self._is_full_report_due(now)
                self._send(make_report(self.next_sequence(), is_full), is_full)
                await pacing.sleep_aligned(self._tick_s())
        finally:
            self._transport.close()

    async def _open(self) -> None:
        host, _, port = self.me.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Socket(self._receive), local_addr=(host, int(port))
            )
        except OSError as error:
            raise errors.SettingsError(
                repr(error), step="listen for reports", peer=self.me.address
            ) from error

    def _tick_s(self) -> float:
        """Returns the time until the next check whether a report is due."""
        if self._domain_reports.is_large:
            return LARGE_DOMAIN_TICK_S
        return min(
            max(NEAR_INTERVAL_S, self._near_interval_s() / 2), URGENT_INTERVAL_S
        )

    def _near_interval_s(self) -> float:
        interval_s = max(
            NEAR_INTERVAL_S, len(self.topology.near) / MAX_NEAR_REPORTS_PER_S
        )
        return min(interval_s, HEARTBEAT_INTERVAL_S)

    def detect_stall(self, now: float) -> None:
        """Detects that this process was paused since the last tick."""
        stalled_s = now - self._tick_at
        if stalled_s > STALL_THRESHOLD_S:
            self._discard_until = now + DRAIN_AFTER_STALL_S
            logs.logger.info("process stood still", for_s=round(stalled_s, 3))
        self._tick_at = now

    def next_sequence(self) -> int:
        """Returns the sequence number of the next report."""
        return self._sequence + 1

    def send_now(self, report: reports.Report) -> None:
        """Sends a report to all peers at once, as at shutdown."""
        self._near_sent_at = self._far_sent_at = self._urgent_sent_at = 0.0
        self._send(report)

    def _is_full_report_due(self, now: float) -> bool:
        """Whether a report made now may go to the own domain.

        In large deployments that holds for fewer than half of the ticks; the
        others are for changes that all VMs need at once.
        """
        if not self.dissemination.uses_readers:
            return True
        return (
            now - self._near_sent_at >= self._near_interval_s() - _TIMER_SLACK_S
        )

    def _send(self, report: reports.Report, is_full: bool = True) -> None:
        now = clocks.monotonic()
        if report.is_leader and not report.is_leaving:
            # There are many holds while the leader reclaims keys, and it
            # reports to all VMs.
            report = msgspec.structs.replace(report, holds=None)
        if is_full:
            self._send_near_if_due(report, now)
        self._send_far_if_due(report, now)

    def _send_near_if_due(self, report: reports.Report, now: float) -> None:
        versions = [status.version for status in report.tables.values()]
        content = (
            report.shared,
            report.local,
            versions,
            *_urgent_state(report),
        )
        interval_s = HEARTBEAT_INTERVAL_S
        if content != self._last_near_content:
            interval_s = self._near_interval_s()
        if now - self._near_sent_at >= interval_s - _TIMER_SLACK_S:
            self._near_sent_at, self._last_near_content = now, content
            self._send_to_near(report, now)

    def _send_far_if_due(self, report: reports.Report, now: float) -> None:
        state = _urgent_state(report)
        if now - self._urgent_sent_at < URGENT_INTERVAL_S - _TIMER_SLACK_S:
            return
        dissemination = self.dissemination
        if now - self._far_sent_at >= FAR_INTERVAL_S - _TIMER_SLACK_S:
            self._far_sent_at = now
            recipients = dissemination.periodic_recipients(report)
        elif state != self._last_urgent_state:
            recipients = dissemination.urgent_recipients(report)
        elif report.holds:
            # Only the leader waits for holds.
            recipients = dissemination.far_leaders()
        else:
            return
        self._urgent_sent_at, self._last_urgent_state = now, state
        self._send_to_far(dissemination.trim(report), now, recipients)

    @property
    def dissemination(self) -> dissemination_lib.Dissemination:
        """Chooses the peers of other domains that this VM reports to."""
        is_full_mesh = (
            len(self.topology.far) <= dissemination_lib.MAX_FULL_MESH_FAR_VMS
        )
        return self._full_mesh if is_full_mesh else self._via_readers

    def _send_to_near(self, report: reports.Report, now: float) -> None:
        self._sequence = report.sequence
        measured = self._with_measurements(report, self._near_last_sent, now)
        data = self._encoder.encode(measured)
        for peer in self._domain_reports.recipients(report, now):
            self._send_to(peer, data, now)
        if report.is_reader and self._domain_reports.is_large:
            self._send_batches(now)

    def _send_batches(self, now: float) -> None:
        """Forwards the reports of this domain since the last batch."""
        for batch in self._domain_reports.take_batches(now):
            for peer in self.topology.near:
                if not peer.row.is_retired or peer.is_live(now):
                    self._transport.sendto(_BATCH + batch, _address(peer))

    def _send_to_far(
        self, report: reports.Report, now: float, recipients
    ) -> None:
        self._sequence = report.sequence
        if not recipients:
            return
        data = self._encoder.encode(report)
        leader_data = data
        if any(peer.claims_leadership for peer in recipients):
            # Only the leader, which places keys, uses speeds and key load.
            measured = self._with_measurements(
                report, self._leader_last_sent, now
            )
            leader_data = self._encoder.encode(measured)
        for peer in recipients:
            self._send_to(
                peer, leader_data if peer.claims_leadership else data, now
            )

    def _with_measurements(
        self,
        report: reports.Report,
        last_sent: measurements_lib.LastSent,
        now: float,
    ) -> reports.Report:
        if self._reporter is None:
            return report
        return self._reporter.add_due(report, last_sent, len(self.by_node), now)

    def _send_to(
        self, peer: reports.Peer, data: bytes | None, now: float
    ) -> None:
        if data is None:
            return
        if peer.row.is_retired and not peer.is_live(now):
            return
        # A retired VM counts as not received until it registers again: it may
        # not know of its retirement yet, and must not act on this VM's reports.
        is_counted = peer.is_live(now) and not peer.row.is_retired
        marker = _RECEIVING if is_counted else _NOT_RECEIVING
        self._transport.sendto(_REPORT + marker + data, _address(peer))

    def send_permit(self, peer: reports.Peer, data: bytes) -> None:
        """Sends a message about permits; delivery isn't guaranteed."""
        if self._transport is not None:
            self._transport.sendto(_PERMIT + data, _address(peer))

    def _receive(self, data: bytes, sender) -> None:
        now = clocks.monotonic()
        if now < self._discard_until or now - self._tick_at > STALL_THRESHOLD_S:
            # It may have been queued in the socket while this process was
            # paused.
            return
        if data[:1] == _REPORT:
            is_receiving = data[1:2] == _RECEIVING
            self._receive_report(data[2:], is_receiving, sender, now)
        elif data[:1] == _BATCH:
            self._receive_batch(data[1:], sender, now)
        elif data[:1] == _PERMIT and self.on_permit is not None:
            self.on_permit(data[1:], sender)

    def _receive_report(
        self, data: bytes, receives_us: bool, sender, now: float
    ) -> None:
        try:
            report = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            self._note_malformed(error, sender)
            return
        peer = self._by_run.get(report.run)
        if peer is None:
            # Its registration hasn't arrived yet, or it is of an earlier run.
            return
        known = peer.report
        if known is not None and known.sequence >= report.sequence:
            if known.sequence == report.sequence:
                # It already arrived in a batch.
                peer.record_direct_receipt(now, receives_us)
            return
        peer.record_direct_report(report, now, receives_us)
        if peer.row.domain == self.me.domain:
            self._domain_reports.add_to_batch(
                report.run, report.sequence, data, now
            )
        self._on_report(peer, now)

    def _receive_batch(self, data: bytes, sender, now: float) -> None:
        try:
            for entry in self._domain_reports.entries(data):
                self._receive_entry(entry, now)
        except msgspec.MsgspecError as error:
            self._note_malformed(error, sender)

    def _receive_entry(self, entry: domain_reports.Entry, now: float) -> None:
        if entry.run == self._own_run:
            self._domain_reports.record_echo(now)
            return
        peer = self._by_run.get(entry.run)
        if peer is None:
            return
        known = peer.report
        if known is not None and known.sequence >= entry.sequence:
            return
        report = self._decoder.decode(entry.data)
        peer.record_report(report, now - entry.age_ms / 1000)
        self._on_report(peer, now)

    def _note_malformed(self, error: msgspec.MsgspecError, sender) -> None:
        problem = errors.ControlMessageError(
            str(error), step="decode report", peer=str(sender)
        )
        self._meters.control_messages.add("report-dropped")
        logs.logger.warning("report dropped", error=str(problem))
