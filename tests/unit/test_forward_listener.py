"""Which forwarded requests a VM takes, and when a prober concludes nothing."""

import asyncio
import types

from aiohttp import test_utils
from aiohttp import web_response
import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import caller_requests
from swiftstile.gateway import connection_pool
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forward_listener
from swiftstile.gateway import gossip
from swiftstile.gateway import link_probes
from swiftstile.gateway import model
from swiftstile.gateway import planned_stop
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from tests import gateway_builders as builders

_RUN, _HOST = "aaaaaaaa", "10.0.0.2"


class _Handler:

    def __init__(self, version: int | None):
        self.config = None if version is None else builders.config(version)
        self.handled: list[caller_requests.IncomingRequest] = []

    async def handle(self, incoming):
        self.handled.append(incoming)
        return web_response.Response(text="served")


def _listener(handler: _Handler) -> forward_listener.ForwardListener:
    peers = gossip.Peers(builders.node_row("vm-1"), lambda *_: None)
    row = builders.node_row("vm-2", _RUN, address=f"{_HOST}:7000")
    peers.apply(row, row.node, 0.0)
    return forward_listener.ForwardListener(
        "127.0.0.1:1",
        handler,
        peers,
        metrics.Meters(),
        planned_stop.PlannedStop(),
    )


def _respond(
    listener,
    version: int = 3,
    run: str = _RUN,
    host: str = _HOST,
    length: str = "0",
) -> web_response.Response:
    origin = forward_headers.Origin(
        run, 0.5, 1, builders.LOOKUPS, model.ConfigVersion(version), "9.9.9.9"
    )
    request = test_utils.make_mocked_request(
        "POST",
        "/a/x",
        headers=dict(origin.headers()) | {"Content-Length": length, "X-A": "1"},
        payload=object() if length != "0" else None,
    ).clone(remote=host)
    incoming = caller_requests.IncomingRequest(
        request, clocks.monotonic(), asyncio.sleep
    )
    return asyncio.run(listener.respond(incoming))


def _outcome(response) -> str:
    return response.headers.get(forward_headers.OUTCOME_HEADER, "")


def test_a_request_is_handled_as_the_first_vm_would_have():
    handler = _Handler(3)
    response = _respond(_listener(handler))
    assert response.text == "served"
    (incoming,) = handler.handled
    assert incoming.origin.sends == 1
    assert incoming.request.remote == "9.9.9.9"
    assert clocks.monotonic() - incoming.arrived >= 0.5
    names = {name.lower() for name in incoming.request.headers}
    assert "x-a" in names
    assert not [name for name in names if name.startswith("swiftstile-")]


@pytest.mark.parametrize("version", [None, 2])
def test_a_vm_with_an_older_configuration_refuses(version):
    handler = _Handler(version)
    response = _respond(_listener(handler), version=3)
    assert (response.status, _outcome(response)) == (503, "config-behind")
    assert not handler.handled


@pytest.mark.parametrize(
    ("run", "host"), [("bbbbbbbb", _HOST), (_RUN, "10.0.0.3")]
)
def test_only_a_registered_run_at_its_own_address_is_served(run, host):
    handler = _Handler(3)
    response = _respond(_listener(handler), run=run, host=host)
    assert (response.status, _outcome(response)) == (503, "unknown-vm")
    assert not handler.handled


def test_more_requests_than_it_can_take_are_refused():
    handler = _Handler(3)
    listener = _listener(handler)
    listener._requests = forward_listener.MAX_REQUESTS
    response = _respond(listener)
    assert (response.status, _outcome(response)) == (503, "forward-limit")
    assert listener.in_flight == forward_listener.MAX_REQUESTS
    assert not handler.handled


def test_more_bytes_than_it_can_take_are_refused():
    handler = _Handler(3)
    listener = _listener(handler)
    too_long = str(forward_listener.MAX_BODY_BYTES + 1)
    assert _outcome(_respond(listener, length=too_long)) == "forward-limit"
    assert _respond(listener).text == "served"


class _DeadPool:
    """No connection opens; the clock advances as if the process was paused."""

    def __init__(self, clock, paused_s: float):
        self._clock = clock
        self._paused_s = paused_s

    async def opens(self, _address: str, _for_s: float) -> bool:
        self._clock.now += self._paused_s
        return False

    async def answers(self, _address: str, _path: str) -> bool:
        return False


@pytest.mark.parametrize(("paused_s", "concludes"), [(0.1, True), (2.0, False)])
def test_a_pause_of_the_process_is_not_taken_for_a_partition(
    monkeypatch, paused_s, concludes
):
    clock = types.SimpleNamespace(now=100.0)
    monkeypatch.setattr(clocks, "monotonic", lambda: clock.now)
    table = targets.TargetTable()
    table.put(builders.upstream("u-1", address="u-1:1"), clock.now)
    links = upstream_links.UpstreamLinks()
    prober = link_probes.LinkProber(
        links,
        _DeadPool(clock, paused_s),
        table,
        lambda _: "/health",
        lambda: None,
        lambda: None,
    )
    asyncio.run(prober._confirm(upstream_links.Suspicion.FAILURES))
    assert links.is_partitioned is concludes


