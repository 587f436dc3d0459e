"""Selects the VM that a request is forwarded to; this module does no I/O.

A VM of the own failure domain costs no traffic between domains. Of the VMs that
may be asked two random ones are compared by their load: with the least loaded
one of all, VMs that lost their upstreams at the same moment would all forward
to the same VM.

The VMs of a domain often lose their upstreams together, and some notice it
later than others. So VMs of other domains are asked as well where those of the
own domain refused, failed, or would get the requests of many isolated VMs.

A VM that opens no new connections, while existing ones live, can send few
requests and refuses the others. It is asked only if there is no other one.
"""

import collections
import collections.abc
import random

from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["ForwardSelector"]

# A VM that failed or refused to forward isn't asked for this long, about the
# time in which an unresponsive VM is detected.
AVOID_S = 1.0
# Requests of isolated VMs that one VM of their domain is given in preference to
# VMs of other domains: a third of what it takes (`forward_listener.py`).
MAX_PREFERRED_REQUESTS = 32


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
        # Each request needs these, and they take the reports of all VMs.
        self._listed_at = float("-inf")
        self._far: list[reports.Peer] = []
        self._isolated_near = 0

    def choose(
        self, tried: collections.abc.Collection[model.NodeId], now: float
    ) -> reports.Peer | None:
        """Returns the VM to ask, or None if there is none.

        Args:
            tried: VMs that were asked for the same request.
            now: The time.
        """
        self._list_peers(now)
        near = self._able(self._near(now), tried, now)
        if not self._has_near(tried):
            peer = self._less_loaded(_opening_connections(near))
            if peer is not None and not self._is_crowded(peer):
                return peer
        able = near + self._able(self._far, tried, now)
        return self._less_loaded(_opening_connections(able) or able)

    def has_any(self, now: float) -> bool:
        """Whether there is a VM that requests can be forwarded to."""
        self._list_peers(now)
        return bool(self._far or self._near(now))

    def is_near(self, peer: reports.Peer) -> bool:
        """Whether a VM is of this VM's failure domain."""
        return peer.row.domain == self._peers.me.domain

    def _has_near(
        self, nodes: collections.abc.Collection[model.NodeId]
    ) -> bool:
        """Whether any of some VMs is of this VM's failure domain."""
        peers = map(self._peers.by_node.get, nodes)
        return any(peer is not None and self.is_near(peer) for peer in peers)

    def _list_peers(self, now: float) -> None:
        """Lists VMs again once newer reports may have arrived."""
        if abs(now - self._listed_at) < gossip.NEAR_INTERVAL_S:
            return
        self._listed_at = now
        self._far = [
            peer
            for domain in self._far_domains(now)
            for peer in self._connected(domain, now)
        ]
        self._isolated_near = sum(
            peer.is_partitioned
            for peer in self._peers.topology.near
            if peer.is_live(now)
        )

    def _near(self, now: float) -> list[reports.Peer]:
        return self._connected(self._peers.me.domain, now)

    def _far_domains(self, now: float) -> set[ids.FailureDomain]:
        """Returns the other domains, those with live VMs if they are known."""
        live = self._peers.dissemination.live_domains(now)
        return live or {peer.row.domain for peer in self._peers.topology.far}

    def _less_loaded(self, peers: list[reports.Peer]) -> reports.Peer | None:
        """Returns the less loaded one of two random VMs; None if none."""
        sampled = random.sample(peers, min(2, len(peers)))
        return min(sampled, key=self._load, default=None)

    def _is_crowded(self, peer: reports.Peer) -> bool:
        """Whether a VM of this domain is given too many requests.

        The other VMs of the domain that open no connections are assumed to
        forward as many to it as this one.
        """
        outstanding = self._outstanding[peer.row.node]
        isolated = 1 + self._isolated_near
        return outstanding * isolated >= MAX_PREFERRED_REQUESTS

    def _able(
        self,
        peers: list[reports.Peer],
        tried: collections.abc.Collection[model.NodeId],
        now: float,
    ) -> list[reports.Peer]:
        """Returns those of some VMs that may be asked now."""
        return [
            peer
            for peer in peers
            if peer.row.node not in tried
            and self._avoided_until.get(peer.row.node, 0.0) <= now
        ]

    def _connected(
        self, domain: ids.FailureDomain, now: float
    ) -> list[reports.Peer]:
        return [
            peer
            for peer in self._peers.connected(domain, now)
            if peer.row.forward_port
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


def _opening_connections(peers: list[reports.Peer]) -> list[reports.Peer]:
    """Returns the VMs that open new connections to upstreams."""
    return [peer for peer in peers if not peer.is_partitioned]
