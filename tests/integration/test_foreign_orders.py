"""Sites whose servers answer grants and releases with copies of answers.

The copies bear no id of their call, so that a grant's answer can be told from
them by its position only.
"""

import asyncio

import pytest

from tests.integration import foreign_bytes
from tests.integration import gateways
from tests.integration import users_standins

_REPLACED = 6
# Grants to a server are delayed for this long before it leaves.
_DELAYS_FOR_S = 1.0
# A server that leaves serves for this long before its registration ends.
_LEAVES_FOR_S = 2.5


async def _replace_server(site, server, delayed_share: float):
    """Lets a server leave, and returns the one that takes its place.

    Args:
        site: The site.
        server: The server. Some grants to it take effect late, unanswered.
        delayed_share: Share of these grants.
    """
    server.delayed_grant_share = delayed_share
    await asyncio.sleep(_DELAYS_FOR_S)
    server.is_leaving = True
    server.register("draining")
    await asyncio.sleep(_LEAVES_FOR_S)
    server.unregister()
    await server.exit()
    return await site.add_server(server.service, server.zone)


def _add_copies(server, path: str) -> None:
    """Lets a server send copies before its answers to requests of a path."""
    server.work_s = 0.3
    server.echoes_ids_of_orders = False
    server.noise = foreign_bytes.Noise(
        repeat_share=1.0,
        repeat_path=path,
        covers_orders=True,
        seed=server.incarnation,
    )


async def _load(site, ended: asyncio.Event) -> None:
    """Sends requests with keys, which take long."""
    calls: set[asyncio.Task] = set()
    while not ended.is_set():
        call = asyncio.create_task(site.callers.call("/read/x"))
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(1 / 40)
    if calls:
        await asyncio.wait(calls)


def _keyed_servers(site) -> list[users_standins.Server]:
    """Returns the running servers with keys, the oldest first."""
    servers = site.cluster.by_id.values()
    return [s for s in servers if s.service == "keyed" and s.is_up]


@pytest.mark.parametrize(
    ("order", "delayed_share"),
    [("release", 0.4), ("grant", 0.0), ("grant", 0.4)],
    ids=["before-releases", "before-grants", "before-delayed-grants"],
)
def test_copies_before_answers_to_orders_give_no_key_two_owners(
    tmp_path, order, delayed_share
):
    # Guards against keys that are granted while their last owner has them.
    path = f"/swiftstile/{order}"

    async def scenario(site):
        for server in _keyed_servers(site):
            _add_copies(server, path)
        ended = asyncio.Event()
        load = asyncio.create_task(_load(site, ended))
        for _ in range(_REPLACED):
            oldest = _keyed_servers(site)[0]
            successor = await _replace_server(site, oldest, delayed_share)
            _add_copies(successor, path)
        ended.set()
        await load
        noises = [server.noise for server in site.cluster.by_id.values()]
        sent = sum(noise.sent for noise in noises if noise is not None)
        print(f"{sent} copies, {site.callers.counts()}")
        assert sent > 10

    site = gateways.Site(tmp_path, gateways=3)
    asyncio.run(site.run_scenario(scenario))
