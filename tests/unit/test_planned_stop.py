"""No request is sent that a stopping VM can't expect to answer."""

import asyncio
import math
import random

import pytest

from swiftstile import clocks
from swiftstile.gateway import outcomes
from swiftstile.gateway import planned_stop
from swiftstile.gateway import send_limits
from tests import virtual_time

_SIGNAL_AT = 100.0


def _stop(grace_s: float) -> planned_stop.PlannedStop:
    stop = planned_stop.PlannedStop(grace_s)
    stop.begin(_SIGNAL_AT)
    return stop


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 6.0, 10.0, 60.0])
def test_no_time_of_a_stop_is_later_than_its_grace(grace_s):
    stop = _stop(grace_s)
    assert (
        _SIGNAL_AT
        < stop.arrivals_end_at
        < stop.ends_at
        < stop.exits_at
        < _SIGNAL_AT + grace_s
    )


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 6.0, 10.0, 60.0])
def test_no_request_ends_before_the_last_sixth_of_the_grace(grace_s):
    stop = _stop(grace_s)
    assert stop.ends_at >= _SIGNAL_AT + grace_s * 5 / 6


def test_a_vm_that_does_not_stop_sends_at_any_time():
    stop = planned_stop.PlannedStop(6.0)
    assert stop.latest_send(0.0, math.inf, 1.0) == math.inf
    assert stop.latest_receive(None, math.inf) == math.inf


@pytest.mark.parametrize("seed", range(20))
def test_late_requests_are_sent_only_if_they_end_before_the_process(seed):
    draw = random.Random(seed)
    for _ in range(500):
        grace_s = draw.choice([1.0, 6.0, 10.0, 30.0])
        stop = _stop(grace_s)
        late_from = _SIGNAL_AT + min(2.8, grace_s / 2)
        received_at = _SIGNAL_AT + draw.uniform(-5, grace_s)
        deadline = received_at + draw.uniform(0.05, 2 * grace_s)
        usual_s = draw.uniform(0.01, 2 * grace_s)
        latest = stop.latest_send(received_at, deadline, usual_s)
        if deadline <= stop.ends_at:
            # It ends by itself.
            assert latest == math.inf
        elif received_at > late_from:
            assert latest < received_at
        else:
            assert latest >= late_from
            assert latest <= max(late_from, stop.ends_at - usual_s)
        receiving = stop.latest_receive(None, deadline)
        assert receiving in (math.inf, late_from)


class _Wait:
    """A request that waits for a slot, in virtual time."""

    def __init__(self, limits, deadline, slot_after_s):
        self._limits, self._deadline = limits, deadline
        self._slot_after_s = slot_after_s
        self.sent_at: float | None = None
        self.refused_at: float | None = None

    async def run(self) -> None:
        now = asyncio.get_running_loop().time
        received_at = now()

        def latest() -> float:
            return self._limits.stop.latest_send(
                received_at, self._deadline, 0.8
            )

        try:
            async with self._limits.limit_wait(latest, "wait for a slot"):
                await asyncio.sleep(self._slot_after_s)
            self.sent_at = now()
        except outcomes.StoppingError:
            self.refused_at = now()


@pytest.mark.parametrize("seed", range(30))
def test_waits_end_in_any_order_of_arrivals_and_signal(seed, monkeypatch):
    draw = random.Random(seed)
    grace_s = draw.choice([1.0, 6.0, 10.0])

    async def scenario():
        loop = asyncio.get_running_loop()
        limits = send_limits.SendLimits(planned_stop.PlannedStop(grace_s))
        began = loop.time()
        signal_at = began + draw.uniform(0, 3)
        loop.call_at(signal_at, lambda: limits.begin_stop(loop.time()))
        tasks, waits = [], []
        for arrival_s in sorted(draw.uniform(0, 8) for _ in range(40)):
            await asyncio.sleep(max(0.0, began + arrival_s - loop.time()))
            deadline = loop.time() + draw.uniform(0.5, 9)
            wait = _Wait(limits, deadline, draw.uniform(0, 8))
            waits.append((loop.time(), deadline, wait))
            tasks.append(asyncio.create_task(wait.run()))
        await asyncio.gather(*tasks)
        stop = limits.stop
        for arrived, deadline, wait in waits:
            assert (wait.sent_at is None) != (wait.refused_at is None)
            if deadline <= stop.ends_at:
                assert wait.refused_at is None
                continue
            if wait.sent_at is not None:
                assert wait.sent_at <= max(
                    stop.ends_at - 0.8, signal_at + min(2.8, grace_s / 2)
                )
            elif arrived > signal_at + min(2.8, grace_s / 2):
                assert wait.refused_at == pytest.approx(arrived)

    clock = virtual_time.Clock()
    monkeypatch.setattr(clocks, "monotonic", lambda: clock.now)
    with asyncio.Runner(
        loop_factory=lambda: virtual_time.Loop(clock)
    ) as runner:
        runner.run(scenario())
