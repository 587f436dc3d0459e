"""What a VM measured, told now and then with the reports that it sends.

A report is made at each tick and sent to few audiences, each at its own pace.
So what was measured is added as a report goes out: the pace of an audience is
that of what it was sent, not of reports that were made and never left.
"""

import msgspec

from swiftstile.gateway import heat
from swiftstile.gateway import reports
from swiftstile.gateway import speeds

__all__ = ["LastSent", "MeasurementReporter"]

# Between two tellings of how fast targets are.
SPEEDS_INTERVAL_S = 0.8
# The same for each VM, where they are many: each has fewer answers to tell of.
SPEEDS_INTERVAL_PER_VM_S = 0.03
# Between two tellings of which keys are busy.
KEY_LOADS_INTERVAL_S = 0.3


class LastSent:
    """When an audience was last sent what was measured, in steady seconds."""

    def __init__(self):
        self.speeds_at = float("-inf")
        self.key_loads_at = float("-inf")


class MeasurementReporter:
    """Adds what this VM measured to reports that are about to be sent."""

    def __init__(
        self, speed_table: speeds.SpeedTable, key_load_table: heat.HeatBook
    ):
        self._speeds = speed_table
        self._key_loads = key_load_table

    def add_due(
        self, report: reports.Report, last_sent: LastSent, vms: int, now: float
    ) -> reports.Report:
        """Returns the report with what is due for an audience.

        Args:
            report: What is about to be sent.
            last_sent: When that audience was last sent something.
            vms: All other VMs; where they are many, each tells less often.
            now: On the steady clock.
        """
        samples, key_loads = {}, {}
        speeds_s = max(SPEEDS_INTERVAL_S, SPEEDS_INTERVAL_PER_VM_S * vms)
        if now - last_sent.speeds_at >= speeds_s:
            last_sent.speeds_at = now
            samples = self._speeds.own_samples(now)
        if now - last_sent.key_loads_at >= KEY_LOADS_INTERVAL_S:
            last_sent.key_loads_at = now
            key_loads = self._key_loads.tell(now)
        if not samples and not key_loads:
            return report
        return msgspec.structs.replace(report, speeds=samples, heat=key_loads)
