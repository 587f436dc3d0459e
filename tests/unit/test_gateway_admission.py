"""Tests of admission: which requests get slots, wait or are rejected."""

import asyncio
import random

import pytest

from swiftstile.gateway import admission
from swiftstile.gateway import budget
from swiftstile.gateway import caller_retries
from swiftstile.gateway import gate
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from tests import gateway_builders as builders


def _admission(target_table) -> admission.AdmissionController:
    return admission.AdmissionController(target_table, builders.HOME, 2.0)


def test_free_target_is_assigned_immediately():
    table = builders.target_table(builders.upstream())
    assert _admission(table).offer(builders.waiter(), 0.0).id == "u-1"


def test_local_domain_is_preferred_while_it_has_capacity():
    table = builders.target_table(
        builders.upstream("u-1", failure_domain=builders.AWAY),
        builders.upstream("u-2"),
    )
    controller = _admission(table)
    builders.occupy(table.by_id["u-2"], 2)
    assert controller.offer(builders.waiter(), 0.0).id == "u-2"
    builders.occupy(table.by_id["u-2"], 2)
    assert controller.offer(builders.waiter(), 0.0).id == "u-1"


def test_large_body_waits_for_full_local_target_before_leaving_domain():
    table = builders.target_table(
        builders.upstream("u-1", failure_domain=builders.AWAY),
        builders.upstream("u-2"),
    )
    controller = _admission(table)
    builders.occupy(table.by_id["u-2"], 4)
    large = model.Repeatability.ONCE_LARGE
    assert controller.offer(builders.waiter(repeatability=large), 0.0) is None
    # A longer queue at home costs more than leaving the domain.
    builders.occupy(table.by_id["u-2"], 9)
    assigned, _ = controller.dispatch(0.0)
    assert [entry.target.id for entry in assigned] == ["u-1"]


def _queue_of_eight(seed: int):
    """Returns an admission queue with 20 VMs, and its requests in order."""
    drawn = random.Random(seed)
    table = builders.target_table(
        *(
            builders.upstream(
                f"u-{number}",
                address=f"127.0.0.1:{9000 + number}",
                failure_domain=drawn.choice([builders.HOME, builders.AWAY]),
            )
            for number in range(9)
        )
    )
    controller = _admission(table)
    controller.vm_count = 20
    for target in table.by_id.values():
        builders.occupy(target, 5)
    waiting = []
    for number in range(8):
        waiter = builders.waiter(objective_s=60.0, timeout_s=90.0)
        if number % 3 == 0:
            waiter.excluded.add(f"u-{number}")
        assert controller.offer(waiter, 0.0) is None
        waiting.append(waiter)
    for target in table.by_id.values():
        for token in range(drawn.randrange(4)):
            target.note_ended(-1 - token)
    return controller, waiting


@pytest.mark.parametrize("seed", range(40))
def test_batch_dispatch_matches_sequential_selection(seed):
    # One scan groups the targets once for all queued requests. Each slot that
    # it assigns must be visible to the requests that follow.
    controller, waiting = _queue_of_eight(seed)
    random.seed(seed)
    assigned, _ = controller.dispatch(0.0)
    together = {
        waiting.index(entry.waiter): entry.target.id for entry in assigned
    }
    controller, waiting = _queue_of_eight(seed)
    random.seed(seed)
    one_by_one = {}
    for number, waiter in enumerate(waiting):
        target = controller.select_target(waiter, 0.0)
        if target is not None:
            target.in_flight += 1
            one_by_one[number] = target.id
    assert together == one_by_one


def test_large_body_waits_in_local_domain_with_many_vms():
    # On the enlarged site hbrt-gw, uploads left their domain as soon as all of
    # its targets were full, which sent 0.2 GB between domains.
    table = builders.target_table(
        *(
            builders.upstream(
                f"u-{i}",
                address=f"127.0.0.1:{9000 + i}",
                failure_domain=builders.AWAY if i < 4 else builders.HOME,
            )
            for i in range(8)
        )
    )
    for target in table.by_id.values():
        if target.upstream.failure_domain == builders.HOME:
            builders.occupy(target, 4)
    large = model.Repeatability.ONCE_LARGE
    for _ in range(20):
        controller = _admission(table)
        controller.vm_count = 25
        waiter = builders.waiter(repeatability=large)
        assert controller.offer(waiter, 0.0) is None


