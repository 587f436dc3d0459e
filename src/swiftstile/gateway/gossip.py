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
from swiftstile.gateway import heat
from swiftstile.gateway import model
from swiftstile.gateway import speeds

__all__ = ["Hold", "NodeRow", "Peer", "Peers", "Report", "TableWord"]

# Between two reports to the own failure domain when something changed: a
# fraction of the shortest work of the users (72 ms).
NEAR_INTERVAL_S = 0.025
# The same to other domains, whose bytes are dear.
FAR_INTERVAL_S = 0.35
# Between two reports when nothing changed: three may be lost before a peer
# counts as silent.
HEARTBEAT_S = 0.25
# Most reports a second to the own domain: with many VMs each hears less often
# of each, as each has a smaller part of the requests.
NEAR_PER_S = 160
# Reports to other domains at a time; the rest take turns. No fewer than the
# peers of today's sites, of which each is told each time.
FAR_AT_A_TIME = 8
# While keys move every report counts, to all domains.
URGENT_INTERVAL_S = 0.05
# A peer without a report for this long isn't counted on.
SILENT_AFTER_S = 1.0
# Datagrams beyond this are cut into pieces by the network; none is as large.
MAX_BYTES = 8192
# Characters of an incarnation that tell runs apart in reports.
RUN_LENGTH = 8
# How long a retired VM still counts: longer than a leader goes on without the
# store, and those that follow it.
RETIRED_COUNTS_S = 20.0
# A process that stood still for so long finds old datagrams in its socket.
PAUSE_S = 0.25
# In this time after a pause all that had queued up has been read.
CATCH_UP_S = 0.1


class NodeRow(msgspec.Struct, array_like=True):
    """A VM as it registered itself in the platform's table.

    Attributes:
        node: Its name.
        incarnation: This run of its process.
        domain: Where it runs.
        address: `host:port` of its datagrams.
        is_retired: It was silent for long; nobody waits for it any more.
        link_mbps: Bandwidth of its link; 0 if it isn't known.
    """

    node: model.NodeId
    incarnation: ids.Incarnation
    domain: ids.FailureDomain
    address: str
    is_retired: bool = False
    link_mbps: float = 0.0


class Hold(msgspec.Struct, array_like=True):
    """Until when a VM's grants to one upstream may hold leaving slots.

    Attributes:
        held_s: Seconds until all its grants are over.
        open_s: Seconds until those without an answer are over.
    """

    held_s: float
    open_s: float


class TableWord(msgspec.Struct, array_like=True):
    """What a VM knows of a table of the store.

    Attributes:
        version: Newest version of a row in it.
        age_s: How long ago the store last answered for it, in seconds.
    """

    version: int
    age_s: float


# By upstream: requests there, and waiting for it alone.
Counts = dict[model.UpstreamId, tuple[int, int]]


def short_run(incarnation: ids.Incarnation) -> str:
    """Returns the name of a run as reports carry it."""
    return incarnation[-RUN_LENGTH:]


class Report(msgspec.Struct, array_like=True):
    """What one VM tells the others.

    Attributes:
        run: Short name of the run that tells.
        sequence: Grows with each report of a run.
        is_leader: It believes that it plans who owns which keys.
        is_leaving: It is shutting down.
        is_able: It has the right to renew grants.
        leader_version: Version of the leader's row that it follows; 0 if none.
        store_silent_s: Since when the store hasn't answered it; 0 if it does.
        shared: Requests at upstreams that all domains send to.
        local: The same at upstreams that their own domain sends to first.
        speeds: What this VM measured, now and then.
        heat: How often busy slots are asked for here, now and then.
        versions: Version of the key map that it follows, by service.
        holds: By service and owner, for slots that are leaving.
        unreachable: Upstreams that it can't reach.
        tables: By table, where others of its domain rely on its word.
    """

    run: str
    sequence: int
    is_leader: bool
    is_leaving: bool
    is_able: bool
    leader_version: int
    store_silent_s: float
    shared: Counts
    local: Counts
    speeds: speeds.Samples
    heat: heat.Heat
    versions: dict[ids.ServiceName, int]
    holds: dict[ids.ServiceName, dict[model.UpstreamId, Hold]]
    unreachable: list[model.UpstreamId]
    tables: dict[str, TableWord] = {}


