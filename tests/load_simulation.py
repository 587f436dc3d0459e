"""Simulates the admission code of many VMs under load.

VMs share upstreams and periodically exchange their counts. Upstreams run three
requests concurrently, each upstream at its own speed, and queue others in
order. A simulation is determined by its seed, so that it is reproducible.
"""

import collections
import dataclasses
import random
import typing

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import coldstart
from swiftstile.gateway import fair_shares
from swiftstile.gateway import gossip
from swiftstile.gateway import load_rules
from swiftstile.gateway import queue_limits
from tests import event_clock
from tests import gateway_builders as builders


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one kind.

    Attributes:
        organisation: Host of its route.
        per_s: Requests/s.
        kind: Name of its route.
        priority: Priority of its route.
        from_s, until_s: Period of its arrivals.
        vms: VMs at which its requests arrive; all if empty.
        timeout: Timeout of its route, in objectives.
        retries: How often its callers return after a rejection.
    """

    organisation: str
    per_s: float
    kind: str = "r-1"
    priority: int = 2
    from_s: float = 0.0
    until_s: float = 1e9
    vms: tuple[int, ...] = ()
    timeout: float = 1.5
    retries: int = 0


class Outcome(typing.NamedTuple):
    """What the caller of one attempt got.

    Attributes:
        stream: The stream of the request.
        arrived: When it arrived.
        took_s: Time until its answer or rejection.
        served: Whether it was served.
        is_in_time: Whether the answer met the objective.
    """

    stream: Stream
    arrived: float
    took_s: float
    served: bool
    is_in_time: bool


@dataclasses.dataclass(frozen=True)
class Load:
    """Parameters of a simulation.

    Attributes:
        vms: Number of VMs in one failure domain.
        upstreams: Number of upstreams that they share.
        per_s: Requests/s of all callers together.
        service_s: Mean service time of a request at an upstream of speed 1.
        objective_s: Latency objective.
        report_interval_s: Interval at which VMs exchange counts.
        speeds: Speeds of upstreams, repeated cyclically.
        duration_s: Duration of arrivals.
        cold_per_s: Requests/s that a cold upstream can take; 0 for no limit.
        cold_s: How long upstreams are cold after the start.
        cold_upstreams: Number of upstreams that start cold.
        has_arbiter: Whether one VM decides for all, as in `permits.py`.
        latency_s: One-way latency between a VM and the arbiter.
        queue_length: Queue length of an upstream; it doesn't answer requests
            beyond that.
        seed: Random seed of arrivals and service times.
        streams: Replace the requests of `per_s` if not empty.
        has_queue_limits, has_fair_shares: Whether these rules apply.
    """

    vms: int = 25
    upstreams: int = 17
    per_s: float = 106.0
    service_s: float = 0.32
    objective_s: float = 1.09
    report_interval_s: float = 0.25
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    duration_s: float = 30.0
    cold_per_s: float = 0.0
    cold_s: float = 0.0
    cold_upstreams: int = 0
    has_arbiter: bool = False
    latency_s: float = 0.0005
    queue_length: int = 1000
    seed: int = 1
    streams: tuple[Stream, ...] = ()
    has_queue_limits: bool = False
    has_fair_shares: bool = False


@dataclasses.dataclass
class Result:
    """Results of callers."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    unanswered: int = 0
    waits: list[float] = dataclasses.field(default_factory=list)
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    sends_by_upstream: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def most_in_a_second(self, upstream: str, until: float) -> int:
        """Returns the maximum number of sends to an upstream in one second."""
        sends = [at for at in self.sends_by_upstream[upstream] if at < until]
        return max(
            (
                sum(at <= other < at + 1 for other in sends[index:])
                for index, at in enumerate(sends)
            ),
            default=0,
        )

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.rejected + self.unanswered

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.total

    @property
    def mean_queued_s(self) -> float:
        """Mean time that requests were queued at upstreams, in seconds."""
        return sum(self.waits) / len(self.waits)


class _Upstream:

    def __init__(self, speed: float, slots: int = 3):
        self.speed = speed
        self.free = slots
        self.queue = collections.deque()


