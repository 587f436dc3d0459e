"""Asynchronous interface to admission control: waiting for slots."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile.gateway import admission
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["Gate", "rejected_error"]

# Interval of queue scans without other events, as estimates change over time.
SCAN_INTERVAL_S = 0.02


class Gate:
    """Assigns slots to waiting requests as they become free.

    Args:
        admission_controller: Decides which request gets which slot.
        record_demand: Called once for each request for a key's owner that this
            gate decides on.
    """

    def __init__(
        self,
        admission_controller: admission.AdmissionController,
        record_demand: collections.abc.Callable[[admission.Waiter], None],
    ):
        self.admission = admission_controller
        self._record_demand = record_demand
        self._futures: dict[int, asyncio.Future[targets.Target]] = {}
        self._has_waiting = asyncio.Event()

    async def acquire(self, waiter: admission.Waiter) -> targets.Target:
        """Waits for a target with a free slot and counts the request there.

        Raises:
            RejectedError: No slot in time.
        """
        decided = self.start_acquire(waiter)
        if isinstance(decided, admission.Rejection):
            raise rejected_error(decided)
        if isinstance(decided, targets.Target):
            return decided
        try:
            return await decided
        except asyncio.CancelledError:
            self.cancel_wait(waiter, decided)
            raise

    def start_acquire(
        self, waiter: admission.Waiter
    ) -> targets.Target | admission.Rejection | asyncio.Future[targets.Target]:
        """Starts to acquire a slot, without waiting.

        Returns:
            A target that counts the request already, a rejection, or a future
            with either. Call `cancel_wait` to stop waiting for the future.
        """
        now = clocks.monotonic()
        if waiter.owner is not None:
            self._record_demand(waiter)
        decided = self.admission.offer(waiter, now)
        if decided is None:
            future = asyncio.get_running_loop().create_future()
            self._futures[waiter.sequence] = future
            self._has_waiting.set()
            return future
        if isinstance(decided, targets.Target):
            self._occupy(waiter, decided, now)
        return decided

    @staticmethod
    def _occupy(waiter, target: targets.Target, now: float) -> None:
        waiter.occupied = target.occupied(now)
        target.note_sent(waiter.sequence, now, waiter.expected_s)

    def cancel_wait(
        self, waiter: admission.Waiter, future: asyncio.Future[targets.Target]
    ) -> None:
        """Cancels a wait for the future that `start_acquire` returned."""
        self._futures.pop(waiter.sequence, None)
        self.admission.remove(waiter)
        if future.done() and not future.cancelled() and not future.exception():
            # It was assigned a slot while its caller stopped waiting.
            self.release(waiter, future.result())

    def release(self, waiter: admission.Waiter, target: targets.Target) -> None:
        """Releases the slot of a request that has left its target."""
        target.note_ended(waiter.sequence)
        is_owner = waiter.owner is not None
        self.dispatch((waiter.service, target.id if is_owner else None))

    def on_peer_report(self) -> None:
        """Scans the queue after a peer reported its load on targets.

        With many VMs there are about a hundred reports a second and each scan
        costs as much as a request, so the next regular scan has to do.
        """
        if self.admission.vm_count <= admission.MAX_VMS_WITHOUT_SAMPLING:
            self.dispatch()

    def dispatch(self, only: admission.QueueKey | None = None) -> None:
        """Assigns free slots to waiting requests.

        Args:
            only: Restricts the scan to the requests that queue for this.
        """
        if not self._futures:
            return
        now = clocks.monotonic()
        assigned, rejected = self.admission.dispatch(now, only)
        for waiter, target in assigned:
            self._occupy(waiter, target, now)
            self._resolve(waiter, target, None)
        for waiter, rejection in rejected:
            self._resolve(waiter, None, rejected_error(rejection))

    def _resolve(self, waiter, target, error) -> None:
        future = self._futures.pop(waiter.sequence, None)
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
            await asyncio.sleep(SCAN_INTERVAL_S)
            self.dispatch()
            if not self._futures:
                self._has_waiting.clear()


def rejected_error(rejection: admission.Rejection) -> outcomes.RejectedError:
    """Returns the error that reports a rejection to the caller."""
    wanted = "owner of the key" if rejection.is_ownerless else "slot"
    error = outcomes.RejectedError(
        f"no {wanted} within {rejection.wait_s:.3f} s",
        step="wait for an owner"
        if rejection.is_ownerless
        else "wait for a slot",
        peer=rejection.owner or "",
    )
    error.retry_after_s = rejection.retry_after_s
    error.rejection = rejection
    return error
