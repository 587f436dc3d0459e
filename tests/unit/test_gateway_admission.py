"""Who gets a slot, who waits, who is refused."""

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


def _admission(book) -> admission.Admission:
    return admission.Admission(book, builders.HOME, 2.0)


def test_a_free_target_is_given_at_once():
    book = builders.book(builders.upstream())
    assert _admission(book).offer(builders.waiter(), 0.0).id == "u-1"


def test_the_own_domain_goes_first_while_it_has_room():
    book = builders.book(
        builders.upstream("u-1", failure_domain=builders.AWAY),
        builders.upstream("u-2"),
    )
    decisions = _admission(book)
    builders.occupy(book.by_id["u-2"], 2)
    assert decisions.offer(builders.waiter(), 0.0).id == "u-2"
    builders.occupy(book.by_id["u-2"], 2)
    assert decisions.offer(builders.waiter(), 0.0).id == "u-1"


def test_a_full_target_at_home_is_waited_for_before_a_large_body_leaves():
    book = builders.book(
        builders.upstream("u-1", failure_domain=builders.AWAY),
        builders.upstream("u-2"),
    )
    decisions = _admission(book)
    builders.occupy(book.by_id["u-2"], 4)
    large = model.Repeatability.ONCE_LARGE
    assert decisions.offer(builders.waiter(repeatability=large), 0.0) is None
    # A queue at home that costs more than the way is not.
    builders.occupy(book.by_id["u-2"], 9)
    assigned, _ = decisions.pump(0.0)
    assert [entry.target.id for entry in assigned] == ["u-1"]


def _queue_of_eight(seed: int):
    """Returns a queue of many VMs, and what waits there, in order."""
    drawn = random.Random(seed)
    book = builders.book(
        *(
            builders.upstream(
                f"u-{number}",
                address=f"127.0.0.1:{9000 + number}",
                failure_domain=drawn.choice([builders.HOME, builders.AWAY]),
            )
            for number in range(9)
        )
    )
    decisions = _admission(book)
    decisions.vms = 20
    for target in book.by_id.values():
        builders.occupy(target, 5)
    waiting = []
    for number in range(8):
        waiter = builders.waiter(objective_s=60.0, timeout_s=90.0)
        if number % 3 == 0:
            waiter.excluded.add(f"u-{number}")
        assert decisions.offer(waiter, 0.0) is None
        waiting.append(waiter)
    for target in book.by_id.values():
        for token in range(drawn.randrange(4)):
            target.note_ended(-1 - token)
    return decisions, waiting


@pytest.mark.parametrize("seed", range(40))
def test_those_that_wait_together_are_placed_as_one_by_one(seed):
    # A look at the queue goes through the targets once for all that wait; each
    # slot that it gives has to be seen by those that come after.
    decisions, waiting = _queue_of_eight(seed)
    random.seed(seed)
    assigned, _ = decisions.pump(0.0)
    together = {
        waiting.index(entry.waiter): entry.target.id for entry in assigned
    }
    decisions, waiting = _queue_of_eight(seed)
    random.seed(seed)
    one_by_one = {}
    for number, waiter in enumerate(waiting):
        target = decisions.pick(waiter, 0.0)
        if target is not None:
            target.in_flight += 1
            one_by_one[number] = target.id
    assert together == one_by_one


def test_of_many_vms_too_a_large_body_waits_at_home():
    # Found on the grown hbrt-gw: uploads left their domain as soon as all of
    # its targets were full, at 0.2 GB between domains.
    book = builders.book(
        *(
            builders.upstream(
                f"u-{i}",
                address=f"127.0.0.1:{9000 + i}",
                failure_domain=builders.AWAY if i < 4 else builders.HOME,
            )
            for i in range(8)
        )
    )
    for target in book.by_id.values():
        if target.upstream.failure_domain == builders.HOME:
            builders.occupy(target, 4)
    large = model.Repeatability.ONCE_LARGE
    for _ in range(20):
        decisions = _admission(book)
        decisions.vms = 25
        waiter = builders.waiter(repeatability=large)
        assert decisions.offer(waiter, 0.0) is None


