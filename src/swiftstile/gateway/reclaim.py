"""Takes slots back from the owners that they leave, while this VM leads.

Between the release of a slot and the write of its next owner nobody owns it.
So nothing is released while the store doesn't answer, and a slot that was
released before an outage goes back to the owner that the map still names.
"""

import asyncio

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import authority
from swiftstile.gateway import holds
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership
from swiftstile.gateway import model
from swiftstile.gateway import moves
from swiftstile.gateway import parallel
from swiftstile.gateway import renewals
from swiftstile.gateway import targets

__all__ = ["Reclaimer", "Source"]

# Calls to one upstream at the same time, when it releases slots: its busy
# slots answer only when their work has ended.
_PARALLEL = 4
# Hold of a grant that only shuts out older ones; it is released at once.
FENCING_HOLD_S = 0.5
# Hold of slots that wait for the store at the owner they leave: short, as it
# delays the move once the store is back.
KEEP_HOLD_S = 2.0
# Between two renewals of it: two may fail before the hold is over.
KEEP_INTERVAL_S = 0.6
# Failures after which the rest of a release waits for the next try. Single
# orders get no answer even where the upstream is well.
_MAX_FAILURES = 24
# After a release failed, doubled each time: each try may hold the slots for
# FENCING_HOLD_S, and a dead owner's slots have to come free.
_RETRY_DELAY_S = 0.2


# Between two lines on slots that wait.
WAIT_LOG_INTERVAL_S = 1.0
# An unbounded wait is told as this.
MAX_LOGGED_HELD_S = 999.0


class Source:
    """An owner whose slots are leaving.

    Attributes:
        version: Version of the map in which they were marked.
        marked_at: When that was, or when this VM took them over, on the
            steady clock.
        stopped_at: When all VMs had stopped renewing them, if a former leader
            marked them and that is known.
        former_leader: Node of the VM that marked them, with the version of the
            map that it has to know, if `stopped_at` is known.
        tokens: Hand-over tokens by slot, of those that it released.
        is_fenced: Whether it refuses older grants, whoever may send them.
        unanswered_until: Until when grants that got no answer after it was
            fenced may hold slots there: carried out late, they have the same
            fence.
        is_reassigning: Whether the next owner of its slots is being written.
            Nothing is granted to it from then on.
    """

    def __init__(
        self,
        version: int,
        marked_at: float,
        stopped_at: float | None = None,
        former_leader: tuple[model.NodeId, int] | None = None,
    ):
        self.version = version
        self.marked_at = marked_at
        self.stopped_at = stopped_at
        self.former_leader = former_leader
        self.tokens: dict[int, str] = {}
        self.is_fenced = False
        self.unanswered_until = 0.0
        self.is_reassigning = False
        self._release: asyncio.Task | None = None
        self._retry_at = 0.0
        self._failures = 0
        self._kept_at = 0.0
        self._logged_at = 0.0

    @property
    def is_releasing(self) -> bool:
        """Whether a release is under way."""
        return self._release is not None and not self._release.done()

    def may_release(self, now: float) -> bool:
        """Whether another release may begin."""
        return not self.is_releasing and now >= self._retry_at

    def may_keep(self, now: float) -> bool:
        """Whether it is time to grant the slots to their owner once more."""
        return not self.is_releasing and now - self._kept_at >= KEEP_INTERVAL_S

    def note_release(self, task: asyncio.Task) -> None:
        """A release began."""
        self._release = task

    def note_failures(self, now: float) -> None:
        """Some orders of a release got no answer."""
        self._failures += 1
        self._retry_at = now + _RETRY_DELAY_S * 2**self._failures

    def note_unanswered(self, now: float, hold_s: float) -> None:
        """A grant got no answer; its connection was reset now."""
        if self.is_fenced:
            end = now + holds.max_held_s(hold_s)
            self.unanswered_until = max(self.unanswered_until, end)

    def note_kept(self, now: float) -> None:
        """The slots were granted to their owner once more."""
        self._kept_at = now

    def log_wait(
        self,
        known: moves.OutstandingGrants,
        owner: model.UpstreamId,
        count: int,
        now: float,
    ) -> None:
        """Says now and then what slots that can't be given away wait for."""
        if now - self._logged_at < WAIT_LOG_INTERVAL_S:
            return
        self._logged_at = now
        logs.logger.info(
            "slots wait",
            upstream=owner,
            slots=count,
            since_s=round(now - self.marked_at, 2),
            all_stopped=known.all_stopped,
            held_s=round(min(known.held_s, MAX_LOGGED_HELD_S), 2),
            waits_for=known.waits_for,
        )

    def cancel(self) -> None:
        """Ends the release that is under way, if any."""
        if self._release is not None:
            self._release.cancel()


