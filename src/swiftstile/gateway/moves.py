"""When slots that are leaving an owner may be given to another.

All bounds are on this VM's steady clock. A slot may be given away when its
owner can't hold it any more: it released the slot and no grant is unanswered,
or every grant that any VM may have sent is over, or another upstream runs at
its address.
"""

import msgspec

from swiftstile import ids
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["Clearance", "clearance"]


class Clearance(msgspec.Struct):
    """What is known of the grants of slots that are leaving.

    Attributes:
        all_stopped: Every VM that might renew them said that it stopped, or
            must have stopped.
        held_s: Until all grants are over, in seconds; may be infinite.
        open_s: Until all unanswered grants are over.
    """

    all_stopped: bool
    held_s: float
    open_s: float


def clearance(
    service: ids.ServiceName,
    owner: model.UpstreamId,
    marked_version: int,
    own: reports.Hold,
    peers: list[reports.Peer],
    stopped_at: float,
    longest_s: float,
    now: float,
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
    """
    result = Clearance(True, own.held_s, own.open_s)
    for peer in peers:
        hold = _word_of(peer, service, owner, marked_version, now)
        if hold is None:
            bound = max(0.0, stopped_at + longest_s - now)
            result.all_stopped &= now > stopped_at
            hold = reports.Hold(bound, bound)
        elif peer.changed_at + longest_s > now:
            # An earlier run of it may have granted up to when it ended.
            left = peer.changed_at + longest_s - now
            hold = reports.Hold(max(hold.held_s, left), max(hold.open_s, left))
        result.held_s = max(result.held_s, hold.held_s)
        result.open_s = max(result.open_s, hold.open_s)
    return result


def _word_of(peer, service, owner, version, now) -> reports.Hold | None:
    report = peer.report
    if report is None or report.versions.get(service, 0) < version:
        return None
    told = report.holds.get(service, {}).get(owner)
    if told is None:
        # It knows the map, and lists what its grants may still hold: without
        # an entry there is nothing. Without a voice that may be long ago.
        return reports.Hold(0.0, 0.0) if peer.is_heard(now) else None
    age_s = now - peer.heard_at
    return reports.Hold(
        max(0.0, told.held_s - age_s), max(0.0, told.open_s - age_s)
    )
