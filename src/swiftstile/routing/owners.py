"""The assignment of a keyed service, as a router follows it."""

import asyncio
import itertools
import typing

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import signals
from swiftstile.membership import vms
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import slices
from swiftstile.peers import links
from swiftstile.peers import messages

__all__ = ["OwnerTable", "OwnerWatch"]

_LOCATE_TIMEOUT_S = 0.3
_LOCATE_RETRY_S = 0.1
# An answer that was lost may be too large for the link and the time: the next
# question gets this much longer, and twice as much each time it is lost again.
# The longest brings the longest message over the narrowest link.
_FIRST_EXTRA_S = 0.25
_LONGEST_EXTRA_S = 8.0
# Between two load reports: hot keys change within minutes.
_REPORT_INTERVAL_S = 3.0
# Longest wait for older requests to end before the next question.
_SETTLE_S = 0.05
_SETTLE_LOOK_S = 0.003
# An answer that is on its way when the owner changes gets this long to come.
_RESCUE_S = 0.25


class _Attempt(typing.NamedTuple):
    position: ids.KeyHash
    server: ids.ServerId
    limit: asyncio.Timeout


class OwnerTable:
    """Last known owners of a service's keys, and the lease to use them.

    Attributes:
        assignment: Last known assignment; None before the first.
        lease_until: Until when requests may go to servers that don't check
            fences, on `clocks.monotonic`.
        sketch: Counts requests for the next load report.
    """

    def __init__(self):
        self.assignment: slices.Assignment | None = None
        self.lease_until = 0.0
        self.sketch = load_lib.Sketch()
        self._changed = signals.Signal()
        self._in_flight: dict[int, int] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._tickets = itertools.count()

    @property
    def version(self) -> int:
        """Version of the assignment; 0 for none."""
        return self.assignment.version if self.assignment else 0

    def update(self, assignment: slices.Assignment) -> None:
        """Takes a newer assignment and wakes all that wait for one."""
        self.assignment = assignment
        self._changed.wake()
        soon = asyncio.get_running_loop().time() + _RESCUE_S
        for attempt in self._attempts.values():
            limit = attempt.limit
            has_moved = assignment.at(attempt.position).server != attempt.server
            # One that is ending already can't be given another end.
            if has_moved and not limit.expired():
                limit.reschedule(min(soon, limit.when()))

    def watch_attempt(
        self,
        position: ids.KeyHash,
        server: ids.ServerId,
        limit: asyncio.Timeout,
    ) -> int:
        """Ends an attempt early if its key gets another owner.

        In a planned move the old owner has answered by then. Otherwise it is
        dead or frozen, and the attempt may be repeated at the new one.

        Args:
            position: Position of the key.
            server: Where the attempt is sent.
            limit: What ends it.

        Returns:
            A ticket for `forget_attempt`.
        """
        ticket = next(self._tickets)
        self._attempts[ticket] = _Attempt(position, server, limit)
        return ticket

    def forget_attempt(self, ticket: int) -> None:
        """Forgets an attempt that has ended."""
        self._attempts.pop(ticket, None)

    def extend_lease(self, until: float) -> None:
        """Extends the route lease, and wakes all that wait for it."""
        had_lapsed = self.lease_until < clocks.monotonic()
        self.lease_until = max(self.lease_until, until)
        if had_lapsed:
            self._changed.wake()

    async def wait_change(self, wait_s: float) -> None:
        """Waits for the next update, for `wait_s` seconds at most."""
        await self._changed.wait(wait_s)

    def enter(self, version: int) -> None:
        """Notes that a request was sent under a version."""
        self._in_flight[version] = self._in_flight.get(version, 0) + 1

    def leave(self, version: int) -> None:
        """Notes that a request sent under a version can't run any more."""
        self._in_flight[version] -= 1
        if not self._in_flight[version]:
            del self._in_flight[version]

    def oldest_in_flight(self) -> int:
        """Returns the oldest version that a request may run under."""
        return min(self._in_flight, default=self.version)

    async def settle(self, wait_s: float) -> None:
        """Waits until nothing older than the assignment is in flight."""
        end = clocks.monotonic() + wait_s
        while self.oldest_in_flight() < self.version:
            if clocks.monotonic() >= end:
                return
            await asyncio.sleep(_SETTLE_LOOK_S)


