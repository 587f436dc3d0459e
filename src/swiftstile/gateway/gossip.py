"""What VMs tell each other: that they live, and how busy targets are.

Datagrams, each a whole report: a lost one is made good by the next, and
nothing can hang on a connection that went silent. Reports go often to the own
failure domain and seldom to others, whose bandwidth is scarce.
"""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import circulation as circulation_lib
from swiftstile.gateway import domain_reports
from swiftstile.gateway import measures as measures_lib
from swiftstile.gateway import model
from swiftstile.gateway import report_encoding
from swiftstile.gateway import reports

__all__ = ["Peers"]

# Between two reports to the own failure domain when something changed: a
# fraction of the shortest work of the users (72 ms).
NEAR_INTERVAL_S = 0.025
# The same to other domains, whose bytes are dear.
FAR_INTERVAL_S = 0.35
# Timers are a little early or late; half a tick is close enough.
_SLACK_S = NEAR_INTERVAL_S / 2
# Between two reports when nothing changed: three may be lost before a peer
# counts as silent.
HEARTBEAT_S = 0.25
# Most reports a second to the own domain: with many VMs each hears less often
# of each, as each has a smaller part of the requests.
NEAR_PER_S = 100
# While keys move every report counts, to all domains.
URGENT_INTERVAL_S = 0.05
# Between two looks whether a report is due, where VMs are many.
CROWD_TICK_S = 0.1
# How long a retired VM still counts: longer than a leader goes on without the
# store, and those that follow it.
RETIRED_COUNTS_S = 20.0
# A process that stood still for so long finds old datagrams in its socket.
PAUSE_S = 0.25
# In this time after a pause all that had queued up has been read.
CATCH_UP_S = 0.1
# First byte of a datagram: what it is.
_REPORT, _PERMIT, _BATCH = b"r", b"p", b"b"
# Second byte of a report: whether the VM that it goes to was heard lately.
_HEARD, _NOT_HEARD = b"h", b"-"


