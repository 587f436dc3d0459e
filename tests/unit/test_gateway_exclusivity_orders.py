"""One owner at a time, in a model of what happens while a leader waits.

The leader's own code takes slots back and gives them away, in virtual time.
Each call that it waits for takes a while, and may be refused or left without an
answer: connections that are being opened, grants and releases, the store.
Meanwhile other slots of the same owner are marked, owners are lost, the store
is away, and another VM takes over. Orders without an answer are carried out
late or never. Orders are for single slots, or for ranges of them. Each
safeguard is taken away once, and the overlap it prevents is found.
"""

import asyncio
import random
import selectors

import pytest

from swiftstile import errors
from swiftstile.gateway import interfaces
from swiftstile.gateway import keeper
from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import renewals
from swiftstile.gateway import slotplan
from swiftstile.gateway import takeback
from tests import gateway_builders as builders
from tests import keeper_parts

_START_S = 100.0
_LENGTH_S = 14.0
_SLOTS = 16
_TICK_S = 0.05
_KEY = keeper.MAP_PREFIX + builders.LOOKUPS
# As the orders' own limits (platform/users_platform/control.py).
_GRANT_TIMEOUT_S, _RELEASE_TIMEOUT_S = 0.25, 1.5
# A leader that is replaced has a right to give orders for so long.
_LAST_WORD_S = 1.0
_SEEDS = range(150)


class _Clock:
    now = _START_S


class _Selector(selectors.SelectSelector):
    """Goes on to the next timer instead of waiting for it."""

    def __init__(self, clock: _Clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("nothing is left to happen")
        self._clock.now += max(0.0, timeout)
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):

    def __init__(self, clock: _Clock):
        self._model_clock = clock
        super().__init__(_Selector(clock))

    def time(self) -> float:
        return self._model_clock.now


class _World:
    """Who holds which slots, and who has them by the map.

    Attributes:
        overlaps: Slots that one owner held and another one had.
    """

    def __init__(self, clock: _Clock, draw: random.Random):
        self.clock = clock
        self.draw = draw
        self.overlaps = 0
        self.owners: list[str] = []
        self.until: dict[tuple[str, int], float] = {}
        self._seen: dict[tuple[str, int], int] = {}

    def take(self, owner, slots: range, fence, hold_s, arrived) -> bool:
        if any(fence < self._seen.get((owner, slot), 0) for slot in slots):
            return False
        end = arrived + hold_s * 1.02
        for slot in slots:
            name = owner, slot
            self._seen[name] = fence
            self.until[name] = max(self.until.get(name, 0.0), end)
        self._check()
        return True

    def note_map(self, owners: list[str]) -> None:
        self.owners = owners
        self._check()

    def _check(self) -> None:
        self.overlaps += sum(
            end > self.clock.now and self.owners[slot] != owner
            for (owner, slot), end in self.until.items()
        )


class _Upstreams(interfaces.UpstreamControl):
    """Carry orders out in time, late, or never.

    Attributes:
        lost_share: Part of the orders that get no answer.
        open_s: Longest time until a connection is open.
        work_s: Longest time until work that was running has ended.
    """

    def __init__(self, world: _World):
        self._world = world
        self._draw = world.draw.uniform
        self.lost_share = world.draw.choice((0.0, 0.2, 0.6))
        self.open_s = world.draw.choice((0.0, 0.05, 0.4))
        self.work_s = world.draw.choice((0.02, 0.5, 1.4))

    def _is_lost(self) -> bool:
        return self._world.draw.random() < self.lost_share

    async def grant(
        self, address, upstream, keys, fence, hold_s, token, on_send
    ):
        await asyncio.sleep(self._draw(0, self.open_s))
        on_send()
        world, slots = self._world, _slots_of(keys)
        arrived = world.clock.now
        if self._is_lost():
            arrived += self._draw(0, _GRANT_TIMEOUT_S)
            if world.draw.random() < 0.7:
                asyncio.get_running_loop().call_later(
                    self._draw(_GRANT_TIMEOUT_S, 2.0),
                    world.take,
                    upstream,
                    slots,
                    fence,
                    hold_s,
                    arrived,
                )
            await asyncio.sleep(_GRANT_TIMEOUT_S)
            raise errors.PeerTimeoutError("silent", step="grant")
        is_held = world.take(upstream, slots, fence, hold_s, arrived)
        await asyncio.sleep(self._draw(0.001, 0.02))
        if is_held:
            return interfaces.GrantResult.HELD
        return interfaces.GrantResult.FENCED

    async def release(self, address, upstream, keys, fence):
        await asyncio.sleep(self._draw(0, self.open_s))
        if self._is_lost():
            await asyncio.sleep(_RELEASE_TIMEOUT_S)
            raise errors.PeerTimeoutError("silent", step="release")
        for slot in _slots_of(keys):
            self._world.until[upstream, slot] = 0.0
        # When the work that was running has ended.
        await asyncio.sleep(self._draw(0.001, self.work_s))
        return "warm"