def _table(port: int) -> targets.TargetTable:
    """Returns one upstream at a port of this host."""
    table = targets.TargetTable()
    upstream = builders.upstream("u-1", address=f"127.0.0.1:{port}")
    table.put(upstream, clocks.monotonic())
    return table


def _prober(
    links: upstream_links.UpstreamLinks, table: targets.TargetTable
) -> link_probes.LinkProber:
    return link_probes.LinkProber(
        links,
        connection_pool.ConnectionPool("", links),
        table,
        lambda _: "/health",
        lambda: None,
        lambda: None,
    )


class _LateResets(asyncio.Protocol):
    """Resets connections some time after they were opened."""

    AFTER_S = 0.15

    def connection_made(self, transport) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.AFTER_S, transport.abort)


@pytest.mark.parametrize("others_deliver", [False, True])
def test_connections_that_are_reset_late_refute_no_suspicion(others_deliver):
    """A busy host opened connections and reset them after 30 ms.

    A VM took that for a working path and noticed a cut after 5 s.
    """

    async def confirm() -> bool:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_LateResets, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = upstream_links.UpstreamLinks()
        prober = _prober(links, _table(port))
        now = clocks.monotonic()
        if others_deliver:
            # Existing connections live.
            loop.call_later(0.05, links.on_received, "u-2:1", -1.0, now + 0.05)
        await prober._confirm(upstream_links.Suspicion.FAILURES)
        server.close()
        return links.is_partitioned

    assert asyncio.run(confirm())


class _Healthy(asyncio.Protocol):
    """Answers each request."""

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    ("upstreams", "is_cut", "concludes"),
    [(1, True, False), (3, False, False), (3, True, True)],
)
def test_one_failed_connection_leads_to_a_trial_of_others(
    upstreams, is_cut, concludes
):
    """A VM that rarely opens connections noticed a cut after 7 s."""

    async def confirm() -> bool:
        loop = asyncio.get_running_loop()
        protocol = _LateResets if is_cut else _Healthy
        links = upstream_links.UpstreamLinks()
        table = targets.TargetTable()
        servers = []
        for number in range(upstreams):
            server = await loop.create_server(protocol, "127.0.0.1", 0)
            servers.append(server)
            host, port = server.sockets[0].getsockname()
            address = f"{host}:{port}"
            upstream = builders.upstream(f"u-{number}", address=address)
            table.put(upstream, clocks.monotonic())
        links.on_open_failed(address, clocks.monotonic())
        prober = _prober(links, table)
        await prober._confirm(upstream_links.Suspicion.ONE_FAILURE)
        for server in servers:
            server.close()
        return links.is_partitioned

    assert asyncio.run(confirm()) is concludes


def test_a_full_upstream_that_keeps_connections_open_refutes_a_suspicion():
    """It answers no health check, and others deliver data."""

    async def confirm() -> bool:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = upstream_links.UpstreamLinks()
        prober = _prober(links, _table(port))
        now = clocks.monotonic()
        loop.call_later(0.2, links.on_received, "u-2:1", -1.0, now + 0.2)
        await prober._confirm(upstream_links.Suspicion.FAILURES)
        server.close()
        return links.is_partitioned

    assert not asyncio.run(confirm())


@pytest.mark.parametrize(("upstreams", "concludes"), [(1, False), (4, True)])
def test_a_trial_that_tries_nothing_keeps_the_evidence(upstreams, concludes):
    """All new connections failed while old ones delivered data.

    After refuted suspicions, a trial found no upstream that hadn't failed and
    counted this as a proof that new connections work.
    """
    links = upstream_links.UpstreamLinks()
    now = clocks.monotonic()
    for _ in range(4):
        links.begin_confirmation(now - 3.0)
        links.refute(now - 3.0)
    table = targets.TargetTable()
    for number in range(upstreams):
        address = f"u-{number}:1"
        table.put(builders.upstream(f"u-{number}", address=address), now)
        links.on_open_failed(address, now - 1.0)
    links.on_received("u-0:1", now - 9.0, now)
    assert links.suspicion(now) is upstream_links.Suspicion.ONE_FAILURE
    prober = link_probes.LinkProber(
        links,
        _DeadPool(types.SimpleNamespace(now=now), 0.0),
        table,
        lambda _: "/health",
        lambda: None,
        lambda: None,
    )
    asyncio.run(prober._confirm(upstream_links.Suspicion.ONE_FAILURE))
    assert len(links.failed_addresses) == upstreams
    assert links.is_partitioned is concludes
