"""The operator evacuates a failure domain and revokes the evacuation.

The operator writes that a failure domain is to get no more requests, the store
acknowledges it, and the domain's upstreams are then maintained, lose their
caches or stop. VMs that ignored the row kept sending a third of all requests
there, and owners in that domain kept their keys. Callers wouldn't notice at
once.
"""

import asyncio

from tests.integration import gateways
from tests.integration import users_standins

_ZONE = "z2"
_ROW = f"evacuate/{_ZONE}"
# Time from the store's answer until no request may reach an upstream of the
# domain.
_BOUND_S = 5.0
_KEYS = range(0, users_standins.KEYS, 1024)


def _run(tmp_path, scenario) -> None:
    asyncio.run(gateways.Site(tmp_path, 3, seed=7).run_scenario(scenario))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _ran_in(site, zone: str, since: float) -> list[users_standins.Run]:
    return [
        run
        for run in site.cluster.runs
        if run.started >= since and site.cluster.by_id[run.server].zone == zone
    ]


async def _all_keys_served(site) -> None:
    """Waits until each VM served each key; keys that move are refused."""
    for gateway in site.gateways:
        for key in _KEYS:

            async def is_served(gateway=gateway, key=key):
                outcome = await site.callers.call("/read/x", key, gateway)
                return outcome.status == 200

            await site.until(is_served, 15)


async def _pass_bound(site, evacuated_at: float) -> None:
    async def is_over():
        await site.callers.call()
        return _now() > evacuated_at + _BOUND_S

    await site.until(is_over, _BOUND_S + 5)


def test_an_evacuated_domain_gets_no_requests_until_revoked(tmp_path):
    async def scenario(site):
        site.store.put("op", _ROW, {})
        evacuated_at = _now()
        await _pass_bound(site, evacuated_at)
        since = _now()
        await _all_keys_served(site)
        for _ in range(100):
            assert (await site.callers.call("/write/x")).status == 200
        assert _ran_in(site, _ZONE, since) == []

        site.store.remove("op", _ROW)

        async def is_back():
            await site.callers.call()
            services = {
                site.cluster.by_id[run.server].service
                for run in _ran_in(site, _ZONE, since)
            }
            return services == {"keyed", "plain"}

        await site.until(is_back, 15)

    _run(tmp_path, scenario)


def test_a_vm_that_starts_sends_nothing_to_an_evacuated_domain(tmp_path):
    async def scenario(site):
        site.store.put("op", _ROW, {})
        await _pass_bound(site, _now())
        gateway = site.gateways[0]
        await gateway.stop(gateways.signal.SIGKILL)
        since = _now()
        await gateway.start()

        async def is_serving():
            return (await site.callers.call(gateway=gateway)).status == 200

        await site.until(is_serving, 15)
        await _all_keys_served(site)
        assert _ran_in(site, _ZONE, since) == []

    _run(tmp_path, scenario)


def test_where_all_domains_are_evacuated_requests_are_refused_at_once(tmp_path):
    async def scenario(site):
        for zone in gateways.ZONES:
            site.store.put("op", f"evacuate/{zone}", {})
        await _pass_bound(site, _now())
        since = _now()
        for path in ("/read/x", "/write/x"):
            asked_at = _now()
            outcome = await site.callers.call(path)
            assert outcome.status == 503
            assert _now() - asked_at < 0.5
        assert not any(run.started >= since for run in site.cluster.runs)

        for zone in gateways.ZONES:
            site.store.remove("op", f"evacuate/{zone}")
        await site.until(site.is_serving, 15)

    _run(tmp_path, scenario)
