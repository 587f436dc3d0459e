"""Elects the one VM that assigns keys to upstreams.

Every write of a key map has a condition on the version of the leader's row, so
the writes of a former leader fail as soon as another VM has taken over. A
leader needs no lease: the only thing that it may do without the store is to ask
upstreams to release keys that are marked in the store.
"""

import asyncio
import random

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import settle
from swiftstile.gateway import store_versions
from swiftstile.gateway import upstream_links

__all__ = ["LEADER_KEY", "LeaderRow", "Leadership"]

LEADER_KEY = "leader"
# A leader that hasn't reached the store for this long is replaced, if other VMs
# reach it.
STORE_OUTAGE_S = 1.5
# Time for the leader to reach the store again after an outage that affected
# this VM as well: twice the longest delay between its attempts. Each change of
# the leader delays moves by the wait for the former one's actions.
LEADER_RECONNECT_S = 1.0
# A leader whose failure domain is partitioned isn't replaced by a minority of
# the VMs, unless it has been unresponsive for this long.
LEADER_TIMEOUT_S = 4.0
# Interval between attempts to take over, so that VMs don't race repeatedly.
RETRY_INTERVAL_S = 0.5
# Maximum random delay of each attempt, for the same reason.
JITTER_S = 0.25
# Maximum random delay per VM in large fleets. The report of a new leader takes
# about 0.1 s to reach all VMs; the first attempt is made after about this time,
# whatever the number of VMs.
JITTER_PER_VM_S = 0.01
# Extra delay of VMs with slow links over the longest delay of all others, so
# that they can receive the report of one of those first. A leader sends reports
# to all VMs, which must not saturate its link.
NARROW_LINK_DELAY_S = 0.2
# Delay after the start, until reports of other VMs have arrived.
STARTUP_DELAY_S = 0.4


class LeaderRow(msgspec.Struct, array_like=True):
    """The row that names the leader.

    Attributes:
        node: The VM; empty after a leader stepped down.
        incarnation: The incarnation of the VM that leads.
        attempt: Makes each write of the row unique.
        vacated: Version of the previous row, if a leader replaced it by this
            one when it stepped down.
    """

    node: str
    incarnation: str
    attempt: str
    vacated: int = interfaces.NEW_ROW


