"""When a VM concludes that it has lost its links to all upstreams."""

import pytest

from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from swiftstile.gateway import upstream_sampling
from tests import gateway_builders as builders

_LinkState = upstream_links.LinkState
_Suspicion = upstream_links.Suspicion


def _partitioned(now: float) -> upstream_links.UpstreamLinks:
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", now)
    links.on_open_failed("b:1", now)
    links.begin_confirmation(now)
    links.record_partition(now)
    return links


def test_one_failing_upstream_is_reason_to_try_others_at_times():
    """A VM that rarely needs new connections failed a request before."""
    links = upstream_links.UpstreamLinks()
    tried = []
    for tick in range(80):
        now = tick / 10
        links.on_open_failed("a:1", now)
        links.on_received("c:1", -5.0, now)
        suspicion = links.suspicion(now)
        if suspicion is not _Suspicion.NONE:
            assert suspicion is _Suspicion.ONE_FAILURE
            links.begin_trial(now)
            links.note_reached(now)
            tried.append(now)
    assert tried == pytest.approx([0.3, 2.3, 4.3, 6.3])


def test_one_failing_upstream_is_no_reason_while_new_connections_work():
    links = upstream_links.UpstreamLinks()
    for tick in range(40):
        now = tick / 10
        links.on_open_failed("a:1", now)
        links.on_received("c:1", now + 0.01, now + 0.05)
        assert links.suspicion(now + 0.06) is _Suspicion.NONE


def test_several_that_fail_in_a_row_raise_a_suspicion():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_broken("b:1", True, 0.1)
    assert links.suspicion(0.2) is _Suspicion.FAILURES
    # Only the new connection still counts.
    later = 0.2 + upstream_links.FAILURE_TTL_S
    assert links.suspicion(later) is _Suspicion.ONE_FAILURE


def test_a_new_connection_that_delivers_data_in_between_refutes_it():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_received("c:1", 0.05, 0.06)
    links.on_open_failed("b:1", 0.1)
    assert links.suspicion(0.2) is _Suspicion.NONE


def test_data_on_an_older_connection_does_not_refute_it():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_received("c:1", -5.0, 0.06)
    links.on_open_failed("b:1", 0.1)
    assert links.suspicion(0.2) is _Suspicion.FAILURES


def test_new_connections_that_are_reset_count_although_others_live():
    links = upstream_links.UpstreamLinks()
    links.on_broken("a:1", False, 0.0)
    links.on_broken("b:1", False, 0.1)
    links.on_received("c:1", -5.0, 0.2)
    assert links.suspicion(0.3) is _Suspicion.FAILURES


def test_requests_without_any_data_raise_a_suspicion():
    links = upstream_links.UpstreamLinks()
    links.on_sent("a:1", 0.0)
    early = upstream_links.SILENCE_S / 2
    assert links.suspicion(early) is _Suspicion.NONE
    links.on_sent("b:1", 0.3)
    late = upstream_links.SILENCE_S + 0.01
    assert links.suspicion(late) is _Suspicion.SILENCE
    links.on_received("b:1", 0.0, 0.5)
    assert links.suspicion(1.0) is _Suspicion.NONE


def test_confirmations_that_refute_suspicions_become_rare():
    """While new connections work in between, as under overload."""
    links = upstream_links.UpstreamLinks()
    spacing, now = [], 0.0
    for _ in range(6):
        began = now
        while links.suspicion(now) is _Suspicion.NONE:
            links.on_received("c:1", now - 0.01, now)
            links.on_open_failed("a:1", now)
            links.on_open_failed("b:1", now)
            now += 0.1
        spacing.append(round(now - began))
        links.begin_confirmation(now)
        links.refute(now)
    assert spacing[1:] == [2, 4, 8, 8, 8]


def _refuted_often(now: float) -> upstream_links.UpstreamLinks:
    links = upstream_links.UpstreamLinks()
    for _ in range(4):
        links.begin_confirmation(now)
        links.refute(now)
    return links


def test_a_cut_after_refuted_suspicions_is_confirmed_in_time():
    """Suspicions that were refuted earlier delayed it by up to 8 s."""
    links = _refuted_often(0.0)
    links.on_received("a:1", -1.0, 0.1)
    links.on_broken("a:1", True, 0.2)
    links.on_broken("b:1", True, 0.2)
    links.on_open_failed("c:1", 0.3)
    links.on_open_failed("d:1", 0.3)
    assert links.suspicion(0.5) is _Suspicion.NONE
    assert links.suspicion(1.1) is _Suspicion.FAILURES


def test_many_new_connections_that_fail_in_a_row_are_confirmed_in_time():
    links = _refuted_often(0.0)
    for number in range(upstream_links.MANY_FAILED):
        assert links.suspicion(1.1) is _Suspicion.NONE
        links.on_open_failed(f"u-{number}:1", 1.0)
        links.on_received("z:1", -1.0, 1.05)
    assert links.suspicion(1.1) is _Suspicion.FAILURES


def test_a_failed_new_connection_counts_until_a_newer_one_works():
    """A VM that rarely needs new connections saw two fail 5 s apart."""
    links = upstream_links.UpstreamLinks()
    links.on_broken("a:1", False, 0.0)
    links.on_received("c:1", -5.0, 4.9)
    links.on_broken("b:1", False, 5.0)
    assert links.suspicion(5.1) is _Suspicion.FAILURES
    links.on_received("c:1", 5.05, 5.15)
    assert links.suspicion(5.2) is _Suspicion.NONE


