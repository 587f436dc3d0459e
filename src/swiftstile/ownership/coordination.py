"""Coordination of a service: assigns and moves slices, serves routers."""

import asyncio
import math
import random

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import settings as settings_lib
from swiftstile.bundles import model
from swiftstile.membership import vms
from swiftstile.ownership import announcer
from swiftstile.ownership import assignment_store
from swiftstile.ownership import enforcement
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import placement as placement_lib
from swiftstile.ownership import slices
from swiftstile.peers import messages
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["Coordination"]

_TICK_S = 0.1
# Longest wait for all listed servers before the first assignment.
_INITIAL_SERVERS_TIMEOUT_S = 1.5
_REBALANCE_INTERVAL_S = 3.0
_STORE_RETRY_S = 0.2
# Planned moves start only if the table answers a read within this time.
_RESPONSIVE_READ_S = 0.1
# Shortest and longest pause of writes after the table failed.
_WRITE_BACKOFF_S = (0.3, 0.9)
# Longest wait for servers to confirm the slices that they gained, before an
# assignment is announced to routers.
_EFFECTIVE_TIMEOUT_S = 0.1
_EFFECTIVE_POLL_S = 0.002
# Moves that aren't written within this time are cancelled.
_MOVE_TIMEOUT_S = 5.0


