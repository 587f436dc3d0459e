"""The servers of tests notice keys that are granted too early."""

import asyncio

import aiohttp

from tests.integration import users_standins

_KEYS = {"from": 0, "to": 9}


async def _order(session, server, order: str, fence: int) -> None:
    body = _KEYS | {"fence": fence, "hold_time": "4000ms"}
    url = f"http://{server.address}/swiftstile/{order}"
    async with session.post(url, json=body) as answer:
        assert answer.status == 200


async def _work(session, server) -> None:
    headers = {"X-Attempt-Id": "a1", "X-Shard-Key": "5"}
    url = f"http://{server.address}/write/x"
    async with session.post(url, headers=headers) as answer:
        assert answer.status == 200


async def _hand_over(waits_for_release: bool) -> list[str]:
    """Moves keys with work on them; returns the violations."""
    cluster = users_standins.Cluster(users_standins.Store())
    old, new = [
        await cluster.start("keyed", "zone-a", work_s=0.3) for _ in range(2)
    ]
    async with aiohttp.ClientSession() as session:
        await _order(session, old, "grant", 1)
        working = asyncio.create_task(_work(session, old))
        while not cluster.runs:
            await asyncio.sleep(0.01)
        release = asyncio.create_task(_order(session, old, "release", 1))
        while any(old.held_until[:10]):
            await asyncio.sleep(0.01)
        if waits_for_release:
            await release
        await _order(session, new, "grant", 2)
        await asyncio.gather(working, release)
    await cluster.close()
    return cluster.violations


def test_keys_granted_before_their_release_is_answered_are_noticed():
    # Guards against a check of ownership that sees holds only, and no work.
    violations = asyncio.run(_hand_over(waits_for_release=False))
    assert violations == ["i-0001 is granted 0 to 9 while i-0000 works on them"]


def test_keys_granted_after_their_release_violate_nothing():
    assert asyncio.run(_hand_over(waits_for_release=True)) == []
