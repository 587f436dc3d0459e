"""Upstreams are divided among VMs, even if all are authorised at once."""

import msgspec
import pytest

from swiftstile.gateway import renewals
from swiftstile.gateway import sharing
from tests import many_vms

_SIZE = many_vms.SIZES[2]


@pytest.fixture(name="site")
def _site(monkeypatch):
    made = many_vms.LargeSiteVm(_SIZE, monkeypatch)
    made.renewing = made.daemon._renewer
    made.started = []
    made.renewing._renew = lambda owner: made.started.append(owner)
    monkeypatch.setattr(renewals.asyncio, "create_task", lambda _: _Running())
    return made


class _Running:

    def done(self) -> bool:
        return False

    def cancel(self) -> None:
        return None


def _receive_others(site, is_able: bool) -> None:
    """Receives reports of all followers on whether they may renew."""
    for peer in site.daemon._peers.by_node.values():
        if peer.report is not None and not peer.report.is_leader:
            report = msgspec.structs.replace(
                peer.report,
                sequence=peer.report.sequence + 1,
                can_renew=is_able,
            )
            peer.record_direct_report(report, site.now)


def _receive_leader(site, is_able: bool) -> None:
    for peer in site.daemon._peers.by_node.values():
        if peer.claims_leadership:
            report = msgspec.structs.replace(
                peer.report,
                sequence=peer.report.sequence + 1,
                can_renew=is_able,
            )
            peer.record_direct_report(report, site.now)


def _upstreams_of(site) -> int:
    site.renewing._update_tasks(site.now)
    return len(site.renewing._tasks)


def _in_domain() -> int:
    return _SIZE.upstreams // _SIZE.domains


def test_a_vm_is_responsible_for_its_share(site):
    assert _upstreams_of(site) < _in_domain() / 5


def test_without_a_leader_no_vm_takes_over_upstreams_of_others(site):
    share = _upstreams_of(site)
    site.now += 0.5
    _receive_leader(site, is_able=False)
    _receive_others(site, is_able=False)
    assert _upstreams_of(site) == share


def test_vms_that_are_authorised_at_once_take_their_shares(site):
    share = _upstreams_of(site)
    site.now += 0.5
    _receive_leader(site, is_able=False)
    _receive_others(site, is_able=False)
    _upstreams_of(site)
    # The leader is available again; the reports of others are older.
    site.now += 0.3
    _receive_leader(site, is_able=True)
    assert _upstreams_of(site) == share
    site.now += 0.3
    _receive_others(site, is_able=True)
    _receive_leader(site, is_able=True)
    assert _upstreams_of(site) == share


def test_a_vm_that_reports_no_authority_later_is_replaced(site):
    share = _upstreams_of(site)
    site.now += sharing.PROPAGATION_S + 0.1
    _receive_leader(site, is_able=True)
    _receive_others(site, is_able=False)
    assert _upstreams_of(site) > share