class Coordination:
    """Coordinates one service while its lease is held.

    Attributes:
        assignment: The assignment in force, which is durable. It is announced
            to routers only after the servers that gained slices know of it;
            until then those servers would refuse requests.
        withheld: Slices that are being moved and are granted to no server:
            the planned new owner by start of the slice, or `NO_OWNER` if the
            placement policy is to choose one.
    """

    def __init__(
        self,
        holder: holder_lib.LeaseHolder,
        spec: model.ServiceSpec,
        directory: vms.VmDirectory,
        enforcer: enforcement.OwnershipEnforcer,
        store: assignment_store.AssignmentStore,
        table: base.Table,
        placement: placement_lib.PlacementPolicy,
        settings: settings_lib.CoordinatorSettings,
        meters: metrics.Meters,
        changed: asyncio.Event,
        released: bool,
    ):
        self.assignment: slices.Assignment | None = None
        self.withheld: dict[int, ids.ServerId] = {}
        self._holder = holder
        self._spec = spec
        self._directory = directory
        self._enforcer = enforcer
        self._store = store
        self._table = table
        self._placement = placement
        self._settings = settings
        self._meters = meters
        self._changed = changed
        self._load = load_lib.LoadTable()
        self._row_version = base.ABSENT
        self._announcer = announcer.Announcer()
        self._tasks: dict[ids.ServerId, asyncio.Task] = {}
        self._addresses: dict[ids.ServerId, str] = {}
        self._withheld_at = 0.0
        self._writes_allowed_at = 0.0
        self._published_state: tuple | None = None
        self._rebalanced_at = clocks.monotonic()
        self._assigning_allowed_at = (
            clocks.monotonic() + enforcer.takeover_wait_s(released)
        )

    async def run(self) -> None:
        """Coordinates the service until the lease is lost.

        Raises:
            LeaseLostError: Another process coordinates the service.
        """
        holding = asyncio.create_task(self._holder.run())
        planning = asyncio.create_task(self._plan_forever())
        try:
            done, _ = await asyncio.wait(
                {holding, planning}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            tasks = [holding, planning, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def watch(
        self, request: messages.WatchRequest
    ) -> messages.WatchReply:
        """Answers a router's watch once there is a newer assignment."""
        received_at = clocks.monotonic()
        self._enforcer.record_watch(request)
        if request.load is not None:
            self._load.record(request.router, request.load, received_at)
        await self._announcer.wait_newer(request.version, request.wait_s)
        delta = self._announcer.delta_since(request.version)
        # The router counts its lease from when it sent the request, so the
        # time that the request waited here is deducted.
        lease_s = max(
            0.0, self._enforcer.extend_route_lease(request) - received_at
        )
        return messages.WatchReply(self._holder.lease.epoch, delta, lease_s)

    def unresponsive_servers(self) -> list[ids.ServerId]:
        """Returns the servers that missed their last call or never answered."""
        sessions_by_server = self._enforcer.by_server.items()
        return [
            name for name, session in sessions_by_server if not session.live
        ]

    async def _plan_forever(self) -> None:
        await self._restore()
        while True:
            # Cleared first, so that a change during this step starts another.
            self._changed.clear()
            self._sync_sessions()
            await self._step()
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _restore(self) -> None:
        while True:
            try:
                assignment, self._row_version = await self._store.read()
                break
            except errors.PlatformUnavailableError:
                await asyncio.sleep(_STORE_RETRY_S)
        if assignment is not None:
            await self._announce(assignment)
            return
        await self._wait_for_servers()
        servers = sorted(self._usable())
        first = slices.initial(
            servers, self._spec.slices_per_server, self._holder.lease.epoch
        )
        while not await self._write(first, "first assignment"):
            await asyncio.sleep(_STORE_RETRY_S)

    async def _wait_for_servers(self) -> None:
        end = clocks.monotonic() + _INITIAL_SERVERS_TIMEOUT_S
        while True:
            self._sync_sessions()
            listed = self._directory.group(self._spec.upstream_group)
            complete = listed and len(self._usable()) == len(listed)
            timed_out = clocks.monotonic() > end and self._usable()
            if complete or timed_out:
                return
            await asyncio.sleep(_TICK_S)

    def _sync_sessions(self) -> None:
        listed = self._directory.group(self._spec.upstream_group)
        for server, vm in listed.items():
            if self._addresses.get(server) != vm.data_address:
                self._close_session(server)
                self._open_session(server, vm.data_address)
        for server in set(self._tasks) - set(listed):
            if self._enforcer.by_server[server].failing:
                self._close_session(server)
        for task in self._tasks.values():
            if task.done():
                task.result()

    def _open_session(self, server: ids.ServerId, address: str) -> None:
        session = self._enforcer.open_session(server, address)
        self._enforcer.by_server[server] = session
        self._addresses[server] = address
        self._tasks[server] = asyncio.create_task(session.run())

    def _close_session(self, server: ids.ServerId) -> None:
        if server in self._tasks:
            self._tasks.pop(server).cancel()
            self._addresses.pop(server)
            session = self._enforcer.by_server.pop(server)
            if session.may_own_slices():
                # Its grants may still be valid: assign no withheld slice
                # before they have expired.
                lapse = clocks.monotonic() + self._settings.server_lease_s
                self._assigning_allowed_at = max(
                    self._assigning_allowed_at, lapse
                )

    def _usable(self) -> set[ids.ServerId]:
        listed = self._directory.group(self._spec.upstream_group)
        return {
            server
            for server, session in self._enforcer.by_server.items()
            if session.live
            and server in listed
            and listed[server].state is base.VmState.LIVE
        }

    async def _step(self) -> None:
        now = clocks.monotonic()
        self._enforcer.expire_leases(now)
        self._cancel_overdue_moves(now)
        usable = self._usable()
        await self._withhold_unserved(usable)
        if not self.withheld and now >= self._assigning_allowed_at:
            await self._rebalance(usable, now)
        if now >= self._writes_allowed_at:
            await self._unassign_withheld()
        self._publish()
        if now >= max(self._assigning_allowed_at, self._writes_allowed_at):
            await self._assign_free(usable, now)

    async def _withhold_unserved(self, usable: set[ids.ServerId]) -> None:
        """Withholds the slices of failed and leaving servers."""
        leaving = []
        for piece in self.assignment.slices:
            if piece.server in usable or not usable:
                continue
            session = self._enforcer.by_server.get(piece.server)
            if session is None or session.failing:
                self._withhold(piece.start, slices.NO_OWNER)
            elif self._is_leaving(piece) and piece.start not in self.withheld:
                leaving.append(piece.start)
        if leaving and await self._is_table_responsive():
            for start in leaving:
                self._withhold(start, slices.NO_OWNER)

    async def _is_table_responsive(self) -> bool:
        """Returns whether a planned move could be written promptly.

        The slices of a move have no owner until it is written. That is
        acceptable after a crash, but not for a move that can wait.
        """
        now = clocks.monotonic()
        if now < self._writes_allowed_at:
            return False
        try:
            async with asyncio.timeout(_RESPONSIVE_READ_S):
                await self._store.read()
        except (TimeoutError, errors.SwiftstileError):
            self._back_off_writes()
            return False
        return True

    def _back_off_writes(self) -> None:
        # Randomised, so that coordinators don't all retry at once.
        wait = random.uniform(*_WRITE_BACKOFF_S)
        self._writes_allowed_at = clocks.monotonic() + wait

    def _is_leaving(self, piece: slices.Slice) -> bool:
        vm = self._directory.by_id.get(ids.VmId(piece.server))
        return vm is not None and vm.state is base.VmState.LEAVING

    async def _rebalance(self, usable: set[ids.ServerId], now: float) -> None:
        if now < self._rebalanced_at + _REBALANCE_INTERVAL_S:
            return
        self._rebalanced_at = now
        plan = self._placement.rebalance(
            self.assignment,
            usable,
            self._load.view(self.assignment, now),
            self._spec.churn_budget,
        )
        if plan.moves and await self._is_table_responsive():
            for start, target in plan.moves.items():
                self._withhold(start, target)
        await self._split_and_merge(plan)

    async def _split_and_merge(self, plan: placement_lib.Plan) -> None:
        """Splits and merges slices without changing the owner of any key."""
        epoch = self._holder.lease.epoch
        if plan.splits:
            parts = self.assignment.split(list(plan.splits), epoch)
            await self._write(parts, "hot keys split off")
            # Plan the moves that the split is for in the next step, without
            # waiting for the rebalancing interval.
            self._rebalanced_at -= _REBALANCE_INTERVAL_S
        if plan.merges:
            whole = self.assignment.merged(set(plan.merges), epoch)
            await self._write(whole, "cooled keys joined")

    def _withhold(self, start: int, target: ids.ServerId) -> None:
        if not self.withheld:
            self._withheld_at = clocks.monotonic()
        self.withheld.setdefault(start, target)

    def _cancel_overdue_moves(self, now: float) -> None:
        """Cancels all moves if the oldest one has taken too long."""
        if self.withheld and now > self._withheld_at + _MOVE_TIMEOUT_S:
            self._cancel_moves()

    def _cancel_moves(self) -> None:
        """Grants withheld slices to their present owners again.

        Slices of failed servers are withheld again in the next step.
        """
        self._meters.ownership.add("moves-called-off", len(self.withheld))
        self.withheld.clear()

    async def _unassign_withheld(self) -> None:
        moves = self._enforcer.unassignments(
            self.assignment, set(self.withheld)
        )
        if moves:
            await self._move(moves, "withdrawn before a move")

    async def _assign_free(self, usable: set[ids.ServerId], now: float) -> None:
        free = [
            piece
            for start in self.withheld
            if (piece := self.assignment.at(ids.KeyHash(start)))
            and self._enforcer.is_free(piece, now)
        ]
        planned = {
            piece.start: self.withheld[piece.start]
            for piece in free
            if self.withheld[piece.start] in usable
        }
        orphans = [piece for piece in free if piece.start not in planned]
        load = self._load.view(self.assignment, now)
        moves = self._placement.place(self.assignment, orphans, usable, load)
        reason = "owner gone or leaving" if moves else "rebalanced"
        moves |= planned
        if moves and await self._move(moves, reason):
            self._changed.set()

    def _publish(self) -> None:
        """Publishes the assignment to the servers if anything changed.

        Most steps change nothing.
        """
        sessions = frozenset(self._enforcer.by_server.values())
        state = (self.assignment.version, frozenset(self.withheld), sessions)
        if state != self._published_state:
            self._published_state = state
            self._enforcer.publish(self.assignment, set(self.withheld))

    async def _move(self, moves: dict[int, ids.ServerId], reason: str) -> bool:
        epoch = self._holder.lease.epoch
        wanted = self.assignment.moved(moves, epoch)
        assigned = {s for s, owner in moves.items() if owner != slices.NO_OWNER}
        return await self._write(wanted, reason, assigned)

    async def _write(
        self,
        wanted: slices.Assignment,
        reason: str,
        assigned: frozenset[int] | set[int] = frozenset(),
    ) -> bool:
        """Makes an assignment durable, then announces it.

        Args:
            wanted: The next version.
            reason: Reason for the change, for the audit record.
            assigned: Starts of the withheld slices that it assigns to a server.

        Returns:
            Whether the assignment is in force. If not, the write has failed
            for good and can't take effect later.
        """
        actor = self._holder.lease.holder.vm
        change = assignment_store.change_between(
            self.assignment, wanted, actor, reason
        )
        try:
            writes = await self._store.writes(wanted, self._row_version, change)
            async with self._holder.table_lock:
                guarded = [self._holder.lease_condition(), *writes]
                await retries.transact_with_retries(
                    self._table, guarded, math.inf
                )
        except errors.PlatformUnavailableError:
            self._back_off_writes()
            self._cancel_moves()
            return False
        except errors.ConflictError as error:
            raise holder_lib.LeaseLostError(
                str(error), step="write assignment", peer=""
            ) from error
        self._row_version += 1
        for start in assigned:
            self.withheld.pop(start, None)
        self._meters.ownership.add("slices-moved", change.moved)
        logs.logger.info(
            "assignment written",
            service=str(self._holder.service),
            version=wanted.version,
            reason=reason,
            moved=change.moved,
        )
        await self._announce(wanted)
        return True

    async def _announce(self, assignment: slices.Assignment) -> None:
        old, self.assignment = self.assignment, assignment
        self._publish()
        if old is not None:
            await self._wait_effective(old, assignment)
        await self._announcer.announce(assignment)

    async def _wait_effective(self, old, new) -> None:
        gained = {
            piece.server
            for piece in new.slices
            if old.at(ids.KeyHash(piece.start)).server != piece.server
        }
        end = clocks.monotonic() + _EFFECTIVE_TIMEOUT_S
        while clocks.monotonic() < end:
            if self._enforcer.is_effective(gained):
                return
            await asyncio.sleep(_EFFECTIVE_POLL_S)
