"""Batches reports within a failure domain of many VMs.

A VM that reports to all others wakes each of them with each report: among 40
VMs 150 times a second, which costs more than serving the requests. In large
domains each VM reports only to the domain's readers and the leader. The readers
collect the reports that they receive and forward them in batches.

A VM whose own reports don't come back in batches reports to all others
directly, so no VM becomes unknown to the others when both readers fail.
"""

import msgspec

from swiftstile.gateway import dissemination
from swiftstile.gateway import reports

__all__ = ["DomainReports", "Entry"]

# Domains with up to this many other VMs use a full mesh.
MAX_FULL_MESH_NEAR_VMS = 12
# A VM relies on batches for this long after one that contained a report of its
# own: two may be lost, and the report that it then sends directly still reaches
# its peers in time.
BATCH_TRUST_S = 0.6
# Maximum size of a batch: few IP fragments are lost with one.
BATCH_BYTES = 8190


class Entry(msgspec.Struct, array_like=True):
    """A report in a batch.

    Attributes:
        run: Short name of the run that sent it.
        sequence: Its sequence number.
        age_ms: Time since it arrived at the VM that forwards it.
        data: The encoded report, unchanged.
    """

    run: str
    sequence: int
    age_ms: int
    data: bytes


class _PendingReport(msgspec.Struct):
    """A report to forward with the next batch.

    Attributes:
        sequence: Its sequence number.
        received_at: When it arrived, on the monotonic clock.
        data: The encoded report, unchanged.
    """

    sequence: int
    received_at: float
    data: bytes


class DomainReports:
    """Decides which VMs of its failure domain a VM reports to.

    Args:
        topology: The other VMs.
    """

    def __init__(self, topology: dissemination.Topology):
        self._topology = topology
        self._pending_by_run: dict[str, _PendingReport] = {}
        self._echoed_at = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[Entry])

    @property
    def is_large(self) -> bool:
        """Whether reports are sent by way of the readers."""
        return len(self._topology.near) > MAX_FULL_MESH_NEAR_VMS

    def recipients(
        self, report: reports.Report, now: float
    ) -> list[reports.Peer]:
        """Returns the VMs to send a report of this VM to."""
        near = self._topology.near
        must_reach_all = (
            report.is_leader or report.is_leaving or report.is_reader
        )
        if not self.is_large or must_reach_all:
            return near
        if now - self._echoed_at > BATCH_TRUST_S:
            return near
        candidates = near[: dissemination.READER_CANDIDATES]
        return candidates + [
            peer
            for peer in near[dissemination.READER_CANDIDATES :]
            if peer.claims_leadership or peer.claims_reader_role
        ]

    def add_to_batch(
        self, run: str, sequence: int, data: bytes, now: float
    ) -> None:
        """Adds a received report to the next batch."""
        self._pending_by_run[run] = _PendingReport(sequence, now, data)

    def take_batches(self, now: float) -> list[bytes]:
        """Returns the reports added since the last call, as encoded batches."""
        pending, self._pending_by_run = self._pending_by_run, {}
        batches: list[list[Entry]] = []
        remaining = 0
        for run, entry in pending.items():
            if len(entry.data) > remaining:
                batches.append([])
                remaining = BATCH_BYTES
            age_ms = round((now - entry.received_at) * 1000)
            batches[-1].append(Entry(run, entry.sequence, age_ms, entry.data))
            remaining -= len(entry.data)
        return [self._encoder.encode(batch) for batch in batches]

    def entries(self, data: bytes) -> list[Entry]:
        """Returns the reports in an encoded batch.

        Raises:
            msgspec.MsgspecError: It is malformed.
        """
        return self._decoder.decode(data)

    def record_echo(self, now: float) -> None:
        """Records that a report of this VM came back in a batch."""
        self._echoed_at = now
