"""Crowds of clients that hold much, beside the faults of a soak."""

import asyncio
import random

from tests.integration import crowds
from tests.integration import gateways

# What the VMs of such a soak may use.
LIMITS = {"memory_mb": 160, "max_fds": 1000}
_PAUSE_S = (0.5, 3.0)
_SIZES = (20, 60, 150)


class CrowdVisits:
    """Lets crowds come to VMs drawn at random.

    Has a seed of its own, so that the faults of a seed don't depend on it.

    Attributes:
        history: What came where.
    """

    def __init__(self, site: gateways.Site, seed: int):
        self._site = site
        self._random = random.Random(f"crowds-{seed}")
        self._crowds: list[crowds.Crowd] = []
        self.history: list[str] = []

    async def run(self) -> None:
        """Plays crowds until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._random.uniform(*_PAUSE_S))
                group.create_task(self._visit())

    async def _visit(self) -> None:
        gateway = self._random.choice(self._site.gateways)
        listener = self._random.choice(("front", "front", "forward", "ready"))
        behaviour = crowds.random_behaviour(self._random)
        size = self._random.choice(_SIZES)
        stays_s = self._random.uniform(0.0, 3.0)
        self.history.append(
            f"{size} at {gateway.number} {listener} {behaviour}"
        )
        crowd = crowds.Crowd(getattr(gateway, listener), size, behaviour)
        self._crowds.append(crowd)
        async with crowd.present(sending_s=3.0):
            await asyncio.sleep(stays_s)

    def violations(self) -> list[str]:
        """Returns what was promised and broken, and VMs beyond their memory."""
        found = [
            problem
            for crowd in self._crowds
            for problem in crowd.broken_promises(self._site.cluster.runs)
        ]
        for gateway in self._site.gateways:
            if gateway.is_running:
                peak_mb = crowds.ProcessWatch(gateway.process.pid).peak_mb
                if peak_mb > LIMITS["memory_mb"]:
                    found.append(f"VM {gateway.number} took {peak_mb:.0f} MB")
        return found
