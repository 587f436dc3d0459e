"""Tests the order of domains for requests of services without owners."""

from swiftstile.gateway import admission
from swiftstile.gateway import domain_search
from swiftstile.gateway import model
from tests import gateway_builders as builders

_OTHERS = ("north", "south")
_NOW = 100.0


def _group(*domains: str):
    table = builders.target_table(
        *(
            builders.upstream(
                f"u-{i}",
                failure_domain=domain,
                address=f"127.0.0.1:{9000 + i}",
            )
            for i, domain in enumerate(domains)
        )
    )
    return table.by_id.values()


def _plan(search: domain_search.DomainSearch, *domains: str, now=_NOW, **route):
    waiter = builders.waiter(now, None, **route)
    return search.plan(waiter, _group(*domains), now)


def test_the_local_domain_is_tried_first_and_last():
    search = domain_search.DomainSearch(builders.HOME)
    steps = _plan(search, builders.HOME, *_OTHERS)
    assert [step.domain for step in steps[:: len(steps) - 1]] == [
        builders.HOME
    ] * 2
    assert {step.domain for step in steps[1:-1]} == set(_OTHERS)
    # Another domain is worth its latency only if a slot is free at once.
    assert [step.max_wait_s for step in steps[1:-1]] == [0.0, 0.0]
    assert steps[-1].max_wait_s is None


def test_the_local_wait_is_limited_by_the_cost_of_another_domain():
    search = domain_search.DomainSearch(builders.HOME)
    small = _plan(search, builders.HOME, "north", objective_s=1.0)[0]
    large = _plan(
        search,
        builders.HOME,
        "north",
        objective_s=1.0,
        repeatability=model.Repeatability.ONCE_LARGE,
    )[0]
    assert small.max_wait_s == admission.CROSS_DOMAIN_COST
    assert large.max_wait_s == admission.CROSS_DOMAIN_COST_LARGE


def test_a_full_domain_is_skipped_for_a_short_time():
    search = domain_search.DomainSearch(builders.HOME)
    north = domain_search.SearchStep("north", 0.0)
    search.note_rejected(builders.LOOKUPS, north, _NOW)
    domains = [s.domain for s in _plan(search, builders.HOME, *_OTHERS)]
    assert domains == [builders.HOME, "south", builders.HOME]
    later = _NOW + 2 * domain_search.FULL_DOMAIN_TTL_S
    assert len(_plan(search, builders.HOME, *_OTHERS, now=later)) == 4


def test_only_the_local_domain_is_tried_if_all_others_are_full():
    search = domain_search.DomainSearch(builders.HOME)
    search.note_rejected(
        builders.LOOKUPS, domain_search.SearchStep("north", 0.0), _NOW
    )
    steps = _plan(search, builders.HOME, "north")
    assert steps == [domain_search.SearchStep(builders.HOME, None)]


def test_a_request_waits_in_another_domain_without_local_upstreams():
    search = domain_search.DomainSearch(builders.HOME)
    steps = _plan(search, *_OTHERS)
    assert {step.domain for step in steps} == set(_OTHERS)
    assert steps[-1].max_wait_s is None
    assert _plan(search) == []
