"""Simulates rebalancing by speeds that are measured from few or noisy answers.

The plan of a leader decides in virtual time; moves take effect at once. Callers
ask for some keys at a constant rate, which the owners of these keys answer.
"""

import dataclasses
import random

from swiftstile.gateway import keymap
from swiftstile.gateway import slotplan
from tests import assigner_parts
from tests import gateway_builders as builders

__all__ = ["Load", "Simulation"]

_START_S = 100.0
_TICK_S = 0.05


@dataclasses.dataclass(frozen=True)
class Load:
    """Parameters of a simulation.

    Attributes:
        seed: Random seed.
        owners: Number of owners.
        per_s: Requests per second.
        few: Slots that callers ask for instead of all, from `few_from_s` on.
        few_from_s: When they begin to do so.
        few_per_s: Requests per second from then on.
        ratio: Mean service time, relative to the expected one.
        speeds: Speed of some owners relative to the others, by number.
        stall_share: Share of the answers that a busy VM sees late.
        stall_ratio: Their service time, relative to the expected one.
    """

    seed: int = 1
    owners: int = 6
    per_s: float = 40.0
    few: tuple[int, ...] = ()
    few_from_s: float = float("inf")
    few_per_s: float = 15.0
    ratio: float = 1.0
    speeds: dict[int, float] = dataclasses.field(default_factory=dict)
    stall_share: float = 0.0
    stall_ratio: float = 4.0


class Simulation:
    """Runs one simulation.

    Attributes:
        moved: Times and numbers of slots of all moves.
    """

    def __init__(self, load: Load):
        self._load = load
        self._random = random.Random(load.seed)
        self._parts = assigner_parts.Parts(max_ranges=slotplan.SLOT_COUNT)
        self._names = [f"u-{number}" for number in range(1, load.owners + 1)]
        for name in self._names:
            self._parts.target_table.put(builders.upstream(name), 0.0)
        self._map = keymap.KeyMap.empty(slotplan.SLOT_COUNT)
        self.moved: list[tuple[float, int]] = []

    def run(self, seconds: float) -> "Simulation":
        """Runs it for some time."""
        now, plan = _START_S, self._parts.plan
        plan.weights(now)
        assigned = plan.initial_assignment(plan.weights(now), now + 2.0)
        self._map = self._map.assign({}, dict(enumerate(assigned)))
        while now < _START_S + seconds:
            now += _TICK_S
            self._answer(now)
            weights = plan.weights(now, self._map.slots_by_owner)
            moving = plan.surplus_slots_to_move(self._map, weights, now)
            if moving:
                self.moved.append((now - _START_S, len(moving)))
                placed = plan.destinations(self._map, moving, weights, now)
                self._map = self._map.assign({}, placed)
        return self

    def moved_after(self, seconds: float) -> int:
        """Returns how many slots moved after some time."""
        return sum(count for at, count in self.moved if at > seconds)

    def share(self, number: int) -> float:
        """Returns the slots of an owner, relative to an equal share."""
        owned = len(self._map.slots_by_owner.get(self._names[number], ()))
        return owned * self._load.owners / slotplan.SLOT_COUNT

    def _answer(self, now: float) -> None:
        load, draw = self._load, self._random
        asked, per_s = range(slotplan.SLOT_COUNT), load.per_s
        if now - _START_S >= load.few_from_s:
            asked, per_s = load.few, load.few_per_s
        for _ in range(_poisson(draw, per_s * _TICK_S)):
            owner = self._map.slots[draw.choice(asked)].owner
            # The standard deviation of work is half of its mean.
            ratio = load.ratio * draw.gammavariate(4, 0.25)
            ratio /= load.speeds.get(self._names.index(owner), 1.0)
            if draw.random() < load.stall_share:
                ratio += load.stall_ratio
            self._parts.speeds.add_sample(owner, ratio, now)


def _poisson(draw: random.Random, mean: float) -> int:
    """Returns a number of arrivals, for small means."""
    count, left = 0, draw.expovariate(1.0)
    while left < mean:
        count += 1
        left += draw.expovariate(1.0)
    return count
