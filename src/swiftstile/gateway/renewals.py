"""Renews the grants of upstreams that this VM is responsible for.

Renewing a grant to the same owner under the same fence is idempotent, so VMs
divide the upstreams among themselves by their own view of the cluster, and two
VMs with different views only renew the same grant twice. A slot must not be
renewed long after it was marked as leaving: a VM renews only while an
`Authority` confirms that its key map is current.
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
from swiftstile.gateway import upstream_links

__all__ = ["HOLD_S", "Authority", "GrantRenewer", "KeyMaps"]

# Hold of each grant. The keys of a crashed owner are unavailable for this long;
# longer holds would need fewer renewals.
HOLD_S = 5.0
# Interval between renewals of a slot: two may fail before its hold expires.
RENEW_INTERVAL_S = 1.8
# Interval between checks for grants that are due.
_POLL_INTERVAL_S = 0.15
# Delay after a failed grant.
_RETRY_DELAY_S = 0.25
# Concurrent grants to one upstream: enough to renew all its slots in a fraction
# of the interval, at a few milliseconds each.
_PARALLEL = 4
# Concurrent grants to an upstream that doesn't answer commands.
_PARALLEL_UNRESPONSIVE = 24
# After this many unanswered grants, the upstream counts as unreachable.
_GIVE_UP_AFTER = 4
# Slots with unanswered grants that a report lists; more would make it too large
# for a datagram that isn't fragmented.
MAX_UNANSWERED_LISTED = 64


class Mark(msgspec.Struct, frozen=True):
    """A slot that is leaving its owner, as far as this VM knows.

    Attributes:
        version: Version of the first known map in which the slot is marked.
        fence: Fence under which the owner has the slot.
        known_at: When this VM received that map, on the monotonic clock.
    """

    version: int
    fence: int
    known_at: float


class KeyMaps:
    """The key maps in force, by service.

    Attributes:
        by_service: The latest known maps.
        marks_by_service: Slots that are leaving, by service and slot.
        changed_at: When a slot's owner last changed, by service and slot.
        changed: Signals tasks that wait for a newer map.
    """

    def __init__(self):
        self.by_service: dict[ids.ServiceName, keymap.KeyMap] = {}
        self.marks_by_service: dict[ids.ServiceName, dict[int, Mark]] = {}
        self.changed_at: dict[ids.ServiceName, dict[int, float]] = {}
        self.changed = signals.Signal()

    def put(
        self, service: ids.ServiceName, newer: keymap.KeyMap, now: float
    ) -> None:
        """Stores a map, unless the known one is at least as new.

        A known map is newer than one of an older copy of the store.
        """
        known = self.by_service.get(service)
        if known is not None and (
            known.version >= newer.version
            or (known.is_confirmed and not newer.is_confirmed)
        ):
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


class _GrantAttempt:
    """Records one grant in a hold table: its sending and its outcome."""

    def __init__(
        self, hold_table: holds.HoldTable, slot_range: range, hold_s: float
    ):
        self._holds = hold_table
        self._slot_range = slot_range
        self._hold_s = hold_s
        self._is_open = False

    def note_sending(self) -> None:
        """Records that the grant is about to be sent."""
        self._is_open = True
        self._holds.note_sent(self._slot_range)

    def note_answered(self) -> None:
        """Records that the grant was answered."""
        self._is_open = False
        now = clocks.monotonic()
        self._holds.note_answered(self._slot_range, now, self._hold_s)

    def note_unsent(self) -> None:
        """Records that the grant wasn't sent after all."""
        if self._is_open:
            self._is_open = False
            self._holds.note_unsent(self._slot_range)

    def note_unanswered(self) -> None:
        """Ends the attempt; if it is still open, the grant may arrive."""
        if self._is_open:
            self._is_open = False
            now = clocks.monotonic()
            self._holds.note_unanswered(self._slot_range, now, self._hold_s)


