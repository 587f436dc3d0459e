"""Decides when a VM calls the platform's store; this module does no I/O."""

import collections

__all__ = ["MAP_OVERDUE_S", "READER_STAGGER_S", "ReportedVersions"]

# A row that the leader reports and the store doesn't return for this long is
# overdue. A slow store answers within 0.25 s, and all VMs of a domain have to
# have a key map within 1 s: this time, two reports and two fetches.
MAP_OVERDUE_S = 0.3
# The second reader of a domain waits for longer by this time. By then the first
# one has fetched the rows in most cases, and the leader, which has to answer
# the readers of all domains, isn't asked again.
READER_STAGGER_S = 0.15
# Versions that are remembered: 8 maps a second for 8 s.
_MAX_VERSIONS = 64


class ReportedVersions:
    """Versions of rows that the leader reported and the store didn't return.

    Rows that arrive from another VM don't count: the call to the store remains
    overdue, so that further rows are fetched without the delay.
    """

    def __init__(self):
        # Versions and when they were first reported, oldest first.
        self._reported: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=_MAX_VERSIONS)
        )

    @property
    def newest(self) -> int:
        """Newest version that the store hasn't returned; 0 if there is none."""
        return self._reported[-1][0] if self._reported else 0

    def record_reported(self, version: int, now: float) -> None:
        """Records that the leader reports a version."""
        if version > self.newest:
            if len(self._reported) == _MAX_VERSIONS:
                # The oldest one decides what is overdue.
                self._reported.pop()
            self._reported.append((version, now))

    def record_stored(self, version: int) -> None:
        """Records that the store returned all changes up to a version."""
        while self._reported and self._reported[0][0] <= version:
            self._reported.popleft()

    def overdue_s(self, now: float) -> float:
        """Returns for how long the oldest version is missing, in seconds."""
        return now - self._reported[0][1] if self._reported else 0.0
