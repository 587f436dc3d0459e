"""Opens connections that show whether this VM reaches any upstream.

`upstream_links.py` decides what they mean.
"""

import asyncio
import collections.abc
import random

from swiftstile import clocks
from swiftstile import logs
from swiftstile.gateway import connection_pool
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links
from swiftstile.gateway import upstream_sampling

__all__ = ["LinkProber"]

_CHECK_INTERVAL_S = 0.05
# Pause between attempts to reach an upstream during a partition.
RETRY_PAUSE_S = 0.2
# Upstreams that each attempt tries.
_TRIED_AT_ONCE = 2
# Time after which more upstreams are tried: many round trips.
_FIRST_TRY_S = 0.08
# Health checks of an upstream that resets them at once. If full upstreams reset
# two thirds of the connections, single checks of six of them all fail in 9% of
# the cases, three checks of each in 0.1%.
_CHECKS = 3
# If a timeout ends later than this, the process was paused, and its timeouts
# say nothing about the network.
_STALL_S = 0.25
# The last of several checks may take the time to connect and to be answered.
_JUDGED_WITHIN_S = (
    2 * connection_pool.CONNECT_TIMEOUT_S
    + _CHECKS * (_FIRST_TRY_S + _CHECK_INTERVAL_S)
    + _STALL_S
)

# Suspicions that don't prove more than one failure of this VM's own requests.
_SUSPICIONS_BY_OTHERS = (
    upstream_links.Suspicion.PEER,
    upstream_links.Suspicion.ONE_FAILURE,
)

# Whether an upstream at an address can be reached.
_Check = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


