"""Decides which VMs read the platform's store; this module does no I/O.

Each call to the store has a cost, and with many VMs most calls would return the
same rows. In a failure domain with many VMs a few of them, its readers,
therefore follow the store and publish the newest versions; the others call the
store only while no peer publishes a fresh status.
"""

import collections.abc
import itertools

from swiftstile.gateway import dissemination
from swiftstile.gateway import gossip
from swiftstile.gateway import reports

__all__ = [
    "MAX_INDEPENDENT_VMS",
    "MAX_INDEPENDENT_VMS_FOR_STATE",
    "READERS_PER_DOMAIN",
    "READER_WATCH_S",
    "STATUS_MARGIN_S",
    "StoreReaders",
]

READERS_PER_DOMAIN = dissemination.READERS_PER_DOMAIN
# Up to this many other VMs in a failure domain each VM reads the store itself:
# readers would save little, and nothing depends on peers.
MAX_INDEPENDENT_VMS = 6
# The same for the gateway's own table, which changes most often. No change of
# it has to be in force within a time: a VM renews only by the version that its
# leader publishes.
MAX_INDEPENDENT_VMS_FOR_STATE = 2
# Long-poll timeout of readers for tables that have to be followed closely. It
# is short, as an answer proves that the reader reaches the store.
READER_WATCH_S = 1.0
# A reader's status is fresh while the store's last answer to it is no older
# than its long poll and this margin: one round trip and one report. With one
# more round trip of the VM that uses it that is below the 2 s within which a
# configuration has to be in force.
STATUS_MARGIN_S = 0.4


class StoreReaders:
    """Chooses the VMs that read the store.

    Args:
        peers: The other VMs.
        is_leader: Returns whether this VM plans the key maps; if so it always
            reads the store itself.
        max_independent_vms: Up to this many other VMs in a domain each VM reads
            the store itself.
        has_standby: Whether the second reader relies on the first one while
            that reaches the store, in domains of more than
            `MAX_INDEPENDENT_VMS` other VMs.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        is_leader,
        max_independent_vms: int = MAX_INDEPENDENT_VMS,
        has_standby: bool = False,
    ):
        self._peers = peers
        self._is_leader = is_leader
        self._max_independent_vms = max_independent_vms
        self._has_standby = has_standby
        # State of the last refresh, and its time.
        self._refreshed_at = -1.0
        self._is_large_domain = self._is_reader = False
        self._is_standby = False
        self._rank = 0

    def is_reader(self, now: float) -> bool:
        """Whether this VM reads the store on behalf of its domain."""
        self._refresh(now)
        return self._is_reader

    def rank(self, now: float) -> int:
        """Returns how many readers of the domain come before this VM."""
        self._refresh(now)
        return self._rank

    def always_reads(self, now: float) -> bool:
        """Whether this VM calls the store whatever others do."""
        return self._is_leader() or self.is_reader(now)

    def must_read_store(
        self,
        table: str,
        watch_s: float,
        now: float,
        is_substitute: bool = False,
    ) -> bool:
        """Whether this VM has to call the store for a table itself.

        Args:
            table: Name of the table.
            watch_s: Long-poll timeout of the readers for it.
            now: The time.
            is_substitute: It publishes its own status. Like a standby, it then
                relies only on VMs that come before it as readers: two VMs that
                rely on each other would both stop.
        """
        if self._is_leader():
            return True
        if self.is_reader(now):
            if not self._is_standby:
                return True
            is_substitute = True
        own = dissemination.reader_order(self._peers.me)
        return not any(
            self._age_s(peer, table, now) < watch_s + STATUS_MARGIN_S
            and (
                not is_substitute or dissemination.reader_order(peer.row) < own
            )
            for peer in self._live_near_peers(now)
        )

    def is_large_domain(self, now: float) -> bool:
        """Whether the domain has enough VMs for others to rely on readers."""
        self._refresh(now)
        return self._is_large_domain

    def _refresh(self, now: float) -> None:
        """Updates the cached state, at most once per timestamp.

        Each report needs the state several times.
        """
        if now == self._refreshed_at:
            return
        self._refreshed_at = now
        needed = max(self._max_independent_vms, MAX_INDEPENDENT_VMS)
        live = list(itertools.islice(self._live_near_peers(now), needed))
        self._is_large_domain = len(live) >= self._max_independent_vms
        # Readers come first, so only the first few have to be checked.
        own = dissemination.reader_order(self._peers.me)
        before = [
            peer
            for peer in live[:READERS_PER_DOMAIN]
            if dissemination.reader_order(peer.row) < own
        ]
        self._rank = len(before)
        is_among_first = len(before) < READERS_PER_DOMAIN
        self._is_reader = not self._is_large_domain or is_among_first
        self._is_standby = (
            self._has_standby
            and self._rank > 0
            and len(live) >= MAX_INDEPENDENT_VMS
        )

    @staticmethod
    def _age_s(peer: reports.Peer, table: str, now: float) -> float:
        status = peer.report.tables.get(table)
        if status is None:
            return float("inf")
        return status.age_s + now - peer.received_at

    def _live_near_peers(
        self, now: float
    ) -> collections.abc.Iterator[reports.Peer]:
        """Yields near peers that are live and stay, readers first.

        A generator, as it is called several times for each report and mostly
        for the first few peers.
        """
        since = now - reports.PEER_TIMEOUT_S
        for peer in self._peers.topology.near:
            report = peer.report
            is_live = report is not None and peer.received_at > since
            if is_live and not report.is_leaving:
                yield peer
