"""Control messages between processes."""

import msgspec

from swiftstile import codec
from swiftstile import ids
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import slices

__all__ = [
    "CODEC",
    "Piece",
    "PieceRequest",
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
    """Checks whether a coordinator is reachable."""

    sender: ids.Incarnation


class Pong(msgspec.Struct, tag="pong", frozen=True):
    """Reply to a ping.

    Attributes:
        vm: VM of the responder.
        incarnation: Process of the responder.
        table_reachable: Whether its last access to the table succeeded.
        leaving: Whether it is shutting down and must not be selected.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    table_reachable: bool
    leaving: bool = False


class PromiseRequest(msgspec.Struct, tag="ask-promise", frozen=True):
    """Asks a candidate to promise not to take over for some time."""

    service: ids.ServiceId
    epoch: ids.Epoch
    holder: ids.VmId
    candidate: ids.Incarnation
    duration_s: float


class PromiseReply(msgspec.Struct, tag="promised", frozen=True):
    """Reply of a candidate."""

    granted: bool
    epoch: ids.Epoch


class Resigned(msgspec.Struct, tag="resigned", frozen=True):
    """Informs a candidate that the holder released its lease."""

    service: ids.ServiceId
    epoch: ids.Epoch
    candidate: ids.Incarnation


class LocateRequest(msgspec.Struct, tag="locate", frozen=True):
    """Asks which VM coordinates a service."""

    service: ids.ServiceId


class LocateReply(msgspec.Struct, tag="located", frozen=True):
    """States whether the responder coordinates, and in which epoch."""

    vm: ids.VmId
    is_holder: bool
    epoch: ids.Epoch


class WatchRequest(msgspec.Struct, tag="watch", frozen=True):
    """Long poll of a router for changes of the assignment.

    Attributes:
        service: The service.
        vm: VM of the router.
        router: Process of the router.
        version: Version of the router's assignment; 0 for none.
        oldest_in_flight: Oldest version under which a request in flight was
            sent; equal to `version` if none is in flight.
        wait_s: Longest wait for a change, in seconds.
        load: Requests since the last report; None if no report is due.
    """

    service: ids.ServiceId
    vm: ids.VmId
    router: ids.Incarnation
    version: int
    oldest_in_flight: int
    wait_s: float
    load: load_lib.LoadReport | None = None


class WatchReply(msgspec.Struct, tag="watch-reply", frozen=True):
    """Changes since the router's version.

    Attributes:
        epoch: Epoch of the coordinator.
        delta: Changes of the assignment; None if unchanged.
        route_lease_s: How long the router may send to servers that don't check
            fences, counted from when it sent the request.
    """

    epoch: ids.Epoch
    delta: slices.Delta | None
    route_lease_s: float


class NotHolder(msgspec.Struct, tag="not-holder", frozen=True):
    """The responder doesn't coordinate the service."""


class RowsRequest(msgspec.Struct, tag="ask-rows", frozen=True):
    """Asks for the rows of a table, if the responder has newer ones.

    Attributes:
        table: Name of the table between VMs.
        version: Latest version that the sender has.
    """

    table: str
    version: int


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table; `value` is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


class Rows(msgspec.Struct, tag="rows", frozen=True):
    """Rows of a table at a version; empty if that isn't newer.

    Attributes:
        rows: All rows, or those changed since the requested version.
        version: Version of the store.
        is_whole: Whether `rows` lists all rows instead of the changed ones.
    """

    rows: list[Row]
    version: int
    is_whole: bool


class PieceRequest(msgspec.Struct, tag="ask-piece", frozen=True):
    """Asks for the next piece of a reply too long for one message.

    Attributes:
        number: The responder's number of the reply, from its first piece.
        offset: Offset of the piece in bytes.
    """

    number: int
    offset: int


class Piece(msgspec.Struct, tag="piece", frozen=True):
    """A piece of the encoded and compressed `Rows` that reply to `RowsRequest`.

    Attributes:
        number: The responder's number of the whole reply.
        size: Size of the whole reply in bytes.
        data: Bytes from the requested offset on; the first piece starts at 0.
    """

    number: int
    size: int
    data: bytes


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """The message is malformed or not allowed."""

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
    | PieceRequest
    | Piece
    | Refused
)

CODEC: codec.MessageCodec[Message] = codec.MessageCodec(Message)
