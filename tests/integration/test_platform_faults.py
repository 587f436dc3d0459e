"""Daemons keep running with their last known state if the platform fails."""

import pytest

from benchmarks import processes
from tests.integration import callers

KEY = {"Swiftstile-Key": "k"}


@pytest.mark.parametrize(
    "listed", [b"[{}]", b"null", b'[{"id": "x", "state": null}]', b"\xff"]
)
def test_malformed_vm_list_is_treated_as_outage(fleet, listed):
    for domain in ("a", "b", "c"):
        fleet.platform.put_vm_list(domain, listed)
    fetched = fleet.platform.stats()["vm_lists"]
    # Twelve fetches, two for each of the six daemons, so that each has read it.
    processes.wait_until(
        lambda: fleet.platform.stats()["vm_lists"] >= fetched + 12, 15, "reads"
    )
    answer = callers.send(
        next(iter(fleet.vms.values())).router_port,
        "/tiny/store/x",
        headers=KEY,
    )
    fleet.publish_vms()
    assert answer.status == 200
    assert all(process.is_running() for process in fleet.all_processes())


def test_bundle_arrives_after_an_outage(fleet, tmp_path):
    path = tmp_path / "bundle.ini"
    path.write_text(fleet.organisation.bundle())
    fleet.platform.faults(outage=True)
    vms = list(fleet.vms.values())

    def no_router_reaches_it():
        states = [fleet.status(vm.router_metrics) for vm in vms]
        return all(s and not s["platform_reachable"] for s in states)

    processes.wait_until(no_router_reaches_it, 15, "outage noticed")
    answer = callers.send(vms[0].router_port, "/tiny/store/x", headers=KEY)
    assert answer.status == 200
    with pytest.raises(RuntimeError, match="exited with 4"):
        fleet.run_cli("bundle", "approve", str(path))
    fleet.platform.faults()
    version = fleet.run_cli("bundle", "approve", str(path))["version"]
    fleet.run_cli("bundle", "roll", "tiny", str(version))

    def in_force():
        states = [fleet.status(vm.router_metrics) for vm in vms]
        return all(s and s["bundles"]["tiny"] == version for s in states)

    processes.wait_until(in_force, 15, "bundle in force everywhere")


def test_stale_reads_do_not_revert_to_an_older_bundle(fleet, tmp_path):
    path = tmp_path / "bundle.ini"
    path.write_text(fleet.organisation.bundle())
    version = fleet.run_cli("bundle", "approve", str(path))["version"]
    fleet.run_cli("bundle", "roll", "tiny", str(version))
    vms = list(fleet.vms.values())

    def versions():
        states = [fleet.status(vm.router_metrics) for vm in vms]
        return [s["bundles"]["tiny"] for s in states if s]

    processes.wait_until(lambda: set(versions()) == {version}, 15, "in force")
    fleet.platform.faults(lag_reads=1.0)
    try:
        before = fleet.platform.stats()["reads"]
        processes.wait_until(
            lambda: fleet.platform.stats()["reads"] > before + 20, 15, "reads"
        )
        assert set(versions()) == {version}
    finally:
        fleet.platform.faults()