def test_slow_target_is_skipped():
    table = builders.target_table(
        builders.upstream("u-1"), builders.upstream("u-2")
    )
    table.by_id["u-1"].slowness = 8.0
    assert _admission(table).offer(builders.waiter(), 0.0).id == "u-2"


def test_requests_of_other_vms_count_as_load():
    table = builders.target_table(
        builders.upstream("u-1"), builders.upstream("u-2")
    )
    table.by_id["u-1"].peer_counts["vm-2"] = (3, 0, 0.0)
    assert _admission(table).offer(builders.waiter(), 0.0).id == "u-2"


def test_counts_of_unresponsive_peer_expire():
    table = builders.target_table(builders.upstream())
    table.by_id["u-1"].peer_counts["vm-2"] = (9, 9, 0.0)
    late = 10.0
    assert table.by_id["u-1"].occupied(late) == 0
    assert table.by_id["u-1"].waiting_elsewhere(late) == 0


def test_request_that_cannot_meet_objective_is_rejected_immediately():
    table = builders.target_table(builders.upstream())
    controller = _admission(table)
    builders.occupy(table.by_id["u-1"], 4)
    rejected = None
    for _ in range(50):
        rejected = controller.offer(builders.waiter(), 0.0)
        if rejected is not None:
            break
    assert isinstance(rejected, admission.Rejection)
    least_s = admission.MIN_RETRY_AFTER * builders.route().objective_s
    assert rejected.retry_after_s >= least_s
    # Its wait would have exceeded the slack before the objective.
    assert rejected.wait_s > 0.25 * builders.route().objective_s


def test_requests_of_higher_priority_go_first():
    table = builders.target_table(builders.upstream())
    controller = _admission(table)
    builders.occupy(table.by_id["u-1"], 4)
    later = builders.waiter(priority=3)
    urgent = builders.waiter(priority=0)
    assert controller.offer(later, 0.0) is None
    assert controller.offer(urgent, 0.0) is None
    table.by_id["u-1"].note_ended(-1)
    assigned, rejected = controller.dispatch(0.0)
    assert [entry.waiter for entry in assigned] == [urgent]
    assert not rejected


def test_queued_request_without_time_left_is_rejected():
    table = builders.target_table(builders.upstream())
    controller = _admission(table)
    builders.occupy(table.by_id["u-1"], 4)
    waiter = builders.waiter()
    assert controller.offer(waiter, 0.0) is None
    _, rejected = controller.dispatch(waiter.deadline - 0.05)
    assert [entry for entry, _ in rejected] == [waiter]
    assert len(controller) == 0


def _contended() -> tuple[admission.AdmissionController, admission.Waiter]:
    """Returns admission to a full target, and a request late from 100.1 on."""
    table = builders.target_table(builders.upstream())
    builders.occupy(table.by_id["u-1"], 4, 100.0)
    controller = _admission(table)
    late = builders.waiter(99.75)
    assert controller.offer(late, 100.0) is None
    assert late.is_late(100.1) and not late.is_late(100.0)
    return controller, late


def test_late_request_is_rejected_under_continuous_contention():
    controller, late = _contended()
    now, last, rejected = 100.1, None, []
    while not rejected:
        # At each scan, a request that can be in time is waiting.
        fresh = builders.waiter(now)
        assert controller.offer(fresh, now) is None
        if last is not None:
            controller.remove(last)
        last = fresh
        _, rejected = controller.dispatch(now)
        now += 0.05
    assert [waiter for waiter, _ in rejected] == [late]
    # Rejected once others had waited this long without a break, long before its
    # deadline.
    contested_s = admission.CONTENTION_PERIOD * builders.route().objective_s
    assert 100.1 + contested_s <= now < 100.2 + contested_s < late.deadline


def test_late_request_keeps_waiting_under_intermittent_contention():
    controller, late = _contended()
    for step in range(8):
        now = 100.1 + 0.15 * step
        fresh = builders.waiter(now)
        assert controller.offer(fresh, now) is None
        assert controller.dispatch(now) == ([], [])
        # The fresh one is served, which interrupts the contention.
        controller.remove(fresh)
        assert controller.dispatch(now + 0.01) == ([], [])
    assert now > 100.1 + builders.route().objective_s
    assert len(controller) == 1


def test_late_request_without_owner_keeps_waiting_despite_others():
    controller = _admission(builders.target_table())
    lookup = builders.FixedOwner(None, ready_in_s=0.03)
    late = builders.waiter(99.65, owner=lookup)
    assert controller.offer(late, 100.0) is None
    for step in range(14):
        now = 100.1 + 0.05 * step
        assert controller.offer(builders.waiter(now, owner=lookup), now) is None
        assert controller.dispatch(now) == ([], [])
    assert now > 100.1 + builders.route().objective_s


