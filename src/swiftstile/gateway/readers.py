"""Which VMs follow the platform's store themselves: decisions only.

Each call to the store has its price, and with many VMs most calls would bring
the same rows. So where a failure domain has many VMs, a few of them follow the
store and tell the others of newer rows; the others ask the store only while
nobody tells them anything fresh. The load that this answers: 77 to 89 VMs that
each followed three tables made 7,200 calls in half a minute, a third of what
the users' worth was.
"""

from swiftstile.gateway import circulation
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
        self._near_at = -1.0
        self._near_then: list[reports.Peer] = []

    def is_reader(self, now: float) -> bool:
        """Whether this VM is one of those that the others rely on."""
        near = self._near(now)
        return (
            len(near) < self._few_vms or self._rank(near) < circulation.READERS
        )

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
            for peer in self._near(now)
        )

    def is_many(self, now: float) -> bool:
        """Whether others may rely on this VM's word."""
        return len(self._near(now)) >= self._few_vms

    @staticmethod
    def _age_s(peer: reports.Peer, table: str, now: float) -> float:
        told = peer.report.tables.get(table)
        if told is None:
            return float("inf")
        return told.age_s + now - peer.heard_at

    def _near(self, now: float) -> list[reports.Peer]:
        """Returns near peers that are heard; a report asks several times."""
        if now != self._near_at:
            self._near_at = now
            self._near_then = self._look_near(now)
        return self._near_then

    def _look_near(self, now: float) -> list[reports.Peer]:
        domain = self._peers.me.domain
        return [
            peer
            for peer in self._peers.heard(now)
            if peer.row.domain == domain and not peer.report.is_leaving
        ]

    def _rank(self, near: list[reports.Peer]) -> int:
        """Returns how many near peers come before this VM as readers."""
        own = circulation.reader_order(self._peers.me)
        return sum(circulation.reader_order(peer.row) < own for peer in near)
