"""Assigns the keys of a service to upstreams while this VM is the leader.

Covers the initial assignment, rebalancing, and the keys of owners that crashed,
restarted or are leaving.
"""

import asyncio
import typing

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import assignment_times
from swiftstile.gateway import authority
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import holds
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import map_confirmation
from swiftstile.gateway import model
from swiftstile.gateway import move_steps
from swiftstile.gateway import moves
from swiftstile.gateway import reclaim
from swiftstile.gateway import reclaim_state
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import settle
from swiftstile.gateway import slotplan
from swiftstile.gateway import store_versions
from swiftstile.gateway import succession
from swiftstile.gateway import targets

__all__ = ["MAP_PREFIX", "KeyAssigner"]

MAP_PREFIX = "keys/"
# An owner that hasn't registered since this VM started counts as having left
# after this time.
UNKNOWN_OWNER_S = 3.0
# The store must have answered within this time before slots are released and
# before their next owner is written: an outage in between would leave them
# without an owner.
STORE_FRESH_S = 0.05
# Timeout of that probe; a slow store answers in 0.25 s.
STORE_PROBE_S = 0.5
# Delay before the next probe after a failed one, as each call has a cost.
STORE_RETRY_S = 0.3
# Each write of a map is sent to all VMs. In fleets larger than this, moves are
# delayed so that several share a write: with 77 VMs slots are marked every
# 0.46 s and assigned every 0.17 s, instead of up to 30 writes/s in total.
UNTHROTTLED_VMS = 20
MARK_INTERVAL_PER_VM_S = 0.008
ASSIGN_INTERVAL_PER_VM_S = 0.003


# Reason of the writes of rebalancing.
_REBALANCING = "evening out"


class _NextSteps(typing.NamedTuple):
    """The next steps for slots that are leaving.

    Attributes:
        cleared: Slots that may be assigned to others, by the owner that they
            leave.
        releases: What owners should release.
    """

    cleared: dict[model.UpstreamId, list[int]]
    releases: list[tuple[model.UpstreamId, move_steps.Step]]

    @property
    def has_any(self) -> bool:
        """Whether there is any step to take."""
        return bool(self.cleared or self.releases)


