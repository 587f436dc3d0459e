"""VMs that lose their links to all upstreams serve callers like others."""

import asyncio

import pytest

from tests.integration import gateways
from tests.integration import link_cuts

_VMS = 9
_LOAD_PER_S = 120
_CUT_S = 7.0
# First tries count from so long after the beginning of a cut.
_COUNTED_AFTER_S = 3.0
_SERVED_SHARE = 0.95


def _first_of_each_domain(number: int) -> bool:
    return number < len(gateways.ZONES)


def _a_domain(number: int) -> bool:
    return number % len(gateways.ZONES) == 0


def _two_domains(number: int) -> bool:
    return number % len(gateways.ZONES) != 0


def _all_but_two(number: int) -> bool:
    return number >= 2


def served_shares(site, cut: set[int], start: float, end: float):
    """Returns the shares of requests served, at VMs that are cut and others."""
    served, sent = [0, 0], [0, 0]
    for outcome in site.callers.outcomes:
        number, at = site.callers.sends[outcome.attempt]
        if start <= at < end:
            sent[number in cut] += 1
            served[number in cut] += outcome.status == 200
    shares = [
        one / max(1, all_) for one, all_ in zip(served, sent, strict=True)
    ]
    return shares[True], shares[False]


_CASES = {
    "one-of-each-domain-silent": (
        _first_of_each_domain,
        link_cuts.Cut.SILENT,
    ),
    "one-of-each-domain-no-new": (
        _first_of_each_domain,
        link_cuts.Cut.NO_NEW,
    ),
    "one-of-each-domain-one-way": (
        _first_of_each_domain,
        link_cuts.Cut.ONE_WAY,
    ),
    "a-domain-reset": (_a_domain, link_cuts.Cut.RESET),
    "two-domains-silent": (_two_domains, link_cuts.Cut.SILENT),
    "all-but-two-reset": (_all_but_two, link_cuts.Cut.RESET),
}


@pytest.mark.parametrize("case", _CASES)
def test_callers_of_vms_without_upstreams_are_served_like_all_others(
    tmp_path, case
):
    is_cut, how = _CASES[case]

    async def scenario(site):
        cut = {g.number for g in site.gateways if is_cut(g.number)}
        hosts = [g.host for g in site.gateways if g.number in cut]
        loop = asyncio.get_running_loop()

        async def partition():
            await asyncio.sleep(1.0)
            site.cut_at = loop.time()
            site.cluster.links.cut(hosts, how)
            await asyncio.sleep(_CUT_S)
            site.cluster.links.heal(hosts)

        await site.callers.load_while(_LOAD_PER_S, partition())
        at_cut, at_others = served_shares(
            site, cut, site.cut_at + _COUNTED_AFTER_S, site.cut_at + _CUT_S
        )
        print(f"served: {at_cut:.3f} at cut VMs, {at_others:.3f} at others")
        assert at_others >= _SERVED_SHARE
        assert at_cut >= _SERVED_SHARE * at_others
        await site.until(site.is_serving, 5.0)

    asyncio.run(gateways.Site(tmp_path, _VMS, seed=21).run_scenario(scenario))