class OwnerWatch:
    """Follows the coordinator of one service, whoever it is."""

    def __init__(
        self,
        service: ids.ServiceId,
        vm: ids.VmId,
        router: ids.Incarnation,
        table: OwnerTable,
        directory: vms.VmDirectory,
        peers: links.LinkPool,
        wait_s: float,
        timeout_s: float,
    ):
        self._service = service
        self._vm = vm
        self._router = router
        self._table = table
        self._directory = directory
        self._peers = peers
        self._wait_s = wait_s
        self._timeout_s = timeout_s
        self._extra_s = 0.0
        self._epoch = ids.Epoch(0)
        self._reported_at = clocks.monotonic()
        self.holder = ids.VmId("")

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            located = await self._locate()
            if located is not None:
                await self._follow(located)
            await asyncio.sleep(_LOCATE_RETRY_S)

    async def _locate(self) -> messages.LocateReply | None:
        """Asks all VMs of the organisation which one coordinates.

        Only a holder's own word counts, and the first one is enough: VMs that
        are gone would take the whole time-out.
        """
        listed = self._directory.entry_vms(self._service.organisation)
        asks = [
            asyncio.ensure_future(self._ask(vm.control_address))
            for vm in listed
        ]
        try:
            for ask in asyncio.as_completed(asks):
                answer = await ask
                if (
                    answer is not None
                    and answer.is_holder
                    and answer.epoch >= self._epoch
                ):
                    return answer
        finally:
            for ask in asks:
                ask.cancel()
        return None

    async def _ask(self, address: str) -> messages.LocateReply | None:
        try:
            return await self._peers.to(address).call(
                messages.LocateRequest(self._service),
                messages.LocateReply,
                _LOCATE_TIMEOUT_S,
            )
        except errors.SwiftstileError:
            return None

    async def _follow(self, located: messages.LocateReply) -> None:
        vm = self._directory.by_id.get(located.vm)
        if vm is None:
            return
        link = self._peers.to(vm.control_address)
        try:
            while True:
                await self._watch_once(link)
                self._note_holder(located.vm)
        except errors.SwiftstileError as error:
            logs.logger.debug("coordinator lost", error=str(error))

    async def _watch_once(self, link: links.Link) -> None:
        table = self._table
        # The coordinator waits to hear that older requests have ended; a
        # question that says so at once saves a whole wait.
        await table.settle(_SETTLE_S)
        request = messages.WatchRequest(
            self._service,
            self._vm,
            self._router,
            table.version,
            table.oldest_in_flight(),
            self._wait_s,
            self._load_report(),
        )
        asked_at = clocks.monotonic()
        reply = await self._ask_for_changes(link, request)
        if reply.epoch < self._epoch:
            raise errors.ControlMessageError(
                f"epoch {reply.epoch} is over", step="watch", peer=""
            )
        self._epoch = reply.epoch
        if reply.delta is not None:
            table.update(self._applied(reply.delta))
        # The lease counts from when it was asked for, which is earlier than
        # the coordinator's own count of it.
        table.extend_lease(asked_at + reply.route_lease_s)

    async def _ask_for_changes(
        self, link: links.Link, request: messages.WatchRequest
    ) -> messages.WatchReply:
        try:
            reply = await link.call(
                request, messages.WatchReply, self._timeout_s + self._extra_s
            )
        except errors.PeerTimeoutError:
            longer_s = max(_FIRST_EXTRA_S, 2 * self._extra_s)
            self._extra_s = min(longer_s, _LONGEST_EXTRA_S)
            raise
        self._extra_s = 0.0
        return reply

    def _load_report(self) -> load_lib.LoadReport | None:
        now = clocks.monotonic()
        since = now - self._reported_at
        if since < _REPORT_INTERVAL_S:
            return None
        self._reported_at = now
        return self._table.sketch.take(since)

    def _applied(self, delta: slices.Delta) -> slices.Assignment:
        try:
            following = self._following(delta)
            following.check()
        except (AttributeError, KeyError, ValueError) as error:
            raise errors.ControlMessageError(
                repr(error), step="apply delta", peer=str(self._service)
            ) from error
        return following

    def _following(self, delta: slices.Delta) -> slices.Assignment:
        if delta.base == 0:
            return slices.Assignment(delta.version, delta.epoch, delta.changed)
        return self._table.assignment.apply(delta)

    def _note_holder(self, holder: ids.VmId) -> None:
        if holder != self.holder:
            self.holder = holder
            logs.logger.info(
                "following coordinator",
                service=str(self._service),
                holder=holder,
                epoch=self._epoch,
            )
