"""What a new leader may conclude from the reports of its predecessor."""

import random

import pytest

from swiftstile.gateway import authority
from swiftstile.gateway import gossip
from swiftstile.gateway import holds
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import leadership as leadership_lib
from swiftstile.gateway import moves
from swiftstile.gateway import reclaim
from swiftstile.gateway import reclaim_state
from swiftstile.gateway import renewals
from swiftstile.gateway import reports
from swiftstile.gateway import succession
from tests import gateway_builders as builders

_SLOTS = [3, 4]
_FIRST_ROW, _SECOND_ROW, _THIRD_ROW = 10, 20, 30
# Versions of the map: before and after the slots were marked, and adopted.
_PLAIN, _MARKED, _ADOPTED = 11, 12, 21


class _Vm:
    """A VM that follows a leader and may take over."""

    def __init__(self, name: str = "vm-2"):
        self.row = builders.node_row(name, run=name.rjust(8, "-"))
        self.peers = gossip.Peers(self.row, lambda *_: None)
        self.leadership = leadership_lib.Leadership(self.peers, None, None)
        self.maps = renewals.KeyMaps()
        self.known = succession.Succession(self.leadership, self.maps)
        self.first = builders.peer(
            builders.node_row("vm-1", run="firstttt"), None, 0.0
        )
        self.other = builders.peer(
            builders.node_row("vm-3", run="otherrrr"), None, 0.0
        )

    def follow(self, row: reports.NodeRow | None, version: int, vacated=0):
        leader = leadership_lib.LeaderRow("", "", "x", vacated)
        if row is not None:
            leader = leadership_lib.LeaderRow(row.node, row.incarnation, "x")
        value = leadership_lib.msgspec.msgpack.encode(leader)
        change = interfaces.Change(leadership_lib.LEADER_KEY, value, version)
        self.leadership.apply(change)

    def learn(self, version: int, now: float, leaving=()) -> None:
        owners = dict.fromkeys(range(8), "u-1")
        made = keymap.KeyMap.empty(8).assign({}, owners).mark_leaving(leaving)
        made.version = version
        self.maps.put(builders.LOOKUPS, made, now)

    def receive(
        self, peer: reports.Peer, row_version: int, reported: int, now: float
    ):
        peer.report = builders.report(
            peer.row,
            is_leader=True,
            leader_version=row_version,
            versions={builders.LOOKUPS: reported},
        )
        peer.received_at = peer.received_directly_at = now
        self.known.note_report(peer, now)

    def stopped_at(self) -> float | None:
        marked = self.known.marked_version(builders.LOOKUPS, _SLOTS)
        if marked is None:
            return None
        return self.known.stopped_at(builders.LOOKUPS, marked)


def _follower() -> _Vm:
    """Returns a VM that received the leader's first report of marks at 102."""
    vm = _Vm()
    vm.follow(vm.first.row, _FIRST_ROW)
    vm.learn(_PLAIN, 100.0)
    vm.receive(vm.first, _FIRST_ROW, _PLAIN, 100.5)
    vm.learn(_MARKED, 101.0, _SLOTS)
    vm.receive(vm.first, _FIRST_ROW, _PLAIN, 101.5)
    vm.receive(vm.first, _FIRST_ROW, _MARKED, 102.0)
    vm.receive(vm.first, _FIRST_ROW, _MARKED, 103.0)
    return vm


def test_a_successor_counts_from_the_first_report_of_the_marks():
    vm = _follower()
    vm.follow(vm.row, _SECOND_ROW)
    assert vm.leadership.former_leader == "vm-1"
    assert vm.stopped_at() == 102.0 + authority.STOPPED_AFTER_S


def test_a_successor_that_reads_its_own_row_again_knows_its_predecessor():
    # A VM reads the row that it wrote itself with the table's changes. Treated
    # as a change of the leader, that made the VM its own predecessor. The real
    # predecessor was then assumed to send no commands for marked slots, and
    # slots were reassigned that it had just granted to their owner again during
    # a store outage.
    vm = _follower()
    vm.follow(vm.row, _SECOND_ROW)
    vm.follow(vm.row, _SECOND_ROW)
    assert vm.leadership.former_leader == "vm-1"
    assert vm.stopped_at() == 102.0 + authority.STOPPED_AFTER_S


