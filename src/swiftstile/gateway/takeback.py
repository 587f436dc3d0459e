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

__all__ = ["Source", "TakeBack"]

# Calls to one upstream at the same time, when it releases slots: its busy
# slots answer only when their work has ended.
_PARALLEL = 4
# Hold of a grant that only shuts out older ones; it is released at once.
FENCING_HOLD_S = 0.5
# Hold of slots that wait for the store at the owner they leave: short, as it
# delays the move once the store is back.
KEEP_HOLD_S = 2.0
# Between two renewals of it: two may fail before the hold is over.
KEEP_EVERY_S = 0.6
# Failures after which the rest of a release waits for the next try. Single
# orders get no answer even where the upstream is well.
_MOST_FAILURES = 24
# After a release failed, doubled each time: each try may hold the slots for
# FENCING_HOLD_S, and a dead owner's slots have to come free.
_FAILURE_PAUSE_S = 0.2


# Between two lines on slots that wait.
WAIT_LINE_EVERY_S = 1.0
# An unbounded wait is told as this.
MOST_TOLD_S = 999.0


class Source:
    """An owner whose slots are leaving.

    Attributes:
        version: Version of the map in which they were marked.
        marked_at: When that was, or when this VM took them over, on the
            steady clock.
        stopped_at: When all VMs had stopped renewing them, if a former leader
            marked them and that is known.
        former: Node of the VM that marked them, with the version of the map
            that it has to know, if `stopped_at` is known.
        tokens: Hand-over tokens by slot, of those that it released.
        is_fenced: Whether it refuses older grants, whoever may send them.
        open_until: Until when grants that got no answer after it was fenced
            may hold slots there: carried out late, they have the same fence.
        is_given: Whether the next owner of its slots is being written. Nothing
            is granted to it from then on.
    """

    def __init__(
        self,
        version: int,
        marked_at: float,
        stopped_at: float | None = None,
        former: tuple[model.NodeId, int] | None = None,
    ):
        self.version = version
        self.marked_at = marked_at
        self.stopped_at = stopped_at
        self.former = former
        self.tokens: dict[int, str] = {}
        self.is_fenced = False
        self.open_until = 0.0
        self.is_given = False
        self._release: asyncio.Task | None = None
        self._retry_at = 0.0
        self._failures = 0
        self._kept_at = 0.0
        self._told_at = 0.0

    @property
    def is_releasing(self) -> bool:
        """Whether a release is under way."""
        return self._release is not None and not self._release.done()

    def may_release(self, now: float) -> bool:
        """Whether another release may begin."""
        return not self.is_releasing and now >= self._retry_at

    def may_keep(self, now: float) -> bool:
        """Whether it is time to grant the slots to their owner once more."""
        return not self.is_releasing and now - self._kept_at >= KEEP_EVERY_S

    def note_release(self, task: asyncio.Task) -> None:
        """A release began."""
        self._release = task

    def note_failures(self, now: float) -> None:
        """Some orders of a release got no answer."""
        self._failures += 1
        self._retry_at = now + _FAILURE_PAUSE_S * 2**self._failures

    def note_unanswered(self, now: float, hold_s: float) -> None:
        """A grant got no answer; its connection was reset now."""
        if self.is_fenced:
            end = now + holds.longest_s(hold_s)
            self.open_until = max(self.open_until, end)

    def note_kept(self, now: float) -> None:
        """The slots were granted to their owner once more."""
        self._kept_at = now

    def note_wait(
        self,
        known: moves.Clearance,
        owner: model.UpstreamId,
        count: int,
        now: float,
    ) -> None:
        """Says now and then what slots that can't be given away wait for."""
        if now - self._told_at < WAIT_LINE_EVERY_S:
            return
        self._told_at = now
        logs.logger.info(
            "slots wait",
            upstream=owner,
            slots=count,
            since_s=round(now - self.marked_at, 2),
            all_stopped=known.all_stopped,
            held_s=round(min(known.held_s, MOST_TOLD_S), 2),
            waits_for=known.waits_for,
        )

    def cancel(self) -> None:
        """Ends the release that is under way, if any."""
        if self._release is not None:
            self._release.cancel()


