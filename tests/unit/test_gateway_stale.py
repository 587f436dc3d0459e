"""When a gateway may answer that there is no such route.

Users got 404 for routes that the operator had added seconds before, from VMs to
which peers had published the new configuration, or whose calls to the store
failed.
"""

import asyncio

from aiohttp import test_utils
import msgspec
import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import caller_requests
from swiftstile.gateway import decision_log
from swiftstile.gateway import follow
from swiftstile.gateway import freshness
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import service_samples
from swiftstile.gateway import upstream_links
from tests import gateway_builders as builders

_MANY = 10**6


class _Clock:

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)


class _Readers:
    """Readers that publish a table's status, or don't."""

    def __init__(self, are_publishing: bool):
        self.are_publishing = are_publishing

    def must_read_store(self, table, watch_s, now):
        return not self.are_publishing

    def is_large_domain(self, now):
        return True

    def is_reader(self, now):
        return False


def _follower(store_readers=None, table=None) -> follow.TableFollower:
    return follow.TableFollower(
        "operations",
        table or builders.MemoryTable(),
        lambda _: None,
        store_readers=store_readers,
        reader_watch_s=1.0,
    )


def _dependent() -> follow.TableFollower:
    """Returns a follower whose peers published no change at 100.0."""
    made = _follower(_Readers(are_publishing=True))
    made.accept(interfaces.Snapshot([], 2), True)
    made._record_peer_coverage(100.0)
    return made


async def _until(condition) -> None:
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.005)


def test_nothing_is_current_before_the_first_answer():
    made = _follower()
    assert not made.is_current(clocks.monotonic())
    # A peer's rows alone don't prove that there are no newer ones.
    made.accept(interfaces.Snapshot([], 2), True)
    assert not made.is_current(clocks.monotonic())


def test_rows_are_current_while_the_store_answers_and_not_while_it_fails():
    async def run():
        table = builders.MemoryTable()
        made = _follower(table=table)
        task = asyncio.create_task(made.run())
        await _until(lambda: made.is_current(clocks.monotonic()))
        table.refuse = _MANY
        await _until(lambda: not made.is_current(clocks.monotonic()))
        assert made.failing_since is not None
        table.refuse = 0
        await _until(lambda: made.is_current(clocks.monotonic()))
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("store_readers", "wait_s"),
    [(None, follow.WATCH_S), (_Readers(are_publishing=False), 1.0)],
)
def test_a_waiting_call_is_trusted_until_its_answer_is_late(
    monkeypatch, store_readers, wait_s
):
    clock = _Clock(monkeypatch)
    made = _follower(store_readers)
    # The call that succeeded was sent a whole long poll before.
    made._record_contact(clock.now - wait_s)
    assert made.is_current(clock.now + wait_s + 0.3)
    assert not made.is_current(
        clock.now + wait_s + freshness.ANSWER_MARGIN_S + 0.01
    )


def test_rows_are_not_current_while_a_published_one_is_missing():
    made = _dependent()
    assert made.is_current(100.1)
    made.record_reported_version(8, 100.1)
    assert not made.is_current(100.1)
    made._record_peer_coverage(100.2)
    assert not made.is_current(100.2)
    made.accept(interfaces.Snapshot([], 8), False)
    made._record_peer_coverage(100.4)
    assert made.is_current(100.4)


def test_peers_status_is_trusted_for_two_check_intervals():
    made = _dependent()
    assert made.is_current(100.0 + follow.PEER_TRUST_S - 0.01)
    assert not made.is_current(100.0 + follow.PEER_TRUST_S + 0.01)


class _FewVms:
    """A domain in which each VM reads the store itself."""

    def is_large_domain(self, now):
        return False

    def must_read_store(self, table, watch_s, now):
        return True


def test_new_rows_are_published_while_peers_may_lack_them(monkeypatch):
    clock = _Clock(monkeypatch)
    made = follow.TableFollower(
        "operations",
        builders.MemoryTable(),
        lambda _: None,
        store_readers=_FewVms(),
        announces_changes=True,
    )
    row = interfaces.Change("config", b"1", 7)
    made.accept(interfaces.Snapshot([row], 9), True)
    assert made.published_status(clock.now).version == 7
    # A VM whose call stopped responding before that knows by now.
    assert made.published_status(clock.now + follow.ANNOUNCE_S + 0.1) is None


