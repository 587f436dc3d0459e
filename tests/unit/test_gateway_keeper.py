"""The leader's moves: what it may still send, and what it takes over."""

import asyncio

from swiftstile.gateway import keeper
from swiftstile.gateway import renewals
from swiftstile.gateway import slotplan
from swiftstile.gateway import takeback
from tests import gateway_builders as builders
from tests import keeper_parts


def test_a_release_that_outlives_its_move_sends_nothing():
    # Found on trouble-3 of hbrt-gw: slots were given away as their holds had
    # ended, while a release of the same slots was still working its way down.
    parts = keeper_parts.Parts()
    current = parts.start()
    given = current.give({}, {0: "u-2", 1: "u-2"})
    given.version = current.version + 1
    parts.maps.put(builders.LOOKUPS, given, 1.0)
    parts.release(current)
    assert parts.control.grants == []
    assert parts.control.releases == []


def test_a_fencing_grant_under_way_keeps_the_slot_from_being_given():
    parts = keeper_parts.Parts()
    current = parts.start()
    book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
    seen = []
    parts.control.during = lambda: seen.append(book.held_for_s([0], 1e12))
    parts.release(current)
    assert seen[0] == float("inf")
    assert len(parts.control.releases) == 2


def test_a_fencing_grant_without_answer_counts_as_a_grant():
    parts = keeper_parts.Parts()
    current = parts.start()
    parts.control.is_silent = True
    source = parts.release(current)
    book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
    now = keeper.clocks.monotonic()
    assert source.tokens == {}
    assert 0 < book.held_for_s([0], now) < renewals.HOLD_S


def test_tries_to_fence_off_a_silent_owner_let_its_slots_free(monkeypatch):
    # Found by seed 3 of the soak: each try counted as a grant of full length,
    # so the keys of a dead owner were never given away.
    parts = keeper_parts.Parts()
    current = parts.start()
    parts.control.is_silent = True
    clock = [1000.0]
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: clock[0])
    source = takeback.Source(current.version, clock[0])
    source.is_fenced = True
    target = parts.book.by_id["u-1"]
    book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
    free_at = None
    while clock[0] < 1010.0 and free_at is None:
        if source.may_release(clock[0]):
            asyncio.run(
                parts.keeper._take_back.release(
                    current, target, source, [range(1, 2), range(1)]
                )
            )
        clock[0] += 0.1
        if book.held_for_s([0, 1], clock[0]) == 0.0:
            free_at = clock[0]
    assert free_at is not None


def test_without_the_right_to_act_nothing_is_sent():
    parts = keeper_parts.Parts()
    current = parts.start()
    parts.right.is_able = lambda now: False
    parts.release(current)
    assert parts.control.grants == []


def test_fencing_grants_of_a_former_leader_are_older_than_ours():
    parts = keeper_parts.Parts()
    before = parts.start()
    asyncio.run(parts.keeper.tick())
    after = parts.maps.by_service[builders.LOOKUPS]
    assert after.version > before.version
    assert after.next_fence > before.next_fence
    assert after.leaving == before.leaving


def test_slots_of_an_owner_that_released_them_are_given_with_its_tokens():
    async def scenario():
        parts = keeper_parts.Parts()
        parts.start()
        async with asyncio.timeout(5):
            while parts.maps.by_service[builders.LOOKUPS].leaving:
                await parts.keeper.tick()
                await asyncio.sleep(0.01)
        given = parts.maps.by_service[builders.LOOKUPS]
        assert [given.slots[i].token for i in (0, 1)] == ["warm", "warm"]
        assert {given.slots[i].owner for i in (0, 1)} <= {"u-1", "u-2"}

    asyncio.run(scenario())


