"""Permits: one VM assigns the slots of an upstream to requests of all VMs.

Counts that VMs tell each other are as old as the work is long between failure
domains, and each VM sees a small part of an upstream's requests. So one VM of
the upstream's own domain, its *arbiter*, decides for all: a VM asks it before
it sends, and reports when the request has ended. Losing it costs nothing but
order: without an answer a VM decides by the counts that it knows.

A key has one owner, so there is nothing to choose but when to send: each owner
has an arbiter. Where many VMs share upstreams without owners, each domain has
one arbiter a service, which chooses among the upstreams of its domain. The own
domain's is asked first, those of others when the wait there is worth it
(`detours.py`).

The load that this answers: requests at two thirds to nine tenths of what
upstreams can do, with upstreams of half and of one and a half times the mean
speed, which don't answer what they can't queue.
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
from swiftstile.gateway import arbiters
from swiftstile.gateway import coldstart
from swiftstile.gateway import detours
from swiftstile.gateway import gate as gate_lib
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import permit_messages
from swiftstile.gateway import reports
from swiftstile.gateway import targets

__all__ = ["Permits"]

# A question without an answer is asked again after this part of its objective,
# and not before the latter, ten round trips between the users' failure domains.
# Links of 10 Mbit/s are taken for 50 ms by each large body.
ASK_AGAIN, LEAST_ASK_AGAIN_S = 0.08, 0.025
# Without an answer to so many questions the arbiter counts as out of reach.
# Few, as the request waits meanwhile.
MOST_ASKED = 3
# While a request waits at the arbiter it is asked again now and then, as its
# answer may be lost, or the arbiter gone: first after this, then after twice as
# long each time, up to the latter. Asked each 0.1 s, lookups that wait for
# seconds doubled what goes between domains.
WAITING_AGAIN_S, LONGEST_AGAIN_S = 0.1, 0.8
# Ends of requests are told again with the next messages to the same arbiter,
# in case a datagram was lost.
MOST_ENDED = 4


class _Asked:
    """A question of this VM that isn't settled yet.

    Attributes:
        decided: The last answer, if any.
    """

    def __init__(self):
        self.decided: permit_messages.Decided | None = None
        self._news = asyncio.Event()

    @property
    def is_settled(self) -> bool:
        """Whether it was decided for good."""
        decided = self.decided
        return (
            decided is not None
            and decided.verdict is not permit_messages.Verdict.WAITING
        )

    def note(self, decided: permit_messages.Decided) -> None:
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
        book: The upstreams.
        meters: Counts permits.
        limits: Names the one VM that hands out the slots of a cold upstream.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        gate: gate_lib.Gate,
        arbiter: arbiter_lib.Arbiter,
        book: targets.TargetBook,
        meters: metrics.Meters,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
    ):
        self._arbiters = arbiters.Arbiters(peers, arbiter.is_leaving, limits)
        self._peers = peers
        self._gate = gate
        self._arbiter = arbiter
        self._book = book
        self._meters = meters
        self._detours = detours.Detours(peers.me.domain)
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._arbiter_by_number: dict[int, reports.Peer] = {}
        self._ended_by_node: dict[model.NodeId, collections.deque[int]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(permit_messages.Message)
        # The permit of each request that has one from another VM.
        self._number_by_waiter: dict[int, int] = {}
        peers.on_permit = self._receive

    async def acquire(self, waiter: admission.Waiter) -> targets.Target:
        """Returns a target that has room, with the request counted there.

        Raises:
            RefusedError: No slot in time.
        """
        if waiter.owner is not None:
            return await self._acquire_owner(waiter)
        if self._gate.decisions.vms > admission.FEW_VMS:
            return await self._acquire_any(waiter)
        return await self._gate.acquire(waiter)

    async def _acquire_owner(self, waiter: admission.Waiter) -> targets.Target:
        while True:
            now = clocks.monotonic()
            target = waiter.owner.target(now)
            arbiter = None if target is None else self._arbiters.of(target, now)
            if arbiter is None:
                return await self._gate.acquire(waiter)
            granted = await self._ask(waiter, target, arbiter)
            if granted is not None:
                return granted
            if self._arbiters.is_avoided(arbiter, clocks.monotonic()):
                # It waited long enough for one that doesn't answer.
                return await self._gate.acquire(waiter)
            # The key has another owner by now.

    async def _acquire_any(self, waiter: admission.Waiter) -> targets.Target:
        """Gets a slot of any upstream, from the domain that gives one first."""
        now = clocks.monotonic()
        group = self._gate.decisions.staying(waiter, now)
        refusal: outcomes.RefusedError | None = None
        for stop in self._detours.plan(waiter, group, now):
            waiter.domain = stop.domain
            waiter.most_wait_s = stop.most_wait_s
            try:
                target = await self._acquire_in(waiter, stop.domain)
            except outcomes.RefusedError as error:
                refusal = error
                self._detours.note_refused(
                    waiter.service, stop, clocks.monotonic()
                )
                continue
            if target is not None:
                return target
            refusal = None
        if refusal is not None:
            raise refusal
        waiter.domain = waiter.most_wait_s = None
        return await self._gate.acquire(waiter)

    async def _acquire_in(
        self, waiter: admission.Waiter, domain: ids.FailureDomain
    ) -> targets.Target | None:
        """Returns a target of a domain; None if nobody there answers."""
        arbiter, is_me = self._arbiters.in_domain(
            domain, waiter.service, clocks.monotonic()
        )
        if is_me:
            return await self._gate.acquire(waiter)
        if arbiter is None:
            return None
        return await self._ask(waiter, None, arbiter)

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """The request is no longer at the target."""
        number = self._number_by_waiter.pop(waiter.sequence, None)
        if number is None:
            self._gate.release(waiter, target)
            return
        target.note_permit_ended(waiter.sequence)
        if waiter.owner is not None:
            self._end(number)
            return
        # What this VM learned of the upstream, its arbiter should know.
        now = clocks.monotonic()
        self._end(
            number, target.penalty_left_s(now), target.reported_slowdown(now)
        )

    @property
    def queued(self) -> int:
        """Requests that wait at this VM for a slot that it hands out."""
        return len(self._gate.decisions)

    async def _ask(
        self,
        waiter: admission.Waiter,
        target: targets.Target | None,
        arbiter: reports.Peer,
    ) -> targets.Target | None:
        """Returns the target that was granted; None to ask elsewhere.

        Args:
            waiter: The request.
            target: The owner of its key; None for any upstream.
            arbiter: Who is asked.

        Raises:
            RefusedError: The arbiter refused it.
        """
        number = next(self._numbers)
        asked = self._asked[number] = _Asked()
        self._arbiter_by_number[number] = arbiter
        granted = None
        try:
            decided = await self._await_verdict(
                number, asked, waiter, target, arbiter
            )
            if decided is None:
                return None
            if decided.verdict is permit_messages.Verdict.REFUSED:
                raise _refused(decided, target)
            granted = self._granted_target(waiter, target, decided)
            if granted is not None:
                self._number_by_waiter[waiter.sequence] = number
                waiter.occupied = decided.occupied
                granted.note_permitted(
                    waiter.sequence, clocks.monotonic(), waiter.expected_s
                )
            return granted
        finally:
            del self._asked[number]
            if granted is None:
                self._end(number)

    def _granted_target(
        self,
        waiter: admission.Waiter,
        target: targets.Target | None,
        decided: permit_messages.Decided,
    ) -> targets.Target | None:
        """Returns the target of a permit, if the request may still go there."""
        now = clocks.monotonic()
        if target is not None:
            return target if waiter.owner.target(now) is target else None
        granted = self._book.by_id.get(decided.upstream)
        if granted is None or not self._gate.decisions.is_usable(
            granted, waiter, now
        ):
            # This VM knows better, or heard of it earlier, that it leaves.
            waiter.excluded.add(decided.upstream)
            return None
        return granted

    async def _await_verdict(
        self, number, asked, waiter, target, arbiter
    ) -> permit_messages.Decided | None:
        pause_s = WAITING_AGAIN_S
        while True:
            if not await self._hear(number, asked, waiter, target, arbiter):
                self._arbiters.avoid(arbiter, clocks.monotonic())
                self._meters.permits.add("arbiter-silent")
                logs.logger.info("arbiter silent", peer_node=arbiter.row.node)
                return None
            end = clocks.monotonic() + pause_s
            while not asked.is_settled and clocks.monotonic() < end:
                await asked.news_within(WAITING_AGAIN_S)
                if target is None:
                    continue
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

    def _send_ask(self, number, waiter, target, arbiter) -> None:
        now = clocks.monotonic()
        gives_up_at = waiter.gives_up_at
        ask = permit_messages.Ask(
            reports.short_run(self._peers.me.incarnation),
            number,
            "" if target is None else target.id,
            clocks.milliseconds(now - waiter.arrived),
            clocks.milliseconds(waiter.end - now),
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
            ask.service = waiter.service
            ask.excluded = sorted(waiter.excluded)
            if waiter.most_wait_s is not None:
                ask.most_wait_ms = clocks.milliseconds(waiter.most_wait_s)
        self._peers.send_permit(arbiter, self._encoder.encode(ask))
        self._meters.permits.add("asked")

    def _end(
        self,
        number: int,
        pause_s: float = 0.0,
        slowdown: float | None = None,
    ) -> None:
        """Reports that a request ended, or gave up waiting.

        Args:
            number: The request.
            pause_s: For how long its upstream is best passed over.
            slowdown: How long work takes there over the usual, if known.
        """
        arbiter = self._arbiter_by_number.pop(number)
        ended = self._ended_by_node.setdefault(
            arbiter.row.node, collections.deque(maxlen=MOST_ENDED)
        )
        ended.append(number)
        run = reports.short_run(self._peers.me.incarnation)
        message = permit_messages.Ended(
            run,
            list(ended),
            clocks.milliseconds(pause_s),
            None if slowdown is None else round(100 * slowdown),
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
        if isinstance(message, permit_messages.Decided):
            asked = self._asked.get(message.number)
            if asked is not None:
                asked.note(message)
            return
        peer = self._peers.find_run(message.run)
        if peer is None:
            # Its registration will follow, or this is of an earlier run.
            return
        if isinstance(message, permit_messages.Ended) and message.ended:
            self._arbiter.note_outcome(peer, message)
        for number in message.ended:
            self._arbiter.end(peer, number)
        if isinstance(message, permit_messages.Ask):
            self._arbiter.decide(peer, message)


def _refused(
    decided: permit_messages.Decided, target: targets.Target | None
) -> outcomes.RefusedError:
    overload = admission.Overload(
        decided.retry_after_ms / 1000,
        decided.wait_ms / 1000,
        None if target is None else target.id,
    )
    return gate_lib.refused(overload)
