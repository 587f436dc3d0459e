"""When a VM concludes that it has lost its links to all upstreams."""

from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from tests import gateway_builders as builders

_LinkState = upstream_links.LinkState


def _partitioned(now: float) -> upstream_links.UpstreamLinks:
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", now)
    links.on_open_failed("b:1", now)
    links.begin_confirmation(now)
    links.record_partition(now)
    return links


def test_one_failing_upstream_raises_no_suspicion():
    links = upstream_links.UpstreamLinks()
    for at in range(5):
        links.on_open_failed("a:1", at / 10)
    assert not links.is_suspicious(0.5)


def test_several_that_fail_in_a_row_raise_a_suspicion():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_broken("b:1", 0.1)
    assert links.is_suspicious(0.2)
    assert not links.is_suspicious(0.2 + upstream_links.FAILURE_TTL_S)


def test_a_connection_that_opens_in_between_refutes_it():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_opened("c:1", 0.05)
    links.on_open_failed("b:1", 0.1)
    assert not links.is_suspicious(0.2)


def test_requests_without_any_data_raise_a_suspicion():
    links = upstream_links.UpstreamLinks()
    links.on_sent("a:1", 0.0)
    assert not links.is_suspicious(upstream_links.SILENCE_S / 2)
    links.on_sent("b:1", 0.3)
    assert links.is_suspicious(upstream_links.SILENCE_S + 0.01)
    links.on_received("b:1", 0.5)
    assert not links.is_suspicious(1.0)


def test_confirmations_are_spaced():
    links = upstream_links.UpstreamLinks()
    links.on_open_failed("a:1", 0.0)
    links.on_open_failed("b:1", 0.0)
    links.begin_confirmation(0.1)
    assert not links.is_suspicious(0.2)
    assert links.is_suspicious(0.1 + upstream_links.CONFIRMATION_INTERVAL_S)


def test_existing_connections_that_deliver_data_are_used_on():
    links = _partitioned(0.0)
    links.on_received("a:1", 1.0)
    assert links.state(1.1) is _LinkState.NO_NEW_CONNECTIONS
    later = 1.0 + upstream_links.DATA_TTL_S
    assert links.state(later) is _LinkState.ISOLATED
    assert links.is_isolated(later)


def test_a_partition_ends_once_several_upstreams_are_reached():
    links = _partitioned(0.0)
    links.on_opened("a:1", 5.0)
    assert not links.end_if_regained(10, 5.0)
    links.on_opened("b:1", 5.2)
    assert links.end_if_regained(10, 5.2)
    assert links.state(5.3) is _LinkState.CONNECTED


def test_one_upstream_that_comes_and_goes_does_not_end_it():
    links = _partitioned(0.0)
    links.on_opened("a:1", 5.0)
    links.on_open_failed("a:1", 5.2)
    links.on_opened("b:1", 5.4)
    assert not links.end_if_regained(10, 5.4)


def test_the_only_upstream_of_a_deployment_ends_it_alone():
    links = _partitioned(0.0)
    links.on_opened("a:1", 5.0)
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
    sampled = upstream_links.sample(table, 2, {"u-1:1"})
    assert len(sampled) == 4
    assert not {"u-0:1", "u-1:1"} & set(sampled)


def test_another_upstream_that_was_reached_shows_that_one_is_down():
    links = upstream_links.UpstreamLinks()
    links.on_opened("a:1", 1.0)
    assert links.reaches_any(0.5, "b:1")
    assert not links.reaches_any(0.5, "a:1")
    assert not links.reaches_any(1.5, "b:1")
