"""Tests that crashing requests are also rejected after waiting for a slot.

If few upstreams are left, a crashing request waits for a slot. Meanwhile the VM
may receive reports of its last crashes. When requests were checked on arrival
only, such a request was still sent and reached four upstreams after the time
limit that follows its third crash; three are allowed.
"""

import asyncio
import types

import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import causes
from swiftstile.gateway import crash_guard as crash_guard_lib
from swiftstile.gateway import fingerprint
from swiftstile.gateway import gossip
from swiftstile.gateway import handler as handler_lib
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import planned_stop
from swiftstile.gateway import request_holds
from swiftstile.gateway import send_limits
from swiftstile.gateway import suspects
from swiftstile.gateway import upload_slots
from swiftstile.gateway import upstream_links
from tests import gateway_builders as builders


class _Permits:
    """Grants a slot after receiving reports of other VMs."""

    def __init__(self, during_wait):
        self._during_wait = during_wait
        self._target = builders.target_table(builders.upstream("u-1")).by_id[
            "u-1"
        ]
        self.released = 0

    async def acquire(self, waiter: admission.Waiter):
        self._during_wait()
        return self._target

    def release(self, waiter, target) -> None:
        self.released += 1


class _CrashGuard:
    """Rejects every request."""

    def __init__(self):
        self.has_suspects = False

    def check(self, digest, now) -> bool:
        raise outcomes.CrashingRequestError("a cause", step="look for suspects")


class _Client:

    def __init__(self):
        self.sent = 0

    async def send(self, call, target):
        self.sent += 1
        raise outcomes.UnknownOutcomeError("cut", step="send")


def _run_handler(
    crash_guard: _CrashGuard, permits: _Permits, is_probe: bool
) -> _Client:
    client = _Client()
    handler = types.SimpleNamespace(
        _permits=permits,
        _client=client,
        _crash_guard=crash_guard,
        _links=upstream_links.UpstreamLinks(),
        upload_slots=upload_slots.UploadSlots(),
        _send_limits=send_limits.SendLimits(planned_stop.PlannedStop()),
        _latest_send=lambda *_: float("inf"),
        _needs_other_vm=lambda _: False,
        _record_send=lambda *_: None,
        _crash_detector=types.SimpleNamespace(begin=lambda *_: None),
        _record_end=lambda *_: None,
        _update_target=lambda *_: None,
        _retries=types.SimpleNamespace(
            may_retry=lambda *_: False, final_error=lambda error, *_: error
        ),
    )

    async def may_resend(*_) -> bool:
        return True

    handler._check_for_crash = may_resend
    call = types.SimpleNamespace(
        digest=lambda: b"d" * 16,
        is_probe=is_probe,
        begin_send=lambda: None,
        deadline=clocks.monotonic() + 1,
        hold=request_holds.RequestHold(),
    )
    waiter = builders.waiter(clocks.monotonic(), None)
    run = handler_lib.RequestHandler._send_with_retries(
        handler, call, waiter, None, None
    )
    with pytest.raises(outcomes.GatewayError):
        asyncio.run(run)
    return client


def test_request_identified_as_crashing_while_waiting_is_not_sent():
    crash_guard = _CrashGuard()

    def receive_report() -> None:
        crash_guard.has_suspects = True

    permits = _Permits(receive_report)
    assert _run_handler(crash_guard, permits, is_probe=False).sent == 0
    assert permits.released == 1


def test_probe_is_sent():
    crash_guard = _CrashGuard()
    crash_guard.has_suspects = True
    permits = _Permits(lambda: None)
    assert _run_handler(crash_guard, permits, is_probe=True).sent == 1


def _guard(peers: gossip.Peers, started: float) -> crash_guard_lib.CrashGuard:
    return crash_guard_lib.CrashGuard(
        suspects.SuspectTable(), peers, started, metrics.Meters()
    )


def _peers_with_one(now: float) -> gossip.Peers:
    peers = gossip.Peers(builders.node_row(), lambda *_: None)
    row = builders.node_row("vm-2")
    peers.apply(row, row.node, now)
    return peers


def test_a_vm_that_starts_waits_for_a_peer_that_receives_its_reports():
    peers = _peers_with_one(100.0)
    guard = _guard(peers, 100.0)
    peer = peers.by_node["vm-2"]
    report = builders.report(peer.row)
    assert not guard.is_informed(100.1, knows_peers=True)
    peer.record_direct_report(report, 100.2, receives_us=False)
    assert not guard.is_informed(100.2, knows_peers=True)
    peer.record_direct_report(report, 100.3, receives_us=True)
    assert guard.is_informed(100.3, knows_peers=True)
    # It stays informed when its peers are gone.
    assert guard.is_informed(105.0, knows_peers=True)


def test_a_vm_does_not_wait_for_peers_that_do_not_answer():
    guard = _guard(_peers_with_one(100.0), 100.0)
    late = 100.0 + crash_guard_lib.INFORM_TIMEOUT_S
    assert not guard.is_informed(late - 0.01, knows_peers=True)
    assert guard.is_informed(late + 0.01, knows_peers=True)


def test_a_vm_without_peers_waits_only_until_it_knows_that():
    peers = gossip.Peers(builders.node_row(), lambda *_: None)
    guard = _guard(peers, 100.0)
    assert not guard.is_informed(100.1, knows_peers=False)
    assert guard.is_informed(100.1, knows_peers=True)


def test_peers_are_told_of_new_runs():
    peers = _peers_with_one(100.0)
    told = []
    peers.on_new_run = told.append
    row = peers.by_node["vm-2"].row
    peers.apply(row, row.node, 101.0)
    assert told == []
    peers.apply(builders.node_row("vm-2", run="another1"), row.node, 102.0)
    assert told == [102.0]


def _urgent(table: suspects.SuspectTable, now: float) -> tuple:
    report = builders.report(builders.node_row(), suspicions=table.report(now))
    return gossip._urgent_state(report)


def test_crashes_are_urgent_only_when_they_are_new():
    # Suspects that are reported in turn would make each report urgent.
    table = suspects.SuspectTable()
    for number in range(20):
        digest = fingerprint.Digest(bytes([number]) * 16)
        for crash in (1, 2):
            name = causes.crash_id(model.UpstreamId(f"u-{number}"), crash)
            table.record_crash(digest, name, 0.1, 100.0 + crash)
    states = [_urgent(table, 200.0 + tick) for tick in range(5)]
    assert states == states[:1] * 5
    name = causes.crash_id(model.UpstreamId("u-1"), 3)
    table.record_crash(fingerprint.Digest(b"\1" * 16), name, 0.1, 210.0)
    assert _urgent(table, 210.0) != states[0]
    assert _urgent(table, 215.0) == states[0]
