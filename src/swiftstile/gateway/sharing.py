"""Divides the upstreams among the VMs that renew their grants, without any I/O.

Each VM decides by its own view of the cluster, using rendezvous hashing. All
inputs are in a `ClusterView`, and the result is recomputed only when the view
has changed. It is needed several times a second and at each change of a map,
and its cost is proportional to VMs times upstreams: recomputing it each time
would be most of the work of a VM in a large deployment.
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

# In a domain with at least this many VMs, an upstream that none of them reaches
# is retried by one of them; with fewer, VMs of other domains try as well.
SINGLE_RETRY_VMS = 6
# Time within which a report of the leader reaches all VMs, and their reports
# reach each other.
PROPAGATION_S = 0.6
# Cached pairs of VM and upstream: enough for 60 VMs of one domain with all of
# 270 upstreams.
_MAX_CACHED_AFFINITIES = 16384


class AuthorisedVm(typing.NamedTuple):
    """A VM that may renew grants according to its report.

    Attributes:
        row: Its registration.
        unreachable: Upstreams that it can't reach.
    """

    row: reports.NodeRow
    unreachable: tuple[model.UpstreamId, ...]


class ClusterView(typing.NamedTuple):
    """The inputs that decide which upstreams this VM is responsible for.

    Attributes:
        authorised_by_domain: Other VMs that may renew grants, by domain.
        live_domains: Domains that have live VMs which reach upstreams according
            to the reports of others, though this VM receives none from them.
        unreachable: Upstreams that this VM can't reach.
        domain_by_owner: Failure domains of the upstreams that own keys.
    """

    authorised_by_domain: dict[ids.FailureDomain, list[AuthorisedVm]]
    live_domains: set[ids.FailureDomain]
    unreachable: frozenset[model.UpstreamId]
    domain_by_owner: dict[model.UpstreamId, ids.FailureDomain]


class Responsibilities:
    """Determines the upstreams that one VM is responsible for.

    Args:
        me: The VM.
    """

    def __init__(self, me: reports.NodeRow):
        self._me = me
        self._view: ClusterView | None = None
        self._upstreams: frozenset[model.UpstreamId] = frozenset()

    def upstreams(self, view: ClusterView) -> frozenset[model.UpstreamId]:
        """Returns the upstreams that the VM is responsible for."""
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
        local = _reaching(view.authorised_by_domain.get(domain, ()), owner)
        if domain != me.domain and local:
            # One of those is responsible for it.
            return False
        reaches_it = owner not in view.unreachable
        if domain == me.domain and reaches_it:
            return _is_first(me, local, owner)
        if local:
            return False
        return self._is_fallback(owner, domain, view, reaches_it)

    def _is_fallback(
        self,
        owner: model.UpstreamId,
        domain: ids.FailureDomain,
        view: ClusterView,
        reaches_it: bool,
    ) -> bool:
        """Decides for an upstream that no VM of its own domain reaches."""
        me = self._me
        if domain in view.live_domains:
            # Its own domain is responsible for it and sends no reports here.
            return False
        local = view.authorised_by_domain.get(domain, [])
        if domain == me.domain and len(local) >= SINGLE_RETRY_VMS:
            # No VM of its domain reaches it. Only one of them keeps trying.
            return _is_first(me, [vm.row for vm in local], owner)
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

    All VMs get this authority from the same leader at nearly the same time, but
    receive each other's reports later. An earlier report of a peer counts as if
    it had the authority.

    Args:
        peers: The other VMs.
        now: The time.
        authorised_since: Since when this VM may renew; None to count only peers
            that report the authority.
    """
    propagated_at = (
        float("-inf")
        if authorised_since is None
        else authorised_since + PROPAGATION_S
    )
    authorised: dict[ids.FailureDomain, list[AuthorisedVm]] = {}
    for peer in peers.live_peers(now):
        report = peer.report
        is_authorised = report.can_renew or peer.received_at < propagated_at
        if is_authorised and not report.is_leaving and not report.is_isolated:
            entry = AuthorisedVm(peer.row, tuple(report.unreachable))
            authorised.setdefault(peer.row.domain, []).append(entry)
    return authorised


def _is_first(
    me: reports.NodeRow, others: list[reports.NodeRow], owner: model.UpstreamId
) -> bool:
    """Whether this VM has the highest affinity to an upstream."""
    own = affinity(me.node, owner)
    return all(affinity(row.node, owner) <= own for row in others)


def _reaching(
    vms: typing.Iterable[AuthorisedVm], owner: model.UpstreamId
) -> list[reports.NodeRow]:
    return [entry.row for entry in vms if owner not in entry.unreachable]


@functools.lru_cache(maxsize=_MAX_CACHED_AFFINITIES)
def affinity(node: model.NodeId, owner: model.UpstreamId) -> int:
    """Returns the preference of a VM for an upstream; equal on all VMs."""
    return zlib.crc32(f"{node}/{owner}".encode())