class LinkProber:
    """Confirms suspicions of a partition and notices its end.

    Args:
        links: Decides what the connections show.
        pool: Opens them.
        target_table: The upstreams.
        health_path: Returns the path of a service's health check.
        on_isolated: Called once no upstream can be reached any more.
        on_regained: Called once upstreams can be reached again.
    """

    def __init__(
        self,
        links: upstream_links.UpstreamLinks,
        pool: connection_pool.ConnectionPool,
        target_table: targets.TargetTable,
        health_path: collections.abc.Callable[[str], str],
        on_isolated: collections.abc.Callable[[], None],
        on_regained: collections.abc.Callable[[], None],
    ):
        self._links = links
        self._pool = pool
        self._target_table = target_table
        self._health_path = health_path
        self._on_isolated = on_isolated
        self._on_regained = on_regained
        self._was_isolated = False

    async def run(self) -> None:
        """Checks the links until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            suspicion = self._links.suspicion(clocks.monotonic())
            if self._links.is_partitioned:
                await self._retry()
            elif suspicion is not upstream_links.Suspicion.NONE:
                await self._confirm(suspicion)
            self._notify()

    def _notify(self) -> None:
        is_isolated = self._links.is_isolated(clocks.monotonic())
        if is_isolated and not self._was_isolated:
            self._on_isolated()
        self._was_isolated = is_isolated

    async def _confirm(self, suspicion: upstream_links.Suspicion) -> None:
        began = clocks.monotonic()
        if suspicion is upstream_links.Suspicion.ONE_FAILURE:
            self._links.begin_trial(began)
            if len(upstream_sampling.in_service(self._target_table)) <= 1:
                # The only upstream may have crashed.
                return
            if await self._reaches_others():
                self._links.note_reached(clocks.monotonic())
                return
            began = clocks.monotonic()
        self._links.begin_confirmation(began, suspicion)
        sampled = upstream_sampling.sample(self._target_table)
        if not sampled:
            return
        if suspicion is upstream_links.Suspicion.SILENCE:
            # Where connections live and deliver nothing, new ones may open.
            check = self._answers_a_check
        else:
            check = self._works
        is_reached = await self._any_passes(sampled, check)
        # A request's new connection that delivered data shows the same.
        is_reached |= self._links.proven_at > began
        ended = clocks.monotonic()
        has_own_failures = self._links.has_own_failures(ended)
        logs.logger.info(
            "upstreams tried",
            why=suspicion.value,
            reached=is_reached,
            took_ms=clocks.milliseconds(ended - began),
            own_failures=has_own_failures,
            data_age_ms=self._links.data_age_ms(ended),
        )
        if is_reached:
            self._links.refute(ended, suspicion)
            return
        if ended - began > _JUDGED_WITHIN_S:
            logs.logger.info(
                "links not judged after a pause", for_s=round(ended - began, 3)
            )
            return
        if suspicion in _SUSPICIONS_BY_OTHERS and not has_own_failures:
            return
        self._links.record_partition(ended)
        self._notify()

    async def _reaches_others(self) -> bool:
        """Returns whether new connections to upstreams that didn't fail work.

        One of each domain is tried. False if new connections to all failed.
        """
        others = upstream_sampling.sample(
            self._target_table, 1, self._links.failed_addresses
        )
        return await self._any_passes(others, self._works)

    async def reaches_another(self, address: str) -> bool:
        """Returns whether any upstream but the one at an address answers.

        False if that isn't known, as there is no other one.
        """
        if self._links.is_partitioned:
            return False
        others = upstream_sampling.sample(
            self._target_table, other_than={address}
        )
        return await self._any_passes(others, self.answers)

    async def _works(self, address: str) -> bool:
        """Returns whether new connections to an upstream work.

        A full upstream may not answer a health check in time. A connection
        that stays open shows the same if other connections deliver data, but
        not otherwise: the host or a device on the path accepts connections
        that the server, or a cut, resets later.
        """
        began = clocks.monotonic()
        answers = asyncio.create_task(self._answers_a_check(address))
        stays_open = None
        try:
            done, _ = await asyncio.wait([answers], timeout=_FIRST_TRY_S)
            if done and answers.result():
                return True
            stays_open = asyncio.create_task(
                self._pool.opens(address, connection_pool.CONNECT_TIMEOUT_S)
            )
            if await answers:
                return True
            return await stays_open and self._links.received_at > began
        finally:
            answers.cancel()
            if stays_open is not None:
                stays_open.cancel()

    async def _answers_a_check(self, address: str) -> bool:
        """Returns whether one of several health checks is answered.

        Further ones are sent only if an upstream resets them at once.
        """
        for _ in range(_CHECKS):
            began = clocks.monotonic()
            if await self.answers(address):
                return True
            if clocks.monotonic() - began > _FIRST_TRY_S:
                return False
            await asyncio.sleep(_CHECK_INTERVAL_S)
        return False

    async def answers(self, address: str) -> bool:
        """Returns whether a health check on a new connection is answered."""
        target = self._target_table.at_address(address)
        if target is None:
            return False
        path = self._health_path(target.upstream.service)
        return await self._pool.answers(address, path)

    @staticmethod
    async def _any_passes(addresses: list[str], check: _Check) -> bool:
        """Returns whether any of some upstreams passes a check.

        Those of the second half are only tried if the first ones don't pass
        soon.
        """
        tasks = {asyncio.create_task(check(a)) for a in addresses[::2]}
        later = addresses[1::2]
        timeout_s: float | None = _FIRST_TRY_S
        try:
            while tasks:
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return True
                if not done or not tasks:
                    tasks |= {asyncio.create_task(check(a)) for a in later}
                    later, timeout_s = [], None
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _retry(self) -> None:
        """Tries some upstreams and ends the partition if they answer."""
        addresses = [
            target.upstream.address
            for target in upstream_sampling.in_service(self._target_table)
        ]
        count = min(_TRIED_AT_ONCE, len(addresses))
        tried = random.sample(addresses, count)
        await asyncio.gather(*map(self.answers, tried))
        if self._links.end_if_regained(len(addresses), clocks.monotonic()):
            self._on_regained()
            return
        await asyncio.sleep(RETRY_PAUSE_S)
