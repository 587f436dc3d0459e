"""Abstract interfaces to the platform: table, object store, VM list.

Another platform is met by one new module that implements these.
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

# Expected version of a row that must not exist yet.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """One row of the table. `version` grows by one with each write."""

    key: str
    value: bytes
    version: int


class Write(msgspec.Struct, frozen=True):
    """One part of a transaction.

    Attributes:
        key: The row.
        expected_version: The version the row must have; `ABSENT` for none.
        value: The new value. None only checks the version.
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
            PlatformUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Returns all rows whose keys start with `prefix`, by key.

        Raises:
            PlatformUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def transact(
        self, writes: list[Write], attempt: ids.AttemptId
    ) -> None:
        """Does all writes, or none.

        A transaction with an attempt id that took effect before isn't done
        again; it succeeds.

        Raises:
            ConflictError: An expected version didn't hold; nothing is done.
            PlatformUnavailableError: Refused; nothing is done.
            OutcomeUnknownError: The answer was lost.
        """

    async def close(self) -> None:
        """Frees connections."""


class ObjectStore(abc.ABC):
    """A store of immutable bodies, named by what they contain."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Stores a body. Storing the same again is harmless.

        Raises:
            PlatformUnavailableError: No answer; it may be stored.
        """

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Returns a body, or None.

        Raises:
            PlatformUnavailableError: No answer.
        """


class VmKind(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """State of a VM in the list, which lags behind reality."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it.

    Attributes:
        id: Name of the VM; for an upstream also the id of its server.
        kind: Entry VM or upstream VM.
        failure_domain: Where it runs.
        state: Live or leaving.
        control_address: `host:port` of the coordinator of an entry VM.
        data_address: `host:port` of the router or of the upstream.
        group: Upstream group that an upstream VM belongs to.
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
    """The platform's list of VMs, as one failure domain sees it."""

    @abc.abstractmethod
    async def fetch(self) -> list[Vm]:
        """Returns the listed VMs.

        Raises:
            PlatformUnavailableError: No answer.
        """