def test_late_request_keeps_waiting_without_competitors():
    table = builders.target_table(builders.upstream())
    controller = _admission(table)
    builders.occupy(table.by_id["u-1"], 4)
    late = builders.waiter()
    assert controller.offer(late, 0.0) is None
    now = late.objective_at
    assert controller.dispatch(now) == ([], [])
    table.by_id["u-1"].note_ended(-1)
    assigned, _ = controller.dispatch(now)
    assert [entry.waiter for entry in assigned] == [late]


def test_late_request_is_unaffected_by_contention_for_another_owner():
    table = builders.target_table(
        builders.upstream("u-1"), builders.upstream("u-2")
    )
    controller = _admission(table)
    for target in table.by_id.values():
        builders.occupy(target, 4)
    owners = [builders.FixedOwner(table.by_id[name]) for name in table.by_id]
    late = builders.waiter(0.0, owner=owners[0])
    assert controller.offer(late, 0.0) is None
    now = late.objective_at
    assert controller.offer(builders.waiter(now, owner=owners[1]), now) is None
    assert controller.dispatch(now) == ([], [])


def test_request_for_key_without_owner_is_rejected_with_retry_time():
    controller = _admission(builders.target_table())
    lookup = builders.FixedOwner(None, ready_in_s=5.0)
    rejected = controller.offer(builders.waiter(owner=lookup), 0.0)
    assert isinstance(rejected, admission.Rejection)
    assert rejected.retry_after_s > 1.0


def test_queued_request_is_rejected_when_its_key_loses_its_owner():
    table = builders.target_table(builders.upstream())
    controller = _admission(table)
    builders.occupy(table.by_id["u-1"], 4)
    lookup = builders.FixedOwner(table.by_id["u-1"])
    waiter = builders.waiter(owner=lookup)
    assert controller.offer(waiter, 0.0) is None
    lookup.remove_owner(ready_in_s=0.3)
    assert controller.dispatch(0.1) == ([], [])
    lookup.remove_owner(ready_in_s=5.0)
    _, rejected = controller.dispatch(0.1)
    assert [entry for entry, _ in rejected] == [waiter]
    assert table.by_id["u-1"].waiting == 0


def test_lookup_waits_for_its_owner_beyond_its_objective():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    controller = _admission(table)
    builders.occupy(target, 12)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    assert (
        controller.expected_wait_s(waiter, 0.0) > builders.route().objective_s
    )
    assert controller.offer(waiter, 0.0) is None


def _contended_owner():
    """Returns an owner for which lookups that can be in time keep waiting."""
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    controller = _admission(table)
    builders.occupy(target, 5, 100.0)
    owner = builders.FixedOwner(target)
    now, last = 100.0, None
    while now < 100.0 + 2 * builders.route().objective_s:
        fresh = builders.waiter(now, owner)
        assert controller.offer(fresh, now) is None
        if last is not None:
            controller.remove(last)
        last = fresh
        controller.dispatch(now)
        now += 0.05
    return controller, target, owner, now


def test_late_lookup_is_rejected_under_continuous_contention():
    controller, target, owner, now = _contended_owner()
    builders.occupy(target, 7, now)
    rejected = controller.offer(builders.waiter(now, owner), now)
    assert isinstance(rejected, admission.Rejection)


def test_late_lookup_uses_idle_slots_only():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    controller = _admission(table)
    builders.occupy(target, 3)
    owner = builders.FixedOwner(target)
    late = builders.waiter(-0.59, owner)
    assert controller.offer(late, 0.0) is None
    assert controller.offer(builders.waiter(0.0, owner), 0.0) is target
    target.note_ended(-1)
    assert [entry.waiter for entry in controller.dispatch(0.0)[0]] == [late]


def test_lateness_depends_on_the_speed_of_the_owner():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    waiter.awaited = target
    assert not waiter.is_late(0.2)
    target.slowness = 2.0
    assert waiter.is_late(0.2)


def test_request_in_time_only_by_mean_service_time_is_late():
    waiter = builders.waiter()
    left_s = waiter.route.objective_s - waiter.expected_s
    assert waiter.is_late(left_s - 0.05)
    # Where the service time is nearly the objective, requests aren't late at
    # once.
    waiter.expected_s = 0.95 * waiter.route.objective_s
    assert not waiter.is_late(0.0)


