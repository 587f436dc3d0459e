"""Slices of the hash space and the assignment of one service.

A slice extends from its start to the start of the next one. An assignment
covers the whole hash space and is immutable.
"""

import bisect
import functools

import msgspec

from swiftstile import hashing
from swiftstile import ids

__all__ = ["NO_OWNER", "Assignment", "Delta", "Slice", "initial"]

NO_OWNER = ids.ServerId("")


class Slice(msgspec.Struct, array_like=True, frozen=True):
    """A range of the hash space with one owner.

    Attributes:
        start: First position, in [0, 2**64).
        server: The owner, or `NO_OWNER`.
        fence: Version of the assignment in which it got this owner.
    """

    start: int
    server: ids.ServerId
    fence: ids.Fence


class Delta(msgspec.Struct, frozen=True):
    """Difference between two versions of an assignment.

    Attributes:
        base: Version that it applies to; 0 if it is a whole assignment.
        version: Version that results.
        epoch: Epoch of the coordinator that wrote that version.
        changed: Slices that are new or have another owner or fence.
        removed: Starts of slices that no longer exist.
    """

    base: int
    version: int
    epoch: ids.Epoch
    changed: tuple[Slice, ...]
    removed: tuple[int, ...] = ()


class Assignment(msgspec.Struct, frozen=True, dict=True):
    """Owners of all slices of one service.

    Attributes:
        version: Incremented by each change.
        epoch: Epoch of the coordinator that wrote it.
        slices: All slices, by start; the first starts at 0.
    """

    version: int
    epoch: ids.Epoch
    slices: tuple[Slice, ...]

    @functools.cached_property
    def _starts(self) -> list[int]:
        return [piece.start for piece in self.slices]

    def at(self, position: ids.KeyHash) -> Slice:
        """Returns the slice that contains a position."""
        return self.slices[bisect.bisect_right(self._starts, position) - 1]

    def end_of(self, piece: Slice) -> int:
        """Returns the first position after a slice."""
        index = bisect.bisect_right(self._starts, piece.start)
        if index == len(self.slices):
            return hashing.HASH_SPACE
        return self.slices[index].start

    def owned_by(self, server: ids.ServerId) -> tuple[Slice, ...]:
        """Returns the slices of a server, by start."""
        return tuple(p for p in self.slices if p.server == server)

    def width_by_server(self) -> dict[ids.ServerId, int]:
        """Returns how many positions each server owns."""
        widths: dict[ids.ServerId, int] = {}
        for piece in self.slices:
            width = self.end_of(piece) - piece.start
            widths[piece.server] = widths.get(piece.server, 0) + width
        return widths

    def moved(
        self, owner_by_start: dict[int, ids.ServerId], epoch: ids.Epoch
    ) -> "Assignment":
        """Returns the next version, with other owners for some slices."""
        version = self.version + 1
        slices = tuple(
            Slice(p.start, owner_by_start[p.start], ids.Fence(version))
            if p.start in owner_by_start
            else p
            for p in self.slices
        )
        return Assignment(version, epoch, slices)

    def split(self, positions: list[int], epoch: ids.Epoch) -> "Assignment":
        """Returns the next version, with more slices and the same owners.

        The parts keep the fence of the slice, as their owner doesn't change.

        Args:
            positions: Where new slices start. Present starts are ignored.
            epoch: Epoch of the writer.
        """
        new = {start for start in positions if start not in set(self._starts)}
        parts = [
            Slice(start, whole.server, whole.fence)
            for start in new
            if (whole := self.at(ids.KeyHash(start)))
        ]
        slices = sorted([*self.slices, *parts], key=lambda p: p.start)
        return Assignment(self.version + 1, epoch, tuple(slices))

    def merged(self, starts: set[int], epoch: ids.Epoch) -> "Assignment":
        """Returns the next version, with slices merged into the one before.

        The merged slice gets a new fence, as its parts may have different
        fences.

        Args:
            starts: Starts of slices to merge. Those whose predecessor has
                another owner are ignored.
            epoch: Epoch of the writer.
        """
        version = self.version + 1
        slices: list[Slice] = []
        for piece in self.slices:
            if (
                slices
                and piece.start in starts
                and slices[-1].server == piece.server
            ):
                whole = slices.pop()
                fence = ids.Fence(version)
                slices.append(Slice(whole.start, whole.server, fence))
            else:
                slices.append(piece)
        return Assignment(version, epoch, tuple(slices))

    def delta_from(self, older: "Assignment | None") -> Delta:
        """Returns the delta from an older version, or the whole for None."""
        if older is None:
            return Delta(0, self.version, self.epoch, self.slices)
        known = set(older.slices)
        changed = tuple(p for p in self.slices if p not in known)
        removed = tuple(sorted(set(older._starts) - set(self._starts)))
        return Delta(older.version, self.version, self.epoch, changed, removed)

    def apply(self, delta: Delta) -> "Assignment":
        """Returns the version that results from a delta.

        Raises:
            ValueError: The delta is for another version.
        """
        if delta.base != self.version:
            raise ValueError(
                f"delta from version {delta.base} doesn't apply to version"
                f" {self.version}"
            )
        by_start = {piece.start: piece for piece in self.slices}
        for start in delta.removed:
            del by_start[start]
        by_start.update((piece.start, piece) for piece in delta.changed)
        slices = tuple(by_start[start] for start in sorted(by_start))
        return Assignment(delta.version, delta.epoch, slices)

    def check(self) -> None:
        """Checks that the slices cover each position exactly once.

        Raises:
            ValueError: They don't.
        """
        starts = self._starts
        if not starts or starts[0] != 0 or starts != sorted(set(starts)):
            raise ValueError("slices don't cover the hash space exactly once")
        if starts[-1] >= hashing.HASH_SPACE:
            raise ValueError("a slice starts outside the hash space")


def initial(
    servers: list[ids.ServerId], per_server: int, epoch: ids.Epoch
) -> Assignment:
    """Returns version 1: equal slices, assigned round-robin.

    Args:
        servers: The owners. If empty, the slices have no owner.
        per_server: Slices for each server.
        epoch: Epoch of the writer.
    """
    ordered = sorted(servers) or [NO_OWNER]
    count = len(ordered) * per_server
    slices = tuple(
        Slice(
            hashing.HASH_SPACE * index // count,
            ordered[index % len(ordered)],
            ids.Fence(1),
        )
        for index in range(count)
    )
    return Assignment(1, epoch, slices)