class Peer:
    """Another VM.

    Attributes:
        row: Its registration.
        report: Its newest report, or None.
        heard_at: When that came, on the steady clock.
        changed_at: When its present run was first known.
        retired_at: When it was first known to be retired, if it is.
        told_of: Upstreams at which it has requests, by its newest report.
    """

    def __init__(self, row: NodeRow, now: float):
        self.row = row
        self.report: Report | None = None
        self.heard_at = 0.0
        self.changed_at = now
        self.retired_at = now
        self.told_of: set[model.UpstreamId] = set()

    def is_heard(self, now: float, within_s: float = SILENT_AFTER_S) -> bool:
        """Whether it told something lately."""
        return self.report is not None and now - self.heard_at < within_s


def _state(report: Report) -> tuple:
    """Returns what all VMs should know soon when it changes."""
    return (
        report.is_leader,
        report.is_able,
        report.leader_version,
        report.versions,
        report.unreachable,
        report.is_leaving,
    )


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

    Attributes:
        by_node: All that are registered, this one excluded.
    """

    def __init__(self, me: NodeRow, on_report):
        self.me = me
        self.by_node: dict[model.NodeId, Peer] = {}
        self._on_report = on_report
        self._decoder = msgspec.msgpack.Decoder(Report)
        self._encoder = msgspec.msgpack.Encoder()
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._far_turn = 0
        self._tick_at = 0.0
        self._deaf_until = 0.0
        self._near_at = self._far_at = self._urgent_at = 0.0
        self._near_sent: tuple = ()
        self._far_sent: tuple = ()

    def apply(self, row: NodeRow | None, node: model.NodeId, now: float):
        """Takes in a registration; None when it was removed."""
        if node == self.me.node:
            return
        if row is None:
            self.by_node.pop(node, None)
            return
        known = self.by_node.get(node)
        if known is None:
            self.by_node[node] = Peer(row, now)
            return
        if known.row.incarnation != row.incarnation:
            known.changed_at = now
            known.report = None
        if row.is_retired and not known.row.is_retired:
            known.retired_at = now
        known.row = row

    def heard(self, now: float, within_s: float = SILENT_AFTER_S) -> list[Peer]:
        """Returns the peers that told something lately."""
        return [
            peer
            for peer in self.by_node.values()
            if peer.is_heard(now, within_s)
        ]

    def turn_s(self) -> float:
        """Returns within which time each VM is heard, turns included."""
        far = len(self.by_node) - self._near_count()
        turns = far / FAR_AT_A_TIME
        return max(SILENT_AFTER_S, 1.5 * FAR_INTERVAL_S * turns)

    def counted(self, now: float) -> list[Peer]:
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
            make_report: Returns this VM's report; takes its sequence number.
        """
        host, _, port = self.me.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Socket(self._receive), local_addr=(host, int(port))
        )
        try:
            self._tick_at = clocks.monotonic()
            while True:
                self.note_tick(clocks.monotonic())
                self._send(make_report(self.next_sequence()))
                await asyncio.sleep(NEAR_INTERVAL_S)
        finally:
            self._transport.close()

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

    def send_now(self, report: Report) -> None:
        """Sends a report to all at once, as at a shutdown."""
        self._near_at = self._far_at = self._urgent_at = 0.0
        self._send(report)

    def _send(self, report: Report) -> None:
        now = clocks.monotonic()
        versions = [word.version for word in report.tables.values()]
        content = (report.shared, report.local, versions, *_state(report))
        near_s = HEARTBEAT_S
        if content != self._near_sent:
            near_s = max(NEAR_INTERVAL_S, self._near_count() / NEAR_PER_S)
        # Timers are a little early or late; half a tick is close enough.
        slack_s = NEAR_INTERVAL_S / 2
        if now - self._near_at >= near_s - slack_s:
            self._near_at, self._near_sent = now, content
            self._send_near(report, now)
        state = _state(report)
        has_changed = state != self._far_sent
        if now - self._urgent_at < URGENT_INTERVAL_S - slack_s:
            return
        is_due = now - self._far_at >= FAR_INTERVAL_S - slack_s
        if is_due or self._tells_all(report, has_changed):
            self._far_at = self._urgent_at = now
            self._far_sent = state
            self._send_far(report, now, self._far_peers(report))
        elif has_changed or report.holds:
            self._urgent_at, self._far_sent = now, state
            self._send_far(report, now, self._far_leaders())

    def _tells_all(self, report: Report, has_changed: bool) -> bool:
        """Whether a change matters to all VMs at once, not just the leader."""
        if not has_changed:
            return False
        far = len(self.by_node) - self._near_count()
        return report.is_leader or report.is_leaving or far <= FAR_AT_A_TIME

    def _near_count(self) -> int:
        domain = self.me.domain
        return sum(p.row.domain == domain for p in self.by_node.values())

    def _send_near(self, report: Report, now: float) -> None:
        self._sequence = report.sequence
        data = self._encoder.encode(report)
        for peer in self.by_node.values():
            if peer.row.domain == self.me.domain:
                self._send_to(peer, data, now)

    def _send_far(self, report: Report, now: float, to: list[Peer]) -> None:
        self._sequence = report.sequence
        full = msgspec.structs.replace(report, local={}, tables={})
        thin = msgspec.structs.replace(full, speeds={}, heat={})
        data = self._encoder.encode(thin)
        for peer in to:
            # Speeds and heat matter to the one that places keys.
            is_leader = peer.report is not None and peer.report.is_leader
            if is_leader and (report.speeds or report.heat):
                self._send_to(peer, self._encoder.encode(full), now)
            else:
                self._send_to(peer, data, now)

    def _far_peers(self, report: Report) -> list[Peer]:
        """Returns the peers of other domains whose turn it is.

        The leader and those that follow it need each other's word all the
        time; all others take turns where they are many.
        """
        far = [
            peer
            for peer in self.by_node.values()
            if peer.row.domain != self.me.domain
        ]
        if report.is_leader or len(far) <= FAR_AT_A_TIME:
            return far
        first = self._far_turn % len(far)
        self._far_turn += FAR_AT_A_TIME
        chosen = (far[first:] + far[:first])[:FAR_AT_A_TIME]
        leaders = [p for p in self._far_leaders() if p not in chosen]
        return chosen + leaders

    def _far_leaders(self) -> list[Peer]:
        return [
            peer
            for peer in self.by_node.values()
            if peer.row.domain != self.me.domain
            and peer.report is not None
            and peer.report.is_leader
        ]

    def _send_to(self, peer: Peer, data: bytes, now: float) -> None:
        if peer.row.is_retired and not peer.is_heard(now):
            return
        host, _, port = peer.row.address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def _find(self, run: str) -> Peer | None:
        for peer in self.by_node.values():
            if short_run(peer.row.incarnation) == run:
                return peer
        return None

    def _receive(self, data: bytes, sender) -> None:
        try:
            report = self._decoder.decode(data[:MAX_BYTES])
        except msgspec.MsgspecError as error:
            problem = errors.ControlMessageError(
                str(error), step="decode report", peer=str(sender)
            )
            logs.logger.warning("report dropped", error=str(problem))
            return
        peer = self._find(report.run)
        if peer is None:
            # Its registration will follow, or this is of an earlier run.
            return
        known = peer.report
        if known is not None and known.sequence >= report.sequence:
            return
        now = clocks.monotonic()
        if now < self._deaf_until or now - self._tick_at > PAUSE_S:
            # It may have waited in the socket while this process stood still.
            return
        peer.report = report
        peer.heard_at = now
        self._on_report(peer, now)
