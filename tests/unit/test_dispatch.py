"""A request waits for a slot of its server while its key moves.

What users may see: two servers that don't check fences work on one key. The
router had told that nothing older than the newest assignment is in flight; a
request that waited for a slot wasn't counted, and was sent to the former owner
afterwards. Found by reading the code, not by a failure in service.
"""

import asyncio
import types

import msgspec
import pytest

from swiftstile import clocks
from swiftstile.routing import dispatch
from swiftstile.routing import outcomes
from swiftstile.routing import owners
from swiftstile.routing import routes
from tests import builders


class _Forwarder:
    """Notes under which versions it sends."""

    def __init__(self):
        self.versions = []

    async def send(self, request, inbound, body, choice, route):
        self.versions.append(choice.version)
        return "answer"


def _parts() -> tuple[routes.LeasedRoute, routes.Choice]:
    """Returns a route to a server of one slot, and a request's choice."""
    table = owners.OwnerTable()
    table.assignment = builders.assignment()
    spec = types.SimpleNamespace(slots=1, queue_limit=10)
    route = routes.LeasedRoute(spec, table)
    route.targets.sync({"s0": "127.0.0.1:1"})
    choice = routes.Choice(
        route.targets.by_server["s0"],
        1,
        1,
        table.version,
        clocks.monotonic() + 0.5,
    )
    return route, choice


async def _settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_request_that_waits_for_a_slot_is_in_flight():
    async def scenario():
        route, choice = _parts()
        forwarder = _Forwarder()
        dispatcher = dispatch.Dispatcher(None, forwarder)
        await choice.target.acquire(choice.end)
        waiting = asyncio.create_task(
            dispatcher._attempt(None, None, None, route, choice)
        )
        await _settle()
        newer = route.owners.assignment.moved({}, 1)
        route.owners.update(newer)
        told = route.owners.oldest_in_flight()
        choice.target.release()
        await asyncio.wait([waiting])
        assert all(version >= told for version in forwarder.versions)
        assert route.owners.oldest_in_flight() == newer.version

    asyncio.run(scenario())


def test_a_request_that_got_no_slot_is_not_in_flight():
    async def scenario():
        route, choice = _parts()
        dispatcher = dispatch.Dispatcher(None, _Forwarder())
        await choice.target.acquire(choice.end)
        end = clocks.monotonic() + 0.01
        ending = msgspec.structs.replace(choice, end=end)
        with pytest.raises(outcomes.DeadlineError):
            await dispatcher._attempt(None, None, None, route, ending)
        newer = route.owners.assignment.moved({}, 1)
        route.owners.update(newer)
        assert route.owners.oldest_in_flight() == newer.version
        assert choice.target.in_use == 1

    asyncio.run(scenario())
