"""Assigns the slots of upstreams to the requests of all VMs.

The other side of `permits.py`, which says why one VM decides for all.
"""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import admission
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import permit_messages
from swiftstile.gateway import reports
from swiftstile.gateway import targets

__all__ = ["Arbiter"]

# A permit whose end was never told lapses this long after its request's end.
LAPSE_S = 0.1
_SWEEP_S = 0.25


class _Permit:
    """What another VM was told of one request.

    Attributes:
        waiter: The request.
        target: Where it may be sent, once that is decided.
        lapses_at: When the permit counts as ended, whoever says nothing.
    """

    __slots__ = ("lapses_at", "target", "waiter", "waiting")

    def __init__(self, waiter: admission.Waiter):
        self.waiter = waiter
        self.target: targets.Target | None = None
        self.waiting: asyncio.Future | None = None
        self.lapses_at = waiter.end + LAPSE_S


class _Wanted(admission.OwnerLookup):
    """The upstream that another VM asked for; that VM knows why."""

    def __init__(self, target: targets.Target):
        self._target = target

    def target(self, now: float) -> targets.Target | None:
        """See base class."""
        return self._target

    def ready_in_s(self, now: float) -> float:
        """See base class."""
        return 0.0


class Arbiter:
    """Hands out the slots of upstreams to other VMs.

    Args:
        peers: The other VMs.
        gate: Decides, for requests of this VM too.
        book: The upstreams.
        is_leaving: Returns whether this VM shuts down.
        meters: Counts permits.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        gate: gate_lib.Gate,
        book: targets.TargetBook,
        is_leaving,
        meters: metrics.Meters,
    ):
        self._peers = peers
        self._gate = gate
        self._book = book
        self.is_leaving = is_leaving
        self._meters = meters
        self._permits: dict[tuple[str, int], _Permit] = {}
        self._encoder = msgspec.msgpack.Encoder()

    async def run(self) -> None:
        """Ends permits of which nothing is heard any more, until cancelled."""
        while True:
            await pacing.sleep_aligned(_SWEEP_S)
            now = clocks.monotonic()
            lapsed = [
                name
                for name, permit in self._permits.items()
                if now > permit.lapses_at or self._peers.of_run(name[0]) is None
            ]
            for name in lapsed:
                self._meters.permits.add("lapsed")
                self._drop(name)

    def decide(self, peer: reports.Peer, ask: permit_messages.Ask) -> None:
        """Decides on a question, or says again what was decided."""
        name = (ask.run, ask.number)
        known = self._permits.get(name)
        if known is not None:
            self._tell_state(peer, ask.number, known)
            return
        if ask.service:
            if ask.service in self._book.by_service:
                self._begin(peer, ask, self._waiter_in_domain(ask))
            # Else it has just started, and others know more.
            return
        target = self._book.by_id.get(ask.upstream)
        if target is None or target.is_replaced:
            # The one that asks knows more of it.
            self._tell(
                peer,
                permit_messages.Decided(
                    ask.number, permit_messages.Verdict.GRANTED
                ),
            )
            return
        owner = _Wanted(target)
        service = target.upstream.service
        self._begin(peer, ask, _waiter(ask, service, owner, clocks.monotonic()))

    def _waiter_in_domain(self, ask: permit_messages.Ask) -> admission.Waiter:
        """Returns a request for any upstream of this VM's failure domain."""
        waiter = _waiter(ask, ask.service, None, clocks.monotonic())
        waiter.domain = self._peers.me.domain
        waiter.excluded = set(ask.excluded)
        if ask.most_wait_ms is not None:
            waiter.most_wait_s = ask.most_wait_ms / 1000
        return waiter

    def _begin(
        self,
        peer: reports.Peer,
        ask: permit_messages.Ask,
        waiter: admission.Waiter,
    ) -> None:
        name = (ask.run, ask.number)
        decided = self._gate.begin(waiter)
        if isinstance(decided, admission.Overload):
            self._tell_refused(peer, ask.number, decided)
            return
        permit = self._permits[name] = _Permit(waiter)
        if isinstance(decided, targets.Target):
            permit.target = decided
        else:
            permit.waiting = decided
            decided.add_done_callback(
                lambda future: self._settle(peer, name, permit, future)
            )
        self._tell_state(peer, ask.number, permit)

    def note_outcome(
        self, peer: reports.Peer, message: permit_messages.Ended
    ) -> None:
        """Takes in what the last request that ended says of its upstream."""
        run = reports.short_run(peer.row.incarnation)
        permit = self._permits.get((run, message.ended[-1]))
        if permit is None or permit.target is None:
            return
        now = clocks.monotonic()
        if message.pause_ms:
            permit.target.note_shed(now, message.pause_ms / 1000)
        if message.work_percent is not None:
            permit.target.note_slowdown(message.work_percent / 100, now)

    def end(self, peer: reports.Peer, number: int) -> None:
        """A request ended, or doesn't want a slot any more."""
        self._drop((reports.short_run(peer.row.incarnation), number))

    def _drop(self, name: tuple[str, int]) -> None:
        permit = self._permits.pop(name, None)
        if permit is None:
            return
        if permit.waiting is not None and permit.target is None:
            self._gate.give_up(permit.waiter, permit.waiting)
            permit.waiting.cancel()
        else:
            self._gate.release(permit.waiter, permit.target)

    def _settle(self, peer, name, permit: _Permit, future) -> None:
        """A request that waited got a slot or was refused."""
        if future.cancelled() or self._permits.get(name) is not permit:
            return
        error = future.exception()
        if error is not None:
            del self._permits[name]
            self._tell_refused(peer, name[1], error.overload)
            return
        permit.target = future.result()
        self._tell_state(peer, name[1], permit)

    def _tell_state(self, peer, number: int, permit: _Permit) -> None:
        if permit.target is None:
            self._tell(
                peer,
                permit_messages.Decided(
                    number, permit_messages.Verdict.WAITING
                ),
            )
            return
        decided = permit_messages.Decided(
            number, permit_messages.Verdict.GRANTED, permit.waiter.occupied
        )
        if permit.waiter.domain is not None:
            decided.upstream = permit.target.id
        self._tell(peer, decided)

    def _tell_refused(self, peer, number: int, overload) -> None:
        self._meters.permits.add("refused")
        self._tell(
            peer,
            permit_messages.Decided(
                number,
                permit_messages.Verdict.REFUSED,
                retry_after_ms=clocks.milliseconds(overload.retry_after_s),
                wait_ms=clocks.milliseconds(overload.wait_s),
            ),
        )

    def _tell(
        self, peer: reports.Peer, decided: permit_messages.Decided
    ) -> None:
        self._peers.send_permit(peer, self._encoder.encode(decided))


def _waiter(
    ask: permit_messages.Ask,
    service: ids.ServiceName,
    owner: admission.OwnerLookup | None,
    now: float,
) -> admission.Waiter:
    """Returns a request as another VM described it."""
    route = model.Route(
        name="",
        host="",
        prefix="",
        repeatability=model.Repeatability.IDEMPOTENT,
        timeout_s=(ask.age_ms + ask.left_ms) / 1000,
        objective_s=ask.objective_ms / 1000,
        priority=ask.priority,
        shares=(),
        max_attempts=1,
    )
    return admission.Waiter(
        route,
        service,
        owner,
        now - ask.age_ms / 1000,
        now + ask.left_ms / 1000,
        max(1, ask.expected_ms) / 1000,
        ask.key,
        None if ask.gives_up_ms is None else now + ask.gives_up_ms / 1000,
    )