def test_a_successor_counts_so_too_after_the_leader_stepped_down():
    vm = _follower()
    vm.follow(None, _SECOND_ROW, vacated=_FIRST_ROW)
    vm.follow(vm.row, _THIRD_ROW)
    assert vm.stopped_at() == 102.0 + authority.STOPPED_AFTER_S


def test_with_another_leader_in_between_nothing_is_known():
    vm = _follower()
    vm.follow(vm.other.row, _SECOND_ROW)
    vm.follow(vm.row, _THIRD_ROW)
    assert vm.stopped_at() is None


def test_nothing_is_known_if_a_leader_was_missed_that_stepped_down():
    vm = _follower()
    vm.follow(None, _THIRD_ROW, vacated=_SECOND_ROW)
    vm.follow(vm.row, _THIRD_ROW + 1)
    assert vm.stopped_at() is None


def test_reports_of_the_next_leader_count_once_it_reports_the_marks():
    vm = _follower()
    vm.follow(vm.other.row, _SECOND_ROW)
    vm.receive(vm.other, _SECOND_ROW, _PLAIN, 105.0)
    vm.receive(vm.other, _SECOND_ROW, _ADOPTED, 106.0)
    vm.follow(vm.row, _THIRD_ROW)
    assert vm.stopped_at() == 106.0 + authority.STOPPED_AFTER_S


@pytest.mark.parametrize(
    "changes",
    [{"can_renew": False}, {"leader_version": 9}, {"is_leader": False}],
)
def test_reports_of_a_leader_without_authority_do_not_count(changes):
    vm = _Vm()
    vm.follow(vm.first.row, _FIRST_ROW)
    vm.learn(_MARKED, 101.0, _SLOTS)
    fields = {
        "is_leader": True,
        "leader_version": _FIRST_ROW,
        "versions": {builders.LOOKUPS: _MARKED},
    }
    vm.first.report = builders.report(vm.first.row, **(fields | changes))
    vm.known.note_report(vm.first, 102.0)
    vm.follow(vm.row, _SECOND_ROW)
    assert vm.stopped_at() is None


def test_marks_received_after_the_takeover_do_not_count():
    vm = _Vm()
    vm.follow(vm.first.row, _FIRST_ROW)
    vm.learn(_PLAIN, 100.0)
    vm.receive(vm.first, _FIRST_ROW, _MARKED, 102.0)
    vm.follow(vm.row, _SECOND_ROW)
    vm.learn(_MARKED, vm.leadership.led_since + 0.1, _SLOTS)
    assert vm.stopped_at() is None


def test_a_reassigned_slot_counts_from_its_later_mark():
    vm = _follower()
    owners = dict.fromkeys(range(8), "u-1")
    again = keymap.KeyMap.empty(8).assign({}, owners).assign({}, {3: "u-2"})
    again = again.mark_leaving(_SLOTS)
    again.version = _MARKED + 5
    vm.maps.put(builders.LOOKUPS, again, 104.0)
    marks = vm.maps.marks_by_service[builders.LOOKUPS]
    assert (marks[3].version, marks[4].version) == (_MARKED + 5, _MARKED)


# A model of the platform's timing: the leader marks a slot, lets its owner keep
# it at times, and crashes; another VM renews the slot by the leader's reports;
# a third VM takes over and reassigns the slot by what it knows.

_STEP_S = 0.05


class _Renewer:
    """A VM that renews a slot as long as it has the authority to."""

    def __init__(self, clock, seed: int):
        self._random = random.Random(seed)
        self._clock = clock
        self.vm = _Vm("vm-2")
        self.vm.peers.by_node["vm-1"] = self.vm.first
        self.vm.follow(self.vm.first.row, _FIRST_ROW)
        self.vm.learn(_PLAIN, clock.now)
        self.authority = authority.PeerAuthority(
            self.vm.peers,
            self.vm.leadership,
            self.vm.maps,
            lambda: True,
            lambda: clock.now,
            lambda: 0,
        )
        self.hold_table = holds.HoldTable(8, renewals.HOLD_S)
        self.due = clock.now

    def knows_mark(self) -> bool:
        return bool(self.vm.maps.by_service[builders.LOOKUPS].leaving)