class _Vm:

    def __init__(self, name: str, specs, speeds, load: Load):
        self.name = name
        self.target_table = builders.target_table(*specs)
        for target, speed in zip(
            self.target_table.by_id.values(), speeds, strict=True
        ):
            target.slowness = 1.0 / speed
        peers = gossip.Peers(builders.node_row(name), lambda *_: None)
        for number in range(load.vms):
            row = builders.node_row(f"vm-{number}")
            peers.apply(row, row.node, 0.0)
        limits = coldstart.ColdLimits(self.target_table, peers, lambda: True)
        limits.set_services(
            {builders.LOOKUPS: builders.service(cold_per_s=load.cold_per_s)}
        )
        self.controller = admission.AdmissionController(
            self.target_table,
            builders.HOME,
            2.0,
            limits,
            rules=load_rules.LoadRules(
                queue_limits.QueueLimits(lambda: load.has_queue_limits),
                fair_shares.FairShares(lambda: load.has_fair_shares),
                metrics.LabelledCounter(),
            ),
        )
        self.controller.vm_count = load.vms


class Simulation:
    """Runs one simulation."""

    def __init__(self, load: Load):
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = event_clock.EventClock()
        speeds = [
            load.speeds[i % len(load.speeds)] for i in range(load.upstreams)
        ]
        specs = [
            builders.upstream(
                f"u-{i}",
                address=f"127.0.0.1:{9000 + i}",
                cold_s=load.cold_s * (i < load.cold_upstreams),
            )
            for i in range(load.upstreams)
        ]
        self._upstreams = {
            spec.id: _Upstream(speed)
            for spec, speed in zip(specs, speeds, strict=True)
        }
        self._vms = [
            _Vm(f"vm-{i}", specs, speeds, load) for i in range(load.vms)
        ]
        self._stream_by_waiter: dict[int, tuple[Stream, int]] = {}
        self.result = Result()

    def run(self) -> Result:
        random.seed(self._load.seed)
        if not self._load.streams:
            self._clock.schedule(0.0, self._arrive)
        for stream in self._load.streams:
            self._clock.schedule(stream.from_s, self._arrive_in, stream)
        for number, vm in enumerate(self._vms):
            offset = self._load.report_interval_s * number / len(self._vms)
            self._clock.schedule(offset, self._report, vm)
        self._clock.run()
        return self.result

    def _arrive(self, now: float) -> None:
        load = self._load
        if now >= load.duration_s:
            return
        self._clock.schedule(
            now + self._random.expovariate(load.per_s), self._arrive
        )
        vm = self._random.choice(self._vms)
        if load.has_arbiter:
            vm = self._vms[0]
        waiter = admission.Waiter(
            builders.route(objective_s=load.objective_s),
            builders.LOOKUPS,
            None,
            now,
            now + 3 * load.objective_s,
            load.service_s,
        )
        if not load.has_arbiter:
            self._offer(now, vm, waiter)
            return
        waiter.domain = builders.HOME
        self._clock.schedule(now + load.latency_s, self._offer, vm, waiter)

    def _arrive_in(self, now: float, stream: Stream) -> None:
        load = self._load
        if now >= min(load.duration_s, stream.until_s):
            return
        self._clock.schedule(
            now + self._random.expovariate(stream.per_s),
            self._arrive_in,
            stream,
        )
        self._enter(now, stream, stream.retries, now + self._timeout_s(stream))

    def _timeout_s(self, stream: Stream) -> float:
        return stream.timeout * self._load.objective_s

    def _enter(
        self, now: float, stream: Stream, retries: int, deadline: float
    ) -> None:
        """Lets an attempt of a caller arrive at a VM."""
        load = self._load
        entry = self._random.choice(stream.vms or range(load.vms))
        vm = self._vms[0 if load.has_arbiter else entry]
        waiter = admission.Waiter(
            builders.route(
                name=stream.kind,
                host=stream.organisation,
                priority=stream.priority,
                objective_s=load.objective_s,
                timeout_s=self._timeout_s(stream),
            ),
            builders.LOOKUPS,
            None,
            now,
            deadline,
            load.service_s,
        )
        self._stream_by_waiter[waiter.sequence] = stream, retries
        if load.has_arbiter:
            waiter.domain = builders.HOME
            now += load.latency_s
        self._clock.schedule(now, self._offer, vm, waiter)

    def _reject(self, now: float, waiter, rejection) -> None:
        self.result.rejected += 1
        known = self._stream_by_waiter.pop(waiter.sequence, None)
        if known is None:
            return
        stream, retries = known
        self._note_outcome(now, waiter, stream, False)
        left_s = waiter.deadline - now
        if retries and left_s > self._load.service_s:
            back_s = min(rejection.retry_after_s, left_s / 3)
            self._clock.schedule(
                now + back_s, self._enter, stream, retries - 1, waiter.deadline
            )

    def _note_outcome(self, now: float, waiter, stream, served: bool) -> None:
        is_in_time = served and now <= waiter.objective_at
        self.result.outcomes.append(
            Outcome(
                stream, waiter.arrived, now - waiter.arrived, served, is_in_time
            )
        )

    def _offer(self, now: float, vm, waiter) -> None:
        decided = vm.controller.offer(waiter, now)
        if isinstance(decided, admission.Rejection):
            self._reject(now, waiter, decided)
        elif decided is not None:
            self._send(now, vm, waiter, decided)

    def _send(self, now: float, vm, waiter, target) -> None:
        target.note_sent(waiter.sequence, now, waiter.expected_s)
        self.result.sends_by_upstream[target.id].append(now)
        if self._load.has_arbiter:
            self._clock.schedule(
                now + self._load.latency_s,
                self._arrive_at_upstream,
                vm,
                waiter,
                target,
            )
            return
        self._arrive_at_upstream(now, vm, waiter, target)

    def _arrive_at_upstream(self, now: float, vm, waiter, target) -> None:
        upstream = self._upstreams[target.id]
        if len(upstream.queue) >= self._load.queue_length and not upstream.free:
            self.result.unanswered += 1
            self._clock.schedule(
                waiter.deadline, self._release, vm, waiter, target
            )
            return
        # Gamma distribution of shape 4: the standard deviation is half of the
        # mean, as for the users' requests.
        service_s = self._random.gammavariate(4, self._load.service_s / 4)
        upstream.queue.append((vm, waiter, target, service_s, now))
        self._start(now, upstream)

    def _start(self, now: float, upstream: _Upstream) -> None:
        while upstream.free and upstream.queue:
            upstream.free -= 1
            vm, waiter, target, service_s, sent = upstream.queue.popleft()
            self.result.waits.append(now - sent)
            end = now + service_s / upstream.speed
            self._clock.schedule(
                end, self._finish, upstream, vm, waiter, target
            )

    def _finish(self, now: float, upstream, vm, waiter, target) -> None:
        upstream.free += 1
        if now <= waiter.objective_at:
            self.result.in_time += 1
        else:
            self.result.late += 1
        known = self._stream_by_waiter.pop(waiter.sequence, None)
        if known is not None:
            self._note_outcome(now, waiter, known[0], True)
        self._start(now, upstream)
        if self._load.has_arbiter:
            self._clock.schedule(
                now + self._load.latency_s, self._release, vm, waiter, target
            )
            return
        self._release(now, vm, waiter, target)

    def _release(self, now: float, vm, waiter, target) -> None:
        target.note_ended(waiter.sequence)
        self._dispatch(now, vm)

    def _dispatch(self, now: float, vm) -> None:
        assigned, rejected = vm.controller.dispatch(now)
        for waiter, rejection in rejected:
            self._reject(now, waiter, rejection)
        for waiter, target in assigned:
            self._send(now, vm, waiter, target)

    def _report(self, now: float, vm) -> None:
        if now < self._load.duration_s + 2.0:
            self._clock.schedule(
                now + self._load.report_interval_s, self._report, vm
            )
        for other in self._vms:
            if other is vm:
                continue
            for target in vm.target_table.by_id.values():
                counted = (target.in_flight, target.waiting, now)
                peer_target = other.target_table.by_id[target.id]
                peer_target.peer_counts[vm.name] = counted
            self._dispatch(now, other)
