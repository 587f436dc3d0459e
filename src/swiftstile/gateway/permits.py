"""Requests permits, which let one VM assign an upstream's slots for all VMs.

Between failure domains, the in-flight counts that VMs exchange are as old as a
request takes to serve, and each VM sees only a small part of an upstream's
requests. One VM in the upstream's own domain, its *arbiter*, therefore decides
for all: a VM requests a permit before it sends, and releases it when the
request has ended. Losing the arbiter affects only the order of requests:
without a reply, a VM decides by the counts that it knows.

A key has one owner, so only the time of sending is left to decide: each owner
has an arbiter. Where many VMs share upstreams without owners, each domain has
one arbiter per service, which chooses among the upstreams of its domain. The
local domain's arbiter is asked first, those of other domains when local waiting
costs more (`domain_search.py`).

Designed for a load of two thirds to nine tenths of the upstreams' capacity.
Some upstreams run at half and some at one and a half times the mean speed, and
they don't answer requests that they can't queue.
"""

import asyncio
import collections
import itertools

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import arbiter as arbiter_lib
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import domain_search
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import permit_messages
from swiftstile.gateway import ratelimits
from swiftstile.gateway import rejected_callers
from swiftstile.gateway import reports
from swiftstile.gateway import targets
from swiftstile.gateway import wait_figures

__all__ = ["PermitClient"]

# A permit request without a reply is sent again after this fraction of the
# route's objective, but not before the minimum, ten round trips between the
# users' failure domains. One large body occupies a 10 Mbit/s link for 50 ms.
REQUEST_RETRY_FRACTION, MIN_REQUEST_RETRY_S = 0.08, 0.025
# The arbiter counts as unreachable after this many sends without a reply. Low,
# because the caller's request waits meanwhile.
MAX_REQUEST_SENDS = 3
# While a request waits at the arbiter, the permit request is repeated, because
# the reply may be lost or the arbiter may have crashed. The interval starts at
# the first value and doubles up to the second. Repeats every 0.1 s for lookups
# that wait for seconds doubled the traffic between domains.
WAITING_RETRY_S, MAX_WAITING_RETRY_S = 0.1, 0.8
# The most recent releases are repeated in the next messages to the same
# arbiter, in case a datagram was lost.
MAX_REPEATED_RELEASES = 4


class _PendingRequest:
    """A permit request of this VM that has no final decision yet.

    Attributes:
        reply: The latest reply, if any.
    """

    def __init__(self):
        self.reply: permit_messages.PermitReply | None = None
        self._replied = asyncio.Event()

    @property
    def is_final(self) -> bool:
        """Whether the permit was granted or rejected."""
        reply = self.reply
        return (
            reply is not None
            and reply.status is not permit_messages.PermitStatus.WAITING
        )

    def set_reply(self, reply: permit_messages.PermitReply) -> None:
        """Stores a reply and wakes up the waiting task."""
        self.reply = reply
        self._replied.set()

    async def wait_for_reply(self, seconds: float) -> bool:
        """Waits for a reply; returns whether one arrived in time."""
        try:
            async with asyncio.timeout(seconds):
                await self._replied.wait()
        except TimeoutError:
            return False
        self._replied.clear()
        return True


