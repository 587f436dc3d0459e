"""One owner of each key while the store returns from older copies."""

import pytest

from swiftstile.gateway import map_confirmation
from tests import store_return_simulation

_SEEDS = range(300)
_LENGTH_S = 60.0


def _play(seed: int, **disabled: bool) -> store_return_simulation.Simulation:
    safeguards = store_return_simulation.Safeguards(**disabled)
    played = store_return_simulation.Simulation(seed, safeguards)
    played.run(_LENGTH_S)
    return played


def test_no_history_has_two_owners_or_an_old_fence():
    used: set[map_confirmation.Method] = set()
    for seed in _SEEDS:
        played = _play(seed)
        assert played.violations == set(), seed
        used |= played.confirmations.keys()
    assert used == set(map_confirmation.Method)


@pytest.mark.parametrize(
    "disabled",
    [
        "prefers_known_maps",
        "raises_fences",
        "holds_back_leaving",
        "confirms_before_renewals",
    ],
)
def test_each_safeguard_is_needed(disabled):
    assert any(_play(seed, **{disabled: False}).violations for seed in _SEEDS)
