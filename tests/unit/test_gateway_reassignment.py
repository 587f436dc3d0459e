"""The former owner of a slot gets no grants once the slot is reassigned.

These tests guard against a key that two upstreams process at the same time. The
holds of a slot expired while the leader was still reclaiming it with fencing
grants. So the leader considered the slot free and wrote its next owner; during
that write the reclaiming continued and granted the slot to its former owner
again. In the observed case the former owner refused the key 0.36 s before it
ran a request for it, and only the leader grants a slot that is leaving.
"""

import asyncio

from swiftstile.gateway import interfaces
from swiftstile.gateway import key_assigner
from swiftstile.gateway import keymap
from swiftstile.gateway import reclaim
from swiftstile.gateway import slotplan
from tests import assigner_parts
from tests import gateway_builders as builders

_SLOTS = [0, 1]
# They were assigned together, so they are reclaimed as one range.
_RANGES = [range(2)]
_KEYS = keymap.KeyMap.empty(slotplan.SLOT_COUNT).keys_of_range(_RANGES[0])
# Longer than the hold of any grant of an earlier run of the leader.
_LONG_AGO_S = 60.0


class _SlowTable(builders.MemoryTable):
    """Runs callbacks while a call is in progress."""

    def __init__(self):
        super().__init__()
        self.during_write = None
        self.during_probe = None

    async def write(self, conditions, writes) -> int:
        if self.during_write is not None:
            await self.during_write()
        return await super().write(conditions, writes)

    async def wait_for_changes(self, after: int, wait_s: float):
        if self.during_probe is not None:
            await self.during_probe()
        return await super().wait_for_changes(after, wait_s)


class _OpeningControl(assigner_parts.Control):
    """Delays grants until its connections are open."""

    def __init__(self):
        super().__init__()
        self.is_open = asyncio.Event()

    async def grant(self, *arguments):
        await self.is_open.wait()
        return await super().grant(*arguments)


