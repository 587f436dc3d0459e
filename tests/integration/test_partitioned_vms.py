"""VMs that lose their links to all upstreams serve callers like others."""

import asyncio
import collections
import signal

import pytest

from tests.integration import gateways
from tests.integration import link_cuts
from tests.integration import users_standins

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


_WAYS = {
    "reset": link_cuts.Cut.RESET,
    "silent": link_cuts.Cut.SILENT,
    # Connections are accepted and then silent.
    "one-way": link_cuts.Cut.ONE_WAY,
    "no-new": link_cuts.Cut.NO_NEW,
}
_LEADERS = ("inside", "outside", "killed-inside", "killed-outside")
# When the leader is killed, after the beginning of the cut.
_KILLED_AFTER_S = 1.0
# Callers state that they wait for 3 s; an answer later than this came at their
# deadline.
_DEADLINE_S = 2.8


def _leader(site) -> gateways.Gateway:
    """Returns the VM that leads according to the store."""
    name = site.store.rows["swiftstile", "leader"].value.decode("latin-1")
    return next(g for g in site.gateways if f"vm-{g.number}#" in name)


async def _all_serve(site) -> bool:
    """Returns whether all VMs serve a sample of the keys.

    All at once: one after the other, the 72 reads take 4 s on an idle machine.
    """
    keys = range(0, users_standins.KEYS, 8192)
    outcomes = await asyncio.gather(
        *(
            site.callers.call("/read/x", key, gateway)
            for gateway in site.gateways
            for key in keys
        )
    )
    return all(outcome.status == 200 for outcome in outcomes)


def _show_refusals(site, cut: set[int]) -> None:
    """Prints the statuses that callers got, by VM."""
    for gateway in site.gateways:
        statuses = collections.Counter(
            outcome.status
            for outcome in site.callers.outcomes
            if site.callers.sends[outcome.attempt][0] == gateway.number
        )
        place = "cut" if gateway.number in cut else "connected"
        print(f"vm-{gateway.number} {gateway.zone} {place}: {dict(statuses)}")


@pytest.mark.parametrize("leader_place", _LEADERS)
@pytest.mark.parametrize("way", _WAYS)
def test_callers_of_a_domain_without_upstreams_are_served_like_all_others(
    tmp_path, way, leader_place
):
    """All VMs of a domain lose their upstreams at the same moment.

    They refused requests with `forward: 0 VMs asked` as long as one of them
    didn't report that it reaches no upstream.
    """

    async def scenario(site):
        leader = _leader(site)
        is_inside = leader_place.endswith("inside")
        zones = [z for z in gateways.ZONES if (z == leader.zone) is is_inside]
        cut = {g.number for g in site.gateways if g.zone == zones[0]}
        hosts = [g.host for g in site.gateways if g.number in cut]
        loop = asyncio.get_running_loop()

        async def partition():
            await asyncio.sleep(1.0)
            site.cut_at = loop.time()
            site.cluster.links.cut(hosts, _WAYS[way])
            await asyncio.sleep(_KILLED_AFTER_S)
            if leader_place.startswith("killed"):
                # Callers are sent to the other VMs from now on.
                site.gateways.remove(leader)
                await leader.stop(signal.SIGKILL)
            await asyncio.sleep(_CUT_S - _KILLED_AFTER_S)
            site.cluster.links.heal(hosts)

        await site.callers.load_while(_LOAD_PER_S, partition())
        counted_from = site.cut_at + _COUNTED_AFTER_S
        end = site.cut_at + _CUT_S
        at_cut, at_others = served_shares(site, cut, counted_from, end)
        print(f"served: {at_cut:.3f} at cut VMs, {at_others:.3f} at others")
        _show_refusals(site, cut)
        waited = [
            outcome
            for outcome in site.callers.outcomes
            if counted_from <= site.callers.sends[outcome.attempt][1] < end
            and outcome.took_s > _DEADLINE_S
        ]
        assert at_others >= _SERVED_SHARE
        assert at_cut >= _SERVED_SHARE
        assert not waited
        await site.until(lambda: _all_serve(site), 5.0)

    asyncio.run(gateways.Site(tmp_path, _VMS, seed=21).run_scenario(scenario))
