"""Reclaims slots from the owners that they leave, while this VM is the leader.

Nobody owns a slot between its release and the write of its next owner. So
nothing is released while the store doesn't answer, and a slot that was released
before an outage is granted again to the owner that the map still names.
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
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import model
from swiftstile.gateway import moves
from swiftstile.gateway import parallel
from swiftstile.gateway import release_progress
from swiftstile.gateway import renewals
from swiftstile.gateway import targets

__all__ = ["Reclaimer", "SlotReclaim"]

# Concurrent release calls to one upstream: calls for busy slots are answered
# only when their work has ended.
_PARALLEL = 4
# Hold of a grant that only fences off older ones; it is released at once.
FENCING_HOLD_S = 0.5
# Hold of slots that stay with the owner they leave during a store outage:
# short, as it delays the move once the store is available again.
KEEP_HOLD_S = 2.0
# Interval between renewals of that hold: two may fail before it expires.
KEEP_INTERVAL_S = 0.6
# Failures after which the rest of a release waits for the next attempt. Single
# commands may get no answer even from a healthy upstream.
_MAX_FAILURES = 24
# Delay after a failed release, doubled each time: each attempt may hold the
# slots for FENCING_HOLD_S, and the slots of a crashed owner have to be freed.
_RETRY_DELAY_S = 0.2
# Interval between log lines on slots that wait.
WAIT_LOG_INTERVAL_S = 1.0
# Logged in place of an unbounded wait.
MAX_LOGGED_HELD_S = 999.0


class SlotReclaim:
    """The state of reclaiming the slots that leave one owner.

    Attributes:
        version: Version of the map in which the slots were marked.
        marked_at: When they were marked, or when this VM took the move over,
            on the monotonic clock.
        stopped_at: When all VMs had stopped renewing the slots, if a former
            leader marked them and that time is known.
        former_leader: Node of the VM that marked the slots, with the version
            of the map that it has to know, if `stopped_at` is known.
        tokens: Hand-over tokens of the slots that the owner released, by slot.
        is_fenced: Whether the owner rejects older grants from any sender.
        unanswered_until: End of the holds of grants that got no answer after
            the owner was fenced. They have the same fence as the release and
            may be carried out after it.
        is_reassigning: Whether the next owner of the slots is being written.
            While it is set nothing is granted to the old one.
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
        self._progress: release_progress.ReleaseProgress | None = None
        self._retry_at = 0.0
        self._failures = 0
        self._kept_at = 0.0
        self._logged_at = 0.0

    @property
    def is_releasing(self) -> bool:
        """Whether a release is in progress."""
        return self._release is not None and not self._release.done()

    def may_release(self, now: float) -> bool:
        """Whether another release may start."""
        return not self.is_releasing and now >= self._retry_at

    def may_keep(self, now: float) -> bool:
        """Whether the slots may be granted to their owner again."""
        return not self.is_releasing and now - self._kept_at >= KEEP_INTERVAL_S

    def note_release(self, task: asyncio.Task) -> None:
        """Records that a release started."""
        self._release = task

    def start_progress(self, slots: int) -> release_progress.ReleaseProgress:
        """Returns the record of the calls of the next release."""
        self._progress = release_progress.ReleaseProgress(slots)
        return self._progress

    def note_failures(self, now: float) -> None:
        """Records that some commands of a release got no answer."""
        self._failures += 1
        self._retry_at = now + _RETRY_DELAY_S * 2**self._failures

    def note_unanswered(self, now: float, hold_s: float) -> None:
        """Records that a grant got no answer and its connection was reset."""
        if self.is_fenced:
            end = now + holds.max_held_s(hold_s)
            self.unanswered_until = max(self.unanswered_until, end)

    def note_kept(self, now: float) -> None:
        """Records that the slots were granted to their owner again."""
        self._kept_at = now

    def log_wait(
        self,
        known: moves.OutstandingGrants,
        owner: model.UpstreamId,
        count: int,
        now: float,
    ) -> None:
        """Logs what the slots wait for, at most once per interval."""
        if now - self._logged_at < WAIT_LOG_INTERVAL_S:
            return
        self._logged_at = now
        calls = {} if self._progress is None else self._progress.fields(now)
        logs.logger.info(
            "slots wait",
            upstream=owner,
            slots=count,
            since_s=round(now - self.marked_at, 2),
            all_stopped=known.all_stopped,
            held_s=round(min(known.held_s, MAX_LOGGED_HELD_S), 2),
            open_s=round(min(known.open_s, MAX_LOGGED_HELD_S), 2),
            waits_for=known.waits_for,
            released=len(self.tokens),
            is_releasing=self.is_releasing,
            **calls,
        )

    def cancel(self) -> None:
        """Cancels the release that is in progress, if any."""
        if self._release is not None:
            self._release.cancel()


