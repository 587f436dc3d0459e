"""Reports that VMs exchange, and the state that a VM keeps of each peer."""

from collections import abc
import typing

import msgspec

from swiftstile import ids
from swiftstile.gateway import advisories as advisories_lib
from swiftstile.gateway import key_load
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from swiftstile.gateway import suspects

__all__ = [
    "PEER_TIMEOUT_S",
    "Counts",
    "Hold",
    "HoldSeconds",
    "NodeRow",
    "Peer",
    "Report",
    "Seconds",
    "TableStatus",
    "live_peers",
    "short_run",
]

# A peer whose last report is older than this counts as failed.
PEER_TIMEOUT_S = 1.0
# Length of the suffix of an incarnation that identifies a run in reports.
SHORT_RUN_LENGTH = 8


# Excludes what can't be rounded or compared, which other builds may send. A
# report beyond these bounds is dropped as malformed.
Seconds = typing.Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
# Infinite while a grant is in flight.
HoldSeconds = typing.Annotated[float, msgspec.Meta(ge=-1e9)]
_Bandwidth = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]


class NodeRow(msgspec.Struct, array_like=True):
    """A VM's registration in the platform's table.

    Attributes:
        node: Name of the VM.
        incarnation: Identifies this run of its process.
        domain: Its failure domain.
        address: `host:port` that it receives datagrams at.
        is_retired: It was unresponsive for long; no VM waits for it any more.
        link_mbps: Bandwidth of its link; 0 if unknown.
        forward_port: Port that it takes forwarded requests at; 0 if none.
    """

    node: model.NodeId
    incarnation: ids.Incarnation
    domain: ids.FailureDomain
    address: str
    is_retired: bool = False
    link_mbps: _Bandwidth = 0.0
    forward_port: _Port = 0

    @property
    def host(self) -> str:
        """Its address without a port."""
        return self.address.rpartition(":")[0]

    @property
    def forward_address(self) -> str:
        """`host:port` that it takes forwarded requests at."""
        return f"{self.host}:{self.forward_port}"


class Hold(msgspec.Struct, array_like=True):
    """Remaining validity of a VM's grants to one upstream for leaving slots.

    Attributes:
        held_s: Seconds until all grants that may hold such slots have expired.
        unanswered_s: Seconds until those that weren't answered have expired.
        unanswered_slots: Slots of those that weren't answered; None if they
            aren't listed, so that it may be any.
    """

    held_s: HoldSeconds
    unanswered_s: HoldSeconds
    unanswered_slots: list[int] | None = None


class TableStatus(msgspec.Struct, array_like=True):
    """A VM's view of one table of the store.

    Attributes:
        version: Newest version of a row in it.
        age_s: Time since the store last answered a call for it, in seconds.
    """

    version: int
    age_s: Seconds


# By upstream: requests in flight there, and requests queued for it alone.
Counts = dict[model.UpstreamId, tuple[int, int]]


def short_run(incarnation: ids.Incarnation) -> str:
    """Returns the short name by which reports identify a run."""
    return incarnation[-SHORT_RUN_LENGTH:]


class Report(msgspec.Struct, array_like=True):
    """One report of a VM to its peers.

    Attributes:
        run: Short name of the run that sent it.
        sequence: Increases with each report of a run.
        is_leader: The VM believes that it is the leader, which plans the key
            maps.
        is_leaving: It is shutting down.
        can_renew: It has the authority to renew grants.
        leader_version: Version of the leader's row that it follows; 0 if none.
        store_unresponsive_s: Time since the store last answered it, in seconds;
            0 while it answers.
        shared: Request counts at upstreams that all domains send to.
        local: Request counts at upstreams that mainly their own domain sends
            to.
        speeds: Measured speeds of upstreams; only in some reports.
        key_load: Request rates of busy slots at this VM; only in some reports.
        versions: Version of the key map that it follows, by service.
        holds: By service and owner, for leaving slots, how long this VM's
            grants may still hold some of them. None if it isn't reported: a
            leader leaves it out, as only a leader needs it.
        unreachable: Upstreams that it can't reach.
        tables: Status of the tables that others of its domain may take from it.
        is_reader: It reads the store on behalf of its domain.
        near_live: Live VMs of its own domain, itself included; readers publish
            it to other domains.
        far_live: Live VMs of other domains, by domain, as published by the
            readers there; readers forward it to their own domain.
        uptime_s: Age of this run, in seconds.
        grants_end_s: Seconds until all grants of this run have expired, once it
            makes no more; None before.
        suspicions: Requests that may crash upstreams.
        advisories: What upstreams state about themselves.
        is_isolated: It reaches no upstream.
        isolated_domains: Domains whose live VMs all reach no upstream. To other
            domains a VM publishes its own only.
        is_partitioned: It opens no new connection to any upstream. Existing
            ones may still deliver data.
    """

    run: str
    sequence: int
    is_leader: bool
    is_leaving: bool
    can_renew: bool
    leader_version: int
    store_unresponsive_s: Seconds
    shared: Counts
    local: Counts
    speeds: speeds.Samples
    key_load: key_load.KeyLoad
    versions: dict[ids.ServiceName, int]
    holds: dict[ids.ServiceName, dict[model.UpstreamId, Hold]] | None
    unreachable: list[model.UpstreamId]
    tables: dict[str, TableStatus] = {}
    is_reader: bool = False
    near_live: int = 0
    far_live: dict[ids.FailureDomain, int] = {}
    uptime_s: Seconds = 0.0
    grants_end_s: HoldSeconds | None = None
    suspicions: list[suspects.SuspectReport] = []
    advisories: list[advisories_lib.AdvisoryReport] = []
    is_isolated: bool = False
    isolated_domains: list[ids.FailureDomain] = []
    is_partitioned: bool = False


