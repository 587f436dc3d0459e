"""Abstract interfaces to the platform: table, object store, VM list.

A module that implements these interfaces adds support for another platform.
"""

import abc
import enum

import msgspec

from swiftstile import ids

__all__ = [
    "ABSENT",
    "ObjectStore",
    "Row",
    "Table",
    "Vm",
    "VmKind",
    "VmList",
    "VmState",
    "Write",
]

# Expected version of a row that must not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """One row of the table; each write increments `version`."""

    key: str
    value: bytes
    version: int


class Write(msgspec.Struct, frozen=True):
    """One operation of a transaction.

    Attributes:
        key: Key of the row.
        expected_version: Required version of the row; `ABSENT` if it must not
            exist.
        value: The new value; None only checks the version.
    """

    key: str
    expected_version: int
    value: bytes | None = None


class Table(abc.ABC):
    """A transactional table of small rows."""

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Returns a row, or None.

        Raises:
            PlatformUnavailableError: The table didn't respond.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Returns all rows whose keys start with `prefix`, ordered by key.

        Raises:
            PlatformUnavailableError: The table didn't respond.
        """

    @abc.abstractmethod
    async def transact(
        self, writes: list[Write], attempt: ids.AttemptId
    ) -> None:
        """Applies all writes atomically.

        A transaction is applied once at most per attempt id: if it took effect
        before, the call succeeds without applying it again.

        Raises:
            ConflictError: An expected version didn't match; nothing is
                applied.
            PlatformUnavailableError: The table is unreachable or rejected the
                transaction; nothing is applied.
            OutcomeUnknownError: The response was lost.
        """

    async def close(self) -> None:
        """Closes all connections."""


class ObjectStore(abc.ABC):
    """A content-addressed store of immutable bodies."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Stores a body; idempotent.

        Raises:
            PlatformUnavailableError: The store didn't respond; the body may
                have been stored.
        """

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Returns a body, or None.

        Raises:
            PlatformUnavailableError: The store didn't respond.
        """


class VmKind(enum.Enum):
    """Role of a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """State of a VM in the list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One entry of the VM list.

    Attributes:
        id: Id of the VM; for an upstream VM also the id of its server.
        kind: Entry VM or upstream VM.
        failure_domain: Failure domain of the VM.
        state: Live or leaving.
        control_address: `host:port` of an entry VM's coordinator.
        data_address: `host:port` of the router or upstream server.
        group: Upstream group of an upstream VM.
        organisations: Organisations that an entry VM serves.
    """

    id: ids.VmId
    kind: VmKind
    failure_domain: ids.FailureDomain
    state: VmState = VmState.LIVE
    control_address: str = ""
    data_address: str = ""
    group: str = ""
    organisations: tuple[ids.OrganisationId, ...] = ()


class VmList(abc.ABC):
    """The platform's list of VMs, as seen from one failure domain."""

    @abc.abstractmethod
    async def fetch(self) -> list[Vm]:
        """Returns the listed VMs.

        Raises:
            PlatformUnavailableError: The VM list service didn't respond.
        """
