"""Chooses the VMs of other failure domains that a VM reports to.

This module does no I/O. Few VMs form a full mesh. With many, traffic between
domains would exceed that of the requests themselves: each VM then reports to
the leader only, and a few VMs of each domain, its readers, publish to each
other how many live VMs they see.
"""

import abc

import msgspec

from swiftstile import ids
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = [
    "MAX_FULL_MESH_FAR_VMS",
    "MIN_BANDWIDTH_RATIO",
    "READER_CANDIDATES",
    "READERS_PER_DOMAIN",
    "Dissemination",
    "Topology",
    "ViaReaders",
    "FullMesh",
    "reader_order",
]

# Up to this many VMs in other domains form a full mesh; present sites have 6 to
# 8.
MAX_FULL_MESH_FAR_VMS = 8
# VMs with less than this share of the highest bandwidth neither assign slots
# nor lead unless no other can: their links would be saturated.
MIN_BANDWIDTH_RATIO = 0.5
# Readers of a domain: two, so that one remains when a VM fails.
READERS_PER_DOMAIN = 2
# VMs of another domain that reports for its readers go to: the readers, and the
# VM that replaces one that fails.
READER_CANDIDATES = 3


def reader_order(row: reports.NodeRow) -> tuple[float, model.NodeId]:
    """Returns the sort key of a VM as reader; the smallest ones are readers.

    VMs with more bandwidth come first, since all others fetch rows from them.
    """
    return (-row.link_mbps, row.node)


class Topology:
    """The peers by failure domain.

    Lists are in the order of readers, as most callers need only the first VMs.

    Args:
        me: This VM.
        by_node: All other VMs; the caller changes it.
    """

    def __init__(
        self,
        me: reports.NodeRow,
        by_node: dict[model.NodeId, reports.Peer],
    ):
        self._me = me
        self._by_node = by_node
        self._indexed_count = -1
        self._by_domain: dict[ids.FailureDomain, list[reports.Peer]] = {}
        self._far: list[reports.Peer] = []
        self._max_mbps = me.link_mbps
        self._high_bandwidth_count = 1

    def invalidate(self) -> None:
        """Drops the index after a VM joined, left or registered again."""
        self._indexed_count = -1

    def in_domain(self, domain: ids.FailureDomain) -> list[reports.Peer]:
        """Returns the VMs of a domain."""
        self._refresh()
        return self._by_domain.get(domain, [])

    def is_low_bandwidth(self, row: reports.NodeRow) -> bool:
        """Whether a VM's link is far narrower than the widest of all VMs."""
        self._refresh()
        return row.link_mbps < MIN_BANDWIDTH_RATIO * self._max_mbps

    @property
    def high_bandwidth_count(self) -> int:
        """Returns how many VMs aren't low-bandwidth, this one included."""
        self._refresh()
        return self._high_bandwidth_count

    @property
    def near(self) -> list[reports.Peer]:
        """Returns the other VMs of this VM's domain."""
        return self.in_domain(self._me.domain)

    @property
    def far(self) -> list[reports.Peer]:
        """Returns the VMs of other domains."""
        self._refresh()
        return self._far

    def _refresh(self) -> None:
        if self._indexed_count == len(self._by_node):
            return
        self._indexed_count = len(self._by_node)
        me = self._me
        peers = sorted(
            self._by_node.values(), key=lambda peer: reader_order(peer.row)
        )
        self._by_domain = {}
        for peer in peers:
            self._by_domain.setdefault(peer.row.domain, []).append(peer)
        self._far = [peer for peer in peers if peer.row.domain != me.domain]
        staying = [peer.row for peer in peers if not peer.row.is_retired]
        rows = [me, *staying]
        self._max_mbps = max(row.link_mbps for row in rows)
        min_mbps = MIN_BANDWIDTH_RATIO * self._max_mbps
        self._high_bandwidth_count = sum(
            row.link_mbps >= min_mbps for row in rows
        )


