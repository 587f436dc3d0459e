"""Checks that VMs obey what servers state about themselves.

Times are those of the servers and callers. `is_excused` returns whether a VM,
or its path to a server, had a fault between two times, in which case its
requests don't count.
"""

import collections
import collections.abc

from tests.integration import gateways
from tests.integration import users_standins

# A VM stops sending to a server this long after it relayed an answer that says
# that the server is leaving.
DRAIN_S = 2.0
# Requests of one VM that may reach a server in the pause that it asked for,
# from this long after the rejection.
MAX_IN_PAUSE, PAUSE_LEARNING_S = 2, 0.5
# A limit is kept from this long after it was first stated, by VMs that were
# told of one this long before, in windows of this length, within a ratio and a
# number of requests.
LIMIT_GRACE_S, LIMIT_LEARNING_S, LIMIT_WINDOW_S = 3.0, 0.5, 4.0
LIMIT_RATIO, LIMIT_SLACK = 1.5, 5

# Takes the name of a server, a VM and two times.
Excuse = collections.abc.Callable[[str, int, float, float], bool]


def never_excused(server: str, vm: int, start: float, end: float) -> bool:
    """Excuses nothing."""
    return False


def violations(
    site: gateways.Site, is_excused: Excuse = never_excused
) -> list[str]:
    """Returns the violations of all servers of a site."""
    found = []
    for server in site.cluster.by_id.values():
        by_vm = _arrivals_by_vm(site, server)
        found += _after_exit_announced(site, server, by_vm, is_excused)
        found += _in_pauses(server, by_vm, is_excused)
        found += _above_limit(server, by_vm, is_excused)
    return found


def _arrivals_by_vm(
    site: gateways.Site, server: users_standins.Server
) -> dict[int, list[users_standins.Arrival]]:
    by_vm = collections.defaultdict(list)
    for arrival in server.arrivals:
        if arrival.attempt in site.callers.sends:
            vm, _ = site.callers.sends[arrival.attempt]
            by_vm[vm].append(arrival)
    return by_vm


def _after_exit_announced(site, server, by_vm, is_excused) -> list[str]:
    found = []
    for vm, arrivals in by_vm.items():
        told_at = min(
            (a.answered_at for a in arrivals if "Server-Leaving" in a.stated),
            default=float("inf"),
        )
        for arrival in arrivals:
            _, sent_at = site.callers.sends[arrival.attempt]
            is_late = sent_at > told_at + DRAIN_S
            if is_late and not is_excused(server.name, vm, told_at, arrival.at):
                found.append(
                    f"{server.name} got {arrival.attempt} of vm-{vm}"
                    f" {sent_at - told_at:.2f} s after it announced its exit"
                )
    return found


def _in_pauses(server, by_vm, is_excused) -> list[str]:
    found = []
    for vm, arrivals in by_vm.items():
        for rejected in arrivals:
            pause_s = float(rejected.stated.get("Retry-After", 0.0))
            start = rejected.answered_at + PAUSE_LEARNING_S
            end = rejected.answered_at + pause_s
            count = sum(start < arrival.at < end for arrival in arrivals)
            if count > MAX_IN_PAUSE and not is_excused(
                server.name, vm, rejected.answered_at, end
            ):
                found.append(
                    f"{server.name} got {count} requests of vm-{vm} in the"
                    f" {pause_s} s without requests that it asked for"
                )
    return found


def _above_limit(server, by_vm, is_excused) -> list[str]:
    stated = sorted(
        (arrival.answered_at, float(arrival.stated["Server-Limit"]))
        for arrivals in by_vm.values()
        for arrival in arrivals
        if "Server-Limit" in arrival.stated
    )
    if not stated:
        return []
    first, last = stated[0][0], stated[-1][0]
    limit_per_s = max(value for _, value in stated)
    counted = []
    for vm, arrivals in by_vm.items():
        told_at = min(
            (a.answered_at for a in arrivals if "Server-Limit" in a.stated),
            default=float("inf"),
        )
        counted += [
            arrival.at
            for arrival in arrivals
            if told_at + LIMIT_LEARNING_S <= arrival.at <= last
            and arrival.at >= first + LIMIT_GRACE_S
            and not is_excused(
                server.name, vm, arrival.at - LIMIT_GRACE_S, arrival.at
            )
        ]
    counted.sort()
    bound = LIMIT_RATIO * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    most = max(
        (
            sum(start <= at < start + LIMIT_WINDOW_S for at in counted)
            for start in counted
        ),
        default=0,
    )
    if most <= bound:
        return []
    return [
        f"{server.name} with a limit of {limit_per_s}/s got {most} requests in"
        f" {LIMIT_WINDOW_S} s"
    ]