def test_a_slow_target_is_passed_over():
    book = builders.book(builders.upstream("u-1"), builders.upstream("u-2"))
    book.by_id["u-1"].slowness = 8.0
    assert _admission(book).offer(builders.waiter(), 0.0).id == "u-2"


def test_requests_of_other_vms_count():
    book = builders.book(builders.upstream("u-1"), builders.upstream("u-2"))
    book.by_id["u-1"].peer_counts["vm-2"] = (3, 0, 0.0)
    assert _admission(book).offer(builders.waiter(), 0.0).id == "u-2"


def test_what_a_silent_peer_told_is_forgotten():
    book = builders.book(builders.upstream())
    book.by_id["u-1"].peer_counts["vm-2"] = (9, 9, 0.0)
    late = 10.0
    assert book.by_id["u-1"].occupied(late) == 0
    assert book.by_id["u-1"].waiting_elsewhere(late) == 0


def test_a_request_that_cannot_be_in_time_is_refused_at_once():
    book = builders.book(builders.upstream())
    decisions = _admission(book)
    builders.occupy(book.by_id["u-1"], 4)
    refused = None
    for _ in range(50):
        refused = decisions.offer(builders.waiter(), 0.0)
        if refused is not None:
            break
    assert isinstance(refused, admission.Overload)
    least_s = admission.LEAST_RETRY_AFTER * builders.route().objective_s
    assert refused.retry_after_s >= least_s
    # Its wait would have been beyond what the objective leaves.
    assert refused.wait_s > 0.25 * builders.route().objective_s


def test_urgent_requests_go_first():
    book = builders.book(builders.upstream())
    decisions = _admission(book)
    builders.occupy(book.by_id["u-1"], 4)
    later = builders.waiter(priority=3)
    urgent = builders.waiter(priority=0)
    assert decisions.offer(later, 0.0) is None
    assert decisions.offer(urgent, 0.0) is None
    book.by_id["u-1"].note_ended(-1)
    assigned, refused = decisions.pump(0.0)
    assert [entry.waiter for entry in assigned] == [urgent]
    assert not refused


def test_a_waiting_request_without_time_left_is_refused():
    book = builders.book(builders.upstream())
    decisions = _admission(book)
    builders.occupy(book.by_id["u-1"], 4)
    waiter = builders.waiter()
    assert decisions.offer(waiter, 0.0) is None
    _, refused = decisions.pump(waiter.end - 0.05)
    assert [entry for entry, _ in refused] == [waiter]
    assert len(decisions) == 0


def _crowded() -> tuple[admission.Admission, admission.Waiter]:
    """Returns a full target and a request that waits and is late by 100.1."""
    book = builders.book(builders.upstream())
    builders.occupy(book.by_id["u-1"], 4, 100.0)
    decisions = _admission(book)
    late = builders.waiter(99.75)
    assert decisions.offer(late, 100.0) is None
    assert late.is_late(100.1) and not late.is_late(100.0)
    return decisions, late


def test_a_late_request_that_others_would_always_overtake_is_refused():
    decisions, late = _crowded()
    now, last, refused = 100.1, None, []
    while not refused:
        # One that can be in time waits at each look.
        fresh = builders.waiter(now)
        assert decisions.offer(fresh, now) is None
        if last is not None:
            decisions.leave(last)
        last = fresh
        _, refused = decisions.pump(now)
        now += 0.05
    assert [waiter for waiter, _ in refused] == [late]
    # Others waited for that long without a break; and far before its end.
    contested_s = admission.CROWDED_AFTER * builders.route().objective_s
    assert 100.1 + contested_s <= now < 100.2 + contested_s < late.end


def test_a_late_request_waits_on_where_others_are_served_now_and_then():
    decisions, late = _crowded()
    for step in range(8):
        now = 100.1 + 0.15 * step
        fresh = builders.waiter(now)
        assert decisions.offer(fresh, now) is None
        assert decisions.pump(now) == ([], [])
        # The fresh one is served, so that none waits for a moment.
        decisions.leave(fresh)
        assert decisions.pump(now + 0.01) == ([], [])
    assert now > 100.1 + builders.route().objective_s
    assert len(decisions) == 1


