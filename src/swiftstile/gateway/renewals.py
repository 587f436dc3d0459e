"""Renews the grants of upstreams that this VM looks after.

Renewing a grant to the same owner under the same fence is harmless whoever
does it, so VMs share the upstreams out by what they see of each other, and two
that see differently only renew twice. What must not happen is a renewal long
after a slot was marked as leaving: a VM renews only while an `Authority` says
that what it knows is current.
"""

import abc
import asyncio
import collections.abc

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile import signals
from swiftstile.gateway import gossip
from swiftstile.gateway import holds
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import model
from swiftstile.gateway import parallel
from swiftstile.gateway import reports
from swiftstile.gateway import sharing
from swiftstile.gateway import targets

__all__ = ["HOLD_S", "Authority", "KeyMaps", "Renewals"]

# Hold of each grant. A lost owner's keys wait so long for another; longer
# holds would need fewer renewals.
HOLD_S = 5.0
# Between two renewals of a slot: two may fail before the hold is over.
RENEW_EVERY_S = 1.8
# Between two looks for what is due.
_TICK_S = 0.15
# After a failed grant.
_FAILURE_PAUSE_S = 0.25
# Grants to one upstream at the same time: enough to renew all its slots in
# a fraction of the interval, at a few milliseconds each.
_PARALLEL = 4
# The same to an upstream that leaves orders without an answer.
_PARALLEL_LOSING = 24
# Without an answer to so many, the upstream counts as out of reach.
_GIVE_UP_AFTER = 4


class Mark(msgspec.Struct, frozen=True):
    """A slot that is leaving its owner, as this VM knows it.

    Attributes:
        version: Version of the map in which it was seen to be marked first.
        fence: Under which its owner has it.
        known_at: When that was, on the steady clock.
    """

    version: int
    fence: int
    known_at: float


class KeyMaps:
    """The key maps in force, by service.

    Attributes:
        by_service: Maps as this VM knows them.
        marks_by_service: Slots that are leaving, by service and slot.
        changed_at: When a slot's owner last changed, by service and slot.
        changed: Wakes those that wait for a newer map.
    """

    def __init__(self):
        self.by_service: dict[ids.ServiceName, keymap.KeyMap] = {}
        self.marks_by_service: dict[ids.ServiceName, dict[int, Mark]] = {}
        self.changed_at: dict[ids.ServiceName, dict[int, float]] = {}
        self.changed = signals.Signal()

    def put(
        self, service: ids.ServiceName, newer: keymap.KeyMap, now: float
    ) -> None:
        """Takes in a map, unless a newer one is known."""
        known = self.by_service.get(service)
        if known is not None and known.version >= newer.version:
            return
        times = self.changed_at.setdefault(service, {})
        if known is not None and len(known.slots) == len(newer.slots):
            for index in newer.changed_since(known):
                if newer.slots[index].fence != known.slots[index].fence:
                    times[index] = now
        self.by_service[service] = newer
        self._note_marks(service, newer, now)
        self.changed.wake()

    def _note_marks(self, service, newer: keymap.KeyMap, now: float) -> None:
        known = self.marks_by_service.get(service, {})
        marks = {}
        for index in newer.leaving:
            fence = newer.slots[index].fence
            mark = known.get(index)
            if mark is None or mark.fence != fence:
                mark = Mark(newer.version, fence, now)
            marks[index] = mark
        self.marks_by_service[service] = marks


class _Sending:
    """Counts one grant: that it was sent, and what became of it."""

    def __init__(self, book: holds.HoldBook, run: range, hold_s: float):
        self._book = book
        self._run = run
        self._hold_s = hold_s
        self._is_open = False

    def begin(self) -> None:
        """It is about to be sent."""
        self._is_open = True
        self._book.note_sent(self._run)

    def end_answered(self) -> None:
        """It was answered."""
        self._is_open = False
        now = clocks.monotonic()
        self._book.note_answered(self._run, now, self._hold_s)

    def end_unsent(self) -> None:
        """It wasn't sent after all."""
        if self._is_open:
            self._is_open = False
            self._book.note_unsent(self._run)

    def end_lost(self) -> None:
        """Nothing more comes of it; it may have arrived if it is open."""
        if self._is_open:
            self._is_open = False
            now = clocks.monotonic()
            self._book.note_lost(self._run, now, self._hold_s)


class Authority(abc.ABC):
    """Knows whether grants may be renewed by what this VM knows."""

    @abc.abstractmethod
    def is_able(self, now: float) -> bool:
        """Whether this VM has the right to renew for any service."""

    @abc.abstractmethod
    def may_renew(self, service: ids.ServiceName) -> bool:
        """Whether this VM's map of a service is current enough."""


