"""Reports as bytes of a datagram.

A report says more with each upstream at which a VM has requests, or for which
its grants may still hold. What keys depend on is always told. The rest, of
which a peer can do without a part, is left out where a report would become so
large that the network cuts it into many pieces.
"""

import msgspec

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import reports

__all__ = ["MAX_BYTES", "FULL_REPORT_BYTES", "ReportEncoder"]

# What a datagram can hold, less two bytes that say what it is.
MAX_BYTES = 65_505
# A report beyond this has too many counts or measures.
FULL_REPORT_BYTES = 8190
# Upstreams whose counts are told then, of each kind: twice as many and 60
# speeds are below that, with names of 34 bytes.
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
        """Returns a report's bytes; None if no datagram can hold them.

        Peers count a VM that tells nothing as silent. Without a part that keys
        depend on they would take it for one that holds none.
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
    """Returns the counts of the upstreams with most requests."""
    most = sorted(counts, key=lambda name: sum(counts[name]), reverse=True)
    return {name: counts[name] for name in most[:MAX_COUNTS]}