class TakeBack:
    """Orders owners to release slots of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        book: targets.TargetBook,
        renewing: renewals.Renewals,
        leads: leadership.Leadership,
        control: interfaces.UpstreamControl,
        right: authority.PeerAuthority,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._book = book
        self._renewing = renewing
        self._leads = leads
        self._control = control
        self._authority = right
        self._meters = meters

    def start(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        source: Source,
        pieces: list[range],
        fences: bool,
    ) -> None:
        """Begins to take slots back, unless that is under way.

        Args:
            current: The map in which they are marked as leaving.
            owner: Whose slots they are.
            source: What is known of that owner.
            pieces: Its slots that are leaving, as ranges that it got as one.
            fences: Whether older grants may still arrive there.
        """
        target = self._book.by_id.get(owner)
        if target is None or not source.may_release(clocks.monotonic()):
            return
        if fences and not source.is_fenced:
            source.is_fenced = True
            source.tokens.clear()
        left = [
            piece for piece in pieces if not source.tokens.keys() >= set(piece)
        ]
        left.reverse()
        run = self.release(current, target, source, left)
        source.note_release(asyncio.create_task(run))

    async def release(
        self,
        current: keymap.KeyMap,
        target: targets.Target,
        source: Source,
        left: list[range],
    ) -> None:
        """Takes the ranges of slots in `left` back, the last one first."""
        failed: list[errors.PeerUnavailableError] = []

        def goes_on() -> bool:
            # All slots are at one address: where it can't be reached for one,
            # the others would only wait for the same.
            is_reached = not failed or not isinstance(
                failed[-1], errors.PeerUnreachableError
            )
            return is_reached and len(failed) < _MOST_FAILURES

        async def take(piece: range) -> None:
            if not self._may_order(current, source, piece):
                return
            try:
                token = await self._take(current, target, source, piece)
            except errors.PeerUnavailableError as error:
                failed.append(error)
                return
            source.tokens |= dict.fromkeys(piece, token)

        await parallel.process_concurrently(left, _PARALLEL, take, goes_on)
        if failed:
            source.note_failures(clocks.monotonic())
            self._meters.ownership.add("release-unanswered", len(failed))
            logs.logger.info(
                "release unanswered",
                upstream=target.id,
                count=len(failed),
                error=str(failed[0]),
            )

    def _may_order(self, current, source: Source, piece: range) -> bool:
        """Whether the owner that slots leave may get orders for them.

        It may while they are still leaving it, we lead, and no write is under
        way by which another one owns them.
        """
        now_map = self._maps.by_service[self._service]
        return (
            not source.is_given
            and all(_is_leaving_still(now_map, current, i) for i in piece)
            and self._leads.is_leader
            and self._authority.is_able(clocks.monotonic())
        )

    async def _take(self, current, target, source: Source, piece: range) -> str:
        """Makes an owner release slots; returns the hand-over token.

        Where grants under the old fence may still arrive, from a VM that tells
        nothing or on their way, a grant under a newer fence comes first: the
        owner refuses older ones from then on.
        """
        address, keys = target.upstream.address, current.keys_of_run(piece)
        fence = current.slots[piece.start].fence
        if source.is_fenced:
            fence = current.next_fence
            await self._fence_off(current, target, source, piece, fence)
        return await self._control.release(address, target.id, keys, fence)

    async def _fence_off(
        self, current, target, source: Source, piece: range, fence: int
    ) -> None:
        """Grants slots for a moment, so that older grants are refused."""
        result = await self._grant(
            current, target, source, piece, fence, FENCING_HOLD_S, ""
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
        piece: range,
        fence: int,
        hold_s: float,
        token: str,
    ) -> interfaces.GrantResult:
        """Grants slots to the owner that they leave, as long as that may be."""
        try:
            return await self._renewing.grant_counted(
                self._service,
                target,
                piece,
                current.keys_of_run(piece),
                fence,
                hold_s,
                token,
                lambda: self._may_order(current, source, piece),
            )
        except (errors.PeerTimeoutError, asyncio.CancelledError):
            source.note_unanswered(clocks.monotonic(), hold_s)
            raise

    async def keep(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        source: Source,
        pieces: list[range],
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
        left = [
            piece for piece in pieces if self._may_order(current, source, piece)
        ]
        left.reverse()

        async def keep_one(piece: range) -> None:
            await self._keep_one(current, target, source, piece)

        await parallel.process_concurrently(
            left, _PARALLEL, keep_one, lambda: not target.is_failing
        )

    async def _keep_one(self, current, target, source, piece: range) -> None:
        first = current.slots[piece.start]
        tokens = {source.tokens.pop(i, current.slots[i].token) for i in piece}
        try:
            await self._grant(
                current,
                target,
                source,
                piece,
                current.next_fence if source.is_fenced else first.fence,
                KEEP_HOLD_S,
                # Slots that were released apart have several tokens.
                tokens.pop() if len(tokens) == 1 else "",
            )
        except errors.PeerUnavailableError as error:
            self._meters.ownership.add("keep-unanswered")
            logs.logger.debug("slot not kept", error=str(error))


def _is_leaving_still(
    now_map: keymap.KeyMap, before: keymap.KeyMap, index: int
) -> bool:
    """Whether a slot is leaving the owner and the fence it had before."""
    slot, earlier = now_map.slots[index], before.slots[index]
    return slot.is_leaving and (slot.owner, slot.fence) == (
        earlier.owner,
        earlier.fence,
    )
