"""Tests the incremental speed sums against a full summation."""

import hypothesis
from hypothesis import strategies
import pytest

from swiftstile.gateway import speeds

_NAMES = ["u-1", "u-2", "u-3"]
_SAMPLES = strategies.dictionaries(
    strategies.sampled_from(_NAMES),
    strategies.tuples(strategies.integers(1, 90), strategies.integers(20, 900)),
)
# Steps: reporting VM, its samples, and the time since the previous step.
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["vm-1", "vm-2", "vm-3"]),
        _SAMPLES,
        strategies.floats(0.0, 6.0),
    ),
    max_size=40,
)


def _summed_ratios(samples_by_node, now: float) -> dict[str, float]:
    """Returns the ratios from each VM's latest samples, unless expired."""
    sums: dict[str, tuple[float, float]] = {}
    for samples, received_at in samples_by_node.values():
        if now - received_at > speeds.PEER_TTL_S:
            continue
        decay = 0.5 ** ((now - received_at) / speeds.HALF_LIFE_S)
        for name, (count, ratio) in samples.items():
            total, weight = sums.get(name, (0.0, 0.0))
            added = 0.1 * count * decay
            sums[name] = total + added * 0.01 * ratio, weight + added
    prior = speeds.PRIOR_COUNT
    return {
        name: (prior + total) / (prior + weight)
        for name, (total, weight) in sums.items()
    }


@hypothesis.given(_STEPS)
def test_incremental_sums_match_a_full_summation(steps):
    table, samples_by_node, now = speeds.SpeedTable(), {}, 1000.0
    for node, samples, after_s in steps:
        now += after_s
        table.receive(node, samples, now)
        samples_by_node[node] = (samples, now)
        expected = _summed_ratios(samples_by_node, now)
        found = table.ratios(now)
        assert found.keys() == expected.keys()
        for name, ratio in expected.items():
            assert found[name] == pytest.approx(ratio, rel=1e-9)


def test_an_upstream_without_current_samples_is_unknown():
    # After all samples are subtracted from a sum, a rounding error remains. It
    # must not count as a sample, or the upstream would seem to have mean speed.
    table = speeds.SpeedTable()
    table.receive("vm-1", {"u-1": (33, 217)}, 100.0)
    table.receive("vm-2", {"u-1": (7, 333), "u-2": (70, 120)}, 100.7)
    table.receive("vm-1", {}, 101.1)
    table.receive("vm-2", {"u-2": (70, 120)}, 101.3)
    assert table.ratios(101.3).keys() == {"u-2"}
    assert table.ratios(101.3 + speeds.PEER_TTL_S + 0.1) == {}