class Renewals:
    """Grants and renews keys.

    Attributes:
        holds_by_service: What may be held by grants of this VM.
        unreachable: Upstreams that don't answer this VM.
    """

    def __init__(
        self,
        maps: KeyMaps,
        book: targets.TargetBook,
        peers: gossip.Peers,
        control: interfaces.UpstreamControl,
        authority: Authority,
        meters: metrics.Meters,
    ):
        self._maps = maps
        self._book = book
        self._peers = peers
        self._sharing = sharing.Sharing(peers.me)
        self._control = control
        self._authority = authority
        self._meters = meters
        # When a run of slots was last granted, and under which fence, by its
        # first slot.
        self._granted: dict[ids.ServiceName, dict[int, tuple[int, float]]] = {}
        # Until when none of an owner's slots is due, by the map that says so.
        self._due: dict[model.UpstreamId, tuple[keymap.KeyMap, float]] = {}
        self._losing: set[model.UpstreamId] = set()
        self._tasks: dict[model.UpstreamId, asyncio.Task] = {}
        self._is_stopped = False
        # Since when this VM has had the right to renew without a break.
        self._able_since: float | None = None
        self.holds_by_service: dict[ids.ServiceName, holds.HoldBook] = {}
        self.unreachable: set[model.UpstreamId] = set()

    async def run(self) -> None:
        """Renews until cancelled."""
        try:
            while True:
                self._share_out(clocks.monotonic())
                await self._maps.changed.wait(_TICK_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def stop(self, now: float) -> bool:
        """Grants no more, if others will; whether it stopped.

        Told to the others, it saves a successor the wait for what this run may
        have granted until its end.
        """
        if sharing.able_by_domain(self._peers, now):
            self._is_stopped = True
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()
        return self._is_stopped

    def grants_end_s(self, now: float) -> float | None:
        """Returns until when its grants may hold; None while it gives any."""
        if not self._is_stopped:
            return None
        books = self.holds_by_service.values()
        return max((book.all_over_in_s(now) for book in books), default=0.0)

    def _share_out(self, now: float) -> None:
        if self._is_stopped:
            return
        if not self._authority.is_able(now):
            # Others say the same of themselves while there is no leader. Taken
            # for those that are gone, each VM would look after all upstreams.
            self._able_since = None
            return
        if self._able_since is None:
            self._able_since = now
        wanted = self._sharing.mine(self._look(now))
        for owner in [name for name in self._tasks if name not in wanted]:
            self._tasks.pop(owner).cancel()
            self.unreachable.discard(owner)
        for owner in wanted:
            task = self._tasks.get(owner)
            if task is None or task.done():
                self._tasks[owner] = asyncio.create_task(self._renew(owner))

    def _look(self, now: float) -> sharing.Look:
        """Returns all that decides which upstreams this VM looks after."""
        by_id = self._book.by_id
        return sharing.Look(
            sharing.able_by_domain(self._peers, now, self._able_since),
            self._peers.dissemination.live_domains(now),
            frozenset(self.unreachable),
            {
                owner: by_id[owner].upstream.failure_domain
                for key_map in self._maps.by_service.values()
                for owner in key_map.slots_by_owner
                if owner in by_id
            },
        )

    async def _renew(self, owner: model.UpstreamId) -> None:
        service = self._book.by_id[owner].upstream.service
        while True:
            is_answering = await self._renew_due(service, owner)
            if is_answering:
                self.unreachable.discard(owner)
                await self._maps.changed.wait(_TICK_S)
            else:
                self.unreachable.add(owner)
                await asyncio.sleep(_FAILURE_PAUSE_S)

    async def _renew_due(self, service, owner) -> bool:
        key_map = self._maps.by_service[service]
        now = clocks.monotonic()
        if not self._authority.may_renew(service):
            return True
        if self._has_started_again(key_map, owner):
            # Its new life needs a newer fence, which the leader gives it.
            return True
        queue = self._due_runs(service, key_map, owner, now)
        if not queue:
            return True
        # Orders that get no answer cost nothing but waiting: more at a time.
        is_losing = owner in self._losing
        count = _PARALLEL_LOSING if is_losing else _PARALLEL
        answers: list[bool] = []

        async def grant(run: range) -> None:
            answers.append(await self._grant(service, owner, run))

        await parallel.process_concurrently(
            queue,
            min(count, len(queue)),
            grant,
            lambda: any(answers) or len(answers) < _GIVE_UP_AFTER,
        )
        if all(answers):
            self._losing.discard(owner)
        else:
            self._losing.add(owner)
        return any(answers)

    def _due_runs(self, service, key_map, owner, now: float) -> list[range]:
        """Returns runs of slots to renew, the one granted longest ago last."""
        known = self._due.get(owner)
        if known is not None and known[0] is key_map and now < known[1]:
            return []
        granted = self._granted.get(service, {})
        due, earliest = [], now + RENEW_EVERY_S
        for run in key_map.runs_of(owner):
            fence, at = granted.get(run.start, (0, 0.0))
            if fence != key_map.slots[run.start].fence:
                at = 0.0
            if now - at >= RENEW_EVERY_S:
                due.append((at, run))
            else:
                earliest = min(earliest, at + RENEW_EVERY_S)
        if not due:
            self._due[owner] = key_map, earliest
        due.sort(key=lambda entry: entry[0], reverse=True)
        return [run for _, run in due]

    async def _grant(self, service, owner, run: range) -> bool:
        key_map = self._maps.by_service[service]
        slot = key_map.slots[run.start]
        target = self._book.by_id.get(owner)
        now = clocks.monotonic()

        def is_due() -> bool:
            return self._is_due(service, owner, run, slot)

        if target is None or not is_due():
            return True
        try:
            result = await self.grant_counted(
                service,
                target,
                run,
                key_map.keys_of_run(run),
                slot.fence,
                HOLD_S,
                slot.token,
                is_due,
            )
        except errors.PeerTimeoutError as error:
            self._meters.ownership.add("grant-unanswered")
            logs.logger.debug("grant unanswered", error=str(error))
            return False
        except errors.PeerUnavailableError as error:
            if not is_due():
                return True
            self._meters.ownership.add("grant-unsent")
            logs.logger.debug("grant not sent", error=str(error))
            return False
        self._meters.ownership.add(f"grant-{result.value}")
        granted = self._granted.setdefault(service, {})
        granted[run.start] = slot.fence, now
        if result is interfaces.GrantResult.REPLACED:
            self._book.mark_replaced(target, now)
            return False
        if result is not interfaces.GrantResult.HELD:
            logs.logger.warning(
                "grant refused",
                upstream=owner,
                service=service,
                keys=str(key_map.keys_of_run(run)),
                fence=slot.fence,
                result=result.value,
            )
        return True

    def _is_due(self, service, owner, run: range, first) -> bool:
        """Whether a run of slots is still its owner's, and ours to renew."""
        key_map = self._maps.by_service[service]
        if any(self._is_stale(key_map.slots[i], owner, first) for i in run):
            return False
        if self._has_started_again(key_map, owner):
            return False
        return self._authority.may_renew(service)

    async def grant_counted(
        self,
        service: ids.ServiceName,
        target: targets.Target,
        run: range,
        keys: interfaces.KeyRange,
        fence: int,
        hold_s: float,
        token: str,
        is_due: collections.abc.Callable[[], bool],
    ) -> interfaces.GrantResult:
        """Sends one grant, and counts what its upstream may hold by it.

        Args:
            service: The service.
            target: The upstream.
            run: Slots that are granted.
            keys: Their keys.
            fence: Under which fence.
            hold_s: For how long, from its arrival.
            token: Hand-over token; empty if there is none.
            is_due: Whether it may be sent. Asked right before that, as opening
                a connection takes time, in which a slot may be marked.

        Raises:
            PeerTimeoutError: No answer; it may have arrived.
            PeerUnreachableError: No connection; nothing was sent.
            PeerUnavailableError: Nothing was sent.
        """
        count = len(self._maps.by_service[service].slots)
        sending = _Sending(self.holds(service, count), run, hold_s)

        def on_send() -> None:
            if self._is_stopped or not is_due():
                raise errors.PeerUnavailableError(
                    "not due any more", step="grant keys", peer=target.id
                )
            sending.begin()

        try:
            result = await self._control.grant(
                target.upstream.address,
                target.id,
                keys,
                fence,
                hold_s,
                token,
                on_send,
            )
            sending.end_answered()
        except errors.PeerTimeoutError:
            raise
        except errors.PeerUnavailableError:
            sending.end_unsent()
            raise
        finally:
            sending.end_lost()
        return result

    def _has_started_again(self, key_map: keymap.KeyMap, owner) -> bool:
        """Whether an owner started again since its slots were given to it."""
        target = self._book.by_id.get(owner)
        return target is not None and target.upstream.is_life_after(
            key_map.started_ms.get(owner, 0)
        )

    @staticmethod
    def _is_stale(slot, owner, first) -> bool:
        return (
            slot.is_leaving or slot.owner != owner or slot.fence != first.fence
        )

    def holds(self, service: ids.ServiceName, count: int) -> holds.HoldBook:
        """Returns the bounds of a service's slots."""
        book = self.holds_by_service.get(service)
        if book is None:
            book = holds.HoldBook(count, HOLD_S)
            self.holds_by_service[service] = book
        return book

    def leaving_holds(
        self, now: float
    ) -> dict[ids.ServiceName, dict[model.UpstreamId, reports.Hold]]:
        """Returns what this VM's grants mean for slots that are leaving.

        Owners for which they mean nothing are left out. That is most of them,
        as one VM renews an upstream's grants.
        """
        found: dict[ids.ServiceName, dict] = {}
        for service, key_map in self._maps.by_service.items():
            if not key_map.leaving:
                continue
            book = self.holds(service, len(key_map.slots))
            for owner, indices in key_map.leaving_by_owner().items():
                hold = reports.Hold(
                    book.held_for_s(indices, now), book.open_for_s(indices, now)
                )
                if hold.held_s > 0 or hold.unanswered_s > 0:
                    found.setdefault(service, {})[owner] = hold
        return found
