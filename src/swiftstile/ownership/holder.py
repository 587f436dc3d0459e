"""Keeps a held coordinator lease valid: promises, candidates and its row."""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile import settings as settings_lib
from swiftstile.ownership import leases
from swiftstile.ownership import selection
from swiftstile.peers import links
from swiftstile.peers import messages
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["LeaseHolder", "LeaseLostError"]

_CONFIRM_INTERVAL_S = 5.0
# The row is rewritten after this share of the time that the lease may go
# without a write, so that several writes may fail.
_REFRESH_SHARE = 0.25
# A candidate that hasn't answered for this many renewal intervals is replaced.
_MISSED_RENEWALS = 2.0
_REPLACE_SETTLE_S = 30.0


class LeaseLostError(errors.SwiftstileError):
    """Another process took the coordinator lease."""


class LeaseHolder:
    """One held lease, from take-over until it is lost or released.

    Attributes:
        service: The service.
        lease: The row as this holder last wrote or read it.
        row_version: Version of that row.
        validity: How long the lease is valid.
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
        selector: selection.CandidateSelector,
        settings: settings_lib.CoordinatorSettings,
    ):
        self.service = service
        self.lease = lease
        self.row_version = row_version
        self.validity = leases.LeaseValidity(
            settings.outage_tolerance_s, taken_at
        )
        self.validity.require(lease.candidates)
        self.table_lock = asyncio.Lock()
        self._table = table
        self._peers = peers
        self._selector = selector
        self._settings = settings
        self._last_replacement = 0.0
        # New candidates whose write to the row hasn't finished yet.
        self._pending_candidates: tuple[leases.Candidate, ...] = ()

    def lease_condition(self) -> base.Write:
        """Returns a check that fails a transaction if the lease was lost."""
        return base.Write(leases.lease_key(self.service), self.row_version)

    async def run(self) -> None:
        """Renews the lease until cancelled.

        Raises:
            LeaseLostError: Another process holds the lease.
        """
        confirming = asyncio.create_task(self._confirm_forever())
        refreshing = asyncio.create_task(self._refresh_forever())
        renewals: dict[ids.Incarnation, asyncio.Task] = {}
        try:
            while True:
                self._sync_renewals(renewals)
                await asyncio.sleep(self._settings.renew_interval_s / 2)
                for task in [confirming, refreshing, *renewals.values()]:
                    if task.done():
                        task.result()
                await self._replace_unresponsive()
        finally:
            for task in [confirming, refreshing, *renewals.values()]:
                task.cancel()

    async def release(self) -> None:
        """Releases the lease, so that a candidate can take over at once."""
        released = msgspec.structs.replace(self.lease, released=True)
        try:
            await self._write_lease(released, 2.0)
        except errors.PlatformError as error:
            logs.logger.warning(
                "could not release the coordinator lease", error=str(error)
            )
            return
        await asyncio.gather(
            *(self._notify_resigned(c) for c in self.lease.candidates)
        )

    async def _notify_resigned(self, candidate: leases.Candidate) -> None:
        message = messages.Resigned(
            self.service, self.lease.epoch, candidate.incarnation
        )
        try:
            await self._call(candidate, message, messages.PromiseReply)
        except errors.SwiftstileError:
            # The candidate sees the released row at its next read.
            return

    def _sync_renewals(self, renewals: dict[ids.Incarnation, asyncio.Task]):
        wanted = {c.incarnation: c for c in self.lease.candidates}
        for removed in set(renewals) - set(wanted):
            renewals.pop(removed).cancel()
        for incarnation in set(wanted) - set(renewals):
            coroutine = self._renew_forever(wanted[incarnation])
            renewals[incarnation] = asyncio.create_task(coroutine)

    async def _renew_forever(self, candidate: leases.Candidate) -> None:
        while True:
            await self._request_promise(candidate)
            await asyncio.sleep(self._settings.renew_interval_s)

    async def _request_promise(self, candidate: leases.Candidate) -> bool:
        duration = self._settings.promise_s
        message = messages.PromiseRequest(
            self.service,
            self.lease.epoch,
            self.lease.holder.vm,
            candidate.incarnation,
            duration,
        )
        requested_at = clocks.monotonic()
        try:
            answer = await self._call(candidate, message, messages.PromiseReply)
        except errors.SwiftstileError:
            return False
        if answer.epoch > self.lease.epoch:
            raise self._lease_lost_error(answer.epoch)
        if answer.granted:
            until = duration - clocks.DRIFT_MARGIN_S
            self.validity.record_promise(
                candidate.incarnation, requested_at, until
            )
        return answer.granted

    async def _call(self, candidate, message, expected):
        address = self._selector.address(candidate.vm)
        return await self._peers.to(address).call(
            message, expected, self._settings.call_timeout_s
        )

    async def _replace_unresponsive(self) -> None:
        grace = self._settings.renew_interval_s * _MISSED_RENEWALS
        now = clocks.monotonic()
        full = self._settings.promise_s - clocks.DRIFT_MARGIN_S
        unresponsive = [
            c
            for c in self.lease.candidates
            if self.validity.promised_until(c.incarnation) - full < now - grace
        ]
        wanted = (
            len(unresponsive)
            or len(self.lease.candidates) < selection.CANDIDATE_COUNT
        )
        if wanted and now - self._last_replacement > grace:
            self._last_replacement = now
            await self._replace({c.incarnation for c in unresponsive})

    async def _replace(self, unresponsive: set[ids.Incarnation]) -> None:
        keep = [
            c
            for c in self.lease.candidates
            if c.incarnation not in unresponsive
        ]
        candidates = await self._selector.choose(self.service, keep)
        if candidates == self.lease.candidates or not candidates:
            return
        # Ask for the first promises before the write, so that the lease
        # doesn't lapse between the write and those promises.
        new = [c for c in candidates if c not in self.lease.candidates]
        self._pending_candidates = tuple(new)
        self.validity.require((*self.lease.candidates, *new))
        await asyncio.gather(*(self._request_promise(c) for c in new))
        try:
            await self._write_candidates(candidates)
        finally:
            self._pending_candidates = ()

    async def _write_candidates(
        self, candidates: tuple[leases.Candidate, ...]
    ) -> None:
        changed = msgspec.structs.replace(self.lease, candidates=candidates)
        try:
            await self._write_lease(changed, _REPLACE_SETTLE_S)
        except errors.OutcomeUnknownError:
            # Either set may be in the row. Promises of both are required until
            # a read of the row shows which.
            return
        except errors.ConflictError as error:
            await self._confirm()
            raise self._lease_lost_error(self.lease.epoch) from error
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
        """Writes a changed row, or rewrites the present one for None.

        The present row is read under the lock, as another task may change it
        while this one waits for the lock.
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
        self.validity.record_confirmed(sent_at)

    async def _confirm_forever(self) -> None:
        while True:
            await asyncio.sleep(_CONFIRM_INTERVAL_S)
            try:
                await self._confirm()
            except errors.PlatformUnavailableError:
                continue

    async def _refresh_forever(self) -> None:
        """Rewrites the row periodically, so that others don't find it stale."""
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
            # A lagging read returns an older version and proves nothing.
            if row is None or row.version < self.row_version:
                return
            found = codec.from_json(row.value, leases.CoordinatorLease)
            if found.holder != self.lease.holder:
                raise self._lease_lost_error(found.epoch)
            self.lease = found
            self.row_version = row.version
            # A write that waits for the lock may add the new candidates next.
            self.validity.require(
                (*found.candidates, *self._pending_candidates)
            )

    def _lease_lost_error(self, epoch: ids.Epoch) -> LeaseLostError:
        return LeaseLostError(
            f"lease of epoch {self.lease.epoch} was lost to epoch {epoch}",
            step="renew coordinator lease",
            peer=str(self.service),
        )
