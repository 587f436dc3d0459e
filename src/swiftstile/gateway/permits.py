"""Permits: one VM hands out the slots of an upstream that owns keys.

A key has one owner, so there is nothing to choose but when to send, and for
that somebody has to know what all VMs have there. Counts that VMs tell each
other are as old as the work is long between failure domains, and each VM sees
a tenth of an upstream's requests. So one VM of the upstream's own domain, its
*arbiter*, decides for all: a VM asks it before it sends, and tells it when the
request has ended. Losing it costs nothing but order: without an answer a VM
decides by the counts that it knows.

The load that this answers: lookups at two thirds to nine tenths of what their
owners can do, with owners of half and of one and a half times the mean speed.
"""

import asyncio
import collections
import enum
import itertools

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import targets

__all__ = ["Arbiter", "Permits"]

# A question without an answer is asked again after this part of its objective,
# and not before the latter, ten round trips between the users' failure domains.
# Links of 10 Mbit/s are taken for 50 ms by each large body.
ASK_AGAIN, LEAST_ASK_AGAIN_S = 0.08, 0.025
# Without an answer to so many questions the arbiter counts as out of reach.
# Few, as the request waits meanwhile.
MOST_ASKED = 3
# VMs with less than this part of the bandwidth that others of their domain have
# are no arbiters: with 10 Mbit/s beside 200, each second question went without
# an answer in time.
LEAST_BANDWIDTH = 0.5
# While a request waits at the arbiter it is asked again now and then, as its
# answer may be lost, or the arbiter gone: first after this, then after twice as
# long each time, up to the latter. Asked each 0.1 s, lookups that wait for
# seconds doubled what goes between domains.
WAITING_AGAIN_S, LONGEST_AGAIN_S = 0.1, 0.8
# An arbiter that didn't answer isn't asked for so long, as long as it takes to
# notice that a peer is silent.
AVOID_S = 1.0
# Ends of requests are told again with the next messages to the same arbiter,
# in case a datagram was lost.
MOST_ENDED = 4
# A permit whose end was never told lapses this long after its request's end.
LAPSE_S = 0.1
_SWEEP_S = 0.25


class _Verdict(enum.IntEnum):
    GRANTED = 0
    REFUSED = 1
    WAITING = 2


class _Ask(msgspec.Struct, array_like=True, tag=1):
    """Asks for a slot; sent again it is the same question.

    Attributes:
        run: Short name of the run that asks.
        number: Names the request among those of that run.
        upstream: Whose slot.
        age_ms: How long ago the request came.
        left_ms: How much longer its answer is of use.
        expected_ms: Time of an upstream of mean speed for it.
        objective_ms: Time within which its answer is of full use.
        priority: Its rank; 0 is the most urgent.
        key: Its key.
        gives_up_ms: How much longer its caller waits, if it said.
        ended: Requests of the same run that ended lately.
    """

    run: str
    number: int
    upstream: model.UpstreamId
    age_ms: int
    left_ms: int
    expected_ms: int
    objective_ms: int
    priority: int
    key: int
    gives_up_ms: int | None
    ended: list[int]


class _Decided(msgspec.Struct, array_like=True, tag=2):
    """Answers a question.

    Attributes:
        number: The request.
        verdict: What was decided.
        occupied: Other requests at the upstream, when granted.
        retry_after_ms: When to come back, if refused.
        wait_ms: How long it would have waited, or did, if refused.
    """

    number: int
    verdict: _Verdict
    occupied: int = 0
    retry_after_ms: int = 0
    wait_ms: int = 0


class _Ended(msgspec.Struct, array_like=True, tag=3):
    """Tells that requests have ended, or don't want a slot any more."""

    run: str
    ended: list[int]


_Message = _Ask | _Decided | _Ended


class _Asked:
    """A question of this VM that isn't settled yet.

    Attributes:
        decided: The last answer, if any.
    """

    def __init__(self):
        self.decided: _Decided | None = None
        self._news = asyncio.Event()

    @property
    def is_settled(self) -> bool:
        """Whether it was decided for good."""
        decided = self.decided
        return decided is not None and decided.verdict is not _Verdict.WAITING

    def note(self, decided: _Decided) -> None:
        """An answer came."""
        self.decided = decided
        self._news.set()

    async def news_within(self, seconds: float) -> bool:
        """Waits for an answer; whether one came."""
        try:
            async with asyncio.timeout(seconds):
                await self._news.wait()
        except TimeoutError:
            return False
        self._news.clear()
        return True