def _slots_of(keys: interfaces.KeyRange) -> range:
    index_of = keymap.KeyMap.empty(_SLOTS).index_of
    return range(index_of(keys.first), index_of(keys.last) + 1)


class _Store(builders.MemoryTable):
    """Takes its time, is away at times, and loses answers."""

    def __init__(self, world: _World):
        super().__init__()
        self._world = world
        self._lost_share = world.draw.choice((0.0, 0.2))
        self.away = (0.0, 0.0)

    def is_away(self) -> bool:
        return self.away[0] <= self._world.clock.now < self.away[1]

    async def _wait(self) -> None:
        await asyncio.sleep(self._world.draw.uniform(0.001, 0.25))
        if self.is_away():
            raise errors.PlatformUnavailableError("away", step="call")

    async def wait_for_changes(self, after, wait_s):
        await self._wait()
        return interfaces.Snapshot([], self.version)

    async def write(self, conditions, writes):
        await self._wait()
        version = await super().write(conditions, writes)
        await asyncio.sleep(self._world.draw.uniform(0.001, 0.05))
        if self._world.draw.random() < self._lost_share:
            raise errors.OutcomeUnknownError("lost", step="write")
        return version

    def apply(self, conditions, writes):
        version = super().apply(conditions, writes)
        for write in writes:
            if write.key == _KEY:
                slots = keymap.decode(write.value, version).slots
                self._world.note_map([slot.owner for slot in slots])
        return version


class _Model:
    """Plays one sequence of events."""

    # Ranges of keys: each of 16 slots, or three that share them.
    most_ranges = _SLOTS
    # Slots that are leaving from the beginning.
    _most_leaving = 9
    # How often an owner has to be fenced off.
    _open_share = 0.7

    def __init__(self, seed: int):
        self._draw = random.Random(seed)
        self._clock = _Clock()
        self.world = _World(self._clock, self._draw)
        self._marks: list[tuple[float, list[int]]] = []

    def play(self, monkeypatch) -> "_Model":
        monkeypatch.setattr(
            "swiftstile.clocks.monotonic", lambda: self._clock.now
        )
        monkeypatch.setattr(slotplan, "SLOT_COUNT", _SLOTS)
        with asyncio.Runner(loop_factory=lambda: _Loop(self._clock)) as runner:
            runner.run(self._play())
        return self

    async def _play(self) -> None:
        store, upstreams = _Store(self.world), _Upstreams(self.world)
        self._parts = parts = keeper_parts.Parts(
            table=store, control=upstreams, most_ranges=self.most_ranges
        )
        parts.book.put(builders.upstream("u-3"), 0.0)
        parts.start(leaving=range(self._draw.randint(1, self._most_leaving)))
        parts.keeper._started -= 60.0
        parts.plan.hot_to_move = self._hot_to_move
        parts.plan.surplus_to_move = lambda *_: []
        self._hold_all()
        self._plan(store, upstreams)
        while self._clock.now < _START_S + _LENGTH_S:
            await asyncio.sleep(_TICK_S)
            parts.keeper._follower.failing_since = (
                store.away[0] if store.is_away() else None
            )
            if parts.leads.is_leader:
                await parts.keeper.tick()
            else:
                parts.keeper.forget()

    def _hold_all(self) -> None:
        """Grants of before; some got no answer, so owners are fenced off."""
        book = self._parts.renewing.holds(builders.LOOKUPS, _SLOTS)
        every = range(_SLOTS)
        is_open = self._draw.random() < self._open_share
        book.note_sent(every)
        end = book.note_lost if is_open else book.note_answered
        granted_at = self._clock.now - self._draw.uniform(0, renewals.HOLD_S)
        end(every, granted_at, renewals.HOLD_S)
        for slot in every:
            self.world.until["u-1", slot] = granted_at + renewals.HOLD_S

    def _plan(self, store: _Store, upstreams: _Upstreams) -> None:
        draw, loop = self._draw, asyncio.get_running_loop()
        if draw.random() < 0.5:
            start = _START_S + draw.uniform(0.3, 8)
            store.away = (start, start + draw.uniform(0.2, 3))
        for slot in draw.sample(range(10, _SLOTS), draw.randrange(6)):
            self._marks.append((_START_S + draw.uniform(0.3, 8), [slot]))
        if draw.random() < 0.3:
            loop.call_later(draw.uniform(0.3, 8), self._lose_owner)
        if draw.random() < 0.3:
            loop.call_later(draw.uniform(1, 8), self._replace_leader)

    def _hot_to_move(self, current, weights, now) -> list[int]:
        due = [entry for entry in self._marks if entry[0] <= now]
        self._marks = [entry for entry in self._marks if entry[0] > now]
        return [
            i for _, slots in due for i in slots if i not in current.leaving
        ]

    def _lose_owner(self) -> None:
        self._parts.book.mark_unregistered("u-1", self._clock.now)

    def _replace_leader(self) -> None:
        """Another VM leads; this one learns of it a while later."""
        loop, table = asyncio.get_running_loop(), self._parts.table
        table.apply([], [interfaces.Write("leader", b"another")])
        loop.call_later(self._draw.uniform(0, 0.2), self._take_over)
        loop.call_later(self._draw.uniform(0, _LAST_WORD_S), self._step_back)

    def _take_over(self) -> None:
        table = self._parts.table
        row = table.rows[_KEY]
        adopted = keymap.decode(row.value, row.version).raise_fence()
        table.apply([], [interfaces.Write(_KEY, adopted.encode("another"))])

    def _step_back(self) -> None:
        self._parts.leads.is_leader = False


