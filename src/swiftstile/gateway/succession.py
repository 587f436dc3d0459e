"""Derives from a former leader's reports when VMs stopped renewing slots.

Slots that are leaving can be reassigned once no VM renews them any more. A
leader knows from its own marks when that is. A new leader would have to count
from the time when it took over, which would delay slots of crashed owners by
another 8 s with each crash of a leader. So each VM records when the leader
first reported a version of a map. From then on that leader renews no slot that
is marked in this version, and its followers stop when its earlier reports
expire, whoever leads later.

This is valid only if nothing was missed: the VM received the reports of the
very leader that it replaces, while that leader had its authority, and it knew
the marks before it took over.
"""

import bisect

from swiftstile import ids
from swiftstile.gateway import authority
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import renewals
from swiftstile.gateway import reports

__all__ = ["Succession"]

# Versions of a map that are remembered: those of one minute at the highest rate
# of moves.
_MAX_VERSIONS = 600


class Succession:
    """Records when the leader first reported each version of the key maps.

    Args:
        leadership: The current leadership.
        maps: The maps, with the marks that this VM knows.
    """

    def __init__(
        self, leadership: leadership_lib.Leadership, maps: renewals.KeyMaps
    ):
        self._leadership = leadership
        self._maps = maps
        # Version of the leader's row to which the reports below belong.
        self._row_version = 0
        # Reported versions and the time of the first report of each, both in
        # ascending order.
        self._history: dict[ids.ServiceName, tuple[list[int], list[float]]] = {}

    def note_report(self, peer: reports.Peer, now: float) -> None:
        """Records the versions in a report, if the leader sent it."""
        leadership, report = self._leadership, peer.report
        row = leadership.row
        if leadership.is_leader or row is None or peer.row.node != row.node:
            return
        if self._row_version != leadership.version:
            self._row_version = leadership.version
            self._history.clear()
        is_leading = (
            report.is_leader
            and report.can_renew
            and report.leader_version == leadership.version
            and peer.row.incarnation == row.incarnation
        )
        if not is_leading:
            return
        for service, version in report.versions.items():
            versions, times = self._history.setdefault(service, ([], []))
            if not versions or version > versions[-1]:
                versions.append(version)
                times.append(now)
                del versions[:-_MAX_VERSIONS], times[:-_MAX_VERSIONS]

    def marked_version(
        self, service: ids.ServiceName, slots: list[int]
    ) -> int | None:
        """Returns a version of the map in which all these slots were marked.

        None if this VM didn't know all the marks when it took over.
        """
        marks = self._maps.marks_by_service.get(service, {})
        found = [marks.get(index) for index in slots]
        if not found or any(
            mark is None or mark.known_at > self._leadership.led_since
            for mark in found
        ):
            return None
        return max(mark.version for mark in found)

    def stopped_at(
        self, service: ids.ServiceName, marked_version: int
    ) -> float | None:
        """Returns when all VMs had stopped renewing the marked slots.

        None if it isn't known.

        Args:
            service: The service.
            marked_version: Result of the method `marked_version`.
        """
        leadership = self._leadership
        if (
            leadership.former_leader is None
            or leadership.predecessor != self._row_version
        ):
            return None
        versions, times = self._history.get(service, ([], []))
        position = bisect.bisect_left(versions, marked_version)
        if position == len(versions):
            return None
        return times[position] + authority.STOPPED_AFTER_S
