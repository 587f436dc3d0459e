"""Rows of the platform's table that store the life cycle of bundles."""

import enum

import msgspec

from swiftstile import ids

__all__ = [
    "AuditEntry",
    "BundleHead",
    "BundleState",
    "VersionRecord",
    "audit_key",
    "audit_prefix",
    "head_key",
    "object_name",
    "version_key",
    "version_prefix",
]


class BundleState(enum.Enum):
    """State of one version of a bundle."""

    APPROVED = "approved"
    IN_FORCE = "in-force"
    SUPERSEDED = "superseded"
    RETIRED = "retired"


class BundleHead(msgspec.Struct, frozen=True):
    """Latest version of an organisation's bundle and the one in force.

    Attributes:
        newest: Highest approved version.
        in_force: Version in force; 0 for none.
        digest: Digest of the version in force; empty for none.
        audit_count: Number of entries in the organisation's audit trail.
        operator: Operator who made the last change.
    """

    newest: ids.BundleVersion = ids.BundleVersion(0)
    in_force: ids.BundleVersion = ids.BundleVersion(0)
    digest: ids.Digest = ids.Digest("")
    audit_count: int = 0
    operator: str = ""


class VersionRecord(msgspec.Struct, frozen=True):
    """One approved version."""

    version: ids.BundleVersion
    digest: ids.Digest
    state: BundleState
    approved_by: str
    approved_ms: int


class AuditEntry(msgspec.Struct, frozen=True):
    """One change, or an attempt at one.

    Attributes:
        number: Position in the trail, from 1 without gaps.
        at_ms: Milliseconds since the Unix epoch, by the writer's clock.
        actor: The operator or VM that made the change.
        action: Kind of change.
        subject: Object of the change.
        outcome: `done`, or the cause of failure.
        before: State before the change.
        after: State after the change.
        reason: Reason for the change.
    """

    number: int
    at_ms: int
    actor: str
    action: str
    subject: str
    outcome: str = "done"
    before: str = ""
    after: str = ""
    reason: str = ""


def head_key(organisation: ids.OrganisationId) -> str:
    """Returns the key of an organisation's head row."""
    return f"bundle-head/{organisation}"


def version_prefix(organisation: ids.OrganisationId) -> str:
    """Returns the prefix of an organisation's version rows."""
    return f"bundle-version/{organisation}/"


def version_key(
    organisation: ids.OrganisationId, version: ids.BundleVersion
) -> str:
    """Returns the key of a version row; keys sort by version number."""
    return f"{version_prefix(organisation)}{version:010d}"


def audit_prefix(organisation: ids.OrganisationId) -> str:
    """Returns the prefix of an organisation's audit trail."""
    return f"audit/{organisation}/"


def audit_key(organisation: ids.OrganisationId, number: int) -> str:
    """Returns the key of an audit entry; keys sort by number."""
    return f"{audit_prefix(organisation)}{number:012d}"


def object_name(digest: ids.Digest) -> str:
    """Returns the name of a bundle's body in the object store."""
    return f"bundles-{digest}"
