"""Simulates lookups of keys that each have one owner.

An arbiter decides for all VMs, as in `permits.py`. Permit requests and
responses, the lookups themselves and reports of their end take the latency
between failure domains. Owners run `slots` requests concurrently, each owner at
its own speed, and queue others in order. Rejected callers retry once or more
at the time they were given. A simulation is determined by its seed.
"""

import collections
import dataclasses
import random

from swiftstile.gateway import admission
from swiftstile.gateway import caller_retries
from swiftstile.gateway import retry_schedule
from tests import event_clock
from tests import gateway_builders as builders
from tests import load_builders


@dataclasses.dataclass(frozen=True)
class KeyedLoad:
    """Parameters of a simulation.

    Attributes:
        speeds: Speed of each owner.
        shares: Relative load of each owner; proportional to speed if empty.
        per_s: Requests/s of all callers together.
        hot_per_s: Additional requests/s for the first owner.
        hot_from_s, hot_until_s: Period of the additional requests.
        service_s: Mean service time of a request at an owner of speed 1.
        objective_s: Latency objective.
        wait_s: How long a caller waits.
        latency_s: One-way latency between two VMs, or a VM and an owner.
        slots: Concurrent requests of an owner.
        duration_s: Duration of arrivals.
        seed: Random seed of arrivals and service times.
        max_retries: How often a caller retries.
        has_reservations: Whether capacity is reserved for rejected callers.
        has_queue_limits, has_fair_shares: Whether these rules apply.
    """

    speeds: tuple[float, ...] = (0.5, 1.0, 1.0, 1.5)
    shares: tuple[float, ...] = ()
    per_s: float = 100.0
    hot_per_s: float = 0.0
    hot_from_s: float = 5.0
    hot_until_s: float = 10.0
    service_s: float = 0.06
    objective_s: float = 0.2
    wait_s: float = 0.8
    latency_s: float = 0.0014
    slots: int = 2
    duration_s: float = 20.0
    seed: int = 1
    max_retries: int = 1
    has_reservations: bool = False
    has_queue_limits: bool = False
    has_fair_shares: bool = False


@dataclasses.dataclass
class Result:
    """Results of callers.

    Attributes:
        in_time: Responses within the objective, counted from the first attempt.
        late: Later responses.
        rejected: Callers that were rejected after their last retry, or too late
            to retry.
        rejected_twice: Callers that were rejected at least twice.
        first_in_time: Responses in time to first attempts.
        retried: Callers that retried after a rejection.
        rejection_waits_s: Times that requests waited until their rejection.
    """

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    rejected_twice: int = 0
    first_in_time: int = 0
    retried: int = 0
    rejection_waits_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.rejected

    def value(self, late_value: float = 0.5) -> float:
        """Returns the value of the responses, relative to the maximum."""
        return (self.in_time + late_value * self.late) / self.total


class _Owner:

    def __init__(self, speed: float, slots: int):
        self.speed = speed
        self.free = slots
        self.queue = collections.deque()


@dataclasses.dataclass
class _Caller:
    """One caller's request, with times relative to its first attempt."""

    owner: str
    first_at: float
    key: int
    wait_s: float
    retries: int = 0