def _state(report: reports.Report) -> tuple:
    """Returns what all VMs should know soon when it changes."""
    return (
        report.is_leader,
        report.is_able,
        report.leader_version,
        report.versions,
        report.unreachable,
        report.is_leaving,
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
        # A peer's port is closed; its silence is noticed by its reports.
        logs.logger.debug("datagram refused", error=repr(exc))


class Peers:
    """The other VMs, by name.

    Args:
        me: This VM.
        on_report: Called with a peer and the time when its report came.
        measures: What this VM tells with its reports now and then, if it does.
        meters: Counts reports that can't be sent or understood.

    Attributes:
        by_node: All that are registered, this one excluded.
        places: The same by failure domain.
    """

    def __init__(
        self,
        me: reports.NodeRow,
        on_report,
        measures: measures_lib.Measures | None = None,
        meters: metrics.Meters | None = None,
    ):
        self.me = me
        self._meters = meters or metrics.Meters()
        self._measures = measures
        self._near_pace = measures_lib.Pace()
        self._leader_pace = measures_lib.Pace()
        self.by_node: dict[model.NodeId, reports.Peer] = {}
        self._by_run: dict[str, reports.Peer] = {}
        self._on_report = on_report
        # Takes what other VMs say of permits; set by who hands them out.
        self.on_permit = None
        self._decoder = msgspec.msgpack.Decoder(reports.Report)
        self._encoder = report_encoding.ReportEncoder(self._meters)
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self.places = circulation_lib.Places(me, self.by_node)
        self._to_every_vm = circulation_lib.ToEveryVm(me, self.places)
        self._through_readers = circulation_lib.ThroughReaders(me, self.places)
        self._domain = domain_reports.DomainReports(self.places)
        self._own_run = reports.short_run(me.incarnation)
        self._tick_at = 0.0
        self._deaf_until = 0.0
        self._near_at = self._far_at = self._urgent_at = 0.0
        self._near_sent: tuple = ()
        self._far_sent: tuple = ()

    def apply(
        self, row: reports.NodeRow | None, node: model.NodeId, now: float
    ):
        """Takes in a registration; None when it was removed."""
        if node == self.me.node:
            return
        self.places.forget()
        known = self.by_node.get(node)
        if known is not None:
            self._by_run.pop(reports.short_run(known.row.incarnation), None)
        if row is None:
            self.by_node.pop(node, None)
            return
        if known is None:
            known = self.by_node[node] = reports.Peer(row, now)
        self._by_run[reports.short_run(row.incarnation)] = known
        if known.row.incarnation != row.incarnation:
            known.note_run(row, now)
        if row.is_retired and not known.row.is_retired:
            known.retired_at = now
        known.row = row

    def heard(
        self, now: float, within_s: float = reports.SILENT_AFTER_S
    ) -> list[reports.Peer]:
        """Returns the peers that told something lately."""
        return reports.heard(self.by_node.values(), now, within_s)

    def of_run(self, run: str) -> reports.Peer | None:
        """Returns the VM whose present run has a short name, if any."""
        return self._by_run.get(run)

    def reachable(
        self, domain: ids.FailureDomain, now: float
    ) -> list[reports.Peer]:
        """Returns the peers of a domain that are likely to answer."""
        is_unheard = (
            domain != self.me.domain and self.circulation.tells_through_readers
        )
        return [
            peer
            for peer in self.places.all_in(domain)
            if not peer.row.is_retired
            and (is_unheard or peer.is_heard(now))
            and not (peer.report is not None and peer.report.is_leaving)
        ]

    def is_silent(self, domain: ids.FailureDomain, now: float) -> bool:
        """Whether VMs are registered in another domain and none is heard of."""
        if domain == self.me.domain or domain in self.circulation.heard_of(now):
            return False
        known = [
            peer
            for peer in self.places.all_in(domain)
            if not peer.row.is_retired
        ]
        return bool(known) and not any(peer.is_heard(now) for peer in known)

    def counted(self, now: float) -> list[reports.Peer]:
        """Returns the peers of which a majority is counted.

        A retired one still counts for a while: a part of the VMs that doesn't
        know yet that it was retired counts it, too.
        """
        return [
            peer
            for peer in self.by_node.values()
            if not peer.row.is_retired
            or now - peer.retired_at < RETIRED_COUNTS_S
        ]

    async def run(self, make_report) -> None:
        """Sends and receives until cancelled.

        Args:
            make_report: Returns this VM's report; takes its sequence number,
                and whether it has to hold what only its own domain is told.

        Raises:
            SettingsError: It can't receive at its address.
        """
        await self._open()
        try:
            self._tick_at = clocks.monotonic()
            while True:
                now = clocks.monotonic()
                self.note_tick(now)
                is_whole = self._needs_whole(now)
                self._send(
                    make_report(self.next_sequence(), is_whole), is_whole
                )
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
        """Returns the time to the next look; a report may then be due."""
        if self._domain.is_crowded:
            return CROWD_TICK_S
        return min(max(NEAR_INTERVAL_S, self._near_s() / 2), URGENT_INTERVAL_S)

    def _near_s(self) -> float:
        near_s = max(NEAR_INTERVAL_S, len(self.places.near) / NEAR_PER_S)
        return min(near_s, HEARTBEAT_S)

    def note_tick(self, now: float) -> None:
        """Notices when this process stood still since the last tick."""
        still_s = now - self._tick_at
        if still_s > PAUSE_S:
            self._deaf_until = now + CATCH_UP_S
            logs.logger.info("process stood still", for_s=round(still_s, 3))
        self._tick_at = now

    def next_sequence(self) -> int:
        """Returns the number of the next report."""
        return self._sequence + 1

    def send_now(self, report: reports.Report) -> None:
        """Sends a report to all at once, as at a shutdown."""
        self._near_at = self._far_at = self._urgent_at = 0.0
        self._send(report)

    def _needs_whole(self, now: float) -> bool:
        """Whether a report made now may go to the own domain.

        Where VMs are many it may at less than half of the looks; the others are
        for what all should know at once.
        """
        if not self.circulation.tells_through_readers:
            return True
        return now - self._near_at >= self._near_s() - _SLACK_S

    def _send(self, report: reports.Report, is_whole: bool = True) -> None:
        now = clocks.monotonic()
        if report.is_leader and not report.is_leaving:
            # Many while it takes keys back, and it tells all VMs.
            report = msgspec.structs.replace(report, holds=None)
        if is_whole:
            self._send_near_if_due(report, now)
        self._send_far_if_due(report, now)

    def _send_near_if_due(self, report: reports.Report, now: float) -> None:
        versions = [word.version for word in report.tables.values()]
        content = (report.shared, report.local, versions, *_state(report))
        near_s = HEARTBEAT_S
        if content != self._near_sent:
            near_s = self._near_s()
        if now - self._near_at >= near_s - _SLACK_S:
            self._near_at, self._near_sent = now, content
            self._send_near(report, now)

    def _send_far_if_due(self, report: reports.Report, now: float) -> None:
        state = _state(report)
        if now - self._urgent_at < URGENT_INTERVAL_S - _SLACK_S:
            return
        circulation = self.circulation
        if now - self._far_at >= FAR_INTERVAL_S - _SLACK_S:
            self._far_at = now
            to = circulation.regular(report)
        elif state != self._far_sent:
            to = circulation.changed(report)
        elif report.holds:
            # Only the leader waits for them.
            to = circulation.leaders()
        else:
            return
        self._urgent_at, self._far_sent = now, state
        self._send_far(circulation.thin(report), now, to)

    @property
    def circulation(self) -> circulation_lib.Circulation:
        """Whom of other domains this VM tells."""
        is_few = len(self.places.far) <= circulation_lib.FEW_FAR_VMS
        return self._to_every_vm if is_few else self._through_readers

    def _send_near(self, report: reports.Report, now: float) -> None:
        self._sequence = report.sequence
        measured = self._with_measures(report, self._near_pace, now)
        data = self._encoder.encode(measured)
        for peer in self._domain.audience(report, now):
            self._send_to(peer, data, now)
        if report.is_reader and self._domain.is_crowded:
            self._send_batches(now)

    def _send_batches(self, now: float) -> None:
        """Hands on what VMs of this domain told since the last time."""
        for batch in self._domain.batches(now):
            for peer in self.places.near:
                if not peer.row.is_retired or peer.is_heard(now):
                    self._transport.sendto(_BATCH + batch, _address(peer))

    def _send_far(self, report: reports.Report, now: float, to) -> None:
        self._sequence = report.sequence
        if not to:
            return
        data = self._encoder.encode(report)
        to_leader = data
        if any(peer.claims_lead for peer in to):
            # Speeds and heat matter to the one that places keys.
            measured = self._with_measures(report, self._leader_pace, now)
            to_leader = self._encoder.encode(measured)
        for peer in to:
            self._send_to(peer, to_leader if peer.claims_lead else data, now)

    def _with_measures(
        self, report: reports.Report, pace: measures_lib.Pace, now: float
    ) -> reports.Report:
        if self._measures is None:
            return report
        return self._measures.attach(report, pace, len(self.by_node), now)

    def _send_to(
        self, peer: reports.Peer, data: bytes | None, now: float
    ) -> None:
        if data is None:
            return
        if peer.row.is_retired and not peer.is_heard(now):
            return
        # A retired VM doesn't count as heard until it registers anew: it may
        # not know yet, and must not act on our word.
        is_counted = peer.is_heard(now) and not peer.row.is_retired
        word = _HEARD if is_counted else _NOT_HEARD
        self._transport.sendto(_REPORT + word + data, _address(peer))

    def send_permit(self, peer: reports.Peer, data: bytes) -> None:
        """Sends something about permits; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(_PERMIT + data, _address(peer))

    def _receive(self, data: bytes, sender) -> None:
        now = clocks.monotonic()
        if now < self._deaf_until or now - self._tick_at > PAUSE_S:
            # It may have waited in the socket while this process stood still.
            return
        if data[:1] == _REPORT:
            is_heard = data[1:2] == _HEARD
            self._receive_report(data[2:], is_heard, sender, now)
        elif data[:1] == _BATCH:
            self._receive_batch(data[1:], sender, now)
        elif data[:1] == _PERMIT and self.on_permit is not None:
            self.on_permit(data[1:], sender)

    def _receive_report(
        self, data: bytes, hears_us: bool, sender, now: float
    ) -> None:
        try:
            report = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            self._note_malformed(error, sender)
            return
        peer = self._by_run.get(report.run)
        if peer is None:
            # Its registration will follow, or this is of an earlier run.
            return
        known = peer.report
        if known is not None and known.sequence >= report.sequence:
            if known.sequence == report.sequence:
                # A batch was quicker.
                peer.note_direct(now, hears_us)
            return
        peer.note_report(report, now, hears_us)
        if peer.row.domain == self.me.domain:
            self._domain.gather(report.run, report.sequence, data, now)
        self._on_report(peer, now)

    def _receive_batch(self, data: bytes, sender, now: float) -> None:
        try:
            for entry in self._domain.entries(data):
                self._receive_entry(entry, now)
        except msgspec.MsgspecError as error:
            self._note_malformed(error, sender)

    def _receive_entry(self, entry: domain_reports.Entry, now: float) -> None:
        if entry.run == self._own_run:
            self._domain.note_came_back(now)
            return
        peer = self._by_run.get(entry.run)
        if peer is None:
            return
        known = peer.report
        if known is not None and known.sequence >= entry.sequence:
            return
        report = self._decoder.decode(entry.data)
        peer.note_word(report, now - entry.age_ms / 1000)
        self._on_report(peer, now)

    def _note_malformed(self, error: msgspec.MsgspecError, sender) -> None:
        problem = errors.ControlMessageError(
            str(error), step="decode report", peer=str(sender)
        )
        self._meters.control_messages.add("report-dropped")
        logs.logger.warning("report dropped", error=str(problem))
