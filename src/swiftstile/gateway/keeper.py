"""Plans the key maps while this VM leads: first deal, moves, lost owners."""

import asyncio
import enum
import typing

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import authority
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import holds
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership
from swiftstile.gateway import model
from swiftstile.gateway import moves
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import settle
from swiftstile.gateway import slotplan
from swiftstile.gateway import succession
from swiftstile.gateway import takeback
from swiftstile.gateway import targets

__all__ = ["MAP_PREFIX", "MapKeeper"]

MAP_PREFIX = "keys/"
# An owner that never registered while this VM runs is gone after this long.
UNKNOWN_OWNER_S = 3.0
# How long VMs are waited for to say that they stopped renewing, before the
# owner is made to refuse them: a few reports between failure domains.
STOP_WAIT_S = 0.3
# Before slots are released, and before their next owner is written, the store
# must have answered within the last moments: an outage in between would leave
# them without an owner.
STORE_FRESH_S = 0.05
# How long it may take to answer then; a slow one takes 0.25 s.
STORE_PROBE_S = 0.5
# After it didn't, until it is asked again: calls have their price.
STORE_RETRY_S = 0.3


# Each write of a map goes to all VMs. Where these are many, moves wait a little
# and share one: at 77 VMs marks come each 0.46 s and gifts each 0.17 s, instead
# of up to 30 writes/s between them.
SPARED_VMS = 20
MARK_PAUSE_PER_VM_S = 0.008
GIVE_PAUSE_PER_VM_S = 0.003


class _Move(enum.Enum):
    """How far the slots are that leave one owner."""

    WAITING = "waiting"
    RELEASE = "release"
    # Older grants may still arrive there.
    FENCE_AND_RELEASE = "fence-and-release"
    CLEAR = "clear"


class _Steps(typing.NamedTuple):
    """What may be done next with slots that are leaving.

    Attributes:
        cleared: Slots that may be given away, by the owner that they leave.
        releases: Owners that should release theirs, and whether older grants
            may still arrive there.
    """

    cleared: dict[model.UpstreamId, list[int]]
    releases: list[tuple[model.UpstreamId, bool]]

    @property
    def is_any(self) -> bool:
        """Whether there is anything to do."""
        return bool(self.cleared or self.releases)


