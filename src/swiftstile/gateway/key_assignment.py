"""Assigns the keys of all services, each apart from the others' failures."""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import key_assigner
from swiftstile.gateway import supervision

__all__ = ["KeyAssignment"]


class KeyAssignment:
    """The leader's assigners of keys, one for each service.

    A service whose step fails is tried again after a pause; the others take
    their steps meanwhile.

    Args:
        make_assigner: Returns the assigner of a service.
        supervisor: Records failed steps.
    """

    def __init__(
        self,
        make_assigner: collections.abc.Callable[
            [ids.ServiceName], key_assigner.KeyAssigner
        ],
        supervisor: supervision.Supervisor,
    ):
        self._make_assigner = make_assigner
        self._supervisor = supervisor
        self._by_service: dict[ids.ServiceName, key_assigner.KeyAssigner] = {}
        # Until when no step is taken for services whose last one failed.
        self._paused_until: dict[ids.ServiceName, float] = {}

    def add_services(
        self, services: collections.abc.Iterable[ids.ServiceName]
    ) -> None:
        """Adds services whose keys are to be assigned."""
        for service in services:
            if service not in self._by_service:
                self._by_service[service] = self._make_assigner(service)

    def drop_leader_state(self) -> None:
        """Drops what only a leader knows."""
        for assigner in self._by_service.values():
            assigner.drop_leader_state()

    async def tick(self) -> None:
        """Takes the next step for each service."""
        await asyncio.gather(*map(self._step, self._by_service))

    async def _step(self, service: ids.ServiceName) -> None:
        now = clocks.monotonic()
        if now < self._paused_until.get(service, now):
            return
        # Stays if the step fails.
        self._paused_until[service] = now + supervision.RETRY_PAUSE_S
        with self._supervisor.isolate("key-assignment", service):
            await self._by_service[service].tick()
            del self._paused_until[service]
