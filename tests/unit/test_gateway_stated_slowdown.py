"""Slow upstreams aren't taken for fast ones because they state their speed.

These tests guard against keys that are assigned without regard to speed: the
slowdown that upstreams state was divided out of measured speeds, although it
includes their constant speed. Owners of 1.6 times the mean service time
counted as faster than those of 0.7 and got as many keys.
"""

import random
import types

from swiftstile.gateway import handler
from swiftstile.gateway import interfaces
from swiftstile.gateway import speeds
from swiftstile.gateway import targets
from tests import gateway_builders as builders


def _target(name: str = "u-1") -> targets.Target:
    return targets.Target(builders.upstream(name), 0.0)


def _state(target: targets.Target, slowdown: float, now: float) -> float:
    """Applies an answer's load; returns the slowdown of its sample."""
    load = interfaces.Load(1, 0, 3, slowdown)
    target.note_load(load, now)
    response = types.SimpleNamespace(metadata=types.SimpleNamespace(load=load))
    return handler._slowdown(target, response, now)


def test_a_constant_speed_is_no_momentary_slowdown():
    target = _target()
    assert [_state(target, 1.6, at / 10) for at in range(4)] == [1.0] * 4
    assert target.slow_factor(0.3) == 1.0


def test_a_slow_moment_counts_relative_to_the_usual_speed():
    target = _target()
    for at in range(3):
        _state(target, 0.7, at / 10)
    assert abs(_state(target, 2.1, 0.3) - 3.0) < 1e-9
    assert _state(target, 0.7, 0.4) == 1.0


def test_a_first_answer_in_a_slow_moment_is_corrected_by_the_next():
    target = _target()
    assert _state(target, 4.8, 0.0) == 1.0
    assert _state(target, 1.6, 0.1) == 1.0
    assert abs(_state(target, 4.8, 0.2) - 3.0) < 1e-9


def test_a_lasting_change_of_speed_becomes_the_usual_one():
    target = _target()
    for at in range(5):
        _state(target, 1.0, at / 10)
    slowdowns = [_state(target, 2.0, 1.0 + at / 10) for at in range(5)]
    assert slowdowns == [2.0, 2.0, 2.0, 2.0, 1.0]


def test_measured_speeds_keep_the_constant_speed_of_upstreams():
    # Two upstreams of 0.7 and one of 1.6 times the mean service time, three
    # times slower for a fifth of the time.
    chance = random.Random(1)
    table = speeds.SpeedTable()
    for name, usual in (("u-1", 0.7), ("u-2", 0.7), ("u-3", 1.6)):
        target = _target(name)
        for answer in range(60):
            now = answer / 6
            stated = usual * (3.0 if chance.random() < 0.2 else 1.0)
            slowdown = _state(target, stated, now)
            took_s = 0.16 * stated * chance.uniform(0.5, 1.5)
            table.add_sample(target.id, took_s / 0.16 / slowdown, now)
    ratios = table.placement_ratios(["u-1", "u-2", "u-3"], 10.0)
    assert ratios["u-3"] > 1.5 * max(ratios["u-1"], ratios["u-2"])
