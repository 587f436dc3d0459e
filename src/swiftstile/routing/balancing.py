"""Load-balancing policies for services whose requests have no key owner."""

import abc
import random

from swiftstile.bundles import model
from swiftstile.routing import targets

__all__ = [
    "BalancingPolicy",
    "LeastOutstanding",
    "RandomChoice",
    "TwoChoices",
    "policy",
]


class BalancingPolicy(abc.ABC):
    """Chooses one of several servers."""

    @abc.abstractmethod
    def choose(self, usable: list[targets.Target]) -> targets.Target:
        """Returns one of the targets; there is at least one."""


class RandomChoice(BalancingPolicy):
    """Chooses a server uniformly at random."""

    def choose(self, usable: list[targets.Target]) -> targets.Target:
        """See base class."""
        return random.choice(usable)


class LeastOutstanding(BalancingPolicy):
    """Chooses the server with the fewest requests outstanding from here."""

    def choose(self, usable: list[targets.Target]) -> targets.Target:
        """See base class."""
        least = min(target.outstanding for target in usable)
        return random.choice([t for t in usable if t.outstanding == least])


class TwoChoices(BalancingPolicy):
    """Chooses the less loaded of two servers drawn at random.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001.
    """

    def choose(self, usable: list[targets.Target]) -> targets.Target:
        """See base class."""
        if len(usable) == 1:
            return usable[0]
        first, second = random.sample(usable, 2)
        return first if first.outstanding <= second.outstanding else second


_BY_NAME: dict[model.Balancing, type[BalancingPolicy]] = {
    model.Balancing.RANDOM: RandomChoice,
    model.Balancing.LEAST_OUTSTANDING: LeastOutstanding,
    model.Balancing.TWO_CHOICES: TwoChoices,
}


def policy(name: model.Balancing) -> BalancingPolicy:
    """Returns a new policy of the named kind."""
    return _BY_NAME[name]()
