"""Election of a service's coordinator, as each entry VM takes part in it."""

import asyncio
import collections.abc
import math

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import hashing
from swiftstile import ids
from swiftstile import logs
from swiftstile.ownership import coordination
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import leases
from swiftstile.ownership import selection
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["CoordinatorElector", "rank"]

# Interval at which a VM that isn't a candidate reads the lease row.
_ROW_POLL_S = 2.0
# Interval at which a candidate checks its own promise, without table reads.
_PROMISE_POLL_S = 0.03
# Delay for each rank, so that VMs that may all take a free lease don't write
# at the same time.
_RANK_DELAY_S = 0.25
_STORE_RETRY_S = 0.3

# Builds the holder and the coordination of a newly acquired lease from the
# lease, its row version, when its write was sent, and whether the predecessor
# released it.
CoordinationBuilder = collections.abc.Callable[
    [leases.CoordinatorLease, int, float, bool],
    tuple[holder_lib.LeaseHolder, coordination.Coordination],
]


class CoordinatorElector:
    """Acquires the coordinator lease of one service when that is allowed.

    Attributes:
        known: The lease as last seen; None before the first read.
        active: The coordination while this process holds the lease, else None.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        me: leases.Candidate,
        table: base.Table,
        promises: leases.PromiseTable,
        selector: selection.CandidateSelector,
        builder: CoordinationBuilder,
        rank: int,
        tolerance_s: float,
    ):
        self.known: leases.CoordinatorLease | None = None
        self.active: coordination.Coordination | None = None
        self._holder: holder_lib.LeaseHolder | None = None
        self._coordination_task: asyncio.Task | None = None
        self._service = service
        self._me = me
        self._table = table
        self._promises = promises
        self._selector = selector
        self._builder = builder
        self._rank = rank
        self._tolerance_s = tolerance_s
        self._seen: tuple[int, float] = (base.ABSENT, 0.0)
        self._poll_now = asyncio.Event()

    async def run(self) -> None:
        """Repeatedly acquires and holds the lease until cancelled."""
        while True:
            try:
                await self._acquire_when_allowed()
            except errors.PlatformError as error:
                logs.logger.debug(
                    "could not take the coordinator lease", error=str(error)
                )
                await asyncio.sleep(_STORE_RETRY_S)

    def record_holder(self, vm: ids.VmId, epoch: ids.Epoch) -> None:
        """Records the holder that asks for a promise if its epoch is newer."""
        if self.known is None or self.known.epoch < epoch:
            self.known = leases.CoordinatorLease(
                epoch, leases.Candidate(vm, ids.Incarnation(""))
            )
            self._poll_now.set()

    async def release(self) -> None:
        """Releases the lease if this process holds it."""
        if self._holder is None:
            return
        holder = self._holder
        # No grant may be sent after the lease is released.
        self._coordination_task.cancel()
        await asyncio.gather(self._coordination_task, return_exceptions=True)
        await holder.release()

    async def _acquire_when_allowed(self) -> None:
        row = await self._table.read(leases.lease_key(self._service))
        lease = None
        if row is not None:
            lease = codec.from_json(row.value, leases.CoordinatorLease)
            self._record(lease, row.version)
        if lease is None or lease.released:
            await self._wait_turn(lease)
            await self._acquire(row, lease)
        elif self._me in lease.candidates:
            if await self._wait_lapse(lease):
                await self._acquire(row, lease)
        elif self._is_stale():
            await self._acquire(row, lease)
        else:
            await self._wait_until_poll(_ROW_POLL_S)

    def _record(self, lease: leases.CoordinatorLease, version: int) -> None:
        if self.known is None or self.known.epoch <= lease.epoch:
            self.known = lease
        if self._seen[0] != version:
            self._seen = (version, clocks.monotonic())

    def _is_stale(self) -> bool:
        """Returns whether the holder's lease must have lapsed by now.

        A holder coordinates for at most the outage tolerance after it sent the
        last write of its row, and this process saw that write later. A VM that
        isn't a candidate may then take over; the candidates haven't done so.
        """
        since = clocks.monotonic() - self._seen[1]
        return since > self._tolerance_s + clocks.DRIFT_MARGIN_S

    async def _wait_turn(self, lease) -> None:
        first = lease is not None and self._me in lease.candidates
        await asyncio.sleep(0 if first else self._rank * _RANK_DELAY_S)

    async def _wait_lapse(self, lease: leases.CoordinatorLease) -> bool:
        """Waits until this candidate's promise has lapsed.

        Returns:
            False if the row should be read again instead.
        """
        # Candidates take over in the order of the row: later ones wait longer.
        ahead = lease.candidates.index(self._me) * _RANK_DELAY_S
        await self._wait_until_poll(self._first_promise_grace_s())
        end = clocks.monotonic() + _ROW_POLL_S
        while clocks.monotonic() < end:
            if self._promises.lapsed(self._service, clocks.monotonic() - ahead):
                return True
            if self._poll_now.is_set():
                break
            await asyncio.sleep(_PROMISE_POLL_S)
        self._poll_now.clear()
        return False

    def _first_promise_grace_s(self) -> float:
        """Returns how long to wait for a holder's first promise request."""
        return (
            0.0 if self._promises.has_record(self._service) else _ROW_POLL_S / 2
        )

    async def _wait_until_poll(self, wait_s: float) -> None:
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._poll_now.wait()
        except TimeoutError:
            pass
        self._poll_now.clear()

    async def _acquire(self, row, old: leases.CoordinatorLease | None) -> None:
        candidates = await self._selector.choose(self._service, [])
        epoch = ids.Epoch(old.epoch + 1 if old else 1)
        lease = leases.CoordinatorLease(epoch, self._me, candidates)
        version = row.version if row else base.ABSENT
        key = leases.lease_key(self._service)
        write = base.Write(key, version, codec.to_json(lease))
        sent_at = clocks.monotonic()
        if not self._promises.begin_take_over(self._service, sent_at):
            return
        try:
            await retries.transact_with_retries(self._table, [write], math.inf)
        except errors.ConflictError:
            self._promises.end_take_over(self._service)
            return
        except errors.PlatformUnavailableError:
            self._promises.end_take_over(self._service)
            raise
        # If this task is cancelled during the write, the outcome of the
        # take-over stays unknown, and this process never makes another promise
        # for the service.
        self._promises.end_take_over(self._service)
        self._promises.record_epoch(self._service, epoch)
        self._record(lease, version + 1)
        released = old is not None and old.released
        await self._coordinate(lease, version + 1, sent_at, released)

    async def _coordinate(self, lease, row_version, taken_at, released) -> None:
        logs.logger.info(
            "coordinator lease taken",
            service=str(self._service),
            epoch=lease.epoch,
            candidates=[c.vm for c in lease.candidates],
        )
        self._holder, self.active = self._builder(
            lease, row_version, taken_at, released
        )
        self._coordination_task = asyncio.create_task(self.active.run())
        try:
            await self._coordination_task
        except holder_lib.LeaseLostError as error:
            logs.logger.info(
                "coordinator lease lost",
                service=str(self._service),
                epoch=lease.epoch,
                reason=str(error),
            )
        finally:
            self._coordination_task.cancel()
            self._holder = self.active = None


def rank(service: ids.ServiceId, vm: ids.VmId, vms: list[ids.VmId]) -> int:
    """Returns a VM's rank for a service, 0 for the preferred VM.

    Ranks differ by service, which spreads the leases over the VMs. Source:
    highest random weight hashing (Thaler and Ravishankar, 1998).
    """

    def weight(name: ids.VmId) -> int:
        return hashing.text_hash(f"{service}@{name}")

    return sum(weight(other) > weight(vm) for other in vms if other != vm)
