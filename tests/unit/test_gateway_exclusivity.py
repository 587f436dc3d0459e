"""Exclusive ownership, in a model of the platform's timing.

A leader moves a slot from server 1 to server 2, while another VM renews the
slot at server 1. That VM may be partitioned, paused, or killed and restarted;
its grants may get no answer and be carried out late; the server's clock may run
slow. Each safeguard is disabled once, to check that the overlap of holds that
it prevents occurs. Events during a call of the leader are simulated in
test_gateway_exclusivity_concurrency.py.
"""

import random
import types

import pytest

from swiftstile.gateway import authority
from swiftstile.gateway import gossip
from swiftstile.gateway import holds
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import move_steps
from swiftstile.gateway import moves
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from tests import gateway_builders as builders

_STEP_S = 0.05
_LENGTH_S = 40.0
_SLOT = range(0, 1)
_OLD_FENCE, _FENCING = 1, 2


class _Clock:
    now = 100.0


class _Server:

    def __init__(self, rate: float):
        self._rate = rate
        self.until = 0.0
        self.seen = 0

    def grant(self, fence: int, hold_s: float, arrived: float) -> bool:
        if fence < self.seen:
            return False
        self.seen = fence
        self.until = max(self.until, arrived + hold_s * self._rate)
        return True

    def release(self, fence: int) -> None:
        self.until = 0.0


class _Renewer:
    """The other VM, with its authority to renew."""

    def __init__(self, clock: _Clock, run: str):
        self.row = builders.node_row("vm-2", run=run)
        self.hold_table = holds.HoldTable(1, renewals.HOLD_S)
        self.version = 1
        self.due = clock.now
        leader_row = builders.node_row("vm-1", run="leaderrr")
        self.leader = reports.Peer(leader_row, clock.now)
        peers = gossip.Peers(self.row, lambda *_: None)
        peers.by_node["vm-1"] = self.leader
        leadership = types.SimpleNamespace(
            is_leader=False,
            version=5,
            row=leadership_lib.LeaderRow("vm-1", leader_row.incarnation, ""),
        )
        maps = renewals.KeyMaps()
        self._maps = maps
        self.authority = authority.PeerAuthority(
            peers,
            leadership,
            maps,
            lambda: True,
            lambda: clock.now,
            lambda: 0,
        )
        self.learn(1)

    def learn(self, version: int) -> None:
        self.version = version
        key_map = keymap.KeyMap.empty(1)
        key_map.version = version
        self._maps.by_service[builders.LOOKUPS] = key_map

    def report(self, sequence: int, now: float) -> reports.Report:
        reported = {}
        if self.version >= 2:
            hold = reports.Hold(
                self.hold_table.held_for_s(_SLOT, now),
                self.hold_table.unanswered_for_s(_SLOT, now),
            )
            # Empty holds are left out, as in `GrantRenewer.leaving_holds`.
            if hold.held_s > 0 or hold.unanswered_s > 0:
                reported = {builders.LOOKUPS: {"u-1": hold}}
        return builders.report(
            self.row,
            sequence,
            versions={builders.LOOKUPS: self.version},
            holds=reported,
        )


