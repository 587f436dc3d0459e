"""Identifier types shared by all modules."""

import typing
import uuid

__all__ = [
    "AttemptId",
    "BundleVersion",
    "Digest",
    "Epoch",
    "FailureDomain",
    "Fence",
    "Incarnation",
    "Key",
    "KeyHash",
    "OrganisationId",
    "RequestId",
    "ServerId",
    "ServiceId",
    "ServiceName",
    "VmId",
    "new_attempt_id",
    "new_incarnation",
]

OrganisationId = typing.NewType("OrganisationId", str)
ServiceName = typing.NewType("ServiceName", str)
VmId = typing.NewType("VmId", str)
ServerId = typing.NewType("ServerId", str)
FailureDomain = typing.NewType("FailureDomain", str)
# Identifies one run of a process; a restarted process gets a new one.
Incarnation = typing.NewType("Incarnation", str)
Key = typing.NewType("Key", str)
# Unsigned 64-bit position of a key in the hash space.
KeyHash = typing.NewType("KeyHash", int)
# Incremented at each take-over of a coordinator lease.
Epoch = typing.NewType("Epoch", int)
# Version of the assignment in which a slice was assigned to its owner.
Fence = typing.NewType("Fence", int)
BundleVersion = typing.NewType("BundleVersion", int)
RequestId = typing.NewType("RequestId", str)
AttemptId = typing.NewType("AttemptId", str)
# SHA-256 digest of a body, in hexadecimal.
Digest = typing.NewType("Digest", str)


class ServiceId(typing.NamedTuple):
    """Identifies one service of one organisation."""

    organisation: OrganisationId
    service: ServiceName

    def __str__(self) -> str:
        return f"{self.organisation}/{self.service}"


def new_attempt_id() -> AttemptId:
    """Returns a new id for an attempt at a write."""
    return AttemptId(uuid.uuid4().hex)


def new_incarnation(vm: VmId) -> Incarnation:
    """Returns a new id for this run of a process on `vm`."""
    return Incarnation(f"{vm}#{uuid.uuid4().hex[:12]}")
