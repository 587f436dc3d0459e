"""Asynchronous interface to admission control: waiting for slots."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile.gateway import admission
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["Gate", "refused"]

# Interval of queue scans without other events, as estimates change over time.
PUMP_INTERVAL_S = 0.02


class Gate:
    """Assigns slots to waiting requests as they become free.

    Args:
        decisions: Decides which request gets which slot.
        note_demand: Called once for each request for a key's owner that this
            gate decides on.
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
        """Waits for a target with a free slot and counts the request there.

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
        """Starts to acquire a slot, without waiting.

        Returns:
            A target that counts the request already, a rejection, or a future
            with either. Call `give_up` to stop waiting for the future.
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
        """Cancels a wait for the future that `begin` returned."""
        self._waiting.pop(waiter.sequence, None)
        self.decisions.leave(waiter)
        if future.done() and not future.cancelled() and not future.exception():
            # It was assigned a slot while its caller stopped waiting.
            self.release(waiter, future.result())

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """Releases the slot of a request that has left its target."""
        target.note_ended(waiter.sequence)
        is_owner = waiter.owner is not None
        self.pump((waiter.service, target.id if is_owner else None))

    def note_report(self) -> None:
        """Scans the queue after a peer reported its load on targets.

        With many VMs there are about a hundred reports a second and each scan
        costs as much as a request, so the next regular scan has to do.
        """
        if self.decisions.vms <= admission.FEW_VMS:
            self.pump()

    def pump(self, only: admission.Contest | None = None) -> None:
        """Assigns free slots to waiting requests.

        Args:
            only: Restricts the scan to the requests that queue for this.
        """
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
        """Scans the queue periodically until cancelled."""
        while True:
            # Avoids wake-ups while the queue is empty.
            await self._has_waiting.wait()
            await asyncio.sleep(PUMP_INTERVAL_S)
            self.pump()
            if not self._waiting:
                self._has_waiting.clear()


def refused(overload: admission.Overload) -> outcomes.RefusedError:
    """Returns the error that reports a rejection to the caller."""
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
