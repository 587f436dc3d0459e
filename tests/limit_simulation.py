"""Simulates VMs that send to one keyed upstream with a stated rate limit.

Runs the decision code of all VMs without a network: permits, reports and
answers take a latency, VMs crash and restart or are cut off, and the upstream's
limit changes over time. A simulation is determined by its seed.
"""

import dataclasses
import itertools
import random

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import advisories
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import coldstart
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import permits
from swiftstile.gateway import ratelimits
from swiftstile.gateway import sharing
from tests import event_clock
from tests import gateway_builders as builders

# Time from the first statement until the limit has to be kept, length of the
# windows in which it is checked, and how far a window may exceed it.
GRACE_S, WINDOW_S, SLACK_RATIO, SLACK_REQUESTS = 3.0, 4.0, 1.5, 5
# A VM is bound by answers that it got this long ago.
LEARNING_S = 0.5
_UPSTREAM = "u-1"
_SCAN_S, _REPORT_S = 0.02, 0.2


@dataclasses.dataclass(frozen=True)
class Fault:
    """A VM that is faulty for a time.

    Attributes:
        vm: Number of the VM, in order of preference as limiter; 0 is the
            limiter.
        start_s, end_s: When.
        kind: `crash` (it restarts at the end), `cut` (no datagrams of other
            VMs) or `mute` (its permit replies are lost, its reports arrive).
    """

    vm: int
    start_s: float
    end_s: float
    kind: str


@dataclasses.dataclass(frozen=True)
class Load:
    """Parameters of a simulation.

    Attributes:
        vms: Number of VMs, a third of them in the upstream's domain.
        per_s: Requests/s of all callers together.
        limits: Start time and value of each limit; None for no limit.
        faults: Faults of VMs.
        active_vms: Number of VMs that get requests; 0 for all.
        latency_s: One-way latency between any two processes.
        service_s: Service time of the upstream.
        duration_s: Duration of arrivals.
        seed: Random seed of arrivals.
    """

    vms: int = 12
    per_s: float = 20.0
    limits: tuple[tuple[float, float | None], ...] = ((2.0, 6.0),)
    faults: tuple[Fault, ...] = ()
    active_vms: int = 0
    latency_s: float = 0.0014
    service_s: float = 0.09
    duration_s: float = 20.0
    seed: int = 1

    def limit_at(self, at: float) -> float | None:
        """Returns the limit that the upstream states at a time."""
        stated = [value for start, value in self.limits if start <= at]
        return stated[-1] if stated else None


@dataclasses.dataclass
class Send:
    """A request that reached the upstream."""

    at: float
    vm: str


class _Vm:

    def __init__(self, rows, number: int, now: float):
        self.row = rows[number]
        self.number = number
        self.started = now
        table = builders.target_table(builders.upstream(_UPSTREAM), now=now)
        self.target = table.by_id[_UPSTREAM]
        self.peers = gossip.Peers(self.row, lambda *_: None)
        for row in rows:
            self.peers.apply(row, row.node, now)
        self.selector = arbiter_selection.ArbiterSelector(
            self.peers, lambda: False, coldstart.UNLIMITED
        )
        self.limiter = ratelimits.RateLimiter(self.peers, self.selector)
        self.limiter.set_services(
            {builders.LOOKUPS: builders.service(is_keyed=True)}
        )
        self.controller = admission.AdmissionController(
            table, self.row.domain, 2.0, coldstart.UNLIMITED, self.limiter
        )
        self.advisories = advisories.AdvisoryTable(table, metrics.Meters())
        # The VMs for which queued requests wait, by sequence.
        self.requesters: dict[int, _Vm] = {}


