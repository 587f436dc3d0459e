"""An owner that is back before its keys could move gets them back at once.

These tests guard against keys without an owner for seconds after a partition of
a failure domain: its owners were taken for lost, their slots waited for the
grants of unresponsive VMs to expire, and after the partition, when the owners
were registered again, the slots went on waiting while requests were refused.
"""

import asyncio

from swiftstile.gateway import slotplan
from tests import assigner_parts
from tests import gateway_builders as builders


def _owners() -> dict[int, str]:
    half = slotplan.SLOT_COUNT // 2
    return {i: "u-1" if i < half else "u-2" for i in range(2 * half)}


async def _after_loss(**options) -> assigner_parts.Parts:
    """Returns a leader that waits for the slots of the lost owner u-1."""
    parts = assigner_parts.Parts(**options)
    parts.start([], owners=_owners())
    parts.target_table.by_id["u-1"].mark_leaving(0.0, 0.0)
    # A VM that sends no reports may have granted slots to the owner.
    peer = builders.node_row("vm-9")
    parts.peers.apply(peer, peer.node, 0.0)
    await parts.assigner.tick()
    await parts.assigner.tick()
    return parts


def _map(parts):
    return parts.maps.by_service[builders.LOOKUPS]


def test_slots_of_a_lost_owner_wait_for_unresponsive_vms():
    async def scenario():
        parts = await _after_loss()
        assert len(_map(parts).leaving) == slotplan.SLOT_COUNT // 2

    asyncio.run(scenario())


def test_a_returned_owner_gets_its_slots_back_under_a_newer_fence():
    async def scenario():
        parts = await _after_loss()
        before = _map(parts)
        parts.target_table.by_id["u-1"].mark_ready()
        await parts.assigner.tick()
        after = _map(parts)
        assert not after.leaving
        assert {slot.owner for slot in after.slots[:9]} == {"u-1"}
        assert after.slots[0].fence > before.next_fence
        assert after.slots[-1] == before.slots[-1]

    asyncio.run(scenario())


def test_slots_that_a_lost_map_may_have_assigned_stay_with_the_move():
    async def scenario():
        parts = await _after_loss()
        _map(parts).uncertain = frozenset([0, 1])
        parts.target_table.by_id["u-1"].mark_ready()
        await parts.assigner.tick()
        assert _map(parts).leaving == {0, 1}

    asyncio.run(scenario())


def test_slots_that_leave_an_owner_in_service_still_move():
    # Rebalancing must not be undone as if the owner had returned.
    async def scenario():
        parts = assigner_parts.Parts()
        parts.start([0, 1], owners=_owners())
        await parts.assigner.tick()
        await parts.assigner.tick()
        assert _map(parts).leaving == {0, 1}

    asyncio.run(scenario())


def test_the_owner_keeps_its_claim_if_the_write_fails():
    async def scenario():
        parts = await _after_loss()
        parts.target_table.by_id["u-1"].mark_ready()
        parts.table.refuse = 1
        await parts.assigner.tick()
        assert _map(parts).leaving
        await parts.assigner.tick()
        assert not _map(parts).leaving

    asyncio.run(scenario())
