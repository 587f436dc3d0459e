"""The work of a held lease: assigns slices, moves them, answers routers."""

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
from swiftstile.ownership import custody as custody_lib
from swiftstile.ownership import documents
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import placement as placement_lib
from swiftstile.ownership import slices
from swiftstile.peers import messages
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["Coordination"]

_TICK_S = 0.1
# How long to wait for all listed servers before the first assignment.
_FIRST_SERVERS_S = 1.5
_REBALANCE_INTERVAL_S = 3.0
_STORE_RETRY_S = 0.2
# The table is quick if it answers a read in this time.
_QUICK_S = 0.1
# Shortest and longest rest after the table failed.
_STORE_REST_S = (0.3, 0.9)
# Longest wait for servers to know what they gained before routers do.
_EFFECTIVE_S = 0.1
_EFFECTIVE_LOOK_S = 0.002
# A planned move that isn't written by then is called off.
_MOVE_LIMIT_S = 5.0


class Coordination:
    """Coordinates one service under one held lease.

    Attributes:
        assignment: What is in force: durable. Routers are told of it when
            the servers that gained slices know, or they would refuse.
        withheld: Slices that no server is granted, by start, as they move.
    """

    def __init__(
        self,
        holder: holder_lib.Holder,
        spec: model.ServiceSpec,
        directory: vms.VmDirectory,
        custody: custody_lib.Custody,
        store: documents.AssignmentStore,
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
        self._custody = custody
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
        self._write_from = 0.0
        self._published: tuple | None = None
        self._rebalanced_at = clocks.monotonic()
        self._free_from = clocks.monotonic() + custody.takeover_wait_s(released)

    async def run(self) -> None:
        """Coordinates until the lease is lost.

        Raises:
            LeaseLostError: Another process coordinates.
        """
        keeping = asyncio.create_task(self._holder.run())
        planning = asyncio.create_task(self._plan_forever())
        try:
            done, _ = await asyncio.wait(
                {keeping, planning}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            tasks = [keeping, planning, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def watch(
        self, request: messages.WatchRequest
    ) -> messages.WatchReply:
        """Answers a router, as soon as there is a newer assignment."""
        received_at = clocks.monotonic()
        self._custody.note_watch(request)
        if request.load is not None:
            self._load.note(request.router, request.load, received_at)
        await self._announcer.wait_newer(request.version, request.wait_s)
        delta = self._announcer.delta_since(request.version)
        # The router counts its lease from when it asked, which is before the
        # request came here: the time that it was held counts too.
        lease_s = max(0.0, self._custody.extend_routes(request) - received_at)
        return messages.WatchReply(self._holder.lease.epoch, delta, lease_s)

    def servers_in_trouble(self) -> list[ids.ServerId]:
        """Returns the servers that don't answer."""
        sessions_by_server = self._custody.by_server.items()
        return [
            name for name, session in sessions_by_server if not session.live
        ]

    async def _plan_forever(self) -> None:
        await self._restore()
        while True:
            # Cleared first: what changes during the step is looked at next.
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
        end = clocks.monotonic() + _FIRST_SERVERS_S
        while True:
            self._sync_sessions()
            listed = self._directory.group(self._spec.upstream_group)
            complete = listed and len(self._usable()) == len(listed)
            late = clocks.monotonic() > end and self._usable()
            if complete or late:
                return
            await asyncio.sleep(_TICK_S)

    def _sync_sessions(self) -> None:
        listed = self._directory.group(self._spec.upstream_group)
        for server, vm in listed.items():
            if self._addresses.get(server) != vm.data_address:
                self._close_session(server)
                self._open_session(server, vm.data_address)
        for server in set(self._tasks) - set(listed):
            if self._custody.by_server[server].failing:
                self._close_session(server)
        for task in self._tasks.values():
            if task.done():
                task.result()

    def _open_session(self, server: ids.ServerId, address: str) -> None:
        session = self._custody.open(server, address)
        self._custody.by_server[server] = session
        self._addresses[server] = address
        self._tasks[server] = asyncio.create_task(session.run())

    def _close_session(self, server: ids.ServerId) -> None:
        if server in self._tasks:
            self._tasks.pop(server).cancel()
            self._addresses.pop(server)
            session = self._custody.by_server.pop(server)
            if session.holds_anything():
                # Nothing is free before that lapsed.
                lapse = clocks.monotonic() + self._settings.server_lease_s
                self._free_from = max(self._free_from, lapse)

    def _usable(self) -> set[ids.ServerId]:
        listed = self._directory.group(self._spec.upstream_group)
        return {
            server
            for server, session in self._custody.by_server.items()
            if session.live
            and server in listed
            and listed[server].state is base.VmState.LIVE
        }

    async def _step(self) -> None:
        now = clocks.monotonic()
        self._custody.expire(now)
        self._call_off_late(now)
        usable = self._usable()
        await self._withhold_unserved(usable)
        if not self.withheld and now >= self._free_from:
            await self._withhold_uneven(usable, now)
        if now >= self._write_from:
            await self._withdraw()
        self._publish()
        if now >= max(self._free_from, self._write_from):
            await self._give_free(usable, now)

    async def _withhold_unserved(self, usable: set[ids.ServerId]) -> None:
        """Starts to move slices off servers that are gone, or leaving."""
        leaving = []
        for piece in self.assignment.slices:
            if piece.server in usable or not usable:
                continue
            session = self._custody.by_server.get(piece.server)
            if session is None or session.failing:
                self._withhold(piece.start, slices.NO_OWNER)
            elif self._is_leaving(piece) and piece.start not in self.withheld:
                leaving.append(piece.start)
        if leaving and await self._table_is_quick():
            for start in leaving:
                self._withhold(start, slices.NO_OWNER)

    async def _table_is_quick(self) -> bool:
        """Whether a planned move would be written at once.

        Its slices have no owner until then, which only a crash is worth.
        """
        now = clocks.monotonic()
        if now < self._write_from:
            return False
        try:
            async with asyncio.timeout(_QUICK_S):
                await self._store.read()
        except (TimeoutError, errors.SwiftstileError):
            self._put_off_writes()
            return False
        return True

    def _put_off_writes(self) -> None:
        # Spread, so that all coordinators don't come back at once.
        wait = random.uniform(*_STORE_REST_S)
        self._write_from = clocks.monotonic() + wait

    def _is_leaving(self, piece: slices.Slice) -> bool:
        vm = self._directory.by_id.get(ids.VmId(piece.server))
        return vm is not None and vm.state is base.VmState.LEAVING

    async def _withhold_uneven(
        self, usable: set[ids.ServerId], now: float
    ) -> None:
        if now < self._rebalanced_at + _REBALANCE_INTERVAL_S:
            return
        self._rebalanced_at = now
        plan = self._placement.rebalance(
            self.assignment,
            usable,
            self._load.view(self.assignment, now),
            self._spec.churn_budget,
        )
        if plan.moves and await self._table_is_quick():
            for start, target in plan.moves.items():
                self._withhold(start, target)
        await self._reshape(plan)

    async def _reshape(self, plan: placement_lib.Plan) -> None:
        """Splits and joins slices; no key gets another owner by that."""
        epoch = self._holder.lease.epoch
        if plan.splits:
            parts = self.assignment.split(list(plan.splits), epoch)
            await self._write(parts, "hot keys split off")
            # The moves that it was for come next, not a round later.
            self._rebalanced_at -= _REBALANCE_INTERVAL_S
        if plan.merges:
            whole = self.assignment.merged(set(plan.merges), epoch)
            await self._write(whole, "cooled keys joined")

    def _withhold(self, start: int, target: ids.ServerId) -> None:
        if not self.withheld:
            self._withheld_at = clocks.monotonic()
        self.withheld.setdefault(start, target)

    def _call_off_late(self, now: float) -> None:
        """Gives slices back to their owners if a move takes too long."""
        if self.withheld and now > self._withheld_at + _MOVE_LIMIT_S:
            self._call_off()

    def _call_off(self) -> None:
        """Gives slices back; those of dead servers are withheld again."""
        self._meters.ownership.add("moves-called-off", len(self.withheld))
        self.withheld.clear()

    async def _withdraw(self) -> None:
        moves = self._custody.withdraw(self.assignment, set(self.withheld))
        if moves:
            await self._move(moves, "withdrawn before a move")

    async def _give_free(self, usable: set[ids.ServerId], now: float) -> None:
        free = [
            piece
            for start in self.withheld
            if (piece := self.assignment.at(ids.KeyHash(start)))
            and self._custody.is_free(piece, now)
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
        """Passes on what changed; most looks find nothing."""
        sessions = frozenset(self._custody.by_server.values())
        state = (self.assignment.version, frozenset(self.withheld), sessions)
        if state != self._published:
            self._published = state
            self._custody.publish(self.assignment, set(self.withheld))

    async def _move(self, moves: dict[int, ids.ServerId], reason: str) -> bool:
        epoch = self._holder.lease.epoch
        wanted = self.assignment.moved(moves, epoch)
        given = {s for s, owner in moves.items() if owner != slices.NO_OWNER}
        return await self._write(wanted, reason, given)

    async def _write(
        self,
        wanted: slices.Assignment,
        reason: str,
        given: frozenset[int] | set[int] = frozenset(),
    ) -> bool:
        """Makes an assignment durable, then announces it.

        Args:
            wanted: The next version.
            reason: Why, for the audit record.
            given: Withheld slices that have a new owner in it, by start.

        Returns:
            Whether it is in force. If not, it will not be.
        """
        actor = self._holder.lease.holder.vm
        change = documents.change_between(
            self.assignment, wanted, actor, reason
        )
        try:
            writes = await self._store.writes(wanted, self._row_version, change)
            async with self._holder.table_lock:
                guarded = [self._holder.check_write(), *writes]
                await retries.transact_with_retries(
                    self._table, guarded, math.inf
                )
        except errors.PlatformUnavailableError:
            self._put_off_writes()
            self._call_off()
            return False
        except errors.ConflictError as error:
            raise holder_lib.LeaseLostError(
                str(error), step="write assignment", peer=""
            ) from error
        self._row_version += 1
        for start in given:
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
        end = clocks.monotonic() + _EFFECTIVE_S
        while clocks.monotonic() < end:
            if self._custody.is_effective(gained):
                return
            await asyncio.sleep(_EFFECTIVE_LOOK_S)
