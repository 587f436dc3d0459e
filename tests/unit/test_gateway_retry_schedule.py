"""Tests reservations for callers that were rejected and will come back."""

import functools

import pytest

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import caller_retries
from swiftstile.gateway import coldstart
from swiftstile.gateway import retry_schedule
from tests import gateway_builders as builders
from tests import keyed_load_simulation
from tests import load_builders

_OWNER = (builders.LOOKUPS, "u-1")
# Capacity of an owner of two slots, at 0.16 s per request.
_PER_S = 12.5
_SEEDS = (1, 2, 3, 4, 5, 6)
_LOADS = (1.3, 2.0, 5.0)


def _schedule(is_enabled: bool = True) -> retry_schedule.RetrySchedule:
    return retry_schedule.RetrySchedule(lambda: is_enabled, metrics.Meters())


def _reserve_all(schedule, bounds, per_s: float = _PER_S) -> list[float]:
    times = []
    while True:
        at = schedule.reserve(_OWNER, bounds, per_s, 10.0)
        if at is None:
            return times
        times.append(at)


@pytest.mark.parametrize("per_s", [3.0, _PER_S, 37.5, 300.0])
def test_reservations_leave_first_attempts_their_part(per_s):
    # Guards against a hot key whose callers reserve the whole capacity.
    bounds = retry_schedule.Bounds(10.0, 14.0)
    times = _reserve_all(_schedule(), bounds, per_s)
    assert 0 < len(times) <= retry_schedule.MAX_RESERVED_SHARE * per_s * 4.0 + 1
    assert all(10.0 <= at <= 14.0 for at in times)
    # At any second, not only on average.
    for start in times:
        count = sum(start <= at < start + 1.0 for at in times)
        assert count <= 0.5 * per_s + 1


def test_reservations_are_spread_over_the_capacity():
    times = _reserve_all(_schedule(), retry_schedule.Bounds(10.0, 12.0), 50.0)
    gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert min(gaps) >= 0.5 / (retry_schedule.MAX_RESERVED_SHARE * 50.0)


def test_no_time_is_reserved_outside_the_bounds():
    schedule = _schedule()
    assert not _reserve_all(schedule, retry_schedule.Bounds(10.5, 10.4))
    assert schedule.reserve(_OWNER, (10.0, 11.0), 0.0, 10.0) is None


def test_used_reservations_are_no_longer_due():
    schedule = _schedule()
    at = schedule.reserve(
        _OWNER, retry_schedule.Bounds(10.0, 11.0), _PER_S, 10.0
    )
    assert schedule.due(_OWNER, 11.0, 10.0) == 1
    assert schedule.due(_OWNER, at - 0.01, 10.0) == 0
    assert schedule.consume(_OWNER, at, at)
    assert schedule.due(_OWNER, 11.0, 10.0) == 0
    assert not schedule.consume(_OWNER, at, at)


def test_unused_reservations_lapse():
    # Guards against slots that stay reserved for callers that don't return.
    schedule = _schedule()
    at = schedule.reserve(
        _OWNER, retry_schedule.Bounds(10.0, 11.0), _PER_S, 10.0
    )
    lapsed_at = at + retry_schedule.LAPSE_S
    assert schedule.due(_OWNER, 12.0, lapsed_at - 0.01) == 1
    assert schedule.due(_OWNER, 12.0, lapsed_at + 0.01) == 0
    assert not schedule.consume(_OWNER, at, lapsed_at + 0.01)
    schedule.consume(_OWNER, 0.0, lapsed_at + 1.0)
    assert not schedule._times_by_bucket


def _overloaded(
    is_enabled: bool, limits=coldstart.UNLIMITED, has_queue_limits=False
):
    """Returns admission control with a saturated owner, and the owner."""
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    builders.occupy(target, 4)
    tracker = caller_retries.RetryTracker(lambda: is_enabled)
    controller = admission.AdmissionController(
        table,
        builders.HOME,
        2.0,
        limits,
        retry_tracker=tracker,
        schedule=_schedule(is_enabled),
        rules=load_builders.rules(has_queue_limits, has_shares=False),
    )
    return controller, target


