"""Tests that a failing duty ends no process and no other duty."""

import asyncio
import contextlib
from unittest import mock

import pytest

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import key_assignment
from swiftstile.gateway import supervision
from tests import virtual_time


def _run(scenario) -> None:
    clock = virtual_time.Clock()
    loop = virtual_time.Loop(clock)
    with (
        mock.patch.object(clocks, "monotonic", lambda: clock.now),
        contextlib.closing(loop),
    ):
        loop.run_until_complete(scenario())


def test_a_duty_that_fails_is_counted_logged_and_run_again():
    """Guards against an error of one duty that ends the process."""
    failures, lines = metrics.LabelledCounter(), []
    supervisor = supervision.Supervisor(failures)
    runs = []

    async def run() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise OverflowError("int too large")

    sink = logs.logger.add(lambda line: lines.append(line.record))
    try:
        _run(lambda: supervisor.keep_running("renewals", run))
    finally:
        logs.logger.remove(sink)
    assert len(runs) == 3
    assert failures.get("renewals") == 2
    assert all(line["exception"] is not None for line in lines)
    assert [line["extra"]["duty"] for line in lines] == ["renewals"] * 2


def test_settings_that_a_duty_cannot_work_with_end_it():
    """Guards against a process that goes on without listening."""
    supervisor = supervision.Supervisor(metrics.LabelledCounter())

    async def run() -> None:
        raise errors.SettingsError("in use", step="listen", peer="a:1")

    with pytest.raises(errors.SettingsError):
        _run(lambda: supervisor.keep_running("reports", run))


def test_a_cancelled_duty_is_not_run_again():
    """Guards against duties that outlive the process's shutdown."""
    supervisor = supervision.Supervisor(metrics.LabelledCounter())
    runs = []

    async def run() -> None:
        runs.append(1)
        await asyncio.sleep(3600)

    async def scenario() -> None:
        task = asyncio.create_task(supervisor.keep_running("gate", run))
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    _run(scenario)
    assert len(runs) == 1


class _Assigner:
    """An assigner of keys that counts its steps, and may fail in each."""

    def __init__(self, error: Exception | None = None):
        self.steps = 0
        self._error = error

    async def tick(self) -> None:
        self.steps += 1
        if self._error is not None:
            raise self._error


def test_a_service_that_fails_does_not_keep_others_from_their_keys():
    """Guards against one service's map that ends one leader after the other."""
    failures = metrics.LabelledCounter()
    odd, other = _Assigner(OverflowError("int too large")), _Assigner()
    made = key_assignment.KeyAssignment(
        {"odd": odd, "other": other}.__getitem__,
        supervision.Supervisor(failures),
    )
    made.add_services(["odd", "other"])

    async def scenario() -> None:
        for _ in range(25):
            await made.tick()
            await asyncio.sleep(0.1)

    _run(scenario)
    assert other.steps == 25
    assert odd.steps == failures.get("key-assignment") == 3
