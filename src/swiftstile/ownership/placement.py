"""Placement policies, which choose the server that owns a slice.

`python -m benchmarks.placement` compares them; see docs/design/placement.md.
"""

import abc

import msgspec

from swiftstile import hashing
from swiftstile import ids
from swiftstile.ownership import load as load_lib
from swiftstile.ownership import slices

__all__ = [
    "EvenPlacement",
    "GreedyPlacement",
    "IsolatingPlacement",
    "PlacementPolicy",
    "Plan",
]

# Most keys that have slices of their own at the same time.
_MAX_HOT_KEYS = 64
# A key gets a slice of its own above the first share of a server's mean load
# and keeps it until its load is below the second. With a single threshold,
# noise would split and merge the slice in turn.
_SPLIT_SHARE = 0.1
_MERGE_SHARE = 0.03


class Plan(msgspec.Struct, frozen=True):
    """One round of rebalancing.

    Attributes:
        splits: Positions at which new slices start, with unchanged owners.
        merges: Starts of slices to merge into the preceding slice, which has
            the same owner.
        moves: New owners, by start of the slice.
    """

    splits: tuple[int, ...] = ()
    merges: tuple[int, ...] = ()
    moves: dict[int, ids.ServerId] = {}


class PlacementPolicy(abc.ABC):
    """Assigns slices to servers."""

    @abc.abstractmethod
    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        load: load_lib.LoadView,
        budget: float,
    ) -> Plan:
        """Returns one round of rebalancing.

        Args:
            assignment: The assignment in force; each slice has a live owner.
            servers: Servers that may own slices.
            load: Load on the assignment.
            budget: Largest share of the hash space to move, from 0 to 1.
        """

    def place(
        self,
        assignment: slices.Assignment,
        orphans: list[slices.Slice],
        servers: set[ids.ServerId],
        load: load_lib.LoadView,
    ) -> dict[int, ids.ServerId]:
        """Returns an owner for each slice that has none, by start.

        Slices are placed in order of decreasing load, each on the server that
        is the least loaded so far.
        """
        counts = _slice_counts(assignment, servers)
        loads = load.by_server(assignment, servers)
        moves: dict[int, ids.ServerId] = {}
        by_weight = sorted(orphans, key=lambda p: -load.by_start[p.start])
        for piece in by_weight if servers else []:
            target = min(loads, key=lambda s: (loads[s], counts[s], s))
            moves[piece.start] = target
            loads[target] += load.by_start[piece.start]
            counts[target] += 1
        return moves


class EvenPlacement(PlacementPolicy):
    """Assigns each server the same number of slices, whatever their load."""

    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        load: load_lib.LoadView,
        budget: float,
    ) -> Plan:
        """See base class."""
        counts = _slice_counts(assignment, servers)
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
        return Plan(moves=moves)


class GreedyPlacement(PlacementPolicy):
    """Moves slices from the busiest to the least loaded server.

    It stops when the imbalance target is met, when no move would help, or when
    the churn budget is spent.
    """

    def __init__(self, target: float):
        """Creates the policy.

        Args:
            target: Imbalance target: highest accepted ratio of the busiest
                server's load to the mean load, above 1.
        """
        self._target = target
        self._fallback = EvenPlacement()

    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        load: load_lib.LoadView,
        budget: float,
    ) -> Plan:
        """See base class. Without load, balances the number of slices."""
        loads = load.by_server(assignment, servers)
        if len(loads) < 2:
            return Plan()
        if sum(loads.values()) <= 0 or not _all_own_slices(assignment, servers):
            return self._fallback.rebalance(assignment, servers, load, budget)
        return Plan(moves=self._moves(assignment, loads, load, budget))

    def _moves(self, assignment, loads, load, budget):
        mean = sum(loads.values()) / len(loads)
        left = budget * hashing.HASH_SPACE
        moves: dict[int, ids.ServerId] = {}
        while True:
            busiest = max(loads, key=lambda s: (loads[s], s))
            least_loaded = min(loads, key=lambda s: (loads[s], s))
            if loads[busiest] <= self._target * mean:
                return moves
            gap = loads[busiest] - loads[least_loaded]
            piece = self._best_slice(
                assignment, busiest, moves, load, gap, left
            )
            if piece is None:
                return moves
            moves[piece.start] = least_loaded
            left -= assignment.end_of(piece) - piece.start
            loads[busiest] -= load.by_start[piece.start]
            loads[least_loaded] += load.by_start[piece.start]

    def _best_slice(self, assignment, server, moves, load, gap, left):
        """Returns the slice whose move improves balance most, or None."""
        movable = [
            piece
            for piece in assignment.owned_by(server)
            if piece.start not in moves
            and 0 < load.by_start[piece.start] < gap
            and assignment.end_of(piece) - piece.start <= left
        ]
        return max(
            movable,
            key=lambda piece: self._gain(assignment, piece, load, gap),
            default=None,
        )

    def _gain(self, assignment, piece, load, gap) -> float:
        """Returns the gain of a move; the best one halves the difference."""
        del assignment
        return -abs(load.by_start[piece.start] - gap / 2)