def _retrying(key: int, arrived: float, left_s: float) -> admission.Waiter:
    waiter = builders.waiter(arrived)
    waiter.key, waiter.gives_up_at = key, arrived + left_s
    return waiter


def test_retry_is_recognised_by_key_and_deadline():
    tracker = caller_retries.RetryTracker()
    tracker.expect_retry(_retrying(7, 10.0, 0.8), retry_at=10.1)
    others = [
        _retrying(8, 10.1, 0.7),
        _retrying(7, 10.1, 0.75),
        _retrying(7, 10.02, 0.78),
    ]
    for other in others:
        tracker.match_retry(other, other.arrived)
        assert other.arrived > 10.0
    back = _retrying(7, 10.105, 0.693)
    tracker.match_retry(back, 10.105)
    assert back.arrived == 10.0
    again = _retrying(7, 10.106, 0.694)
    tracker.match_retry(again, 10.106)
    assert again.arrived == 10.106


def test_expected_retries_that_do_not_arrive_expire():
    tracker = caller_retries.RetryTracker()
    for number in range(100):
        tracker.expect_retry(_retrying(number, 10.0, 0.8), retry_at=10.1)
    tracker.match_retry(_retrying(500, 11.0, 0.8), 11.0)
    assert not tracker._by_key


def test_target_is_slow_only_beyond_its_usual_service_time():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    target.slowness = 2.0
    target.note_sent(1, 0.0, 0.2)
    # Twice its usual time is normal if it queued behind one request.
    assert target.slow_factor(0.8) == 2.0
    assert target.slow_factor(2.0) > 6.0


def test_rejection_names_the_overloaded_owner():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    # The queue is longer than the caller waits.
    builders.occupy(target, 40)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    rejected = _admission(table).offer(waiter, 0.0)
    assert rejected.owner == "u-1"


def test_request_waits_while_its_key_is_being_moved():
    controller = _admission(builders.target_table())
    lookup = builders.FixedOwner(None, ready_in_s=0.03)
    assert controller.offer(builders.waiter(owner=lookup), 0.0) is None


def test_leaving_target_gets_no_new_requests():
    table = builders.target_table(
        builders.upstream("u-1"), builders.upstream("u-2")
    )
    table.put(
        builders.upstream("u-1", state=model.UpstreamState.DRAINING), now=1.0
    )
    assert _admission(table).offer(builders.waiter(1.0), 1.0).id == "u-2"
    assert not table.by_id["u-1"].accepts_requests(3.1, drain_s=2.0)


def test_waiting_count_is_balanced_after_removals():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    controller = _admission(table)
    builders.occupy(target, 4)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    assert controller.offer(waiter, 0.0) is None
    assert target.waiting == 1
    controller.remove(waiter)
    controller.remove(waiter)
    assert target.waiting == 0


def test_replaced_target_is_not_used():
    table = builders.target_table(
        builders.upstream("u-1", address="127.0.0.1:1")
    )
    table.mark_unregistered("u-1", 1.0)
    table.put(builders.upstream("u-2", address="127.0.0.1:1"), 1.5)
    assert table.by_id["u-1"].is_replaced
    assert not table.by_id["u-1"].accepts_requests(1.5, drain_s=2.0)
    # A delayed registration must not reactivate it.
    table.put(builders.upstream("u-1", address="127.0.0.1:1"), 1.6)
    assert table.by_id["u-1"].leaving_since is not None


def test_retry_budget_is_a_fraction_of_the_requests():
    repeats = budget.RetryBudget(0.2, 50, 10.0)
    repeats.set_vm_count(10)
    for _ in range(100):
        repeats.note_request(builders.LOOKUPS, 0.0)
    spent = 0
    while repeats.can_spend(builders.LOOKUPS, 1.0):
        repeats.spend(builders.LOOKUPS, 1.0)
        spent += 1
    assert 0 < spent <= budget.SAFETY_FACTOR * (0.2 * 100 + 5)
    # The sliding window has moved on.
    assert repeats.can_spend(builders.LOOKUPS, 11.5)


def test_speeds_are_learned_from_all_vms_and_expire():
    table = speeds.SpeedTable()

    def ratio(name: str, now: float) -> float:
        return table.ratios(now).get(name, speeds.DEFAULT_RATIO)

    samples = {model.UpstreamId("u-1"): (200, 300)}
    table.receive(model.NodeId("vm-2"), samples, 0.0)
    assert ratio("u-1", 0.0) > 2.0
    assert ratio("u-1", 30.0) == 1.0
    for _ in range(20):
        table.add_sample("u-2", 4.0, 0.0)
    assert ratio("u-2", 0.0) > 3.0
    assert ratio("u-2", 40.0) < 1.2
    assert speeds.SpeedTable().own_samples(0.0) == {}


