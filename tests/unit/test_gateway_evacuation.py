"""What becomes of upstreams whose failure domain the operator evacuates.

What was seen: the operator had a failure domain evacuated, and VMs went on
sending there and left its upstreams their keys, as nothing took the operator's
row in.
"""

import asyncio

import pytest

from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import heat
from swiftstile.gateway import model
from swiftstile.gateway import owners
from swiftstile.gateway import registry
from swiftstile.gateway import slotplan
from swiftstile.gateway import targets
from tests import gateway_builders as builders
from tests import keeper_parts

_KEY = 100
_EVACUATED_AT = 50.0
_CLOSED_AT = _EVACUATED_AT + targets.EVACUATED_SENDS_S
_DRAIN_S = 60.0


def _book(*domains) -> targets.TargetBook:
    """Returns upstreams `u-1`, `u-2`, ... in the domains."""
    return builders.book(
        *(
            builders.upstream(f"u-{number}", failure_domain=domain)
            for number, domain in enumerate(domains, 1)
        )
    )


def _staying(book) -> set[str]:
    return {
        name
        for name, target in book.by_id.items()
        if target.leaving_since is None
    }


def test_all_upstreams_of_the_domain_leave_and_no_others():
    book = _book(builders.HOME, builders.AWAY, builders.AWAY)
    book.evacuate(builders.AWAY, _EVACUATED_AT)
    assert _staying(book) == {"u-1"}
    book.take_back(builders.AWAY, _CLOSED_AT)
    assert _staying(book) == {"u-1", "u-2", "u-3"}


def test_one_that_registers_there_later_gets_nothing_either():
    book = _book(builders.HOME)
    book.evacuate(builders.AWAY, _EVACUATED_AT)
    late = builders.upstream("u-9", failure_domain=builders.AWAY)
    target = book.put(late, _CLOSED_AT)
    assert not target.takes_requests(_CLOSED_AT, _DRAIN_S)
    # Nor does one of there that registers anew.
    assert book.put(late, _CLOSED_AT + 1).leaving_since == _EVACUATED_AT


def test_an_evacuation_that_is_told_again_does_not_begin_again():
    book = _book(builders.AWAY)
    book.evacuate(builders.AWAY, _EVACUATED_AT)
    book.evacuate(builders.AWAY, _EVACUATED_AT + 1)
    assert book.by_id["u-1"].is_evacuated(_CLOSED_AT)


def test_owners_are_asked_for_a_while_and_then_not_any_more():
    target = _book(builders.AWAY).by_id["u-1"]
    target.set_evacuated(_EVACUATED_AT)
    assert target.takes_requests(_CLOSED_AT - 0.01, _DRAIN_S)
    assert not target.takes_requests(_CLOSED_AT, _DRAIN_S)


def test_one_that_drains_stays_away_when_its_domain_is_taken_back():
    book = _book(builders.AWAY)
    book.evacuate(builders.AWAY, _EVACUATED_AT)
    drains = builders.upstream(
        "u-1",
        failure_domain=builders.AWAY,
        state=model.UpstreamState.DRAINING,
    )
    book.put(drains, _EVACUATED_AT + 1)
    book.take_back(builders.AWAY, _CLOSED_AT)
    assert book.by_id["u-1"].leaving_since == _EVACUATED_AT + 1


def test_one_that_is_gone_is_remembered_as_long_as_any_other():
    book = _book(builders.AWAY)
    book.evacuate(builders.AWAY, _EVACUATED_AT)
    book.mark_gone("u-1", _EVACUATED_AT + 100)
    assert book.sweep(_EVACUATED_AT + 110, registry.DEPARTED_RETENTION_S) == []
    assert book.sweep(_EVACUATED_AT + 121, registry.DEPARTED_RETENTION_S) != []


def test_waiting_requests_are_looked_at_when_it_changes():
    looks = []
    book = _book(builders.AWAY)
    made = registry.Registry(
        book, None, lambda: looks.append(1), metrics.Meters()
    )
    made.set_evacuated(builders.AWAY, False)
    assert not looks
    made.set_evacuated(builders.AWAY, True)
    made.set_evacuated(builders.AWAY, True)
    assert (len(looks), _staying(book)) == (1, set())
    made.set_evacuated(builders.AWAY, False)
    assert (len(looks), _staying(book)) == (2, {"u-1"})


