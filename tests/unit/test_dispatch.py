"""Tests for requests that wait for a slot while their key moves.

Guards against two servers that don't check fences running requests of one key.
The router didn't count a request that waited for a slot as in flight, so it
reported that none older than the newest assignment was. The key moved, and the
request was then sent to the former owner.
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
    """Records the assignment versions of the attempts it sends."""

    def __init__(self):
        self.versions = []

    async def send(self, request, inbound, body, choice, route):
        self.versions.append(choice.version)
        return "answer"


def _parts() -> tuple[routes.LeasedRoute, routes.Choice]:
    """Returns a route to a server with one slot, and a choice of it."""
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
        await choice.target.acquire(choice.deadline)
        waiting = asyncio.create_task(
            dispatcher._attempt(None, None, None, route, choice)
        )
        await _settle()
        newer = route.owners.assignment.moved({}, 1)
        route.owners.update(newer)
        oldest = route.owners.oldest_in_flight()
        choice.target.release()
        await asyncio.wait([waiting])
        assert all(version >= oldest for version in forwarder.versions)
        assert route.owners.oldest_in_flight() == newer.version

    asyncio.run(scenario())


def test_a_request_that_got_no_slot_is_not_in_flight():
    async def scenario():
        route, choice = _parts()
        dispatcher = dispatch.Dispatcher(None, _Forwarder())
        await choice.target.acquire(choice.deadline)
        end = clocks.monotonic() + 0.01
        ending = msgspec.structs.replace(choice, deadline=end)
        with pytest.raises(outcomes.DeadlineError):
            await dispatcher._attempt(None, None, None, route, ending)
        newer = route.owners.assignment.moved({}, 1)
        route.owners.update(newer)
        assert route.owners.oldest_in_flight() == newer.version
        assert choice.target.in_use == 1

    asyncio.run(scenario())