class Dissemination(abc.ABC):
    """Chooses the peers of other domains that a report goes to.

    Args:
        me: This VM.
        topology: All other VMs.
    """

    def __init__(self, me: reports.NodeRow, topology: Topology):
        self._me = me
        self._topology = topology

    # Whether VMs of other domains report only to the leader and to readers.
    uses_readers = False

    @abc.abstractmethod
    def periodic_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """Returns the peers that periodic reports go to."""

    @abc.abstractmethod
    def urgent_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """Returns the peers to inform at once when urgent state changed."""

    @abc.abstractmethod
    def trim(self, report: reports.Report) -> reports.Report:
        """Returns a report without the fields that other domains don't use."""

    @abc.abstractmethod
    def live_count(self, now: float) -> int:
        """Returns how many VMs are live, this one included."""

    @abc.abstractmethod
    def counts_to_publish(
        self, now: float
    ) -> tuple[int, dict[ids.FailureDomain, int]]:
        """Returns the numbers of live VMs to report: near, and by domain."""

    @abc.abstractmethod
    def live_domains(self, now: float) -> set[ids.FailureDomain]:
        """Returns other domains that have live VMs according to readers."""

    def isolated_domains_to_publish(
        self, is_isolated: bool, now: float
    ) -> set[ids.FailureDomain]:
        """Returns the domains whose live VMs all reach no upstream.

        Only what this VM knows itself or by reports from there, so that VMs of
        one domain don't confirm each other's outdated reports.

        Args:
            is_isolated: Whether this VM reaches none.
            now: The time.
        """
        isolated = self._isolated_by_report(now)[0]
        if is_isolated and all(
            peer.is_isolated
            for peer in reports.live_peers(self._topology.near, now)
        ):
            isolated.add(self._me.domain)
        return isolated

    def _isolated_by_report(
        self, now: float
    ) -> tuple[set[ids.FailureDomain], set[ids.FailureDomain]]:
        """Returns other domains that report to be isolated, and all others.

        Those without reports are in neither.
        """
        heard, connected = set(), set()
        for peer in reports.live_peers(self._topology.far, now):
            domain = peer.row.domain
            heard.add(domain)
            if domain not in peer.report.isolated_domains:
                connected.add(domain)
        return heard - connected, connected

    def renewing_domains(self, now: float) -> set[ids.FailureDomain]:
        """Returns other domains whose VMs renew the grants of their upstreams.

        According to readers, where this VM receives no reports from there.
        """
        live = self.live_domains(now)
        return live - self.isolated_domains(now) if live else live

    def isolated_domains(self, now: float) -> set[ids.FailureDomain]:
        """Returns other domains whose live VMs all reach no upstream.

        According to VMs there, or else to VMs of the own domain that receive
        their reports.
        """
        isolated, connected = self._isolated_by_report(now)
        for peer in reports.live_peers(self._topology.near, now):
            isolated.update(peer.report.isolated_domains)
        return isolated - connected - {self._me.domain}

    def _own_if_isolated(
        self, report: reports.Report
    ) -> list[ids.FailureDomain]:
        own = self._me.domain
        return [own] if own in report.isolated_domains else []

    def far_leaders(self) -> list[reports.Peer]:
        """Returns the far peers that claim to be the leader."""
        return [peer for peer in self._topology.far if peer.claims_leadership]

    def near_live_count(self, now: float) -> int:
        """Returns how many VMs of its own domain are live, with itself."""
        return 1 + len(reports.live_peers(self._topology.near, now))


class FullMesh(Dissemination):
    """Each VM reports to all others."""

    def periodic_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """See base class."""
        return self._topology.far

    def urgent_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """See base class."""
        return self._topology.far

    def trim(self, report: reports.Report) -> reports.Report:
        """See base class."""
        return msgspec.structs.replace(
            report,
            local={},
            tables={},
            isolated_domains=self._own_if_isolated(report),
        )

    def counts_to_publish(
        self, now: float
    ) -> tuple[int, dict[ids.FailureDomain, int]]:
        """See base class."""
        # In a full mesh only the reports that a VM receives itself count.
        return 0, {}

    def live_domains(self, now: float) -> set[ids.FailureDomain]:
        """See base class."""
        return set()

    def live_count(self, now: float) -> int:
        """See base class."""
        near, far = self._topology.near, self._topology.far
        return (
            1
            + len(reports.live_peers(near, now))
            + len(reports.live_peers(far, now))
        )


class ViaReaders(Dissemination):
    """Each VM reports to the leader, and readers report to each other."""

    uses_readers = True

    def periodic_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """See base class."""
        if report.is_leader:
            return self._topology.far
        chosen = {peer.row.node: peer for peer in self.far_leaders()}
        if report.is_reader:
            candidates = self._reader_candidates()
            chosen |= {peer.row.node: peer for peer in candidates}
        return list(chosen.values())

    def urgent_recipients(self, report: reports.Report) -> list[reports.Peer]:
        """See base class."""
        if report.is_leader or report.is_leaving:
            return self._topology.far
        return self.far_leaders()

    def trim(self, report: reports.Report) -> reports.Report:
        """See base class."""
        return msgspec.structs.replace(
            report,
            shared={},
            local={},
            tables={},
            far_live={},
            isolated_domains=self._own_if_isolated(report),
        )

    def counts_to_publish(
        self, now: float
    ) -> tuple[int, dict[ids.FailureDomain, int]]:
        """See base class."""
        return self.near_live_count(now), self._far_live_by_report(now)

    def live_domains(self, now: float) -> set[ids.FailureDomain]:
        """See base class."""
        return {d for d, count in self._far_live(now).items() if count > 0}

    def live_count(self, now: float) -> int:
        """See base class."""
        return self.near_live_count(now) + sum(self._far_live(now).values())

    def _far_live(self, now: float) -> dict[ids.FailureDomain, int]:
        """Returns the live VMs of other domains, by own or readers' reports."""
        count_by_domain = self._far_live_by_report(now)
        for peer in reports.live_peers(self._topology.near, now):
            for domain, count in peer.report.far_live.items():
                count_by_domain[domain] = max(
                    count_by_domain.get(domain, 0), count
                )
        return count_by_domain

    def _far_live_by_report(self, now: float) -> dict[ids.FailureDomain, int]:
        count_by_domain: dict[ids.FailureDomain, int] = {}
        for peer in reports.live_peers(self._topology.far, now):
            domain, count = peer.row.domain, max(1, peer.report.near_live)
            count_by_domain[domain] = max(count_by_domain.get(domain, 0), count)
        return count_by_domain

    def _reader_candidates(self) -> list[reports.Peer]:
        by_domain: dict[ids.FailureDomain, list[reports.Peer]] = {}
        for peer in self._topology.far:
            if not peer.row.is_retired:
                by_domain.setdefault(peer.row.domain, []).append(peer)
        chosen = []
        for peers in by_domain.values():
            chosen += peers[:READER_CANDIDATES]
            chosen += [
                peer
                for peer in peers[READER_CANDIDATES:]
                if peer.claims_reader_role
            ]
        return chosen