def test_requests_without_a_key_go_elsewhere_at_once():
    book = _book(builders.HOME, builders.AWAY)
    # The one that stays is slow and full but for one place.
    book.by_id["u-1"].slowness = 1.5
    builders.occupy(book.by_id["u-1"], 3)
    decisions = admission.Admission(book, builders.AWAY, _DRAIN_S)
    assert decisions.pick(builders.waiter(0.0), 0.0).id == "u-2"
    book.evacuate(builders.AWAY, 0.0)
    assert decisions.pick(builders.waiter(0.0), 0.0).id == "u-1"


def test_without_any_upstream_left_a_request_is_refused_at_once():
    book = _book(builders.HOME, builders.AWAY)
    for domain in (builders.HOME, builders.AWAY):
        book.evacuate(domain, 0.0)
    decisions = admission.Admission(book, builders.HOME, _DRAIN_S)
    refused = decisions.offer(builders.waiter(10.0), 10.0)
    assert isinstance(refused, admission.Overload)


class _Keys:
    """A keyed service, of which `u-1` owns all keys in one domain."""

    def __init__(self):
        self.parts = keeper_parts.Parts()
        self.book = self.parts.book
        for name, domain in (("u-1", builders.AWAY), ("u-2", builders.HOME)):
            self.book.put(builders.upstream(name, failure_domain=domain), 0.0)
        self.parts.start(leaving=())
        self.owners = owners.KeyOwners(
            self.parts.maps,
            self.book,
            heat.HeatBook(),
            self.parts.peers,
            _DRAIN_S,
        )
        self.decisions = admission.Admission(self.book, builders.HOME, _DRAIN_S)

    def offer(self, now: float):
        lookup = self.owners.lookup(builders.LOOKUPS, _KEY)
        waiter = builders.waiter(now, lookup)
        return waiter, self.decisions.offer(waiter, now)


def test_a_key_waits_for_its_next_owner_once_the_time_is_over():
    keys = _Keys()
    keys.book.evacuate(builders.AWAY, _EVACUATED_AT)
    assert keys.offer(_CLOSED_AT - 0.01)[1] is keys.book.by_id["u-1"]
    waiter, offered = keys.offer(_CLOSED_AT)
    assert offered is None
    keys.book.take_back(builders.AWAY, _CLOSED_AT)
    assigned, refused = keys.decisions.pump(_CLOSED_AT + 0.1)
    assert [entry.waiter for entry in assigned] == [waiter]
    assert refused == []


def test_keys_are_refused_at_once_when_nobody_could_own_them():
    keys = _Keys()
    keys.book.evacuate(builders.AWAY, _EVACUATED_AT)
    waiter, offered = keys.offer(_CLOSED_AT)
    assert offered is None
    keys.book.evacuate(builders.HOME, _CLOSED_AT)
    assert isinstance(keys.offer(_CLOSED_AT)[1], admission.Overload)
    # Nor does one wait on that came before.
    _, refused = keys.decisions.pump(_CLOSED_AT)
    assert [entry for entry, _ in refused] == [waiter]


def test_the_leader_moves_all_keys_out_and_may_move_some_back(monkeypatch):
    keys = _Keys()
    parts = keys.parts
    now = [_EVACUATED_AT]
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: now[0])

    async def tick() -> None:
        for _ in range(200):
            now[0] += 0.05
            await parts.keeper.tick()
            # Releases run beside it.
            await asyncio.sleep(0)

    def owning() -> dict[str, int]:
        current = parts.maps.by_service[builders.LOOKUPS]
        return {
            name: len(slots)
            for name, slots in current.slots_by_owner.items()
            if slots
        }

    async def play() -> None:
        keys.book.evacuate(builders.AWAY, now[0])
        await tick()
        assert owning() == {"u-2": slotplan.SLOT_COUNT}
        keys.book.take_back(builders.AWAY, now[0])
        await tick()
        assert owning()["u-1"] > 0

    asyncio.run(play())
    # Each key was released before another upstream got it.
    released = {
        key
        for name, keys, _ in parts.control.released
        if name == "u-1"
        for key in range(keys.first, keys.last + 1)
    }
    assert len(released) == model.KEY_SPACE


@pytest.mark.parametrize("domain", [builders.HOME, builders.AWAY])
def test_new_keys_are_dealt_to_others(domain):
    book = _book(builders.HOME, builders.AWAY)
    book.evacuate(domain, 0.0)
    parts = keeper_parts.Parts()
    plan = slotplan.SlotPlan(
        builders.LOOKUPS, book, parts.speeds, parts.heat, lambda _: None, 0.0
    )
    weights = plan.weights(10.0)
    dealt = plan.first_deal(weights, 20.0)
    assert {book.by_id[name].upstream.failure_domain for name in dealt} == {
        builders.HOME if domain == builders.AWAY else builders.AWAY
    }