class Reclaimer:
    """Makes owners release slots of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        maps: renewals.KeyMaps,
        target_table: targets.TargetTable,
        renewer: renewals.GrantRenewer,
        leadership: leadership_lib.Leadership,
        control: interfaces.UpstreamControl,
        peer_authority: authority.PeerAuthority,
        meters: metrics.Meters,
    ):
        self._service = service
        self._maps = maps
        self._target_table = target_table
        self._renewer = renewer
        self._leadership = leadership
        self._control = control
        self._authority = peer_authority
        self._meters = meters

    def start(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        slot_reclaim: SlotReclaim,
        ranges: list[range],
        must_fence: bool,
    ) -> None:
        """Starts to reclaim slots, unless a release is already in progress.

        Args:
            current: The map in which the slots are marked as leaving.
            owner: The owner that they leave.
            slot_reclaim: The state of reclaiming these slots.
            ranges: The slots, in ranges that were assigned as a whole.
            must_fence: Whether older grants may still arrive at the owner.
        """
        target = self._target_table.by_id.get(owner)
        if target is None or not slot_reclaim.may_release(clocks.monotonic()):
            return
        if must_fence and not slot_reclaim.is_fenced:
            slot_reclaim.is_fenced = True
            slot_reclaim.tokens.clear()
        pending = [
            slot_range
            for slot_range in ranges
            if not slot_reclaim.tokens.keys() >= set(slot_range)
        ]
        pending.reverse()
        run = self.release(current, target, slot_reclaim, pending)
        slot_reclaim.note_release(asyncio.create_task(run))

    async def release(
        self,
        current: keymap.KeyMap,
        target: targets.Target,
        slot_reclaim: SlotReclaim,
        pending: list[range],
    ) -> None:
        """Reclaims the ranges of slots in `pending`, the last one first."""
        failed: list[errors.PeerUnavailableError] = []
        progress = slot_reclaim.start_progress(sum(map(len, pending)))

        def should_continue() -> bool:
            # All slots are at one address: if it is unreachable for one range,
            # calls for the others would time out as well.
            is_reached = not failed or not isinstance(
                failed[-1], errors.PeerUnreachableError
            )
            return is_reached and len(failed) < _MAX_FAILURES

        async def reclaim_range(slot_range: range) -> None:
            if not self._may_send(current, slot_reclaim, slot_range):
                return
            try:
                token = await self._release_range(
                    current, target, slot_reclaim, slot_range, progress
                )
            except errors.PeerUnavailableError as error:
                failed.append(error)
                return
            slot_reclaim.tokens |= dict.fromkeys(slot_range, token)

        await parallel.process_concurrently(
            pending, _PARALLEL, reclaim_range, should_continue
        )
        now = clocks.monotonic()
        logs.logger.info(
            "release ended",
            upstream=target.id,
            is_fenced=slot_reclaim.is_fenced,
            **progress.fields(now),
        )
        if failed:
            slot_reclaim.note_failures(now)
            self._meters.ownership.add("release-unanswered", len(failed))
            logs.logger.info(
                "release unanswered",
                upstream=target.id,
                count=len(failed),
                error=str(failed[0]),
            )

    def _may_send(
        self, current, slot_reclaim: SlotReclaim, slot_range: range
    ) -> bool:
        """Whether commands for slots may be sent to the owner that they leave.

        They may while the slots are still leaving it, this VM is the leader,
        and no write that names another owner is in progress.
        """
        latest = self._maps.by_service[self._service]
        return (
            not slot_reclaim.is_reassigning
            and all(_is_still_leaving(latest, current, i) for i in slot_range)
            and self._leadership.is_leader
            and self._authority.is_authorised(clocks.monotonic())
        )

    async def _release_range(
        self,
        current,
        target,
        slot_reclaim: SlotReclaim,
        slot_range: range,
        progress: release_progress.ReleaseProgress,
    ) -> str:
        """Makes an owner release slots; returns the hand-over token.

        Grants under the old fence may still arrive, from a VM that sends no
        reports or because they are in flight. In this case a grant under a
        newer fence is sent first, after which the owner rejects older grants.
        """
        address = target.upstream.address
        keys = current.keys_of_range(slot_range)
        fence = current.slots[slot_range.start].fence
        if slot_reclaim.is_fenced:
            fence = current.next_fence
            with progress.calling(release_progress.Call.FENCE):
                await self._fence_off(
                    current, target, slot_reclaim, slot_range, fence
                )
        with progress.calling(release_progress.Call.RELEASE):
            return await self._control.release(address, target.id, keys, fence)

    async def _fence_off(
        self,
        current,
        target,
        slot_reclaim: SlotReclaim,
        slot_range: range,
        fence: int,
    ) -> None:
        """Grants slots for a short time, so that older grants are rejected."""
        result = await self._grant(
            current, target, slot_reclaim, slot_range, fence, FENCING_HOLD_S, ""
        )
        if result is not interfaces.GrantResult.HELD:
            raise errors.PeerUnavailableError(
                f"fencing grant {result.value}",
                step="reclaim keys",
                peer=target.id,
            )

    async def _grant(
        self,
        current,
        target,
        slot_reclaim: SlotReclaim,
        slot_range: range,
        fence: int,
        hold_s: float,
        token: str,
    ) -> interfaces.GrantResult:
        """Grants slots to the owner that they leave, while that is allowed."""
        try:
            return await self._renewer.grant_and_record(
                self._service,
                target,
                slot_range,
                current.keys_of_range(slot_range),
                fence,
                hold_s,
                token,
                lambda: self._may_send(current, slot_reclaim, slot_range),
            )
        except (errors.PeerTimeoutError, asyncio.CancelledError):
            slot_reclaim.note_unanswered(clocks.monotonic(), hold_s)
            raise

    async def keep(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        slot_reclaim: SlotReclaim,
        ranges: list[range],
    ) -> None:
        """Lets an owner keep using slots during an outage of the store.

        This is safe because the map in the store still names that owner, and no
        write that names another one is in progress: only the leader sends such
        writes, and only after this. The grants are recorded like all others, so
        the move continues only once they are reclaimed.
        """
        target = self._target_table.by_id.get(owner)
        now = clocks.monotonic()
        if target is None or target.is_unregistered or target.is_failing:
            return
        if not slot_reclaim.may_keep(now):
            return
        slot_reclaim.note_kept(now)
        pending = [
            slot_range
            for slot_range in ranges
            if self._may_send(current, slot_reclaim, slot_range)
        ]
        pending.reverse()

        async def keep_range(slot_range: range) -> None:
            await self._keep_range(current, target, slot_reclaim, slot_range)

        await parallel.process_concurrently(
            pending, _PARALLEL, keep_range, lambda: not target.is_failing
        )

    async def _keep_range(
        self, current, target, slot_reclaim, slot_range: range
    ) -> None:
        first = current.slots[slot_range.start]
        tokens = {
            slot_reclaim.tokens.pop(i, current.slots[i].token)
            for i in slot_range
        }
        try:
            await self._grant(
                current,
                target,
                slot_reclaim,
                slot_range,
                current.next_fence if slot_reclaim.is_fenced else first.fence,
                KEEP_HOLD_S,
                # Slots that were released separately have several tokens.
                tokens.pop() if len(tokens) == 1 else "",
            )
        except errors.PeerUnavailableError as error:
            self._meters.ownership.add("keep-unanswered")
            logs.logger.debug("hold not extended", error=str(error))


def _is_still_leaving(
    latest: keymap.KeyMap, before: keymap.KeyMap, index: int
) -> bool:
    """Whether a slot is leaving, with the same owner and fence as before."""
    slot, earlier = latest.slots[index], before.slots[index]
    return slot.is_leaving and (slot.owner, slot.fence) == (
        earlier.owner,
        earlier.fence,
    )
