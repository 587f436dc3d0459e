"""Simulates crashing and ordinary requests at many VMs.

A discrete event simulation without network or real time. Reports between VMs
are delayed and lost at random.
"""

import dataclasses
import itertools
import random

from swiftstile.gateway import causes
from swiftstile.gateway import fingerprint
from swiftstile.gateway import model
from swiftstile.gateway import suspects
from tests import event_clock

__all__ = ["Scenario", "Simulation"]

_REPORT_INTERVAL_S = 0.35
# Minimum interval between reports while something changes that all VMs need.
_URGENT_INTERVAL_S = 0.05
_DOWN_S = 2.0
_RETRIES = 2
_LENGTH_S = 12.0
# Time until all VMs should know that one of them answered a suspect.
_KNOWN_AFTER_S = 2.0
# Time in which a restarted VM receives a report of each peer.
_START_S = 0.7
# Initial period with ordinary requests only.
_WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation.

    Attributes:
        seed: Random seed.
        vms: Number of gateway VMs.
        upstreams: Number of upstreams of one service.
        crashers: Number of requests that crash any upstream.
        ordinary: Number of distinct ordinary requests, which are repeated.
        per_s: Ordinary arrivals per second.
        crashes_per_s: Unrelated crashes per second of each upstream.
        loss_rate: Fraction of reports that are lost.
        has_owners: Whether each request has one owning upstream at a time.
        registration_lag_s: Time until VMs know that an upstream restarted.
        restarted_vms: Times at which VMs restart in turn, without memory.
        is_known_at_start: Whether a restarted VM waits for reports of peers,
            which repeat what they know to it.
        crasher_pause_s: Time between two attempts of the same caller.
    """

    seed: int = 1
    vms: int = 3
    upstreams: int = 6
    crashers: int = 2
    ordinary: int = 12
    per_s: float = 20.0
    crashes_per_s: float = 0.05
    loss_rate: float = 0.1
    has_owners: bool = False
    registration_lag_s: float = 0.0
    restarted_vms: tuple[float, ...] = ()
    is_known_at_start: bool = True
    crasher_pause_s: tuple[float, float] = (0.2, 1.5)


class _Upstream:

    def __init__(self, number: int):
        self.id = model.UpstreamId(f"u-{number}")
        self.run_number = 1
        self.restarted_at = float("-inf")
        self.is_up = True
        # By number of the send: request, VM, retries, whether the VM may resend
        # it, and when it was sent.
        self.working: dict[
            int, tuple[fingerprint.Digest, int, int, bool, float]
        ] = {}


class Simulation:
    """Runs one simulation.

    Attributes:
        rejected: Rejected ordinary requests that some VM had answered at least
            two seconds before.
        rejected_unanswered: Other rejected ordinary requests.
        crashed_at: Times at which each request crashed an upstream.
    """

    def __init__(self, scenario: Scenario):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._clock = event_clock.EventClock()
        self._tables = [suspects.SuspectTable() for _ in range(scenario.vms)]
        self._upstreams = [_Upstream(n) for n in range(scenario.upstreams)]
        self._crashers = [_digest(f"bad-{n}") for n in range(scenario.crashers)]
        self._ordinary = [
            _digest(f"good-{n}") for n in range(scenario.ordinary)
        ]
        self._numbers = itertools.count()
        self.rejected: list[fingerprint.Digest] = []
        self.rejected_unanswered: list[fingerprint.Digest] = []
        self._answered_at: dict[fingerprint.Digest, float] = {}
        self.crashed_at: dict[fingerprint.Digest, list[float]] = {}
        # Until when restarted VMs take no requests.
        self._starting_until: dict[int, float] = {}

    def run(self) -> None:
        """Runs the simulation to its end."""
        scenario = self._scenario
        for digest in self._crashers:
            first = _WARM_UP_S + self._random.random()
            self._clock.schedule(first, self._crasher_arrives, digest)
        self._clock.schedule(0.0, self._ordinary_arrives)
        if scenario.crashes_per_s:
            self._clock.schedule(_WARM_UP_S, self._unrelated_crash)
        for number in range(scenario.vms):
            self._clock.schedule(self._random.random(), self._report, number)
        for count, at in enumerate(scenario.restarted_vms):
            self._clock.schedule(at, self._restart_vm, count % scenario.vms)
        self._clock.run()

    def crashes_after_limit(self, bound_s: float) -> int:
        """Returns the most crashes of a request later than its time limit.

        Args:
            bound_s: Time limit, counted from the request's third crash.
        """
        counts = [0]
        for times in self.crashed_at.values():
            if len(times) >= causes.MIN_CRASHES:
                end = times[causes.MIN_CRASHES - 1] + bound_s
                counts.append(sum(at > end for at in times))
        return max(counts)

    def _crasher_arrives(self, now: float, digest) -> None:
        if now > _LENGTH_S:
            return
        self._arrive(now, digest, _RETRIES)
        again = now + self._random.uniform(*self._scenario.crasher_pause_s)
        self._clock.schedule(again, self._crasher_arrives, digest)

    def _ordinary_arrives(self, now: float) -> None:
        if now > _LENGTH_S:
            return
        # Half of all arrivals are for three requests.
        few = self._ordinary[:3]
        pool = few if self._random.random() < 0.5 else self._ordinary
        self._arrive(now, self._random.choice(pool), _RETRIES)
        again = now + self._random.expovariate(self._scenario.per_s)
        self._clock.schedule(again, self._ordinary_arrives)

    def _arrive(self, now: float, digest, retries: int) -> None:
        vm = self._random.randrange(len(self._tables))
        if now < self._starting_until.get(vm, 0.0):
            return
        verdict = self._tables[vm].verdict(digest, now)
        if verdict is suspects.Verdict.REJECT:
            if digest in self._ordinary:
                self._record_rejection(digest, now)
            return
        self._send(now, digest, vm, retries, may_resend=True)

    def _record_rejection(self, digest, now: float) -> None:
        known_at = self._answered_at.get(digest, now) + _KNOWN_AFTER_S
        is_known = now > known_at
        (self.rejected if is_known else self.rejected_unanswered).append(digest)

    def _send(self, now, digest, vm, retries, may_resend: bool) -> None:
        up = [one for one in self._upstreams if one.is_up]
        if not up:
            return
        upstream = self._random.choice(up)
        if self._scenario.has_owners:
            upstream = up[int.from_bytes(digest[:4], "big") % len(up)]
        number = next(self._numbers)
        upstream.working[number] = digest, vm, retries, may_resend, now
        if digest in self._crashers:
            end = now + self._random.uniform(0.002, 0.05)
        else:
            end = now + self._random.uniform(0.05, 0.5)
        self._clock.schedule(
            end, self._end, upstream, upstream.run_number, number
        )

    def _end(self, now: float, upstream, run_number: int, number: int) -> None:
        if upstream.run_number != run_number or number not in upstream.working:
            return
        digest, vm, *_ = upstream.working[number]
        if digest in self._crashers:
            self.crashed_at.setdefault(digest, []).append(now)
            self._crash(now, upstream)
            return
        del upstream.working[number]
        self._answered_at.setdefault(digest, now)
        self._tables[vm].record_response(digest, now)

    def _unrelated_crash(self, now: float) -> None:
        if now > _LENGTH_S:
            return
        up = [one for one in self._upstreams if one.is_up]
        if up:
            self._crash(now, self._random.choice(up))
        rate = self._scenario.crashes_per_s * len(self._upstreams)
        again = now + self._random.expovariate(rate)
        self._clock.schedule(again, self._unrelated_crash)

    def _crash(self, now: float, upstream: _Upstream) -> None:
        run_number = upstream.run_number
        if now - upstream.restarted_at < self._scenario.registration_lag_s:
            run_number -= 1
        crash = causes.crash_id(upstream.id, run_number)
        working, upstream.working = upstream.working, {}
        upstream.is_up = False
        upstream.run_number += 1
        self._clock.schedule(now + _DOWN_S, self._restart, upstream)
        for digest, vm, retries, may_resend, sent in working.values():
            table = self._tables[vm]
            if table.record_crash(digest, crash, now - sent, now):
                self._report_soon(now, vm, digest)
            is_stopped = (
                table.crashes(digest) >= suspects.CRASHES_TO_STOP_RESENDS
            )
            if may_resend and not is_stopped:
                self._send(now, digest, vm, retries, may_resend=False)
            elif retries:
                soon = now + self._random.uniform(0.01, 0.1)
                self._clock.schedule(soon, self._arrive, digest, retries - 1)

    @staticmethod
    def _restart(now: float, upstream: _Upstream) -> None:
        upstream.is_up = True
        upstream.restarted_at = now

    def _restart_vm(self, now: float, number: int) -> None:
        self._tables[number] = suspects.SuspectTable()
        for upstream in self._upstreams:
            upstream.working = {
                key: sent
                for key, sent in upstream.working.items()
                if sent[1] != number
            }
        if self._scenario.is_known_at_start:
            self._starting_until[number] = now + _START_S
            for table in self._tables:
                table.repeat_to_new_peer(now)

    def _report(self, now: float, number: int) -> None:
        if now > _LENGTH_S:
            return
        self._send_report(now, number)
        self._clock.schedule(now + _REPORT_INTERVAL_S, self._report, number)

    def _send_report(self, now: float, number: int) -> None:
        reported = self._tables[number].report(now)
        for other, _ in enumerate(self._tables):
            if (
                other != number
                and self._random.random() >= self._scenario.loss_rate
            ):
                delay_s = self._random.uniform(0.001, 0.3)
                self._clock.schedule(
                    now + delay_s, self._receive, other, reported
                )

    def _report_soon(self, now: float, number: int, digest) -> None:
        """Schedules a report of a changed suspect, which VMs need soon."""
        crashes = self._tables[number].crashes(digest)
        if crashes >= suspects.CRASHES_TO_STOP_RESENDS:
            soon = now + _URGENT_INTERVAL_S
            self._clock.schedule(soon, self._send_report, number)

    def _receive(self, now: float, number: int, reported) -> None:
        self._tables[number].receive(reported, now)


def _digest(name: str) -> fingerprint.Digest:
    return fingerprint.digest("GET", "a.example", f"/{name}", "caller", b"")
