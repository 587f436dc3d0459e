"""Each VM's part in who coordinates a service: waits, takes over, works."""

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
from swiftstile.ownership import scouts
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["LeaseKeeper", "rank"]

# Between two looks at a row by a VM that is no candidate.
_SLOW_LOOK_S = 2.0
# Between two looks of a candidate at its own promise; not at the table.
_PROMISE_LOOK_S = 0.03
# Keeps VMs that could all take a free lease from writing at the same time.
_RANK_WAIT_S = 0.25
_STORE_RETRY_S = 0.3

# Builds the holder and the coordination of a lease that was just taken.
Builder = collections.abc.Callable[
    [leases.CoordinatorLease, int, float, bool],
    tuple[holder_lib.Holder, coordination.Coordination],
]


class LeaseKeeper:
    """Takes the coordinator lease of one service when it may.

    Attributes:
        known: The lease as last seen, None before the first look.
        active: The coordination while this process holds the lease.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        me: leases.Candidate,
        table: base.Table,
        book: leases.PromiseBook,
        scout: scouts.Scout,
        builder: Builder,
        rank: int,
        tolerance_s: float,
    ):
        self.known: leases.CoordinatorLease | None = None
        self.active: coordination.Coordination | None = None
        self._holder: holder_lib.Holder | None = None
        self._work: asyncio.Task | None = None
        self._service = service
        self._me = me
        self._table = table
        self._book = book
        self._scout = scout
        self._builder = builder
        self._rank = rank
        self._tolerance_s = tolerance_s
        self._seen: tuple[int, float] = (base.ABSENT, 0.0)
        self._look_now = asyncio.Event()

    async def run(self) -> None:
        """Waits for the lease, holds it, and so on until cancelled."""
        while True:
            try:
                await self._take_when_allowed()
            except errors.PlatformError as error:
                logs.logger.debug("lease not taken", error=str(error))
                await asyncio.sleep(_STORE_RETRY_S)

    def note_holder(self, vm: ids.VmId, epoch: ids.Epoch) -> None:
        """Notes what a holder says of itself when it asks for a promise."""
        if self.known is None or self.known.epoch < epoch:
            self.known = leases.CoordinatorLease(
                epoch, leases.Candidate(vm, ids.Incarnation(""))
            )
            self._look_now.set()

    async def release(self) -> None:
        """Gives the lease up if this process holds it."""
        if self._holder is None:
            return
        holder = self._holder
        # Grants stop before the lease is given up.
        self._work.cancel()
        await asyncio.gather(self._work, return_exceptions=True)
        await holder.release()

    async def _take_when_allowed(self) -> None:
        row = await self._table.read(leases.lease_key(self._service))
        lease = None
        if row is not None:
            lease = codec.from_json(row.value, leases.CoordinatorLease)
            self._note(lease, row.version)
        if lease is None or lease.released:
            await self._wait_turn(lease)
            await self._take(row, lease)
        elif self._me in lease.candidates:
            if await self._wait_lapse(lease):
                await self._take(row, lease)
        elif self._is_stale():
            await self._take(row, lease)
        else:
            await self._rest(_SLOW_LOOK_S)

    def _note(self, lease: leases.CoordinatorLease, version: int) -> None:
        if self.known is None or self.known.epoch <= lease.epoch:
            self.known = lease
        if self._seen[0] != version:
            self._seen = (version, clocks.monotonic())

    def _is_stale(self) -> bool:
        """Whether the holder has surely stopped, and no candidate is left.

        A holder goes on for the tolerance at most after it last wrote its
        row, and this process saw that write later than it was sent.
        """
        since = clocks.monotonic() - self._seen[1]
        return since > self._tolerance_s + clocks.DRIFT_MARGIN_S

    async def _wait_turn(self, lease) -> None:
        first = lease is not None and self._me in lease.candidates
        await asyncio.sleep(0 if first else self._rank * _RANK_WAIT_S)

    async def _wait_lapse(self, lease: leases.CoordinatorLease) -> bool:
        """Waits until a candidate's promise lapsed.

        Returns:
            False when it is time to look at the row again instead.
        """
        # The second candidate lets the first go ahead.
        ahead = lease.candidates.index(self._me) * _RANK_WAIT_S
        await self._rest(self._first_grace())
        end = clocks.monotonic() + _SLOW_LOOK_S
        while clocks.monotonic() < end:
            if self._book.lapsed(self._service, clocks.monotonic() - ahead):
                return True
            if self._look_now.is_set():
                break
            await asyncio.sleep(_PROMISE_LOOK_S)
        self._look_now.clear()
        return False

    def _first_grace(self) -> float:
        """Time for a holder to ask for its first promise."""
        return 0.0 if self._book.knows(self._service) else _SLOW_LOOK_S / 2

    async def _rest(self, wait_s: float) -> None:
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._look_now.wait()
        except TimeoutError:
            pass
        self._look_now.clear()

    async def _take(self, row, old: leases.CoordinatorLease | None) -> None:
        candidates = await self._scout.choose(self._service, [])
        epoch = ids.Epoch(old.epoch + 1 if old else 1)
        lease = leases.CoordinatorLease(epoch, self._me, candidates)
        version = row.version if row else base.ABSENT
        key = leases.lease_key(self._service)
        write = base.Write(key, version, codec.to_json(lease))
        sent_at = clocks.monotonic()
        if not self._book.begin_take_over(self._service, sent_at):
            return
        try:
            await retries.transact_with_retries(self._table, [write], math.inf)
        except errors.ConflictError:
            self._book.end_take_over(self._service)
            return
        except errors.PlatformUnavailableError:
            self._book.end_take_over(self._service)
            raise
        # A task that is cancelled above leaves the take-over unsettled for
        # good, and this process gives no more promises for the service.
        self._book.end_take_over(self._service)
        self._book.note_epoch(self._service, epoch)
        self._note(lease, version + 1)
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
        self._work = asyncio.create_task(self.active.run())
        try:
            await self._work
        except holder_lib.LeaseLostError as error:
            logs.logger.info(
                "coordinator lease lost",
                service=str(self._service),
                epoch=lease.epoch,
                reason=str(error),
            )
        finally:
            self._work.cancel()
            self._holder = self.active = None


def rank(service: ids.ServiceId, vm: ids.VmId, vms: list[ids.VmId]) -> int:
    """Returns a VM's turn for a service, which spreads leases over VMs.

    Source: highest random weight hashing (Thaler and Ravishankar, 1998).
    """

    def weight(name: ids.VmId) -> int:
        return hashing.text_hash(f"{service}@{name}")

    return sum(weight(other) > weight(vm) for other in vms if other != vm)
