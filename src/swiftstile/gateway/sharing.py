"""Which VM looks after which upstream: decisions only.

VMs share the upstreams out by what they see of each other. All that decides is
in a `ClusterView`; the answer is worked out anew only when that differs from
the last one. It is looked at several times a second and at each change of a
map, and its cost grows with VMs times upstreams: worked out each time it would
be most of what a VM of a large deployment does for itself.
"""

import functools
import typing
import zlib

from swiftstile import ids
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports

__all__ = [
    "SINGLE_RETRY_VMS",
    "AuthorisedVm",
    "ClusterView",
    "Responsibilities",
    "affinity",
    "authorised_by_domain",
]

# With so many VMs in a domain an upstream that none of them reaches is tried by
# one of them; with less, VMs of other domains try, too.
SINGLE_RETRY_VMS = 6
# A leader's word reaches all VMs, and theirs all others, within this.
PROPAGATION_S = 0.6
# Pairs of VM and upstream that are remembered: enough for 60 VMs of one domain
# with all of 270 upstreams.
_MAX_CACHED_AFFINITIES = 16384


class AuthorisedVm(typing.NamedTuple):
    """A VM that may renew grants, as it told.

    Attributes:
        row: Its registration.
        unreachable: Upstreams that it can't reach.
    """

    row: reports.NodeRow
    unreachable: tuple[model.UpstreamId, ...]


class ClusterView(typing.NamedTuple):
    """All that decides which upstreams this VM looks after.

    Attributes:
        authorised_by_domain: Other VMs that may renew grants, by domain.
        reported_domains: Domains whose VMs live, though they aren't heard.
        unreachable: Upstreams that this VM can't reach.
        domain_by_owner: Failure domains of the upstreams that own keys.
    """

    authorised_by_domain: dict[ids.FailureDomain, list[AuthorisedVm]]
    reported_domains: set[ids.FailureDomain]
    unreachable: frozenset[model.UpstreamId]
    domain_by_owner: dict[model.UpstreamId, ids.FailureDomain]


class Responsibilities:
    """The upstreams that one VM looks after.

    Args:
        me: That VM.
    """

    def __init__(self, me: reports.NodeRow):
        self._me = me
        self._view: ClusterView | None = None
        self._upstreams: frozenset[model.UpstreamId] = frozenset()

    def upstreams(self, view: ClusterView) -> frozenset[model.UpstreamId]:
        """Returns them, by what is seen now."""
        if view != self._view:
            self._view = view
            self._upstreams = frozenset(
                owner
                for owner in view.domain_by_owner
                if self._is_responsible(owner, view)
            )
        return self._upstreams

    def _is_responsible(
        self, owner: model.UpstreamId, view: ClusterView
    ) -> bool:
        me, domain = self._me, view.domain_by_owner[owner]
        near = _reaching(view.authorised_by_domain.get(domain, ()), owner)
        if domain != me.domain and near:
            # One of those looks after it.
            return False
        reaches_it = owner not in view.unreachable
        if domain == me.domain and reaches_it:
            return _is_first(me, near, owner)
        if near:
            return False
        return self._is_fallback(owner, domain, view, reaches_it)

    def _is_fallback(
        self,
        owner: model.UpstreamId,
        domain: ids.FailureDomain,
        view: ClusterView,
        reaches_it: bool,
    ) -> bool:
        """The same where no VM that is known to reach it is in its domain."""
        me = self._me
        if domain in view.reported_domains:
            # Its own domain looks after it, and says nothing of it here.
            return False
        near = view.authorised_by_domain.get(domain, [])
        if domain == me.domain and len(near) >= SINGLE_RETRY_VMS:
            # Nobody near reaches it. One goes on trying, not all of them.
            return _is_first(me, [vm.row for vm in near], owner)
        reaching = [
            row
            for vms in view.authorised_by_domain.values()
            for row in _reaching(vms, owner)
        ]
        return not reaching or (reaches_it and _is_first(me, reaching, owner))


def authorised_by_domain(
    peers: gossip.Peers, now: float, authorised_since: float | None = None
) -> dict[ids.FailureDomain, list[AuthorisedVm]]:
    """Returns the peers that may renew grants, by failure domain.

    All VMs get that right from the same leader at nearly the same time, but
    hear of each other later. What a peer told before counts as if it had it.

    Args:
        peers: The other VMs.
        now: The time.
        authorised_since: Since when this VM may; None if that doesn't matter.
    """
    propagated_at = (
        float("-inf")
        if authorised_since is None
        else authorised_since + PROPAGATION_S
    )
    authorised: dict[ids.FailureDomain, list[AuthorisedVm]] = {}
    for peer in peers.heard(now):
        report = peer.report
        is_able = report.is_able or peer.heard_at < propagated_at
        if is_able and not report.is_leaving:
            entry = AuthorisedVm(peer.row, tuple(report.unreachable))
            authorised.setdefault(peer.row.domain, []).append(entry)
    return authorised


def _is_first(
    me: reports.NodeRow, others: list[reports.NodeRow], owner: model.UpstreamId
) -> bool:
    """Whether of some VMs this one is chosen for an upstream."""
    own = affinity(me.node, owner)
    return all(affinity(row.node, owner) <= own for row in others)


def _reaching(
    vms: typing.Iterable[AuthorisedVm], owner: model.UpstreamId
) -> list[reports.NodeRow]:
    return [entry.row for entry in vms if owner not in entry.unreachable]


@functools.lru_cache(maxsize=_MAX_CACHED_AFFINITIES)
def affinity(node: model.NodeId, owner: model.UpstreamId) -> int:
    """Returns how much a VM is preferred for an upstream, alike on all VMs."""
    return zlib.crc32(f"{node}/{owner}".encode())
