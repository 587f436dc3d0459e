"""Tests that closed sites leave nothing large in the test process.

Stand-ins that stay alive make each full garbage collection longer, up to
seconds in a run of all tests. The process answers nothing in that time, and
whichever test runs then fails by a timeout.
"""

import asyncio
import gc
import weakref

from tests.integration import gateways
from tests.integration import users_standins


def _run_site(folder) -> list[weakref.ref]:
    """Runs a site with requests; returns references to its stand-ins."""
    references = []

    async def scenario(site: gateways.Site) -> None:
        for _ in range(20):
            await site.callers.call("/read/x")
            await site.callers.call("/write/x")
        standins = [site.store, site.cluster, *site.cluster.by_id.values()]
        references.extend(weakref.ref(standin) for standin in standins)

    site = gateways.Site(folder, 1)
    asyncio.run(site.run_scenario(scenario))
    return references


def test_standins_of_a_closed_site_are_freed(tmp_path):
    """Guards against caches that keep the servers of earlier tests."""
    references = _run_site(tmp_path)
    gc.collect()
    alive = [type(found()).__name__ for found in references if found()]
    assert references and alive == []


def test_closed_servers_free_their_records_of_keys():
    """Guards against records that stay until the next full collection."""

    async def scenario() -> users_standins.Server:
        cluster = users_standins.Cluster(users_standins.Store())
        server = await cluster.start("keyed", "z1")
        assert len(server.held_until) == len(server.fences)
        assert len(server.fences) == users_standins.KEYS
        await cluster.close()
        return server

    server = asyncio.run(scenario())
    assert (len(server.held_until), len(server.fences)) == (0, 0)
