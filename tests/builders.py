"""Builders of test data of the router, coordinator and benchmarks."""

from benchmarks import load
from benchmarks import organisations
from standins import journal
from swiftstile import ids
from swiftstile.ownership import leases
from swiftstile.ownership import slices
from swiftstile.routing import outcomes

SERVICE = ids.ServiceId(ids.OrganisationId("tiny"), ids.ServiceName("store"))


def tiny_organisation(checks_fence: bool) -> organisations.Organisation:
    """Three entry VMs, three keyed servers, two shared ones."""
    return organisations.Organisation(
        "tiny",
        (
            organisations.Service("store", 3, True, 0.7, 0.2),
            organisations.Service("forms", 2, False, 0.3, 0.5),
        ),
        checks_fence=checks_fence,
        churn_budget=0.5,
        vms_per_domain=1,
    )


def candidate(name: str) -> leases.Candidate:
    return leases.Candidate(ids.VmId(name), ids.Incarnation(f"{name}#1"))


def servers(count: int) -> list[ids.ServerId]:
    return [ids.ServerId(f"s{index}") for index in range(count)]


def assignment(server_count: int = 3, per_server: int = 4) -> slices.Assignment:
    return slices.initial(servers(server_count), per_server, ids.Epoch(1))


def run(
    request_id: str = "r",
    idempotency_key: str = "",
    key: str = "k",
    fence: int = 1,
    start: float = 1.0,
    commit: float = 2.0,
) -> journal.Run:
    return journal.Run(
        request_id, idempotency_key, key, 5, fence, start, commit
    )


def record(
    request_id: str = "r",
    outcome: outcomes.Outcome = outcomes.Outcome.ANSWERED,
    is_protected: bool = True,
    is_crossed: bool = False,
) -> load.Record:
    return load.Record(
        request_id,
        "store",
        "k",
        is_protected,
        1.0,
        0.01,
        200,
        outcome.value,
        is_crossed,
    )