async def _tick_until(parts, condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await parts.keeper.tick()
            await asyncio.sleep(0.01)


def test_an_outage_after_the_release_gives_slots_back_to_their_owner():
    # Found by CI: an outage of the store in the middle of a move left the
    # released slots without an owner until the store was back.
    async def scenario():
        parts = keeper_parts.Parts()
        parts.start()
        # The store answers until the slots were released.
        original = parts.control.release

        async def release(*arguments):
            parts.table.refuse = 10**6
            parts.keeper._store_answered_at = 0.0
            return await original(*arguments)

        parts.control.release = release
        await _tick_until(parts, lambda: parts.control.kept)
        fence = parts.maps.by_service[builders.LOOKUPS].next_fence
        # Both slots by one grant, as they were released together.
        assert set(parts.control.kept) == {("u-1", 0, fence, "warm")}
        book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
        assert book.held_for_s([0, 1], keeper.clocks.monotonic()) > 0
        # Once the store is back the slots are taken back again, then given.
        parts.control.release = original
        parts.table.refuse = 0
        current = parts.maps.by_service
        await _tick_until(parts, lambda: not current[builders.LOOKUPS].leaving)
        releases = [call[1] for call in parts.control.released]
        keys = current[builders.LOOKUPS].keys_of_run(range(2))
        assert releases == [keys] * 2

    asyncio.run(scenario())


def test_nothing_is_released_while_the_store_does_not_answer():
    async def scenario():
        parts = keeper_parts.Parts()
        parts.start()
        await parts.keeper.tick()
        parts.keeper._store_answered_at = 0.0
        parts.table.refuse = 10**6
        await _tick_until(parts, lambda: parts.control.kept)
        assert parts.control.releases == []

    asyncio.run(scenario())


def test_a_grant_is_counted_from_when_it_is_sent():
    # Found on trouble-3 of armor-encheres: while connections to a lost owner
    # were being opened its slots counted as held, for seconds after all holds
    # were over.
    parts = keeper_parts.Parts()
    parts.start(leaving=())
    book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
    seen = []
    parts.control.before_send = lambda: seen.append(book.held_for_s([0], 0.0))
    parts.control.is_unreachable = True
    asyncio.run(parts.renewing._renew_due(builders.LOOKUPS, "u-1"))
    assert seen and set(seen) == {0.0}
    assert book.held_for_s([0], 0.0) == 0.0


def test_a_slot_that_is_marked_while_a_connection_opens_is_not_granted():
    parts = keeper_parts.Parts()
    current = parts.start(leaving=())

    def mark() -> None:
        marked = current.mark_leaving(range(slotplan.SLOT_COUNT))
        marked.version = current.version + 1
        parts.maps.put(builders.LOOKUPS, marked, 1.0)

    parts.control.before_send = mark
    asyncio.run(parts.renewing._renew_due(builders.LOOKUPS, "u-1"))
    assert parts.control.grants == []


def test_one_that_lost_its_right_while_a_connection_opens_does_not_grant():
    parts = keeper_parts.Parts()
    parts.start(leaving=())

    def lose() -> None:
        parts.right.may_renew = lambda service: False

    parts.control.before_send = lose
    asyncio.run(parts.renewing._renew_due(builders.LOOKUPS, "u-1"))
    assert parts.control.grants == []


def test_a_slot_that_was_given_while_a_connection_opens_is_not_fenced_off():
    parts = keeper_parts.Parts()
    current = parts.start()
    parts.control.before_send = lambda: parts.maps.put(
        builders.LOOKUPS, _given(current), 1.0
    )
    parts.release(current)
    assert parts.control.grants == []


def _given(current):
    given = current.give({}, {0: "u-2", 1: "u-2"})
    given.version = current.version + 1
    return given


def test_one_slot_of_an_owner_out_of_reach_is_tried_not_all():
    parts = keeper_parts.Parts()
    current = parts.start(leaving=range(100))
    parts.control.is_unreachable = True
    tries = []
    parts.control.before_send = lambda: tries.append(1)
    source = takeback.Source(current.version, 0.0)
    source.is_fenced = True
    target = parts.book.by_id["u-1"]
    pieces = [range(index, index + 1) for index in range(100)]
    run = parts.keeper._take_back.release(current, target, source, pieces)
    asyncio.run(run)
    assert 1 <= len(tries) <= 4


def test_a_new_leader_does_not_wait_for_its_own_run_from_when_it_leads(
    monkeypatch,
):
    # Found on trouble-3 of armor-encheres: each VM that led for the first time
    # counted what an earlier run of its own may have granted from then on.
    clock = [100.0]
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: clock[0])
    parts = keeper_parts.Parts()
    current = parts.start(leaving=(0,))
    clock[0] = 120.0
    made = keeper_parts.Parts()
    made.maps.put(builders.LOOKUPS, current, 120.0)
    book = parts.renewing.holds(builders.LOOKUPS, slotplan.SLOT_COUNT)
    # Built when the process started, at 100, and led since 120.
    assert parts.keeper._own_hold(book, [0], 120.0).held_s == 0.0
    assert made.keeper._own_hold(book, [0], 120.0).held_s > 5.0


def test_slots_that_turn_hot_one_after_the_other_are_placed_apart(monkeypatch):
    parts = keeper_parts.Parts()
    for name in ("u-3", "u-4"):
        parts.book.put(builders.upstream(name), 0.0)
    current = parts.start(leaving=())
    parts.work_s = 0.3
    weights = {"u-1": 3.0, "u-2": 6.0, "u-3": 5.0, "u-4": 4.0}
    told = {}
    for slot, now in ((7, 100.0), (9, 101.0), (11, 102.0)):
        # Each takes nearly all of u-1, and some of whatever it is moved to.
        told[slot] = 9.0
        parts.heat.hear("vm-2", {builders.LOOKUPS: dict(told)}, now)
        moving = parts.plan.hot_to_move(current, weights, now)
        assert moving == [slot]
        owners = parts.plan.destinations(current, moving, weights, now)
        current = current.give({}, owners)
    assert [current.slots[i].owner for i in (7, 9, 11)] == ["u-2", "u-3", "u-4"]


def _writes_while_slots_turn_hot(monkeypatch, vms: int, for_s: float) -> int:
    """Returns writes of the map while another slot is hot at each look."""

    async def scenario() -> int:
        parts = keeper_parts.Parts(vms)
        parts.start(leaving=())
        slots = iter(range(slotplan.SLOT_COUNT))
        monkeypatch.setattr(
            slotplan.hotplan, "relocations", lambda *_: {next(slots): "u-2"}
        )
        before = parts.table.version
        end = keeper.clocks.monotonic() + for_s
        await _tick_until(parts, lambda: keeper.clocks.monotonic() > end)
        return parts.table.version - before

    return asyncio.run(scenario())


def test_where_many_vms_read_a_map_it_is_written_less_often(monkeypatch):
    # Found on trouble-3 of hbrt-gw-grown: up to 30 writes/s, each of them read
    # and decoded by 77 VMs.
    many = _writes_while_slots_turn_hot(monkeypatch, vms=77, for_s=2.0)
    assert 3 <= many <= 2.0 / 0.456 + 2.0 / 0.168 + 2
    few = _writes_while_slots_turn_hot(monkeypatch, vms=12, for_s=1.0)
    assert few > 30


def test_slots_of_an_owner_that_is_gone_are_not_granted_to_it():
    async def scenario():
        parts = keeper_parts.Parts()
        parts.start()
        await parts.keeper.tick()
        parts.book.mark_unregistered("u-1", keeper.clocks.monotonic())
        parts.keeper._store_answered_at = 0.0
        parts.table.refuse = 10**6
        for _ in range(5):
            await parts.keeper.tick()
        assert parts.control.kept == []

    asyncio.run(scenario())
