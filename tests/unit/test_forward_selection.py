"""Which VM a request is forwarded to, without a network."""

import collections
import random

import pytest

from swiftstile import metrics
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forward_selection
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from tests import gateway_builders as builders

_NOW = 100.0
_DOMAINS = ("d-0", "d-1", "d-2")


def _peers(me: int, vms: int, isolated: set[int]) -> gossip.Peers:
    """Returns what a VM knows of a deployment in which some are isolated."""
    rows = [
        builders.node_row(
            f"vm-{number}",
            domain=_DOMAINS[number % len(_DOMAINS)],
            forward_port=9,
        )
        for number in range(vms)
    ]
    peers = gossip.Peers(rows[me], lambda *_: None)
    for number, row in enumerate(rows):
        if number == me:
            continue
        peers.apply(row, row.node, _NOW)
        made = builders.report(row, is_isolated=number in isolated)
        peers.by_node[row.node].record_direct_report(made, _NOW)
    return peers


def _carried(vms: int, cut: set[int], requests: int) -> collections.Counter:
    """Returns how many requests each VM carries at a time for those cut off."""
    random.seed(7)
    carried: collections.Counter = collections.Counter()
    selectors = {
        number: forward_selection.ForwardSelector(_peers(number, vms, cut))
        for number in cut
    }
    for _ in range(requests):
        for selector in selectors.values():
            node = selector.choose((), _NOW).row.node
            selector.note_started(node)
            carried[node] += 1
    return carried


@pytest.mark.parametrize(
    ("vms", "cut", "carriers"),
    [
        # One of each domain: its three neighbours.
        (12, {0, 1, 2}, 9),
        # A whole domain: all VMs of the others.
        (12, {0, 3, 6, 9}, 8),
        (12, set(range(2, 12)), 2),
        (60, {0, 1, 2}, 57),
    ],
)
def test_the_load_is_shared_by_all_that_may_carry_it(vms, cut, carriers):
    carried = _carried(vms, cut, 100)
    assert len(carried) == carriers
    assert not {f"vm-{number}" for number in cut} & carried.keys()
    mean = sum(carried.values()) / carriers
    assert max(carried.values()) <= 1.5 * mean


def test_vms_of_the_own_domain_are_asked_first():
    selector = forward_selection.ForwardSelector(_peers(0, 12, {0, 3, 6}))
    chosen = {selector.choose((), _NOW).row.node for _ in range(50)}
    assert chosen == {"vm-9"}


def test_a_vm_that_refused_is_not_asked_again_for_a_while():
    selector = forward_selection.ForwardSelector(_peers(0, 3, {0, 1}))
    chosen = selector.choose((), _NOW).row.node
    assert selector.choose({chosen}, _NOW) is None
    selector.avoid(chosen, _NOW)
    assert selector.choose((), _NOW) is None
    later = _NOW + forward_selection.AVOID_S / 2
    assert selector.has_any(later)


def test_none_is_asked_if_all_are_isolated():
    selector = forward_selection.ForwardSelector(_peers(0, 4, {0, 1, 2, 3}))
    assert selector.choose((), _NOW) is None
    assert not selector.has_any(_NOW)


def test_headers_of_a_forwarded_request_are_read_as_written():
    origin = forward_headers.Origin(
        "run-1",
        0.25,
        2,
        builders.LOOKUPS,
        model.ConfigVersion(7),
        "10.0.0.1",
    )
    assert forward_headers.parse(dict(origin.headers())) == origin


@pytest.mark.parametrize("age", ["", "-1", "x", "1" * 10])
def test_a_malformed_header_of_a_forwarded_request_is_refused(age):
    with pytest.raises(outcomes.BadRequestError):
        forward_headers.parse({"Swiftstile-Age-Ms": age})


def test_a_caller_cannot_state_anything_about_its_request():
    sent = [("Swiftstile-Sends", "0"), ("X-Other", "1")]
    assert forward_headers.end_to_end(sent) == [("X-Other", "1")]


def _reaches_any(table: targets.TargetTable, down: set[str]) -> bool:
    """Returns whether an upstream that is tried can be reached."""
    return bool(set(upstream_links.sample(table)) - down)


@pytest.mark.parametrize("seed", range(20))
def test_the_loss_of_all_upstreams_of_a_service_is_no_partition(seed):
    random.seed(seed)
    draw = random.Random(seed)
    table = targets.TargetTable()
    for number in range(12):
        table.put(
            builders.upstream(
                f"u-{number}",
                address=f"u-{number}:1",
                failure_domain=_DOMAINS[number % len(_DOMAINS)],
            ),
            0.0,
        )
    # The service has an upstream in each domain.
    down = {f"u-{number}:1" for number in range(len(_DOMAINS))}
    links = upstream_links.UpstreamLinks(metrics.Meters())
    now, suspected = 0.0, 0
    for _ in range(2000):
        now += draw.expovariate(30.0)
        address = draw.choice(sorted(down))
        if draw.random() < 0.5:
            links.on_open_failed(address, now)
        else:
            links.on_sent("u-9:1", now)
            links.on_received("u-9:1", -1.0, now + 0.02)
        if links.suspicion(now) is not upstream_links.Suspicion.NONE:
            suspected += 1
            links.begin_confirmation(now)
            if _reaches_any(table, down):
                links.refute(now)
            else:
                links.record_partition(now)
    assert suspected
    assert links.state(now) is upstream_links.LinkState.CONNECTED
