"""Encodes reports as datagrams.

A report grows with each upstream at which a VM has requests, or for which its
grants may still hold slots. The fields that key ownership depends on are always
included. The others, which a peer can use in part, are shortened where a report
would be split into many IP fragments.
"""

import msgspec

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import reports

__all__ = ["MAX_BYTES", "FULL_REPORT_BYTES", "ReportEncoder"]

# Maximum payload of a UDP datagram, less the two bytes of its header.
MAX_BYTES = 65_505
# Reports larger than this are shortened.
FULL_REPORT_BYTES = 8190
# Upstreams of each kind whose counts a shortened report keeps: twice as many
# counts and 60 speeds fit below the limit, with names of 34 bytes.
MAX_COUNTS = 60


class ReportEncoder:
    """Encodes the reports of one VM.

    Args:
        meters: Counts reports that can't be sent.
    """

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
        self._encoder = msgspec.msgpack.Encoder()
        self._is_too_large = False

    def encode(self, report: reports.Report) -> bytes | None:
        """Returns a report's bytes; None if they exceed a datagram.

        A VM that sends nothing counts as failed with its peers. Without a field
        that key ownership depends on they would take it for a VM that holds no
        keys.
        """
        data = self._encoder.encode(report)
        if len(data) > FULL_REPORT_BYTES:
            report = _with_largest_counts(report)
            data = self._encoder.encode(report)
        if len(data) > FULL_REPORT_BYTES:
            report = msgspec.structs.replace(report, speeds={}, key_load={})
            data = self._encoder.encode(report)
        self._note_size(len(data))
        return data if len(data) <= MAX_BYTES else None

    def _note_size(self, size: int) -> None:
        is_too_large = size > MAX_BYTES
        if is_too_large:
            self._meters.control_messages.add("report-too-large")
        if is_too_large != self._is_too_large:
            self._is_too_large = is_too_large
            logs.logger.warning(
                "report too large" if is_too_large else "report fits again",
                bytes=size,
            )


def _with_largest_counts(report: reports.Report) -> reports.Report:
    return msgspec.structs.replace(
        report,
        shared=_largest(report.shared),
        local=_largest(report.local),
    )


def _largest(counts: reports.Counts) -> reports.Counts:
    """Returns the counts of the upstreams with the most requests."""
    most = sorted(counts, key=lambda name: sum(counts[name]), reverse=True)
    return {name: counts[name] for name in most[:MAX_COUNTS]}
