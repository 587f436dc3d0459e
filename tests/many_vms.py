"""One VM of a large site, as built by the composition root.

It has reports from the VMs of its own failure domain and from the leader, like
an ordinary VM of a large site. No tasks run, and the clock is stopped.
"""

import types

import msgspec

from swiftstile import clocks
from swiftstile import gateway_wiring
from swiftstile import ids
from swiftstile.gateway import keymap
from swiftstile.gateway import reports
from swiftstile.gateway import settings
from tests import gateway_builders as builders

__all__ = ["SIZES", "LargeSiteVm", "Size"]

_LEADER_VERSION, _MAP_VERSION = 7, 5
_SLOTS = 4096
# VMs of each domain that report themselves as its readers.
_READERS = 2
_LEADER = 1


class Size(msgspec.Struct, frozen=True):
    """Size of a site: VMs, failure domains, and upstreams that own keys."""

    vms: int
    domains: int
    upstreams: int


SIZES = (Size(12, 2, 38), Size(80, 4, 110), Size(200, 5, 241))


class LargeSiteVm:
    """The last VM of a site.

    Attributes:
        daemon: Its daemon.
        now: The time on the monotonic clock.
    """

    def __init__(self, size: Size, monkeypatch):
        self.now = clocks.monotonic()
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)
        self._size = size
        self._domains = [
            ids.FailureDomain(f"z{number}") for number in range(size.domains)
        ]
        self.daemon = self._make(self._row(size.vms - 1))
        self._add_upstreams()
        self._add_peers()

    def _row(self, number: int) -> reports.NodeRow:
        return builders.node_row(
            f"vm-{number:03d}",
            run=f"{number:08x}",
            domain=self._domains[number % len(self._domains)],
            link_mbps=1000.0 - number,
        )

    @staticmethod
    def _make(row: reports.NodeRow):
        made = settings.GatewaySettings(
            vm=settings.NodeSettings(
                row.node,
                row.domain,
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                link_mbps=row.link_mbps,
            ),
            store=settings.StoreSettings("127.0.0.1:4"),
        )
        table = builders.MemoryTable()
        adapters = gateway_wiring.Adapters(
            table,
            table,
            table,
            None,
            None,
            "config",
            None,
            None,
            lambda _: None,
        )
        lines = types.SimpleNamespace(vm="")
        daemon = gateway_wiring.gateway(made, adapters, lines)
        daemon._vm_membership._registered_row = daemon._node
        for follower in daemon._followers.values():
            follower.is_loaded = True
        return daemon

    def _add_upstreams(self) -> None:
        names = []
        for number in range(self._size.upstreams):
            entry = builders.upstream(
                f"u-{number:03d}",
                failure_domain=self._domains[number % len(self._domains)],
                address=f"127.0.0.1:{9000 + number}",
            )
            self.daemon._target_table.put(entry, self.now)
            names.append(entry.id)
        owners = {i: names[i % len(names)] for i in range(_SLOTS)}
        owned = keymap.KeyMap.empty(_SLOTS).assign({}, owners)
        owned.version = _MAP_VERSION
        self.daemon._maps.put(builders.LOOKUPS, owned, self.now)

    def _add_peers(self) -> None:
        daemon, me = self.daemon, self.daemon._node
        leader = self._row(_LEADER)
        daemon._leadership.row = types.SimpleNamespace(
            node=leader.node, incarnation=leader.incarnation
        )
        daemon._leadership.version = _LEADER_VERSION
        for number in range(self._size.vms - 1):
            row = self._row(number)
            daemon._peers.apply(row, row.node, self.now)
            if row.domain == me.domain or number == _LEADER:
                peer = daemon._peers.by_node[row.node]
                peer.record_direct_report(self._report(number), self.now)

    def _report(self, number: int) -> reports.Report:
        domains = len(self._domains)
        is_reader = number // domains < _READERS
        near = self._size.vms // domains
        table_words = {
            n: reports.TableStatus(1, 0.1) for n in self.daemon._followers
        }
        own = self._domains[number % domains]
        return builders.report(
            self._row(number),
            is_leader=number == _LEADER,
            leader_version=_LEADER_VERSION,
            versions={builders.LOOKUPS: _MAP_VERSION},
            tables=table_words if is_reader else {},
            is_reader=is_reader,
            near_live=near,
            far_live={name: near for name in self._domains if name != own},
        )