class _Clock:
    now = 100.0


class _Model:
    """Simulates one sequence of events; `overlap_s` must stay 0."""

    def __init__(self, seed: int):
        draw = random.Random(seed)
        self._clock = _Clock()
        self._draw = draw
        self._renewer = _Renewer(self._clock, seed)
        self._third = _Vm("vm-4")
        self._third.follow(self._third.first.row, _FIRST_ROW)
        self._third.learn(_PLAIN, self._clock.now)
        self._marked_at = 100.0 + draw.uniform(1, 3)
        self._crashed_at = self._marked_at + draw.choice([0.2, 0.6, 2, 6])
        self._taken_at = self._crashed_at + draw.uniform(1.0, 2.0)
        # When the renewer receives nothing, and from when the third VM receives
        # nothing.
        self._unreachable = self._window()
        self._partitioned_at = draw.choice(
            [1e9, self._crashed_at - draw.uniform(0, 2)]
        )
        # How long the former leader continues if it is partitioned instead of
        # crashed.
        self._continues_s = draw.choice([0.0, 0.0, 1.2])
        self._until = 0.0
        self._reassigned_at: float | None = None
        self._keep_at = 0.0
        self._peer = builders.peer(self._renewer.vm.row, None, 0.0)
        self._former = builders.peer(
            builders.node_row("vm-1", run="firstttt"), None, 0.0
        )
        self.overlap_s = 0.0

    def _window(self) -> tuple[float, float]:
        start = self._marked_at + self._draw.uniform(-1, 1)
        length_s = self._draw.choice([0, 0.5, 3, 15])
        return start, start + length_s

    def _is_marked(self) -> bool:
        return self._clock.now >= self._marked_at

    def play(self, monkeypatch) -> float:
        monkeypatch.setattr(
            "swiftstile.clocks.monotonic", lambda: self._clock.now
        )
        self._clock.now = 100.0
        while self._clock.now < 130.0:
            self._clock.now += _STEP_S
            self._lead_first()
            self._renew()
            self._report()
            self._lead_third()
            if (
                self._reassigned_at is not None
                and self._until > self._clock.now
            ):
                self.overlap_s += _STEP_S
        return self.overlap_s

    def _hold(self, hold_s: float) -> None:
        self._until = max(self._until, self._clock.now + hold_s * 1.02)

    def _lead_first(self) -> None:
        """Lets the first leader send reports, and keep the slot at times."""
        now = self._clock.now
        if now >= self._crashed_at:
            if (
                now < self._crashed_at + self._continues_s
                and now >= self._keep_at
            ):
                self._keep_at = now + reclaim_state.KEEP_INTERVAL_S
                self._hold(reclaim.KEEP_HOLD_S)
            return
        reported = _MARKED if self._is_marked() else _PLAIN
        if not self._unreachable[0] <= now < self._unreachable[1]:
            self._renewer.vm.receive(
                self._renewer.vm.first, _FIRST_ROW, reported, now
            )
            if self._is_marked() and self._draw.random() < 0.1:
                self._renewer.vm.learn(_MARKED, now, _SLOTS)
        if now < self._partitioned_at:
            self._third.receive(self._third.first, _FIRST_ROW, reported, now)
            if self._is_marked():
                self._third.learn(_MARKED, now, _SLOTS)
        if self._is_marked() and now >= self._keep_at:
            self._keep_at = now + reclaim_state.KEEP_INTERVAL_S
            self._hold(reclaim.KEEP_HOLD_S)

    def _renew(self) -> None:
        now, renewer = self._clock.now, self._renewer
        if now < renewer.due or renewer.knows_mark():
            return
        if not renewer.authority.may_renew(builders.LOOKUPS):
            return
        renewer.due = now + renewals.RENEW_INTERVAL_S
        run = range(3, 5)
        renewer.hold_table.note_sent(run)
        renewer.hold_table.note_answered(run, now, renewals.HOLD_S)
        self._hold(renewals.HOLD_S)

    def _report(self) -> None:
        """Reports the version and the holds of the renewer to the third VM."""
        now = self._clock.now
        if (
            now >= self._partitioned_at
            or self._unreachable[0] <= now < self._unreachable[1]
        ):
            return
        renewer = self._renewer
        version = renewer.vm.maps.by_service[builders.LOOKUPS].version
        held_s = renewer.hold_table.held_for_s(_SLOTS, now)
        reported = {}
        if renewer.knows_mark() and held_s > 0:
            hold = reports.Hold(held_s, 0.0)
            reported = {builders.LOOKUPS: {"u-1": hold}}
        self._peer.report = builders.report(
            renewer.vm.row,
            versions={builders.LOOKUPS: version},
            holds=reported,
        )
        self._peer.received_at = self._peer.received_directly_at = now

    def _lead_third(self) -> None:
        now, vm = self._clock.now, self._third
        if now < self._taken_at or self._reassigned_at is not None:
            return
        if not vm.leadership.is_leader:
            vm.follow(vm.row, _SECOND_ROW)
            vm.learn(_MARKED, now, _SLOTS)
        known = self._outstanding_grants(now)
        if known is not None and known.all_stopped and known.held_s <= 0:
            self._reassigned_at = now

    def _outstanding_grants(self, now: float) -> moves.OutstandingGrants | None:
        vm = self._third
        stopped_at = vm.stopped_at()
        if stopped_at is None:
            return None
        quorum_at = self._taken_at + 0.1
        former = moves.FormerLeader(
            vm.leadership.former_leader,
            _ADOPTED,
            quorum_at + authority.LEADER_STOPPED_AFTER_S,
            holds.max_held_s(reclaim.KEEP_HOLD_S),
        )
        return moves.outstanding_grants(
            builders.LOOKUPS,
            "u-1",
            _MARKED,
            reports.Hold(0.0, 0.0),
            [self._peer, self._former],
            stopped_at,
            self._renewer.hold_table.max_held_s,
            now,
            former,
        )

    @property
    def waited_s(self) -> float | None:
        """Time between the takeover and the reassignment of the slot."""
        if self._reassigned_at is None:
            return None
        return self._reassigned_at - self._taken_at


