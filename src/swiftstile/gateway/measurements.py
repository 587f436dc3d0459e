"""Adds measurements to the reports that a VM sends, at a limited rate.

A report is made at each tick, but each audience is sent only some of them. So
measurements are added when a report is sent, and the interval of an audience
counts from what it was sent, not from reports that were made and never sent.
"""

import msgspec

from swiftstile.gateway import key_load
from swiftstile.gateway import reports
from swiftstile.gateway import speeds

__all__ = ["LastSent", "MeasurementReporter"]

# Interval between reports of target speeds.
SPEEDS_INTERVAL_S = 0.8
# Minimum of the same interval per VM: where there are many, each has fewer
# answers to report.
SPEEDS_INTERVAL_PER_VM_S = 0.03
# Interval between reports of key loads.
KEY_LOADS_INTERVAL_S = 0.3


class LastSent:
    """When an audience was last sent measurements, on the monotonic clock."""

    def __init__(self):
        self.speeds_at = float("-inf")
        self.key_loads_at = float("-inf")


class MeasurementReporter:
    """Adds the measurements of this VM to reports that are about to be sent."""

    def __init__(
        self,
        speed_table: speeds.SpeedTable,
        key_load_table: key_load.KeyLoadTable,
    ):
        self._speed_table = speed_table
        self._key_load_table = key_load_table

    def add_due(
        self, report: reports.Report, last_sent: LastSent, vms: int, now: float
    ) -> reports.Report:
        """Returns the report with the measurements due for an audience.

        Args:
            report: The report to be sent.
            last_sent: When the audience was last sent measurements; updated.
            vms: Number of other VMs; with many, each reports less often.
            now: The time on the monotonic clock.
        """
        samples, key_loads = {}, {}
        speeds_s = max(SPEEDS_INTERVAL_S, SPEEDS_INTERVAL_PER_VM_S * vms)
        if now - last_sent.speeds_at >= speeds_s:
            last_sent.speeds_at = now
            samples = self._speed_table.own_samples(now)
        if now - last_sent.key_loads_at >= KEY_LOADS_INTERVAL_S:
            last_sent.key_loads_at = now
            key_loads = self._key_load_table.report(now)
        if not samples and not key_loads:
            return report
        return msgspec.structs.replace(
            report, speeds=samples, key_load=key_loads
        )
