"""Reclaims slots from the owners that they leave, while this VM is the leader.

Nobody owns a slot between its release and the write of its next owner. So
nothing is released while the store doesn't answer, and a slot that was released
before an outage is granted again to the owner that the map still names.
"""

import asyncio
import collections.abc
import math

from swiftstile import clocks
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import authority
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import model
from swiftstile.gateway import parallel
from swiftstile.gateway import reclaim_state
from swiftstile.gateway import release_progress
from swiftstile.gateway import renewals
from swiftstile.gateway import targets

__all__ = ["FENCING_HOLD_S", "KEEP_HOLD_S", "Reclaimer"]

# Concurrent release calls to one upstream: calls for busy slots are answered
# only when their work has ended.
_PARALLEL = 4
# Hold of a grant that only fences off older ones; it is released at once.
FENCING_HOLD_S = 0.5
# Hold of slots that stay with the owner they leave during a store outage:
# short, as it delays the move once the store is available again.
KEEP_HOLD_S = 2.0
# Failures after which the rest of a release waits for the next attempt. Single
# commands may get no answer even from a healthy upstream.
_MAX_FAILURES = 24
# Calls by which an owner that all slots leave releases them: each covers many,
# but is answered only when the running work on all of these has ended.
_SPANS = 16
# Ranges that are fenced one after the other and then released by one call,
# within a fraction of the hold of a fencing grant.
_MAX_FENCED_RANGES = 8

