"""Selects the VM that assigns the slots of an upstream or a service.

A rendezvous hash chooses among the VMs of the domain with high bandwidth, so
that all VMs that see the same peers select the same arbiter.
"""

import collections.abc

from swiftstile import ids
from swiftstile.gateway import coldstart
from swiftstile.gateway import dissemination
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import sharing
from swiftstile.gateway import targets
from swiftstile.gateway import upstream_links

__all__ = ["ArbiterSelector"]

# An arbiter that didn't reply isn't asked for this long, about the time in
# which an unresponsive peer is detected.
AVOID_UNRESPONSIVE_S = 1.0


class ArbiterSelector:
    """Selects arbiters by the peers that this VM can reach.

    Args:
        peers: The other VMs.
        is_leaving: Returns whether this VM is shutting down.
        limits: Names the one VM that assigns the slots of a cold upstream.
        is_isolated: Returns whether this VM reaches no upstream, given the
            time.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        is_leaving: collections.abc.Callable[[], bool],
        limits: coldstart.SendLimits,
        is_isolated: upstream_links.IsIsolated = upstream_links.never_isolated,
    ):
        self._peers = peers
        self._is_leaving = is_leaving
        self._limits = limits
        self._is_isolated = is_isolated
        self._avoided_until: dict[model.NodeId, float] = {}

    def arbiter_of(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """Returns the arbiter of an upstream; None if this VM decides."""
        if self._limits.is_limited(target, now):
            return self._cold_sender(target, now)
        if target.rate_limit.per_s is not None:
            # Only the limiter issues tokens, so no other VM is asked instead.
            peer, is_me = self.limiter_of(target, target.id, now)
            is_unusable = is_me or (peer and self.is_avoided(peer, now))
            return None if is_unusable else peer
        domain = target.upstream.failure_domain
        peer, is_me = self.arbiter_in_domain(domain, target.id, now)
        return None if is_me else peer

    def limiter_of(
        self, target: targets.Target, subject: str, now: float
    ) -> tuple[reports.Peer | None, bool]:
        """Returns the VM that issues the tokens of a rate-limited upstream.

        Unlike an arbiter, it isn't replaced while it leaves permit requests
        without a reply: two VMs would each issue the whole limit. For the same
        reason it stays while it reaches no upstream, as tokens need none.

        Args:
            target: The upstream.
            subject: Name of the upstream or service that is hashed.
            now: The time.

        Returns:
            The VM, or None if no peer of the domain is live; and whether this
            VM is the limiter instead.
        """
        if self._limits.is_limited(target, now):
            row = self._limits.designated_sender(target, now)
            if row is None or row is self._peers.me:
                return None, row is not None
            return self._peers.by_node.get(row.node), False
        domain = target.upstream.failure_domain
        return self._select(
            self._peers.reachable(domain, now),
            domain == self._peers.me.domain and not self._is_leaving(),
            subject,
        )

    def arbiter_in_domain(
        self, domain: ids.FailureDomain, subject: str, now: float
    ) -> tuple[reports.Peer | None, bool]:
        """Returns the arbiter of an upstream or a service in a domain.

        A VM that reaches no upstream can't tell how loaded one is.

        Args:
            domain: The domain.
            subject: Name of the upstream or service.
            now: The time.

        Returns:
            The arbiter, or None if no peer of the domain can be asked; and
            whether this VM is the arbiter instead.
        """
        is_near = (
            domain == self._peers.me.domain
            and not self._is_leaving()
            and not self._is_isolated(now)
        )
        return self._select(
            self._peers.connected(domain, now),
            is_near,
            subject,
            lambda peer: not self.is_avoided(peer, now),
        )

    def _select(
        self,
        peers: list[reports.Peer],
        is_near: bool,
        subject: str,
        is_eligible: collections.abc.Callable[
            [reports.Peer], bool
        ] = lambda peer: True,
    ) -> tuple[reports.Peer | None, bool]:
        """Returns the eligible VM of highest affinity, or whether it is me.

        Args:
            peers: The peers to select from.
            is_near: Whether this VM may be selected, too.
            subject: Name of the upstream or service that is hashed.
            is_eligible: Whether a peer may be selected. Those that may not
                still count for the bandwidth that is wanted.
        """
        me = self._peers.me
        most_mbps = max(
            [peer.row.link_mbps for peer in peers] + [me.link_mbps] * is_near,
            default=0.0,
        )
        least_mbps = dissemination.MIN_BANDWIDTH_RATIO * most_mbps
        best, best_affinity, is_me = None, -1, False
        if is_near and me.link_mbps >= least_mbps:
            best_affinity, is_me = sharing.affinity(me.node, subject), True
        for peer in peers:
            if peer.row.link_mbps < least_mbps or not is_eligible(peer):
                continue
            affinity = sharing.affinity(peer.row.node, subject)
            if affinity > best_affinity:
                best, best_affinity, is_me = peer, affinity, False
        return best, is_me

    def is_avoided(self, peer: reports.Peer, now: float) -> bool:
        """Whether a peer recently left a permit request without a reply."""
        return self._avoided_until.get(peer.row.node, 0.0) > now

    def avoid(self, peer: reports.Peer, now: float) -> None:
        """Stops asking a peer that didn't reply, for a while."""
        self._avoided_until[peer.row.node] = now + AVOID_UNRESPONSIVE_S

    def _cold_sender(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """Returns the only VM that sends to a cold upstream.

        None if it is this VM, or if it is unreachable; in the latter case this
        VM sends nothing there.
        """
        row = self._limits.designated_sender(target, now)
        peer = None if row is None else self._peers.by_node.get(row.node)
        if peer is None or self.is_avoided(peer, now):
            return None
        return peer
