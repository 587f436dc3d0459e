"""Waits for slots: the asynchronous side of admission."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile.gateway import admission
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["Gate", "refused"]

# Between two looks at the queue without news: estimates of targets age.
PUMP_INTERVAL_S = 0.02


class Gate:
    """Hands slots to waiting requests as targets get room.

    Args:
        decisions: Decides who gets which slot.
        note_demand: Called once with each request for the owner of a key that
            is decided on here.
    """

    def __init__(
        self,
        decisions: admission.Admission,
        note_demand: collections.abc.Callable[[admission.Waiter], None],
    ):
        self.decisions = decisions
        self._note_demand = note_demand
        self._waiting: dict[int, asyncio.Future[targets.Target]] = {}
        self._has_waiting = asyncio.Event()

    async def acquire(self, waiter: admission.Waiter) -> targets.Target:
        """Returns a target that has room, with the request counted there.

        Raises:
            RefusedError: No slot in time.
        """
        decided = self.begin(waiter)
        if isinstance(decided, admission.Overload):
            raise refused(decided)
        if isinstance(decided, targets.Target):
            return decided
        try:
            return await decided
        except asyncio.CancelledError:
            self.give_up(waiter, decided)
            raise

    def begin(
        self, waiter: admission.Waiter
    ) -> targets.Target | admission.Overload | asyncio.Future[targets.Target]:
        """Returns a target with the request counted there, if there is one.

        Returns:
            A target, a refusal, or what tells of either later. Whoever doesn't
            wait for that any more calls `give_up`.
        """
        now = clocks.monotonic()
        if waiter.owner is not None:
            self._note_demand(waiter)
        decided = self.decisions.offer(waiter, now)
        if decided is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[waiter.sequence] = future
            self._has_waiting.set()
            return future
        if isinstance(decided, targets.Target):
            self._count(waiter, decided, now)
        return decided

    @staticmethod
    def _count(waiter, target: targets.Target, now: float) -> None:
        waiter.occupied = target.occupied(now)
        target.note_sent(waiter.sequence, now, waiter.expected_s)

    def give_up(
        self, waiter: admission.Waiter, future: asyncio.Future[targets.Target]
    ) -> None:
        """Nobody waits any more for what `begin` promised."""
        self._waiting.pop(waiter.sequence, None)
        self.decisions.leave(waiter)
        if future.done() and not future.cancelled() and not future.exception():
            # It got a slot while its caller left.
            self.release(waiter, future.result())

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """The request is no longer at the target."""
        target.note_ended(waiter.sequence)
        is_owner = waiter.owner is not None
        self.pump((waiter.service, target.id if is_owner else None))

    def note_report(self) -> None:
        """A peer told how busy targets are by its requests.

        Many VMs tell a hundred times a second: the next regular look is soon
        enough, and each one costs as much as a request.
        """
        if self.decisions.vms <= admission.FEW_VMS:
            self.pump()

    def pump(self, only: admission.Contest | None = None) -> None:
        """Gives free slots to those that wait, for something alone if told."""
        if not self._waiting:
            return
        now = clocks.monotonic()
        assigned, turned_away = self.decisions.pump(now, only)
        for waiter, target in assigned:
            self._count(waiter, target, now)
            self._settle(waiter, target, None)
        for waiter, overload in turned_away:
            self._settle(waiter, None, refused(overload))

    def _settle(self, waiter, target, error) -> None:
        future = self._waiting.pop(waiter.sequence, None)
        if future is None or future.done():
            if target is not None:
                target.note_ended(waiter.sequence)
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(target)

    async def run(self) -> None:
        """Looks at the queue again and again until cancelled."""
        while True:
            # Without requests that wait there is nothing to wake up for.
            await self._has_waiting.wait()
            await asyncio.sleep(PUMP_INTERVAL_S)
            self.pump()
            if not self._waiting:
                self._has_waiting.clear()


def refused(overload: admission.Overload) -> outcomes.RefusedError:
    """Returns the error that tells a caller of a refusal."""
    wanted = "owner of the key" if overload.is_ownerless else "slot"
    error = outcomes.RefusedError(
        f"no {wanted} within {overload.wait_s:.3f} s",
        step="wait for an owner"
        if overload.is_ownerless
        else "wait for a slot",
        peer=overload.owner or "",
    )
    error.retry_after_s = overload.retry_after_s
    error.overload = overload
    return error
