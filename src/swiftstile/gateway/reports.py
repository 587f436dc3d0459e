"""What VMs tell each other, and what one knows of another."""

from collections import abc

import msgspec

from swiftstile import ids
from swiftstile.gateway import key_load
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from swiftstile.gateway import suspects

__all__ = [
    "SILENT_AFTER_S",
    "Counts",
    "Hold",
    "NodeRow",
    "Peer",
    "Report",
    "TableWord",
    "heard",
    "short_run",
]

# A peer without a report for this long isn't counted on.
SILENT_AFTER_S = 1.0
# Characters of an incarnation that tell runs apart in reports.
RUN_LENGTH = 8


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
        holds: By service and owner, for slots that are leaving, where this
            VM's grants may still hold some. None if it doesn't say: a leader
            tells nobody, as only a leader asks for them.
        unreachable: Upstreams that it can't reach.
        tables: By table, where others of its domain rely on its word.
        is_reader: Others of its domain rely on its word.
        near_heard: VMs of its own domain that it hears, itself included; told
            to other domains by readers.
        far_heard: VMs of other domains, by domain, as readers there told; told
            to the own domain by readers.
        up_s: How long this run has lived, in seconds.
        grants_end_s: Seconds until all grants of this run are over, told once
            it gives no more; None before.
        suspicions: Requests that may crash upstreams.
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
    heat: key_load.KeyLoad
    versions: dict[ids.ServiceName, int]
    holds: dict[ids.ServiceName, dict[model.UpstreamId, Hold]] | None
    unreachable: list[model.UpstreamId]
    tables: dict[str, TableWord] = {}
    is_reader: bool = False
    near_heard: int = 0
    far_heard: dict[ids.FailureDomain, int] = {}
    up_s: float = 0.0
    grants_end_s: float | None = None
    suspicions: list[suspects.SuspectReport] = []


class Peer:
    """Another VM.

    Attributes:
        row: Its registration.
        report: Its newest report, or None.
        heard_at: When it sent that at the earliest, on the steady clock: when
            it came, to this VM or to the one that handed it on.
        direct_at: When a report last came from itself.
        changed_at: When its present run began at the latest.
        retired_at: When it was first known to be retired, if it is.
        hears_us: Whether it heard this VM lately when it sent that report.
        told_of: Upstreams at which it has requests, by its newest report.
    """

    def __init__(self, row: NodeRow, now: float):
        self.row = row
        self.report: Report | None = None
        self.heard_at = 0.0
        self.direct_at = float("-inf")
        self.changed_at = now
        # The latest moment at which a run ended that didn't tell until when its
        # grants hold, and whether that was the one before the present.
        self._untold_at = now
        self._is_untold = True
        # When the grants of all runs that told so are over.
        self._told_over_at = float("-inf")
        self.retired_at = now
        self.hears_us = False
        self.told_of: set[model.UpstreamId] = set()

    def note_run(self, row: NodeRow, now: float) -> None:
        """Another run of it registered."""
        told = None if self.report is None else self.report.grants_end_s
        self._is_untold = told is None
        if told is None:
            self._untold_at = now
        else:
            end = self.heard_at + told
            self._told_over_at = max(self._told_over_at, end)
        self.row = row
        self.changed_at = now
        self.direct_at = float("-inf")
        self.report = None

    def note_report(
        self, report: Report, now: float, hears_us: bool = True
    ) -> None:
        """It told something itself."""
        self.note_word(report, now)
        self.note_direct(now, hears_us)
        self.heard_at = now

    def note_direct(self, now: float, hears_us: bool) -> None:
        """What was known of it already came from itself, too."""
        self.hears_us = hears_us
        self.direct_at = now

    def note_word(self, report: Report, heard_at: float) -> None:
        """Something that it told came, from whomever.

        Args:
            report: What it told.
            heard_at: When that came from itself, to this VM or to another.
        """
        self.report = report
        self.heard_at = max(self.heard_at, heard_at)
        began = heard_at - report.up_s
        self.changed_at = min(self.changed_at, began)
        if self._is_untold:
            self._untold_at = min(self._untold_at, began)

    def earlier_grants_end_at(self, longest_s: float) -> float:
        """Returns when grants of its earlier runs are over at the latest.

        Args:
            longest_s: Longest that one grant can be held.
        """
        return max(self._untold_at + longest_s, self._told_over_at)

    @property
    def claims_lead(self) -> bool:
        """Whether it believes to lead, as far as it told."""
        return self.report is not None and self.report.is_leader

    @property
    def claims_to_read(self) -> bool:
        """Whether others of its domain rely on its word, as far as it told."""
        return self.report is not None and self.report.is_reader

    def is_heard_directly(self, now: float, within_s: float) -> bool:
        """Whether it told this VM something itself lately."""
        return self.report is not None and now - self.direct_at < within_s

    def is_heard(self, now: float, within_s: float = SILENT_AFTER_S) -> bool:
        """Whether it told something lately."""
        return self.report is not None and now - self.heard_at < within_s


def heard(
    peers: abc.Iterable[Peer], now: float, within_s: float = SILENT_AFTER_S
) -> list[Peer]:
    """Returns those of some peers that told something lately."""
    # Asked for many times a second, over 200 VMs at times: without a call of
    # `is_heard` for each.
    since = now - within_s
    return [
        peer
        for peer in peers
        if peer.heard_at > since and peer.report is not None
    ]