class KeyedSimulation:
    """Runs one simulation."""

    def __init__(self, load: KeyedLoad):
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = event_clock.EventClock()
        specs = [
            builders.upstream(
                f"u-{i}", address=f"127.0.0.1:{9000 + i}", slots=load.slots
            )
            for i in range(len(load.speeds))
        ]
        self._targets = builders.target_table(*specs)
        self._owners = {}
        for spec, speed in zip(specs, load.speeds, strict=True):
            self._owners[spec.id] = _Owner(speed, load.slots)
            self._targets.by_id[spec.id].slowness = 1.0 / speed
        self._controller = admission.AdmissionController(
            self._targets,
            builders.HOME,
            2.0,
            retry_tracker=caller_retries.RetryTracker(
                lambda: load.has_reservations
            ),
            schedule=retry_schedule.RetrySchedule(
                lambda: load.has_reservations
            ),
            rules=load_builders.rules(
                load.has_queue_limits, load.has_fair_shares
            ),
        )
        self._callers: dict[int, _Caller] = {}
        self.result = Result()

    def run(self) -> Result:
        random.seed(self._load.seed)
        self._clock.schedule(0.0, self._arrive)
        self._clock.schedule(self._load.hot_from_s, self._arrive_hot)
        self._clock.schedule(0.0, self._scan)
        self._clock.run()
        return self.result

    def _arrive(self, now: float) -> None:
        load = self._load
        if now >= load.duration_s:
            return
        self._clock.schedule(
            now + self._random.expovariate(load.per_s), self._arrive
        )
        owners = list(self._owners)
        weights = load.shares or load.speeds
        owner = self._random.choices(owners, weights)[0]
        key = self._random.randrange(2000)
        self._clock.schedule(
            now + load.latency_s,
            self._arrive_at_arbiter,
            self._caller(owner, now, key),
        )

    def _caller(self, owner: str, now: float, key: int) -> _Caller:
        # Timeouts of callers differ by up to 15%.
        wait_s = self._load.wait_s * self._random.uniform(0.85, 1.0)
        return _Caller(owner, now, key, wait_s)

    def _arrive_hot(self, now: float) -> None:
        load = self._load
        if not load.hot_per_s or now >= load.hot_until_s:
            return
        wait_s = self._random.expovariate(load.hot_per_s)
        self._clock.schedule(now + wait_s, self._arrive_hot)
        owner = next(iter(self._owners))
        self._clock.schedule(
            now + load.latency_s,
            self._arrive_at_arbiter,
            self._caller(owner, now, -1),
        )

    def _scan(self, now: float) -> None:
        """Scans the queue periodically, as estimates change over time."""
        if now < self._load.duration_s + self._load.wait_s:
            self._clock.schedule(now + 0.02, self._scan)
        self._dispatch(now)

    def _arrive_at_arbiter(self, now: float, caller: _Caller) -> None:
        load = self._load
        target = self._targets.by_id[caller.owner]
        waiter = admission.Waiter(
            builders.route(objective_s=load.objective_s),
            builders.LOOKUPS,
            builders.FixedOwner(target),
            now - load.latency_s,
            caller.first_at + caller.wait_s,
            load.service_s,
            caller.key,
            caller.first_at + caller.wait_s + self._random.uniform(0, 0.004),
        )
        self._callers[waiter.sequence] = caller
        self._dispatch(now)
        decided = self._controller.offer(waiter, now)
        if isinstance(decided, admission.Rejection):
            self._reject(now, waiter, decided)
        elif decided is not None:
            self._grant(now, waiter, decided)

    def _reject(self, now: float, waiter, rejection) -> None:
        load = self._load
        caller = self._callers.pop(waiter.sequence)
        self.result.rejection_waits_s.append(now - waiter.arrived)
        left_s = caller.first_at + caller.wait_s - now
        back_s = min(rejection.retry_after_s, left_s / 3)
        self.result.rejected_twice += caller.retries == 1
        if caller.retries == load.max_retries or left_s < 0.05:
            self.result.rejected += 1
            return
        caller.retries += 1
        self.result.retried += 1
        self._clock.schedule(
            now + load.latency_s + back_s, self._arrive_at_arbiter, caller
        )

    def _grant(self, now: float, waiter, target) -> None:
        target.note_sent(waiter.sequence, now, waiter.expected_s)
        self._clock.schedule(
            now + 2 * self._load.latency_s,
            self._arrive_at_owner,
            waiter,
            target,
        )

    def _arrive_at_owner(self, now: float, waiter, target) -> None:
        owner = self._owners[target.id]
        # Gamma distribution of shape 4: the standard deviation is half of the
        # mean, as for the users' requests.
        service_s = self._random.gammavariate(4, self._load.service_s / 4)
        owner.queue.append((waiter, target, service_s))
        self._start(now, owner)

    def _start(self, now: float, owner: _Owner) -> None:
        while owner.free and owner.queue:
            owner.free -= 1
            waiter, target, service_s = owner.queue.popleft()
            end = now + service_s / owner.speed
            self._clock.schedule(end, self._finish, owner, waiter, target)

    def _finish(self, now: float, owner: _Owner, waiter, target) -> None:
        owner.free += 1
        caller = self._callers.pop(waiter.sequence)
        took_s = now + self._load.latency_s - caller.first_at
        if took_s <= self._load.objective_s:
            self.result.in_time += 1
            self.result.first_in_time += caller.retries == 0
        elif took_s <= caller.wait_s:
            self.result.late += 1
        else:
            self.result.rejected += 1
        self._start(now, owner)
        self._clock.schedule(
            now + 2 * self._load.latency_s, self._release, waiter, target
        )

    def _release(self, now: float, waiter, target) -> None:
        target.note_ended(waiter.sequence)
        self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        assigned, rejected = self._controller.dispatch(now)
        for waiter, target in assigned:
            self._grant(now, waiter, target)
        for waiter, rejection in rejected:
            self._reject(now, waiter, rejection)
