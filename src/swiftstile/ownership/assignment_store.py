"""Stored form of assignments and the audit records of their changes."""

import hashlib

import msgspec

from swiftstile import clocks
from swiftstile import codec
from swiftstile import errors
from swiftstile import hashing
from swiftstile import ids
from swiftstile.ownership import slices
from swiftstile.provider import base

__all__ = [
    "AssignmentStore",
    "OwnershipChange",
    "assignment_key",
    "change_between",
    "change_key",
    "change_prefix",
    "ownership_changes",
]

# Longer assignments are written to the object store, and the row holds the
# name of the object.
_INLINE_BYTES = 64 << 10


class OwnershipChange(msgspec.Struct, frozen=True):
    """Audit record of one version of an assignment.

    Attributes:
        version: The version.
        epoch: Epoch of the coordinator.
        at_ms: Milliseconds since the Unix epoch, by the writer's clock.
        actor: VM of the coordinator.
        reason: Reason for the change.
        moved: Slices that changed owner.
        share: Share of the hash space that changed owner, from 0 to 1.
        sources: Servers that lost slices.
        targets: Servers that gained slices.
    """

    version: int
    epoch: ids.Epoch
    at_ms: int
    actor: ids.VmId
    reason: str
    moved: int
    share: float
    sources: tuple[ids.ServerId, ...]
    targets: tuple[ids.ServerId, ...]


class _Stored(msgspec.Struct):
    assignment: slices.Assignment | None = None
    object_name: str = ""


def assignment_key(service: ids.ServiceId) -> str:
    """Returns the key of a service's assignment row."""
    return f"assignment/{service}"


def change_prefix(organisation: ids.OrganisationId) -> str:
    """Returns the prefix of an organisation's ownership audit."""
    return f"ownership-audit/{organisation}/"


def change_key(service: ids.ServiceId, version: int) -> str:
    """Returns the key of one audit record; keys sort by version."""
    prefix = change_prefix(service.organisation)
    return f"{prefix}{service.service}/{version:012d}"


def change_between(
    old: slices.Assignment | None,
    new: slices.Assignment,
    actor: ids.VmId,
    reason: str,
) -> OwnershipChange:
    """Returns the audit record of one version.

    Args:
        old: The previous version; None for the first.
        new: The version that the record describes.
        actor: VM of the coordinator.
        reason: Reason for the change.
    """
    owner_before = {
        piece.start: old.at(ids.KeyHash(piece.start)).server if old else None
        for piece in new.slices
    }
    moved = [
        piece
        for piece in new.slices
        if owner_before[piece.start] not in (None, piece.server)
    ]
    width = sum(new.end_of(piece) - piece.start for piece in moved)
    return OwnershipChange(
        new.version,
        new.epoch,
        clocks.wall_ms(),
        actor,
        reason,
        len(moved),
        round(width / hashing.HASH_SPACE, 9),
        tuple(sorted({owner_before[piece.start] for piece in moved})),
        tuple(sorted({piece.server for piece in moved})),
    )


async def ownership_changes(
    table: base.Table, service: ids.ServiceId
) -> list[OwnershipChange]:
    """Returns the audit records of a service's ownership, oldest first."""
    prefix = change_prefix(service.organisation) + service.service + "/"
    rows = await table.scan(prefix)
    return [codec.from_json(row.value, OwnershipChange) for row in rows]


class AssignmentStore:
    """Reads a service's assignment and prepares the writes that change it."""

    def __init__(
        self,
        service: ids.ServiceId,
        table: base.Table,
        objects: base.ObjectStore,
    ):
        self._service = service
        self._table = table
        self._objects = objects

    async def read(self) -> tuple[slices.Assignment | None, int]:
        """Returns the assignment, None if there is none, and its row version.

        Raises:
            ControlMessageError: The stored assignment is malformed.
        """
        row = await self._table.read(assignment_key(self._service))
        if row is None:
            return None, base.ABSENT
        stored = codec.from_json(row.value, _Stored)
        assignment = stored.assignment
        if assignment is None:
            assignment = await self._fetch(stored.object_name)
        _check(assignment, str(self._service))
        return assignment, row.version

    async def writes(
        self,
        assignment: slices.Assignment,
        row_version: int,
        change: OwnershipChange,
    ) -> list[base.Write]:
        """Returns the writes that store an assignment and its audit record.

        A long assignment is first written to the object store, so that no row
        refers to an object that doesn't exist yet.
        """
        stored = _Stored(assignment)
        value = codec.to_json(stored)
        if len(value) > _INLINE_BYTES:
            name = f"assignments-{hashlib.sha256(value).hexdigest()}"
            await self._objects.put(name, value)
            value = codec.to_json(_Stored(object_name=name))
        return [
            base.Write(assignment_key(self._service), row_version, value),
            base.Write(
                change_key(self._service, change.version),
                base.ABSENT,
                codec.to_json(change),
            ),
        ]

    async def _fetch(self, name: str) -> slices.Assignment:
        body = await self._objects.get(name)
        stored = codec.from_json(body or b"{}", _Stored)
        if stored.assignment is None:
            raise errors.ControlMessageError(
                "the object is missing or holds no assignment",
                step="read assignment",
                peer=name,
            )
        return stored.assignment


def _check(assignment: slices.Assignment, peer: str) -> None:
    try:
        assignment.check()
    except ValueError as error:
        raise errors.ControlMessageError(
            str(error), step="read assignment", peer=peer
        ) from error
