"""Determines when slots that are leaving an owner may get another one.

All bounds are on this VM's monotonic clock. A slot may be reassigned when its
owner can't hold it any more: it released the slot and no grant is unanswered,
or every grant that any VM may have sent has expired, or another upstream runs
at its address.
"""

import msgspec

from swiftstile import ids
from swiftstile.gateway import authority
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["FormerLeader", "OutstandingGrants", "outstanding_grants"]


class OutstandingGrants(msgspec.Struct):
    """The outstanding grants on slots that are leaving an owner.

    Attributes:
        all_stopped: Whether every VM that might renew them has reported that
            it stopped, or must have stopped.
        held_s: Time until all grants have expired; may be infinite.
        open_s: Time until all unanswered grants have expired.
        waits_for: The VM whose grants last longest; empty for this VM.
    """

    all_stopped: bool
    held_s: float
    open_s: float
    waits_for: str = ""


class FormerLeader(msgspec.Struct, frozen=True):
    """The previous leader, if it marked the slots.

    It may have let owners keep using slots for a while after marking them.

    Attributes:
        node: The VM.
        version: Version of the map that it knows once it knows its successor.
        stopped_at: Time after which it sends no more commands, whatever it
            knows.
        max_held_s: Longest hold that such a command can cause.
    """

    node: model.NodeId
    version: int
    stopped_at: float
    max_held_s: float


def outstanding_grants(
    service: ids.ServiceName,
    owner: model.UpstreamId,
    marked_version: int,
    own: reports.Hold,
    peers: list[reports.Peer],
    stopped_at: float,
    max_held_s: float,
    now: float,
    former: FormerLeader | None = None,
    quorum_since: float | None = None,
) -> OutstandingGrants:
    """Combines the reports of all VMs on one owner's leaving slots.

    Args:
        service: The service.
        owner: The owner that the slots leave.
        marked_version: Version of the map in which they were marked.
        own: The holds from this VM's own grants.
        peers: All other registered VMs.
        stopped_at: Time by which VMs that send no reports have stopped;
            infinite if it isn't known.
        max_held_s: Longest hold that one grant can cause.
        now: The time.
        former: The VM that marked the slots, if it wasn't this one.
        quorum_since: Since when a majority has followed this VM, the leader. A
            VM from which no report has arrived since then has no authority to
            renew.
    """
    result = OutstandingGrants(True, own.held_s, own.unanswered_s)
    for peer in peers:
        version, longest = marked_version, max_held_s
        stop = min(stopped_at, _latest_stop_at(peer, quorum_since))
        if former is not None and peer.row.node == former.node:
            version = former.version
            stop, longest = former.stopped_at, former.max_held_s
        hold = _reported_hold(peer, service, owner, version, now)
        if hold is None:
            hold = _hold_until(stop + longest, now)
            result.all_stopped &= now > stop
        else:
            # An earlier run of the process may have granted until it ended.
            end = peer.earlier_grants_end_at(max_held_s)
            hold = _longer_hold(hold, _hold_until(end, now))
        if former is not None and not peer.is_live(now):
            # The peer may itself have been leader before the former one.
            hold = _longer_hold(
                hold, _hold_until(stop + former.max_held_s, now)
            )
        if hold.held_s > result.held_s:
            result.waits_for = peer.row.node
        result.held_s = max(result.held_s, hold.held_s)
        result.open_s = max(result.open_s, hold.unanswered_s)
    return result


def _latest_stop_at(peer: reports.Peer, quorum_since: float | None) -> float:
    """Returns when a VM must have stopped, as no leader receives its reports.

    Infinite if that can't be concluded.
    """
    unresponsive_since = float("inf")
    if quorum_since is not None:
        unresponsive_since = max(peer.received_at, quorum_since)
    if peer.row.is_retired:
        # The leader at the time when it was retired had received nothing from
        # it for long, and no leader since then counts it.
        unresponsive_since = min(unresponsive_since, peer.retired_at)
    return unresponsive_since + authority.STOPPED_AFTER_S


def _hold_until(end: float, now: float) -> reports.Hold:
    left_s = max(0.0, end - now)
    return reports.Hold(left_s, left_s)


def _longer_hold(one: reports.Hold, other: reports.Hold) -> reports.Hold:
    return reports.Hold(
        max(one.held_s, other.held_s), max(one.unanswered_s, other.unanswered_s)
    )


def _reported_hold(peer, service, owner, version, now) -> reports.Hold | None:
    """Returns the hold that a VM reported; None if it may still grant."""
    report = peer.report
    if report is None or report.versions.get(service, 0) < version:
        return None
    if report.holds is None:
        # The VM sent this as leader, without its holds; it will report them to
        # the new leader.
        return None
    reported = report.holds.get(service, {}).get(owner)
    if reported is None:
        # The VM knows the map and lists all slots that its grants may still
        # hold, so no entry means no hold. That remains true if it has been
        # unresponsive since: a VM that knows that a slot is leaving doesn't
        # renew it.
        return reports.Hold(0.0, 0.0)
    age_s = now - peer.received_at
    return reports.Hold(
        max(0.0, reported.held_s - age_s),
        max(0.0, reported.unanswered_s - age_s),
    )
