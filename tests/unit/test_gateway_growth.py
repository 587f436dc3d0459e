"""What a VM does again and again, counted at 12, 80 and 200 VMs.

Counts of instructions, no times. A calm day of 195 VMs took more processor time
than it may, most of it for work whose result was the same as before.
"""

import asyncio

import pytest

from tests import many_vms
from tests import work_meter

# Of what a steady count may miss straight growth, for what is done once.
_LEEWAY = 1.2


class _StandingTask:
    """The task that renews an upstream's grants, while nothing is due."""

    def done(self) -> bool:
        return False

    def cancel(self) -> None:
        pass


@pytest.fixture(name="sites")
def _sites(monkeypatch):
    def stand_in(coroutine):
        coroutine.close()
        return _StandingTask()

    monkeypatch.setattr(asyncio, "create_task", stand_in)
    return [many_vms.ManyVms(size, monkeypatch) for size in many_vms.SIZES]


def _grow_with_vms_at_most(counts: list[int]) -> None:
    """Checks that a count grows no faster than the VMs do."""
    first = many_vms.SIZES[0].vms
    for count, size in zip(counts, many_vms.SIZES, strict=True):
        assert count <= _LEEWAY * counts[0] * size.vms / first, counts


def test_sharing_upstreams_out_again_costs_no_more_for_each_vm(sites):
    """Callers at 195 VMs were served late, by processes that were busy.

    Each VM worked out seven times a second, and at each change of a map, which
    of 241 upstreams it looks after: for each of them it went through all VMs,
    those of other domains included, which it doesn't hear at all. That was 6 ms
    each time, 4% of a core (profile of one VM without a network); at 12 VMs it
    is 0.1 ms.
    """
    counts = []
    for site in sites:
        renewing = site.daemon._renewing
        renewing._share_out(site.now)
        counts.append(
            work_meter.steps(lambda r=renewing, s=site: r._share_out(s.now))
        )
    _grow_with_vms_at_most(counts)


def test_what_changes_is_shared_out_anew(sites):
    # What is remembered must not outlive what it was worked out from.
    site = sites[0]
    renewing, peers = site.daemon._renewing, site.daemon._peers
    renewing._share_out(site.now)
    before = set(renewing._tasks)
    others = [p for p in peers.by_node.values() if p.is_heard(site.now)]
    near = [p for p in others if p.row.domain == peers.me.domain]
    for peer in near:
        peer.heard_at = site.now - 2.0
    renewing._share_out(site.now)
    alone = set(renewing._tasks)
    book = site.daemon._book.by_id.values()
    own = {t.id for t in book if t.upstream.failure_domain == peers.me.domain}
    assert before < own
    assert own <= alone
    for peer in near:
        peer.heard_at = site.now
    renewing._share_out(site.now)
    assert set(renewing._tasks) == before
    unreachable = next(iter(before))
    renewing.unreachable.add(unreachable)
    renewing._share_out(site.now)
    assert set(renewing._tasks) == before - {unreachable}
