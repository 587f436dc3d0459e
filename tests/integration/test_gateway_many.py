"""Many gateways: readers of the store, and failures of readers."""

import asyncio
import signal

from tests.integration import gateways
from tests.integration import users_standins

# Time for starting two dozen processes and one round of calls that must all
# succeed at each of them: 12 s on an idle machine, over 30 s on a busy one.
_START_S = 120
# Eight in each of three domains: more than read the store independently, and
# more in other domains than form a full mesh.
_COUNT = 24
_NEW_ROUTE = users_standins.plain_route("/read/new/", "safe")


def _events(gateway: gateways.Gateway, event: str) -> int:
    return gateway.log.read_text().count(f'"event":"{event}"')


def test_a_configuration_reaches_all_though_readers_are_killed(tmp_path):
    async def scenario(site):
        # With equal bandwidth the readers are the VMs whose names sort first.
        zone = [g for g in site.gateways if g.zone == gateways.ZONES[0]]
        lost = sorted(zone, key=lambda g: f"vm-{g.number}")[:2]
        others = [g for g in site.gateways if g not in lost]
        for gateway in lost:
            await gateway.stop(signal.SIGKILL)
        site.store.put("op", "config", users_standins.config(5, _NEW_ROUTE))

        def know() -> bool:
            # The first event is the configuration that they started with.
            return all(
                _events(gateway, "configuration in force") == 2
                for gateway in others
            )

        async with asyncio.timeout(6):
            while not know():
                await asyncio.sleep(0.05)
        # Most fetched it from a reader and not from the store.
        relayed = sum(
            _events(gateway, "rows from a peer") > 0 for gateway in others
        )
        assert relayed > len(others) / 2
        for gateway in others[::5]:
            outcome = await site.callers.call("/read/new/x", gateway=gateway)
            assert outcome.status == 200

    site = gateways.Site(tmp_path, _COUNT)
    asyncio.run(site.run_scenario(scenario, start_s=_START_S))
