"""Plans the key maps while this VM leads: first deal, moves, lost owners."""

import asyncio
import collections

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import authority
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import heat
from swiftstile.gateway import hotplan
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import leadership
from swiftstile.gateway import model
from swiftstile.gateway import moves
from swiftstile.gateway import renewals
from swiftstile.gateway import settle
from swiftstile.gateway import speeds
from swiftstile.gateway import targets

__all__ = ["MAP_PREFIX", "MapKeeper"]

MAP_PREFIX = "keys/"
# Slots of a service. The users' busiest neighbourhoods are 60 keys wide; at 16
# keys a slot they are spread over four or five upstreams.
SLOT_COUNT = 4096
# Before the first deal, no upstream joined for this long.
SETTLED_S = 1.0
# An owner that never registered while this VM runs is gone after this long.
UNKNOWN_OWNER_S = 3.0
# Most slots that are moved at a time only to even things out: about a tenth,
# so that no owner's keys are on the move all at once.
MOVE_BATCH = 400
# Between two rounds of evening out: about what the effect of one takes to show.
EVEN_OUT_EVERY_S = 1.5
# A hot slot stays this long where it was put, so that it doesn't go back and
# forth with noise.
RELOCATE_EVERY_S = 3.0
# Bounds of a target's speed over the mean, for its share of the keys. A slow
# one keeps a few, which tell when it is fast again.
SLOWEST_WEIGHT, FASTEST_WEIGHT = 0.1, 2.0
# Calls to one upstream at the same time, when it releases slots: its busy
# slots answer only when their work has ended.
_RELEASE_PARALLEL = 16
# How long VMs are waited for to say that they stopped renewing, before the
# owner is made to refuse them: a few reports between failure domains.
STOP_WAIT_S = 0.3
# Hold of a grant that only shuts out older ones; it is released at once.
FENCING_HOLD_S = 0.5
# Failures after which the rest of a release waits for the next try. Single
# orders get no answer even where the upstream is well.
_RELEASE_FAILURES = 24
# After a release failed, doubled each time: each try may hold the slots for
# FENCING_HOLD_S, and a dead owner's slots have to come free.
_RELEASE_PAUSE_S = 0.2


class _Source:
    """An owner whose slots are leaving."""

    def __init__(self, version: int, marked_at: float):
        self.version = version
        self.marked_at = marked_at
        self.tokens: dict[int, str] = {}
        # Whether older grants are refused by it, whoever may still send them.
        self.is_fenced = False
        self.release: asyncio.Task | None = None
        self.release_after = 0.0
        self.failures = 0


