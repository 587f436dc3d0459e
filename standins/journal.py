"""Journal of an upstream stand-in: executed requests and owned slices.

Each entry is a line of JSON, written unbuffered so that it survives SIGKILL.
"""

import os
import pathlib

import msgspec

__all__ = [
    "DrainCompleted",
    "Entry",
    "Journal",
    "LeaseRenewal",
    "OwnershipChange",
    "Run",
    "read",
]


class Run(msgspec.Struct, tag="run", array_like=True):
    """An executed request; it took effect at `commit`.

    Times are seconds on the monotonic clock, which all processes of a machine
    share.
    """

    request_id: str
    idempotency_key: str
    key: str
    position: int
    fence: int
    start: float
    commit: float


class OwnershipChange(msgspec.Struct, tag="own", array_like=True):
    """A grant changed the set of slices that the server owns.

    Attributes:
        at: Time of the change.
        until: End of the lease.
        slices: (start, end, fence) of each.
        service: The service.
    """

    at: float
    until: float
    slices: list[tuple[int, int, int]]
    service: str


class LeaseRenewal(msgspec.Struct, tag="renew", array_like=True):
    """A grant extended the lease of an unchanged set of slices."""

    at: float
    until: float


class DrainCompleted(msgspec.Struct, tag="draining", array_like=True):
    """The last request in flight on released slices has ended."""

    at: float


Entry = Run | OwnershipChange | LeaseRenewal | DrainCompleted
_DECODER = msgspec.json.Decoder(Entry)


class Journal:
    """Appends entries to a file."""

    def __init__(self, path: str):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)
        self._encoder = msgspec.json.Encoder()

    def write(self, entry: Entry) -> None:
        """Appends one entry."""
        os.write(self._file, self._encoder.encode(entry) + b"\n")


def read(path: pathlib.Path) -> list[Entry]:
    """Returns all entries of a journal, in the order they were written."""
    lines = path.read_bytes().splitlines()
    return [_DECODER.decode(line) for line in lines if line]
