"""Which VM looks after which upstream: decisions only.

VMs share the upstreams out by what they see of each other. All that decides is
in a `Look`; the answer is worked out anew only when that differs from the last
one. It is looked at several times a second and at each change of a map, and its
cost grows with VMs times upstreams: worked out each time it would be most of
what a VM of a large deployment does for itself.
"""

import functools
import typing
import zlib

from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = ["CROWD", "Able", "Look", "Sharing", "able_by_domain", "affinity"]

# With so many VMs in a domain an upstream that none of them reaches is tried by
# one of them; with less, VMs of other domains try, too.
CROWD = 6
# A leader's word reaches all VMs, and theirs all others, within this.
SETTLE_S = 0.6
# Pairs of VM and upstream that are remembered: enough for 60 VMs of one domain
# with all of 270 upstreams.
_AFFINITIES = 16384


class Able(typing.NamedTuple):
    """A VM that may renew grants, as it told.

    Attributes:
        row: Its registration.
        unreachable: Upstreams that it can't reach.
    """

    row: reports.NodeRow
    unreachable: tuple[model.UpstreamId, ...]


class Look(typing.NamedTuple):
    """All that decides which upstreams this VM looks after.

    Attributes:
        able_by_domain: Other VMs that may renew grants, by failure domain.
        live_domains: Domains whose VMs live, though they aren't heard.
        unreachable: Upstreams that this VM can't reach.
        domain_by_owner: Failure domains of the upstreams that own keys.
    """

    able_by_domain: dict[ids.FailureDomain, list[Able]]
    live_domains: set[ids.FailureDomain]
    unreachable: frozenset[model.UpstreamId]
    domain_by_owner: dict[model.UpstreamId, ids.FailureDomain]


class Sharing:
    """The upstreams that one VM looks after.

    Args:
        me: That VM.
    """

    def __init__(self, me: reports.NodeRow):
        self._me = me
        self._look: Look | None = None
        self._mine: frozenset[model.UpstreamId] = frozenset()

    def mine(self, look: Look) -> frozenset[model.UpstreamId]:
        """Returns them, by what is seen now."""
        if look != self._look:
            self._look = look
            self._mine = frozenset(
                owner
                for owner in look.domain_by_owner
                if self._is_mine(owner, look)
            )
        return self._mine

    def _is_mine(self, owner: model.UpstreamId, look: Look) -> bool:
        me, domain = self._me, look.domain_by_owner[owner]
        near = _reaching(look.able_by_domain.get(domain, ()), owner)
        if domain != me.domain and near:
            # One of those looks after it.
            return False
        reaches_it = owner not in look.unreachable
        if domain == me.domain and reaches_it:
            return _is_first(me, near, owner)
        if near:
            return False
        return self._is_mine_in_need(owner, domain, look, reaches_it)

    def _is_mine_in_need(
        self,
        owner: model.UpstreamId,
        domain: ids.FailureDomain,
        look: Look,
        reaches_it: bool,
    ) -> bool:
        """The same where no VM that is known to reach it is in its domain."""
        me = self._me
        if domain in look.live_domains:
            # Its own domain looks after it, and says nothing of it here.
            return False
        near = look.able_by_domain.get(domain, [])
        if domain == me.domain and len(near) >= CROWD:
            # Nobody near reaches it. One goes on trying, not all of them.
            return _is_first(me, [able.row for able in near], owner)
        reaching = [
            row
            for able in look.able_by_domain.values()
            for row in _reaching(able, owner)
        ]
        return not reaching or (reaches_it and _is_first(me, reaching, owner))


def able_by_domain(
    peers: gossip.Peers, now: float, able_since: float | None = None
) -> dict[ids.FailureDomain, list[Able]]:
    """Returns the peers that may renew grants, by failure domain.

    All VMs get that right from the same leader at nearly the same time, but
    hear of each other later. What a peer told before counts as if it had it.

    Args:
        peers: The other VMs.
        now: The time.
        able_since: Since when this VM may; None if that doesn't matter.
    """
    settled_at = float("-inf") if able_since is None else able_since + SETTLE_S
    able: dict[ids.FailureDomain, list[Able]] = {}
    for peer in peers.live_peers(now):
        report = peer.report
        is_able = report.can_renew or peer.received_at < settled_at
        if is_able and not report.is_leaving:
            entry = Able(peer.row, tuple(report.unreachable))
            able.setdefault(peer.row.domain, []).append(entry)
    return able


def _is_first(
    me: reports.NodeRow, others: list[reports.NodeRow], owner: model.UpstreamId
) -> bool:
    """Whether of some VMs this one is chosen for an upstream."""
    own = affinity(me.node, owner)
    return all(affinity(row.node, owner) <= own for row in others)


def _reaching(
    able: typing.Iterable[Able], owner: model.UpstreamId
) -> list[reports.NodeRow]:
    return [entry.row for entry in able if owner not in entry.unreachable]


@functools.lru_cache(maxsize=_AFFINITIES)
def affinity(node: model.NodeId, owner: model.UpstreamId) -> int:
    """Returns how much a VM is preferred for an upstream, alike on all VMs."""
    return zlib.crc32(f"{node}/{owner}".encode())