def _caller(target, now: float, left_s: float) -> admission.Waiter:
    waiter = builders.waiter(now, builders.FixedOwner(target), timeout_s=left_s)
    waiter.key, waiter.gives_up_at = 7, now + left_s
    return waiter


@pytest.mark.parametrize("has_queue_limits", [False, True])
def test_a_caller_that_returns_as_reserved_goes_before_first_attempts(
    has_queue_limits,
):
    # Guards against a second rejection of the same caller, also by a queue
    # limit.
    controller, target = _overloaded(
        is_enabled=True, has_queue_limits=has_queue_limits
    )
    rejected = None
    for _ in range(40):
        waiter = _caller(target, 0.0, 0.85)
        decided = controller.offer(waiter, 0.0)
        if isinstance(decided, admission.Rejection) and decided.is_reserved:
            rejected = decided
            break
    assert rejected is not None
    back_at = rejected.retry_after_s
    assert back_at <= 0.85 / 3
    returned = _caller(target, back_at, 0.85 - back_at)
    assert controller.offer(returned, back_at) is None
    assert returned.is_reserved and returned.rejections == 1
    first = _caller(target, back_at, 2.0)
    assert returned.rank(back_at) < first.rank(back_at)


def test_a_caller_that_returns_too_early_counts_as_a_first_attempt():
    controller, target = _overloaded(is_enabled=True)
    while True:
        decided = controller.offer(_caller(target, 0.0, 0.85), 0.0)
        if isinstance(decided, admission.Rejection):
            break
    back_at = decided.retry_after_s - 0.02
    returned = _caller(target, back_at, 0.85 - back_at)
    controller.offer(returned, back_at)
    assert returned.turn is caller_retries.Turn.NORMAL
    assert returned.rejections == 0 and returned.arrived == back_at


def test_if_switched_off_nothing_is_reserved():
    controller, target = _overloaded(is_enabled=False)
    for _ in range(40):
        decided = controller.offer(_caller(target, 0.0, 0.85), 0.0)
    assert not decided.is_reserved
    assert not controller._reservations.schedule._times_by_bucket


@functools.cache
def _results(
    objective_s: float,
    wait_s: float,
    max_retries: int,
    part: float,
    has_reservations: bool,
) -> list[keyed_load_simulation.Result]:
    """Returns what callers of an owner get at a multiple of its capacity."""
    return [
        keyed_load_simulation.KeyedSimulation(
            keyed_load_simulation.KeyedLoad(
                speeds=(1.0,),
                per_s=part * _PER_S,
                service_s=0.16,
                objective_s=objective_s,
                wait_s=wait_s,
                duration_s=15.0,
                seed=seed,
                max_retries=max_retries,
                has_reservations=has_reservations,
            )
        ).run()
        for seed in _SEEDS
    ]


def _sum(results, field: str) -> int:
    return sum(getattr(result, field) for result in results)


# Objective, deadline, and value of a late answer.
_CALLERS = [(0.88, 2.2, 0.11), (1.3, 6.4, 0.5)]


@pytest.mark.parametrize(("objective_s", "wait_s", "late_value"), _CALLERS)
def test_reservations_serve_callers_better(objective_s, wait_s, late_value):
    # Summed over loads and retries, relative to the capacity.
    value = {False: 0.0, True: 0.0}
    rejected_twice = {False: 0.0, True: 0.0}
    for max_retries in (1, 2):
        for part in _LOADS:
            for has_reservations in (False, True):
                results = _results(
                    objective_s, wait_s, max_retries, part, has_reservations
                )
                callers = _sum(results, "total") / part
                worth = _sum(results, "in_time")
                worth += late_value * _sum(results, "late")
                value[has_reservations] += worth / callers
                rejected_twice[has_reservations] += (
                    _sum(results, "rejected_twice") / callers
                )
    assert value[True] > value[False]
    assert rejected_twice[True] < rejected_twice[False]


