"""Assigns the slots of upstreams to the requests of all VMs.

Counterpart of `permits.py`, which explains why one VM decides for all.
"""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import admission
from swiftstile.gateway import caller_retries
from swiftstile.gateway import fair_groups
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import permit_messages
from swiftstile.gateway import rejected_callers
from swiftstile.gateway import reports
from swiftstile.gateway import targets

__all__ = ["Arbiter"]

# A permit that was never released expires this long after its request does.
EXPIRY_MARGIN_S = 0.1
_SWEEP_INTERVAL_S = 0.25
# A rejection states no longer wait than this, which stands for none in sight.
MAX_STATED_WAIT_S = 3600.0


class _Permit:
    """The state of one request of another VM.

    Attributes:
        waiter: The request.
        target: The granted target, once decided.
        pending: Future of the target, while the request waits.
        expires_at: When the permit ends if no release arrives.
    """

    __slots__ = ("expires_at", "pending", "target", "waiter")

    def __init__(self, waiter: admission.Waiter):
        self.waiter = waiter
        self.target: targets.Target | None = None
        self.pending: asyncio.Future | None = None
        self.expires_at = waiter.deadline + EXPIRY_MARGIN_S


class _RequestedOwner(admission.OwnerLookup):
    """The owner that another VM named; it does its own owner lookup."""

    def __init__(self, target: targets.Target):
        self._target = target

    def target(self, now: float) -> targets.Target | None:
        """See base class."""
        return self._target

    def ready_in_s(self, now: float) -> float:
        """See base class."""
        return 0.0


