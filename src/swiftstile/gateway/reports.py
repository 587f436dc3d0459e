"""What VMs tell each other, and what one knows of another."""

from collections import abc

import msgspec

from swiftstile import ids
from swiftstile.gateway import heat
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from swiftstile.gateway import suspects

__all__ = [
    "PEER_TIMEOUT_S",
    "Counts",
    "Hold",
    "NodeRow",
    "Peer",
    "Report",
    "TableStatus",
    "live_peers",
    "short_run",
]

# A peer without a report for this long isn't counted on.
PEER_TIMEOUT_S = 1.0
# Characters of an incarnation that tell runs apart in reports.
SHORT_RUN_LENGTH = 8


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
        unanswered_s: Seconds until those without an answer are over.
    """

    held_s: float
    unanswered_s: float


class TableStatus(msgspec.Struct, array_like=True):
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
    return incarnation[-SHORT_RUN_LENGTH:]


class Report(msgspec.Struct, array_like=True):
    """What one VM tells the others.

    Attributes:
        run: Short name of the run that tells.
        sequence: Grows with each report of a run.
        is_leader: It believes that it plans who owns which keys.
        is_leaving: It is shutting down.
        can_renew: It has the right to renew grants.
        leader_version: Version of the leader's row that it follows; 0 if none.
        store_unresponsive_s: Since when the store hasn't answered it; 0 if it
            does.
        shared: Requests at upstreams that all domains send to.
        local: The same at upstreams that their own domain sends to first.
        speeds: What this VM measured, now and then.
        key_load: How often busy slots are asked for here, now and then.
        versions: Version of the key map that it follows, by service.
        holds: By service and owner, for slots that are leaving, where this
            VM's grants may still hold some. None if it doesn't say: a leader
            tells nobody, as only a leader asks for them.
        unreachable: Upstreams that it can't reach.
        tables: By table, where others of its domain rely on its word.
        is_reader: Others of its domain rely on its word.
        near_live: VMs of its own domain that it hears, itself included; told
            to other domains by readers.
        far_live: VMs of other domains, by domain, as readers there told; told
            to the own domain by readers.
        uptime_s: How long this run has lived, in seconds.
        grants_end_s: Seconds until all grants of this run are over, told once
            it gives no more; None before.
        suspicions: Requests that may crash upstreams.
    """

    run: str
    sequence: int
    is_leader: bool
    is_leaving: bool
    can_renew: bool
    leader_version: int
    store_unresponsive_s: float
    shared: Counts
    local: Counts
    speeds: speeds.Samples
    key_load: heat.Heat
    versions: dict[ids.ServiceName, int]
    holds: dict[ids.ServiceName, dict[model.UpstreamId, Hold]] | None
    unreachable: list[model.UpstreamId]
    tables: dict[str, TableStatus] = {}
    is_reader: bool = False
    near_live: int = 0
    far_live: dict[ids.FailureDomain, int] = {}
    uptime_s: float = 0.0
    grants_end_s: float | None = None
    suspicions: list[suspects.Suspicion] = []


class Peer:
    """Another VM.

    Attributes:
        row: Its registration.
        report: Its newest report, or None.
        received_at: When it sent that at the earliest, on the steady clock:
            when it came, to this VM or to the one that handed it on.
        received_directly_at: When a report last came from itself.
        run_began_at: When its present run began at the latest.
        retired_at: When it was first known to be retired, if it is.
        receives_us: Whether it heard this VM lately when it sent that report.
        reported_upstreams: Upstreams at which it has requests, by its newest
            report.
    """

    def __init__(self, row: NodeRow, now: float):
        self.row = row
        self.report: Report | None = None
        self.received_at = 0.0
        self.received_directly_at = float("-inf")
        self.run_began_at = now
        # The latest moment at which a run ended that didn't tell until when its
        # grants hold, and whether that was the one before the present.
        self._undeclared_end_at = now
        self._is_end_undeclared = True
        # When the grants of all runs that told so are over.
        self._declared_end_at = float("-inf")
        self.retired_at = now
        self.receives_us = False
        self.reported_upstreams: set[model.UpstreamId] = set()

    def record_run(self, row: NodeRow, now: float) -> None:
        """Another run of it registered."""
        told = None if self.report is None else self.report.grants_end_s
        self._is_end_undeclared = told is None
        if told is None:
            self._undeclared_end_at = now
        else:
            end = self.received_at + told
            self._declared_end_at = max(self._declared_end_at, end)
        self.row = row
        self.run_began_at = now
        self.received_directly_at = float("-inf")
        self.report = None

    def record_direct_report(
        self, report: Report, now: float, receives_us: bool = True
    ) -> None:
        """It told something itself."""
        self.record_report(report, now)
        self.record_direct_receipt(now, receives_us)
        self.received_at = now

    def record_direct_receipt(self, now: float, receives_us: bool) -> None:
        """What was known of it already came from itself, too."""
        self.receives_us = receives_us
        self.received_directly_at = now

    def record_report(self, report: Report, received_at: float) -> None:
        """Something that it told came, from whomever.

        Args:
            report: What it told.
            received_at: When that came from itself, to this VM or to another.
        """
        self.report = report
        self.received_at = max(self.received_at, received_at)
        began = received_at - report.uptime_s
        self.run_began_at = min(self.run_began_at, began)
        if self._is_end_undeclared:
            self._undeclared_end_at = min(self._undeclared_end_at, began)

    def earlier_grants_end_at(self, longest_s: float) -> float:
        """Returns when grants of its earlier runs are over at the latest.

        Args:
            longest_s: Longest that one grant can be held.
        """
        return max(self._undeclared_end_at + longest_s, self._declared_end_at)

    @property
    def claims_leadership(self) -> bool:
        """Whether it believes to lead, as far as it told."""
        return self.report is not None and self.report.is_leader

    @property
    def claims_reader_role(self) -> bool:
        """Whether others of its domain rely on its word, as far as it told."""
        return self.report is not None and self.report.is_reader

    def reported_directly(self, now: float, within_s: float) -> bool:
        """Whether it told this VM something itself lately."""
        return (
            self.report is not None
            and now - self.received_directly_at < within_s
        )

    def is_live(self, now: float, within_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether it told something lately."""
        return self.report is not None and now - self.received_at < within_s


def live_peers(
    peers: abc.Iterable[Peer], now: float, within_s: float = PEER_TIMEOUT_S
) -> list[Peer]:
    """Returns those of some peers that told something lately."""
    # Asked for many times a second, over 200 VMs at times: without a call of
    # `is_live` for each.
    since = now - within_s
    return [
        peer
        for peer in peers
        if peer.received_at > since and peer.report is not None
    ]
