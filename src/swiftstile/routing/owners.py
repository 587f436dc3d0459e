"""A router's copy of a keyed service's assignment, and how it is updated."""

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

__all__ = ["OwnerTable", "OwnerWatcher"]

_LOCATE_TIMEOUT_S = 0.3
_LOCATE_RETRY_S = 0.1
# A reply that timed out may be too large for the link. The next watch gets this
# much more time, doubled after each further timeout. The longest extension is
# enough for the longest message over the narrowest link.
_MIN_EXTRA_TIMEOUT_S = 0.25
_MAX_EXTRA_TIMEOUT_S = 8.0
# Interval between load reports. Hot keys change within minutes.
_REPORT_INTERVAL_S = 3.0
# Longest wait for older requests to end before the next watch.
_DRAIN_WAIT_S = 0.05
_DRAIN_POLL_S = 0.003
# When the owner of a key changes, attempts at the former owner end after this
# time, which lets answers in transit arrive.
_LATE_ANSWER_GRACE_S = 0.25


class _Attempt(typing.NamedTuple):
    position: ids.KeyHash
    server: ids.ServerId
    limit: asyncio.Timeout


class OwnerTable:
    """Last known assignment of a service, and the route lease to use it.

    Attributes:
        assignment: Last known assignment; None before the first.
        lease_until: End of the route lease on `clocks.monotonic`. Requests
            may be sent to servers that don't check fences until then.
        sketch: Counts requests for the next load report.
    """

    def __init__(self):
        self.assignment: slices.Assignment | None = None
        self.lease_until = 0.0
        self.sketch = load_lib.LoadSketch()
        self._changed = signals.Signal()
        self._in_flight: dict[int, int] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._tickets = itertools.count()

    @property
    def version(self) -> int:
        """Version of the assignment; 0 if there is none."""
        return self.assignment.version if self.assignment else 0

    def update(self, assignment: slices.Assignment) -> None:
        """Replaces the assignment by a newer one and wakes all waiters."""
        self.assignment = assignment
        self._changed.wake()
        grace_end = asyncio.get_running_loop().time() + _LATE_ANSWER_GRACE_S
        for attempt in self._attempts.values():
            limit = attempt.limit
            has_moved = assignment.at(attempt.position).server != attempt.server
            # A timeout that has expired can't be rescheduled.
            if has_moved and not limit.expired():
                limit.reschedule(min(grace_end, limit.when()))

    def watch_attempt(
        self,
        position: ids.KeyHash,
        server: ids.ServerId,
        limit: asyncio.Timeout,
    ) -> int:
        """Ends an attempt early if its key gets another owner.

        After a planned move the former owner has already answered. Otherwise
        it crashed or is paused, and the attempt may be repeated at the new
        owner.

        Args:
            position: Position of the key.
            server: Server that the attempt is sent to.
            limit: Timeout of the attempt.

        Returns:
            A ticket for `forget_attempt`.
        """
        ticket = next(self._tickets)
        self._attempts[ticket] = _Attempt(position, server, limit)
        return ticket

    def forget_attempt(self, ticket: int) -> None:
        """Removes an attempt that has ended or must not be ended early."""
        self._attempts.pop(ticket, None)

    def extend_lease(self, until: float) -> None:
        """Extends the route lease; wakes all waiters if it had lapsed."""
        had_lapsed = self.lease_until < clocks.monotonic()
        self.lease_until = max(self.lease_until, until)
        if had_lapsed:
            self._changed.wake()

    async def wait_change(self, wait_s: float) -> None:
        """Waits up to `wait_s` seconds for the next update."""
        await self._changed.wait(wait_s)

    def request_started(self, version: int) -> None:
        """Counts a request in flight under a version of the assignment."""
        self._in_flight[version] = self._in_flight.get(version, 0) + 1

    def request_ended(self, version: int) -> None:
        """Removes a request that can no longer run from those in flight."""
        self._in_flight[version] -= 1
        if not self._in_flight[version]:
            del self._in_flight[version]

    def oldest_in_flight(self) -> int:
        """Returns the oldest version of a request that may still run."""
        return min(self._in_flight, default=self.version)

    async def wait_drained(self, wait_s: float) -> None:
        """Waits until no request of an older version is in flight.

        Args:
            wait_s: Longest wait, in seconds.
        """
        end = clocks.monotonic() + wait_s
        while self.oldest_in_flight() < self.version:
            if clocks.monotonic() >= end:
                return
            await asyncio.sleep(_DRAIN_POLL_S)