class Permits:
    """Gets slots for the requests of this VM, from whoever hands them out.

    Args:
        peers: The other VMs.
        gate: The slots that this VM hands out itself.
        arbiter: Answers the questions of other VMs.
        meters: Counts permits.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        gate: gate_lib.Gate,
        arbiter: "Arbiter",
        meters: metrics.Meters,
    ):
        self._peers = peers
        self._gate = gate
        self._arbiter = arbiter
        self._meters = meters
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._arbiter_by_number: dict[int, reports.Peer] = {}
        self._ended_by_node: dict[model.NodeId, collections.deque[int]] = {}
        self._avoided_until: dict[model.NodeId, float] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Message)
        # The permit of each request that has one from another VM.
        self._number_by_waiter: dict[int, int] = {}
        peers.on_permit = self._receive

    async def acquire(self, waiter: admission.Waiter) -> targets.Target:
        """Returns a target that has room, with the request counted there.

        Raises:
            RefusedError: No slot in time.
        """
        while True:
            now = clocks.monotonic()
            target = None if waiter.owner is None else waiter.owner.target(now)
            arbiter = None if target is None else self._choose(target, now)
            if arbiter is None:
                return await self._gate.acquire(waiter)
            decided = await self._ask(waiter, target, arbiter)
            if decided is None:
                if self._is_avoided(arbiter, clocks.monotonic()):
                    # It waited long enough for one that doesn't answer.
                    return await self._gate.acquire(waiter)
                # The key has another owner by now.
                continue
            if decided.verdict is _Verdict.REFUSED:
                raise _refused(decided, target)
            now = clocks.monotonic()
            waiter.occupied = decided.occupied
            target.note_permitted(waiter.sequence, now, waiter.expected_s)
            return target

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """The request is no longer at the target."""
        number = self._number_by_waiter.pop(waiter.sequence, None)
        if number is None:
            self._gate.release(waiter, target)
            return
        target.note_permit_ended(waiter.sequence)
        self._end(number)

    @property
    def queued(self) -> int:
        """Requests that wait at this VM for a slot that it hands out."""
        return len(self._gate.decisions)

    def _choose(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """Returns the arbiter of an upstream; None if this VM decides."""
        me = self._peers.me
        domain = target.upstream.failure_domain
        peers = self._peers.reachable(domain, now)
        is_near = domain == me.domain and not self._arbiter.is_leaving()
        most_mbps = max(
            [peer.row.link_mbps for peer in peers] + [me.link_mbps] * is_near,
            default=0.0,
        )
        least_mbps = LEAST_BANDWIDTH * most_mbps
        best, best_affinity = None, -1
        if is_near and me.link_mbps >= least_mbps:
            best_affinity = renewals.affinity(me.node, target.id)
        for peer in peers:
            if peer.row.link_mbps < least_mbps or self._is_avoided(peer, now):
                continue
            affinity = renewals.affinity(peer.row.node, target.id)
            if affinity > best_affinity:
                best, best_affinity = peer, affinity
        return best

    async def _ask(
        self,
        waiter: admission.Waiter,
        target: targets.Target,
        arbiter: reports.Peer,
    ) -> _Decided | None:
        """Returns what was decided; None if it has to be asked elsewhere."""
        number = next(self._numbers)
        asked = self._asked[number] = _Asked()
        self._arbiter_by_number[number] = arbiter
        is_granted = False
        try:
            decided = await self._await_verdict(
                number, asked, waiter, target, arbiter
            )
            if decided is not None and decided.verdict is _Verdict.GRANTED:
                is_granted = waiter.owner.target(clocks.monotonic()) is target
                if not is_granted:
                    return None
                self._number_by_waiter[waiter.sequence] = number
            return decided
        finally:
            del self._asked[number]
            if not is_granted:
                self._end(number)

    async def _await_verdict(
        self, number, asked, waiter, target, arbiter
    ) -> _Decided | None:
        pause_s = WAITING_AGAIN_S
        while True:
            if not await self._hear(number, asked, waiter, target, arbiter):
                self._avoid(arbiter, clocks.monotonic())
                return None
            end = clocks.monotonic() + pause_s
            while not asked.is_settled and clocks.monotonic() < end:
                await asked.news_within(WAITING_AGAIN_S)
                if waiter.owner.target(clocks.monotonic()) is not target:
                    return None
            if asked.is_settled:
                return asked.decided
            pause_s = min(2 * pause_s, LONGEST_AGAIN_S)

    async def _hear(self, number, asked, waiter, target, arbiter) -> bool:
        """Asks until anything is heard; whether something was, in time."""
        again_s = max(LEAST_ASK_AGAIN_S, ASK_AGAIN * waiter.route.objective_s)
        for _ in range(MOST_ASKED):
            self._send_ask(number, waiter, target, arbiter)
            if await asked.news_within(again_s):
                return True
        return False

    def _is_avoided(self, arbiter: reports.Peer, now: float) -> bool:
        return self._avoided_until.get(arbiter.row.node, 0.0) > now

    def _avoid(self, arbiter: reports.Peer, now: float) -> None:
        self._avoided_until[arbiter.row.node] = now + AVOID_S
        self._meters.permits.add("arbiter-silent")
        logs.logger.info("arbiter silent", peer_node=arbiter.row.node)

    def _send_ask(self, number, waiter, target, arbiter) -> None:
        now = clocks.monotonic()
        gives_up_at = waiter.gives_up_at
        ask = _Ask(
            reports.short_run(self._peers.me.incarnation),
            number,
            target.id,
            _ms(now - waiter.arrived),
            _ms(waiter.end - now),
            _ms(waiter.expected_s),
            _ms(waiter.route.objective_s),
            waiter.route.priority,
            waiter.key,
            None if gives_up_at is None else _ms(gives_up_at - now),
            list(self._ended_by_node.get(arbiter.row.node, ())),
        )
        self._peers.send_permit(arbiter, self._encoder.encode(ask))
        self._meters.permits.add("asked")

    def _end(self, number: int) -> None:
        """Tells the arbiter that a request ended, or gave up waiting."""
        arbiter = self._arbiter_by_number.pop(number)
        ended = self._ended_by_node.setdefault(
            arbiter.row.node, collections.deque(maxlen=MOST_ENDED)
        )
        ended.append(number)
        run = reports.short_run(self._peers.me.incarnation)
        message = _Ended(run, list(ended))
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
        if isinstance(message, _Decided):
            asked = self._asked.get(message.number)
            if asked is not None:
                asked.note(message)
            return
        peer = self._peers.of_run(message.run)
        if peer is None:
            # Its registration will follow, or this is of an earlier run.
            return
        for number in message.ended:
            self._arbiter.end(peer, number)
        if isinstance(message, _Ask):
            self._arbiter.decide(peer, message)


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
            await asyncio.sleep(_SWEEP_S)
            now = clocks.monotonic()
            lapsed = [
                name
                for name, permit in self._permits.items()
                if now > permit.lapses_at or self._peers.of_run(name[0]) is None
            ]
            for name in lapsed:
                self._meters.permits.add("lapsed")
                self._drop(name)

    def decide(self, peer: reports.Peer, ask: _Ask) -> None:
        """Decides on a question, or says again what was decided."""
        name = (ask.run, ask.number)
        known = self._permits.get(name)
        if known is not None:
            self._tell_state(peer, ask.number, known)
            return
        target = self._book.by_id.get(ask.upstream)
        if target is None or target.is_replaced:
            # The one that asks knows more of it.
            self._tell(peer, _Decided(ask.number, _Verdict.GRANTED))
            return
        waiter = _waiter(ask, target, clocks.monotonic())
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
            self._tell(peer, _Decided(number, _Verdict.WAITING))
            return
        occupied = permit.waiter.occupied
        self._tell(peer, _Decided(number, _Verdict.GRANTED, occupied))

    def _tell_refused(self, peer, number: int, overload) -> None:
        self._meters.permits.add("refused")
        self._tell(
            peer,
            _Decided(
                number,
                _Verdict.REFUSED,
                retry_after_ms=_ms(overload.retry_after_s),
                wait_ms=_ms(overload.wait_s),
            ),
        )

    def _tell(self, peer: reports.Peer, decided: _Decided) -> None:
        self._peers.send_permit(peer, self._encoder.encode(decided))


def _waiter(ask: _Ask, target: targets.Target, now: float) -> admission.Waiter:
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
        target.upstream.service,
        _Wanted(target),
        now - ask.age_ms / 1000,
        now + ask.left_ms / 1000,
        max(1, ask.expected_ms) / 1000,
        ask.key,
        None if ask.gives_up_ms is None else now + ask.gives_up_ms / 1000,
    )


def _refused(
    decided: _Decided, target: targets.Target
) -> outcomes.RefusedError:
    overload = admission.Overload(
        decided.retry_after_ms / 1000, decided.wait_ms / 1000, target.id
    )
    return gate_lib.refused(overload)


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