class Leadership:
    """Tracks the leader and takes over when there is none.

    Attributes:
        row: The latest row received from the store.
        version: Its version.
        predecessor: While this VM leads, the version of the row of the VM that
            led directly before.
        former_leader: The VM that led directly before, where it is known.
        led_since: When this VM became leader, on the monotonic clock.
        led_in: Generation of the store in which it became leader.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
        is_isolated: upstream_links.IsIsolated = upstream_links.never_isolated,
    ):
        self._peers = peers
        self._table = table
        self._follower = follower
        self._is_isolated = is_isolated
        self._started = clocks.monotonic()
        self._retry_at = 0.0
        self._unresponsive_since: float | None = None
        self._applied_at = self._started
        self.row: LeaderRow | None = None
        self.version = interfaces.NEW_ROW
        self.predecessor = interfaces.NEW_ROW
        self.former_leader: model.NodeId | None = None
        self.led_since = 0.0
        self.led_in = store_versions.Generation(0)

    def apply(self, change: interfaces.Change) -> None:
        """Applies a change of the leader's row, unless it is known.

        A row that this VM wrote is received again with the table's changes.
        That isn't a change of the leader: this VM isn't its own predecessor.
        """
        was_leader = self.is_leader
        if change.version <= self.version:
            return
        if self.row is not None and self.row.node:
            self.former_leader = model.NodeId(self.row.node)
        before, vacated = self.version, self.row.vacated if self.row else 0
        self.version = change.version
        self._applied_at = clocks.monotonic()
        self._unresponsive_since = None
        self.row = None
        if change.value is not None:
            self.row = msgspec.msgpack.decode(change.value, type=LeaderRow)
        logs.logger.info(
            "leader changed",
            leader=self.row.node if self.row else "",
            version=store_versions.number_of(self.version),
            generation=store_versions.generation_of(self.version),
        )
        if was_leader and not self.is_leader:
            logs.logger.info("no longer leading")
        if self.is_leader and not was_leader:
            # This VM's write had a condition on the previous version, so no
            # other VM led in between.
            self.predecessor = vacated or before
            self.led_since = self._applied_at
            self.led_in = store_versions.generation_of(self.version)

    @property
    def is_leader(self) -> bool:
        """Whether this incarnation of this VM leads, as far as it knows."""
        row = self.row
        return row is not None and row.incarnation == self._peers.me.incarnation

    def can_write(self, now: float) -> bool:
        """Whether the leader reaches the store, as far as this VM knows.

        Without a known leader, this VM's own access to the store counts, as a
        new leader needs the store, too.
        """
        if not self.is_leader:
            for peer in self._peers.by_node.values():
                if peer.claims_leadership and peer.is_live(now):
                    failing_s = peer.report.store_unresponsive_s
                    return failing_s < STORE_OUTAGE_S
        return self._follower.failing_s(now) < STORE_OUTAGE_S

    def condition(self) -> interfaces.Condition:
        """Returns a condition that fails once this VM has been replaced."""
        version = interfaces.NEW_ROW if self.row is None else self.version
        return interfaces.Condition(LEADER_KEY, version)

    async def tick(self) -> None:
        """Takes over if there is no leader."""
        now = clocks.monotonic()
        if self.is_leader or not self._follower.is_loaded:
            return
        if now - self._started < STARTUP_DELAY_S or now < self._retry_at:
            return
        if not self._is_vacant(now) or self._follower.failing_since is not None:
            return
        if self._is_isolated(now) and self._others_reach_upstreams(now):
            return
        await asyncio.sleep(self._takeover_delay_s())
        if self._is_vacant(clocks.monotonic()):
            await self._take_over()
        self._retry_at = clocks.monotonic() + RETRY_INTERVAL_S

    def _takeover_delay_s(self) -> float:
        """Returns the random delay before an attempt to take over."""
        places, vms = self._peers.topology, len(self._peers.by_node) + 1
        wide = places.high_bandwidth_count
        wide_jitter_s = max(JITTER_S, JITTER_PER_VM_S * wide)
        if not places.is_low_bandwidth(self._peers.me):
            return random.uniform(0, wide_jitter_s)
        jitter_s = max(JITTER_S, JITTER_PER_VM_S * (vms - wide))
        delay_s = wide_jitter_s + NARROW_LINK_DELAY_S
        return delay_s + random.uniform(0, jitter_s)

    def _is_vacant(self, now: float) -> bool:
        if self.row is None or not self.row.node:
            return True
        leader = self._peers.by_node.get(self.row.node)
        if leader is None or leader.row.incarnation != self.row.incarnation:
            return True
        if leader.is_live(now):
            self._unresponsive_since = None
            return self._cannot_lead(leader.report, now)
        if self._unresponsive_since is None:
            # In large fleets, a VM of another domain sends no reports to this
            # one before it leads.
            self._unresponsive_since = max(
                leader.received_at, leader.run_began_at, self._applied_at
            )
        known = self._peers.quorum_members(now)
        live_count = self._peers.dissemination.live_count(now)
        unresponsive_s = now - self._unresponsive_since
        if unresponsive_s < reports.PEER_TIMEOUT_S:
            return False
        return 2 * live_count > len(known) or unresponsive_s > LEADER_TIMEOUT_S

    def _cannot_lead(self, report: reports.Report, now: float) -> bool:
        """Whether a responsive leader is currently unable to lead."""
        if report.is_leaving:
            return True
        if report.is_isolated and not self._is_isolated(now):
            # It can't reclaim keys from their owners.
            return True
        has_just_reconnected = (
            now - self._follower.recovered_at < LEADER_RECONNECT_S
        )
        return (
            report.store_unresponsive_s > STORE_OUTAGE_S
            and not has_just_reconnected
        )

    def _others_reach_upstreams(self, now: float) -> bool:
        return any(not peer.is_isolated for peer in self._peers.live_peers(now))

    async def _take_over(self) -> None:
        me = self._peers.me
        await self._write(LeaderRow(me.node, me.incarnation, _attempt()))

    async def step_down(self) -> None:
        """Gives up leadership, so that another VM can take over at once."""
        if self.is_leader:
            await self._write(LeaderRow("", "", _attempt(), self.version))

    async def _write(self, row: LeaderRow) -> None:
        value = msgspec.msgpack.encode(row)
        try:
            version = await settle.settled_write(
                self._table,
                [self.condition()],
                interfaces.Write(LEADER_KEY, value),
            )
        except errors.PlatformError as error:
            logs.logger.info("leader row not written", error=str(error))
            return
        self.apply(interfaces.Change(LEADER_KEY, value, version))


def _attempt() -> str:
    return ids.new_attempt_id()