class MapKeeper:
    """Keeps the key map of one service while this VM leads."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        book: targets.TargetBook,
        speed_book: speeds.SpeedBook,
        heat_book: heat.HeatBook,
        work_s,
        peers: gossip.Peers,
        renewing: renewals.Renewals,
        leads: leadership.Leadership,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
        control: interfaces.UpstreamControl,
        right: authority.PeerAuthority,
        row_bytes: int,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._book = book
        self._speeds = speed_book
        self._heat = heat_book
        self._work_s = work_s
        self._wanted: dict[int, model.UpstreamId] = {}
        self._relocated_at: dict[int, float] = {}
        self._evened_at = 0.0
        self._peers = peers
        self._renewing = renewing
        self._leads = leads
        self._table = table
        self._follower = follower
        self._control = control
        self._authority = right
        self._row_bytes = row_bytes
        self._meters = meters
        self._started = clocks.monotonic()
        self._sources: dict[model.UpstreamId, _Source] = {}
        self._unknown_since: dict[model.UpstreamId, float] = {}
        self._members: set[model.UpstreamId] = set()
        self._members_at = clocks.monotonic()

    def forget(self) -> None:
        """Drops what only a leader needs."""
        for source in self._sources.values():
            if source.release is not None:
                source.release.cancel()
        self._sources.clear()

    async def tick(self) -> None:
        """Looks at what is to be done and does the next step of it."""
        now = clocks.monotonic()
        if self._follower.failing_since is not None:
            return
        weights = self._weights(now)
        current = self._maps.by_service.get(self._service)
        if current is None:
            await self._first_deal(weights, now)
            return
        await self._mark(current, weights, now)
        current = self._maps.by_service[self._service]
        await self._commit_cleared(current, weights, now)

    def _weights(self, now: float) -> dict[model.UpstreamId, float]:
        group = self._book.by_service.get(self._service, {})
        weights = {
            target.id: self._weight(target, now)
            for target in group.values()
            if target.leaving_since is None
        }
        if set(weights) - self._members:
            self._members_at = now
        self._members = set(weights)
        return weights

    def _weight(self, target: targets.Target, now: float) -> float:
        """Returns how much a target can do: its slots over its slowness."""
        ratio = self._speeds.ratio(target.id, now)
        speed = 1.0 / min(max(ratio, 1 / FASTEST_WEIGHT), 1 / SLOWEST_WEIGHT)
        return max(1, target.upstream.slots) * speed

    async def _first_deal(self, weights, now: float) -> None:
        if not weights or now - self._members_at < SETTLED_S:
            return
        dealt = keyplan.deal(SLOT_COUNT, weights)
        empty = keymap.KeyMap.empty(SLOT_COUNT)
        await self._write(empty.give({}, dict(enumerate(dealt))), "first deal")

    async def _mark(self, current, weights, now: float) -> None:
        lost = [
            index
            for owner, slots in current.slots_by_owner.items()
            if owner not in weights and self._is_lost(owner, now)
            for index in slots
            if index not in current.leaving
        ]
        moving = lost or self._relocate(current, weights, now)
        is_due = now - self._evened_at >= EVEN_OUT_EVERY_S
        if weights and is_due and not moving and not current.leaving:
            self._evened_at = now
            moving = keyplan.surplus(current, weights, MOVE_BATCH)
        if not moving:
            return
        reason = "owner lost" if lost else "evening out"
        marked = current.mark_leaving(moving)
        if await self._write(marked, reason):
            done = clocks.monotonic()
            version = self._maps.by_service[self._service].version
            for owner in {current.slots[index].owner for index in moving}:
                self._sources[owner] = _Source(version, done)

    def _relocate(self, current, weights, now: float) -> list[int]:
        """Returns hot slots that should leave, and notes where they go."""
        capacity = self._capacities(weights)
        hot = {
            slot: share
            for slot, share in self._hot(current, capacity, now).items()
            if slot not in current.leaving
            and now - self._relocated_at.get(slot, 0.0) > RELOCATE_EVERY_S
        }
        found = hotplan.relocations(current, hot, capacity)
        self._wanted |= found
        self._relocated_at |= dict.fromkeys(found, now)
        return list(found)

    def _hot(self, current, capacity, now: float) -> dict[int, float]:
        rates = self._heat.rates(self._service, now)
        return hotplan.hot_shares(current, rates, capacity)

    def _capacities(self, weights) -> dict[model.UpstreamId, float]:
        work_s = self._work_s(self._service)
        if not work_s:
            return {}
        return {owner: weight / work_s for owner, weight in weights.items()}

    def _is_lost(self, owner: model.UpstreamId, now: float) -> bool:
        target = self._book.by_id.get(owner)
        if target is not None:
            self._unknown_since.pop(owner, None)
            return target.leaving_since is not None
        since = self._unknown_since.setdefault(owner, now)
        return now - since > UNKNOWN_OWNER_S

    async def _commit_cleared(self, current, weights, now: float) -> None:
        slots_by_source = collections.defaultdict(list)
        for index in sorted(current.leaving):
            slots_by_source[current.slots[index].owner].append(index)
        for owner in [
            name for name in self._sources if name not in slots_by_source
        ]:
            del self._sources[owner]
        if set(slots_by_source) - set(self._sources):
            await self._adopt(current, set(slots_by_source))
            return
        cleared: list[int] = []
        tokens: dict[int, str] = {}
        for owner, slots in slots_by_source.items():
            source = self._sources[owner]
            if self._is_clear(current, owner, source, slots, now):
                cleared += slots
                tokens |= source.tokens
        if not cleared or not weights:
            return
        placed = keyplan.destinations(current, cleared, weights)
        for index in cleared:
            wanted = self._wanted.pop(index, None)
            if wanted in weights:
                placed[index] = wanted
        if await self._write(current.give(tokens, placed), "moved"):
            self._meters.ownership.add("moved", len(placed))

    async def _adopt(self, current, owners: set[model.UpstreamId]) -> None:
        """Takes over moves that a former leader began.

        It may still send fencing grants; they must be older than ours.
        """
        if not await self._write(current.raise_fence(), "moves taken over"):
            return
        done = clocks.monotonic()
        version = self._maps.by_service[self._service].version
        self.forget()
        self._sources = {owner: _Source(version, done) for owner in owners}

    def _is_clear(self, current, owner, source, slots, now: float) -> bool:
        if owner is None or self._is_replaced(owner):
            return True
        book = self._renewing.holds(self._service, len(current.slots))
        known = moves.clearance(
            self._service,
            owner,
            source.version,
            self._own_hold(book, slots, now),
            list(self._peers.by_node.values()),
            self._stopped_at(source),
            book.longest_s,
            now,
        )
        if known.all_stopped and known.held_s <= 0:
            return True
        is_certain = known.all_stopped and known.open_s <= 0
        if set(slots) <= set(source.tokens):
            return source.is_fenced or is_certain
        if is_certain or now - source.marked_at > STOP_WAIT_S:
            self._start_release(current, source, slots, not is_certain, now)
        return False

    def _own_hold(self, book, slots, now: float) -> gossip.Hold:
        """Returns what grants of this VM mean, its earlier runs included."""
        earlier_s = self._started + book.longest_s - now
        return gossip.Hold(
            max(earlier_s, book.held_for_s(slots, now)),
            max(earlier_s, book.open_for_s(slots, now)),
        )

    def _stopped_at(self, source: _Source) -> float:
        """Returns when VMs that tell nothing have stopped renewing."""
        since = self._authority.quorum_since
        if since is None:
            return float("inf")
        return max(since, source.marked_at) + authority.STOPPED_AFTER_S

    def _is_replaced(self, owner: model.UpstreamId) -> bool:
        """Whether another upstream runs at its address, so that it ended."""
        target = self._book.by_id.get(owner)
        return target is not None and target.is_replaced

    def _start_release(self, current, source, slots, fences, now) -> None:
        target = self._book.by_id.get(current.slots[slots[0]].owner)
        is_running = source.release is not None and not source.release.done()
        if target is None or is_running or now < source.release_after:
            return
        if fences and not source.is_fenced:
            source.is_fenced = True
            source.tokens.clear()
        left = [index for index in slots if index not in source.tokens]
        left.reverse()
        source.release = asyncio.create_task(
            self._release(current, target, source, left)
        )

    async def _release(self, current, target, source, left: list[int]):
        failed: list[errors.PeerUnavailableError] = []

        async def work_off() -> None:
            while left and len(failed) < _RELEASE_FAILURES:
                index = left.pop()
                if not self._may_take_back(current, index):
                    continue
                try:
                    source.tokens[index] = await self._take_back(
                        current, target, index, source.is_fenced
                    )
                except errors.PeerUnavailableError as error:
                    failed.append(error)

        await asyncio.gather(*(work_off() for _ in range(_RELEASE_PARALLEL)))
        if failed:
            source.failures += 1
            pause_s = _RELEASE_PAUSE_S * 2**source.failures
            source.release_after = clocks.monotonic() + pause_s
            self._meters.ownership.add("release-unanswered", len(failed))
            logs.logger.info(
                "release unanswered",
                upstream=target.id,
                count=len(failed),
                error=str(failed[0]),
            )

    def _may_take_back(self, current, index: int) -> bool:
        """Whether a slot is still leaving the owner it had, and we lead."""
        now_map = self._maps.by_service[self._service]
        slot, before = now_map.slots[index], current.slots[index]
        return (
            slot.is_leaving
            and (slot.owner, slot.fence) == (before.owner, before.fence)
            and self._leads.is_leader
            and self._authority.is_able(clocks.monotonic())
        )

    async def _take_back(self, current, target, index, fences) -> str:
        """Makes an owner release a slot; returns the hand-over token.

        Where grants under the old fence may still arrive, from a VM that tells
        nothing or on their way, a grant under a newer fence comes first: the
        owner refuses older ones from then on.
        """
        address, keys = target.upstream.address, current.keys_of(index)
        fence = current.slots[index].fence
        if fences:
            fence = current.next_fence
            await self._fence_off(target, index, keys, fence)
        return await self._control.release(address, target.id, keys, fence)

    async def _fence_off(self, target, index, keys, fence: int) -> None:
        """Grants a slot for a moment, so that older grants are refused.

        It counts as a grant like any other until it was answered or lost, so
        the slot isn't given away meanwhile.
        """
        book = self._renewing.holds(self._service, SLOT_COUNT)
        run = range(index, index + 1)
        book.note_sent(run)
        is_over = False
        try:
            result = await self._control.grant(
                target.upstream.address,
                target.id,
                keys,
                fence,
                FENCING_HOLD_S,
                "",
            )
            is_over = True
            book.note_answered(run, clocks.monotonic(), FENCING_HOLD_S)
        except errors.PeerTimeoutError:
            raise
        except errors.PeerUnavailableError:
            is_over = True
            book.note_unsent(run)
            raise
        finally:
            if not is_over:
                book.note_lost(run, clocks.monotonic(), FENCING_HOLD_S)
        if result is not interfaces.GrantResult.HELD:
            raise errors.PeerUnavailableError(
                f"fencing grant {result.value}",
                step="take back keys",
                peer=target.id,
            )

    async def _write(self, changed: keymap.KeyMap, reason: str) -> bool:
        key = MAP_PREFIX + self._service
        value = changed.encode(ids.new_attempt_id())
        if len(value) > self._row_bytes:
            # Tokens only keep moves warm, and take most of the room.
            logs.logger.warning("key map without tokens", bytes=len(value))
            changed = changed.without_tokens()
            value = changed.encode(ids.new_attempt_id())
        conditions = [
            self._leads.condition(),
            interfaces.Condition(key, changed.version),
        ]
        try:
            version = await settle.settled_write(
                self._table, conditions, interfaces.Write(key, value)
            )
        except errors.PlatformError as error:
            logs.logger.info(
                "key map not written", service=self._service, error=str(error)
            )
            return False
        changed.version = version
        self._maps.put(self._service, changed, clocks.monotonic())
        self._meters.ownership.add(reason.replace(" ", "-"))
        logs.logger.info(
            "key map written",
            service=self._service,
            reason=reason,
            version=version,
            leaving=len(changed.leaving),
            fence=changed.next_fence - 1,
        )
        return True
