"""What the gateway needs from the platform it runs on.

Another platform is met by another implementation of these.
"""

import abc
import collections.abc
import enum

import msgspec

from swiftstile.gateway import model

__all__ = [
    "NEW_ROW",
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

# Version that a condition names for a row that must not exist.
NEW_ROW = 0


class Change(msgspec.Struct, frozen=True):
    """A row as it is now; `value` is None when it was removed."""

    key: str
    value: bytes | None
    version: int


class Snapshot(msgspec.Struct, frozen=True):
    """All rows of a table, or those that changed, up to `version`."""

    rows: list[Change]
    version: int


class Condition(msgspec.Struct, frozen=True):
    """The version that a row must have for a write to be done."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value of a row; None removes it."""

    key: str
    value: bytes | None


class StateTable(abc.ABC):
    """One table of the platform's store, kept for this product or read."""

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Returns all rows as of one moment.

        Raises:
            PlatformUnavailableError: No usable answer.
        """

    @abc.abstractmethod
    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> Snapshot | None:
        """Returns rows changed since version `after`, none after a while.

        Args:
            after: Newest version that is known.
            wait_s: How long to wait for a change, in seconds; 0 to be answered
                at once.

        Returns:
            None when the store no longer knows the changes since then; the
            whole table has to be read.

        Raises:
            PlatformUnavailableError: No usable answer.
        """

    async def probe(self, after: int) -> None:
        """Asks whether the store answers.

        A table that can be asked for less than its changes does so: a large
        answer would come late over a narrow link, though the store answers.

        Args:
            after: Newest version that is known.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        await self.wait_for_changes(after, 0.0)

    @abc.abstractmethod
    async def write(
        self, conditions: list[Condition], writes: list[Write]
    ) -> int:
        """Does all writes if all conditions hold; returns the new version.

        Raises:
            ConflictError: A condition didn't hold; nothing was done.
            PlatformUnavailableError: Refused; nothing was done.
            OutcomeUnknownError: It may be done, now or seconds later.
        """


class KeyRange(msgspec.Struct, frozen=True, order=True):
    """Keys from `first` to `last`, both included."""

    first: int
    last: int


class GrantResult(enum.Enum):
    """What an upstream said to a grant."""

    HELD = "held"
    # It knows a newer fence for some of the keys.
    FENCED = "fenced"
    REJECTED = "rejected"
    # Another server runs at the address: the one that was meant has ended.
    REPLACED = "replaced"


class UpstreamControl(abc.ABC):
    """Gives keys to upstreams and takes them back."""

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
            address: Where the upstream listens.
            upstream: Its id.
            keys: The keys.
            fence: Under which fence.
            hold_s: For how long.
            token: Hand-over token; empty if there is none.
            on_send: Called right before it is sent, once there is a connection.
                Whatever it raises keeps the grant from being sent.

        Raises:
            PeerTimeoutError: No answer. Its connection was reset, so it can't
                arrive any more, but may have arrived.
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
        """Takes keys back; returns a token that keeps a move warm.

        Raises:
            PeerUnavailableError: No answer.
        """


class RequestMetadata(msgspec.Struct, frozen=True):
    """What the headers of a caller's request say.

    Attributes:
        attempt_id: The caller's id of this attempt; may be empty.
        timeout_s: How long the caller waits, in seconds; None if it didn't say.
        key: Key that decides which upstream owns it, or None.
        caller: Who sent it; empty if the headers don't name a caller, which is
            then known by its address.
    """

    attempt_id: str
    timeout_s: float | None
    key: int | None
    caller: str = ""


class AnswerKind(enum.Enum):
    """What an upstream's answer says about the request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    # Another server has the address, or the server doesn't hold the key.
    MISDIRECTED = "misdirected"


class Load(msgspec.Struct, frozen=True):
    """What an upstream says of its load when it answers.

    Attributes:
        running: Requests that it works on.
        waiting: Requests that it has queued.
        slots: Requests that it can work on.
        slowdown: How long work takes there at this moment, over the usual; None
            if it doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class AnswerMetadata(msgspec.Struct, frozen=True):
    """What the head of an upstream's answer says.

    Attributes:
        kind: Whether the request ran.
        attempt_id: Id of the attempt it answers; empty if it doesn't say.
        is_relayable: Whether a success may be passed on to the caller.
        load: How busy the server was, if it says.
        answered_by: The server that answered, if it says.
    """

    kind: AnswerKind
    attempt_id: str
    is_relayable: bool
    load: Load | None
    answered_by: str


class RequestDialect(abc.ABC):
    """Headers of callers and upstreams."""

    @abc.abstractmethod
    def parse_request(self, headers) -> RequestMetadata:
        """Returns what a caller's headers say.

        Raises:
            BadRequestError: A header is malformed.
        """

    @abc.abstractmethod
    def upstream_headers(
        self, headers, upstream: model.UpstreamId, remaining_s: float
    ) -> list[tuple[str, str]]:
        """Returns the headers to send: end-to-end ones and our own."""

    @abc.abstractmethod
    def parse_answer(self, status: int, headers) -> AnswerMetadata:
        """Returns what the head of an answer says."""

    @abc.abstractmethod
    def answer_headers(self, headers) -> list[tuple[str, str]]:
        """Returns an answer's headers that are meant for the caller."""
