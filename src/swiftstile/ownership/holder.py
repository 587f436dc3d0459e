"""A held coordinator lease: keeps its promises and candidates up to date."""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import settings as settings_lib
from swiftstile.ownership import leases
from swiftstile.ownership import scouts
from swiftstile.peers import links
from swiftstile.peers import messages
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["Holder", "LeaseLostError"]

_CONFIRM_INTERVAL_S = 5.0
# A refresh is due after this share of the time that the lease can go on
# without one, so that several may fail.
_REFRESH_SHARE = 0.25
# A candidate that is silent for this many renewals is replaced.
_SILENT_RENEWALS = 2.0
_REPLACE_SETTLE_S = 30.0


class LeaseLostError(errors.SwiftstileError):
    """Another process took the coordinator lease."""


class Holder:
    """One held lease, from take-over until it is lost or released.

    Attributes:
        service: The service.
        lease: The row as this holder last wrote it.
        row_version: Version of that row.
        validity: How long the lease runs.
        table_lock: Held during each write that depends on `row_version`.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        lease: leases.CoordinatorLease,
        row_version: int,
        taken_at: float,
        table: base.Table,
        peers: links.LinkPool,
        scout: scouts.Scout,
        settings: settings_lib.CoordinatorSettings,
    ):
        self.service = service
        self.lease = lease
        self.row_version = row_version
        self.validity = leases.Validity(settings.outage_tolerance_s, taken_at)
        self.validity.require(lease.candidates)
        self.table_lock = asyncio.Lock()
        self._table = table
        self._peers = peers
        self._scout = scout
        self._settings = settings
        self._last_replacement = 0.0
        # Candidates that are about to be written into the row.
        self._joining: tuple[leases.Candidate, ...] = ()

    def check_write(self) -> base.Write:
        """Returns the condition that a write of this holder depends on."""
        return base.Write(leases.lease_key(self.service), self.row_version)

    async def run(self) -> None:
        """Keeps the lease.

        Raises:
            LeaseLostError: Another process has it.
        """
        confirming = asyncio.create_task(self._confirm_forever())
        refreshing = asyncio.create_task(self._refresh_forever())
        asking: dict[ids.Incarnation, asyncio.Task] = {}
        try:
            while True:
                self._start_asking(asking)
                await asyncio.sleep(self._settings.renew_interval_s / 2)
                for task in [confirming, refreshing, *asking.values()]:
                    if task.done():
                        task.result()
                await self._replace_silent()
        finally:
            for task in [confirming, refreshing, *asking.values()]:
                task.cancel()

    async def release(self) -> None:
        """Gives the lease up, so that a candidate takes it at once."""
        released = msgspec.structs.replace(self.lease, released=True)
        try:
            await self._write_lease(released, 2.0)
        except errors.PlatformError as error:
            logs.logger.warning("lease not released", error=str(error))
            return
        await asyncio.gather(
            *(self._tell_resigned(c) for c in self.lease.candidates)
        )

    async def _tell_resigned(self, candidate: leases.Candidate) -> None:
        message = messages.Resigned(
            self.service, self.lease.epoch, candidate.incarnation
        )
        try:
            await self._call(candidate, message, messages.PromiseReply)
        except errors.SwiftstileError:
            # It finds the released row when it reads the table next.
            return

    def _start_asking(self, asking: dict[ids.Incarnation, asyncio.Task]):
        wanted = {c.incarnation: c for c in self.lease.candidates}
        for gone in set(asking) - set(wanted):
            asking.pop(gone).cancel()
        for incarnation in set(wanted) - set(asking):
            coroutine = self._ask_forever(wanted[incarnation])
            asking[incarnation] = asyncio.create_task(coroutine)

    async def _ask_forever(self, candidate: leases.Candidate) -> None:
        while True:
            await self._ask(candidate)
            await asyncio.sleep(self._settings.renew_interval_s)

    async def _ask(self, candidate: leases.Candidate) -> bool:
        duration = self._settings.promise_s
        message = messages.PromiseRequest(
            self.service,
            self.lease.epoch,
            self.lease.holder.vm,
            candidate.incarnation,
            duration,
        )
        asked_at = clocks.monotonic()
        try:
            answer = await self._call(candidate, message, messages.PromiseReply)
        except errors.SwiftstileError:
            return False
        if answer.epoch > self.lease.epoch:
            raise self._lost(answer.epoch)
        if answer.granted:
            until = duration - clocks.DRIFT_MARGIN_S
            self.validity.note_promise(candidate.incarnation, asked_at, until)
        return answer.granted

    async def _call(self, candidate, message, expected):
        address = self._scout.address(candidate.vm)
        return await self._peers.to(address).call(
            message, expected, self._settings.call_timeout_s
        )

    async def _replace_silent(self) -> None:
        patience = self._settings.renew_interval_s * _SILENT_RENEWALS
        now = clocks.monotonic()
        full = self._settings.promise_s - clocks.DRIFT_MARGIN_S
        silent = [
            c
            for c in self.lease.candidates
            if self.validity.promised_until(c.incarnation) - full
            < now - patience
        ]
        wanted = len(silent) or len(self.lease.candidates) < scouts.CANDIDATES
        if wanted and now - self._last_replacement > patience:
            self._last_replacement = now
            await self._replace({c.incarnation for c in silent})

    async def _replace(self, silent: set[ids.Incarnation]) -> None:
        keep = [c for c in self.lease.candidates if c.incarnation not in silent]
        candidates = await self._scout.choose(self.service, keep)
        if candidates == self.lease.candidates or not candidates:
            return
        # Asked before they are written, so that the lease doesn't lapse
        # between the write and their first promise.
        new = [c for c in candidates if c not in self.lease.candidates]
        self._joining = tuple(new)
        self.validity.require((*self.lease.candidates, *new))
        await asyncio.gather(*(self._ask(c) for c in new))
        try:
            await self._write_candidates(candidates)
        finally:
            self._joining = ()

    async def _write_candidates(
        self, candidates: tuple[leases.Candidate, ...]
    ) -> None:
        changed = msgspec.structs.replace(self.lease, candidates=candidates)
        try:
            await self._write_lease(changed, _REPLACE_SETTLE_S)
        except errors.OutcomeUnknownError:
            # Either set may be in the row: both must promise from here on,
            # until a read of the row shows which.
            return
        except errors.ConflictError as error:
            await self._confirm()
            raise self._lost(self.lease.epoch) from error
        except errors.PlatformUnavailableError:
            self.validity.require(self.lease.candidates)
            return
        self.validity.require(candidates)
        logs.logger.info(
            "candidates replaced",
            service=str(self.service),
            candidates=[c.vm for c in candidates],
        )

    async def _write_lease(
        self, changed: leases.CoordinatorLease | None, settle_s: float
    ) -> None:
        """Writes the row; as it is if there is no changed one.

        What the row is can only be said under the lock: it may be changed while
        this waits for it.
        """
        sent_at = clocks.monotonic()
        async with self.table_lock:
            lease = changed or self.lease
            write = base.Write(
                leases.lease_key(self.service),
                self.row_version,
                codec.to_json(lease),
            )
            await retries.transact_with_retries(self._table, [write], settle_s)
            self.lease = lease
            self.row_version += 1
        self.validity.note_confirmed(sent_at)

    async def _confirm_forever(self) -> None:
        while True:
            await asyncio.sleep(_CONFIRM_INTERVAL_S)
            try:
                await self._confirm()
            except errors.PlatformUnavailableError:
                continue

    async def _refresh_forever(self) -> None:
        """Writes the row now and then, which keeps it from being stale."""
        while True:
            await asyncio.sleep(
                self._settings.outage_tolerance_s * _REFRESH_SHARE
            )
            try:
                await self._write_lease(None, _REPLACE_SETTLE_S)
            except errors.ConflictError:
                await self._confirm()
            except errors.PlatformError:
                continue

    async def _confirm(self) -> None:
        async with self.table_lock:
            row = await self._table.read(leases.lease_key(self.service))
            # A lagging read shows an older version, which says nothing.
            if row is None or row.version < self.row_version:
                return
            found = codec.from_json(row.value, leases.CoordinatorLease)
            if found.holder != self.lease.holder:
                raise self._lost(found.epoch)
            self.lease = found
            self.row_version = row.version
            # The row may name those that join as soon as this ends.
            self.validity.require((*found.candidates, *self._joining))

    def _lost(self, epoch: ids.Epoch) -> LeaseLostError:
        return LeaseLostError(
            f"epoch {epoch} follows {self.lease.epoch}",
            step="keep coordinator lease",
            peer=str(self.service),
        )
