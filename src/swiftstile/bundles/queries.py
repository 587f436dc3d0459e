"""Queries on bundles and the audit trail; nothing here changes anything."""

from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile.bundles import model
from swiftstile.bundles import records
from swiftstile.provider import base

__all__ = ["BundleQueries"]


class BundleQueries:
    """Reads bundles as the platform keeps them."""

    def __init__(self, table: base.Table, objects: base.ObjectStore):
        self._table = table
        self._objects = objects

    async def head(
        self, organisation: ids.OrganisationId
    ) -> records.BundleHead:
        """Returns the head of an organisation; version 0 for none."""
        row = await self._table.read(records.head_key(organisation))
        if row is None:
            return records.BundleHead()
        return codec.from_json(row.value, records.BundleHead)

    async def body(self, digest: ids.Digest) -> model.Bundle:
        """Returns the bundle with a digest.

        Raises:
            BundleError: The object store has no such body, or another one.
        """
        data = await self._objects.get(records.object_name(digest))
        if data is None:
            raise errors.BundleError("no such body", step="get", peer=digest)
        bundle = codec.from_json(data, model.Bundle)
        if model.digest(bundle) != digest:
            raise errors.BundleError("digest differs", step="get", peer=digest)
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
