"""Upstreams are shared out among VMs, also when all get their right at once."""

import msgspec
import pytest

from swiftstile.gateway import renewals
from swiftstile.gateway import sharing
from tests import many_vms

_SIZE = many_vms.SIZES[2]


@pytest.fixture(name="site")
def _site(monkeypatch):
    made = many_vms.ManyVms(_SIZE, monkeypatch)
    made.renewing = made.daemon._renewals
    made.started = []
    made.renewing._renew = lambda owner: made.started.append(owner)
    monkeypatch.setattr(renewals.asyncio, "create_task", lambda _: _Running())
    return made


class _Running:

    def done(self) -> bool:
        return False

    def cancel(self) -> None:
        return None


def _others_say(site, is_able: bool) -> None:
    """All ordinary VMs that are heard tell whether they may renew."""
    for peer in site.daemon._peers.by_node.values():
        if peer.report is not None and not peer.report.is_leader:
            told = msgspec.structs.replace(
                peer.report,
                sequence=peer.report.sequence + 1,
                can_renew=is_able,
            )
            peer.record_direct_report(told, site.now)


def _hear_leader(site, is_able: bool) -> None:
    for peer in site.daemon._peers.by_node.values():
        if peer.claims_leadership:
            told = msgspec.structs.replace(
                peer.report,
                sequence=peer.report.sequence + 1,
                can_renew=is_able,
            )
            peer.record_direct_report(told, site.now)


def _shared_out(site) -> int:
    site.renewing._share_out(site.now)
    return len(site.renewing._tasks)


def _in_domain() -> int:
    return _SIZE.upstreams // _SIZE.domains


def test_a_vm_looks_after_its_share(site):
    assert _shared_out(site) < _in_domain() / 5


def test_without_a_leader_none_takes_over_what_others_look_after(site):
    share = _shared_out(site)
    site.now += 0.5
    _hear_leader(site, is_able=False)
    _others_say(site, is_able=False)
    assert _shared_out(site) == share


def test_when_all_get_the_right_at_once_each_takes_its_share(site):
    share = _shared_out(site)
    site.now += 0.5
    _hear_leader(site, is_able=False)
    _others_say(site, is_able=False)
    _shared_out(site)
    # The leader is back; what others told is older than that.
    site.now += 0.3
    _hear_leader(site, is_able=True)
    assert _shared_out(site) == share
    site.now += 0.3
    _others_say(site, is_able=True)
    _hear_leader(site, is_able=True)
    assert _shared_out(site) == share


def test_one_that_says_later_that_it_may_not_is_replaced(site):
    share = _shared_out(site)
    site.now += sharing.SETTLE_S + 0.1
    _hear_leader(site, is_able=True)
    _others_say(site, is_able=False)
    assert _shared_out(site) > share
