"""Exclusive ownership under failures, also with single safeguards disabled.

The tests that disable a safeguard show that the checks detect its absence.
"""

import signal

import pytest

from benchmarks import evidence
from benchmarks import fleet as fleet_lib
from benchmarks import processes
from swiftstile import hashing
from swiftstile import ids
from swiftstile.provider import base
from tests import builders
from tests.integration import callers


def position(key):
    return hashing.key_hash(*builders.SERVICE, ids.Key(key))


def owner_of(fleet, key) -> str:
    return fleet.assignments()[-1].at(position(key)).server


def fence_of(fleet, key) -> int:
    return fleet.assignments()[-1].at(position(key)).fence


def wait_moved(fleet, key, old):
    return processes.wait_until(
        lambda: (new := owner_of(fleet, key)) not in ("", old) and new,
        20,
        f"{key} moved off {old}",
    )


def ask(fleet, key, port=None, method="GET"):
    port = port or next(iter(fleet.vms.values())).router_port
    headers = {"Swiftstile-Key": key}
    return callers.send(port, "/tiny/store/x", method, headers=headers)


def overlaps(fleet) -> int:
    journals = fleet.journals()
    granted = evidence.overlapping_intervals(evidence.intervals(journals))
    return granted + evidence.overlapping_runs(journals)


def ask_resumed_stale_owner(fleet, key) -> callers.Answer:
    """Pauses a key's owner until the key has moved, resumes and queries it."""
    server = fleet.servers[owner_of(fleet, key)]
    fence = fence_of(fleet, key)
    assert ask(fleet, key).status == 200
    server.process.send_signal(signal.SIGSTOP)
    wait_moved(fleet, key, server.name)
    assert ask(fleet, key).status == 200
    server.process.send_signal(signal.SIGCONT)
    headers = {"Swiftstile-Key": key, "Swiftstile-Fence": str(fence)}
    return callers.send(server.port, "/x", headers=headers)


def test_resumed_server_rejects_requests_of_moved_keys(fleet):
    answer = ask_resumed_stale_owner(fleet, "frozen")
    assert (answer.status, answer.outcome) == (421, "not-run")
    assert overlaps(fleet) == 0


def test_overlap_is_detected_if_servers_ignore_fences(tmp_path):
    organisation = builders.tiny_organisation(checks_fence=True)
    names = [f"store-{index:02d}" for index in (1, 2, 3)]
    options = {name: ["--ignores-fence"] for name in names}
    with fleet_lib.Fleet(
        organisation, tmp_path, 1, server_options=options
    ) as fleet:
        answer = ask_resumed_stale_owner(fleet, "frozen")
        assert answer.status == 200
        assert overlaps(fleet) > 0


@pytest.mark.parametrize(
    ("module", "is_broken"),
    [("swiftstile", False), ("tests.integration.broken_wait", True)],
)
def test_slices_of_a_crashed_server_move_after_its_lease(
    tmp_path, module, is_broken
):
    organisation = builders.tiny_organisation(checks_fence=True)
    with fleet_lib.Fleet(organisation, tmp_path, 1, module=module) as fleet:
        old = owner_of(fleet, "k")
        fleet.servers[old].process.kill()
        fleet.fault(f"*:{old}", "reset")
        wait_moved(fleet, "k", old)
        assert ask(fleet, "k").status == 200
        assert (overlaps(fleet) > 0) == is_broken


@pytest.mark.parametrize(
    ("module", "is_broken"),
    [("swiftstile", False), ("tests.integration.broken_route_lease", True)],
)
def test_stale_router_with_servers_without_fence_checks(
    tmp_path, module, is_broken
):
    organisation = builders.tiny_organisation(checks_fence=False)
    with fleet_lib.Fleet(organisation, tmp_path, 1, module=module) as fleet:
        holder = fleet.keyed_holder()
        stale = next(v for v in fleet.vms.values() if v.domain != holder.domain)
        old = owner_of(fleet, "k")
        # The router still reaches the servers, but no coordinator.
        fleet.fault(f"{stale.domain}>*:vm-*", "blackhole")
        fleet.servers[old].state = base.VmState.LEAVING
        fleet.publish_vms()
        wait_moved(fleet, "k", old)
        assert ask(fleet, "k", holder.router_port).status == 200
        answer = ask(fleet, "k", stale.router_port)
        if is_broken:
            assert answer.status == 200
        else:
            assert (answer.status, answer.outcome) == (503, "not-run")
        assert (overlaps(fleet) > 0) == is_broken


