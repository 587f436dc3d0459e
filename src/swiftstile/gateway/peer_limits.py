"""Divides the memory and descriptors of the process among its peers.

The sums, and what the process needs for itself, are in
docs/design/peer-limits.md.
"""

import msgspec

from swiftstile import metrics
from swiftstile.gateway import memory_account
from swiftstile.gateway import open_connections
from swiftstile.gateway import settings as settings_lib

__all__ = ["ListenerLimits", "ListenerShare", "PeerLimits", "unlimited"]

# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
_BYTES_PER_MB = 1 << 20


class ListenerShare(msgspec.Struct, frozen=True):
    """Shares of what a process may use, for one listener.

    Attributes:
        memory: Of the memory.
        connections: Of the sockets.
        backlog: Of the sockets; accepted before any limit takes effect.
    """

    memory: float
    connections: float
    backlog: float


# What is left is for the process itself: its state, its connections to
# upstreams, other VMs and the store, and copies that are made of bodies.
CALLER_SHARE = ListenerShare(0.24, 0.4, 0.1)
FORWARD_SHARE = ListenerShare(0.08, 0.08, 0.02)
RESPONSE_MEMORY_SHARE = 0.12
# Connections that let their last response arrive, as a share of open ones.
_LEAVING_SHARE = 1 / 8
_MIN_BACKLOG = 16
_MAX_BACKLOG = 1024


class ListenerLimits(msgspec.Struct):
    """What the peers of one listener may make the process hold.

    Attributes:
        memory: Memory of what they send.
        connections: Their connections.
        backlog: Connections that wait to be accepted.
    """

    memory: memory_account.AccountPart
    connections: open_connections.ConnectionTable
    backlog: int = _MAX_BACKLOG


class PeerLimits:
    """What all peers may make the process hold.

    Args:
        limits: What the process may use.
        meters: Counts refusals, and exports what is held.

    Attributes:
        callers: Of callers.
        forwards: Of other VMs that forward requests.
        response_bytes: Of responses, until they were written.
    """

    def __init__(
        self, limits: settings_lib.LimitSettings, meters: metrics.Meters
    ):
        self._memory_bytes = limits.memory_mb * _BYTES_PER_MB
        self._sockets = limits.max_fds - _FILE_DESCRIPTORS
        self._meters = meters
        self.callers = self._listener("callers", CALLER_SHARE)
        self.forwards = self._listener("forwards", FORWARD_SHARE)
        self.response_bytes = int(RESPONSE_MEMORY_SHARE * self._memory_bytes)

    def _listener(self, name: str, share: ListenerShare) -> ListenerLimits:
        refusals = self._meters.refusals
        max_open = int(share.connections * self._sockets)
        backlog = int(share.backlog * self._sockets)
        part = memory_account.AccountPart(share.memory * self._memory_bytes)
        connections = open_connections.ConnectionTable(
            max_open,
            int(max_open * _LEAVING_SHARE),
            lambda: refusals.add("too-many-connections"),
        )
        self._meters.peer_bytes.track(name, lambda: part.held_bytes)
        self._meters.connections.track(name, lambda: len(connections))
        return ListenerLimits(
            part, connections, min(_MAX_BACKLOG, max(_MIN_BACKLOG, backlog))
        )


def unlimited() -> ListenerLimits:
    """Returns limits that nothing reaches."""
    return ListenerLimits(
        memory_account.AccountPart(),
        open_connections.ConnectionTable(1 << 30, 0, lambda: None),
    )
