"""Tests registrations of another writer that no upstream would write."""

import asyncio

import pytest

from tests.integration import gateways
from tests.integration import users_standins

# Time in which the leader, and its successors, would have read the entry.
_SECONDS = 6.0
_MIN_SERVED = 0.95

_REGISTRATION = {
    "service": "keyed",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining": "0ms",
    "sequence": 1,
    "born": 1,
}


async def _load(site: gateways.Site) -> float:
    """Returns the share of requests served in some seconds."""
    site.callers.outcomes.clear()
    await site.callers.load_while(60, asyncio.sleep(_SECONDS))
    counts = site.callers.counts()
    return counts[200] / sum(counts.values())


def _entry(**changes) -> bytes:
    return users_standins.encode(_REGISTRATION | changes)


_LARGE_START = _entry(born=10**30)
_ODD = {
    "i-large-start": _LARGE_START,
    "i-long-cold-time": _entry(cold_remaining="9" * 300 + "s"),
    "i-many-slots": _entry(slots=10**40),
    "i-port-out-of-range": _entry(address="127.0.0.1:70000"),
    "i-deeply-nested": _entry()[:-1] + b',"x":' + b"[" * 100_000,
}


@pytest.mark.parametrize(
    "odd_by_id",
    [_ODD, {"i-0000": _LARGE_START}],
    ids=["new-ids", "in-place-of-a-live-upstream"],
)
def test_odd_registrations_end_no_vm(tmp_path, odd_by_id):
    """Guards against an entry that ends the leader, and all that follow it."""

    async def scenario(site: gateways.Site) -> None:
        for name, value in odd_by_id.items():
            site.store.write([("servers", name, value)])
        served = await _load(site)
        assert all(gateway.is_running for gateway in site.gateways)
        assert served >= _MIN_SERVED
        passed_over = site.log_lines("registration passed over")
        assert {line["upstream"] for line in passed_over} == odd_by_id.keys()

    site = gateways.Site(tmp_path, 4, seed=1)
    asyncio.run(site.run_scenario(scenario))
