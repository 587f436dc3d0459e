"""Interfaces between the gateway and the platform that it runs on.

Support for another platform is another implementation of these.
"""

import abc
import collections.abc
import enum

import msgspec

from swiftstile.gateway import model

__all__ = [
    "NEW_ROW",
    "NO_ADVISORY",
    "Advisory",
    "AnswerKind",
    "AnswerMetadata",
    "Change",
    "Condition",
    "GrantResult",
    "KeyRange",
    "Load",
    "RequestDialect",
    "RequestMetadata",
    "Snapshot",
    "StateTable",
    "UpstreamControl",
    "Write",
]

# Version in a condition that requires that the row doesn't exist.
NEW_ROW = 0


class Change(msgspec.Struct, frozen=True):
    """The current state of a row; `value` is None if it was removed."""

    key: str
    value: bytes | None
    version: int


class Snapshot(msgspec.Struct, frozen=True):
    """All rows of a table, or the changed ones, as of `version`."""

    rows: list[Change]
    version: int


class Condition(msgspec.Struct, frozen=True):
    """The version that a row must have for a write to be applied."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value of a row; None removes it."""

    key: str
    value: bytes | None


class StateTable(abc.ABC):
    """One table of the platform's store, written or only read here."""

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Returns a consistent snapshot of all rows.

        Raises:
            PlatformUnavailableError: No usable answer.
        """

    @abc.abstractmethod
    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> Snapshot | None:
        """Returns rows changed since version `after`; no rows on a timeout.

        Args:
            after: Newest known version.
            wait_s: How long to wait for a change, in seconds; 0 to return at
                once.

        Returns:
            The changes; None if the store no longer has the changes since then,
            or they are too many for one answer, and the whole table has to be
            read.

        Raises:
            PlatformUnavailableError: No usable answer.
        """

    async def probe(self, after: int) -> None:
        """Checks whether the store answers.

        Implementations should use a query with a smaller answer than the
        changes, if there is one: over a link with low bandwidth, a large answer
        would arrive late although the store is available.

        Args:
            after: Newest known version.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        await self.wait_for_changes(after, 0.0)

    @abc.abstractmethod
    async def write(
        self, conditions: list[Condition], writes: list[Write]
    ) -> int:
        """Applies all writes if all conditions hold; returns the new version.

        Raises:
            ConflictError: A condition didn't hold; nothing was written.
            PlatformUnavailableError: Refused; nothing was written.
            OutcomeUnknownError: The writes may have been applied, or may be
                applied seconds later.
        """


class KeyRange(msgspec.Struct, frozen=True, order=True):
    """Keys from `first` to `last`, both inclusive."""

    first: int
    last: int


class GrantResult(enum.Enum):
    """Result of a grant, as answered by the upstream."""

    HELD = "held"
    # The upstream knows a newer fence for some of the keys.
    FENCED = "fenced"
    REJECTED = "rejected"
    # Another server runs at the address: the intended one has ended.
    REPLACED = "replaced"


class UpstreamControl(abc.ABC):
    """Grants keys to upstreams and releases them."""

    @abc.abstractmethod
    async def grant(
        self,
        address: str,
        upstream: model.UpstreamId,
        keys: KeyRange,
        fence: int,
        hold_s: float,
        token: str,
        on_send: collections.abc.Callable[[], None],
    ) -> GrantResult:
        """Grants or renews keys for `hold_s` seconds from its arrival.

        Args:
            address: Address on which the upstream listens.
            upstream: Its id.
            keys: The keys.
            fence: The fence of the grant.
            hold_s: Duration of the grant, in seconds.
            token: Hand-over token; empty if there is none.
            on_send: Called right before the grant is sent, once there is a
                connection. An exception from it prevents the grant from being
                sent.

        Raises:
            PeerTimeoutError: No answer. The connection was reset, so the grant
                can no longer arrive, but it may have arrived before.
            PeerUnreachableError: There was no connection; nothing was sent.
            PeerUnavailableError: Nothing was sent.
        """

    @abc.abstractmethod
    async def release(
        self,
        address: str,
        upstream: model.UpstreamId,
        keys: KeyRange,
        fence: int,
    ) -> str:
        """Makes an upstream release keys; returns a hand-over token.

        With the token, the next owner serves the keys at full speed at once.

        Raises:
            PeerUnavailableError: No answer.
        """


class RequestMetadata(msgspec.Struct, frozen=True):
    """Metadata from the headers of a caller's request.

    Attributes:
        attempt_id: The caller's id of this attempt; may be empty.
        timeout_s: How long the caller waits, in seconds; None if unknown.
        key: Key that determines the owner, or None.
        caller: Name of the caller; empty if the headers don't name it, in which
            case its address identifies it.
    """

    attempt_id: str
    timeout_s: float | None
    key: int | None
    caller: str = ""


class AnswerKind(enum.Enum):
    """What an upstream did with the request, by its answer."""

    RAN = "ran"
    NOT_RUN = "not-run"
    # Another server uses the address, or the server doesn't hold the key.
    MISDIRECTED = "misdirected"
    # Its parts contradict each other; nothing is known.
    CONTRADICTORY = "contradictory"


class Load(msgspec.Struct, frozen=True):
    """Load that an upstream reports with an answer.

    Attributes:
        running: Requests in service.
        waiting: Queued requests.
        slots: Requests that it can serve at the same time.
        slowdown: Ratio of current service time to that of a mean upstream;
            None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class Advisory(msgspec.Struct, frozen=True):
    """What an upstream states about itself with an answer.

    Attributes:
        limit_per_s: Requests/s that it takes from all VMs together; None if it
            states no limit.
        is_leaving: Whether it is shutting down.
        backoff_s: Time in which it wants no requests of this VM, in seconds; 0
            if it states none.
        malformed: Names of the statements that were ignored because their
            values are malformed.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_s: float = 0.0
    malformed: tuple[str, ...] = ()


NO_ADVISORY = Advisory()


class AnswerMetadata(msgspec.Struct, frozen=True):
    """Metadata from the head of an upstream's answer.

    Attributes:
        kind: Whether the request ran.
        attempt_id: Id of the attempt that it answers; empty if not given.
        is_relayable: False for a successful answer that must not be relayed to
            the caller.
        has_promising_status: Whether its status alone promises callers that the
            request didn't run, whatever the upstream states.
        load: Load of the server, if reported.
        answered_by: Id of the server that answered; empty if not given.
        advisory: What the server states about itself.
    """

    kind: AnswerKind
    attempt_id: str
    is_relayable: bool
    load: Load | None
    answered_by: str
    advisory: Advisory = NO_ADVISORY
    has_promising_status: bool = False


class RequestDialect(abc.ABC):
    """Reads and writes the headers of callers and upstreams."""

    @abc.abstractmethod
    def parse_request(self, headers) -> RequestMetadata:
        """Returns the metadata in a caller's headers.

        Raises:
            BadRequestError: A header is malformed.
        """

    @abc.abstractmethod
    def upstream_headers(
        self, headers, upstream: model.UpstreamId, remaining_s: float
    ) -> list[tuple[str, str]]:
        """Returns the headers to send: end-to-end ones and the gateway's."""

    @abc.abstractmethod
    def end_to_end_headers(self, headers) -> list[tuple[str, str]]:
        """Returns the headers that don't apply to a single connection."""

    @abc.abstractmethod
    def parse_answer(self, status: int, headers) -> AnswerMetadata:
        """Returns the metadata in the head of an answer."""

    @abc.abstractmethod
    def answer_headers(self, headers) -> list[tuple[str, str]]:
        """Returns the headers of an answer that are relayed to the caller."""
