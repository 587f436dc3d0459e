"""During an outage one follower of a VM polls the store, not all of them."""

import asyncio

from swiftstile.gateway import follow
from swiftstile.gateway import outage
from tests import gateway_builders as builders

_TABLES = ("one", "two", "three")
_MANY = 10**6


class _Followers:
    """The followers of one VM."""

    def __init__(self):
        shared = outage.Outage()
        self.table_by_name = {name: builders.MemoryTable() for name in _TABLES}
        self.by_name = {
            name: follow.TableFollower(
                name, table, lambda _: None, outage=shared
            )
            for name, table in self.table_by_name.items()
        }
        self._tasks = [
            asyncio.create_task(follower.run())
            for follower in self.by_name.values()
        ]

    async def until(self, condition, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not all(map(condition, self.by_name.values())):
                await asyncio.sleep(0.005)

    def start_outage(self) -> None:
        for table in self.table_by_name.values():
            table.refuse = _MANY

    def end_outage(self) -> None:
        for table in self.table_by_name.values():
            table.refuse = 0

    def calls(self) -> list[int]:
        """Returns the calls that were refused during the outage, by table."""
        return [_MANY - table.refuse for table in self.table_by_name.values()]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


def test_one_of_three_followers_polls_during_an_outage():
    async def run():
        followers = _Followers()
        await followers.until(lambda f: f.is_loaded, 1.0)
        followers.start_outage()
        await followers.until(lambda f: f.failing_s(_now()) > 3.5, 6.0)
        first, *others = sorted(followers.calls(), reverse=True)
        followers.end_outage()
        # The maximum backoff of the primary, and time for a call.
        await followers.until(lambda f: f.failing_since is None, 0.7)
        followers.stop()
        assert first >= 9
        assert max(others) <= 7

    asyncio.run(run())


def test_a_table_that_fails_alone_is_retried_soon():
    async def run():
        followers = _Followers()
        await followers.until(lambda f: f.is_loaded, 1.0)
        followers.table_by_name["three"].refuse = 4
        await followers.until(
            lambda f: f.name != "three" or f.failing_since is not None, 1.0
        )
        await followers.until(lambda f: f.failing_since is None, 1.2)
        followers.stop()

    asyncio.run(run())


def _now() -> float:
    return follow.clocks.monotonic()
