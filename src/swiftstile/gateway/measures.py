"""What a VM measured, told now and then with the reports that it sends.

A report is made at each tick and sent to few audiences, each at its own pace.
So what was measured is added as a report goes out: the pace of an audience is
that of what it was sent, not of reports that were made and never left.
"""

import msgspec

from swiftstile.gateway import heat
from swiftstile.gateway import reports
from swiftstile.gateway import speeds

__all__ = ["Measures", "Pace"]

# Between two tellings of how fast targets are.
SPEEDS_INTERVAL_S = 0.8
# The same for each VM, where they are many: each has fewer answers to tell of.
SPEEDS_PER_VM_S = 0.03
# Between two tellings of which keys are busy.
HEAT_INTERVAL_S = 0.3


class Pace:
    """When an audience was last sent what was measured, in steady seconds."""

    def __init__(self):
        self.speeds_at = float("-inf")
        self.heat_at = float("-inf")


class Measures:
    """Adds what this VM measured to reports that are about to be sent."""

    def __init__(self, speed_book: speeds.SpeedBook, heat_book: heat.HeatBook):
        self._speeds = speed_book
        self._heat = heat_book

    def attach(
        self, report: reports.Report, pace: Pace, vms: int, now: float
    ) -> reports.Report:
        """Returns the report with what is due for an audience.

        Args:
            report: What is about to be sent.
            pace: When that audience was last sent something.
            vms: All other VMs; where they are many, each tells less often.
            now: On the steady clock.
        """
        told_speeds, told_heat = {}, {}
        speeds_s = max(SPEEDS_INTERVAL_S, SPEEDS_PER_VM_S * vms)
        if now - pace.speeds_at >= speeds_s:
            pace.speeds_at = now
            told_speeds = self._speeds.tell(now)
        if now - pace.heat_at >= HEAT_INTERVAL_S:
            pace.heat_at = now
            told_heat = self._heat.tell(now)
        if not told_speeds and not told_heat:
            return report
        return msgspec.structs.replace(
            report, speeds=told_speeds, key_load=told_heat
        )