def test_speeds_differ_only_after_enough_responses():
    table = speeds.SpeedTable()
    asked, unasked = model.UpstreamId("u-0"), model.UpstreamId("u-1")
    slow = model.UpstreamId("u-2")
    members = [asked, unasked, slow]
    for _ in range(4):
        table.add_sample(asked, 0.2, 0.0)
        table.add_sample(slow, 0.4, 0.0)
    assert table.placement_ratios(members, 0.0) == dict.fromkeys(members, 1.0)
    for _ in range(40):
        table.add_sample(asked, 0.2, 0.0)
        table.add_sample(slow, 0.4, 0.0)
    ratios = table.placement_ratios(members, 0.0)
    assert ratios[asked] < ratios[unasked] < ratios[slow]


def test_one_unanswered_request_makes_a_target_slow():
    table = builders.target_table(builders.upstream())
    target = table.by_id["u-1"]
    target.note_sent(1, 0.0, 0.2)
    assert target.slow_factor(0.1) == 1.0
    assert target.slow_factor(2.0) > 5.0
    target.note_ended(1)
    assert target.slow_factor(2.0) == 1.0


class _ScanCounter(admission.AdmissionController):
    """Counts scans of the queue."""

    def __init__(self, target_table, vms: int):
        super().__init__(target_table, builders.HOME, 2.0)
        self.vm_count = vms
        self.count = 0

    def dispatch(self, now, only=None):
        self.count += 1
        return super().dispatch(now, only)


@pytest.mark.parametrize(("vms", "scans"), [(4, 6), (25, 1)])
def test_reports_of_many_vms_do_not_each_trigger_a_queue_scan(vms, scans):
    async def scenario():
        table = builders.target_table(builders.upstream())
        now = gate.clocks.monotonic()
        builders.occupy(table.by_id["u-1"], 4, now)
        controller = _ScanCounter(table, vms)
        made = gate.Gate(controller, lambda waiter: None)
        waiting = asyncio.create_task(made.acquire(builders.waiter(now)))
        while not len(controller):
            await asyncio.sleep(0)
        for _ in range(5):
            made.on_peer_report()
        # A free slot triggers a scan whatever the number of VMs.
        table.by_id["u-1"].note_ended(-1)
        made.dispatch()
        assert (await waiting).id == "u-1"
        assert controller.count == scans

    asyncio.run(scenario())


def test_an_upstream_that_wants_a_pause_is_not_selected():
    table = builders.target_table(builders.upstream("u-1"))
    table.put(builders.upstream("u-2"), 0.0)
    table.by_id["u-1"].backoff_until = 3.0
    decisions = _admission(table)
    assert decisions.offer(builders.waiter(1.0), 1.0).id == "u-2"


def test_where_all_upstreams_want_a_pause_requests_are_refused_at_once():
    table = builders.target_table(builders.upstream("u-1"))
    table.put(builders.upstream("u-2"), 0.0)
    table.by_id["u-1"].backoff_until = 6.0
    table.by_id["u-2"].backoff_until = 4.5
    rejection = _admission(table).offer(builders.waiter(1.0), 1.0)
    assert isinstance(rejection, admission.Rejection)
    assert 3.5 <= rejection.retry_after_s <= 3.5 * (1 + admission.RETRY_JITTER)


def test_a_request_waits_for_a_pause_that_ends_in_time():
    table = builders.target_table(builders.upstream("u-1"))
    table.by_id["u-1"].backoff_until = 1.1
    decisions = _admission(table)
    assert decisions.offer(builders.waiter(1.0), 1.0) is None
    assert decisions.dispatch(1.05) == ([], [])
    assigned, rejected = decisions.dispatch(1.11)
    assert [entry.target.id for entry in assigned] == ["u-1"]
    assert rejected == []


def test_requests_of_other_vms_are_not_bound_by_a_pause_of_the_arbiter():
    table = builders.target_table(builders.upstream("u-1"))
    table.by_id["u-1"].backoff_until = 3.0
    waiter = builders.waiter(1.0, builders.FixedOwner(table.by_id["u-1"]))
    waiter.is_for_peer = True
    assert _admission(table).offer(waiter, 1.0) is table.by_id["u-1"]
