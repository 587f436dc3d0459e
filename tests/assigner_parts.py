"""The components of a leader, with a control interface that records calls."""

import asyncio
import types

from swiftstile import clocks
from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import key_assigner
from swiftstile.gateway import key_load
from swiftstile.gateway import keymap
from swiftstile.gateway import reclaim
from swiftstile.gateway import reclaim_state
from swiftstile.gateway import renewals
from swiftstile.gateway import slotplan
from swiftstile.gateway import speeds
from swiftstile.gateway import succession
from tests import gateway_builders as builders


class Control(interfaces.UpstreamControl):
    """Records calls; `during` runs while a grant is in flight."""

    def __init__(self):
        self.grants: list[tuple] = []
        # Grants that let an owner keep a slot that is leaving it.
        self.kept: list[tuple] = []
        self.releases: list[tuple] = []
        # The same calls with their full key ranges.
        self.released: list[tuple] = []
        self.during = None
        # Runs while the connection opens, before anything is sent.
        self.before_send = None
        self.is_unreachable = False
        self.is_unresponsive = False

    async def grant(
        self, address, upstream, keys, fence, hold_s, token, on_send
    ):
        if self.before_send is not None:
            self.before_send()
        if self.is_unreachable:
            raise errors.PeerUnreachableError("refused", step="connect")
        on_send()
        self.grants.append((upstream, keys.first, fence))
        if hold_s == reclaim.KEEP_HOLD_S:
            self.kept.append((upstream, keys.first, fence, token))
        if self.during is not None:
            self.during()
        if self.is_unresponsive:
            raise errors.PeerTimeoutError("timed out", step="grant")
        return interfaces.GrantResult.HELD

    async def release(self, address, upstream, keys, fence):
        if self.is_unreachable:
            raise errors.PeerUnreachableError("refused", step="connect")
        self.releases.append((upstream, keys.first, fence))
        self.released.append((upstream, keys, fence))
        return "warm"


class Parts:
    """The `KeyAssigner` of a leader, with two upstreams.

    Args:
        vms: Number of VMs that read its maps, its own included.
        table: Its table; by default one in memory.
        control: Its upstreams; by default they carry out all commands.
        max_ranges: Ranges of keys that the fleet can renew.
    """

    def __init__(
        self,
        vms: int = 1,
        table: builders.MemoryTable | None = None,
        control: Control | None = None,
        max_ranges: int = 32,
    ):
        self.table = table or builders.MemoryTable()
        self.maps = renewals.KeyMaps()
        self.control = control or Control()
        self.target_table = builders.target_table(
            builders.upstream("u-1"), builders.upstream("u-2")
        )
        self.leadership = types.SimpleNamespace(
            is_leader=True,
            condition=lambda: interfaces.Condition("leader", 0),
            version=1,
            predecessor=0,
            former_leader=None,
            led_since=0.0,
            row=None,
        )
        self.authority = types.SimpleNamespace(
            is_authorised=lambda now: True,
            may_renew=lambda service: True,
            quorum_since=0.0,
        )
        peers = gossip.Peers(builders.node_row(), lambda *_: None)
        self.peers = peers
        for number in range(2, vms + 1):
            row = builders.node_row(f"vm-{number}")
            peers.apply(row, row.node, 0.0)
        meters = metrics.Meters()
        self.renewer = renewals.GrantRenewer(
            self.maps,
            self.target_table,
            peers,
            self.control,
            self.authority,
            meters,
        )
        follower = types.SimpleNamespace(
            failing_since=None,
            version=0,
            generation=0,
            generation_seen_at=0.0,
            store_answered_at=float("-inf"),
            rows={},
        )
        self.key_load = key_load.KeyLoadTable()
        self.speeds = speeds.SpeedTable()
        self.work_s: float | None = None
        self.max_ranges = max_ranges
        self.plan = slotplan.SlotPlan(
            builders.LOOKUPS,
            self.target_table,
            self.speeds,
            self.key_load,
            lambda service: self.work_s,
            0.0,
            max_ranges=lambda: self.max_ranges,
        )
        self.assigner = key_assigner.KeyAssigner(
            builders.LOOKUPS,
            self.maps,
            self.target_table,
            self.plan,
            peers,
            self.renewer,
            self.leadership,
            succession.Succession(self.leadership, self.maps),
            self.table,
            follower,
            self.control,
            self.authority,
            65536,
            clocks.monotonic(),
            meters,
        )

    def start(
        self, leaving=(0, 1), started_ms=None, owners=None
    ) -> keymap.KeyMap:
        """Writes a map in which u-1 owns all slots and some are leaving.

        Args:
            leaving: Slots that are leaving.
            started_ms: Start times of the owners.
            owners: Owners by slot, instead of u-1.
        """
        owners = owners or dict.fromkeys(range(slotplan.SLOT_COUNT), "u-1")
        empty = keymap.KeyMap.empty(slotplan.SLOT_COUNT)
        made = empty.assign({}, owners, started_ms)
        made = made.mark_leaving(leaving)
        key = key_assigner.MAP_PREFIX + builders.LOOKUPS
        write = interfaces.Write(key, made.encode("x"))
        made.version = self.table.apply([], [write])
        self.maps.put(builders.LOOKUPS, made, 0.0)
        return made

    def release(self, current: keymap.KeyMap, is_fenced: bool = True):
        source = reclaim_state.SlotReclaim(current.version, 0.0)
        if is_fenced:
            source.note_fencing(range(2))
        target = self.target_table.by_id["u-1"]
        asyncio.run(
            self.assigner._reclaimer.release(
                current, target, source, [[range(1, 2)], [range(1)]]
            )
        )
        return source
