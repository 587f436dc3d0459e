"""Commands that change bundles: approve, roll, retire.

Each command is one transaction on the head, the version row and the audit
trail, so that every change has an audit entry and every entry a change.
"""

import msgspec

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile.bundles import model
from swiftstile.bundles import records
from swiftstile.provider import base
from swiftstile.provider import retries

__all__ = ["BundleCommands"]

_RETRY_TIMEOUT_S = 20.0


class BundleCommands:
    """Approves, rolls and retires bundles for one operator."""

    def __init__(
        self, table: base.Table, objects: base.ObjectStore, operator: str
    ):
        self._table = table
        self._objects = objects
        self._operator = operator

    async def approve(self, bundle: model.Bundle) -> ids.BundleVersion:
        """Stores a bundle as the next version.

        Raises:
            ConflictError: Another operator changed the bundle concurrently.
            PlatformError: The platform didn't respond.
        """
        head, row_version = await self._head(bundle.organisation)
        digest = model.digest(bundle)
        name = records.object_name(digest)
        # The body is stored first, so that no head refers to a missing body.
        await self._objects.put(name, codec.to_json(bundle))
        version = ids.BundleVersion(head.newest + 1)
        record = records.VersionRecord(
            version,
            digest,
            records.BundleState.APPROVED,
            self._operator,
            clocks.wall_ms(),
        )
        key = records.version_key(bundle.organisation, version)
        changed = msgspec.structs.replace(head, newest=version)
        writes = [base.Write(key, base.ABSENT, codec.to_json(record))]
        await self._commit(
            bundle.organisation, head, changed, row_version, writes, "approve",
            version,
        )  # fmt: skip
        return version

    async def roll(
        self, organisation: ids.OrganisationId, version: ids.BundleVersion
    ) -> None:
        """Puts an approved version in force; it must be newer than the current.

        Raises:
            BundleError: The version is unknown, retired or not newer.
            ConflictError: Another operator changed the bundle concurrently.
            PlatformError: The platform didn't respond.
        """
        head, row_version = await self._head(organisation)
        record, record_row = await self._record(organisation, version, "roll")
        if version <= head.in_force:
            raise errors.BundleError(
                f"version {version} isn't newer than {head.in_force}, which"
                " is in force; approve its content as a new version",
                step="roll",
                peer=str(organisation),
            )
        self._expect_state(record, records.BundleState.APPROVED, "roll")
        writes = [
            self._state_write(record_row, record, records.BundleState.IN_FORCE)
        ]
        if head.in_force:
            old, old_row = await self._record(
                organisation, head.in_force, "roll"
            )
            superseded = records.BundleState.SUPERSEDED
            writes.append(self._state_write(old_row, old, superseded))
        changed = msgspec.structs.replace(
            head, in_force=version, digest=record.digest
        )
        await self._commit(
            organisation, head, changed, row_version, writes, "roll", version
        )

    async def retire(
        self, organisation: ids.OrganisationId, version: ids.BundleVersion
    ) -> None:
        """Excludes a version that isn't in force from being rolled.

        Raises:
            BundleError: The version is unknown, in force or retired.
            ConflictError: Another operator changed the bundle concurrently.
            PlatformError: The platform didn't respond.
        """
        head, row_version = await self._head(organisation)
        record, row = await self._record(organisation, version, "retire")
        if record.state in (
            records.BundleState.IN_FORCE,
            records.BundleState.RETIRED,
        ):
            raise errors.BundleError(
                f"version {version} is {record.state.value}",
                step="retire",
                peer=str(organisation),
            )
        writes = [self._state_write(row, record, records.BundleState.RETIRED)]
        await self._commit(
            organisation, head, head, row_version, writes, "retire", version
        )

    async def _head(self, organisation) -> tuple[records.BundleHead, int]:
        row = await self._table.read(records.head_key(organisation))
        if row is None:
            return records.BundleHead(), base.ABSENT
        return codec.from_json(row.value, records.BundleHead), row.version

    async def _record(self, organisation, version, step):
        row = await self._table.read(records.version_key(organisation, version))
        if row is None:
            raise errors.BundleError(
                f"no version {version}", step=step, peer=str(organisation)
            )
        return codec.from_json(row.value, records.VersionRecord), row

    def _expect_state(self, record, state, step) -> None:
        if record.state is not state:
            raise errors.BundleError(
                f"version {record.version} is {record.state.value},"
                f" not {state.value}",
                step=step,
            )

    def _state_write(self, row, record, state) -> base.Write:
        changed = msgspec.structs.replace(record, state=state)
        return base.Write(row.key, row.version, codec.to_json(changed))

    async def _commit(
        self, organisation, head, changed, row_version, writes, action, version
    ) -> None:
        number = head.audit_count + 1
        changed = msgspec.structs.replace(
            changed, audit_count=number, operator=self._operator
        )
        entry = records.AuditEntry(
            number=number,
            at_ms=clocks.wall_ms(),
            actor=self._operator,
            action=action,
            subject=f"{organisation} version {version}",
            before=f"in force {head.in_force}",
            after=f"in force {changed.in_force}",
        )
        key = records.head_key(organisation)
        head_write = base.Write(key, row_version, codec.to_json(changed))
        audit_key = records.audit_key(organisation, number)
        audit = base.Write(audit_key, base.ABSENT, codec.to_json(entry))
        try:
            await retries.transact_with_retries(
                self._table, [head_write, *writes, audit], _RETRY_TIMEOUT_S
            )
        except errors.ConflictError as error:
            winner, _ = await self._head(organisation)
            raise errors.ConflictError(
                f"{winner.operator or 'another operator'} changed the bundle"
                f" first; in force is version {winner.in_force}",
                step=action,
                peer=str(organisation),
            ) from error