class IsolatingPlacement(GreedyPlacement):
    """Gives hot keys slices of their own and prefers to move those.

    Such a slice carries much load, and moving it changes the owner of one key.
    """

    def rebalance(
        self,
        assignment: slices.Assignment,
        servers: set[ids.ServerId],
        load: load_lib.LoadView,
        budget: float,
    ) -> Plan:
        """See base class."""
        hot = self._keys_above(_SPLIT_SHARE, servers, load)
        splits = tuple(
            start
            for position in sorted(hot)
            for start in (position, position + 1)
            if start < hashing.HASH_SPACE
            and assignment.at(ids.KeyHash(start)).start != start
        )
        if splits:
            return Plan(splits=splits)
        plan = super().rebalance(assignment, servers, load, budget)
        if plan.moves:
            return plan
        # Merging slices of keys that are no longer hot improves no balance, so
        # it is done only when there is nothing else to do.
        still_hot = self._keys_above(_MERGE_SHARE, servers, load)
        merges, moves_back = self._merges_and_moves_back(
            assignment, still_hot, servers
        )
        return Plan(merges=merges) if merges else Plan(moves=moves_back)

    def _keys_above(self, share, servers, load) -> set[int]:
        """Returns the keys whose load exceeds a share of a server's mean."""
        total = sum(load.by_start.values())
        floor = share * total / max(1, len(servers))
        by_rate = sorted(load.by_position.items(), key=lambda item: -item[1])
        return {p for p, rate in by_rate[:_MAX_HOT_KEYS] if rate > floor > 0}

    def _merges_and_moves_back(self, assignment, hot, servers):
        """Returns merges and moves for slices of keys that are no longer hot.

        A slice whose neighbour has another owner is moved back to that owner
        before it can be merged.
        """
        merges: list[int] = []
        moves_back: dict[int, ids.ServerId] = {}
        for before, piece in zip(
            assignment.slices, assignment.slices[1:], strict=False
        ):
            is_narrow = 1 in (
                assignment.end_of(piece) - piece.start,
                assignment.end_of(before) - before.start,
            )
            if not is_narrow or piece.start in hot or before.start in hot:
                continue
            if before.server == piece.server:
                merges.append(piece.start)
            elif (
                before.server in servers
                and assignment.end_of(piece) - piece.start == 1
            ):
                moves_back[piece.start] = before.server
        return tuple(merges), moves_back

    def _gain(self, assignment, piece, load, gap) -> float:
        """Returns the gain of a move; slices of one key are preferred.

        A slice that carries more than half the difference is not.
        """
        rate = load.by_start[piece.start]
        width = assignment.end_of(piece) - piece.start
        fit = 1 - abs(rate - gap / 2) / gap
        return fit + (1.0 if width == 1 and rate <= gap / 2 else 0.0)


def _slice_counts(assignment, servers) -> dict[ids.ServerId, int]:
    counts = dict.fromkeys(sorted(servers), 0)
    for piece in assignment.slices:
        if piece.server in counts:
            counts[piece.server] += 1
    return counts


def _all_own_slices(assignment, servers) -> bool:
    """Returns whether each server owns a slice.

    A new server owns none and is first filled by number of slices.
    """
    return set(servers) <= {piece.server for piece in assignment.slices}