class Authority(abc.ABC):
    """Decides whether this VM may renew grants by its current knowledge."""

    @abc.abstractmethod
    def is_authorised(self, now: float) -> bool:
        """Whether this VM has the authority to renew grants at all."""

    @abc.abstractmethod
    def may_renew(self, service: ids.ServiceName) -> bool:
        """Whether this VM's map of a service is current enough."""


class GrantRenewer:
    """Grants keys to their owners and renews the grants.

    Attributes:
        holds_by_service: Bounds on the holds from grants of this VM.
        unreachable: Upstreams that don't answer this VM.
    """

    def __init__(
        self,
        maps: KeyMaps,
        target_table: targets.TargetTable,
        peers: gossip.Peers,
        control: interfaces.UpstreamControl,
        authority: Authority,
        meters: metrics.Meters,
        is_isolated: upstream_links.IsIsolated = upstream_links.never_isolated,
    ):
        self._maps = maps
        self._target_table = target_table
        self._peers = peers
        self._responsibilities = sharing.Responsibilities(peers.me)
        self._control = control
        self._authority = authority
        self._is_isolated = is_isolated
        self._meters = meters
        # When a range of slots was last granted, and under which fence, by its
        # first slot.
        self._granted: dict[ids.ServiceName, dict[int, tuple[int, float]]] = {}
        # The time before which none of an owner's slots is due, with the map
        # that it was computed from.
        self._next_due: dict[model.UpstreamId, tuple[keymap.KeyMap, float]] = {}
        self._unresponsive: set[model.UpstreamId] = set()
        self._tasks: dict[model.UpstreamId, asyncio.Task] = {}
        self._is_stopped = False
        # Since when this VM has had the authority to renew without a break.
        self._authorised_since: float | None = None
        self.holds_by_service: dict[ids.ServiceName, holds.HoldTable] = {}
        self.unreachable: set[model.UpstreamId] = set()

    async def run(self) -> None:
        """Renews until cancelled."""
        try:
            while True:
                self._update_tasks(clocks.monotonic())
                await self._maps.changed.wait(_POLL_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def stop(self, now: float) -> bool:
        """Stops granting, if other VMs can take over; returns whether it did.

        Once the other VMs know this, a restarted process needn't be waited for
        on account of what this one might have granted until its end.
        """
        if sharing.authorised_by_domain(self._peers, now):
            self._is_stopped = True
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()
        return self._is_stopped

    def grants_end_s(self, now: float) -> float | None:
        """Returns the time until all grants expire; None while it grants."""
        if not self._is_stopped:
            return None
        tables = self.holds_by_service.values()
        return max(
            (table.max_remaining_s(now) for table in tables), default=0.0
        )

    def _update_tasks(self, now: float) -> None:
        if self._is_stopped:
            return
        if not self._authority.is_authorised(now):
            # Without a leader, the other VMs aren't authorised either. Treated
            # as crashed, they would make each VM responsible for all upstreams.
            self._authorised_since = None
            return
        if self._authorised_since is None:
            self._authorised_since = now
        wanted: frozenset[model.UpstreamId] = frozenset()
        if not self._is_isolated(now):
            wanted = self._responsibilities.upstreams(self._cluster_view(now))
        for owner in [name for name in self._tasks if name not in wanted]:
            self._tasks.pop(owner).cancel()
            self.unreachable.discard(owner)
        for owner in wanted:
            task = self._tasks.get(owner)
            if task is None or task.done():
                self._tasks[owner] = asyncio.create_task(self._renew(owner))

    def _cluster_view(self, now: float) -> sharing.ClusterView:
        """Returns the input for dividing the upstreams among the VMs."""
        by_id = self._target_table.by_id
        return sharing.ClusterView(
            sharing.authorised_by_domain(
                self._peers, now, self._authorised_since
            ),
            self._peers.dissemination.renewing_domains(now),
            frozenset(self.unreachable),
            {
                owner: by_id[owner].upstream.failure_domain
                for key_map in self._maps.by_service.values()
                for owner in key_map.slots_by_owner
                if owner in by_id
            },
        )

    async def _renew(self, owner: model.UpstreamId) -> None:
        service = self._target_table.by_id[owner].upstream.service
        while True:
            key_map = self._maps.by_service[service]
            is_answering = await self._renew_due(service, owner)
            if not is_answering:
                self.unreachable.add(owner)
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self.unreachable.discard(owner)
            if self._maps.by_service[service] is key_map:
                await self._maps.changed.wait(_POLL_INTERVAL_S)

    async def _renew_due(self, service, owner) -> bool:
        key_map = self._maps.by_service[service]
        now = clocks.monotonic()
        if not self._authority.may_renew(service):
            return True
        if self._has_restarted(key_map, owner):
            # The restarted owner needs a newer fence from the leader.
            return True
        queue = self._due_ranges(service, key_map, owner, now)
        if not queue:
            return True
        # Unanswered commands cost only waiting time, so more run concurrently.
        is_unresponsive = owner in self._unresponsive
        count = _PARALLEL_UNRESPONSIVE if is_unresponsive else _PARALLEL
        answers: list[bool] = []

        queued, checked = set(queue), key_map

        async def grant(slot_range: range) -> None:
            nonlocal checked
            if self._maps.by_service[service] is not checked:
                # Slots that the owner just got go before the renewals.
                checked = self._maps.by_service[service]
                fresh = self._ungranted_ranges(service, owner) - queued
                queued.update(fresh)
                queue.extend(fresh)
            answers.append(await self._grant(service, owner, slot_range))

        await parallel.process_concurrently(
            queue,
            min(count, len(queue)),
            grant,
            lambda: any(answers) or len(answers) < _GIVE_UP_AFTER,
        )
        if all(answers):
            self._unresponsive.discard(owner)
        else:
            self._unresponsive.add(owner)
        return any(answers)

    def _due_ranges(self, service, key_map, owner, now: float) -> list[range]:
        """Returns ranges of slots to renew, the least recently granted last."""
        known = self._next_due.get(owner)
        if known is not None and known[0] is key_map and now < known[1]:
            return []
        granted = self._granted.get(service, {})
        due, earliest = [], now + RENEW_INTERVAL_S
        for slot_range in key_map.ranges_of(owner):
            fence, at = granted.get(slot_range.start, (0, 0.0))
            if fence != key_map.slots[slot_range.start].fence:
                at = 0.0
            if now - at >= RENEW_INTERVAL_S:
                due.append((at, slot_range))
            else:
                earliest = min(earliest, at + RENEW_INTERVAL_S)
        if not due:
            self._next_due[owner] = key_map, earliest
        due.sort(key=lambda entry: entry[0], reverse=True)
        return [slot_range for _, slot_range in due]

    def _ungranted_ranges(self, service, owner) -> set[range]:
        """Returns ranges that were never granted under their fence."""
        key_map = self._maps.by_service[service]
        granted = self._granted.get(service, {})
        return {
            slot_range
            for slot_range in key_map.ranges_of(owner)
            if granted.get(slot_range.start, (0, 0.0))[0]
            != key_map.slots[slot_range.start].fence
        }

    async def _grant(self, service, owner, slot_range: range) -> bool:
        key_map = self._maps.by_service[service]
        slot = key_map.slots[slot_range.start]
        target = self._target_table.by_id.get(owner)
        now = clocks.monotonic()

        def is_due() -> bool:
            return self._is_due(service, owner, slot_range, slot)

        if target is None or not is_due():
            return True
        try:
            result = await self.grant_and_record(
                service,
                target,
                slot_range,
                key_map.keys_of_range(slot_range),
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
        granted[slot_range.start] = slot.fence, now
        if result is interfaces.GrantResult.REPLACED:
            self._target_table.mark_replaced(target, now)
            return False
        if result is not interfaces.GrantResult.HELD:
            logs.logger.warning(
                "grant refused",
                upstream=owner,
                service=service,
                keys=str(key_map.keys_of_range(slot_range)),
                fence=slot.fence,
                result=result.value,
            )
        return True

    def _is_due(self, service, owner, slot_range: range, first) -> bool:
        """Whether the range has the same owner and this VM may renew it."""
        key_map = self._maps.by_service[service]
        if any(
            self._is_stale(key_map.slots[i], owner, first) for i in slot_range
        ):
            return False
        if self._has_restarted(key_map, owner):
            return False
        return self._authority.may_renew(service)

    async def grant_and_record(
        self,
        service: ids.ServiceName,
        target: targets.Target,
        slot_range: range,
        keys: interfaces.KeyRange,
        fence: int,
        hold_s: float,
        token: str,
        is_due: collections.abc.Callable[[], bool],
    ) -> interfaces.GrantResult:
        """Sends one grant and records what its upstream may hold by it.

        Args:
            service: The service.
            target: The upstream.
            slot_range: Slots that are granted.
            keys: Their keys.
            fence: Fence of the grant.
            hold_s: Duration of the hold, from the arrival of the grant.
            token: Hand-over token; empty if there is none.
            is_due: Returns whether the grant may be sent. Called right before
                it is sent, as a slot may be marked while the connection opens.

        Raises:
            PeerTimeoutError: No answer; the grant may have arrived.
            PeerUnreachableError: No connection; nothing was sent.
            PeerUnavailableError: Nothing was sent.
        """
        count = len(self._maps.by_service[service].slots)
        attempt = _GrantAttempt(self.holds(service, count), slot_range, hold_s)

        def on_send() -> None:
            if self._is_stopped or not is_due():
                raise errors.PeerUnavailableError(
                    "grant no longer due", step="grant keys", peer=target.id
                )
            attempt.note_sending()

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
            attempt.note_answered()
        except errors.PeerTimeoutError:
            raise
        except errors.PeerUnavailableError:
            attempt.note_unsent()
            raise
        finally:
            attempt.note_unanswered()
        return result

    def _has_restarted(self, key_map: keymap.KeyMap, owner) -> bool:
        """Whether an owner restarted since its slots were assigned to it."""
        target = self._target_table.by_id.get(owner)
        return target is not None and target.upstream.has_restarted_since(
            key_map.started_ms.get(owner, 0)
        )

    @staticmethod
    def _is_stale(slot, owner, first) -> bool:
        return (
            slot.is_leaving or slot.owner != owner or slot.fence != first.fence
        )

    def holds(self, service: ids.ServiceName, count: int) -> holds.HoldTable:
        """Returns the bounds on the holds of a service's slots."""
        hold_table = self.holds_by_service.get(service)
        if hold_table is None:
            hold_table = holds.HoldTable(count, HOLD_S)
            self.holds_by_service[service] = hold_table
        return hold_table

    def leaving_holds(
        self, now: float
    ) -> dict[ids.ServiceName, dict[model.UpstreamId, reports.Hold]]:
        """Returns the holds from this VM's grants on slots that are leaving.

        Owners without such holds are left out. That is most of them, as only
        one VM renews an upstream's grants.
        """
        found: dict[ids.ServiceName, dict] = {}
        listable = MAX_UNANSWERED_LISTED
        for service, key_map in self._maps.by_service.items():
            if not key_map.leaving:
                continue
            hold_table = self.holds(service, len(key_map.slots))
            for owner, indices in key_map.leaving_by_owner().items():
                hold = hold_table.hold(indices, now, listable)
                if hold.held_s > 0 or hold.unanswered_s > 0:
                    found.setdefault(service, {})[owner] = hold
                    listable -= len(hold.unanswered_slots or ())
        return found
