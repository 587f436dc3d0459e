"""What a new leader may conclude from the reports of the one before it.

Slots that are leaving can be given away once nobody renews them any more. A
leader knows when that is from its own marks. One that takes over would have to
count from its own beginning: slots of lost owners would wait for 8 s more at
each loss of a leader. So each VM notes when the leader first told of a version
of a map. From then on the leader renews no slot that is marked there, and its
followers stop when its older word goes stale, whoever leads later.

It holds only if nothing was missed: the VM heard the very leader that it
replaces, while that had its right, and it knew the marks before it took over.
"""

import bisect

from swiftstile import ids
from swiftstile.gateway import authority
from swiftstile.gateway import leadership
from swiftstile.gateway import renewals
from swiftstile.gateway import reports

__all__ = ["Succession"]

# Versions of a map that are remembered: those of a minute of the busiest moves.
_MOST_TOLD = 600


class Succession:
    """Remembers when the leader told which versions of the key maps.

    Args:
        leads: Who leads.
        maps: The maps, with the marks of this VM's own knowledge.
    """

    def __init__(self, leads: leadership.Leadership, maps: renewals.KeyMaps):
        self._leads = leads
        self._maps = maps
        # The version of the leader's row whose reports are noted below.
        self._row_version = 0
        # Versions told, and when each came first, both growing.
        self._told: dict[ids.ServiceName, tuple[list[int], list[float]]] = {}

    def note_report(self, peer: reports.Peer, now: float) -> None:
        """Takes in a report, if it is the leader's."""
        leads, report = self._leads, peer.report
        row = leads.row
        if leads.is_leader or row is None or peer.row.node != row.node:
            return
        if self._row_version != leads.version:
            self._row_version = leads.version
            self._told.clear()
        is_in_force = (
            report.is_leader
            and report.can_renew
            and report.leader_version == leads.version
            and peer.row.incarnation == row.incarnation
        )
        if not is_in_force:
            return
        for service, version in report.versions.items():
            versions, times = self._told.setdefault(service, ([], []))
            if not versions or version > versions[-1]:
                versions.append(version)
                times.append(now)
                del versions[:-_MOST_TOLD], times[:-_MOST_TOLD]

    def marked_version(
        self, service: ids.ServiceName, slots: list[int]
    ) -> int | None:
        """Returns a version of the map in which all of these were marked.

        None if this VM didn't know all marks when it took over.
        """
        marks = self._maps.marks_by_service.get(service, {})
        found = [marks.get(index) for index in slots]
        if not found or any(
            mark is None or mark.known_at > self._leads.led_since
            for mark in found
        ):
            return None
        return max(mark.version for mark in found)

    def stopped_at(
        self, service: ids.ServiceName, marked_version: int
    ) -> float | None:
        """Returns when all VMs had stopped renewing what was marked.

        None if this VM doesn't know.

        Args:
            service: The service.
            marked_version: What `marked_version` returned.
        """
        leads = self._leads
        if (
            leads.former_leader is None
            or leads.predecessor != self._row_version
        ):
            return None
        versions, times = self._told.get(service, ([], []))
        position = bisect.bisect_left(versions, marked_version)
        if position == len(versions):
            return None
        return times[position] + authority.STOPPED_AFTER_S