async def _run_pending_tasks() -> None:
    """Runs all tasks that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


async def _open(control: _OpeningControl) -> None:
    control.is_open.set()
    await _run_pending_tasks()


async def _reclaiming(table, control) -> assigner_parts.Parts:
    """Returns a leader that reclaims slots whose holds have expired.

    Its fencing grants are about to be sent.
    """
    parts = assigner_parts.Parts(table=table, control=control)
    parts.start(_SLOTS)
    parts.assigner._started -= _LONG_AGO_S
    await parts.assigner.tick()
    current = parts.maps.by_service[builders.LOOKUPS]
    slot_reclaim = parts.assigner._slot_reclaims["u-1"]
    parts.assigner._reclaimer.start(
        current, "u-1", slot_reclaim, _RANGES, frozenset(_SLOTS)
    )
    await _run_pending_tasks()
    return parts


def test_the_former_owner_gets_no_grant_while_the_next_one_is_written():
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)
        table.during_write = lambda: _open(control)
        version = parts.maps.by_service[builders.LOOKUPS].version
        await parts.assigner.tick()
        await _run_pending_tasks()
        reassigned = parts.maps.by_service[builders.LOOKUPS]
        assert reassigned.version > version and not reassigned.leaving
        assert control.grants == []

    asyncio.run(scenario())


def test_a_slot_granted_during_the_store_probe_is_not_reassigned():
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)
        control.is_unresponsive = True
        parts.assigner._store_answered_at = 0.0
        table.during_probe = lambda: _open(control)
        await parts.assigner.tick()
        await _run_pending_tasks()
        hold_table = parts.renewer.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
        assert control.grants
        assert hold_table.unanswered_for_s(_SLOTS, 0.0) > 0
        assert parts.maps.by_service[builders.LOOKUPS].leaving == set(_SLOTS)

    asyncio.run(scenario())


def test_reclaiming_continues_if_the_next_owner_was_not_written():
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)

        async def refuse() -> None:
            table.refuse = 1

        table.during_write = refuse
        await parts.assigner.tick()
        assert parts.maps.by_service[builders.LOOKUPS].leaving == set(_SLOTS)
        await _open(control)
        assert {fence for _, _, fence in control.grants} == {
            parts.maps.by_service[builders.LOOKUPS].next_fence
        }
        assert [keys for _, keys, _ in control.released] == [_KEYS]

    asyncio.run(scenario())


def test_a_release_grants_nothing_after_its_owner_is_marked_again():
    # More slots of an owner become hot, or it crashes, while its first slots
    # are reclaimed. The release of these continues, so the flag that forbids
    # commands while the next owner is written must apply to it as well.
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)
        marks = [[5]]
        parts.plan.hot_slots_to_move = lambda *_: marks.pop() if marks else []

        async def open_at_reassignment() -> None:
            if parts.maps.by_service[builders.LOOKUPS].leaving >= {5, *_SLOTS}:
                await _open(control)

        table.during_write = open_at_reassignment
        await parts.assigner.tick()
        await _run_pending_tasks()
        assert not parts.maps.by_service[builders.LOOKUPS].leaving
        assert control.grants == []

    asyncio.run(scenario())


def test_another_mark_raises_the_fence_above_that_of_the_former_release():
    # An unanswered grant of the first release may be carried out after the
    # second release fenced the owner; with the same fence it would be accepted.
    async def scenario():
        parts = await _reclaiming(_SlowTable(), _OpeningControl())
        before = parts.maps.by_service[builders.LOOKUPS].next_fence
        parts.assigner._assigned_at = (
            key_assigner.clocks.monotonic() + _LONG_AGO_S
        )
        parts.assigner._write_interval_s = lambda per_vm_s: 0.0
        parts.plan.hot_slots_to_move = lambda *_: [5]
        await parts.assigner.tick()
        after = parts.maps.by_service[builders.LOOKUPS]
        assert after.leaving == {5, *_SLOTS}
        assert after.next_fence > before

    asyncio.run(scenario())


def test_a_reassignment_that_was_overwritten_ends_all_commands():
    # The answer to the write was lost; another VM took over and wrote the map
    # before the write was repeated. So it isn't known whether it took effect.
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)
        table.lose_answers = 1
        writes = []

        async def overwrite() -> None:
            writes.append(table.version)
            if len(writes) == 2:
                key = key_assigner.MAP_PREFIX + builders.LOOKUPS
                table.apply([], [interfaces.Write(key, b"of another leader")])

        table.during_write = overwrite
        await parts.assigner.tick()
        await _open(control)
        assert len(writes) == 2
        assert control.grants == []

    asyncio.run(scenario())


def test_a_leader_replaced_during_the_store_probe_writes_nothing():
    # Its condition named the row of the new leader, so the write succeeded.
    async def scenario():
        table, control = _SlowTable(), _OpeningControl()
        parts = await _reclaiming(table, control)
        before = parts.maps.by_service[builders.LOOKUPS]
        parts.assigner._store_answered_at = 0.0

        async def replace() -> None:
            parts.leadership.is_leader = False

        table.during_probe = replace
        await parts.assigner.tick()
        assert parts.maps.by_service[builders.LOOKUPS] is before

    asyncio.run(scenario())


def test_a_vm_that_leads_again_restarts_its_moves():
    # Another VM led in between and let the owner keep using its slots, so
    # earlier releases are no longer valid.
    async def scenario():
        parts = assigner_parts.Parts()
        parts.start(_SLOTS)
        await parts.assigner.tick()
        slot_reclaim = parts.assigner._slot_reclaims["u-1"]
        slot_reclaim.note_fencing(_SLOTS)
        slot_reclaim.note_released(_SLOTS, "warm", 0.0)
        parts.leadership.version += 2
        before = parts.maps.by_service[builders.LOOKUPS]
        await parts.assigner.tick()
        after = parts.maps.by_service[builders.LOOKUPS]
        assert after.leaving == set(_SLOTS)
        assert after.next_fence > before.next_fence

    asyncio.run(scenario())


def test_an_unanswered_grant_after_fencing_delays_the_reassignment(monkeypatch):
    # The grant may be carried out after the release, as both have the same
    # fence. Its hold starts when it arrives.
    clock = [1000.0]
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: clock[0])

    async def scenario():
        parts = assigner_parts.Parts()
        parts.start(_SLOTS)
        parts.assigner._started -= _LONG_AGO_S
        await parts.assigner.tick()
        current = parts.maps.by_service[builders.LOOKUPS]
        slot_reclaim = parts.assigner._slot_reclaims["u-1"]
        slot_reclaim.note_fencing(_SLOTS)
        parts.control.is_unresponsive = True
        target = parts.target_table.by_id["u-1"]
        await parts.assigner._reclaimer.keep(
            current, "u-1", slot_reclaim, _RANGES
        )
        assert parts.control.kept
        kept_until = clock[0] + reclaim.KEEP_HOLD_S
        parts.control.is_unresponsive = False
        await parts.assigner._reclaimer.release(
            current, target, slot_reclaim, [[part] for part in _RANGES]
        )
        assert set(slot_reclaim.tokens) == set(_SLOTS)
        clock[0] += 0.1
        await parts.assigner.tick()
        assert parts.maps.by_service[builders.LOOKUPS].leaving == set(_SLOTS)
        while parts.maps.by_service[builders.LOOKUPS].leaving:
            clock[0] += 0.1
            await parts.assigner.tick()
            assert clock[0] < kept_until + 1.0
        assert clock[0] > kept_until

    asyncio.run(scenario())