def test_a_late_request_waits_for_an_owner_whoever_else_does():
    decisions = _admission(builders.book())
    lookup = builders.FixedOwner(None, ready_in_s=0.03)
    late = builders.waiter(99.65, owner=lookup)
    assert decisions.offer(late, 100.0) is None
    for step in range(14):
        now = 100.1 + 0.05 * step
        assert decisions.offer(builders.waiter(now, owner=lookup), now) is None
        assert decisions.pump(now) == ([], [])
    assert now > 100.1 + builders.route().objective_s


def test_a_late_request_goes_on_waiting_while_nobody_else_does():
    book = builders.book(builders.upstream())
    decisions = _admission(book)
    builders.occupy(book.by_id["u-1"], 4)
    late = builders.waiter()
    assert decisions.offer(late, 0.0) is None
    now = late.objective_at
    assert decisions.pump(now) == ([], [])
    book.by_id["u-1"].note_ended(-1)
    assigned, _ = decisions.pump(now)
    assert [entry.waiter for entry in assigned] == [late]


def test_a_late_request_waits_while_others_wait_for_another_owner():
    book = builders.book(builders.upstream("u-1"), builders.upstream("u-2"))
    decisions = _admission(book)
    for target in book.by_id.values():
        builders.occupy(target, 4)
    owners = [builders.FixedOwner(book.by_id[name]) for name in book.by_id]
    late = builders.waiter(0.0, owner=owners[0])
    assert decisions.offer(late, 0.0) is None
    now = late.objective_at
    assert decisions.offer(builders.waiter(now, owner=owners[1]), now) is None
    assert decisions.pump(now) == ([], [])


def test_a_key_without_owner_is_refused_until_when_it_may_have_one():
    decisions = _admission(builders.book())
    lookup = builders.FixedOwner(None, ready_in_s=5.0)
    refused = decisions.offer(builders.waiter(owner=lookup), 0.0)
    assert isinstance(refused, admission.Overload)
    assert refused.retry_after_s > 1.0


def test_one_whose_key_lost_its_owner_meanwhile_is_refused_at_once():
    book = builders.book(builders.upstream())
    decisions = _admission(book)
    builders.occupy(book.by_id["u-1"], 4)
    lookup = builders.FixedOwner(book.by_id["u-1"])
    waiter = builders.waiter(owner=lookup)
    assert decisions.offer(waiter, 0.0) is None
    lookup.lose(ready_in_s=0.3)
    assert decisions.pump(0.1) == ([], [])
    lookup.lose(ready_in_s=5.0)
    _, refused = decisions.pump(0.1)
    assert [entry for entry, _ in refused] == [waiter]
    assert book.by_id["u-1"].waiting == 0


def test_a_lookup_waits_for_its_owner_beyond_its_objective():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    decisions = _admission(book)
    builders.occupy(target, 12)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    assert decisions.expected_wait_s(waiter, 0.0) > builders.route().objective_s
    assert decisions.offer(waiter, 0.0) is None


def _crowded_owner():
    """Returns an owner for which lookups that can be in time always wait."""
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    decisions = _admission(book)
    builders.occupy(target, 5, 100.0)
    owner = builders.FixedOwner(target)
    now, last = 100.0, None
    while now < 100.0 + 2 * builders.route().objective_s:
        fresh = builders.waiter(now, owner)
        assert decisions.offer(fresh, now) is None
        if last is not None:
            decisions.leave(last)
        last = fresh
        decisions.pump(now)
        now += 0.05
    return decisions, target, owner, now


def test_where_others_always_wait_a_lookup_that_would_be_late_is_refused():
    decisions, target, owner, now = _crowded_owner()
    builders.occupy(target, 7, now)
    refused = decisions.offer(builders.waiter(now, owner), now)
    assert isinstance(refused, admission.Overload)