class Reclaimer:
    """Orders owners to release slots of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        book: targets.TargetBook,
        renewer: renewals.GrantRenewer,
        leader_state: leadership.Leadership,
        control: interfaces.UpstreamControl,
        peer_authority: authority.PeerAuthority,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._book = book
        self._renewer = renewer
        self._leader_state = leader_state
        self._control = control
        self._authority = peer_authority
        self._meters = meters

    def start(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        source: Source,
        ranges: list[range],
        must_fence: bool,
    ) -> None:
        """Begins to take slots back, unless that is under way.

        Args:
            current: The map in which they are marked as leaving.
            owner: Whose slots they are.
            source: What is known of that owner.
            ranges: Its slots that are leaving, as ranges that it got as one.
            must_fence: Whether older grants may still arrive there.
        """
        target = self._book.by_id.get(owner)
        if target is None or not source.may_release(clocks.monotonic()):
            return
        if must_fence and not source.is_fenced:
            source.is_fenced = True
            source.tokens.clear()
        pending = [
            slot_range
            for slot_range in ranges
            if not source.tokens.keys() >= set(slot_range)
        ]
        pending.reverse()
        run = self.release(current, target, source, pending)
        source.note_release(asyncio.create_task(run))

    async def release(
        self,
        current: keymap.KeyMap,
        target: targets.Target,
        source: Source,
        pending: list[range],
    ) -> None:
        """Takes the ranges of slots in `pending` back, the last one first."""
        failed: list[errors.PeerUnavailableError] = []

        def should_continue() -> bool:
            # All slots are at one address: where it can't be reached for one,
            # the others would only wait for the same.
            is_reached = not failed or not isinstance(
                failed[-1], errors.PeerUnreachableError
            )
            return is_reached and len(failed) < _MAX_FAILURES

        async def reclaim_range(slot_range: range) -> None:
            if not self._may_send(current, source, slot_range):
                return
            try:
                token = await self._release_range(
                    current, target, source, slot_range
                )
            except errors.PeerUnavailableError as error:
                failed.append(error)
                return
            source.tokens |= dict.fromkeys(slot_range, token)

        await parallel.work_off(
            pending, _PARALLEL, reclaim_range, should_continue
        )
        if failed:
            source.note_failures(clocks.monotonic())
            self._meters.ownership.add("release-unanswered", len(failed))
            logs.logger.info(
                "release unanswered",
                upstream=target.id,
                count=len(failed),
                error=str(failed[0]),
            )

    def _may_send(self, current, source: Source, slot_range: range) -> bool:
        """Whether the owner that slots leave may get orders for them.

        It may while they are still leaving it, we lead, and no write is under
        way by which another one owns them.
        """
        latest = self._maps.by_service[self._service]
        return (
            not source.is_reassigning
            and all(_is_still_leaving(latest, current, i) for i in slot_range)
            and self._leader_state.is_leader
            and self._authority.is_authorised(clocks.monotonic())
        )

    async def _release_range(
        self, current, target, source: Source, slot_range: range
    ) -> str:
        """Makes an owner release slots; returns the hand-over token.

        Where grants under the old fence may still arrive, from a VM that tells
        nothing or on their way, a grant under a newer fence comes first: the
        owner refuses older ones from then on.
        """
        address = target.upstream.address
        keys = current.keys_of_range(slot_range)
        fence = current.slots[slot_range.start].fence
        if source.is_fenced:
            fence = current.next_fence
            await self._fence_off(current, target, source, slot_range, fence)
        return await self._control.release(address, target.id, keys, fence)

    async def _fence_off(
        self, current, target, source: Source, slot_range: range, fence: int
    ) -> None:
        """Grants slots for a moment, so that older grants are refused."""
        result = await self._grant(
            current, target, source, slot_range, fence, FENCING_HOLD_S, ""
        )
        if result is not interfaces.GrantResult.HELD:
            raise errors.PeerUnavailableError(
                f"fencing grant {result.value}",
                step="take back keys",
                peer=target.id,
            )

    async def _grant(
        self,
        current,
        target,
        source: Source,
        slot_range: range,
        fence: int,
        hold_s: float,
        token: str,
    ) -> interfaces.GrantResult:
        """Grants slots to the owner that they leave, as long as that may be."""
        try:
            return await self._renewer.grant_and_record(
                self._service,
                target,
                slot_range,
                current.keys_of_range(slot_range),
                fence,
                hold_s,
                token,
                lambda: self._may_send(current, source, slot_range),
            )
        except (errors.PeerTimeoutError, asyncio.CancelledError):
            source.note_unanswered(clocks.monotonic(), hold_s)
            raise

    async def keep(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        source: Source,
        ranges: list[range],
    ) -> None:
        """Lets an owner go on with slots while the store is away.

        Safe because the map in the store still names that owner, and because
        no write that names another one is under way: only the leader sends
        such writes, after this. The grants count like all others, so the move
        goes on only once they are taken back.
        """
        target = self._book.by_id.get(owner)
        now = clocks.monotonic()
        if target is None or target.is_gone or target.is_failing:
            return
        if not source.may_keep(now):
            return
        source.note_kept(now)
        pending = [
            slot_range
            for slot_range in ranges
            if self._may_send(current, source, slot_range)
        ]
        pending.reverse()

        async def keep_range(slot_range: range) -> None:
            await self._keep_range(current, target, source, slot_range)

        await parallel.work_off(
            pending, _PARALLEL, keep_range, lambda: not target.is_failing
        )

    async def _keep_range(
        self, current, target, source, slot_range: range
    ) -> None:
        first = current.slots[slot_range.start]
        tokens = {
            source.tokens.pop(i, current.slots[i].token) for i in slot_range
        }
        try:
            await self._grant(
                current,
                target,
                source,
                slot_range,
                current.next_fence if source.is_fenced else first.fence,
                KEEP_HOLD_S,
                # Slots that were released apart have several tokens.
                tokens.pop() if len(tokens) == 1 else "",
            )
        except errors.PeerUnavailableError as error:
            self._meters.ownership.add("keep-unanswered")
            logs.logger.debug("slot not kept", error=str(error))


def _is_still_leaving(
    latest: keymap.KeyMap, before: keymap.KeyMap, index: int
) -> bool:
    """Whether a slot is leaving the owner and the fence it had before."""
    slot, earlier = latest.slots[index], before.slots[index]
    return slot.is_leaving and (slot.owner, slot.fence) == (
        earlier.owner,
        earlier.fence,
    )
