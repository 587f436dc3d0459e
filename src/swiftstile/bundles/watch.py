"""Polls for the bundle in force; never reverts to an older version."""

import asyncio

from reactivex import subject
import reactivex.subject.behaviorsubject as behavior

from swiftstile import errors
from swiftstile import ids
from swiftstile import logs
from swiftstile.bundles import model
from swiftstile.bundles import queries

__all__ = ["BundleInForce", "BundleWatch"]


class BundleInForce:
    """One version of one organisation's bundle."""

    def __init__(self, version: ids.BundleVersion, bundle: model.Bundle):
        self.version = version
        self.bundle = bundle


class BundleWatch:
    """Polls the bundle heads of this VM's organisations.

    Attributes:
        changes: Emits each `BundleInForce` when it takes effect on this VM.
        reachable: Whether the platform responded to the last poll.
        by_organisation: The bundle in force, by organisation.
    """

    def __init__(
        self,
        source: queries.BundleQueries,
        organisations: tuple[ids.OrganisationId, ...],
        interval_s: float,
    ):
        self._source = source
        self._organisations = organisations
        self._interval_s = interval_s
        self.changes: subject.Subject[BundleInForce] = subject.Subject()
        self.reachable: behavior.BehaviorSubject[bool] = (
            behavior.BehaviorSubject(False)
        )
        self.by_organisation: dict[ids.OrganisationId, BundleInForce] = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self._poll()
            await asyncio.sleep(self._interval_s)

    async def _poll(self) -> None:
        try:
            for organisation in self._organisations:
                await self._refresh(organisation)
        except errors.SwiftstileError as error:
            self._set_reachable(False, error)
        else:
            self._set_reachable(True)

    async def _refresh(self, organisation) -> None:
        head = await self._source.head(organisation)
        current = self.by_organisation.get(organisation)
        # A stale read may return an older head, so older versions are ignored.
        if head.in_force <= (current.version if current else 0):
            return
        bundle = await self._source.body(head.digest)
        change = BundleInForce(head.in_force, bundle)
        self.by_organisation[organisation] = change
        logs.logger.info(
            "bundle in force",
            organisation=organisation,
            version=change.version,
        )
        self.changes.on_next(change)

    def _set_reachable(self, reachable: bool, error=None) -> None:
        if reachable != self.reachable.value:
            text = "reachable" if reachable else "unreachable"
            logs.logger.info(f"platform {text}", error=str(error or ""))
            self.reachable.on_next(reachable)