class Peer:
    """Another VM and its last report.

    Attributes:
        row: Its registration.
        report: Its newest report, or None.
        received_at: Earliest time at which it may have sent that report, on the
            monotonic clock: when it arrived at this VM or at the VM that
            forwarded it.
        received_directly_at: When a report last arrived from the VM itself.
        run_began_at: Latest time at which its present run may have begun.
        retired_at: When its retirement was first seen, if it is retired.
        receives_us: Whether it was receiving this VM's reports when it sent its
            own.
        reported_upstreams: Upstreams at which its newest report counts
            requests.
    """

    def __init__(self, row: NodeRow, now: float):
        self.row = row
        self.report: Report | None = None
        self.received_at = 0.0
        self.received_directly_at = float("-inf")
        self.run_began_at = now
        # Latest time at which a run ended that didn't report when its grants
        # expire, and whether that was the run before the present one.
        self._undeclared_end_at = now
        self._is_end_undeclared = True
        # When the grants of all runs that did report it have expired.
        self._declared_end_at = float("-inf")
        self.retired_at = now
        self.receives_us = False
        self.reported_upstreams: set[model.UpstreamId] = set()

    def record_run(self, row: NodeRow, now: float) -> None:
        """Records that another run of the VM has registered."""
        grants_end_s = None if self.report is None else self.report.grants_end_s
        self._is_end_undeclared = grants_end_s is None
        if grants_end_s is None:
            self._undeclared_end_at = now
        else:
            end = self.received_at + grants_end_s
            self._declared_end_at = max(self._declared_end_at, end)
        self.row = row
        self.run_began_at = now
        self.received_directly_at = float("-inf")
        self.report = None

    def record_direct_report(
        self, report: Report, now: float, receives_us: bool = True
    ) -> None:
        """Records a report that arrived from the VM itself."""
        self.record_report(report, now)
        self.record_direct_receipt(now, receives_us)
        self.received_at = now

    def record_direct_receipt(self, now: float, receives_us: bool) -> None:
        """Records that a report known from a batch arrived from the VM, too."""
        self.receives_us = receives_us
        self.received_directly_at = now

    def record_report(self, report: Report, received_at: float) -> None:
        """Records a report, whichever VM it arrived from.

        Args:
            report: The report.
            received_at: When it arrived from its sender, here or at the VM that
                forwarded it.
        """
        self.report = report
        self.received_at = max(self.received_at, received_at)
        began = received_at - report.uptime_s
        self.run_began_at = min(self.run_began_at, began)
        if self._is_end_undeclared:
            self._undeclared_end_at = min(self._undeclared_end_at, began)

    def earlier_grants_end_at(self, longest_s: float) -> float:
        """Returns the latest expiry of the grants of its earlier runs.

        Args:
            longest_s: Longest time for which one grant can be held.
        """
        return max(self._undeclared_end_at + longest_s, self._declared_end_at)

    @property
    def claims_leadership(self) -> bool:
        """Whether its last report says that it is the leader."""
        return self.report is not None and self.report.is_leader

    @property
    def is_isolated(self) -> bool:
        """Whether its last report says that it reaches no upstream."""
        return self.report is not None and self.report.is_isolated

    @property
    def is_partitioned(self) -> bool:
        """Whether its last report says that it opens no new connection."""
        report = self.report
        return report is not None and (
            report.is_partitioned or report.is_isolated
        )

    @property
    def claims_reader_role(self) -> bool:
        """Whether its last report says that it is a reader of its domain."""
        return self.report is not None and self.report.is_reader

    def reported_directly(self, now: float, within_s: float) -> bool:
        """Whether a report arrived from the VM itself within a time."""
        return (
            self.report is not None
            and now - self.received_directly_at < within_s
        )

    def is_live(self, now: float, within_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether its last report is recent enough for it to count as live."""
        return self.report is not None and now - self.received_at < within_s


def live_peers(
    peers: abc.Iterable[Peer], now: float, within_s: float = PEER_TIMEOUT_S
) -> list[Peer]:
    """Returns those peers whose last report is recent enough."""
    # Runs many times a second over up to 200 VMs, so the test of `is_live` is
    # inlined.
    since = now - within_s
    return [
        peer
        for peer in peers
        if peer.received_at > since and peer.report is not None
    ]
