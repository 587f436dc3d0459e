"""The sum of all VMs' sends stays within the limit that an upstream states."""

import pytest

from tests import limit_simulation

_Fault = limit_simulation.Fault
# Share of a limit below the load that has to be used.
_MIN_USED = 0.8


def _run(**changes) -> limit_simulation.LimitSimulation:
    load = limit_simulation.Load(**changes)
    return limit_simulation.LimitSimulation(load).run()


@pytest.mark.parametrize(
    ("vms", "limit"), [(1, 3.0), (4, 0.7), (12, 3.0), (12, 12.0), (60, 3.0)]
)
def test_the_limit_is_kept_and_used_by_any_number_of_vms(vms, limit):
    result = _run(vms=vms, limits=((2.0, limit),))
    assert result.windows_above_limit() == []
    assert result.used_share(4.0, 20.0) >= _MIN_USED


def test_a_limit_is_given_to_the_vms_that_have_requests():
    result = _run(active_vms=1)
    assert result.windows_above_limit() == []
    assert result.used_share(4.0, 20.0) >= _MIN_USED


@pytest.mark.parametrize("kind", ["crash", "cut", "mute"])
@pytest.mark.parametrize(("vms", "limit"), [(4, 6.0), (12, 2.0), (60, 6.0)])
def test_the_limit_is_kept_while_its_limiter_is_lost(vms, limit, kind):
    result = _run(
        vms=vms,
        limits=((2.0, limit),),
        faults=(_Fault(0, 6.0, 9.0, kind),),
    )
    assert result.windows_above_limit() == []
    assert result.used_share(12.0, 20.0) >= _MIN_USED


def test_the_limit_is_kept_while_several_vms_restart():
    for seed in range(1, 6):
        result = _run(
            faults=(
                _Fault(0, 5.0, 6.5, "crash"),
                _Fault(1, 6.0, 8.0, "crash"),
                _Fault(5, 6.2, 9.0, "cut"),
                _Fault(0, 9.0, 12.0, "cut"),
            ),
            seed=seed,
        )
        assert result.windows_above_limit() == []


def test_a_limit_that_falls_is_kept_and_one_that_rises_is_used():
    result = _run(limits=((2.0, 9.0), (8.0, 3.0), (14.0, 9.0)))
    assert result.windows_above_limit() == []
    assert result.used_share(15.0, 20.0) >= _MIN_USED


def test_after_a_limit_ended_all_requests_are_sent():
    result = _run(limits=((2.0, 3.0), (8.0, None)))
    assert result.windows_above_limit() == []
    sent = sum(9.0 <= send.at < 19.0 for send in result.sends)
    assert sent >= 0.95 * 10.0 * limit_simulation.Load().per_s * 0.9


def test_a_vm_that_hears_no_other_uses_half_of_its_share():
    result = _run(
        vms=4,
        active_vms=1,
        limits=((2.0, 6.0),),
        faults=tuple(_Fault(i, 4.0, 20.0, "cut") for i in range(4)),
    )
    sent = sum(8.0 <= send.at < 20.0 for send in result.sends)
    share = 12.0 * 6.0 / 4 / 2
    assert _MIN_USED * share <= sent <= share + 1
