"""Messages between the system's own processes."""

import msgspec

from swiftstile import codec
from swiftstile import ids
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import slices

__all__ = [
    "CODEC",
    "Chunk",
    "ChunkRequest",
    "LocateReply",
    "LocateRequest",
    "Message",
    "NotHolder",
    "Ping",
    "Pong",
    "PromiseReply",
    "PromiseRequest",
    "Refused",
    "Resigned",
    "Row",
    "Rows",
    "RowsRequest",
    "WatchReply",
    "WatchRequest",
]


class Ping(msgspec.Struct, tag="ping", frozen=True):
    """Asks whether a coordinator is there."""

    sender: ids.Incarnation


class Pong(msgspec.Struct, tag="pong", frozen=True):
    """Answers a ping.

    Attributes:
        vm: VM that answers.
        incarnation: Process that answers.
        table_reachable: Whether it reached the table when it last tried.
        leaving: It is shutting down; don't choose it for anything new.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    table_reachable: bool
    leaving: bool = False


class PromiseRequest(msgspec.Struct, tag="ask-promise", frozen=True):
    """A holder asks a candidate not to take over for a time."""

    service: ids.ServiceId
    epoch: ids.Epoch
    holder: ids.VmId
    candidate: ids.Incarnation
    duration_s: float


class PromiseReply(msgspec.Struct, tag="promised", frozen=True):
    """A candidate's answer."""

    granted: bool
    epoch: ids.Epoch


class Resigned(msgspec.Struct, tag="resigned", frozen=True):
    """A holder tells a candidate that it released its lease."""

    service: ids.ServiceId
    epoch: ids.Epoch
    candidate: ids.Incarnation


class LocateRequest(msgspec.Struct, tag="locate", frozen=True):
    """Asks who coordinates a service."""

    service: ids.ServiceId


class LocateReply(msgspec.Struct, tag="located", frozen=True):
    """Whether the answerer coordinates, and in which epoch."""

    vm: ids.VmId
    is_holder: bool
    epoch: ids.Epoch


class WatchRequest(msgspec.Struct, tag="watch", frozen=True):
    """A router asks for what changed, and waits for it.

    Attributes:
        service: The service.
        vm: VM of the router.
        router: Process of the router.
        version: Version of the assignment it has; 0 for none.
        oldest_in_flight: Oldest version that a request in flight was sent
            under; its own version when there is none.
        wait_s: Longest wait for a change, in seconds.
        load: Requests since the last report; None if it isn't due yet.
    """

    service: ids.ServiceId
    vm: ids.VmId
    router: ids.Incarnation
    version: int
    oldest_in_flight: int
    wait_s: float
    load: load_lib.LoadReport | None = None


class WatchReply(msgspec.Struct, tag="watch-reply", frozen=True):
    """What changed since the router's version.

    Attributes:
        epoch: Epoch of the coordinator.
        delta: What changed; None for nothing.
        route_lease_s: How long, from when the router asked, it may send to
            servers that don't check fences.
    """

    epoch: ids.Epoch
    delta: slices.Delta | None
    route_lease_s: float


class NotHolder(msgspec.Struct, tag="not-holder", frozen=True):
    """The answerer doesn't coordinate that service."""


class RowsRequest(msgspec.Struct, tag="ask-rows", frozen=True):
    """Asks for the rows of a table, if the answerer knows newer ones.

    Attributes:
        table: Name of the table among the VMs.
        version: Newest version that the sender knows.
    """

    table: str
    version: int


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table; `value` is None when it was removed."""

    key: str
    value: bytes | None
    version: int


class Rows(msgspec.Struct, tag="rows", frozen=True):
    """Rows of a table as of a version, none if that isn't newer.

    Attributes:
        rows: All rows, or those that changed since the version asked for.
        version: As of which version of the store.
        is_whole: Whether all rows are listed.
    """

    rows: list[Row]
    version: int
    is_whole: bool


class ChunkRequest(msgspec.Struct, tag="ask-piece", frozen=True):
    """Asks for more of an answer that is too long for one message.

    Attributes:
        number: The answerer's number for it, as its first piece had it.
        offset: Byte at which the piece begins.
    """

    number: int
    offset: int


class Chunk(msgspec.Struct, tag="piece", frozen=True):
    """A part of an answer to `RowsRequest`: of `Rows`, encoded and compressed.

    Attributes:
        number: The answerer's number for the whole answer.
        size: Bytes of the whole answer.
        data: The bytes from the offset asked for on; the first ones at first.
    """

    number: int
    size: int
    data: bytes


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """The message wasn't understood or isn't allowed."""

    reason: str


Message = (
    Ping
    | Pong
    | PromiseRequest
    | PromiseReply
    | Resigned
    | LocateRequest
    | LocateReply
    | WatchRequest
    | WatchReply
    | NotHolder
    | RowsRequest
    | Rows
    | ChunkRequest
    | Chunk
    | Refused
)

CODEC: codec.MessageCodec[Message] = codec.MessageCodec(Message)