def test_a_partitioned_vm_of_the_domain_raises_a_suspicion_once():
    """A VM that noticed a cut of its domain late refused what others sent."""
    links = upstream_links.UpstreamLinks()
    links.on_received("c:1", 0.0, 0.9)
    links.note_partitioned_peer("vm-3", 1.0)
    assert links.suspicion(1.0) is _Suspicion.PEER
    links.begin_confirmation(1.0)
    links.refute(1.1)
    for tick in range(11, 60):
        links.note_partitioned_peer("vm-3", tick / 10)
        assert links.suspicion(tick / 10) is _Suspicion.NONE
    links.note_partitioned_peer("vm-6", 6.0)
    assert links.suspicion(6.0) is _Suspicion.PEER


def test_refuted_reports_of_one_vm_delay_no_other_confirmation():
    """After four of them, two failed connections were noticed after 5.1 s."""
    links = upstream_links.UpstreamLinks()
    for number in range(4):
        now = 2.5 * number
        links.note_partitioned_peer("vm-3", now)
        assert links.suspicion(now) is _Suspicion.PEER
        links.begin_confirmation(now, _Suspicion.PEER)
        links.refute(now, _Suspicion.PEER)
    links.on_open_failed("a:1", 7.6)
    links.on_open_failed("b:1", 7.6)
    links.on_received("c:1", -5.0, 8.5)
    later = 7.5 + upstream_links.CONFIRMATION_INTERVAL_S
    assert links.suspicion(later) is _Suspicion.FAILURES


def test_a_report_of_a_partition_counts_until_a_confirmation_is_judged():
    """It was lost if the process paused or no upstream was known."""
    links = upstream_links.UpstreamLinks()
    links.note_partitioned_peer("vm-3", 1.0)
    links.begin_confirmation(1.0, _Suspicion.PEER)
    assert links.suspicion(1.5) is _Suspicion.NONE
    assert links.suspicion(2.1) is _Suspicion.PEER
    links.begin_confirmation(2.1, _Suspicion.PEER)
    # Arrives during the confirmation, so this doesn't answer it.
    links.note_partitioned_peer("vm-6", 2.2)
    links.refute(2.3, _Suspicion.PEER)
    assert links.suspicion(3.4) is _Suspicion.PEER
    links.begin_confirmation(3.4, _Suspicion.PEER)
    links.refute(3.5, _Suspicion.PEER)
    assert links.suspicion(4.6) is _Suspicion.NONE


def test_an_idle_vm_has_no_strong_evidence_by_silence():
    """Its refuted suspicions were confirmed anew each second."""
    links = _refuted_often(0.0)
    links.on_sent("a:1", 0.1)
    links.on_received("a:1", -1.0, 0.2)
    links.on_open_failed("b:1", 1.1)
    links.on_open_failed("c:1", 1.1)
    assert links.suspicion(1.2) is _Suspicion.NONE


def test_existing_connections_that_deliver_data_are_used_on():
    links = _partitioned(0.0)
    links.on_received("a:1", -1.0, 1.0)
    assert links.state(1.1) is _LinkState.NO_NEW_CONNECTIONS
    later = 1.0 + upstream_links.DATA_TTL_S
    assert links.state(later) is _LinkState.ISOLATED
    assert links.is_isolated(later)


def test_a_partition_ends_once_several_upstreams_are_reached():
    links = _partitioned(0.0)
    links.on_received("a:1", 5.0, 5.0)
    assert not links.end_if_regained(10, 5.0)
    links.on_received("b:1", 5.2, 5.2)
    assert links.end_if_regained(10, 5.2)
    assert links.state(5.3) is _LinkState.CONNECTED


def test_one_upstream_that_comes_and_goes_does_not_end_it():
    links = _partitioned(0.0)
    links.on_received("a:1", 5.0, 5.0)
    links.on_open_failed("a:1", 5.2)
    links.on_received("b:1", 5.4, 5.4)
    assert not links.end_if_regained(10, 5.4)


def test_the_only_upstream_of_a_deployment_ends_it_alone():
    links = _partitioned(0.0)
    links.on_received("a:1", 5.0, 5.0)
    assert links.end_if_regained(1, 5.0)


def test_upstreams_of_each_domain_are_sampled_without_those_that_left():
    table = targets.TargetTable()
    domains = [builders.HOME, builders.AWAY]
    for number in range(8):
        table.put(
            builders.upstream(
                f"u-{number}",
                address=f"u-{number}:1",
                failure_domain=domains[number % 2],
            ),
            0.0,
        )
    table.mark_unregistered("u-0", 0.0)
    sampled = upstream_sampling.sample(table, 2, {"u-1:1"})
    assert len(sampled) == 4
    assert not {"u-0:1", "u-1:1"} & set(sampled)
    table.evacuate(builders.AWAY, 0.0)
    sampled = upstream_sampling.sample(table)
    domains_by_address = {
        target.upstream.address: target.upstream.failure_domain
        for target in table.by_id.values()
    }
    assert {domains_by_address[a] for a in sampled} == {builders.HOME}
