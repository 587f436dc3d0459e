"""Which components the composition root connects."""

import types

import pytest

from swiftstile import clocks
from swiftstile import gateway_wiring
from swiftstile.gateway import interfaces
from swiftstile.gateway import reports
from swiftstile.gateway import settings
from tests import gateway_builders as builders

_NEAR_VMS = 20


def _evacuated_domain(key: str):
    return builders.AWAY if key == "away is evacuated" else None


def _daemon():
    """Returns the daemon of the VM with the least bandwidth of its domain."""
    made = settings.GatewaySettings(
        vm=settings.NodeSettings(
            "vm-50", builders.HOME, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
        ),
        store=settings.StoreSettings("127.0.0.1:4"),
    )
    table = builders.MemoryTable()
    adapters = gateway_wiring.Adapters(
        table, table, table, None, None, "config", None, None, _evacuated_domain
    )
    lines = types.SimpleNamespace(vm="")
    return gateway_wiring.gateway(made, adapters, lines)


def _lead(daemon) -> None:
    """Makes the VM the leader, with live readers in its domain."""
    row = daemon._node
    daemon._leadership.row = types.SimpleNamespace(
        node=row.node, incarnation=row.incarnation
    )
    statuses = {name: reports.TableStatus(1, 0.1) for name in daemon._followers}
    for number in range(10, 10 + _NEAR_VMS):
        peer = builders.node_row(f"vm-{number}", link_mbps=100.0)
        reported = builders.report(peer, tables=statuses)
        daemon._peers.by_node[peer.node] = builders.peer(
            peer, reported, clocks.monotonic()
        )
    for follower in daemon._followers.values():
        follower.is_loaded = True


@pytest.mark.parametrize(
    ("table", "follows_peers"),
    [("operations", True), ("registrations", False), ("state", False)],
)
def test_a_leader_reads_only_the_tables_that_it_plans_by(table, follows_peers):
    # A leader on a narrow link read each large configuration from the store,
    # several at once when they followed each other closely; its domain's
    # readers deliver it compressed, and only the newest.
    daemon = _daemon()
    _lead(daemon)
    assert daemon._leadership.is_leader
    follower = daemon._followers[table]
    assert follower.follows_peers(clocks.monotonic()) is follows_peers


def _operate(daemon, version: int, value: bytes | None) -> None:
    """Writes or removes the operator's row that evacuates a domain."""
    row = interfaces.Change("away is evacuated", value, version)
    follower = daemon._followers["operations"]
    follower.accept(interfaces.Snapshot([row], version), is_whole=False)


def test_an_evacuation_reaches_the_targets_and_is_revoked():
    # VMs read only the configuration from the operator's table and ignored its
    # other rows, so an evacuated domain still got requests.
    daemon = _daemon()
    daemon._target_table.put(builders.upstream("u-1"), 0.0)
    away = builders.upstream("u-2", failure_domain=builders.AWAY)
    daemon._target_table.put(away, 0.0)
    _operate(daemon, 1, b"{}")
    assert daemon._target_table.by_id["u-1"].leaving_since is None
    assert daemon._target_table.by_id["u-2"].leaving_since is not None
    _operate(daemon, 2, None)
    assert daemon._target_table.by_id["u-2"].leaving_since is None