_SEEDS = range(300)


def _play_all(monkeypatch) -> list[_Model]:
    models = [_Model(seed) for seed in _SEEDS]
    for model in models:
        model.play(monkeypatch)
    return models


def test_no_slot_is_reassigned_while_it_may_be_held(monkeypatch):
    models = _play_all(monkeypatch)
    assert sum(model.overlap_s for model in models) == 0
    # The marks are known in most runs, and then the wait is shorter than if
    # counted from the takeover.
    waits = [model.waited_s for model in models if model.waited_s is not None]
    assert len(waits) > len(models) / 2
    anew_s = authority.STOPPED_AFTER_S + holds.max_held_s(renewals.HOLD_S)
    assert max(waits) < anew_s - 1.0


def test_without_the_wait_for_earlier_reports_holds_overlap(monkeypatch):
    monkeypatch.setattr(authority, "STOPPED_AFTER_S", -10.0)
    assert any(model.overlap_s for model in _play_all(monkeypatch))


def test_without_the_wait_for_the_former_leader_holds_overlap(monkeypatch):
    monkeypatch.setattr(authority, "LEADER_STOPPED_AFTER_S", -10.0)
    monkeypatch.setattr(authority, "STOPPED_AFTER_S", -5.0)
    original = moves.outstanding_grants

    def without(*arguments):
        return original(*arguments[:-1])

    monkeypatch.setattr(moves, "outstanding_grants", without)
    assert any(model.overlap_s for model in _play_all(monkeypatch))
