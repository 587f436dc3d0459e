"""Short soak runs with fixed seeds, among them seeds that once failed."""

import asyncio

import pytest

from tests.integration import soak

# Seeds that once failed, with the cause. They use the kinds of faults that
# existed then.
_REGRESSIONS: dict[int, str] = {
    3: "attempts to fence an unresponsive owner kept its slots from expiring",
}


@pytest.mark.parametrize("seed", [1, *_REGRESSIONS])
def test_a_seed_violates_no_guarantee(tmp_path, seed):
    violations = asyncio.run(
        soak.run_seed(seed, 12.0, tmp_path, has_all_kinds=False)
    )
    assert violations == []


def test_a_seed_of_all_kinds_violates_no_guarantee(tmp_path):
    assert asyncio.run(soak.run_seed(2, 12.0, tmp_path)) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_planned_work_loses_no_request(tmp_path, seed):
    violations = asyncio.run(
        soak.run_seed(seed, 12.0, tmp_path, is_planned=True)
    )
    assert violations == []