@pytest.mark.parametrize("part", _LOADS)
@pytest.mark.parametrize("max_retries", [1, 2])
@pytest.mark.parametrize(("objective_s", "wait_s", "_late_value"), _CALLERS)
def test_first_attempts_get_half_of_the_answers_in_time(
    objective_s, wait_s, _late_value, max_retries, part
):
    # Guards against a hot key of which only rejected callers are served.
    results = _results(objective_s, wait_s, max_retries, part, True)
    in_time = _sum(results, "in_time")
    assert _sum(results, "first_in_time") >= 0.5 * in_time


def test_if_switched_off_callers_get_what_they_got_before():
    # The figures are those of the commit before reservations, 2a7d396.
    before = {1.3: (722, 102, 213, 298), 2.0: (697, 157, 804, 954)}
    for part, expected in before.items():
        result = keyed_load_simulation.KeyedSimulation(
            keyed_load_simulation.KeyedLoad(
                per_s=part * 400 / 3, duration_s=6.0
            )
        ).run()
        counts = (result.in_time, result.late, result.rejected, result.retried)
        assert counts == expected


class _Blocked(type(coldstart.UNLIMITED)):
    """Limits that let this VM send nothing to a cold upstream."""

    def is_blocked(self, target, now) -> bool:
        return now < target.cold_until


def _drain(target) -> None:
    target.announced_leaving_at = -5.0


def _make_cold(target) -> None:
    target.cold_until = 0.5


def _back_off(target) -> None:
    target.backoff_until = 0.5


@pytest.mark.parametrize("change", [_drain, _make_cold, _back_off])
def test_requests_wait_for_an_owner_without_capacity_and_with_reservations(
    change,
):
    # Guards against a division by the capacity of no upstreams.
    controller, target = _overloaded(is_enabled=True, limits=_Blocked())
    while controller.offer(_caller(target, 0.0, 0.85), 0.0) is None:
        pass
    assert controller._reservations.schedule.due(
        (builders.LOOKUPS, "u-1"), 1.0, 0.0
    )
    change(target)
    waiter = _caller(target, 0.1, 2.0)
    waiter.owner = builders.FixedOwner(target, ready_in_s=0.4)
    assert controller.offer(waiter, 0.1) is None


def test_callers_that_return_as_told_never_go_after_first_attempts():
    # Guards against callers that are worse off because they were recognised:
    # without a reservation, a caller goes by the arrival of its retry.
    controller, target = _overloaded(is_enabled=True)
    tracker = controller._reservations.retry_tracker
    tracker.expect_retry(_caller(target, 0.0, 0.85), 0.25, 0.01)
    returned = _caller(target, 0.25, 0.6)
    tracker.match_retry(returned, 0.25)
    assert returned.rejections == 1 and not returned.is_reserved
    first = _caller(target, 0.26, 2.0)
    assert returned.rank(0.26) < first.rank(0.26)


def test_a_request_that_is_offered_again_has_no_reservation_any_more():
    # Guards against a reservation that takes two slots, as an upstream rejected
    # the request that used it.
    controller, target = _overloaded(is_enabled=True)
    waiter = _caller(target, 0.0, 0.85)
    waiter.turn = caller_retries.Turn.RESERVED
    controller.offer(waiter, 0.0)
    assert not waiter.is_reserved


def test_a_caller_that_waits_for_less_than_its_reservation_uses_it():
    # Guards against a reservation that is looked up by the time at which its
    # caller returns, which may be earlier or rounded.
    controller, target = _overloaded(is_enabled=True)
    now = 0.1 + 0.2
    waiter = _caller(target, now, 0.85)
    waiter.awaited = target
    at = controller._reservations.reserve(waiter, now)
    controller._reservations.retry_tracker.expect_retry(
        waiter, now + (at - now), now, at
    )
    returned = _caller(target, at, now + 0.85 - at)
    controller.offer(returned, at)
    assert returned.is_reserved