def test_announced_assignment_survives_its_coordinator(fleet):
    version = fleet.assignments()[-1].version
    key = "announced"
    owner, fence = owner_of(fleet, key), fence_of(fleet, key)
    holder = fleet.keyed_holder()
    holder.coordinator.kill()
    fleet.fault(f"*:{holder.name}", "reset")
    successor = fleet.keyed_holder()
    assert successor is not holder
    assert ask(fleet, key).status == 200
    assert fleet.assignments()[-1].version >= version
    assert fence_of(fleet, key) >= fence
    if fence_of(fleet, key) == fence:
        assert owner_of(fleet, key) == owner
    fleet.fault(f"*:{holder.name}", "none")
    fleet.start_coordinator(holder)
    processes.wait_until(fleet.is_ready, 20, "coordinator back")
    assert overlaps(fleet) == 0


def holds(fleet, vm) -> bool | None:
    """Returns whether a coordinator holds the lease; None if unknown."""
    state = fleet.status(vm.coordinator_metrics)
    entry = state and state["services"].get(str(builders.SERVICE))
    return entry["holding"] if entry else None


def test_two_coordinators_never_both_hold(fleet):
    """A coordinator that was paused past its lease steps down."""
    holder = fleet.keyed_holder()
    holder.coordinator.send_signal(signal.SIGSTOP)
    others = [vm for vm in fleet.vms.values() if vm is not holder]

    def taken_over():
        return any(holds(fleet, vm) for vm in others)

    processes.wait_until(taken_over, 20, "take-over")
    holder.coordinator.send_signal(signal.SIGCONT)

    def stepped_down():
        return holds(fleet, holder) is False

    processes.wait_until(stepped_down, 20, "old holder steps down")
    assert ask(fleet, "k").status == 200
    assert overlaps(fleet) == 0


def test_leaving_server_hands_over_without_an_unanswered_request(fleet):
    key = "leaving"
    old = fleet.servers[owner_of(fleet, key)]
    old.state = base.VmState.LEAVING
    fleet.publish_vms()
    answers = []

    def moved():
        answers.append(ask(fleet, key, method="POST"))
        return owner_of(fleet, key) != old.name

    processes.wait_until(moved, 20, "handed over")
    answers.append(ask(fleet, key, method="POST"))
    old.state = base.VmState.LIVE
    fleet.publish_vms()
    assert {answer.status for answer in answers} == {200}
    assert overlaps(fleet) == 0


def test_coordinator_shutdown_hands_over_at_once(fleet):
    holder = fleet.keyed_holder()
    holder.coordinator.send_signal(signal.SIGTERM)
    assert holder.coordinator.wait(10) == 0
    fleet.fault(f"*:{holder.name}", "reset")
    assert fleet.keyed_holder() is not holder
    assert ask(fleet, "k").status == 200
    fleet.fault(f"*:{holder.name}", "none")
    fleet.start_coordinator(holder)
    processes.wait_until(fleet.is_ready, 20, "coordinator back")
    assert overlaps(fleet) == 0


def cancelled_moves(fleet) -> int:
    state = fleet.status(fleet.keyed_holder().coordinator_metrics)
    return state["meters"]["ownership"].get("moves-called-off", 0)


def test_keys_keep_their_owner_if_the_table_refuses_a_move(fleet):
    key = "refused"
    old = fleet.servers[owner_of(fleet, key)]
    before = cancelled_moves(fleet)
    fleet.platform.faults(refuse_writes=True)
    old.state = base.VmState.LEAVING
    fleet.publish_vms()
    answers = []

    def tried_three_times():
        answers.append(ask(fleet, key))
        return cancelled_moves(fleet) >= before + 3

    try:
        processes.wait_until(tried_three_times, 20, "moves called off")
    finally:
        fleet.platform.faults()
    assert {answer.status for answer in answers} == {200}
    wait_moved(fleet, key, old.name)
    old.state = base.VmState.LIVE
    fleet.publish_vms()
    assert ask(fleet, key).status == 200
    assert overlaps(fleet) == 0


def test_each_change_of_ownership_is_in_the_audit_trail(fleet):
    before = [a.version for a in fleet.assignments()]
    entries = fleet.run_cli("audit", "tiny", "--ownership", "store")
    after = [a.version for a in fleet.assignments()]
    # Slices may move during the test; each version must have its record.
    listed = [entry["version"] for entry in entries]
    assert listed == after[: len(listed)]
    assert len(before) <= len(listed) <= len(after)
    assert all(entry["actor"] and entry["reason"] for entry in entries)
    mine = fleet.run_cli(
        "audit", "tiny", "--ownership", "store", "--actor", "nobody"
    )
    assert mine == []