class Arbiter:
    """Assigns the slots of upstreams to other VMs.

    Args:
        peers: The other VMs.
        gate: Decides on requests, including those of this VM.
        target_table: The upstreams.
        is_leaving: Returns whether this VM is shutting down.
        meters: Counts permits.
        retry_tracker: Recognises callers that come back.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        gate: gate_lib.Gate,
        target_table: targets.TargetTable,
        is_leaving,
        meters: metrics.Meters,
        retry_tracker: caller_retries.RetryTracker | None = None,
    ):
        self._retry_tracker = retry_tracker or caller_retries.RetryTracker()
        self._peers = peers
        self._gate = gate
        self._target_table = target_table
        self.is_leaving = is_leaving
        self._meters = meters
        self._permits: dict[tuple[str, int], _Permit] = {}
        self._encoder = msgspec.msgpack.Encoder()

    async def run(self) -> None:
        """Ends permits that expired or whose VM can't use them.

        Runs until cancelled.
        """
        while True:
            await pacing.sleep_aligned(_SWEEP_INTERVAL_S)
            now = clocks.monotonic()
            expired = [
                name
                for name, permit in self._permits.items()
                if now > permit.expires_at or self._has_ended(name[0])
            ]
            for name in expired:
                self._meters.permits.add("lapsed")
                self._end(name)

    def _has_ended(self, run: str) -> bool:
        """Whether a run has ended or has no requests at upstreams any more."""
        peer = self._peers.find_run(run)
        return peer is None or peer.is_isolated

    def handle_request(
        self, peer: reports.Peer, request: permit_messages.PermitRequest
    ) -> None:
        """Decides on a permit request, or repeats the earlier decision."""
        name = (request.run, request.number)
        known = self._permits.get(name)
        if known is not None:
            self._send_status(peer, request.number, known)
            return
        if request.service:
            if request.service in self._target_table.by_service:
                self._start(peer, request, self._waiter_in_domain(request))
            # A VM that has just started doesn't know the service yet; the
            # sender times out and asks elsewhere.
            return
        target = self._target_table.by_id.get(request.upstream)
        if target is None or target.is_replaced:
            # The requesting VM has newer information about the upstream.
            self._send(
                peer,
                permit_messages.PermitReply(
                    request.number, permit_messages.PermitStatus.GRANTED
                ),
            )
            return
        owner = _RequestedOwner(target)
        service = target.upstream.service
        waiter = _waiter(request, service, owner, clocks.monotonic())
        self._start(peer, request, waiter)

    def _waiter_in_domain(
        self, request: permit_messages.PermitRequest
    ) -> admission.Waiter:
        """Returns a request for any upstream of this VM's failure domain."""
        waiter = _waiter(request, request.service, None, clocks.monotonic())
        waiter.domain = self._peers.me.domain
        waiter.excluded = set(request.excluded)
        return waiter

    def _start(
        self,
        peer: reports.Peer,
        request: permit_messages.PermitRequest,
        waiter: admission.Waiter,
    ) -> None:
        name = (request.run, request.number)
        decided = self._gate.start_acquire(waiter)
        if isinstance(decided, admission.Rejection):
            self._send_rejection(peer, request.number, waiter, decided)
            return
        permit = self._permits[name] = _Permit(waiter)
        if isinstance(decided, targets.Target):
            permit.target = decided
        else:
            permit.pending = decided
            decided.add_done_callback(
                lambda future: self._on_decided(peer, name, permit, future)
            )
        self._send_status(peer, request.number, permit)

    def note_upstream_state(
        self, peer: reports.Peer, message: permit_messages.PermitRelease
    ) -> None:
        """Applies the penalty and slowdown that a release reports."""
        run = reports.short_run(peer.row.incarnation)
        permit = self._permits.get((run, message.ended[-1]))
        if permit is None or permit.target is None:
            return
        now = clocks.monotonic()
        if message.penalty_ms:
            permit.target.note_rejected(now, message.penalty_ms / 1000)
        if message.slowdown_percent is not None:
            permit.target.note_slowdown(message.slowdown_percent / 100, now)

    def expect_return(self, caller: permit_messages.RejectedCaller) -> None:
        """Records a caller that an upstream rejected and that will retry."""
        self._retry_tracker.expect_caller(
            rejected_callers.rejected_attempt(caller),
            clocks.monotonic(),
        )

    def end_permit(self, peer: reports.Peer, number: int) -> None:
        """Ends the permit of a request that ended or no longer waits."""
        self._end((reports.short_run(peer.row.incarnation), number))

    def _end(self, name: tuple[str, int]) -> None:
        permit = self._permits.pop(name, None)
        if permit is None:
            return
        if permit.pending is not None and permit.target is None:
            self._gate.cancel_wait(permit.waiter, permit.pending)
            permit.pending.cancel()
        else:
            self._gate.release(permit.waiter, permit.target)

    def _on_decided(self, peer, name, permit: _Permit, future) -> None:
        """Sends the decision on a request that had to wait."""
        if future.cancelled() or self._permits.get(name) is not permit:
            return
        error = future.exception()
        if error is not None:
            del self._permits[name]
            self._send_rejection(peer, name[1], permit.waiter, error.rejection)
            return
        permit.target = future.result()
        self._send_status(peer, name[1], permit)

    def _send_status(self, peer, number: int, permit: _Permit) -> None:
        if permit.target is None:
            self._send(
                peer,
                permit_messages.PermitReply(
                    number, permit_messages.PermitStatus.WAITING
                ),
            )
            return
        waiter = permit.waiter
        reply = permit_messages.PermitReply(
            number,
            permit_messages.PermitStatus.GRANTED,
            waiter.occupied,
            rejections=waiter.rejections,
            returned_after_ms=clocks.milliseconds(waiter.returned_after_s),
            is_reserved=waiter.is_reserved,
        )
        if waiter.domain is not None:
            reply.upstream = permit.target.id
        self._send(peer, reply)

    def _send_rejection(self, peer, number: int, waiter, overload) -> None:
        self._meters.permits.add("refused")
        self._send(
            peer,
            permit_messages.PermitReply(
                number,
                permit_messages.PermitStatus.REFUSED,
                retry_after_ms=clocks.milliseconds(overload.retry_after_s),
                # Infinite while no upstream takes requests.
                wait_ms=clocks.milliseconds(
                    min(overload.wait_s, MAX_STATED_WAIT_S)
                ),
                rejections=waiter.rejections,
                returned_after_ms=clocks.milliseconds(waiter.returned_after_s),
                is_reserved=overload.is_reserved,
                figures=[]
                if overload.figures is None
                else overload.figures.encode(),
            ),
        )

    def _send(
        self, peer: reports.Peer, reply: permit_messages.PermitReply
    ) -> None:
        self._peers.send_permit(peer, self._encoder.encode(reply))


def _waiter(
    request: permit_messages.PermitRequest,
    service: ids.ServiceName,
    owner: admission.OwnerLookup | None,
    now: float,
) -> admission.Waiter:
    """Returns the waiter that another VM's permit request describes."""
    route = model.Route(
        name="",
        host="",
        prefix="",
        repeatability=model.Repeatability.IDEMPOTENT,
        timeout_s=(request.age_ms + request.remaining_ms) / 1000,
        objective_s=request.objective_ms / 1000,
        priority=request.priority,
        shares=(),
        max_attempts=1,
    )
    waiter = admission.Waiter(
        route,
        service,
        owner,
        now - request.age_ms / 1000,
        now + request.remaining_ms / 1000,
        max(1, request.expected_ms) / 1000,
        request.key,
        None
        if request.caller_timeout_ms is None
        else now + request.caller_timeout_ms / 1000,
    )
    waiter.is_for_peer = True
    waiter.rejections = request.rejections
    waiter.group = fair_groups.parse(request.group)
    if request.max_wait_ms is not None:
        waiter.max_wait_s = request.max_wait_ms / 1000
    return waiter
