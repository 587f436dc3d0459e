"""Selects the VM that a request is forwarded to; this module does no I/O.

A VM of the own failure domain costs no traffic between domains. Of the VMs that
may be asked two random ones are compared by their load: with the least loaded
one of all, VMs that lost their upstreams at the same moment would all forward
to the same VM.
"""

import collections
import collections.abc
import random

from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["ForwardSelector"]

# A VM that failed or refused to forward isn't asked for this long, about the
# time in which an unresponsive VM is detected.
AVOID_S = 1.0


class ForwardSelector:
    """Selects among the VMs that reach upstreams.

    Args:
        peers: The other VMs.
    """

    def __init__(self, peers: gossip.Peers):
        self._peers = peers
        self._avoided_until: dict[model.NodeId, float] = {}
        self._outstanding: collections.Counter[model.NodeId] = (
            collections.Counter()
        )

    def choose(
        self, tried: collections.abc.Collection[model.NodeId], now: float
    ) -> reports.Peer | None:
        """Returns the VM to ask, or None if there is none.

        Args:
            tried: VMs that were asked for the same request.
            now: The time.
        """
        candidates = [
            peer
            for peer in self._candidates(now)
            if peer.row.node not in tried
            and self._avoided_until.get(peer.row.node, 0.0) <= now
        ]
        sampled = random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=self._load, default=None)

    def has_any(self, now: float) -> bool:
        """Whether there is a VM that requests can be forwarded to."""
        return bool(self._candidates(now))

    def _candidates(self, now: float) -> list[reports.Peer]:
        """Returns the VMs of the own domain, or else those of all others."""
        near = self._able(self._peers.me.domain, now)
        if near:
            return near
        domains = {peer.row.domain for peer in self._peers.topology.far}
        return [peer for domain in domains for peer in self._able(domain, now)]

    def _able(self, domain, now: float) -> list[reports.Peer]:
        return [
            peer
            for peer in self._peers.reachable(domain, now)
            if peer.row.forward_port and not peer.is_isolated
        ]

    def _load(self, peer: reports.Peer) -> int:
        """Returns the known number of requests that a VM is handling."""
        report = peer.report
        own = self._outstanding[peer.row.node]
        if report is None:
            return own
        counts = (*report.shared.values(), *report.local.values())
        return own + sum(in_flight for in_flight, _ in counts)

    def note_started(self, node: model.NodeId) -> None:
        """Records that a request is being forwarded to a VM."""
        self._outstanding[node] += 1

    def note_ended(self, node: model.NodeId) -> None:
        """Records that a forwarded request has ended."""
        self._outstanding[node] -= 1

    def avoid(self, node: model.NodeId, now: float) -> None:
        """Stops asking a VM that failed or refused, for a while."""
        self._avoided_until[node] = now + AVOID_S
