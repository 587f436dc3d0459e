"""The store returns from a copy that lacks what it last acknowledged."""

import asyncio
import signal

import pytest

from tests.integration import gateways
from tests.integration import users_standins

_LOAD_PER_S = 80
# Requests are handled by a change this long after it was acknowledged.
_IN_FORCE_S = 2.0
# Servers get no request this long after they said that they leave.
_DRAIN_S = 2.0
_ALL_SERVED_S = 10.0
# Keys that each VM is asked for.
_SAMPLED_KEYS = range(0, users_standins.KEYS, 8192)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _run(tmp_path, scenario, vms: int = 4, seed: int = 41) -> None:
    asyncio.run(gateways.Site(tmp_path, vms, seed).run_scenario(scenario))


async def _return_older(site, away_s: float, age_s: float) -> None:
    """Takes the store away for a moment; it returns from an older copy."""
    site.store.is_away = True
    await asyncio.sleep(away_s)
    site.store.return_from_copy(away_s + age_s)
    site.store.is_away = False


async def _write_often(site, seconds: float) -> None:
    """Raises the version of the store far beyond that of its copy."""
    end = _now() + seconds
    while _now() < end:
        site.store.put("op", "note", {"at": _now()})
        await asyncio.sleep(0.01)


def test_changes_after_the_return_are_in_force_in_time(tmp_path):
    async def scenario(site):
        late: list[str] = []

        async def change():
            await _write_often(site, 2.5)
            await _return_older(site, 1.0, 2.0)
            await asyncio.sleep(1.0)
            site.store.write_again()
            await asyncio.sleep(1.0)
            leaving = next(iter(site.cluster.by_id.values()))
            leaving.is_leaving = True
            leaving.register("draining")
            route = users_standins.plain_route("/new/", "safe")
            site.store.put("op", "config", users_standins.config(9, route))
            acknowledged_at = _now()
            await asyncio.sleep(_IN_FORCE_S)
            for gateway in site.gateways:
                outcome = await site.callers.call("/new/x", 3, gateway)
                if outcome.status != 200:
                    late.append(f"vm-{gateway.number}: {outcome.status}")
            await asyncio.sleep(1.5)
            late.extend(
                f"{arrival.attempt} after {arrival.at - acknowledged_at:.2f} s"
                for arrival in leaving.arrivals
                if arrival.at > acknowledged_at + _DRAIN_S
            )

        await site.callers.load_while(_LOAD_PER_S, change())
        assert late == []

    _run(tmp_path, scenario)


def test_what_was_in_force_stays_until_it_is_written_again(tmp_path):
    async def scenario(site):
        route = users_standins.plain_route("/new/", "safe")
        served: list[int] = []
        gone: list[float] = []

        async def change():
            await asyncio.sleep(2.0)
            site.store.put("op", "config", users_standins.config(9, route))
            joined = await site.add_server("keyed", gateways.ZONES[0])
            left = next(
                s for s in site.cluster.by_id.values() if s.service == "plain"
            )
            left.is_leaving = True
            left.register("draining")
            left_at = _now()
            await asyncio.sleep(1.5)
            await _return_older(site, 0.5, 1.9)
            for _ in range(8):
                served.extend(
                    [
                        (await site.callers.call("/new/x", 3, gateway)).status
                        for gateway in site.gateways
                    ]
                )
                await asyncio.sleep(0.3)
            gone.extend(a.at - left_at for a in left.arrivals)
            site.store.write_again()
            await asyncio.sleep(2.0)
            assert joined.is_up

        await site.callers.load_while(_LOAD_PER_S, change())
        assert set(served) == {200}
        assert max(gone, default=0.0) <= _DRAIN_S
        await site.until(site.is_serving, 5.0)

    _run(tmp_path, scenario)


@pytest.mark.parametrize("seed", [51, 52, 53])
def test_keys_have_one_owner_when_vms_die_and_the_store_returns_twice(
    tmp_path, seed
):
    async def scenario(site):
        async def fail():
            for killed in (0, 1):
                # Keys move while writes are being lost.
                server = await site.add_server("keyed", gateways.ZONES[killed])
                await asyncio.sleep(1.6)
                await site.gateways[killed].stop(signal.SIGKILL)
                await _return_older(site, 0.6, 1.5 + 0.7 * killed)
                await site.gateways[killed].start()
                await asyncio.sleep(0.8)
                site.store.write_again()
                await asyncio.sleep(2.0)
                assert server.is_up

        await site.callers.load_while(_LOAD_PER_S, fail())
        await site.until(site.is_serving, _ALL_SERVED_S)
        assert site.violated_guarantees() == []

    _run(tmp_path, scenario, vms=5, seed=seed)


def test_all_vms_that_start_after_the_return_serve_with_one_owner(tmp_path):
    async def scenario(site):
        async def fail():
            await site.add_server("keyed", gateways.ZONES[0])
            await asyncio.sleep(2.0)
            for gateway in site.gateways:
                await gateway.stop(signal.SIGKILL)
            site.store.return_from_copy(2.5)
            for gateway in site.gateways:
                await gateway.start()
            site.store.write_again()
            await asyncio.sleep(8.0)

        await site.callers.load_while(20, fail())
        await site.until(site.is_serving, _ALL_SERVED_S)
        assert site.violated_guarantees() == []

    _run(tmp_path, scenario)
