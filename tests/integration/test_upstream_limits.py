"""Upstreams that state a rate limit get no more than that from all VMs."""

import asyncio

from tests.integration import gateways

_LIMIT_PER_S = 3.0
# Time from the first statement of a limit until it has to be kept.
_GRACE_S = 3.0
# Requests that may reach a limited upstream in any window of this length.
_WINDOW_S = 4.0
_MAX_IN_WINDOW = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
# A limited upstream under more load than that has to get this share of it.
_MIN_USED = 0.7
_LOAD_PER_S = 100
_STATED_S = 9.0
# Service time at which requests without an owner need all upstreams.
_LONG_WORK_S = 0.3


def _run(tmp_path, scenario, count: int = 4) -> None:
    asyncio.run(gateways.Site(tmp_path, count, seed=11).run_scenario(scenario))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _busiest_of_each_service(site) -> list:
    by_service = {}
    for server in site.cluster.by_id.values():
        known = by_service.setdefault(server.service, server)
        if len(server.arrivals) > len(known.arrivals):
            by_service[server.service] = server
    return list(by_service.values())


def _most_in_window(arrivals: list[float]) -> int:
    return max(
        (
            sum(at <= other < at + _WINDOW_S for other in arrivals)
            for at in arrivals
        ),
        default=0,
    )


def _check_limits(servers, since: float, until: float) -> None:
    for server in servers:
        arrivals = [
            arrival.at
            for arrival in server.arrivals
            if since <= arrival.at < until
        ]
        assert _most_in_window(arrivals) <= _MAX_IN_WINDOW, server.service
        used = len(arrivals) / (until - since) / _LIMIT_PER_S
        assert used >= _MIN_USED, server.service


def test_all_vms_together_keep_the_limit_that_an_upstream_states(tmp_path):
    async def scenario(site):
        for server in site.cluster.by_id.values():
            if server.service == "plain":
                server.work_s = _LONG_WORK_S

        async def state_limits():
            await asyncio.sleep(1.0)
            servers = _busiest_of_each_service(site)
            for server in servers:
                server.limit_per_s = _LIMIT_PER_S
            since = _now() + _GRACE_S
            await asyncio.sleep(_GRACE_S + _STATED_S)
            _check_limits(servers, since, _now())

        await site.callers.load_while(_LOAD_PER_S, state_limits())
        assert any(
            line.get("limit_per_s") == _LIMIT_PER_S and "limit_age_ms" in line
            for line in site.log_lines("sent")
        )

    _run(tmp_path, scenario)
