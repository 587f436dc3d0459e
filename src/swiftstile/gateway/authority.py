"""Whether this VM may renew grants: who has a right to act on a key map.

Renewing must stop soon after the slots of a map were marked as leaving, also
where a VM is cut off. So a right to renew needs fresh word from others:

* the leader may renew while more than half of the registered VMs, itself
  included, told it within `FRESH_S` that they follow its leadership, and the
  store answered it within `STORELESS_S`;
* any other VM may while it heard the leader within `FRESH_S`, which has that
  right itself and hears this VM, and both know the same version of the map. So
  a VM that is silent, to the leader, for long has no right, whatever it hears.

Another leader counts on the former one having stopped when more than half of
the VMs told that they follow the new one: any two majorities share a VM. No
vote is stored and nothing is agreed on here; the store decides who leads.
"""

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import leadership
from swiftstile.gateway import renewals
from swiftstile.gateway import reports

__all__ = [
    "FRESH_S",
    "LEADER_STOPPED_AFTER_S",
    "STOPPED_AFTER_S",
    "STORELESS_S",
    "PeerAuthority",
]

# Word of a VM counts so long. Four heartbeats; three may be lost.
FRESH_S = 1.0
# Without the store a leader goes on for so long: more than the longest outage
# that the users know, 9 s. Counted from the last call that succeeded, which
# may have been under way for 4 s.
STORELESS_S = 16.0
# A VM follows a former leader until so long after that lost its right: both
# may count on word that is nearly stale. The rest is for messages under way.
STOPPED_AFTER_S = 2 * FRESH_S + 0.5
# A former leader itself gives no orders from so long after a majority followed
# another one: the newest word that it may still count on is older than that.
LEADER_STOPPED_AFTER_S = FRESH_S + 0.5


class PeerAuthority(renewals.Authority):
    """The right to renew, by what peers tell.

    Attributes:
        quorum_since: Since when a majority has followed this VM's leadership
            without a break; None while it doesn't.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        leads: leadership.Leadership,
        maps: renewals.KeyMaps,
        is_registered,
        store_contact_at,
    ):
        self._peers = peers
        self._leads = leads
        self._maps = maps
        self._is_registered = is_registered
        self._store_contact_at = store_contact_at
        self.quorum_since: float | None = None

    def tick(self, now: float) -> None:
        """Looks whether this VM's leadership is followed."""
        if not self._leads.is_leader or not self._has_quorum(now):
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now

    def _has_quorum(self, now: float) -> bool:
        # How old handed-on word is rests on the one that hands it on, which may
        # have stood still meanwhile.
        followers = sum(
            peer.reported_directly(now, FRESH_S)
            and peer.report.leader_version == self._leads.version
            for peer in self._peers.by_node.values()
        )
        registered = len(self._peers.quorum_members(now)) + 1
        return 2 * (followers + 1) > registered

    def is_able(self, now: float) -> bool:
        """See base class."""
        if not self._is_registered():
            return False
        if self._leads.is_leader:
            storeless_s = now - self._store_contact_at()
            return self._has_quorum(now) and storeless_s < STORELESS_S
        return self._able_leader(now) is not None

    def may_renew(self, service: ids.ServiceName) -> bool:
        """See base class."""
        now = clocks.monotonic()
        if self._leads.is_leader:
            return self.is_able(now)
        leader = self._able_leader(now)
        if leader is None or not self._is_registered():
            return False
        key_map = self._maps.by_service.get(service)
        told = leader.report.versions.get(service)
        return key_map is not None and told == key_map.version

    def _able_leader(self, now: float) -> reports.Peer | None:
        """Returns the leader, if it gives this VM the right to renew."""
        leader = self._leader(now)
        if (
            leader is None
            or not leader.report.can_renew
            or not leader.receives_us
        ):
            return None
        return leader

    def _leader(self, now: float) -> reports.Peer | None:
        row = self._leads.row
        if row is None:
            return None
        peer = self._peers.by_node.get(row.node)
        if peer is None or not peer.reported_directly(now, FRESH_S):
            return None
        is_same = (
            peer.report.is_leader
            and peer.row.incarnation == row.incarnation
            and peer.report.leader_version == self._leads.version
        )
        return peer if is_same else None
