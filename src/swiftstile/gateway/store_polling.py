"""Decides when a VM calls the platform's store; this module does no I/O."""

import collections
import enum
import math

from swiftstile import hashing
from swiftstile.gateway import gossip
from swiftstile.gateway import outage as outage_lib
from swiftstile.gateway import readers
from swiftstile.gateway import reports

__all__ = [
    "CALL_ANEW_INTERVAL_S",
    "FIRST_TURNS_S",
    "MAP_OVERDUE_S",
    "READER_STAGGER_S",
    "TURN_CHECK_S",
    "TURN_S",
    "PollingTurns",
    "Reason",
    "ReportedVersions",
]

# A row that the leader reports and the store doesn't return for this long is
# overdue. A slow store answers within 0.25 s, and all VMs of a domain have to
# have a key map within 1 s: this time, two reports and two fetches.
MAP_OVERDUE_S = 0.3
# Minimum interval between calls for overdue rows. The store may answer from a
# copy that lacks them for a while, so calling more often only adds load to it.
CALL_ANEW_INTERVAL_S = 0.5
# The second reader of a domain waits for longer by this time. By then the first
# one has fetched the rows in most cases, and the leader, which has to answer
# the readers of all domains, isn't asked again.
READER_STAGGER_S = 0.15
# Duration of a turn: where the store rejects half of the VMs, the five turns
# within the 1 s in which its recovery has to be noticed miss those that are
# served in 1 of 32 cases at most.
TURN_S = 0.2
# For this long after the first table is lost, several VMs have a turn at once,
# so that each VM has one: the store may serve VMs other than the readers, and
# rows that were written at that moment have a time limit. It is one round of
# turns and 0.5 s, as VMs notice the loss up to two reports apart.
FIRST_TURNS_S = 1.5
# Turns in which each VM has one then: those within 1 s.
_FIRST_TURNS = 5
# Interval of checks whether it is this VM's turn.
TURN_CHECK_S = 0.1
# A VM that reached the store within this time calls it without a turn. It is
# the readers' long poll: a VM that follows the store for others repeats its
# calls at least this often.
_REACHED_WITHIN_S = readers.READER_WATCH_S
# Versions that are remembered: 8 maps a second for 8 s.
_MAX_VERSIONS = 64


class Reason(enum.Enum):
    """Why a call is made; part of a metric label."""

    # The table hasn't been read since the start.
    START = "start"
    # The call before had no change.
    POLL = "poll"
    # The call before had changes.
    CHANGE = "change"
    # The store has no changes since the known version any more.
    EXPIRED = "expired"
    # Rows of another VM arrived during the call before.
    OVERTAKEN = "overtaken"
    # The call before didn't return what the leader reports.
    OVERDUE = "overdue"
    # Calls fail, or no VM of the domain reaches the store.
    OUTAGE = "outage"
    # Whether the store answers, before keys are moved.
    PROBE = "probe"
    WRITE = "write"
    # A read that finds out whether a write took effect.
    SETTLE = "settle"


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


class PollingTurns:
    """Decides whether a VM calls the store while no reader reaches it.

    In a domain with many VMs, all of their calls during an outage would cost
    far more than what they find out. The readers go on calling, and one of the
    other VMs at a time, as the store may reject the readers only. Just after a
    table is lost, a fifth of the other VMs calls at a time. A VM whose call
    succeeds publishes its status and goes on, and the others follow it.

    The number of a turn comes from the uptime in the reports of the first
    reader, which all VMs of the domain receive; no clock is shared. VMs that
    disagree on it for a moment make one call more or less.

    Args:
        peers: The other VMs.
        outage: Outage state that this VM's followers share.
    """

    def __init__(self, peers: gossip.Peers, outage: outage_lib.Outage):
        self._peers = peers
        self._outage = outage
        # Number of the present turn, and how many VMs have it.
        self._turn = (-1, 1)
        # Table to call in the present turn, if it is this VM's.
        self._table_to_call: str | None = None

    @property
    def number(self) -> int:
        """Number of the last turn that was determined; -1 before the first."""
        return self._turn[0]

    def has_turns(self, now: float) -> bool:
        """Whether the domain has enough VMs to take turns."""
        return len(self._live_near(now)) >= readers.MAX_INDEPENDENT_VMS

    def may_call(self, table: str, now: float) -> bool:
        """Whether this VM, which isn't a reader, may call the store.

        Args:
            table: Name of the table, whose failure has been recorded.
            now: The time.
        """
        if now - self._outage.reached_at < _REACHED_WITHIN_S:
            return True
        near = self._live_near(now)
        if len(near) < readers.MAX_INDEPENDENT_VMS:
            return True
        self._update_turn(near, now)
        if self._table_to_call != table:
            return False
        self._table_to_call = None
        return True

    def _update_turn(self, near: list[reports.Peer], now: float) -> None:
        # The first VMs are the readers, as this VM isn't one.
        nodes = [peer.row.node for peer in near[readers.READERS_PER_DOMAIN :]]
        width = 1
        if self._outage.failing_s(now) < FIRST_TURNS_S:
            width = math.ceil((len(nodes) + 1) / _FIRST_TURNS)
        first = near[0]
        uptime_s = first.report.uptime_s + now - first.received_at
        turn = int(uptime_s / TURN_S)
        if (turn, width) == self._turn:
            return
        self._turn = (turn, width)
        # VMs with similar names may be rejected together.
        nodes = sorted([*nodes, self._peers.me.node], key=hashing.text_hash)
        rounds, number = divmod(turn, math.ceil(len(nodes) / width))
        own = nodes.index(self._peers.me.node)
        # Each VM calls another table in the next round.
        self._table_to_call = (
            self._outage.nth_failing(rounds + own)
            if own // width == number
            else None
        )

    def _live_near(self, now: float) -> list[reports.Peer]:
        """Returns the live VMs of the domain that stay, readers first."""
        near = self._peers.topology.near
        return [
            peer
            for peer in reports.live_peers(near, now)
            if not peer.report.is_leaving
        ]