class _Model:
    """Simulates one sequence of events; `overlap_s` must stay 0."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._clock = _Clock()
        rate = self._random.choice((1.0, 1.02))
        self._server = _Server(rate)
        self._renewer = _Renewer(self._clock, "run00001")
        self._peer = reports.Peer(self._renewer.row, -1000.0)
        self._late: list[tuple[float, float]] = []
        self._answers: list[tuple[float, _Renewer, bool]] = []
        self._marked_at = 0.0
        self._released = ""
        self._reassigned_at: float | None = None
        self._sequence = 0
        self.overlap_s = 0.0
        self._plan()

    # Since when the leader has led.
    _quorum_since = 100.0

    def _plan(self) -> None:
        draw = self._random.uniform
        start = self._clock.now
        self._mark_at = start + draw(1.0, 6.0)
        self._partitioned = self._window(0.5)
        self._paused = self._window(0.4)
        self._crashed = self._window(0.3)
        self._unreachable = self._window(0.4)
        # The other VM receives reports of the leader, but its own are lost.
        self._reports_lost = self._window(0.3)
        self._late_share = self._random.choice((0.0, 0.3, 0.9))

    def _window(self, share: float) -> tuple[float, float]:
        if self._random.random() > share:
            return (0.0, 0.0)
        start = self._clock.now + self._random.uniform(0, 10)
        return (start, start + self._random.uniform(0.3, 15))

    def _is_in(self, window: tuple[float, float]) -> bool:
        return window[0] <= self._clock.now < window[1]

    def play(self, monkeypatch) -> float:
        monkeypatch.setattr(
            "swiftstile.clocks.monotonic", lambda: self._clock.now
        )
        while self._clock.now < 100.0 + _LENGTH_S:
            self._clock.now += _STEP_S
            self._carry_out_late()
            self._renew()
            self._exchange_reports()
            self._lead()
            is_held = self._server.until > self._clock.now
            if self._reassigned_at is not None and is_held:
                self.overlap_s += _STEP_S
        return self.overlap_s

    def _carry_out_late(self) -> None:
        now = self._clock.now
        for entry in [e for e in self._late if e[1] <= now]:
            self._late.remove(entry)
            self._server.grant(_OLD_FENCE, renewals.HOLD_S, entry[0])
        for entry in [e for e in self._answers if e[0] <= now]:
            self._answers.remove(entry)
            _, renewer, is_answered = entry
            if is_answered:
                renewer.hold_table.note_answered(_SLOT, now, renewals.HOLD_S)
            else:
                renewer.hold_table.note_unanswered(_SLOT, now, renewals.HOLD_S)

    def _renew(self) -> None:
        now, renewer = self._clock.now, self._renewer
        if self._is_in(self._crashed) or self._is_in(self._paused):
            return
        if self._was_restarted():
            self._renewer = renewer = _Renewer(self._clock, "run00002")
            # A restarted VM registers first, and reads the latest map.
            renewer.learn(2 if self._marked_at else 1)
            self._peer.record_run(renewer.row, now)
        if now < renewer.due or not renewer.authority.may_renew(
            builders.LOOKUPS
        ):
            return
        if renewer.version >= 2:
            return
        renewer.due = now + renewals.RENEW_INTERVAL_S
        renewer.hold_table.note_sent(_SLOT)
        if self._random.random() < self._late_share:
            self._late.append((now, now + self._random.uniform(0.5, 12)))
            self._answers.append((now + 0.5, renewer, False))
        else:
            self._server.grant(_OLD_FENCE, renewals.HOLD_S, now)
            self._answers.append((now + _STEP_S, renewer, True))

    def _was_restarted(self) -> bool:
        end = self._crashed[1]
        is_first = self._renewer.row.incarnation.endswith("run00001")
        return is_first and end > 0 and self._clock.now >= end

    def _exchange_reports(self) -> None:
        now = self._clock.now
        if self._is_in(self._crashed) or self._is_in(self._paused):
            return
        if self._is_in(self._partitioned):
            return
        self._sequence += 1
        if not self._is_in(self._reports_lost):
            report = self._renewer.report(self._sequence, now)
            self._peer.record_direct_report(report, now)
        version = 2 if self._marked_at else 1
        leader = self._renewer.leader
        leader.report = builders.report(
            leader.row,
            self._sequence,
            is_leader=True,
            leader_version=5,
            versions={builders.LOOKUPS: version},
        )
        leader.received_at = now
        receives_us = now - self._peer.received_at < reports.PEER_TIMEOUT_S
        leader.record_direct_receipt(now, receives_us)
        if version == 2:
            self._renewer.learn(2)

    def _lead(self) -> None:
        now = self._clock.now
        if self._reassigned_at is not None:
            return
        if not self._marked_at:
            if now >= self._mark_at:
                self._marked_at = now
            return
        known = moves.outstanding_grants(
            builders.LOOKUPS,
            "u-1",
            2,
            reports.Hold(0.0, 0.0),
            [self._peer],
            self._marked_at + authority.STOPPED_AFTER_S,
            self._renewer.hold_table.max_held_s,
            now,
            None,
            self._quorum_since,
        )
        is_certain = known.all_stopped and known.open_s <= 0
        if known.all_stopped and known.held_s <= 0:
            self._reassign()
        elif self._released:
            if self._released == "fenced" or is_certain:
                self._reassign()
        elif not self._is_in(self._unreachable):
            if is_certain:
                self._server.release(_OLD_FENCE)
                self._released = "plain"
            elif now - self._marked_at > move_steps.STOP_WAIT_S:
                self._fence_and_release()

    def _fence_and_release(self) -> None:
        self._server.grant(_FENCING, 0.0, self._clock.now)
        self._server.release(_FENCING)
        self._released = "fenced"

    def _reassign(self) -> None:
        self._reassigned_at = self._clock.now

    @property
    def is_reassigned(self) -> bool:
        return self._reassigned_at is not None


class _Restarting(_Model):
    """The other VM is killed shortly before the slot is marked as leaving."""

    def _plan(self) -> None:
        super()._plan()
        draw = self._random.uniform
        self._crashed = (
            self._mark_at - draw(0, 1),
            self._mark_at + draw(0.1, 2),
        )
        self._unreachable = (self._mark_at, self._mark_at + 10)
        self._partitioned = self._paused = (0.0, 0.0)


_SEEDS = range(150)


def _overlaps(monkeypatch, kind=_Model) -> int:
    return sum(kind(seed).play(monkeypatch) > 0 for seed in _SEEDS)


def test_no_two_servers_hold_a_slot(monkeypatch):
    assert _overlaps(monkeypatch) == 0


def test_slots_do_get_new_owners(monkeypatch):
    models = [_Model(seed) for seed in _SEEDS]
    for model in models:
        model.play(monkeypatch)
    assert all(model.is_reassigned for model in models)


class _Partitioned(_Model):
    """The slot is known to be free only when all holds have expired.

    The other VM renews until it learns of the mark, and is partitioned before
    it can report its holds; nobody reaches the server.
    """

    def _plan(self) -> None:
        super()._plan()
        start = self._mark_at + self._random.uniform(0.05, 0.3)
        self._partitioned = (start, start + 30)
        self._unreachable = (self._mark_at, self._mark_at + 30)
        self._paused = self._crashed = self._reports_lost = (0.0, 0.0)
        self._late_share = 0.0


class _LostReports(_Model):
    """Reports of the other VM are lost long before the slot is marked."""

    def _plan(self) -> None:
        super()._plan()
        self._mark_at = self._clock.now + self._random.uniform(3, 14)
        self._reports_lost = (
            self._mark_at - self._random.uniform(0, 12),
            1000.0,
        )
        self._unreachable = (self._mark_at, self._mark_at + 10)
        self._partitioned = self._paused = self._crashed = (0.0, 0.0)

    @property
    def waited_s(self) -> float:
        return self._reassigned_at - self._marked_at


def test_a_vm_whose_reports_do_not_arrive_delays_nothing(monkeypatch):
    assert _overlaps(monkeypatch, _LostReports) == 0
    models = [_LostReports(seed) for seed in _SEEDS]
    for model in models:
        model.play(monkeypatch)
    # If its reports have been missing for long enough, there is no wait.
    assert min(model.waited_s for model in models) < 0.2


def test_without_the_leaders_acknowledgement_holds_overlap(monkeypatch):
    def authorising_leader(self, now):
        leader = self._leader(now)
        is_able = leader is not None and leader.report.can_renew
        return leader if is_able else None

    monkeypatch.setattr(
        authority.PeerAuthority, "_authorising_leader", authorising_leader
    )
    assert _overlaps(monkeypatch, _LostReports) > 0


class _WithoutFencing(_Model):

    def _fence_and_release(self) -> None:
        self._server.release(_OLD_FENCE)
        self._released = "fenced"


def test_without_the_fencing_grant_late_grants_overlap(monkeypatch):
    assert _overlaps(monkeypatch, _WithoutFencing) > 0


def test_without_the_wait_for_unresponsive_vms_holds_overlap(monkeypatch):
    monkeypatch.setattr(authority, "STOPPED_AFTER_S", -10.0)
    assert _overlaps(monkeypatch) > 0


def test_without_the_wait_for_slow_clocks_holds_overlap(monkeypatch):
    assert _overlaps(monkeypatch, _Partitioned) == 0
    monkeypatch.setattr(holds, "CLOCK_RATE", 1.0)
    monkeypatch.setattr(holds, "MARGIN_S", 0.0)
    assert _overlaps(monkeypatch, _Partitioned) > 0


def test_without_the_wait_for_unanswered_grants_holds_overlap(monkeypatch):
    monkeypatch.setattr(holds.HoldTable, "note_unanswered", _forget)
    assert _overlaps(monkeypatch) > 0


def _forget(self, slots, now, hold_s) -> None:
    self.note_unsent(slots)


def test_without_the_wait_for_earlier_runs_holds_overlap(monkeypatch):
    original = moves.outstanding_grants

    def without(service, owner, version, own, peers, *rest):
        for peer in peers:
            peer._undeclared_end_at = -1000.0
        return original(service, owner, version, own, peers, *rest)

    assert _overlaps(monkeypatch, _Restarting) == 0
    monkeypatch.setattr(moves, "outstanding_grants", without)
    assert _overlaps(monkeypatch, _Restarting) > 0


def test_without_recent_reports_of_the_leader_holds_overlap(monkeypatch):
    monkeypatch.setattr(authority, "MAX_REPORT_AGE_S", 1000.0)
    assert _overlaps(monkeypatch) > 0


def test_the_leader_needs_a_majority(monkeypatch):
    clock = _Clock()
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: clock.now)
    me = builders.node_row("vm-1", run="leaderrr")
    peers = gossip.Peers(me, lambda *_: None)
    leadership = types.SimpleNamespace(is_leader=True, version=5, row=None)
    contact = {"at": clock.now}
    peer_authority = authority.PeerAuthority(
        peers,
        leadership,
        renewals.KeyMaps(),
        lambda: True,
        lambda: contact["at"],
        lambda: 0,
    )
    for name in ("vm-2", "vm-3", "vm-4"):
        row = builders.node_row(name)
        report = builders.report(row, leader_version=5)
        peers.by_node[name] = builders.peer(row, report, clock.now)
    assert peer_authority.is_authorised(clock.now)
    # One VM follows another leader, one is unresponsive: only two of four.
    peers.by_node["vm-2"].report.leader_version = 6
    unresponsive = peers.by_node["vm-3"]
    unresponsive.received_at = unresponsive.received_directly_at = (
        clock.now - 2.0
    )
    assert not peer_authority.is_authorised(clock.now)
    # A forwarded report doesn't count, however recent it seems.
    unresponsive.record_report(unresponsive.report, clock.now)
    assert unresponsive.is_live(clock.now)
    assert not peer_authority.is_authorised(clock.now)
    unresponsive.record_direct_receipt(clock.now, receives_us=True)
    assert peer_authority.is_authorised(clock.now)
    peer_authority.tick(clock.now)
    assert peer_authority.quorum_since == clock.now
    # The store has been unreachable for too long, whoever follows.
    contact["at"] = clock.now - authority.MAX_STORE_OUTAGE_S - 1
    assert not peer_authority.is_authorised(clock.now)


@pytest.mark.parametrize("version", [1, 3])
def test_a_follower_with_another_map_than_the_leader_stops(
    monkeypatch, version
):
    clock = _Clock()
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: clock.now)
    renewer = _Renewer(clock, "run00001")
    renewer.leader.report = builders.report(
        renewer.leader.row,
        is_leader=True,
        leader_version=5,
        versions={builders.LOOKUPS: 2},
    )
    renewer.leader.received_at = clock.now
    renewer.leader.record_direct_receipt(clock.now, receives_us=True)
    renewer.learn(version)
    assert not renewer.authority.may_renew(builders.LOOKUPS)
    renewer.learn(2)
    assert renewer.authority.may_renew(builders.LOOKUPS)
    renewer.leader.receives_us = False
    assert not renewer.authority.may_renew(builders.LOOKUPS)
