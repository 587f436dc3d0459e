"""Callers that return after a rejection are recognised by real processes."""

import asyncio

from swiftstile import errors
from swiftstile import explain
from tests.integration import gateways

_KEY = 4242
_DEADLINE_MS = 3000


async def _owner(site):
    """Waits until one server holds the key, and returns it."""
    holders = []

    async def is_held() -> bool:
        now = asyncio.get_running_loop().time()
        servers = site.cluster.by_id.values()
        holders[:] = [s for s in servers if s.held_until[_KEY] > now]
        return len(holders) == 1

    await site.until(is_held, 30)
    return holders[0]


async def _rejected_call(site, owner, gateway):
    """Returns a call whose only send the owner rejected, and its times."""
    loop = asyncio.get_running_loop()
    # As long as few sends are rejected, first attempts are sent again.
    for _ in range(20):
        owner.rejections_left = 2
        sent = loop.time()
        first = await site.callers.call("/read/x", _KEY, gateway)
        if owner.rejections_left == 1:
            owner.rejections_left = 0
            return first, sent, loop.time()
    raise AssertionError("every first attempt was sent again")


def test_a_returning_caller_gets_extra_sends_and_its_trace_shows_it(tmp_path):
    # Guards against callers that upstreams with free slots reject twice.
    async def scenario(site):
        loop = asyncio.get_running_loop()
        owner = await _owner(site)
        first, sent, answered = await _rejected_call(
            site, owner, site.gateways[0]
        )
        assert first.status == 503
        assert 0.03 <= first.retry_after_s <= 0.09
        owner.rejections_left = 2
        await asyncio.sleep(answered + first.retry_after_s - loop.time())
        left_ms = _DEADLINE_MS - round(1000 * (loop.time() - sent))
        second = await site.callers.call(
            "/read/x", _KEY, site.gateways[1], deadline_ms=left_ms
        )
        assert second.status == 200
        files = [gateway.log for gateway in site.gateways]
        traces = []

        async def is_written() -> bool:
            try:
                traces[:] = [explain.find(second.attempt, files)]
            except errors.LogError:
                return False
            return traces[0].decisions[-1]["event"] == "answered"

        await site.until(is_written, 30)
        sends = [d for d in traces[0].decisions if d["event"] == "sent"]
        assert [send.get("extra_send", False) for send in sends] == [
            False,
            True,
            True,
        ]
        assert all(send["rejections"] == 1 for send in sends)
        text = explain.render(traces[0])
        assert "rejections 1" in text and "extra_send True" in text

    site = gateways.Site(
        tmp_path, gateways=3, settings="\n[load]\nreturning_callers = on\n"
    )
    asyncio.run(site.run_scenario(scenario))
