"""Where requests of services without owners look for a slot."""

from swiftstile.gateway import admission
from swiftstile.gateway import detours
from swiftstile.gateway import model
from tests import gateway_builders as builders

_OTHERS = ("north", "south")
_NOW = 100.0


def _group(*domains: str):
    book = builders.book(
        *(
            builders.upstream(
                f"u-{i}",
                failure_domain=domain,
                address=f"127.0.0.1:{9000 + i}",
            )
            for i, domain in enumerate(domains)
        )
    )
    return book.by_id.values()


def _plan(planned: detours.Detours, *domains: str, now=_NOW, **route):
    waiter = builders.waiter(now, None, **route)
    return planned.plan(waiter, _group(*domains), now)


def test_home_is_asked_first_and_last():
    planned = detours.Detours(builders.HOME)
    stops = _plan(planned, builders.HOME, *_OTHERS)
    assert [stop.domain for stop in stops[:: len(stops) - 1]] == [
        builders.HOME
    ] * 2
    assert {stop.domain for stop in stops[1:-1]} == set(_OTHERS)
    # Only a slot that is free at once is worth the way.
    assert [stop.most_wait_s for stop in stops[1:-1]] == [0.0, 0.0]
    assert stops[-1].most_wait_s is None


def test_a_wait_at_home_is_worth_what_the_way_elsewhere_costs():
    planned = detours.Detours(builders.HOME)
    small = _plan(planned, builders.HOME, "north", objective_s=1.0)[0]
    large = _plan(
        planned,
        builders.HOME,
        "north",
        objective_s=1.0,
        repeatability=model.Repeatability.ONCE_LARGE,
    )[0]
    assert small.most_wait_s == admission.CROSS_DOMAIN_COST
    assert large.most_wait_s == admission.CROSS_DOMAIN_COST_LARGE


def test_a_domain_that_was_full_is_passed_over_for_a_moment():
    planned = detours.Detours(builders.HOME)
    north = detours.Stop("north", 0.0)
    planned.note_refused(builders.LOOKUPS, north, _NOW)
    domains = [s.domain for s in _plan(planned, builders.HOME, *_OTHERS)]
    assert domains == [builders.HOME, "south", builders.HOME]
    later = _NOW + 2 * detours.FULL_LIFE_S
    assert len(_plan(planned, builders.HOME, *_OTHERS, now=later)) == 4


def test_with_all_others_full_home_is_asked_once():
    planned = detours.Detours(builders.HOME)
    planned.note_refused(builders.LOOKUPS, detours.Stop("north", 0.0), _NOW)
    stops = _plan(planned, builders.HOME, "north")
    assert stops == [detours.Stop(builders.HOME, None)]


def test_without_upstreams_at_home_one_of_the_others_is_waited_for():
    planned = detours.Detours(builders.HOME)
    stops = _plan(planned, *_OTHERS)
    assert {stop.domain for stop in stops} == set(_OTHERS)
    assert stops[-1].most_wait_s is None
    assert _plan(planned) == []
