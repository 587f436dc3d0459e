"""Decides whether this VM has the authority to renew grants.

Renewals must stop soon after slots of a map were marked as leaving, even on a
VM that is partitioned. So the authority to renew requires recent reports:

* The leader may renew while more than half of the registered VMs, itself
  included, have reported within `MAX_REPORT_AGE_S` that they follow its
  leadership, and the store has answered it within `MAX_STORE_OUTAGE_S`.
* Any other VM may renew while it has received a report of the leader within
  `MAX_REPORT_AGE_S` by which the leader has the authority itself and receives
  this VM's reports, and both know the same version of the map. So a VM whose
  reports don't reach the leader has no authority, whatever it receives.

A new leader relies on the former one having stopped once more than half of the
VMs have reported that they follow the new one, as any two majorities share a
VM. No votes are stored and there is no consensus protocol here; the store
decides which VM leads.
"""

import collections.abc

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import store_versions

__all__ = [
    "LEADER_STOPPED_AFTER_S",
    "MAX_REPORT_AGE_S",
    "MAX_STORE_OUTAGE_S",
    "STOPPED_AFTER_S",
    "PeerAuthority",
]

# A report of a VM is valid for this long: four heartbeats, of which three may
# be lost.
MAX_REPORT_AGE_S = 1.0
# A leader keeps its authority for this long without the store: more than the
# longest outage known to the users, 9 s. Counted from the last call that
# succeeded, which may have taken 4 s.
MAX_STORE_OUTAGE_S = 16.0
# A VM follows a former leader for up to this long after that leader lost its
# authority: both may rely on reports that have nearly expired. The rest allows
# for messages in flight.
STOPPED_AFTER_S = 2 * MAX_REPORT_AGE_S + 0.5
# A former leader itself sends no commands later than this after a majority has
# followed another one: by then the newest report that it may still rely on has
# expired.
LEADER_STOPPED_AFTER_S = MAX_REPORT_AGE_S + 0.5


class PeerAuthority(renewals.Authority):
    """The authority to renew, derived from the reports of peers.

    Attributes:
        quorum_since: Since when a majority has followed this VM's leadership
            without a break; None if there is no such majority.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        leadership: leadership_lib.Leadership,
        maps: renewals.KeyMaps,
        is_registered,
        store_contact_at,
        generation: collections.abc.Callable[[], store_versions.Generation],
    ):
        self._peers = peers
        self._leadership = leadership
        self._maps = maps
        self._is_registered = is_registered
        self._store_contact_at = store_contact_at
        self._generation = generation
        self.quorum_since: float | None = None
        # When this VM last had the authority to renew, by service.
        self._authorised_at: dict[ids.ServiceName, float] = {}

    def tick(self, now: float) -> None:
        """Updates since when a majority has followed this VM's leadership."""
        if not self._leadership.is_leader or not self._has_quorum(now):
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now
        for service in self._maps.by_service:
            if self.may_renew(service):
                self._authorised_at[service] = now

    def is_in_force(self, key_map: keymap.KeyMap) -> bool:
        """Whether a leader may renew by a map, and let others do so.

        After a return of the store it has to confirm the map first: another VM
        may have led meanwhile and moved slots of which this one knows nothing.
        """
        generation = store_versions.generation_of(key_map.version)
        return key_map.is_confirmed and generation >= self._generation()

    def authorised_at(self, service: ids.ServiceName) -> float:
        """Returns when this VM last had the authority to renew a service.

        Minus infinity if it never had.
        """
        return self._authorised_at.get(service, float("-inf"))

    def _has_quorum(self, now: float) -> bool:
        # The age of a forwarded report depends on the VM that forwards it,
        # which may have been paused meanwhile, so only direct reports count.
        followers = sum(
            peer.reported_directly(now, MAX_REPORT_AGE_S)
            and peer.report.leader_version == self._leadership.version
            for peer in self._peers.by_node.values()
        )
        registered = len(self._peers.quorum_members(now)) + 1
        return 2 * (followers + 1) > registered

    def is_authorised(self, now: float) -> bool:
        """See base class."""
        if not self._is_registered():
            return False
        if self._leadership.is_leader:
            store_outage_s = now - self._store_contact_at()
            return self._has_quorum(now) and store_outage_s < MAX_STORE_OUTAGE_S
        return self._authorising_leader(now) is not None

    def may_renew(self, service: ids.ServiceName) -> bool:
        """See base class."""
        now = clocks.monotonic()
        key_map = self._maps.by_service.get(service)
        if key_map is None or not key_map.is_confirmed:
            return False
        if self._leadership.is_leader:
            return self.is_in_force(key_map) and self.is_authorised(now)
        leader = self._authorising_leader(now)
        if leader is None or not self._is_registered():
            return False
        return leader.report.versions.get(service) == key_map.version

    def _authorising_leader(self, now: float) -> reports.Peer | None:
        """Returns the leader, if it gives this VM the authority to renew."""
        leader = self._leader(now)
        if (
            leader is None
            or not leader.report.can_renew
            or not leader.receives_us
        ):
            return None
        return leader

    def _leader(self, now: float) -> reports.Peer | None:
        row = self._leadership.row
        if row is None:
            return None
        peer = self._peers.by_node.get(row.node)
        if peer is None or not peer.reported_directly(now, MAX_REPORT_AGE_S):
            return None
        is_same = (
            peer.report.is_leader
            and peer.row.incarnation == row.incarnation
            and peer.report.leader_version == self._leadership.version
        )
        return peer if is_same else None
