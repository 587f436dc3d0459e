"""Service times from the answers of upstreams with a queue."""

import pytest

from swiftstile.gateway import interfaces
from swiftstile.gateway import service_samples

_TOOK_S = 0.3


def _service_time_s(is_enabled: bool, others: int, waiting=None, slots=2):
    sampler = service_samples.ServiceTimeSampler(lambda: is_enabled)
    load = None
    if waiting is not None:
        load = interfaces.Load(slots, waiting, slots)
    return sampler.service_time_s(_TOOK_S, others, slots, load)


@pytest.mark.parametrize("slots", [1, 2, 6])
def test_an_answer_without_a_queue_is_service_time_only(slots):
    for others in range(slots):
        assert _service_time_s(True, others, 0, slots) == _TOOK_S


@pytest.mark.parametrize(
    ("others", "slots", "factor"),
    [(2, 2, 1.5), (3, 2, 2.0), (6, 6, 7 / 6), (1, 1, 2.0)],
)
def test_the_wait_for_a_slot_is_divided_out(others, slots, factor):
    # Saturated owners always have a queue, so their speed stayed unknown.
    measured = _service_time_s(True, others, 1, slots)
    assert measured == pytest.approx(_TOOK_S / factor)


def test_a_request_that_came_later_is_no_queue_of_an_earlier_one():
    # It queues behind the request that was answered.
    assert _service_time_s(True, 1, 1) == _TOOK_S


def test_a_queue_longer_than_the_arbiter_counts_is_divided_out():
    # VMs without an arbiter count other VMs' requests late. The response time
    # of their requests must not count as service time.
    assert _service_time_s(True, 0, 3) == pytest.approx(_TOOK_S / 2.5)
    assert _service_time_s(True, 5, 3) == pytest.approx(_TOOK_S / 3)


@pytest.mark.parametrize(("others", "waiting"), [(2, 0), (2, 1), (0, 1)])
def test_answers_with_a_queue_do_not_count_if_switched_off(others, waiting):
    assert _service_time_s(False, others, waiting) is None
    assert _service_time_s(False, 1, 0) == _TOOK_S
    assert _service_time_s(False, 1) == _TOOK_S
