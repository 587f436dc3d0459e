"""The leader's parts, with an upstream control that notes its calls."""

import asyncio
import types

from swiftstile import clocks
from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import gossip
from swiftstile.gateway import heat
from swiftstile.gateway import interfaces
from swiftstile.gateway import keeper
from swiftstile.gateway import keymap
from swiftstile.gateway import renewals
from swiftstile.gateway import slotplan
from swiftstile.gateway import speeds
from swiftstile.gateway import succession
from swiftstile.gateway import takeback
from tests import gateway_builders as builders


class Control(interfaces.UpstreamControl):
    """Notes calls; `during` runs while the first grant is under way."""

    def __init__(self):
        self.grants: list[tuple] = []
        # Those of the grants that keep a slot where it was.
        self.kept: list[tuple] = []
        self.releases: list[tuple] = []
        # The same calls with all their keys.
        self.released: list[tuple] = []
        self.during = None
        # Runs while a connection is being opened, before anything is sent.
        self.before_send = None
        self.is_unreachable = False
        self.is_silent = False

    async def grant(
        self, address, upstream, keys, fence, hold_s, token, on_send
    ):
        if self.before_send is not None:
            self.before_send()
        if self.is_unreachable:
            raise errors.PeerUnreachableError("refused", step="connect")
        on_send()
        self.grants.append((upstream, keys.first, fence))
        if hold_s == takeback.KEEP_HOLD_S:
            self.kept.append((upstream, keys.first, fence, token))
        if self.during is not None:
            self.during()
        if self.is_silent:
            raise errors.PeerTimeoutError("silent", step="grant")
        return interfaces.GrantResult.HELD

    async def release(self, address, upstream, keys, fence):
        if self.is_unreachable:
            raise errors.PeerUnreachableError("refused", step="connect")
        self.releases.append((upstream, keys.first, fence))
        self.released.append((upstream, keys, fence))
        return "warm"


class Parts:
    """A keeper that leads two upstreams.

    Args:
        vms: VMs that read its maps, its own included.
        table: Its table; one in memory if there is none.
        control: Its upstreams; they do as they are told if there is none.
        most_ranges: Ranges of keys that the fleet can renew.
    """

    def __init__(
        self,
        vms: int = 1,
        table: builders.MemoryTable | None = None,
        control: Control | None = None,
        most_ranges: int = 32,
    ):
        self.table = table or builders.MemoryTable()
        self.maps = renewals.KeyMaps()
        self.control = control or Control()
        self.book = builders.book(
            builders.upstream("u-1"), builders.upstream("u-2")
        )
        self.leads = types.SimpleNamespace(
            is_leader=True,
            condition=lambda: interfaces.Condition("leader", 0),
            version=1,
            predecessor=0,
            former_leader=None,
            led_since=0.0,
            row=None,
        )
        self.right = types.SimpleNamespace(
            is_able=lambda now: True,
            may_renew=lambda service: True,
            quorum_since=0.0,
        )
        peers = gossip.Peers(builders.node_row(), lambda *_: None)
        self.peers = peers
        for number in range(2, vms + 1):
            row = builders.node_row(f"vm-{number}")
            peers.apply(row, row.node, 0.0)
        meters = metrics.Meters()
        self.renewing = renewals.Renewals(
            self.maps, self.book, peers, self.control, self.right, meters
        )
        follower = types.SimpleNamespace(failing_since=None, version=0)
        self.heat = heat.HeatBook()
        self.speeds = speeds.SpeedTable()
        self.work_s: float | None = None
        self.most_ranges = most_ranges
        self.plan = slotplan.SlotPlan(
            builders.LOOKUPS,
            self.book,
            self.speeds,
            self.heat,
            lambda service: self.work_s,
            0.0,
            most_ranges=lambda: self.most_ranges,
        )
        self.keeper = keeper.MapKeeper(
            builders.LOOKUPS,
            self.maps,
            self.book,
            self.plan,
            peers,
            self.renewing,
            self.leads,
            succession.Succession(self.leads, self.maps),
            self.table,
            follower,
            self.control,
            self.right,
            65536,
            clocks.monotonic(),
            meters,
        )

    def start(self, leaving=(0, 1), started_ms=None) -> keymap.KeyMap:
        """Writes a map of which u-1 owns all, some of it leaving."""
        owners = dict.fromkeys(range(slotplan.SLOT_COUNT), "u-1")
        empty = keymap.KeyMap.empty(slotplan.SLOT_COUNT)
        made = empty.give({}, owners, started_ms)
        made = made.mark_leaving(leaving)
        key = keeper.MAP_PREFIX + builders.LOOKUPS
        write = interfaces.Write(key, made.encode("x"))
        made.version = self.table.apply([], [write])
        self.maps.put(builders.LOOKUPS, made, 0.0)
        return made

    def release(self, current: keymap.KeyMap, is_fenced: bool = True):
        source = takeback.Source(current.version, 0.0)
        source.is_fenced = is_fenced
        target = self.book.by_id["u-1"]
        asyncio.run(
            self.keeper._take_back.release(
                current, target, source, [range(1, 2), range(1)]
            )
        )
        return source
