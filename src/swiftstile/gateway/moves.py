"""Determines when slots that are leaving an owner may get another one.

All bounds are on this VM's monotonic clock. A slot may be reassigned when its
owner can't hold it any more: it released the slot and no grant is unanswered,
or every grant that any VM may have sent has expired, or another upstream runs
at its address.
"""

import collections.abc

import msgspec

from swiftstile import ids
from swiftstile.gateway import authority
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = [
    "FormerLeader",
    "OutstandingGrants",
    "hold_of_earlier_runs",
    "longer_hold",
    "outstanding_grants",
]


class OutstandingGrants(msgspec.Struct):
    """The outstanding grants on slots that are leaving an owner.

    Attributes:
        all_stopped: Whether every VM that might renew them has reported that
            it stopped, or must have stopped.
        held_s: Time until all grants have expired; may be infinite.
        open_s: Time until all unanswered grants have expired.
        open_slots: Slots with unanswered grants; None if any may have some.
        waits_for: The VM whose grants last longest; empty for this VM.
    """

    all_stopped: bool
    held_s: float
    open_s: float
    open_slots: set[int] | None
    waits_for: str = ""

    def may_be_open(self, slot: int) -> bool:
        """Whether a grant of a slot may still arrive at the owner."""
        if not self.all_stopped:
            return True
        if self.open_s <= 0:
            return False
        return self.open_slots is None or slot in self.open_slots

    def _add_open(self, hold: reports.Hold) -> None:
        """Adds the unanswered grants of another VM."""
        self.open_s = max(self.open_s, hold.unanswered_s)
        if hold.unanswered_s <= 0 or self.open_slots is None:
            return
        if hold.unanswered_slots is None:
            self.open_slots = None
        else:
            self.open_slots.update(hold.unanswered_slots)


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
    assigned_at: collections.abc.Mapping[int, float] | None = None,
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
        assigned_at: Earliest time at which the slots may have been assigned to
            the owner, by slot; None if it isn't known.
    """
    result = OutstandingGrants(True, own.held_s, 0.0, set())
    result._add_open(own)
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
            earlier = hold_of_earlier_runs(
                peer.earlier_grants_end_at(max_held_s),
                peer.run_began_at,
                assigned_at,
                now,
            )
            hold = longer_hold(hold, earlier)
        if former is not None and not peer.is_live(now):
            # The peer may itself have been leader before the former one.
            hold = longer_hold(hold, _hold_until(stop + former.max_held_s, now))
        if hold.held_s > result.held_s:
            result.waits_for = peer.row.node
        result.held_s = max(result.held_s, hold.held_s)
        result._add_open(hold)
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


def longer_hold(one: reports.Hold, other: reports.Hold) -> reports.Hold:
    """Returns a hold that lasts as long as both."""
    open_slots: list[int] | None = []
    for hold in (one, other):
        if hold.unanswered_s <= 0 or open_slots is None:
            continue
        listed = hold.unanswered_slots
        open_slots = None if listed is None else open_slots + listed
    return reports.Hold(
        max(one.held_s, other.held_s),
        max(one.unanswered_s, other.unanswered_s),
        open_slots,
    )


def hold_of_earlier_runs(
    end: float,
    run_began_at: float,
    assigned_at: collections.abc.Mapping[int, float] | None,
    now: float,
) -> reports.Hold:
    """Returns the hold from grants of earlier runs of a VM's process.

    Runs that ended before a slot was assigned to its owner granted nothing of
    it: they never knew the fence of that assignment. Grants under earlier ones
    were accounted for when it was made.

    Args:
        end: When grants of earlier runs have expired.
        run_began_at: Latest time at which the present run may have begun.
        assigned_at: Earliest time at which slots may have been assigned, by
            slot; None if it isn't known.
        now: The time.
    """
    hold = _hold_until(end, now)
    if assigned_at is None or hold.held_s <= 0:
        return hold
    exposed = [slot for slot, at in assigned_at.items() if at < run_began_at]
    if not exposed:
        return reports.Hold(0.0, 0.0, [])
    return reports.Hold(hold.held_s, hold.unanswered_s, exposed)


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
        return reports.Hold(0.0, 0.0, [])
    age_s = now - peer.received_at
    return reports.Hold(
        max(0.0, reported.held_s - age_s),
        max(0.0, reported.unanswered_s - age_s),
        reported.unanswered_slots,
    )