class LimitSimulation:
    """Runs one simulation.

    Attributes:
        sends: Requests that reached the upstream, in order.
        rejected: Number of requests that were rejected.
    """

    def __init__(self, load: Load):
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = event_clock.EventClock()
        self._sequence = itertools.count(1)
        near = max(1, load.vms // 3)
        self._rows = [
            builders.node_row(
                f"vm-{i}",
                run=f"{i:08d}",
                domain=builders.HOME if i < near else builders.AWAY,
            )
            for i in range(load.vms)
        ]
        self._vms = [_Vm(self._rows, i, 0.0) for i in range(load.vms)]
        self._told_at: dict[str, float] = {}
        # VM numbers, the upstream's limiter first.
        self._preference = sorted(
            range(load.vms),
            key=lambda i: (
                i >= near,
                -sharing.affinity(self._rows[i].node, _UPSTREAM),
            ),
        )
        self.sends: list[Send] = []
        self.rejected = 0

    @staticmethod
    def _number(peer) -> int:
        return int(peer.row.node.rpartition("-")[2])

    def run(self) -> "LimitSimulation":
        random.seed(self._load.seed)
        self._clock.schedule(0.0, self._arrive)
        for vm in self._vms:
            offset = self._random.uniform(0, _REPORT_S)
            self._clock.schedule(offset, self._report, vm)
            self._clock.schedule(offset, self._scan, vm)
        for fault in self._load.faults:
            if fault.kind == "crash":
                number = self._preference[fault.vm]
                self._clock.schedule(fault.end_s, self._restart, number)
        self._clock.run()
        return self

    def _has_fault(self, vm: _Vm, now: float, *kinds: str) -> bool:
        return any(
            self._preference[fault.vm] == vm.number
            and fault.kind in kinds
            and fault.start_s <= now < fault.end_s
            for fault in self._load.faults
        )

    def _is_connected(self, now: float, one: _Vm, other: _Vm) -> bool:
        return not any(
            self._has_fault(vm, now, "crash", "cut") for vm in (one, other)
        )

    def _restart(self, now: float, number: int) -> None:
        vm = self._vms[number] = _Vm(self._rows, number, now)
        self._told_at.pop(vm.row.node, None)
        self._clock.schedule(now, self._report, vm)
        self._clock.schedule(now, self._scan, vm)

    def _is_running(self, vm: _Vm, now: float) -> bool:
        is_current = self._vms[vm.number] is vm
        return is_current and not self._has_fault(vm, now, "crash")

    def _report(self, now: float, vm: _Vm) -> None:
        if not self._is_running(vm, now) or now > self._load.duration_s:
            return
        self._clock.schedule(now + _REPORT_S, self._report, vm)
        report = builders.report(vm.row, next(self._sequence))
        stated = vm.advisories.report(now)
        for other in self._vms:
            if other is not vm and self._is_connected(now, vm, other):
                peer = other.peers.by_node[vm.row.node]
                peer.record_direct_report(report, now)
                other.advisories.receive(stated, now)

    def _arrive(self, now: float) -> None:
        load = self._load
        if now >= load.duration_s:
            return
        self._clock.schedule(
            now + self._random.expovariate(load.per_s), self._arrive
        )
        vm = self._random.choice(self._vms[-load.active_vms :])
        if self._is_running(vm, now):
            self._decide(now, vm)

    def _decide(self, now: float, vm: _Vm) -> None:
        peer = vm.selector.arbiter_of(vm.target, now)
        if peer is None:
            self._offer(now, vm, vm)
            return
        arbiter = self._vms[self._number(peer)]
        if self._is_connected(now, vm, arbiter) and not self._has_fault(
            arbiter, now, "mute"
        ):
            self._clock.schedule(
                now + self._load.latency_s, self._offer, arbiter, vm
            )
            return
        wait_s = permits.MAX_REQUEST_SENDS * permits.MIN_REQUEST_RETRY_S
        self._clock.schedule(now + wait_s, self._decide_alone, vm, peer)

    def _decide_alone(self, now: float, vm: _Vm, peer) -> None:
        vm.selector.avoid(peer, now)
        self._offer(now, vm, vm)

    def _offer(self, now: float, decider: _Vm, vm: _Vm) -> None:
        waiter = admission.Waiter(
            builders.route(objective_s=0.3),
            builders.LOOKUPS,
            builders.FixedOwner(decider.target),
            now,
            now + 1.2,
            self._load.service_s,
        )
        if decider is not vm:
            vm.limiter.note_reply(vm.target)
        decided = decider.controller.offer(waiter, now)
        if isinstance(decided, admission.Rejection):
            self.rejected += 1
        elif decided is None:
            decider.requesters[waiter.sequence] = vm
        else:
            self._send(now, decider, vm, waiter)

    def _scan(self, now: float, vm: _Vm) -> None:
        if not self._is_running(vm, now) or now > self._load.duration_s + 2:
            return
        self._clock.schedule(now + _SCAN_S, self._scan, vm)
        assigned, rejected = vm.controller.dispatch(now)
        self.rejected += len(rejected)
        for waiter, _ in assigned:
            requester = vm.requesters.pop(waiter.sequence)
            self._send(now, vm, requester, waiter)

    def _send(self, now: float, decider: _Vm, vm: _Vm, waiter) -> None:
        decider.target.note_sent(waiter.sequence, now, waiter.expected_s)
        self._clock.schedule(
            now + 2 * self._load.latency_s,
            self._arrive_at_upstream,
            decider,
            vm,
            waiter,
        )

    def _arrive_at_upstream(self, now, decider, vm, waiter) -> None:
        if self._is_running(vm, now):
            self.sends.append(Send(now, vm.row.node))
        self._clock.schedule(
            now + self._load.service_s, self._answer, decider, vm, waiter, now
        )

    def _answer(self, now, decider, vm, waiter, sent) -> None:
        decider.target.note_ended(waiter.sequence)
        if not self._is_running(vm, now):
            return
        limit = self._load.limit_at(now)
        if limit is not None:
            self._told_at.setdefault(vm.row.node, now)
        metadata = interfaces.AnswerMetadata(
            interfaces.AnswerKind.RAN,
            "",
            True,
            None,
            "",
            interfaces.Advisory(limit),
        )
        vm.advisories.record_answer(vm.target, metadata, sent, now)

    def windows_above_limit(self) -> list[tuple[float, int, float]]:
        """Returns start, count and bound of windows with too many sends.

        Sends of a VM with a fault don't count until it is over for
        `GRACE_S`, nor those of VMs that weren't told of a limit.
        """
        first = min(start for start, value in self._load.limits if value)
        counted = [
            send.at
            for send in self.sends
            if self._is_bound(send) and send.at >= first + GRACE_S
        ]
        found = []
        for start in counted:
            count = sum(start <= at < start + WINDOW_S for at in counted)
            bound = SLACK_RATIO * self._allowed(start) + SLACK_REQUESTS
            if count > bound:
                found.append((round(start, 3), count, bound))
        return found

    def _allowed(self, start: float) -> float:
        """Returns the sum of the limit over a window; infinite without one."""
        steps = 40
        total = 0.0
        for step in range(steps):
            limit = self._load.limit_at(start + step * WINDOW_S / steps)
            total += float("inf") if limit is None else limit
        return total * WINDOW_S / steps

    def _is_bound(self, send: Send) -> bool:
        told_at = self._told_at.get(send.vm, float("inf"))
        is_faulty = any(
            f"vm-{self._preference[fault.vm]}" == send.vm
            and fault.start_s <= send.at < fault.end_s + GRACE_S
            for fault in self._load.faults
            if fault.kind != "mute"
        )
        return told_at + LEARNING_S <= send.at and not is_faulty

    def used_share(self, start_s: float, end_s: float) -> float:
        """Returns the part of the limit that was used in a period."""
        count = sum(start_s <= send.at < end_s for send in self.sends)
        return count / (self._load.limit_at(start_s) * (end_s - start_s))
