"""The one VM that plans who owns which keys, and how it is found.

Every write of a key map names the version of the leader's row in its
conditions, so the writes of a former leader fail from the moment another took
over. Leading needs no lease: what a leader may do without the store is
nothing but asking upstreams to release keys that the store has marked.
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

__all__ = ["LEADER_KEY", "LeaderRow", "Leadership"]

LEADER_KEY = "leader"
# A leader without the store for this long is replaced if others reach it.
STORELESS_S = 1.5
# After an outage of the store for this VM, too, the leader gets so long to
# reach it again: twice the longest pause between its tries. Each change of the
# leader makes moves wait for what the former one may have done.
LEADER_RETURNS_S = 1.0
# A leader whose failure domain is cut off isn't replaced by the smaller part,
# unless it is silent for so long.
LONG_SILENCE_S = 4.0
# Between two tries to take over, so that VMs don't race again and again.
TRY_PAUSE_S = 0.5
# Each VM waits up to this long at random before it tries, for the same reason.
SPREAD_S = 0.25
# The same for each VM, where they are many. Word of a new leader takes some
# 0.1 s to reach all; the first of them tries about this soon, however many.
SPREAD_PER_VM_S = 0.01
# VMs with narrow links wait so much longer than any other, until word of one of
# these came. A leader tells all VMs, and its link must not fill.
NARROW_PAUSE_S = 0.2
# After the start, until reports of others came in.
START_PAUSE_S = 0.4


class LeaderRow(msgspec.Struct, array_like=True):
    """Who leads.

    Attributes:
        node: The VM; empty after a leader stepped down.
        incarnation: The run of it that leads.
        attempt: Makes each writing of the row unique.
        vacated: Version of the row that a leader replaced by this one when it
            stepped down.
    """

    node: str
    incarnation: str
    attempt: str
    vacated: int = interfaces.NEW_ROW


class Leadership:
    """Knows who leads and takes over when nobody does.

    Attributes:
        row: The row as the store last told it.
        version: Its version.
        predecessor: Version of the row of the one that led directly before
            this VM, while this VM leads.
        former_leader: That VM, as far as it is known.
        led_since: When this VM began to lead, on the steady clock.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
    ):
        self._peers = peers
        self._table = table
        self._follower = follower
        self._started = clocks.monotonic()
        self._try_at = 0.0
        self._silent_since: float | None = None
        self._applied_at = self._started
        self.row: LeaderRow | None = None
        self.version = interfaces.NEW_ROW
        self.predecessor = interfaces.NEW_ROW
        self.former_leader: model.NodeId | None = None
        self.led_since = 0.0

    def apply(self, change: interfaces.Change) -> None:
        """Takes in the leader's row, unless it is known.

        A row that this VM wrote comes again with the table's changes. It is no
        change of the leader: this VM isn't its own predecessor.
        """
        was = self.is_leader
        if change.version <= self.version:
            return
        if self.row is not None and self.row.node:
            self.former_leader = model.NodeId(self.row.node)
        before, vacated = self.version, self.row.vacated if self.row else 0
        self.version = change.version
        self._applied_at = clocks.monotonic()
        self._silent_since = None
        self.row = None
        if change.value is not None:
            self.row = msgspec.msgpack.decode(change.value, type=LeaderRow)
        logs.logger.info(
            "leader changed",
            leader=self.row.node if self.row else "",
            version=self.version,
        )
        if was and not self.is_leader:
            logs.logger.info("no longer leading")
        if self.is_leader and not was:
            # This VM's write was done on condition of the version before, so
            # nobody led in between.
            self.predecessor = vacated or before
            self.led_since = self._applied_at

    @property
    def is_leader(self) -> bool:
        """Whether this run of this VM leads, as far as it knows."""
        row = self.row
        return row is not None and row.incarnation == self._peers.me.incarnation

    def condition(self) -> interfaces.Condition:
        """Returns the condition that makes a write fail once replaced."""
        return interfaces.Condition(LEADER_KEY, self.version)

    async def tick(self) -> None:
        """Takes over if nobody leads."""
        now = clocks.monotonic()
        if self.is_leader or not self._follower.is_loaded:
            return
        if now - self._started < START_PAUSE_S or now < self._try_at:
            return
        if not self._is_vacant(now) or self._follower.failing_since is not None:
            return
        await asyncio.sleep(self._pause_s())
        if self._is_vacant(clocks.monotonic()):
            await self._take_over()
        self._try_at = clocks.monotonic() + TRY_PAUSE_S

    def _pause_s(self) -> float:
        """Returns how long to wait before a try to take over."""
        places, vms = self._peers.topology, len(self._peers.by_node) + 1
        wide = places.high_bandwidth_count
        wide_spread_s = max(SPREAD_S, SPREAD_PER_VM_S * wide)
        if not places.is_low_bandwidth(self._peers.me):
            return random.uniform(0, wide_spread_s)
        spread_s = max(SPREAD_S, SPREAD_PER_VM_S * (vms - wide))
        after_s = wide_spread_s + NARROW_PAUSE_S
        return after_s + random.uniform(0, spread_s)

    def _is_vacant(self, now: float) -> bool:
        if self.row is None or not self.row.node:
            return True
        leader = self._peers.by_node.get(self.row.node)
        if leader is None or leader.row.incarnation != self.row.incarnation:
            return True
        if leader.is_live(now):
            self._silent_since = None
            return self._gave_up(leader.report, now)
        if self._silent_since is None:
            # Where VMs are many, one of another domain says nothing here before
            # it leads.
            self._silent_since = max(
                leader.received_at, leader.run_began_at, self._applied_at
            )
        known = self._peers.quorum_members(now)
        heard = self._peers.dissemination.live_count(now)
        silent_s = now - self._silent_since
        if silent_s < reports.PEER_TIMEOUT_S:
            return False
        return 2 * heard > len(known) or silent_s > LONG_SILENCE_S

    def _gave_up(self, report: reports.Report, now: float) -> bool:
        """Whether a leader that is heard can't lead for now."""
        if report.is_leaving:
            return True
        is_just_back = now - self._follower.recovered_at < LEADER_RETURNS_S
        return report.store_unresponsive_s > STORELESS_S and not is_just_back

    async def _take_over(self) -> None:
        me = self._peers.me
        await self._write(LeaderRow(me.node, me.incarnation, _attempt()))

    async def step_down(self) -> None:
        """Lets another VM lead at once."""
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
