"""Lease rules under arbitrary pauses, delays, restarts and lost messages."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from swiftstile import clocks
from swiftstile import ids
from swiftstile.ownership import leases
from tests import builders

PROMISE_S = 0.9
TOLERANCE_S = 30.0
VMS = ("a", "b", "c")
CLIENTS = strategies.sampled_from(VMS)


class Process:
    """State of one coordinator: its promises and the lease it may hold."""

    def __init__(self, name):
        self.me = builders.candidate(name)
        self.promises = leases.PromiseTable()
        self.validity = None
        self.epoch = ids.Epoch(0)
        self.unsettled = None


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Messages arrive late or never; a write may be applied at any time."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self._restarts = itertools.count(1)
        self.processes = {name: Process(name) for name in VMS}
        self.row_version = 1
        self.row_epoch = ids.Epoch(1)
        self.row_candidates = tuple(builders.candidate(n) for n in "bc")
        self.requests = []
        self.replies = []
        self._hold(self.processes["a"], ids.Epoch(1), self.now)

    def _hold(self, process, epoch, sent_at):
        process.epoch = epoch
        process.promises.record_epoch(builders.SERVICE, epoch)
        process.validity = leases.LeaseValidity(TOLERANCE_S, sent_at)
        process.validity.require(self.row_candidates)

    @stateful.rule(by=strategies.sampled_from([0.01, 0.2, 0.5, 0.93, 2.0]))
    def time_passes(self, by):
        self.now += by

    @stateful.rule(name=CLIENTS)
    def send_take_over(self, name):
        process = self.processes[name]
        if process.unsettled or process.me not in self.row_candidates:
            return
        if process.promises.begin_take_over(builders.SERVICE, self.now):
            process.unsettled = (self.row_version, self.row_epoch + 1, self.now)
            self.requests = self.requests[-6:]

    @stateful.rule(name=CLIENTS)
    def write_is_applied(self, name):
        """The table applies a write; the writer hasn't been answered yet."""
        process = self.processes[name]
        if not process.unsettled or process.unsettled[0] != self.row_version:
            return
        expected, epoch, _ = process.unsettled
        self.row_version, self.row_epoch = expected + 1, ids.Epoch(epoch)
        others = [p.me for p in self.processes.values() if p is not process]
        self.row_candidates = tuple(others)
        # From now on the new holder may assign slices, so the leases of all
        # others must have lapsed.
        for other in self.processes.values():
            if other is not process and other.validity is not None:
                assert other.validity.valid_until() <= self.now

    @stateful.rule(name=CLIENTS)
    def take_over_is_settled(self, name):
        """The writer learns the outcome of its write."""
        process = self.processes[name]
        if not process.unsettled:
            return
        expected, epoch, sent_at = process.unsettled
        won = self.row_version > expected and self.row_epoch == epoch
        if self.row_version == expected:
            return
        process.unsettled = None
        process.promises.end_take_over(builders.SERVICE)
        if won and self.row_candidates == tuple(
            p.me for p in self.processes.values() if p is not process
        ):
            self._hold(process, ids.Epoch(epoch), sent_at)

    @stateful.rule(name=CLIENTS)
    def take_over(self, name):
        """A complete take-over without delays."""
        self.send_take_over(name)
        self.write_is_applied(name)
        self.take_over_is_settled(name)

    @stateful.rule(name=CLIENTS)
    def renew(self, name):
        """Both candidates are asked for a promise and answer at once."""
        for candidate in VMS:
            self.request_promise(name, candidate)
            if self.requests:
                self.request_arrives(len(self.requests) - 1)
            if self.replies:
                self.reply_arrives(len(self.replies) - 1)

    @stateful.rule(name=CLIENTS, candidate=CLIENTS)
    def request_promise(self, name, candidate):
        holder = self.processes[name]
        if holder.validity is None or name == candidate:
            return
        self.requests.append((name, candidate, holder.epoch, self.now))

    @stateful.rule(index=strategies.integers(0, 20))
    def request_arrives(self, index):
        if not self.requests:
            return
        # Not removed, as a message may be delivered more than once.
        name, target, epoch, requested_at = self.requests[
            index % len(self.requests)
        ]
        granted = self.processes[target].promises.promise(
            builders.SERVICE, epoch, self.now, PROMISE_S
        )
        if granted:
            self.replies.append((name, target, epoch, requested_at))

    @stateful.rule(index=strategies.integers(0, 20))
    def reply_arrives(self, index):
        if not self.replies:
            return
        name, target, epoch, requested_at = self.replies[
            index % len(self.replies)
        ]
        holder = self.processes[name]
        if holder.validity is not None and holder.epoch == epoch:
            duration = PROMISE_S - clocks.DRIFT_MARGIN_S
            candidate = self.processes[target].me.incarnation
            holder.validity.record_promise(candidate, requested_at, duration)

    @stateful.rule(name=CLIENTS)
    def restart(self, name):
        """The process loses its state; no row names its new incarnation."""
        fresh = Process(name)
        fresh.me = leases.Candidate(
            ids.VmId(name), ids.Incarnation(f"{name}#{next(self._restarts)}")
        )
        self.processes[name] = fresh

    @stateful.invariant()
    def at_most_one_valid_holder(self):
        valid = [
            process
            for process in self.processes.values()
            if process.validity and process.validity.valid_until() > self.now
        ]
        assert len(valid) <= 1


def test_two_restarts_at_the_same_time_are_two_incarnations():
    machine = LeaseMachine()
    machine.take_over("b")
    machine.restart("b")
    machine.take_over("a")
    machine.renew("a")
    machine.restart("b")
    machine.take_over("b")
    machine.at_most_one_valid_holder()


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60, deadline=None
)


@hypothesis.given(
    offset=strategies.floats(-1e6, 1e6),
    there=strategies.floats(0, 5),
    back=strategies.floats(0, 5),
    lease=strategies.floats(0, 2),
)
def test_server_lease_ends_there_before_it_ends_here(
    offset, there, back, lease
):
    """Holds for any message latency and any clock offset."""
    sent_at = 1000.0
    read_at = sent_at + there
    received_at = read_at + back
    clock = leases.ServerClockReading("i", read_at + offset, received_at)
    end = received_at + lease
    ends_there = clock.to_server_time(end) - offset
    assert ends_there <= end + 1e-6


def test_no_promise_while_a_take_over_is_unsettled():
    promises = leases.PromiseTable()
    assert promises.promise(builders.SERVICE, ids.Epoch(1), 10.0, 1.0)
    assert not promises.begin_take_over(builders.SERVICE, 11.0)
    assert promises.begin_take_over(builders.SERVICE, 11.1)
    assert not promises.promise(builders.SERVICE, ids.Epoch(1), 11.2, 1.0)
    promises.end_take_over(builders.SERVICE)
    assert promises.promise(builders.SERVICE, ids.Epoch(1), 11.3, 1.0)


def test_validity_needs_every_candidate_and_a_recent_write():
    first, second = builders.candidate("a"), builders.candidate("b")
    validity = leases.LeaseValidity(30.0, 100.0)
    validity.require((first, second))
    validity.record_promise(first.incarnation, 100.0, 1.0)
    assert validity.valid_until() == 0.0
    validity.record_promise(second.incarnation, 100.5, 1.0)
    assert validity.valid_until() == 101.0
    validity.record_promise(first.incarnation, 150.0, 1.0)
    validity.record_promise(second.incarnation, 150.0, 1.0)
    assert validity.valid_until() == 130.0
