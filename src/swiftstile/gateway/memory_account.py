"""Limits the memory that peers make this process hold.

An account has a part for each kind of peer, so that a crowd of one kind can't
use up the memory of another. A part that is full evicts what holds most for
longest without progress: bytes times seconds decide.
"""

import abc

from swiftstile import clocks

__all__ = ["AccountPart", "Holder"]

# A full part evicts down to this share, so that a flood doesn't sort all
# holders for each piece that arrives.
_RELIEVED_SHARE = 0.9
# Pause after a scan of a full part that could evict nothing, in seconds.
_FRUITLESS_SCAN_PAUSE_S = 0.05


class Holder(abc.ABC):
    """What holds memory on behalf of one peer.

    Attributes:
        held_bytes: Bytes that it holds, as last recorded.
    """

    held_bytes = 0

    @abc.abstractmethod
    def progressed_at(self) -> float | None:
        """Returns when it last made progress; None if it can't be evicted."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Frees at once what it holds, and records that."""


class AccountPart:
    """The memory that peers of one kind may make this process hold.

    Args:
        max_bytes: Above this, watched holders are evicted.

    Attributes:
        max_bytes: As above.
        held_bytes: Bytes that its holders hold now.
    """

    def __init__(self, max_bytes: float = float("inf")):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._watched: set[Holder] = set()
        self._is_evicting = False
        self._next_scan_at = 0.0

    def record(self, holder: Holder, count: int) -> None:
        """Records how many bytes a holder holds, and evicts if it is full.

        The holder itself may be evicted before this returns.
        """
        self.held_bytes += count - holder.held_bytes
        holder.held_bytes = count
        if self.held_bytes > self.max_bytes and not self._is_evicting:
            self._evict(clocks.monotonic())

    def watch(self, holder: Holder) -> None:
        """Lets a holder be evicted from now on."""
        self._watched.add(holder)

    def unwatch(self, holder: Holder) -> None:
        """Lets a holder not be evicted any more."""
        self._watched.discard(holder)

    def _evict(self, now: float) -> None:
        if now < self._next_scan_at:
            return
        self._is_evicting = True
        try:
            for holder in self._worst_first(now):
                if self.held_bytes <= _RELIEVED_SHARE * self.max_bytes:
                    return
                holder.evict()
        finally:
            self._is_evicting = False
        if self.held_bytes > self.max_bytes:
            self._next_scan_at = now + _FRUITLESS_SCAN_PAUSE_S

    def _worst_first(self, now: float) -> list[Holder]:
        costs = []
        for holder in self._watched:
            since = holder.progressed_at()
            if since is not None:
                cost = (holder.held_bytes * (now - since), holder.held_bytes)
                costs.append((cost, id(holder), holder))
        return [holder for _, _, holder in sorted(costs, reverse=True)]
