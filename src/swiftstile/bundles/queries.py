"""Read-only queries on bundles and the audit trail."""

from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile.bundles import model
from swiftstile.bundles import records
from swiftstile.provider import base

__all__ = ["BundleQueries"]


class BundleQueries:
    """Reads bundles and audit entries from the platform."""

    def __init__(self, table: base.Table, objects: base.ObjectStore):
        self._table = table
        self._objects = objects

    async def head(
        self, organisation: ids.OrganisationId
    ) -> records.BundleHead:
        """Returns the head of an organisation; version 0 if there is none."""
        row = await self._table.read(records.head_key(organisation))
        if row is None:
            return records.BundleHead()
        return codec.from_json(row.value, records.BundleHead)

    async def body(self, digest: ids.Digest) -> model.Bundle:
        """Returns the bundle with a digest.

        Raises:
            BundleError: The body is missing or doesn't match the digest.
        """
        data = await self._objects.get(records.object_name(digest))
        if data is None:
            raise errors.BundleError(
                "no body with this digest", step="get", peer=digest
            )
        bundle = codec.from_json(data, model.Bundle)
        if model.digest(bundle) != digest:
            raise errors.BundleError(
                "body doesn't match its digest", step="get", peer=digest
            )
        return bundle

    async def versions(
        self, organisation: ids.OrganisationId
    ) -> list[records.VersionRecord]:
        """Returns all versions, oldest first."""
        prefix = records.version_prefix(organisation)
        rows = await self._table.scan(prefix)
        return [
            codec.from_json(row.value, records.VersionRecord) for row in rows
        ]

    async def audit(
        self, organisation: ids.OrganisationId
    ) -> list[records.AuditEntry]:
        """Returns the audit trail, oldest first."""
        rows = await self._table.scan(records.audit_prefix(organisation))
        return [codec.from_json(row.value, records.AuditEntry) for row in rows]
