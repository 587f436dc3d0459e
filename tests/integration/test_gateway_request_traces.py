"""The trace of a failed request identifies the injected fault.

Each test injects one fault into a site of real processes, picks a request that
it affected, and identifies the fault from the trace of that request alone.
"""

import asyncio

from swiftstile import errors
from swiftstile import explain
from tests.integration import gateways

_KEY = 4242


def _run(tmp_path, scenario) -> None:
    asyncio.run(gateways.Site(tmp_path, gateways=3).run_scenario(scenario))


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


async def _trace(site, attempt: str, last_event: str) -> explain.RequestTrace:
    """Returns the trace from the logs of all VMs, once the request ended."""
    files = [gateway.log for gateway in site.gateways]
    found: list[explain.RequestTrace] = []

    async def is_written() -> bool:
        try:
            found[:] = [explain.find(attempt, files)]
        except errors.LogError:
            return False
        return found[0].decisions[-1]["event"] == last_event

    await site.until(is_written, 30)
    return found[0]


def test_rejection_while_other_servers_are_idle(tmp_path):
    async def scenario(site):
        slow = await _owner(site)
        slow.work_s = 1.2
        calls = [
            asyncio.create_task(site.callers.call("/read/x", _KEY))
            for _ in range(30)
        ]
        outcomes = await asyncio.gather(*calls)
        refused = [outcome for outcome in outcomes if outcome.status == 503]
        assert refused
        trace = await _trace(site, refused[0].attempt, "refused")
        last = trace.decisions[-1]
        # The trace names the only server that may serve this key, and shows
        # that its slots were occupied.
        assert last["upstream"] == slow.name
        assert last["occupied"] >= slow.slots
        assert "wait for a slot" in last["reason"]
        assert last["key"] == _KEY
        assert last["retry_after_ms"] > 0
        others = [s for s in site.cluster.by_id.values() if s is not slow]
        assert all(server.running < server.slots for server in others)

    _run(tmp_path, scenario)


def test_unknown_outcome_of_a_request_that_is_not_repeatable(tmp_path):
    async def scenario(site):
        for server in site.cluster.by_id.values():
            server.work_s = 3.0
        call = asyncio.create_task(site.callers.call("/write/x"))

        async def is_running() -> bool:
            return any(run.method == "POST" for run in site.cluster.runs)

        before = len(site.cluster.runs)
        await site.until(is_running, 30)
        run = site.cluster.runs[before:][-1]
        await site.cluster.by_id[run.server].stop()
        outcome = await call
        assert outcome.status in (502, 504)
        trace = await _trace(site, outcome.attempt, "failed")
        sent = [d for d in trace.decisions if d["event"] == "sent"]
        last = trace.decisions[-1]
        # One send, to the server that crashed without a response.
        assert [line["upstream"] for line in sent] == [run.server]
        assert (last["upstream"], last["status"]) == (
            run.server,
            outcome.status,
        )
        assert 0 <= last["at_ms"] - sent[0]["at_ms"] < 2500

    _run(tmp_path, scenario)


def test_rejected_sends_are_traced_with_their_connection(tmp_path):
    async def scenario(site):
        for server in site.cluster.by_id.values():
            server.rejections_left = 100
        outcome = await site.callers.call("/write/x")
        assert outcome.status == 503
        trace = await _trace(site, outcome.attempt, "refused")
        rejected = [d for d in trace.decisions if d["event"] == "not-run"]
        assert [line["attempt"] for line in rejected] == [1, 2]
        for line in rejected:
            assert (line["status"], line["reason"]) == (
                503,
                "Service Unavailable",
            )
            assert line["connection"] > 0
            assert line["exchange"] > 0
            assert line["sent_ms"] > 0

    _run(tmp_path, scenario)
