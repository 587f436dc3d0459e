"""Tests counts of events that several VMs report to each other."""

import functools

import hypothesis
from hypothesis import strategies
import pytest

from swiftstile.gateway import event_sketch


def _sketch(events) -> int:
    return functools.reduce(event_sketch.add, events, 0)


@pytest.mark.parametrize("count", [0, 1, 5, 20, 60])
def test_estimate_is_near_the_number_of_events(count):
    sketch = _sketch(f"event-{number}" for number in range(count))
    assert abs(event_sketch.estimate(sketch) - count) <= 1 + 0.25 * count


@hypothesis.given(
    strategies.lists(strategies.text()), strategies.lists(strategies.text())
)
def test_merges_count_each_event_once(one, other):
    merged = _sketch(one) | _sketch(other)
    assert merged == _sketch([*one, *other, *one])


def test_a_full_sketch_has_an_estimate():
    sketch = _sketch(f"event-{number}" for number in range(5000))
    assert event_sketch.estimate(sketch) == event_sketch.MAX_ESTIMATE