class KeyAssigner:
    """Maintains the key map of one service while this VM is the leader."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        target_table: targets.TargetTable,
        plan: slotplan.SlotPlan,
        peers: gossip.Peers,
        renewer: renewals.GrantRenewer,
        leadership: leadership_lib.Leadership,
        leader_succession: succession.Succession,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
        control: interfaces.UpstreamControl,
        peer_authority: authority.PeerAuthority,
        row_bytes: int,
        started: float,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._target_table = target_table
        self._plan = plan
        self._marked_at = 0.0
        self._assigned_at = 0.0
        self._peers = peers
        self._renewer = renewer
        self._leadership = leadership
        self._succession = leader_succession
        self._table = table
        self._follower = follower
        self._authority = peer_authority
        self._row_bytes = row_bytes
        self._meters = meters
        self._started = started
        self._slot_reclaims: dict[
            model.UpstreamId, reclaim_state.SlotReclaim
        ] = {}
        self._reclaimer = reclaim.Reclaimer(
            service,
            maps,
            target_table,
            renewer,
            leadership,
            control,
            peer_authority,
            meters,
        )
        self._assignment_times = assignment_times.AssignmentTimes()
        self._store_answered_at = 0.0
        self._store_failed_at = 0.0
        self._unknown_since: dict[model.UpstreamId, float] = {}
        # Owners that had left while they still owned slots.
        self._departed_owners: set[model.UpstreamId] = set()
        # Version of the leader's row under which `_slot_reclaims` were created.
        self._leader_version = interfaces.NEW_ROW

    def drop_leader_state(self) -> None:
        """Cancels all releases and drops the state that only a leader needs."""
        for slot_reclaim in self._slot_reclaims.values():
            slot_reclaim.cancel()
        self._slot_reclaims.clear()
        self._departed_owners.clear()

    async def tick(self) -> None:
        """Determines what has to be done and takes the next step."""
        if self._leader_version != self._leadership.version:
            # A tick lasts as long as its writes. Another VM may have led since
            # the last one, and may have let owners keep using their slots.
            self.drop_leader_state()
            self._leader_version = self._leadership.version
        now = clocks.monotonic()
        if self._follower.failing_since is not None:
            await self._keep_at_owners()
            return
        current = self._maps.by_service.get(self._service)
        owners = () if current is None else current.slots_by_owner
        weights = self._plan.weights(now, owners)
        if current is None:
            await self._assign_all(weights, now)
            return
        if not self._is_confirmed(current):
            await self._confirm(current, now)
            return
        if await self._reassign_to_restarted(current):
            return
        if await self._reassign_to_returned(current, weights):
            return
        await self._mark(current, weights, now)
        current = self._maps.by_service[self._service]
        await self._advance_moves(current, weights, now)

    async def _assign_all(self, weights, now: float) -> None:
        assigned = self._plan.initial_assignment(weights, now)
        if not assigned:
            return
        empty = keymap.KeyMap.empty(len(assigned))
        started_ms = self._started_ms(set(assigned))
        first = empty.assign({}, dict(enumerate(assigned)), started_ms)
        sent_at = clocks.monotonic()
        if await self._write(first, "first deal"):
            self._assignment_times.note_assigned(
                first, range(len(assigned)), sent_at
            )

    def _is_confirmed(self, current: keymap.KeyMap) -> bool:
        """Whether the map in force is stored in the store's generation."""
        generation = store_versions.generation_of(current.version)
        is_stored = generation >= self._follower.generation
        return is_stored and current.is_confirmed

    async def _confirm(self, current: keymap.KeyMap, now: float) -> None:
        """Writes the known map after the store returned from an older copy."""
        generation = self._follower.generation
        leadership = self._leadership
        has_led_before = leadership.led_in < generation
        known_at = leadership.led_since
        if has_led_before:
            known_at = self._follower.generation_seen_at
        method = map_confirmation.choose_method(
            has_led_before,
            current.is_confirmed,
            self._authority.authorised_at(self._service),
            known_at,
        )
        if method is map_confirmation.Method.ASSIGN_ANEW and (
            not map_confirmation.have_grants_expired(
                self._authority.quorum_since, now
            )
        ):
            return
        uncertain = current.uncertain
        if method is map_confirmation.Method.HOLD_BACK_LEAVING:
            uncertain = uncertain | current.leaving
        stored = self._follower.rows.get(MAP_PREFIX + self._service)
        confirmed = current.confirmed(
            map_confirmation.fence_step(current.generation, generation),
            interfaces.NEW_ROW if stored is None else stored.version,
            uncertain,
            method is map_confirmation.Method.ASSIGN_ANEW,
        )
        logs.logger.warning(
            "key map confirmed after a return of the store",
            service=self._service,
            method=method.value,
            known=store_versions.number_of(current.version),
            uncertain=len(uncertain),
        )
        await self._write(confirmed, "confirmed")

    def _leaving_by_owner(
        self, current: keymap.KeyMap, now: float
    ) -> dict[model.UpstreamId, list[int]]:
        """Returns the leaving slots that can be moved, by owner.

        A slot that another upstream may have got by a lost map waits until that
        one's grants have expired.
        """
        leaving = current.leaving_by_owner()
        if not current.uncertain or map_confirmation.have_grants_expired(
            self._authority.quorum_since, now
        ):
            return leaving
        movable = {
            owner: [i for i in slots if i not in current.uncertain]
            for owner, slots in leaving.items()
        }
        return {owner: slots for owner, slots in movable.items() if slots}

    async def _reassign_to_restarted(self, current) -> bool:
        """Assigns the slots of restarted owners to them again.

        A restarted owner holds nothing, but grants from before the restart may
        have arrived or may still arrive, so what it holds is known only under a
        newer fence. It keeps its slots, as any other upstream would have to
        wait until all grants under the old fence have expired.
        """
        restarted = self._restarted_owners(current)
        if not restarted:
            return False
        owners = {
            index: owner
            for owner in restarted
            for index in current.slots_by_owner[owner]
            if index not in current.leaving
        }
        reassigned = current.assign({}, owners, self._started_ms(restarted))
        if await self._write(reassigned, "owner started again"):
            self._meters.ownership.add("started-again", len(restarted))
        return True

    def _restarted_owners(self, current) -> list[model.UpstreamId]:
        """Returns owners that restarted since their slots were assigned."""
        return [
            owner
            for owner in current.slots_by_owner
            if owner in self._target_table.by_id
            and self._target_table.by_id[owner].upstream.has_restarted_since(
                current.started_ms.get(owner, 0)
            )
        ]

    async def _reassign_to_returned(self, current, weights) -> bool:
        """Assigns the leaving slots of owners that are back to them again.

        An owner whose failure domain was partitioned is taken for lost, and is
        registered again soon after the partition ends. Its grants have expired
        by then, but those of VMs that were partitioned with it aren't known to
        have, so any other upstream would have to wait for several seconds. A
        newer fence is enough for the owner itself.
        """
        owned = current.slots_by_owner.keys()
        self._departed_owners &= owned
        returned = self._departed_owners & weights.keys()
        self._departed_owners |= owned - weights.keys()
        self._departed_owners -= returned
        owners = {
            index: owner
            for owner in returned
            for index in current.slots_by_owner[owner]
            if index in current.leaving and index not in current.uncertain
        }
        if not owners:
            return False
        tokens: dict[int, str] = {}
        for owner in returned & self._slot_reclaims.keys():
            # Commands of a release that arrive later carry an older fence.
            slot_reclaim = self._slot_reclaims.pop(owner)
            slot_reclaim.cancel()
            tokens |= slot_reclaim.tokens
        reassigned = current.assign(
            {
                index: token
                for index, token in tokens.items()
                if index in owners
            },
            owners,
            self._started_ms(returned),
        )
        sent_at = clocks.monotonic()
        if await self._write(reassigned, "owner returned"):
            self._assignment_times.note_assigned(reassigned, owners, sent_at)
            self._meters.ownership.add("returned", len(returned))
        else:
            self._departed_owners |= returned
        return True

    def _started_ms(self, owners) -> dict[model.UpstreamId, int]:
        """Returns the start times of upstreams, where they are known."""
        return {
            owner: self._target_table.by_id[owner].upstream.started_ms
            for owner in owners
            if owner in self._target_table.by_id
        }

    async def _mark(self, current, weights, now: float) -> None:
        orphaned = [
            index
            for owner, slots in current.slots_by_owner.items()
            if owner not in weights and self._has_left(owner, now)
            for index in slots
            if index not in current.leaving
        ]
        moving, reason = orphaned, "owner lost"
        if not moving and now - self._marked_at < self._write_interval_s(
            MARK_INTERVAL_PER_VM_S
        ):
            return
        if not moving:
            moving = self._plan.hot_slots_to_move(current, weights, now)
            reason = "hot slots"
        if not moving:
            moving = self._plan.surplus_slots_to_move(current, weights, now)
            reason = _REBALANCING
        if not moving:
            return
        owners = {current.slots[index].owner for index in moving}
        marked = current.mark_leaving(moving)
        if owners & set(self._slot_reclaims):
            # Commands of the release that this one replaces may still arrive;
            # their fence must be older than that of the next release.
            marked = marked.with_newer_fence()
        if reason == _REBALANCING:
            self._plan.log_rebalancing(current, moving, weights)
        if await self._write(marked, reason):
            self._meters.ownership.add(f"{_label(reason)}-slots", len(moving))
            written_at = self._marked_at = clocks.monotonic()
            version = self._maps.by_service[self._service].version
            for owner in owners:
                self._restart_reclaim(
                    owner, reclaim_state.SlotReclaim(version, written_at)
                )

    def _restart_reclaim(
        self, owner: model.UpstreamId, slot_reclaim: reclaim_state.SlotReclaim
    ) -> None:
        """Restarts the move of an owner; only one release may send commands."""
        if owner in self._slot_reclaims:
            self._slot_reclaims[owner].cancel()
        self._slot_reclaims[owner] = slot_reclaim

    def _write_interval_s(self, per_vm_s: float) -> float:
        """Returns the minimum time between two writes of a map.

        It grows with the number of VMs that read the map.
        """
        return per_vm_s * max(0, len(self._peers.by_node) - UNTHROTTLED_VMS)

    def _has_left(self, owner: model.UpstreamId, now: float) -> bool:
        target = self._target_table.by_id.get(owner)
        if target is not None:
            self._unknown_since.pop(owner, None)
            return target.leaving_since is not None
        since = self._unknown_since.setdefault(owner, now)
        return now - since > UNKNOWN_OWNER_S

    async def _advance_moves(self, current, weights, now: float) -> None:
        leaving_by_owner = self._leaving_by_owner(current, now)
        for owner in [
            name for name in self._slot_reclaims if name not in leaving_by_owner
        ]:
            del self._slot_reclaims[owner]
        if set(leaving_by_owner) - set(self._slot_reclaims):
            await self._adopt_moves(current, set(leaving_by_owner))
            return
        if not self._next_steps(current, weights, now).has_any:
            return
        if not await self._store_answers():
            await self._keep_at_owners()
            return
        # Releases continued during the probe and may have granted slots whose
        # holds had expired, so the holds are checked once more.
        now = clocks.monotonic()
        steps = self._next_steps(current, weights, now)
        for owner, step in steps.releases:
            self._reclaimer.start(
                current,
                owner,
                self._slot_reclaims[owner],
                self._plan.move_ranges(current, step.to_release),
                step.to_fence,
            )
        receivers = self._receivers(current, weights)
        if steps.cleared and receivers:
            moving = [i for slots in steps.cleared.values() for i in slots]
            tokens: dict[int, str] = {}
            for owner in steps.cleared:
                tokens |= self._slot_reclaims[owner].tokens
            placed = self._plan.destinations(current, moving, receivers, now)
            await self._assign(current, placed, tokens)

    def _next_steps(self, current, weights, now: float) -> "_NextSteps":
        """Returns the next steps for the slots that are leaving."""
        steps = _NextSteps({}, [])
        is_throttled = now - self._assigned_at < self._write_interval_s(
            ASSIGN_INTERVAL_PER_VM_S
        )
        can_assign = not is_throttled and bool(
            self._receivers(current, weights)
        )
        for owner, slots in self._leaving_by_owner(current, now).items():
            slot_reclaim = self._slot_reclaims.get(owner)
            if slot_reclaim is None:
                # Reclaims were cancelled meanwhile: this VM is shutting down.
                continue
            step = self._next_step(current, owner, slot_reclaim, slots, now)
            if can_assign and step.is_assignment_due(slots, slot_reclaim, now):
                steps.cleared[owner] = step.cleared
            if step.to_release and slot_reclaim.may_release(now):
                steps.releases.append((owner, step))
        return steps

    def _receivers(
        self, current: keymap.KeyMap, weights: slotplan.Weights
    ) -> slotplan.Weights:
        """Returns the upstreams that may get slots now.

        An owner that releases all its slots gets none meanwhile, as these calls
        may cover any key.
        """
        emptying = {
            owner
            for owner, slot_reclaim in self._slot_reclaims.items()
            if slot_reclaim.is_releasing
            and current.leaving.issuperset(
                current.slots_by_owner.get(owner, ())
            )
        }
        return {
            owner: weight
            for owner, weight in weights.items()
            if owner not in emptying
        }

    async def _assign(self, current, placed, tokens) -> None:
        """Assigns cleared slots to other owners.

        Nothing may be granted to the owners that the slots leave between the
        check of their holds and the outcome of the write. So there is no
        `await` between that check and setting the flag that forbids grants.
        """
        started_ms = self._started_ms(set(placed.values()))
        if self._restarted_owners(current):
            # A fence belongs to one run of an owner: the other slots
            # of the restarted one have to be assigned again first.
            return
        leaves = {current.slots[index].owner for index in placed}
        slot_reclaims = [
            self._slot_reclaims[name]
            for name in leaves & set(self._slot_reclaims)
        ]
        for slot_reclaim in slot_reclaims:
            slot_reclaim.reassigning = frozenset(placed)
        assigned = current.assign(tokens, placed, started_ms)
        sent_at = clocks.monotonic()
        if not await self._write(assigned, "moved"):
            for slot_reclaim in slot_reclaims:
                slot_reclaim.reassigning = frozenset()
            return
        self._assignment_times.note_assigned(assigned, placed, sent_at)
        self._assigned_at = clocks.monotonic()
        self._meters.ownership.add("moved", len(placed))
        for slot_reclaim in slot_reclaims:
            slot_reclaim.note_assigned(placed)

    async def _adopt_moves(
        self, current, owners: set[model.UpstreamId]
    ) -> None:
        """Takes over moves that a former leader started.

        The former leader may still send fencing grants; their fence must be
        older than that of this VM's grants.
        """
        if not await self._write(
            current.with_newer_fence(), "moves taken over"
        ):
            return
        written_at = clocks.monotonic()
        version = self._maps.by_service[self._service].version
        self.drop_leader_state()
        slots = self._leaving_by_owner(current, written_at)
        self._slot_reclaims = {
            owner: self._adopted_source(
                slots.get(owner, []), version, written_at
            )
            for owner in owners
        }

    def _adopted_source(
        self, slots, version: int, now: float
    ) -> reclaim_state.SlotReclaim:
        """Returns the state of a move whose slots a former leader marked."""
        marked = self._succession.marked_version(self._service, slots)
        stopped_at = None
        if marked is not None:
            stopped_at = self._succession.stopped_at(self._service, marked)
        if stopped_at is None:
            return reclaim_state.SlotReclaim(version, now)
        former = (self._leadership.former_leader, version)
        return reclaim_state.SlotReclaim(marked, now, stopped_at, former)

    async def _store_answers(self) -> bool:
        """Probes the store, unless it has just answered or failed."""
        now = clocks.monotonic()
        follower_at = self._follower.store_answered_at
        answered_at = max(self._store_answered_at, follower_at)
        if now - answered_at < STORE_FRESH_S:
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

    async def _keep_at_owners(self) -> None:
        """Lets owners keep using slots that can't be moved for now."""
        current = self._maps.by_service.get(self._service)
        if current is None or not current.leaving:
            return
        leaving_by_owner = self._leaving_by_owner(current, clocks.monotonic())
        await asyncio.gather(
            *(
                self._reclaimer.keep(
                    current,
                    owner,
                    slot_reclaim,
                    self._plan.move_ranges(current, leaving_by_owner[owner]),
                )
                for owner, slot_reclaim in list(self._slot_reclaims.items())
                if owner in leaving_by_owner
            )
        )

    def _next_step(
        self, current, owner, slot_reclaim, slots, now: float
    ) -> move_steps.Step:
        if owner is None or self._is_replaced(owner):
            return move_steps.Step(slots)
        hold_table = self._renewer.holds(self._service, len(current.slots))
        assigned_at = self._assignment_times.by_slot(current, slots)
        known = moves.outstanding_grants(
            self._service,
            owner,
            slot_reclaim.version,
            self._own_hold(hold_table, assigned_at, now),
            list(self._peers.by_node.values()),
            self._stopped_at(slot_reclaim),
            hold_table.max_held_s,
            now,
            self._former_leader(slot_reclaim),
            self._authority.quorum_since,
            assigned_at,
        )
        step = move_steps.next_step(slots, slot_reclaim, known, now)
        if step.is_waiting:
            slot_reclaim.log_wait(known, owner, len(slots), now)
        return step

    def _own_hold(
        self,
        hold_table: holds.HoldTable,
        assigned_at: dict[int, float],
        now: float,
    ) -> reports.Hold:
        """Returns the holds from grants of this VM and its earlier runs.

        Args:
            hold_table: The grants of this run.
            assigned_at: Earliest time at which the slots may have been
                assigned, by slot.
            now: The time.
        """
        end = self._started + hold_table.max_held_s
        return moves.longer_hold(
            hold_table.hold(assigned_at, now),
            moves.hold_of_earlier_runs(end, self._started, assigned_at, now),
        )

    def _stopped_at(self, slot_reclaim: reclaim_state.SlotReclaim) -> float:
        """Returns when VMs that send no reports have stopped renewing."""
        if slot_reclaim.stopped_at is not None:
            return slot_reclaim.stopped_at
        since = self._authority.quorum_since
        if since is None:
            return float("inf")
        return max(since, slot_reclaim.marked_at) + authority.STOPPED_AFTER_S

    def _former_leader(self, slot_reclaim) -> moves.FormerLeader | None:
        """Returns the former leader that marked the slots, if there is one."""
        if slot_reclaim.former_leader is None:
            return None
        since = self._authority.quorum_since
        stopped_at = float("inf")
        if since is not None:
            stopped_at = since + authority.LEADER_STOPPED_AFTER_S
        return moves.FormerLeader(
            *slot_reclaim.former_leader,
            stopped_at,
            holds.max_held_s(reclaim.KEEP_HOLD_S),
        )

    def _is_replaced(self, owner: model.UpstreamId) -> bool:
        """Whether the owner has ended, as another runs at its address."""
        target = self._target_table.by_id.get(owner)
        return target is not None and target.is_replaced

    async def _write(self, changed: keymap.KeyMap, reason: str) -> bool:
        if not self._leadership.is_leader:
            # This VM was replaced while the tick waited. The condition would
            # name the row of the new leader, and the write would succeed.
            return False
        key = MAP_PREFIX + self._service
        changed.generation = self._follower.generation
        value = changed.encode(ids.new_attempt_id())
        if len(value) > self._row_bytes:
            # Tokens only save the next owners a cold start, and take up most
            # of the row.
            logs.logger.warning(
                "key map too large; writing it without hand-over tokens",
                bytes=len(value),
            )
            changed = changed.without_tokens()
            value = changed.encode(ids.new_attempt_id())
        conditions = [
            self._leadership.condition(),
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
                # Another VM leads or led. It may have overwritten this write
                # after it took effect, so no command may rely on the previous
                # map: moves restart once a write confirms the map in force.
                self.drop_leader_state()
            return False
        self._store_answered_at = clocks.monotonic()
        changed.version = version
        self._maps.put(self._service, changed, clocks.monotonic())
        self._meters.ownership.add(_label(reason))
        logs.logger.info(
            "key map written",
            service=self._service,
            reason=reason,
            version=store_versions.number_of(version),
            leaving=len(changed.leaving),
            fence=changed.next_fence - 1,
        )
        return True


def _label(reason: str) -> str:
    """Returns the metric label of a reason for writing a map."""
    return reason.replace(" ", "-")
