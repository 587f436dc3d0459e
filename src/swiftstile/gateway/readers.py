"""Which VMs follow the platform's store themselves: decisions only.

Each call to the store has its price, and with many VMs most calls would bring
the same rows. So where a failure domain has many VMs, a few of them follow the
store and tell the others of newer rows; the others ask the store only while
nobody tells them anything fresh.
"""

import collections.abc
import itertools

from swiftstile.gateway import dissemination
from swiftstile.gateway import gossip
from swiftstile.gateway import reports

__all__ = [
    "MAX_INDEPENDENT_VMS",
    "MAX_INDEPENDENT_VMS_FOR_STATE",
    "READER_WATCH_S",
    "STATUS_MARGIN_S",
    "StoreReaders",
]

# Up to so many other VMs in a failure domain each follows the store itself: it
# saves little there, and nothing depends on peers.
MAX_INDEPENDENT_VMS = 6
# The same for our own table. Its news comes most often, and none has to be in
# force within a time: a VM renews only by the version that its leader tells.
MAX_INDEPENDENT_VMS_FOR_STATE = 2
# How long a reader's call waits for changes, for tables that have to be
# followed at once. Short, since its answers prove that it reaches the store.
READER_WATCH_S = 1.0
# Word of a reader counts while its last answer is no older than its watch and
# this: a round trip and a report. With one more round trip of our own that is
# below the 2 s in which a configuration has to be in force.
STATUS_MARGIN_S = 0.4


class StoreReaders:
    """Chooses the VMs that follow the store.

    Args:
        peers: The other VMs.
        is_leader: Returns whether this VM plans the key maps; it always
            follows the store itself.
        max_independent_vms: Up to so many other VMs in a domain each follows
            itself.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        is_leader,
        max_independent_vms: int = MAX_INDEPENDENT_VMS,
    ):
        self._peers = peers
        self._is_leader = is_leader
        self._max_independent_vms = max_independent_vms
        # What was seen at a look, and when that was.
        self._refreshed_at = -1.0
        self._is_large_domain = self._is_reader = False

    def is_reader(self, now: float) -> bool:
        """Whether this VM is one of those that the others rely on."""
        self._refresh(now)
        return self._is_reader

    def must_read_store(self, table: str, watch_s: float, now: float) -> bool:
        """Whether this VM has to ask the store for a table itself.

        Args:
            table: Name of the table.
            watch_s: How long readers' calls for it wait for changes.
            now: The time.
        """
        if self._is_leader() or self.is_reader(now):
            return True
        return not any(
            self._age_s(peer, table, now) < watch_s + STATUS_MARGIN_S
            for peer in self._live_near_peers(now)
        )

    def is_large_domain(self, now: float) -> bool:
        """Whether others may rely on this VM's word."""
        self._refresh(now)
        return self._is_large_domain

    def _refresh(self, now: float) -> None:
        """Looks who is there, once a moment: a report asks several times."""
        if now == self._refreshed_at:
            return
        self._refreshed_at = now
        most = max(self._max_independent_vms, dissemination.READERS_PER_DOMAIN)
        present = list(itertools.islice(self._live_near_peers(now), most))
        self._is_large_domain = len(present) >= self._max_independent_vms
        # Readers come first, so no more than those have to be looked at.
        own = dissemination.reader_order(self._peers.me)
        before = [
            peer
            for peer in present[: dissemination.READERS_PER_DOMAIN]
            if dissemination.reader_order(peer.row) < own
        ]
        is_one = len(before) < dissemination.READERS_PER_DOMAIN
        self._is_reader = not self._is_large_domain or is_one

    @staticmethod
    def _age_s(peer: reports.Peer, table: str, now: float) -> float:
        status = peer.report.tables.get(table)
        if status is None:
            return float("inf")
        return status.age_s + now - peer.received_at

    def _live_near_peers(
        self, now: float
    ) -> collections.abc.Iterator[reports.Peer]:
        """Returns near peers that are heard and stay, readers first.

        One by one: a report asks several times, mostly for the first few.
        """
        since = now - reports.PEER_TIMEOUT_S
        for peer in self._peers.topology.near:
            report = peer.report
            is_live = report is not None and peer.received_at > since
            if is_live and not report.is_leaving:
                yield peer
