"""Compares placement policies: imbalance against churn on synthetic load.

`python -m benchmarks.placement [IMAGE]` runs each policy with several churn
budgets on a skewed key distribution in which the fifteen hot keys change over
time, and plots the curve. It simulates the policies only, without processes or
network.
"""

import json
import pathlib
import random
import sys

import matplotlib

from swiftstile import hashing
from swiftstile import ids
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import placement
from swiftstile.ownership import slices

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

__all__ = ["main"]

_SERVERS = 20
_SLICES_PER_SERVER = 16
_KEYS = 4000
_HOT_KEYS = 15
_HOT_SHARE = 0.5
# Rounds between two changes of the hot keys: 3 minutes of 3 s rounds.
_ROUNDS_PER_PHASE = 60
_PHASES = 4
_REQUESTS_PER_ROUND = 3000
# Rounds after a change that are excluded: no policy can have detected the new
# hot keys yet.
_IGNORED_ROUNDS = 3
_BUDGETS = (0.003, 0.01, 0.03, 0.1, 0.3)
_IMBALANCE_TARGET = 1.25
_EPOCH = ids.Epoch(1)
_POLICIES = {
    "even": placement.EvenPlacement,
    "greedy": lambda: placement.GreedyPlacement(_IMBALANCE_TARGET),
    "isolating": lambda: placement.IsolatingPlacement(_IMBALANCE_TARGET),
}


class _Simulation:
    """Keys, the hot ones among them, and their assignment to servers."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.positions = [
            self.random.randrange(hashing.HASH_SPACE) for _ in range(_KEYS)
        ]
        self.weights = [1 / (n + 1) ** 0.8 for n in range(_KEYS)]
        self.hot_positions = self.positions[:_HOT_KEYS]
        servers = [ids.ServerId(f"s{n}") for n in range(_SERVERS)]
        self.servers = set(servers)
        self.assignment = slices.initial(servers, _SLICES_PER_SERVER, _EPOCH)
        self.load = load_lib.LoadTable()
        self.now = 100.0

    def change_hot_keys(self) -> None:
        """Draws a new set of hot keys."""
        self.hot_positions = self.random.sample(self.positions, _HOT_KEYS)

    def simulate_round(self) -> list[int]:
        """Draws the requests of one round and records their load."""
        count = int(_REQUESTS_PER_ROUND * _HOT_SHARE)
        requests = self.random.choices(self.hot_positions, k=count)
        requests += self.random.choices(
            self.positions, self.weights, k=_REQUESTS_PER_ROUND - count
        )
        sketch = load_lib.LoadSketch()
        self.random.shuffle(requests)
        for position in requests:
            sketch.record(self.assignment.at(position).start, position)
        self.now += 3.0
        self.load.record(ids.Incarnation("r"), sketch.flush(3.0), self.now)
        return requests

    def imbalance(self, requests: list[int]) -> float:
        """Returns the ratio of the largest to the mean load of one round."""
        counts = dict.fromkeys(self.servers, 0)
        for position in requests:
            counts[self.assignment.at(position).server] += 1
        return max(counts.values()) * _SERVERS / len(requests)

    def rebalance(self, policy, budget: float) -> int:
        """Applies one round of a policy; returns the number of moved keys."""
        view = self.load.view(self.assignment, self.now)
        plan = policy.rebalance(self.assignment, self.servers, view, budget)
        before = self.assignment
        if plan.splits:
            self.assignment = self.assignment.split(list(plan.splits), _EPOCH)
        if plan.merges:
            self.assignment = self.assignment.merged(set(plan.merges), _EPOCH)
        if plan.moves:
            self.assignment = self.assignment.moved(plan.moves, _EPOCH)
        return sum(
            before.at(p).server != self.assignment.at(p).server
            for p in self.positions
        )


def run(name: str, budget: float, seed: int) -> dict[str, float]:
    """Returns mean imbalance and the churn per change of the hot keys."""
    simulation, policy = _Simulation(seed), _POLICIES[name]()
    imbalances, churn = [], 0
    for _ in range(_PHASES):
        simulation.change_hot_keys()
        for number in range(_ROUNDS_PER_PHASE):
            requests = simulation.simulate_round()
            if number >= _IGNORED_ROUNDS:
                imbalances.append(simulation.imbalance(requests))
            churn += simulation.rebalance(policy, budget)
    return {
        "imbalance": round(sum(imbalances) / len(imbalances), 3),
        "churn": round(churn / _PHASES, 1),
        "slices": len(simulation.assignment.slices),
    }


def main() -> int:
    """Prints the points as JSON and plots them."""
    curve = {
        name: [
            {"budget": budget, **run(name, budget, 1)} for budget in _BUDGETS
        ]
        for name in _POLICIES
    }
    for name, points in curve.items():
        xs = [point["churn"] for point in points]
        ys = [point["imbalance"] for point in points]
        pyplot.plot(xs, ys, marker="o", label=name)
    pyplot.xlabel(f"churn, keys of {_KEYS} moved for each change of hot keys")
    pyplot.ylabel("imbalance, busiest over mean")
    pyplot.legend()
    if len(sys.argv) > 1:
        pyplot.savefig(pathlib.Path(sys.argv[1]), dpi=100)
    print(json.dumps(curve))
    return 0


if __name__ == "__main__":
    sys.exit(main())
