"""Policies that choose which server owns a slice."""

import abc

from swiftstile import ids
from swiftstile.ownership import slices

__all__ = ["EvenPlacement", "PlacementPolicy"]


class PlacementPolicy(abc.ABC):
    """Decides where slices go."""

    @abc.abstractmethod
    def place(
        self,
        assignment: slices.Assignment,
        orphans: list[slices.Slice],
        servers: set[ids.ServerId],
    ) -> dict[int, ids.ServerId]:
        """Returns an owner for each slice that has none, by start."""

    @abc.abstractmethod
    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        budget: float,
    ) -> dict[int, ids.ServerId]:
        """Returns planned moves, by start of the slice.

        Args:
            assignment: What is in force; each slice has a live owner.
            servers: Servers that may own.
            budget: Largest share of the hash space to move, from 0 to 1.
        """


class EvenPlacement(PlacementPolicy):
    """Gives each server the same number of slices, moving as few as it can."""

    def place(
        self,
        assignment: slices.Assignment,
        orphans: list[slices.Slice],
        servers: set[ids.ServerId],
    ) -> dict[int, ids.ServerId]:
        """See base class."""
        counts = self._counts(assignment, servers)
        moves: dict[int, ids.ServerId] = {}
        for piece in orphans:
            if not counts:
                break
            target = min(counts, key=lambda server: (counts[server], server))
            moves[piece.start] = target
            counts[target] += 1
        return moves

    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        budget: float,
    ) -> dict[int, ids.ServerId]:
        """See base class."""
        counts = self._counts(assignment, servers)
        allowed = int(budget * len(assignment.slices))
        moves: dict[int, ids.ServerId] = {}
        for piece in assignment.slices:
            if len(moves) >= allowed or len(counts) < 2:
                break
            least = min(counts, key=lambda server: (counts[server], server))
            if counts.get(piece.server, 0) - counts[least] >= 2:
                moves[piece.start] = least
                counts[piece.server] -= 1
                counts[least] += 1
        return moves

    def _counts(self, assignment, servers) -> dict[ids.ServerId, int]:
        counts = dict.fromkeys(servers, 0)
        for piece in assignment.slices:
            if piece.server in counts:
                counts[piece.server] += 1
        return counts
