import asyncio

import pytest

from swiftstile import ids
from swiftstile.routing import owners
from tests import builders

POSITION = ids.KeyHash(0)


def other_owner(assignment):
    old = assignment.at(POSITION).server
    new = next(s for s in builders.servers(3) if s != old)
    return old, assignment.moved({0: new}, ids.Epoch(1))


def test_an_attempt_at_the_old_owner_ends_early():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old, second = other_owner(first)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60) as limit:
                table.watch_attempt(POSITION, old, limit)
                table.update(second)
                await asyncio.Event().wait()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_an_attempt_that_is_ending_does_not_stop_the_update():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old, second = other_owner(first)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0) as limit:
                table.watch_attempt(POSITION, old, limit)
                await asyncio.Event().wait()
        assert limit.expired()
        table.update(second)
        assert table.version == second.version

    asyncio.run(run())


def test_an_attempt_whose_owner_stays_keeps_its_end():
    async def run():
        table, first = owners.OwnerTable(), builders.assignment()
        old = first.at(POSITION).server
        async with asyncio.timeout(60) as limit:
            end = limit.when()
            table.watch_attempt(POSITION, old, limit)
            table.update(first.split([5], ids.Epoch(1)))
            assert limit.when() == end

    asyncio.run(run())