def test_a_late_lookup_goes_to_an_idle_slot_only():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    decisions = _admission(book)
    builders.occupy(target, 3)
    owner = builders.FixedOwner(target)
    late = builders.waiter(-0.59, owner)
    assert decisions.offer(late, 0.0) is None
    assert decisions.offer(builders.waiter(0.0, owner), 0.0) is target
    target.note_ended(-1)
    assert [entry.waiter for entry in decisions.pump(0.0)[0]] == [late]


def test_what_is_late_is_told_by_the_speed_of_its_owner():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    waiter.awaited = target
    assert not waiter.is_late(0.2)
    target.slowness = 2.0
    assert waiter.is_late(0.2)


def test_what_is_in_time_only_by_the_mean_work_is_late():
    waiter = builders.waiter()
    left_s = waiter.route.objective_s - waiter.expected_s
    assert waiter.is_late(left_s - 0.05)
    # On an owner that takes nearly all of the objective, none is late at once.
    waiter.expected_s = 0.95 * waiter.route.objective_s
    assert not waiter.is_late(0.0)


def _returning(key: int, arrived: float, left_s: float) -> admission.Waiter:
    waiter = builders.waiter(arrived)
    waiter.key, waiter.gives_up_at = key, arrived + left_s
    return waiter


def test_a_caller_that_comes_back_is_known_by_its_key_and_its_patience():
    book = caller_retries.RetryTracker()
    book.expect_retry(_returning(7, 10.0, 0.8), retry_at=10.1)
    others = [
        _returning(8, 10.1, 0.7),
        _returning(7, 10.1, 0.75),
        _returning(7, 10.02, 0.78),
    ]
    for other in others:
        book.match_retry(other, other.arrived)
        assert other.arrived > 10.0
    back = _returning(7, 10.105, 0.693)
    book.match_retry(back, 10.105)
    assert back.arrived == 10.0
    again = _returning(7, 10.106, 0.694)
    book.match_retry(again, 10.106)
    assert again.arrived == 10.106


def test_callers_that_do_not_come_back_are_forgotten():
    book = caller_retries.RetryTracker()
    for number in range(100):
        book.expect_retry(_returning(number, 10.0, 0.8), retry_at=10.1)
    book.match_retry(_returning(500, 11.0, 0.8), 11.0)
    assert not book._by_key


def test_a_target_is_slow_only_beyond_what_is_usual_there():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    target.slowness = 2.0
    target.note_sent(1, 0.0, 0.2)
    # Twice its usual time: one request was ahead of it.
    assert target.slow_factor(0.8) == 2.0
    assert target.slow_factor(2.0) > 6.0


def test_a_refusal_names_the_owner_that_was_too_busy():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    # More work than its caller waits for.
    builders.occupy(target, 40)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    refused = _admission(book).offer(waiter, 0.0)
    assert refused.owner == "u-1"


def test_a_key_on_the_move_waits():
    decisions = _admission(builders.book())
    lookup = builders.FixedOwner(None, ready_in_s=0.03)
    assert decisions.offer(builders.waiter(owner=lookup), 0.0) is None


def test_a_leaving_target_gets_nothing_new():
    book = builders.book(builders.upstream("u-1"), builders.upstream("u-2"))
    book.put(
        builders.upstream("u-1", state=model.UpstreamState.DRAINING), now=1.0
    )
    assert _admission(book).offer(builders.waiter(1.0), 1.0).id == "u-2"
    assert not book.by_id["u-1"].accepts_requests(3.1, drain_s=2.0)


def test_the_counts_of_a_queue_are_even_after_all_left():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    decisions = _admission(book)
    builders.occupy(target, 4)
    waiter = builders.waiter(owner=builders.FixedOwner(target))
    assert decisions.offer(waiter, 0.0) is None
    assert target.waiting == 1
    decisions.leave(waiter)
    decisions.leave(waiter)
    assert target.waiting == 0


