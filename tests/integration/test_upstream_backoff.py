"""Upstreams that reject and ask for a pause get none from that VM in it."""

import asyncio

from tests.integration import gateways
from tests.integration import statement_checks

_LOAD_PER_S = 100
_PAUSE_S = 3.0
_REJECTING_S = 6.0


def _run(tmp_path, scenario, count: int = 4) -> None:
    asyncio.run(gateways.Site(tmp_path, count, seed=13).run_scenario(scenario))


def test_a_vm_sends_nothing_in_the_pause_that_an_upstream_asks_for(tmp_path):
    async def scenario(site):
        by_service = {s.service: s for s in site.cluster.by_id.values()}

        async def ask_for_pauses():
            await asyncio.sleep(1.0)
            for server in by_service.values():
                server.backoff_s = _PAUSE_S
            await asyncio.sleep(_REJECTING_S)
            for server in by_service.values():
                server.backoff_s = None
            await asyncio.sleep(_PAUSE_S)

        await site.callers.load_while(_LOAD_PER_S, ask_for_pauses())
        assert statement_checks.violations(site) == []
        await site.until(site.is_serving, 5)
        refused = site.log_lines("refused")
        assert any(0 < line.get("backoff_ms", 0) <= 3000 for line in refused)

    _run(tmp_path, scenario)