class PermitClient:
    """Acquires slots for the requests of this VM, from itself or an arbiter.

    Args:
        peers: The other VMs.
        gate: Assigns the slots that this VM decides on itself.
        arbiter: Handles the permit requests of other VMs.
        target_table: The upstreams.
        meters: Counts permits.
        selector: Chooses arbiters.
        rate_limits: Names the VM that issues the tokens of a rate-limited
            upstream.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        gate: gate_lib.Gate,
        arbiter: arbiter_lib.Arbiter,
        target_table: targets.TargetTable,
        meters: metrics.Meters,
        selector: arbiter_selection.ArbiterSelector,
        rate_limits: ratelimits.RateLimits = ratelimits.UNLIMITED,
    ):
        self._selector = selector
        self._rate_limits = rate_limits
        self._peers = peers
        self._gate = gate
        self._arbiter = arbiter
        self._target_table = target_table
        self._meters = meters
        self._domain_search = domain_search.DomainSearch(peers.me.domain)
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._arbiter_by_number: dict[int, reports.Peer] = {}
        self._ended_by_node: dict[model.NodeId, collections.deque[int]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(permit_messages.Message)
        # Permit numbers of requests that another VM granted, by waiter.
        self._number_by_waiter: dict[int, int] = {}
        peers.on_permit = self._receive

    async def acquire(self, waiter: admission.Waiter) -> targets.Target:
        """Returns a target with a free slot, with the request counted there.

        Raises:
            RejectedError: No slot became free in time.
        """
        if waiter.owner is not None:
            return await self._acquire_from_owner(waiter)
        while True:
            target = await self._acquire_without_owner(waiter)
            limiter = self._rate_limits.limiter_to_ask(
                target, clocks.monotonic()
            )
            if limiter is None or limiter is self._granting_vm(waiter):
                return target
            self.release(waiter, target)
            target = await self._acquire_from_limiter(waiter, target, limiter)
            if target is not None:
                return target

    async def _acquire_without_owner(
        self, waiter: admission.Waiter
    ) -> targets.Target:
        if self._gate.admission.vm_count > admission.MAX_VMS_WITHOUT_SAMPLING:
            return await self._acquire_from_any(waiter)
        return await self._gate.acquire(waiter)

    def _granting_vm(self, waiter: admission.Waiter) -> reports.Peer | None:
        """Returns the other VM that granted a request's slot, if any did."""
        number = self._number_by_waiter.get(waiter.sequence)
        return None if number is None else self._arbiter_by_number[number]

    async def _acquire_from_limiter(
        self,
        waiter: admission.Waiter,
        target: targets.Target,
        limiter: reports.Peer,
    ) -> targets.Target | None:
        """Acquires a slot of a rate-limited upstream without waiting for it.

        Returns None if there is no token now; the upstream isn't selected again
        before the limiter may have one.
        """
        max_wait_s, waiter.max_wait_s = waiter.max_wait_s, 0.0
        try:
            return await self._request_permit(waiter, target, limiter)
        except outcomes.RejectedError as error:
            retry_at = clocks.monotonic() + error.retry_after_s
            self._rate_limits.note_rejected(target, retry_at)
            return None
        finally:
            waiter.max_wait_s = max_wait_s

    async def _acquire_from_owner(
        self, waiter: admission.Waiter
    ) -> targets.Target:
        while True:
            now = clocks.monotonic()
            target = waiter.owner.target(now)
            arbiter = None
            if target is not None:
                arbiter = self._selector.arbiter_of(target, now)
            if arbiter is None:
                return await self._gate.acquire(waiter)
            granted = await self._request_permit(waiter, target, arbiter)
            if granted is not None:
                return granted
            if self._selector.is_avoided(arbiter, clocks.monotonic()):
                # The arbiter is unresponsive; waiting longer would not help.
                return await self._gate.acquire(waiter)
            # The key has moved to another owner; look the arbiter up again.

    async def _acquire_from_any(
        self, waiter: admission.Waiter
    ) -> targets.Target:
        """Acquires a slot of any upstream, in the planned order of domains."""
        now = clocks.monotonic()
        group = self._gate.admission.usable_targets(waiter, now)
        rejection: outcomes.RejectedError | None = None
        for step in self._domain_search.plan(waiter, group, now):
            waiter.domain = step.domain
            waiter.max_wait_s = step.max_wait_s
            try:
                target = await self._acquire_in_domain(waiter, step.domain)
            except outcomes.RejectedError as error:
                rejection = error
                self._domain_search.note_rejected(
                    waiter.service, step, clocks.monotonic()
                )
                continue
            if target is not None:
                return target
            rejection = None
        if rejection is not None:
            raise rejection
        waiter.domain = waiter.max_wait_s = None
        return await self._gate.acquire(waiter)

    async def _acquire_in_domain(
        self, waiter: admission.Waiter, domain: ids.FailureDomain
    ) -> targets.Target | None:
        """Returns a target in a domain; None if no arbiter there replies."""
        arbiter, is_me = self._selector.arbiter_in_domain(
            domain, waiter.service, clocks.monotonic()
        )
        if is_me:
            return await self._gate.acquire(waiter)
        if arbiter is None:
            return None
        return await self._request_permit(waiter, None, arbiter)

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """Releases the slot of a request that is no longer at the target."""
        number = self._number_by_waiter.pop(waiter.sequence, None)
        now = clocks.monotonic()
        rejected = rejected_callers.describe(waiter, now)
        if number is None:
            self._gate.release(waiter, target)
            if rejected is not None:
                self._arbiter.expect_return(rejected)
            return
        target.note_permit_ended(waiter.sequence)
        if waiter.owner is not None:
            self._send_release(number, rejected=rejected)
            return
        if rejected is not None and waiter.domain != self._peers.me.domain:
            # The caller's next attempt asks the arbiter of the home domain
            # first.
            self._report_rejected(rejected, now)
            rejected = None
        # Report the penalty and slowdown of the upstream to its arbiter.
        self._send_release(
            number,
            target.penalty_left_s(now),
            target.reported_slowdown(now),
            rejected,
        )

    def _report_rejected(
        self, caller: permit_messages.RejectedCaller, now: float
    ) -> None:
        """Tells the home domain's arbiter of a caller that will retry."""
        arbiter, is_me = self._selector.arbiter_in_domain(
            self._peers.me.domain, caller.service, now
        )
        if is_me:
            self._arbiter.expect_return(caller)
        elif arbiter is not None:
            run = reports.short_run(self._peers.me.incarnation)
            message = permit_messages.PermitRelease(run, [], rejected=caller)
            self._peers.send_permit(arbiter, self._encoder.encode(message))

    @property
    def queued(self) -> int:
        """Requests that wait for a slot that this VM assigns."""
        return len(self._gate.admission)

    async def _request_permit(
        self,
        waiter: admission.Waiter,
        target: targets.Target | None,
        arbiter: reports.Peer,
    ) -> targets.Target | None:
        """Returns the granted target; None to ask elsewhere.

        Args:
            waiter: The request.
            target: The owner of its key; None for any upstream.
            arbiter: The VM that decides.

        Raises:
            RejectedError: The arbiter rejected the permit request.
        """
        number = next(self._numbers)
        pending = self._pending[number] = _PendingRequest()
        self._arbiter_by_number[number] = arbiter
        granted = None
        try:
            reply = await self._await_decision(
                number, pending, waiter, target, arbiter
            )
            if reply is None:
                return None
            if target is not None:
                self._rate_limits.note_reply(target)
            rejected_callers.note_return(waiter, reply)
            if reply.status is permit_messages.PermitStatus.REFUSED:
                error = _rejected_error(reply, target)
                error.decided_by = arbiter.row.node
                raise error
            granted = self._granted_target(waiter, target, reply)
            if granted is not None:
                self._number_by_waiter[waiter.sequence] = number
                waiter.occupied = reply.occupied
                granted.note_permitted(
                    waiter.sequence, clocks.monotonic(), waiter.expected_s
                )
            return granted
        finally:
            del self._pending[number]
            if granted is None:
                self._send_release(number)

    def _granted_target(
        self,
        waiter: admission.Waiter,
        target: targets.Target | None,
        reply: permit_messages.PermitReply,
    ) -> targets.Target | None:
        """Returns the target of a permit, if it can still take the request."""
        now = clocks.monotonic()
        if waiter.owner is not None:
            return target if waiter.owner.target(now) is target else None
        granted = target or self._target_table.by_id.get(reply.upstream)
        if (
            granted is None
            or not self._gate.admission.is_usable(granted, waiter, now)
            or granted.is_backing_off(now)
        ):
            # This VM already knows that the upstream is leaving or unusable,
            # and the arbiter doesn't yet.
            waiter.excluded.add(reply.upstream if target is None else target.id)
            return None
        return granted

    async def _await_decision(
        self, number, pending, waiter, target, arbiter
    ) -> permit_messages.PermitReply | None:
        interval_s = WAITING_RETRY_S
        while True:
            if not await self._request_until_replied(
                number, pending, waiter, target, arbiter
            ):
                self._selector.avoid(arbiter, clocks.monotonic())
                self._meters.permits.add("arbiter-silent")
                logs.logger.info("arbiter silent", peer_node=arbiter.row.node)
                return None
            end = clocks.monotonic() + interval_s
            while not pending.is_final and clocks.monotonic() < end:
                await pending.wait_for_reply(WAITING_RETRY_S)
                if waiter.owner is None:
                    continue
                if waiter.owner.target(clocks.monotonic()) is not target:
                    return None
            if pending.is_final:
                return pending.reply
            interval_s = min(2 * interval_s, MAX_WAITING_RETRY_S)

    async def _request_until_replied(
        self, number, pending, waiter, target, arbiter
    ) -> bool:
        """Sends the permit request until a reply arrives or it times out."""
        retry_s = max(
            MIN_REQUEST_RETRY_S,
            REQUEST_RETRY_FRACTION * waiter.route.objective_s,
        )
        for _ in range(MAX_REQUEST_SENDS):
            self._send_request(number, waiter, target, arbiter)
            if await pending.wait_for_reply(retry_s):
                return True
        return False

    def _send_request(self, number, waiter, target, arbiter) -> None:
        now = clocks.monotonic()
        gives_up_at = waiter.gives_up_at
        request = permit_messages.PermitRequest(
            reports.short_run(self._peers.me.incarnation),
            number,
            "" if target is None else target.id,
            clocks.milliseconds(now - waiter.arrived),
            clocks.milliseconds(waiter.deadline - now),
            clocks.milliseconds(waiter.expected_s),
            clocks.milliseconds(waiter.route.objective_s),
            waiter.route.priority,
            waiter.key,
            None
            if gives_up_at is None
            else clocks.milliseconds(gives_up_at - now),
            list(self._ended_by_node.get(arbiter.row.node, ())),
        )
        if target is None:
            request.service = waiter.service
            request.excluded = sorted(
                waiter.excluded | self._backing_off(waiter.service, now)
            )
        request.rejections = waiter.rejections
        if waiter.max_wait_s is not None:
            request.max_wait_ms = clocks.milliseconds(waiter.max_wait_s)
        request.group = waiter.group.encode()
        self._peers.send_permit(arbiter, self._encoder.encode(request))
        self._meters.permits.add("asked")

    def _backing_off(
        self, service: ids.ServiceName, now: float
    ) -> set[model.UpstreamId]:
        """Returns the upstreams of a service that want no requests of this VM.

        An arbiter doesn't know them.
        """
        group = self._target_table.by_service.get(service, {})
        return {
            name for name, target in group.items() if target.is_backing_off(now)
        }

    def _send_release(
        self,
        number: int,
        penalty_s: float = 0.0,
        slowdown: float | None = None,
        rejected: permit_messages.RejectedCaller | None = None,
    ) -> None:
        """Reports that a request ended, or no longer waits.

        Args:
            number: Number of the permit request.
            penalty_s: Remaining penalty of its upstream, in seconds.
            slowdown: Current over usual service time there, if known.
            rejected: Its caller, if it was told to retry.
        """
        arbiter = self._arbiter_by_number.pop(number)
        ended = self._ended_by_node.setdefault(
            arbiter.row.node, collections.deque(maxlen=MAX_REPEATED_RELEASES)
        )
        ended.append(number)
        run = reports.short_run(self._peers.me.incarnation)
        message = permit_messages.PermitRelease(
            run,
            list(ended),
            clocks.milliseconds(penalty_s),
            None if slowdown is None else round(100 * slowdown),
            rejected,
        )
        self._peers.send_permit(arbiter, self._encoder.encode(message))

    def _receive(self, data: bytes, sender) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            problem = errors.ControlMessageError(
                str(error), step="decode permit", peer=str(sender)
            )
            logs.logger.warning("permit message dropped", error=str(problem))
            return
        if isinstance(message, permit_messages.PermitReply):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.set_reply(message)
            return
        peer = self._peers.find_run(message.run)
        if peer is None:
            # The sender isn't registered here yet, or this is from its
            # previous run.
            return
        if isinstance(message, permit_messages.PermitRelease):
            if message.ended:
                self._arbiter.note_upstream_state(peer, message)
            if message.rejected is not None:
                self._arbiter.expect_return(message.rejected)
        for number in message.ended:
            self._arbiter.end_permit(peer, number)
        if isinstance(message, permit_messages.PermitRequest):
            self._arbiter.handle_request(peer, message)


def _rejected_error(
    reply: permit_messages.PermitReply, target: targets.Target | None
) -> outcomes.RejectedError:
    overload = admission.Rejection(
        reply.retry_after_ms / 1000,
        reply.wait_ms / 1000,
        None if target is None else target.id,
        is_reserved=reply.is_reserved,
        figures=wait_figures.decode(reply.figures),
    )
    return gate_lib.rejected_error(overload)
