"""When slots that are leaving an owner may be given to another.

All bounds are on this VM's steady clock. A slot may be given away when its
owner can't hold it any more: it released the slot and no grant is unanswered,
or every grant that any VM may have sent is over, or another upstream runs at
its address.
"""

import msgspec

from swiftstile import ids
from swiftstile.gateway import authority
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["Clearance", "FormerLeader", "clearance"]


class Clearance(msgspec.Struct):
    """What is known of the grants of slots that are leaving.

    Attributes:
        all_stopped: Every VM that might renew them said that it stopped, or
            must have stopped.
        held_s: Until all grants are over, in seconds; may be infinite.
        open_s: Until all unanswered grants are over.
        waits_for: The VM whose grants hold longest; empty for the own.
    """

    all_stopped: bool
    held_s: float
    open_s: float
    waits_for: str = ""


class FormerLeader(msgspec.Struct, frozen=True):
    """The VM that led before, where it marked the slots.

    It may have let their owners go on with them for a while, after it had
    marked them.

    Attributes:
        node: That VM.
        version: Version of the map that it knows once it knows its successor.
        stopped_at: When it gave no more orders, whatever it knew.
        longest_s: Longest that such an order can be held.
    """

    node: model.NodeId
    version: int
    stopped_at: float
    longest_s: float


def clearance(
    service: ids.ServiceName,
    owner: model.UpstreamId,
    marked_version: int,
    own: reports.Hold,
    peers: list[reports.Peer],
    stopped_at: float,
    longest_s: float,
    now: float,
    former: FormerLeader | None = None,
    quorum_since: float | None = None,
) -> Clearance:
    """Combines what all VMs say of one owner's leaving slots.

    Args:
        service: The service.
        owner: The owner that the slots leave.
        marked_version: Version of the map in which they were marked.
        own: What this VM's own grants mean.
        peers: All other registered VMs.
        stopped_at: When VMs that tell nothing have stopped at the latest;
            infinite if that isn't known.
        longest_s: Longest that one grant can be held.
        now: The time.
        former: Who marked them, if that was another VM.
        quorum_since: Since when a majority follows this VM, which leads. One
            that was silent ever since has no right to renew.
    """
    result = Clearance(True, own.held_s, own.unanswered_s)
    for peer in peers:
        version, longest = marked_version, longest_s
        stop = min(stopped_at, _silenced_at(peer, quorum_since))
        if former is not None and peer.row.node == former.node:
            version = former.version
            stop, longest = former.stopped_at, former.longest_s
        hold = _word_of(peer, service, owner, version, now)
        if hold is None:
            hold = _hold_until(stop + longest, now)
            result.all_stopped &= now > stop
        else:
            # An earlier run of it may have granted up to when it ended.
            end = peer.earlier_grants_end_at(longest_s)
            hold = _longer(hold, _hold_until(end, now))
        if former is not None and not peer.is_live(now):
            # It may have led itself, before the one that led last.
            hold = _longer(hold, _hold_until(stop + former.longest_s, now))
        if hold.held_s > result.held_s:
            result.waits_for = peer.row.node
        result.held_s = max(result.held_s, hold.held_s)
        result.open_s = max(result.open_s, hold.unanswered_s)
    return result


def _silenced_at(peer: reports.Peer, quorum_since: float | None) -> float:
    """Returns when a VM must have stopped as no leader counts it as heard."""
    silent_since = float("inf")
    if quorum_since is not None:
        silent_since = max(peer.received_at, quorum_since)
    if peer.row.is_retired:
        # Whoever led when it was retired hadn't heard it for long, and none
        # that led since counts it.
        silent_since = min(silent_since, peer.retired_at)
    return silent_since + authority.STOPPED_AFTER_S


def _hold_until(end: float, now: float) -> reports.Hold:
    left_s = max(0.0, end - now)
    return reports.Hold(left_s, left_s)


def _longer(one: reports.Hold, other: reports.Hold) -> reports.Hold:
    return reports.Hold(
        max(one.held_s, other.held_s), max(one.unanswered_s, other.unanswered_s)
    )


def _word_of(peer, service, owner, version, now) -> reports.Hold | None:
    """Returns what a VM said of its grants; None if it may still grant."""
    report = peer.report
    if report is None or report.versions.get(service, 0) < version:
        return None
    if report.holds is None:
        # It led when it said this, and will say it to who leads now.
        return None
    told = report.holds.get(service, {}).get(owner)
    if told is None:
        # It knows the map, and lists what its grants may still hold: without
        # an entry there is nothing. Nor will there be, also if it is silent
        # since: who knows that a slot is leaving renews it no more.
        return reports.Hold(0.0, 0.0)
    age_s = now - peer.received_at
    return reports.Hold(
        max(0.0, told.held_s - age_s), max(0.0, told.unanswered_s - age_s)
    )