class MapKeeper:
    """Keeps the key map of one service while this VM leads."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        book: targets.TargetTable,
        plan: slotplan.SlotPlan,
        peers: gossip.Peers,
        renewing: renewals.Renewals,
        leads: leadership.Leadership,
        successor: succession.Succession,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
        control: interfaces.UpstreamControl,
        right: authority.PeerAuthority,
        row_bytes: int,
        started: float,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._book = book
        self._plan = plan
        self._marked_at = 0.0
        self._given_at = 0.0
        self._peers = peers
        self._renewing = renewing
        self._leads = leads
        self._succession = successor
        self._table = table
        self._follower = follower
        self._authority = right
        self._row_bytes = row_bytes
        self._meters = meters
        self._started = started
        self._sources: dict[model.UpstreamId, takeback.Source] = {}
        self._take_back = takeback.TakeBack(
            service, maps, book, renewing, leads, control, right, meters
        )
        self._store_answered_at = 0.0
        self._store_failed_at = 0.0
        self._unknown_since: dict[model.UpstreamId, float] = {}
        # Version of the leader's row under which `_sources` were made.
        self._led_version = interfaces.NEW_ROW

    def forget(self) -> None:
        """Drops what only a leader needs."""
        for source in self._sources.values():
            source.cancel()
        self._sources.clear()

    async def tick(self) -> None:
        """Looks at what is to be done and does the next step of it."""
        if self._led_version != self._leads.version:
            # Another VM may have led since the last tick, which waits as long
            # as a write does, and may have let owners go on with their slots.
            self.forget()
            self._led_version = self._leads.version
        now = clocks.monotonic()
        if self._follower.failing_since is not None:
            await self._keep_leaving()
            return
        current = self._maps.by_service.get(self._service)
        owners = () if current is None else current.slots_by_owner
        weights = self._plan.weights(now, owners)
        if current is None:
            await self._first_deal(weights, now)
            return
        if await self._give_to_new_lives(current):
            return
        await self._mark(current, weights, now)
        current = self._maps.by_service[self._service]
        await self._commit_cleared(current, weights, now)

    async def _first_deal(self, weights, now: float) -> None:
        dealt = self._plan.first_deal(weights, now)
        if not dealt:
            return
        empty = keymap.KeyMap.empty(len(dealt))
        started_ms = self._started_ms(set(dealt))
        first = empty.give({}, dict(enumerate(dealt)), started_ms)
        await self._write(first, "first deal")

    async def _give_to_new_lives(self, current) -> bool:
        """Gives the slots of owners that started again to them once more.

        The new life holds nothing, and grants of before may still arrive there
        or already have: only under a newer fence is it known what it holds. The
        slots stay with it, as another upstream would have to wait until all
        that may be granted to it by the old fence is over.
        """
        again = self._started_again(current)
        if not again:
            return False
        owners = {
            index: owner
            for owner in again
            for index in current.slots_by_owner[owner]
            if index not in current.leaving
        }
        given = current.give({}, owners, self._started_ms(again))
        if await self._write(given, "owner started again"):
            self._meters.ownership.add("started-again", len(again))
        return True

    def _started_again(self, current) -> list[model.UpstreamId]:
        """Returns owners that started again since they got their slots."""
        return [
            owner
            for owner in current.slots_by_owner
            if owner in self._book.by_id
            and self._book.by_id[owner].upstream.has_restarted_since(
                current.started_ms.get(owner, 0)
            )
        ]

    def _started_ms(self, owners) -> dict[model.UpstreamId, int]:
        """Returns when upstreams started, as far as they say."""
        return {
            owner: self._book.by_id[owner].upstream.started_ms
            for owner in owners
            if owner in self._book.by_id
        }

    async def _mark(self, current, weights, now: float) -> None:
        lost = [
            index
            for owner, slots in current.slots_by_owner.items()
            if owner not in weights and self._is_lost(owner, now)
            for index in slots
            if index not in current.leaving
        ]
        moving, reason = lost, "owner lost"
        if not moving and now - self._marked_at < self._pause_s(
            MARK_PAUSE_PER_VM_S
        ):
            return
        if not moving:
            moving = self._plan.hot_to_move(current, weights, now)
            reason = "hot slots"
        if not moving:
            moving = self._plan.surplus_to_move(current, weights, now)
            reason = "evening out"
        if not moving:
            return
        owners = {current.slots[index].owner for index in moving}
        marked = current.mark_leaving(moving)
        if owners & set(self._sources):
            # Orders of the release that this replaces may still arrive: they
            # must be older than those of the next one.
            marked = marked.raise_fence()
        if await self._write(marked, reason):
            done = self._marked_at = clocks.monotonic()
            version = self._maps.by_service[self._service].version
            for owner in owners:
                self._replace_source(owner, takeback.Source(version, done))

    def _replace_source(
        self, owner: model.UpstreamId, source: takeback.Source
    ) -> None:
        """Begins anew with an owner; one release at a time gives orders."""
        if owner in self._sources:
            self._sources[owner].cancel()
        self._sources[owner] = source

    def _pause_s(self, per_vm_s: float) -> float:
        """Returns the time between two writes of a map, by how many read it."""
        return per_vm_s * max(0, len(self._peers.by_node) - SPARED_VMS)

    def _is_lost(self, owner: model.UpstreamId, now: float) -> bool:
        target = self._book.by_id.get(owner)
        if target is not None:
            self._unknown_since.pop(owner, None)
            return target.leaving_since is not None
        since = self._unknown_since.setdefault(owner, now)
        return now - since > UNKNOWN_OWNER_S

    async def _commit_cleared(self, current, weights, now: float) -> None:
        slots_by_source = current.leaving_by_owner()
        for owner in [
            name for name in self._sources if name not in slots_by_source
        ]:
            del self._sources[owner]
        if set(slots_by_source) - set(self._sources):
            await self._adopt(current, set(slots_by_source))
            return
        if not self._next_steps(current, weights, now).is_any:
            return
        if not await self._store_answers():
            await self._keep_leaving()
            return
        # Releases went on while the store was asked, and may have granted slots
        # whose holds were over: only what holds now counts.
        now = clocks.monotonic()
        steps = self._next_steps(current, weights, now)
        for owner, fences in steps.releases:
            self._take_back.start(
                current,
                owner,
                self._sources[owner],
                self._plan.pieces(current, slots_by_source[owner]),
                fences,
            )
        if steps.cleared:
            moving = [i for slots in steps.cleared.values() for i in slots]
            tokens: dict[int, str] = {}
            for owner in steps.cleared:
                tokens |= self._sources[owner].tokens
            placed = self._plan.destinations(current, moving, weights, now)
            await self._give(current, placed, tokens)

    def _next_steps(self, current, weights, now: float) -> "_Steps":
        """Returns what may be done next with the slots that are leaving."""
        steps = _Steps({}, [])
        is_paused = now - self._given_at < self._pause_s(GIVE_PAUSE_PER_VM_S)
        for owner, slots in current.leaving_by_owner().items():
            source = self._sources.get(owner)
            if source is None:
                # This VM began to leave.
                continue
            state = self._state_of(current, owner, source, slots, now)
            if state is _Move.CLEAR:
                if weights and not is_paused:
                    steps.cleared[owner] = slots
            elif state is not _Move.WAITING and source.may_release(now):
                fences = state is _Move.FENCE_AND_RELEASE
                steps.releases.append((owner, fences))
        return steps

    async def _give(self, current, placed, tokens) -> None:
        """Gives cleared slots to others.

        From the look at their holds until this is settled nothing may be
        granted to the owners that they leave: no wait stands between that look
        and the flag that forbids it.
        """
        started_ms = self._started_ms(set(placed.values()))
        if self._started_again(current):
            # One fence is for one life: its other slots come first.
            return
        leaves = {current.slots[index].owner for index in placed}
        sources = [self._sources[name] for name in leaves & set(self._sources)]
        for source in sources:
            source.is_given = True
        if await self._write(current.give(tokens, placed, started_ms), "moved"):
            self._given_at = clocks.monotonic()
            self._meters.ownership.add("moved", len(placed))
            return
        for source in sources:
            source.is_given = False

    async def _adopt(self, current, owners: set[model.UpstreamId]) -> None:
        """Takes over moves that a former leader began.

        It may still send fencing grants; they must be older than ours.
        """
        if not await self._write(current.raise_fence(), "moves taken over"):
            return
        done = clocks.monotonic()
        version = self._maps.by_service[self._service].version
        self.forget()
        slots = current.leaving_by_owner()
        self._sources = {
            owner: self._adopted(slots.get(owner, []), version, done)
            for owner in owners
        }

    def _adopted(self, slots, version: int, now: float) -> takeback.Source:
        """Returns what is known of slots that a former leader marked."""
        marked = self._succession.marked_version(self._service, slots)
        stopped_at = None
        if marked is not None:
            stopped_at = self._succession.stopped_at(self._service, marked)
        if stopped_at is None:
            return takeback.Source(version, now)
        former = (self._leads.former_leader, version)
        return takeback.Source(marked, now, stopped_at, former)

    async def _store_answers(self) -> bool:
        """Asks the store whether it answers, unless it just did."""
        now = clocks.monotonic()
        if now - self._store_answered_at < STORE_FRESH_S:
            return True
        if now - self._store_failed_at < STORE_RETRY_S:
            return False
        try:
            async with asyncio.timeout(STORE_PROBE_S):
                await self._table.probe(self._follower.version)
        except (TimeoutError, errors.PlatformError) as error:
            self._store_failed_at = clocks.monotonic()
            logs.logger.info(
                "moves wait for the store",
                service=self._service,
                error=repr(error),
            )
            return False
        self._store_answered_at = clocks.monotonic()
        return True

    async def _keep_leaving(self) -> None:
        """Lets owners go on with slots that can't be moved for now."""
        current = self._maps.by_service.get(self._service)
        if current is None or not current.leaving:
            return
        slots_by_source = current.leaving_by_owner()
        await asyncio.gather(
            *(
                self._take_back.keep(
                    current,
                    owner,
                    source,
                    self._plan.pieces(current, slots_by_source[owner]),
                )
                for owner, source in list(self._sources.items())
                if owner in slots_by_source
            )
        )

    def _state_of(self, current, owner, source, slots, now: float) -> "_Move":
        if owner is None or self._is_replaced(owner):
            return _Move.CLEAR
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
            self._former_leader(source),
            self._authority.quorum_since,
        )
        if known.all_stopped and known.held_s <= 0:
            return _Move.CLEAR
        is_certain = known.all_stopped and known.open_s <= 0
        if set(slots) <= set(source.tokens):
            is_shut = source.is_fenced and now >= source.open_until
            return _Move.CLEAR if is_shut or is_certain else _Move.WAITING
        if is_certain:
            return _Move.RELEASE
        if now - source.marked_at > STOP_WAIT_S:
            source.note_wait(known, owner, len(slots), now)
            return _Move.FENCE_AND_RELEASE
        return _Move.WAITING

    def _own_hold(self, book, slots, now: float) -> reports.Hold:
        """Returns what grants of this VM mean, its earlier runs included."""
        earlier_s = self._started + book.longest_s - now
        return reports.Hold(
            max(earlier_s, book.held_for_s(slots, now)),
            max(earlier_s, book.open_for_s(slots, now)),
        )

    def _stopped_at(self, source: takeback.Source) -> float:
        """Returns when VMs that tell nothing have stopped renewing."""
        if source.stopped_at is not None:
            return source.stopped_at
        since = self._authority.quorum_since
        if since is None:
            return float("inf")
        return max(since, source.marked_at) + authority.STOPPED_AFTER_S

    def _former_leader(self, source) -> moves.FormerLeader | None:
        """Returns until when the VM that marked slots gave orders for them."""
        if source.former is None:
            return None
        since = self._authority.quorum_since
        stopped_at = float("inf")
        if since is not None:
            stopped_at = since + authority.LEADER_STOPPED_AFTER_S
        return moves.FormerLeader(
            *source.former, stopped_at, holds.longest_s(takeback.KEEP_HOLD_S)
        )

    def _is_replaced(self, owner: model.UpstreamId) -> bool:
        """Whether another upstream runs at its address, so that it ended."""
        target = self._book.by_id.get(owner)
        return target is not None and target.is_replaced

    async def _write(self, changed: keymap.KeyMap, reason: str) -> bool:
        if not self._leads.is_leader:
            # Replaced while this tick waited: the condition would name the row
            # of whoever leads now, and hold.
            return False
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
            if isinstance(error, errors.ConflictError):
                # Another VM leads or led. It may have written over this write
                # after that was done, so no order may rest on the map of
                # before: moves begin anew once a write shows what is in force.
                self.forget()
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
