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
    "FEW_VMS",
    "FEW_VMS_FOR_STATE",
    "READER_WATCH_S",
    "WORD_MARGIN_S",
    "StoreReaders",
]

# Up to so many other VMs in a failure domain each follows the store itself: it
# saves little there, and nothing depends on peers.
FEW_VMS = 6
# The same for our own table. Its news comes most often, and none has to be in
# force within a time: a VM renews only by the version that its leader tells.
FEW_VMS_FOR_STATE = 2
# How long a reader's call waits for changes, for tables that have to be
# followed at once. Short, since its answers prove that it reaches the store.
READER_WATCH_S = 1.0
# Word of a reader counts while its last answer is no older than its watch and
# this: a round trip and a report. With one more round trip of our own that is
# below the 2 s in which a configuration has to be in force.
WORD_MARGIN_S = 0.4


class StoreReaders:
    """Chooses the VMs that follow the store.

    Args:
        peers: The other VMs.
        is_leader: Returns whether this VM plans the key maps; it always
            follows the store itself.
        few_vms: Up to so many other VMs in a domain each follows itself.
    """

    def __init__(self, peers: gossip.Peers, is_leader, few_vms: int = FEW_VMS):
        self._peers = peers
        self._is_leader = is_leader
        self._few_vms = few_vms
        # What was seen at a look, and when that was.
        self._looked_at = -1.0
        self._is_many = self._is_reader = False

    def is_reader(self, now: float) -> bool:
        """Whether this VM is one of those that the others rely on."""
        self._look(now)
        return self._is_reader

    def follows_itself(self, table: str, watch_s: float, now: float) -> bool:
        """Whether this VM has to ask the store for a table itself.

        Args:
            table: Name of the table.
            watch_s: How long readers' calls for it wait for changes.
            now: The time.
        """
        if self._is_leader() or self.is_reader(now):
            return True
        return not any(
            self._age_s(peer, table, now) < watch_s + WORD_MARGIN_S
            for peer in self._present(now)
        )

    def is_many(self, now: float) -> bool:
        """Whether others may rely on this VM's word."""
        self._look(now)
        return self._is_many

    def _look(self, now: float) -> None:
        """Looks who is there, once a moment: a report asks several times."""
        if now == self._looked_at:
            return
        self._looked_at = now
        most = max(self._few_vms, dissemination.READERS_PER_DOMAIN)
        present = list(itertools.islice(self._present(now), most))
        self._is_many = len(present) >= self._few_vms
        # Readers come first, so no more than those have to be looked at.
        own = dissemination.reader_order(self._peers.me)
        before = [
            peer
            for peer in present[: dissemination.READERS_PER_DOMAIN]
            if dissemination.reader_order(peer.row) < own
        ]
        is_one = len(before) < dissemination.READERS_PER_DOMAIN
        self._is_reader = not self._is_many or is_one

    @staticmethod
    def _age_s(peer: reports.Peer, table: str, now: float) -> float:
        told = peer.report.tables.get(table)
        if told is None:
            return float("inf")
        return told.age_s + now - peer.received_at

    def _present(self, now: float) -> collections.abc.Iterator[reports.Peer]:
        """Returns near peers that are heard and stay, readers first.

        One by one: a report asks several times, mostly for the first few.
        """
        since = now - reports.PEER_TIMEOUT_S
        for peer in self._peers.topology.near:
            report = peer.report
            is_heard = report is not None and peer.received_at > since
            if is_heard and not report.is_leaving:
                yield peer