def test_an_address_that_another_server_took_is_out_of_use():
    book = builders.book(builders.upstream("u-1", address="127.0.0.1:1"))
    book.mark_unregistered("u-1", 1.0)
    book.put(builders.upstream("u-2", address="127.0.0.1:1"), 1.5)
    assert book.by_id["u-1"].is_replaced
    assert not book.by_id["u-1"].accepts_requests(1.5, drain_s=2.0)
    # Its registration may lag: it doesn't come back to life by that.
    book.put(builders.upstream("u-1", address="127.0.0.1:1"), 1.6)
    assert book.by_id["u-1"].leaving_since is not None


def test_the_retry_budget_is_a_part_of_the_requests():
    repeats = budget.RetryBudget(0.2, 50, 10.0)
    repeats.set_vm_count(10)
    for _ in range(100):
        repeats.note_request(builders.LOOKUPS, 0.0)
    spent = 0
    while repeats.can_spend(builders.LOOKUPS, 1.0):
        repeats.spend(builders.LOOKUPS, 1.0)
        spent += 1
    assert 0 < spent <= budget.SAFETY_FACTOR * (0.2 * 100 + 5)
    # The window slides.
    assert repeats.can_spend(builders.LOOKUPS, 11.5)


def test_speeds_are_learned_from_all_vms_and_forgotten():
    book = speeds.SpeedTable()

    def ratio(name: str, now: float) -> float:
        return book.ratios(now).get(name, speeds.DEFAULT_RATIO)

    told = {model.UpstreamId("u-1"): (200, 300)}
    book.receive(model.NodeId("vm-2"), told, 0.0)
    assert ratio("u-1", 0.0) > 2.0
    assert ratio("u-1", 30.0) == 1.0
    for _ in range(20):
        book.add_sample("u-2", 4.0, 0.0)
    assert ratio("u-2", 0.0) > 3.0
    assert ratio("u-2", 40.0) < 1.2
    assert speeds.SpeedTable().own_samples(0.0) == {}


def test_speeds_tell_upstreams_apart_only_by_enough_answers():
    book = speeds.SpeedTable()
    asked, unasked = model.UpstreamId("u-0"), model.UpstreamId("u-1")
    slow = model.UpstreamId("u-2")
    members = [asked, unasked, slow]
    for _ in range(4):
        book.add_sample(asked, 0.2, 0.0)
        book.add_sample(slow, 0.4, 0.0)
    assert book.placement_ratios(members, 0.0) == dict.fromkeys(members, 1.0)
    for _ in range(40):
        book.add_sample(asked, 0.2, 0.0)
        book.add_sample(slow, 0.4, 0.0)
    told = book.placement_ratios(members, 0.0)
    assert told[asked] < told[unasked] < told[slow]


def test_one_request_without_an_answer_makes_a_target_slow():
    book = builders.book(builders.upstream())
    target = book.by_id["u-1"]
    target.note_sent(1, 0.0, 0.2)
    assert target.slow_factor(0.1) == 1.0
    assert target.slow_factor(2.0) > 5.0
    target.note_ended(1)
    assert target.slow_factor(2.0) == 1.0


class _Looks(admission.Admission):
    """Counts how often the queue is looked at."""

    def __init__(self, book, vms: int):
        super().__init__(book, builders.HOME, 2.0)
        self.vms = vms
        self.count = 0

    def pump(self, now, only=None):
        self.count += 1
        return super().pump(now, only)


@pytest.mark.parametrize(("vms", "looks"), [(4, 6), (25, 1)])
def test_reports_of_many_vms_do_not_each_make_a_look_at_the_queue(vms, looks):
    async def scenario():
        book = builders.book(builders.upstream())
        now = gate.clocks.monotonic()
        builders.occupy(book.by_id["u-1"], 4, now)
        decisions = _Looks(book, vms)
        made = gate.Gate(decisions, lambda waiter: None)
        waiting = asyncio.create_task(made.acquire(builders.waiter(now)))
        while not len(decisions):
            await asyncio.sleep(0)
        for _ in range(5):
            made.note_report()
        # A slot that comes free is looked at however many VMs there are.
        book.by_id["u-1"].note_ended(-1)
        made.pump()
        assert (await waiting).id == "u-1"
        assert decisions.count == looks

    asyncio.run(scenario())