class _Dialect:

    def parse_request(self, headers):
        return interfaces.RequestMetadata("attempt-1", 1.0, None)


def _handler(operations: follow.TableFollower) -> handler_lib.RequestHandler:
    made = handler_lib.RequestHandler(
        permits=_EmptyQueue(),
        client=None,
        dialect=_Dialect(),
        target_table=builders.target_table(),
        key_owners=None,
        retry_budget=None,
        speed_table=None,
        log=decision_log.BoundedLog(fd=1),
        store=_follower(),
        operations=operations,
        guard=_Guard(),
        detector=None,
        links=upstream_links.UpstreamLinks(),
        forwarder=None,
        meters=metrics.Meters(),
        sampler=service_samples.ServiceTimeSampler(lambda: False),
    )
    made.config = builders.config()
    return made


class _EmptyQueue:
    queued = 0


class _Guard:

    @staticmethod
    def is_informed(now: float, knows_peers: bool) -> bool:
        return True


def _answer(
    handler: handler_lib.RequestHandler, path: str
) -> outcomes.GatewayError:
    """Returns the error that answers a request without a route."""
    request = test_utils.make_mocked_request(
        "GET", path, headers={"Host": "a.example"}
    )
    assert not handler.may_run_concurrently(request)
    return _refusal(handler, request)


def _refusal(
    handler: handler_lib.RequestHandler, request
) -> outcomes.GatewayError:
    incoming = caller_requests.IncomingRequest(
        request, clocks.monotonic(), None
    )
    with pytest.raises(outcomes.GatewayError) as caught:
        asyncio.run(handler.handle(incoming))
    return caught.value


def test_no_route_is_final_only_while_the_configuration_is_current(monkeypatch):
    clock = _Clock(monkeypatch)
    operations = _follower()
    operations._record_contact(clock.now)
    handler = _handler(operations)
    assert _answer(handler, "/b/x").status == 404
    operations.record_reported_version(8, clock.now)
    error = _answer(handler, "/b/x")
    assert isinstance(error, outcomes.StaleConfigError)
    assert error.status == 503
    assert 0 < error.retry_after_s < 1
    assert handler._meters.refusals.get("config-behind") == 1


def test_a_route_that_is_known_is_taken_from_an_old_configuration():
    handler = _handler(_follower())
    request = test_utils.make_mocked_request(
        "GET", "/a/x", headers={"Host": "a.example"}
    )
    route, _ = handler._route(request)
    assert route.name == "r-1"


# Sizes of requests that the configuration in force doesn't allow.
#
# Guards against final answers 413 and 431, as 404 is, for requests that a newer
# configuration allows. The operator raises a limit; the store refuses this VM,
# or a peer publishes the newer row; a request beyond the old limit arrives.
# Only routes were checked for whether the configuration is current.


class _NoRoundRobin:

    def next_service(self, route):
        return builders.LOOKUPS


class _NoBudget:

    def note_request(self, service, now):
        """Counts nothing."""


def _limited(operations: follow.TableFollower) -> handler_lib.RequestHandler:
    """Returns a handler with limits that a request may exceed."""
    made = _handler(operations)
    made._round_robin, made._budget = _NoRoundRobin(), _NoBudget()
    limits = model.Limits(max_header_bytes=100, max_body_bytes=100)
    made.config = msgspec.structs.replace(made.config, limits=limits)
    return made


def _large(header: int = 0, body: int = 0):
    headers = {"Host": "a.example", "X-Note": "x" * header}
    headers["Content-Length"] = str(body)
    return test_utils.make_mocked_request("POST", "/a/x", headers=headers)


@pytest.mark.parametrize(
    ("request_", "status"), [(_large(header=200), 431), (_large(body=200), 413)]
)
def test_sizes_are_final_only_while_the_configuration_is_current(
    monkeypatch, request_, status
):
    clock = _Clock(monkeypatch)
    operations = _follower()
    operations._record_contact(clock.now)
    handler = _limited(operations)
    assert _refusal(handler, request_).status == status
    operations.record_reported_version(8, clock.now)
    error = _refusal(handler, request_)
    assert isinstance(error, outcomes.StaleConfigError)
    assert 0 < error.retry_after_s < 1