class OwnerWatcher:
    """Locates the coordinator of one service and watches its assignment."""

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
        self._extra_timeout_s = 0.0
        self._epoch = ids.Epoch(0)
        self._reported_at = clocks.monotonic()
        self.holder = ids.VmId("")

    async def run(self) -> None:
        """Follows the coordinator until cancelled."""
        while True:
            located = await self._locate()
            if located is not None:
                await self._follow(located)
            await asyncio.sleep(_LOCATE_RETRY_S)

    async def _locate(self) -> messages.LocateReply | None:
        """Asks all entry VMs of the organisation which one is the coordinator.

        Only a VM that says so of itself counts. The first one is accepted, as
        waiting for unreachable VMs would take the whole timeout.
        """
        listed = self._directory.entry_vms(self._service.organisation)
        queries = [
            asyncio.ensure_future(self._query(vm.control_address))
            for vm in listed
        ]
        try:
            for query in asyncio.as_completed(queries):
                answer = await query
                if (
                    answer is not None
                    and answer.is_holder
                    and answer.epoch >= self._epoch
                ):
                    return answer
        finally:
            for query in queries:
                query.cancel()
        return None

    async def _query(self, address: str) -> messages.LocateReply | None:
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
                self._record_holder(located.vm)
        except errors.SwiftstileError as error:
            logs.logger.debug(
                "lost contact with the coordinator", error=str(error)
            )

    async def _watch_once(self, link: links.Link) -> None:
        table = self._table
        # The coordinator may be waiting for older requests to end. Reporting
        # that in this watch saves the wait until the next one.
        await table.wait_drained(_DRAIN_WAIT_S)
        request = messages.WatchRequest(
            self._service,
            self._vm,
            self._router,
            table.version,
            table.oldest_in_flight(),
            self._wait_s,
            self._load_report(),
        )
        requested_at = clocks.monotonic()
        reply = await self._send_watch(link, request)
        if reply.epoch < self._epoch:
            raise errors.ControlMessageError(
                f"epoch {reply.epoch} is older than {self._epoch}",
                step="watch",
                peer="",
            )
        self._epoch = reply.epoch
        if reply.delta is not None:
            table.update(self._apply_checked(reply.delta))
        # Counted from when the request was sent, so the lease ends here no
        # later than the coordinator assumes.
        table.extend_lease(requested_at + reply.route_lease_s)

    async def _send_watch(
        self, link: links.Link, request: messages.WatchRequest
    ) -> messages.WatchReply:
        try:
            reply = await link.call(
                request,
                messages.WatchReply,
                self._timeout_s + self._extra_timeout_s,
            )
        except errors.PeerTimeoutError:
            longer_s = max(_MIN_EXTRA_TIMEOUT_S, 2 * self._extra_timeout_s)
            self._extra_timeout_s = min(longer_s, _MAX_EXTRA_TIMEOUT_S)
            raise
        self._extra_timeout_s = 0.0
        return reply

    def _load_report(self) -> load_lib.LoadReport | None:
        now = clocks.monotonic()
        since = now - self._reported_at
        if since < _REPORT_INTERVAL_S:
            return None
        self._reported_at = now
        return self._table.sketch.flush(since)

    def _apply_checked(self, delta: slices.Delta) -> slices.Assignment:
        try:
            following = self._apply(delta)
            following.check()
        except (AttributeError, KeyError, ValueError) as error:
            raise errors.ControlMessageError(
                repr(error), step="apply delta", peer=str(self._service)
            ) from error
        return following

    def _apply(self, delta: slices.Delta) -> slices.Assignment:
        if delta.base == 0:
            return slices.Assignment(delta.version, delta.epoch, delta.changed)
        return self._table.assignment.apply(delta)

    def _record_holder(self, holder: ids.VmId) -> None:
        if holder != self.holder:
            self.holder = holder
            logs.logger.info(
                "following coordinator",
                service=str(self._service),
                holder=holder,
                epoch=self._epoch,
            )
