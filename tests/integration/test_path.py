"""End-to-end tests with real processes: bundles, owners, limits, shutdown."""

import concurrent.futures
import signal
import threading

import pytest

from benchmarks import processes
from swiftstile import cli
from swiftstile.commandline import shared
from tests import builders
from tests.integration import callers

KEY = {"Swiftstile-Key": "k"}


def router_ports(fleet):
    return [vm.router_port for vm in fleet.vms.values()]


@pytest.mark.parametrize("name", ["fleet", "unfenced_fleet"])
def test_a_key_has_one_owner_whatever_the_router(name, request):
    fleet = request.getfixturevalue(name)
    for number in range(20):
        for port in router_ports(fleet):
            headers = {
                "Swiftstile-Key": f"key-{number}",
                "Swiftstile-Request-Id": f"owner-{number}-{port}",
            }
            answer = callers.send(port, "/tiny/store/x", headers=headers)
            assert (answer.status, answer.outcome) == (200, "answered")
    owners: dict[str, set[str]] = {}
    for server, entries in fleet.journals().items():
        for entry in entries:
            if getattr(entry, "request_id", "").startswith("owner-"):
                owners.setdefault(entry.key, set()).add(server)
    assert len(owners) == 20
    assert all(len(servers) == 1 for servers in owners.values())
    assert len(set.union(*owners.values())) == 3


def test_bodies_and_answers_are_forwarded_completely(fleet):
    port = router_ports(fleet)[0]
    for size in (0, 1, 70_000, 3_000_000):
        body = bytes(size)
        path = f"/tiny/forms/x?bytes={size}"
        answer = callers.send(port, path, "POST", body)
        assert answer.status == 200
        assert len(answer.body) >= size
        chunked = callers.send(port, path, "POST", iter([body, b"end"]))
        assert chunked.status == 200


def test_head_has_no_body(fleet):
    answer = callers.send(router_ports(fleet)[0], "/tiny/forms/x", "HEAD")
    assert (answer.status, answer.body) == (200, b"")


def test_deadline_passes_to_the_server_and_ends_the_wait(fleet):
    port = router_ports(fleet)[0]
    headers = KEY | {"Swiftstile-Timeout-Ms": "200"}
    answer = callers.send(port, "/tiny/store/x?ms=3000", headers=headers)
    # The request was sent, so it may have run.
    assert (answer.status, answer.outcome) == (502, "unknown")


def test_disconnected_caller_frees_its_slot(fleet):
    port = router_ports(fleet)[0]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        waits = [
            pool.submit(
                callers.send,
                port,
                "/tiny/store/x?ms=20000",
                headers=KEY,
                timeout=0.5,
            )
            for _ in range(8)
        ]
        assert all(isinstance(w.exception(), TimeoutError) for w in waits)
    # Those callers had taken all three slots of the key's owner.
    headers = KEY | {"Swiftstile-Timeout-Ms": "3000"}
    answer = callers.send(port, "/tiny/store/x", headers=headers)
    assert answer.status == 200


def test_concurrent_rolls_leave_the_newest_version_in_force(fleet, tmp_path):
    path = tmp_path / "bundle.ini"
    path.write_text(builders.tiny_organisation(True).bundle())
    versions = [
        fleet.run_cli("bundle", "approve", str(path))["version"]
        for _ in range(2)
    ]
    settings = str(fleet.settings_file(next(iter(fleet.vms.values()))))
    barrier = threading.Barrier(2)

    def roll(version):
        barrier.wait()
        words = ["bundle", "roll", "tiny", str(version)]
        return cli.main([*words, "--settings", settings, "--operator", "me"])

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        statuses = list(pool.map(roll, versions))
    # Either both were rolled out in order, or one was refused.
    assert shared.EXIT_OK in statuses
    assert set(statuses) <= {
        shared.EXIT_OK,
        shared.EXIT_CONFLICT,
        shared.EXIT_USAGE,
    }
    in_force = fleet.run_cli("bundle", "show", "tiny")["head"]["in_force"]
    winners = [
        v
        for v, s in zip(versions, statuses, strict=True)
        if s == shared.EXIT_OK
    ]
    assert in_force == max(winners)
    assert roll_status(settings, versions[0]) == shared.EXIT_USAGE

    def everywhere():
        states = [fleet.status(v.router_metrics) for v in fleet.vms.values()]
        return all(s and s["bundles"]["tiny"] == in_force for s in states)

    processes.wait_until(everywhere, 15, "bundle in force everywhere")
    numbers = [entry["number"] for entry in fleet.run_cli("audit", "tiny")]
    assert numbers == list(range(1, len(numbers) + 1))


def roll_status(settings, version):
    words = ["bundle", "roll", "tiny", str(version), "--settings", settings]
    return cli.main(words)


def test_writes_with_lost_answers_are_settled(fleet, tmp_path):
    path = tmp_path / "bundle.ini"
    path.write_text(builders.tiny_organisation(True).bundle())
    before = len(fleet.run_cli("audit", "tiny"))
    fleet.platform.faults(lose_answers=0.6)
    try:
        version = fleet.run_cli("bundle", "approve", str(path))["version"]
        fleet.run_cli("bundle", "roll", "tiny", str(version))
    finally:
        fleet.platform.faults()
    shown = fleet.run_cli("bundle", "show", "tiny")["head"]
    assert shown["in_force"] == version
    # No retry added a second entry.
    assert len(fleet.run_cli("audit", "tiny")) == before + 2


def test_sigterm_finishes_what_is_in_flight(fleet):
    vm = list(fleet.vms.values())[-1]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        slow = [
            pool.submit(
                callers.send, vm.router_port, f"/tiny/forms/x?ms=1500&n={n}"
            )
            for n in range(4)
        ]
        processes.wait_until(
            lambda: _in_flight(fleet, vm) >= 4, 5, "requests in flight"
        )
        vm.router.send_signal(signal.SIGTERM)
        answers = [future.result() for future in slow]
    assert [answer.status for answer in answers] == [200] * 4
    assert vm.router.wait(10) == 0
    fleet.start_router(vm)
    processes.wait_until(fleet.is_ready, 20, "router back")


def _in_flight(fleet, vm) -> int:
    state = fleet.status(vm.router_metrics)
    return state["in_flight"] if state else 0