class _Remarked(_Model):
    """More slots are marked again and again while the first are taken back."""

    def _plan(self, store, upstreams) -> None:
        draw = self._draw.uniform
        upstreams.lost_share, upstreams.work_s = 0.2, 1.4
        for slot in range(10, _SLOTS):
            self._marks.append((_START_S + draw(0.3, 7), [slot]))


class _Kept(_Model):
    """The store is away for a moment, after slots were released."""

    _most_leaving = 2
    _open_share = 1.0

    def _plan(self, store, upstreams) -> None:
        draw = self._draw.uniform
        upstreams.lost_share, upstreams.work_s = 0.3, 0.02
        start = _START_S + draw(0.8, 2.0)
        store.away = (start, start + draw(0.3, 1.0))


class _KeptAndRemarked(_Kept):
    """As soon as the store is back another slot of the owner is marked."""

    def _plan(self, store, upstreams) -> None:
        super()._plan(store, upstreams)
        start = store.away[0]
        store.away = (start, start + self._draw.uniform(0.3, 0.6))
        self._marks.append((store.away[1], [_SLOTS - 1]))


def _play_all(monkeypatch, kind=_Model, seeds=_SEEDS) -> list[_Model]:
    return [kind(seed).play(monkeypatch) for seed in seeds]


def _overlaps(monkeypatch, kind=_Model, seeds=_SEEDS) -> int:
    """Returns days on which two owners had a slot."""
    models = _play_all(monkeypatch, kind, seeds)
    return sum(model.world.overlaps > 0 for model in models)


# Orders for single slots, and for up to five neighbours at a time.
@pytest.mark.parametrize("most_ranges", [_SLOTS, 1])
@pytest.mark.parametrize("kind", [_Model, _Remarked, _Kept, _KeptAndRemarked])
def test_no_two_owners_have_a_slot(monkeypatch, kind, most_ranges):
    monkeypatch.setattr(keyplan, "LEAST_PER_OWNER", 1)
    monkeypatch.setattr(kind, "most_ranges", most_ranges)
    models = _play_all(monkeypatch, kind)
    assert [model.world.overlaps for model in models] == [0] * len(models)
    # Most of what was to move did.
    moved = sum(model.world.owners[0] != "u-1" for model in models)
    assert moved > 0.8 * len(models)


def test_without_the_flag_on_slots_that_are_given_they_overlap(monkeypatch):
    never = property(lambda self: False, lambda self, value: None)
    monkeypatch.setattr(takeback.Source, "is_given", never, raising=False)
    assert _overlaps(monkeypatch) > 0


def test_without_the_second_look_at_the_holds_they_overlap(monkeypatch):
    original = keeper.MapKeeper._next_steps
    # The map that was looked at, and what was seen.
    looked = [None, None]

    def only_the_first(self, current, weights, now):
        if current is looked[0]:
            looked[0] = None
            return looked[1]
        steps = original(self, current, weights, now)
        looked[:] = (current, steps) if steps.is_any else (None, None)
        return steps

    monkeypatch.setattr(keeper.MapKeeper, "_next_steps", only_the_first)
    assert _overlaps(monkeypatch) > 0


def test_without_the_end_of_former_releases_they_overlap(monkeypatch):
    monkeypatch.setattr(takeback.Source, "cancel", lambda self: None)
    assert _overlaps(monkeypatch, _Remarked) > 0


@pytest.mark.parametrize("most_ranges", [_SLOTS, 1])
def test_without_the_wait_for_open_grants_of_one_fence_they_overlap(
    monkeypatch, most_ranges
):
    monkeypatch.setattr(keyplan, "LEAST_PER_OWNER", 1)
    monkeypatch.setattr(_Kept, "most_ranges", most_ranges)
    monkeypatch.setattr(
        takeback.Source, "note_unanswered", lambda self, now, hold_s: None
    )
    assert _overlaps(monkeypatch, _Kept) > 0


def test_without_a_newer_fence_for_each_mark_they_overlap(monkeypatch):
    def same(self):
        return self.with_slots({}, self.next_fence, self.version)

    monkeypatch.setattr(keymap.KeyMap, "raise_fence", same)
    # One in 200 days: the store is back, an order is late, another mark comes.
    assert _overlaps(monkeypatch, _KeptAndRemarked, range(240, 430)) > 0
