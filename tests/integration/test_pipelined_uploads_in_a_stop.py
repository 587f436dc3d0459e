"""Uploads that were received early in a planned stop, behind others."""

import asyncio
import signal

from tests.integration import gateways
from tests.integration import late_requests


def test_uploads_received_early_in_a_stop_are_not_refused_for_their_turn(
    tmp_path,
):
    async def scenario(site):
        gateway = await late_requests.prepare(
            site, work_s=0.4, objective="800ms"
        )
        channel = await late_requests.Channel.open(gateway)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(1)
        for _ in range(7):
            channel.send_head(1000)
            channel.send_body(1000)
        # Received at 1 s of 6, the last one would be answered at 3.8 s.
        assert [await channel.status() for _ in range(7)] == [200] * 7

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))
