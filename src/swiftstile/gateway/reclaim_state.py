"""State of reclaiming the slots that leave one owner."""

import asyncio
import collections.abc

from swiftstile import logs
from swiftstile.gateway import holds
from swiftstile.gateway import model
from swiftstile.gateway import moves
from swiftstile.gateway import release_progress

__all__ = ["KEEP_INTERVAL_S", "SlotReclaim"]

# Interval between renewals of the hold of slots that stay with the owner they
# leave: two may fail before it expires.
KEEP_INTERVAL_S = 0.6
# Delay after a failed release, doubled each time. Attempts that fence hold the
# slots for a while, so they leave time for the slots of a crashed owner to be
# freed.
_RETRY_DELAY_S, _FENCING_RETRY_DELAY_S = 0.05, 0.4
MAX_RETRY_DELAY_S = 5.0
# Interval between log lines on slots that wait.
WAIT_LOG_INTERVAL_S = 1.0
# Logged in place of an unbounded wait.
MAX_LOGGED_HELD_S = 999.0

Slots = collections.abc.Iterable[int]


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
        released_at: When the owner released these slots, by slot.
        fenced: Slots of which the owner rejects older grants from any sender.
        reassigning: Slots whose next owner is being written. Meanwhile nothing
            is granted to the old one.
        has_failed: Whether some commands of a release got no answer.
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
        self.released_at: dict[int, float] = {}
        self.fenced: set[int] = set()
        self.reassigning: frozenset[int] = frozenset()
        self._unanswered_until: dict[int, float] = {}
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

    @property
    def has_failed(self) -> bool:
        """Whether some commands of a release got no answer."""
        return self._failures > 0

    def may_release(self, now: float) -> bool:
        """Whether another release may start."""
        return not self.is_releasing and now >= self._retry_at

    def may_keep(self, now: float) -> bool:
        """Whether the slots may be granted to their owner again."""
        return not self.is_releasing and now - self._kept_at >= KEEP_INTERVAL_S

    def is_fenced_off(self, slot: int, now: float) -> bool:
        """Whether no grant of a fenced slot can arrive at the owner any more.

        A fencing grant without an answer has the same fence as the release and
        may be carried out after it.
        """
        return slot in self.fenced and now >= self._unanswered_until.get(
            slot, 0.0
        )

    def note_release(self, task: asyncio.Task) -> None:
        """Records that a release started."""
        self._release = task

    def start_progress(self, slots: int) -> release_progress.ReleaseProgress:
        """Returns the record of the calls of the next release."""
        self._progress = release_progress.ReleaseProgress(slots)
        return self._progress

    def note_fencing(self, slots: Slots) -> None:
        """Records that slots are fenced from now on.

        A release from before doesn't count, as older grants may follow it.
        """
        for slot in slots:
            if slot not in self.fenced:
                self.fenced.add(slot)
                self.forget_release(slot)

    def note_released(self, slots: Slots, token: str, now: float) -> None:
        """Records that the owner released slots."""
        for slot in slots:
            self.tokens[slot] = token
            self.released_at[slot] = now

    def forget_release(self, slot: int) -> None:
        """Records that the owner may hold a slot that it had released."""
        self.tokens.pop(slot, None)
        self.released_at.pop(slot, None)

    def note_assigned(self, slots: Slots) -> None:
        """Records that slots have other owners."""
        for slot in slots:
            self.forget_release(slot)
            self.fenced.discard(slot)

    def note_failures(self, now: float) -> None:
        """Records that some commands of a release got no answer."""
        first_s = _FENCING_RETRY_DELAY_S if self.fenced else _RETRY_DELAY_S
        delay_s = min(first_s * 2**self._failures, MAX_RETRY_DELAY_S)
        self._failures += 1
        self._retry_at = now + delay_s

    def note_unanswered(self, slots: Slots, now: float, hold_s: float) -> None:
        """Records that a grant got no answer and its connection was reset."""
        end = now + holds.max_held_s(hold_s)
        for slot in self.fenced.intersection(slots):
            known = self._unanswered_until.get(slot, 0.0)
            self._unanswered_until[slot] = max(known, end)

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
