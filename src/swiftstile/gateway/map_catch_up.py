"""Gets key maps that the leader reports while calls to the store are silent.

The store may drop a long poll without an answer, and only the poll's timeout
ends it. Meanwhile VMs with an older key map can't renew grants.
"""

import collections.abc

from swiftstile import clocks
from swiftstile import ids
from swiftstile import logs
from swiftstile import pacing
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import readers
from swiftstile.gateway import relay
from swiftstile.gateway import reports
from swiftstile.gateway import store_polling

__all__ = ["MapCatchUp"]

# Interval of checks; other periodic work of the daemon has the same.
_TICK_S = 0.1


class MapCatchUp:
    """Compares the leader's versions with the rows of the `state` table.

    Only readers, and a VM that has taken over from them, act: the others fetch
    rows from these.

    Args:
        peers: The other VMs.
        follower: Follows the gateway's own table.
        store_readers: Chooses the VMs that read that table.
        row_relay: Fetches rows from other VMs.
        own_versions: Returns the versions of the key maps that this VM reports
            while it leads, by service; None while it doesn't lead.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        follower: follow.TableFollower,
        store_readers: readers.StoreReaders,
        row_relay: relay.RowRelay,
        own_versions: collections.abc.Callable[
            [], dict[ids.ServiceName, int] | None
        ],
    ):
        self._peers = peers
        self._follower = follower
        self._readers = store_readers
        self._relay = row_relay
        self._own_versions = own_versions
        self._versions = store_polling.ReportedVersions()

    async def run(self) -> None:
        """Checks for overdue rows until cancelled."""
        while True:
            await pacing.sleep_aligned(_TICK_S)
            self.tick(clocks.monotonic())

    def on_report(self, peer: reports.Peer, now: float) -> None:
        """Records the versions in a report of the leader."""
        report = peer.report
        if report.is_leader:
            versions = [*report.versions.values(), report.leader_version]
            self._versions.record_reported(max(versions), now)
            if self._versions.newest:
                self.tick(now)

    def tick(self, now: float) -> None:
        """Calls the store anew and fetches rows if some are overdue."""
        follower, versions = self._follower, self._versions
        own_versions = self._own_versions()
        if own_versions:
            versions.record_reported(max(own_versions.values()), now)
        follows_peers = follower.follows_peers(now)
        versions.record_stored(
            follower.version if follows_peers else follower.store_version
        )
        if not self._acts(now):
            # A VM that waits for its turn to call the store isn't covered by
            # peers either; if all such VMs acted, all would ask the leader.
            versions.record_stored(follower.version)
            return
        if not versions.newest or not follower.is_loaded:
            return
        overdue_s = versions.overdue_s(now)
        if overdue_s <= store_polling.MAP_OVERDUE_S:
            return
        if follower.call_anew(now, store_polling.MAP_OVERDUE_S):
            logs.logger.info(
                "long poll of the store abandoned",
                table=follower.name,
                known=follower.version,
                reported=versions.newest,
                overdue_s=round(overdue_s, 3),
            )
        delay_s = store_polling.READER_STAGGER_S * self._readers.rank(now)
        if (
            follower.version < versions.newest
            and overdue_s > store_polling.MAP_OVERDUE_S + delay_s
        ):
            self._relay.fetch(follower, self._leader(now), now)

    def _acts(self, now: float) -> bool:
        """Whether this VM reads the store, or does so in the readers' place."""
        return self._readers.always_reads(now) or self._follower.is_substitute(
            now
        )

    def _leader(self, now: float) -> reports.Peer | None:
        """Returns the live VM that claims to lead, by the newest row.

        This VM may lack the row that names the leader. Rows of a former leader
        are as valid as those of any other VM.
        """
        claiming = [
            peer
            for peer in self._peers.by_node.values()
            if peer.claims_leadership and peer.is_live(now)
        ]
        return max(
            claiming, key=lambda peer: peer.report.leader_version, default=None
        )
