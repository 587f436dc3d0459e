"""A short seeded run of the soak, and seeds that once failed."""

import asyncio

import pytest

from tests.integration import soak

# Seed and cause of each that ever failed, of the kinds of faults of its time.
_REGRESSIONS: dict[int, str] = {
    3: "tries to fence off a silent owner kept its slots from coming free",
}


@pytest.mark.parametrize("seed", [1, *_REGRESSIONS])
def test_a_seed_breaks_no_promise(tmp_path, seed):
    broken = asyncio.run(soak.play(seed, 12.0, tmp_path, has_all=False))
    assert broken == []


def test_a_seed_of_all_kinds_breaks_no_promise(tmp_path):
    assert asyncio.run(soak.play(2, 12.0, tmp_path)) == []
