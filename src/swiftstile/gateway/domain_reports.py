"""How reports travel within a failure domain of many VMs.

Each VM that tells all others wakes each of them at every report: among 40 VMs
150 times a second, which costs more than the requests do. Where VMs are many,
each tells the domain's readers and the leader alone. Readers gather what they
hear and hand it on in batches.

A VM whose own reports don't come back in batches tells all others itself, so
the loss of both readers silences nobody.
"""

import msgspec

from swiftstile.gateway import dissemination
from swiftstile.gateway import reports

__all__ = ["DomainReports", "Entry"]

# Up to so many others of a domain are told each time.
MAX_FULL_MESH_NEAR_VMS = 12
# A VM counts on batches for so long after one that held a report of its own:
# two may be lost, and what it tells itself then is in time for its peers.
BATCH_TRUST_S = 0.6
# Size of a batch: few of the network's pieces are lost with one.
BATCH_BYTES = 8190


class Entry(msgspec.Struct, array_like=True):
    """A report in a batch.

    Attributes:
        run: Short name of the run that told it.
        sequence: Its number.
        age_ms: How long ago it came to the one that hands it on.
        data: The report, as it came.
    """

    run: str
    sequence: int
    age_ms: int
    data: bytes


class _PendingReport(msgspec.Struct):
    """A report that is to be handed on.

    Attributes:
        sequence: Its number.
        received_at: When it came, on the steady clock.
        data: The report, as it came.
    """

    sequence: int
    received_at: float
    data: bytes


class DomainReports:
    """What one VM tells its own failure domain, and to whom.

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
        """Whether reports go through readers."""
        return len(self._topology.near) > MAX_FULL_MESH_NEAR_VMS

    def recipients(
        self, report: reports.Report, now: float
    ) -> list[reports.Peer]:
        """Returns the VMs that a report of this one goes to."""
        near = self._topology.near
        concerns_all = report.is_leader or report.is_leaving or report.is_reader
        if not self.is_large or concerns_all:
            return near
        if now - self._echoed_at > BATCH_TRUST_S:
            return near
        likely = near[: dissemination.READER_CANDIDATES]
        return likely + [
            peer
            for peer in near[dissemination.READER_CANDIDATES :]
            if peer.claims_leadership or peer.claims_reader_role
        ]

    def add_to_batch(
        self, run: str, sequence: int, data: bytes, now: float
    ) -> None:
        """Keeps a report that came, to be handed on."""
        self._pending_by_run[run] = _PendingReport(sequence, now, data)

    def take_batches(self, now: float) -> list[bytes]:
        """Returns what was pending since the last call, for all near VMs."""
        pending, self._pending_by_run = self._pending_by_run, {}
        batches: list[list[Entry]] = []
        remaining = 0
        for run, one in pending.items():
            if len(one.data) > remaining:
                batches.append([])
                remaining = BATCH_BYTES
            age_ms = round((now - one.received_at) * 1000)
            batches[-1].append(Entry(run, one.sequence, age_ms, one.data))
            remaining -= len(one.data)
        return [self._encoder.encode(batch) for batch in batches]

    def entries(self, data: bytes) -> list[Entry]:
        """Returns the reports in a batch.

        Raises:
            msgspec.MsgspecError: It is malformed.
        """
        return self._decoder.decode(data)

    def record_echo(self, now: float) -> None:
        """A report of this VM came back in a batch."""
        self._echoed_at = now
