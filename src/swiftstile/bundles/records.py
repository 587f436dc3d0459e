"""Rows that keep the life cycle of bundles in the platform's table."""

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
    """Which version of an organisation's bundle is in force.

    Attributes:
        newest: Highest version approved.
        in_force: Version in force; 0 for none.
        digest: Body of the version in force; empty for none.
        audit_count: Entries in the organisation's audit trail.
        operator: Who changed this last.
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
    """One change, or one attempt at it, and who made it.

    Attributes:
        number: Position in the trail, from 1 without gaps.
        at_ms: Milliseconds since the Unix epoch, by the writer's clock.
        actor: The operator or the VM.
        action: What was done.
        subject: To what.
        outcome: `done`, or why not.
        before: State before.
        after: State after.
        reason: Why.
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
    """Returns the key of a version row; keys sort by version."""
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
