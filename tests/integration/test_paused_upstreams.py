"""Long uploads to upstreams that read on later."""

import asyncio

from tests.integration import gateways
from tests.integration import late_requests


def test_uploads_survive_a_pause_of_their_upstream(tmp_path):
    async def scenario(site):
        gateway = await late_requests.prepare(site, work_s=0.1)
        for server in site.cluster.by_id.values():
            server.read_pause_s = 3.0
        channel = await late_requests.Channel.open(gateway)
        # More than the buffers on the way to the upstream hold.
        assert (await channel.upload(16_000_000))[1] == 200

    asyncio.run(gateways.Site(tmp_path, 2).run_scenario(scenario))