# Ranges of slots that one call releases.
Span = list[range]


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
        slot_reclaim: reclaim_state.SlotReclaim,
        ranges: list[range],
        to_fence: collections.abc.Set[int],
    ) -> None:
        """Starts to reclaim slots, unless a release is already in progress.

        Args:
            current: The map in which the slots are marked as leaving.
            owner: The owner that they leave.
            slot_reclaim: The state of reclaiming these slots.
            ranges: The slots, in ranges that were assigned as a whole.
            to_fence: Slots for which older grants may still arrive at the
                owner.
        """
        target = self._target_table.by_id.get(owner)
        if target is None or not slot_reclaim.may_release(clocks.monotonic()):
            return
        pending = []
        for slot_range in ranges:
            if not to_fence.isdisjoint(slot_range):
                slot_reclaim.note_fencing(slot_range)
            if not slot_reclaim.tokens.keys() >= set(slot_range):
                pending.append(slot_range)
        spans = _spans(current, owner, slot_reclaim, pending)
        spans.reverse()
        run = self.release(current, target, slot_reclaim, spans)
        slot_reclaim.note_release(asyncio.create_task(run))

    async def release(
        self,
        current: keymap.KeyMap,
        target: targets.Target,
        slot_reclaim: reclaim_state.SlotReclaim,
        pending: list[Span],
    ) -> None:
        """Reclaims the slots in `pending`, those of the last span first."""
        failed: list[errors.PeerUnavailableError] = []
        progress = slot_reclaim.start_progress(
            sum(len(slot_range) for span in pending for slot_range in span)
        )

        def should_continue() -> bool:
            # All slots are at one address: if it is unreachable for one range,
            # calls for the others would time out as well.
            is_reached = not failed or not isinstance(
                failed[-1], errors.PeerUnreachableError
            )
            return is_reached and len(failed) < _MAX_FAILURES

        async def reclaim_span(span: Span) -> None:
            slots = [slot for slot_range in span for slot in slot_range]
            if not self._may_send(current, slot_reclaim, slots):
                return
            try:
                token = await self._release_span(
                    current, target, slot_reclaim, span, progress
                )
            except errors.PeerUnavailableError as error:
                failed.append(error)
                return
            slot_reclaim.note_released(slots, token, clocks.monotonic())

        await parallel.process_concurrently(
            pending, _PARALLEL, reclaim_span, should_continue
        )
        now = clocks.monotonic()
        logs.logger.info(
            "release ended",
            upstream=target.id,
            fenced=len(slot_reclaim.fenced),
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
        self,
        current: keymap.KeyMap,
        slot_reclaim: reclaim_state.SlotReclaim,
        slots: collections.abc.Iterable[int],
    ) -> bool:
        """Whether commands for slots may be sent to the owner that they leave.

        They may while the slots are still leaving it, this VM is the leader,
        and no write that names another owner is in progress.
        """
        latest = self._maps.by_service[self._service]
        return (
            slot_reclaim.reassigning.isdisjoint(slots)
            and all(_is_still_leaving(latest, current, i) for i in slots)
            and self._leadership.is_leader
            and self._authority.is_authorised(clocks.monotonic())
        )

    async def _release_span(
        self,
        current: keymap.KeyMap,
        target: targets.Target,
        slot_reclaim: reclaim_state.SlotReclaim,
        span: Span,
        progress: release_progress.ReleaseProgress,
    ) -> str:
        """Makes an owner release slots; returns the hand-over token.

        Grants under the old fence may still arrive, from a VM that sends no
        reports or because they are in flight. In this case a grant under a
        newer fence is sent first, after which the owner rejects older grants.
        """
        fence = max(current.slots[part.start].fence for part in span)
        if span[0].start in slot_reclaim.fenced:
            fence = current.next_fence
            for part in span:
                with progress.calling(release_progress.Call.FENCE):
                    await self._fence_off(
                        current, target, slot_reclaim, part, fence
                    )
        keys = current.keys_of_range(range(span[0].start, span[-1].stop))
        with progress.calling(release_progress.Call.RELEASE):
            return await self._control.release(
                target.upstream.address, target.id, keys, fence
            )

    async def _fence_off(
        self,
        current,
        target,
        slot_reclaim: reclaim_state.SlotReclaim,
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
        slot_reclaim: reclaim_state.SlotReclaim,
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
            slot_reclaim.note_unanswered(slot_range, clocks.monotonic(), hold_s)
            raise

    async def keep(
        self,
        current: keymap.KeyMap,
        owner: model.UpstreamId,
        slot_reclaim: reclaim_state.SlotReclaim,
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
        is_fenced = not slot_reclaim.fenced.isdisjoint(slot_range)
        tokens = {
            slot_reclaim.tokens.get(i, current.slots[i].token)
            for i in slot_range
        }
        for slot in slot_range:
            slot_reclaim.forget_release(slot)
        try:
            await self._grant(
                current,
                target,
                slot_reclaim,
                slot_range,
                current.next_fence if is_fenced else first.fence,
                KEEP_HOLD_S,
                # Slots that were released separately have several tokens.
                tokens.pop() if len(tokens) == 1 else "",
            )
        except errors.PeerUnavailableError as error:
            self._meters.ownership.add("keep-unanswered")
            logs.logger.debug("hold not extended", error=str(error))


def _spans(
    current: keymap.KeyMap,
    owner: model.UpstreamId,
    slot_reclaim: reclaim_state.SlotReclaim,
    ranges: list[range],
) -> list[Span]:
    """Groups ranges that their owner can release by one call.

    The keys of a call are contiguous, so it may name keys in between that
    others own; the owner doesn't hold them. That needs an owner that keeps no
    slots: it gets none while slots are leaving it. After a failure each range
    has its own call, so that one that the owner works on delays no other.
    """
    keeps_slots = not current.leaving.issuperset(current.slots_by_owner[owner])
    if keeps_slots or slot_reclaim.has_failed:
        return [[part] for part in ranges]
    fenced = [p for p in ranges if not slot_reclaim.fenced.isdisjoint(p)]
    plain = [p for p in ranges if slot_reclaim.fenced.isdisjoint(p)]
    length = math.ceil(len(plain) / _SPANS)
    return _chunks(fenced, _MAX_FENCED_RANGES) + _chunks(plain, length)


def _chunks(ranges: list[range], length: int) -> list[Span]:
    return [
        ranges[start : start + length]
        for start in range(0, len(ranges), max(1, length))
    ]


def _is_still_leaving(
    latest: keymap.KeyMap, before: keymap.KeyMap, index: int
) -> bool:
    """Whether a slot is leaving, with the same owner and fence as before."""
    slot, earlier = latest.slots[index], before.slots[index]
    return slot.is_leaving and (slot.owner, slot.fence) == (
        earlier.owner,
        earlier.fence,
    )
