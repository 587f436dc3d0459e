"""Limits the request rate of cold upstreams.

An upstream that has just started, or whose failure domain was evacuated, breaks
down under more than a few requests a second from all VMs together. The counts
that VMs exchange are older than the interval between two sends, so they can't
share the rate. Instead, one VM sends to a cold upstream and spaces its sends,
and the others avoid it.
"""

import abc

from swiftstile import ids
from swiftstile.gateway import dissemination
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import sharing
from swiftstile.gateway import targets

__all__ = ["UNLIMITED", "ColdLimits", "SendLimits"]

# Fraction of a cold upstream's rate limit that its one sender uses. VMs may
# briefly disagree on the sender, and a restarted VM doesn't know what it sent
# before. The platform allows 1.5 times the rate plus 8 requests in a second:
# with this fraction two VMs may send at any rate, and three at rates below 6/s.
RATE_FRACTION = 0.75
# How long selected senders are cached: a service has dozens of upstreams and
# VMs, and each scan of the queue needs the senders of all of them.
SENDER_CACHE_TTL_S = 0.2


class SendLimits(abc.ABC):
    """Limits sends to upstreams in addition to their slots."""

    @abc.abstractmethod
    def is_limited(self, target: targets.Target, now: float) -> bool:
        """Whether sends there are limited now, for all VMs."""

    @abc.abstractmethod
    def is_blocked(self, target: targets.Target, now: float) -> bool:
        """Whether this VM may send nothing there until the limit ends."""

    @abc.abstractmethod
    def may_send(self, target: targets.Target, now: float) -> bool:
        """Whether this VM may send there now."""

    @abc.abstractmethod
    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """Returns the allowed rate of sends there, in requests/s."""

    @abc.abstractmethod
    def note_sent(self, target: targets.Target, now: float) -> None:
        """Records a send by this VM, or a permit that it granted."""

    @abc.abstractmethod
    def designated_sender(
        self, target: targets.Target, now: float
    ) -> reports.NodeRow | None:
        """Returns the one VM that sends there while sends are limited.

        None if sends are never limited.
        """


class _Unlimited(SendLimits):
    """No limits."""

    def is_limited(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return False

    def is_blocked(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return False

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return True

    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        return float("inf")

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""

    def designated_sender(
        self, target: targets.Target, now: float
    ) -> reports.NodeRow | None:
        """See base class."""
        return None


UNLIMITED = _Unlimited()


class ColdLimits(SendLimits):
    """Limits of the services that are configured with a cold rate.

    Args:
        target_table: The upstreams.
        peers: The other VMs.
        is_registered: Returns whether this VM is registered, so that it knows
            the others and they know it.
    """

    def __init__(
        self,
        target_table: targets.TargetTable,
        peers: gossip.Peers,
        is_registered,
    ):
        self._target_table = target_table
        self._peers = peers
        self._is_registered = is_registered
        self._rate_by_service: dict[ids.ServiceName, float] = {}
        self._keyed_services: set[ids.ServiceName] = set()
        self._sender_by_id: dict[model.UpstreamId, reports.NodeRow] = {}
        self._senders_valid_until = 0.0

    def set_services(
        self, by_name: dict[ids.ServiceName, model.Service]
    ) -> None:
        """Applies the cold-start settings of the configured services."""
        limited = [entry for entry in by_name.values() if entry.cold_per_s > 0]
        self._rate_by_service = {
            entry.name: RATE_FRACTION * entry.cold_per_s for entry in limited
        }
        self._keyed_services = {
            entry.name for entry in limited if entry.is_keyed
        }
        self._senders_valid_until = 0.0
        self._target_table.cold_start_s = {
            entry.name: entry.cold_start_s for entry in limited
        }

    def is_limited(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return (
            now < target.cold_until
            and target.upstream.service in self._rate_by_service
        )

    def is_blocked(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return self.is_limited(target, now) and not self._is_sender(target, now)

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        if not self.is_limited(target, now):
            return True
        return now >= target.next_cold_send_at and self._is_sender(target, now)

    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        if not self.is_limited(target, now):
            return float("inf")
        return self._rate_by_service[target.upstream.service]

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""
        if self.is_limited(target, now):
            pause_s = 1 / self._rate_by_service[target.upstream.service]
            target.next_cold_send_at = now + pause_s

    def designated_sender(
        self, target: targets.Target, now: float
    ) -> reports.NodeRow:
        """See base class."""
        if now >= self._senders_valid_until:
            self._sender_by_id.clear()
            self._senders_valid_until = now + SENDER_CACHE_TTL_S
        chosen = self._sender_by_id.get(target.id)
        if chosen is None:
            # The same VM as the arbiter, unless that is unreachable.
            service = target.upstream.service
            subject = target.id if service in self._keyed_services else service
            chosen = self._sender_by_id[target.id] = max(
                self._candidates(target),
                key=lambda row: sharing.affinity(row.node, subject),
            )
        return chosen

    def _is_sender(self, target: targets.Target, now: float) -> bool:
        if not self._is_registered():
            return False
        return self.designated_sender(target, now) is self._peers.me

    def _candidates(self, target: targets.Target) -> list[reports.NodeRow]:
        """Returns the VMs that are candidates for an upstream's sender.

        By registration and not by reachability, because all VMs see the same
        registrations even if some can't reach each other. If the sender is
        down, its cold upstreams stay idle for the few seconds that they are
        cold.
        """
        me = self._peers.me
        rows = [me]
        rows += [
            peer.row
            for peer in self._peers.by_node.values()
            if not peer.row.is_retired
        ]
        domain = target.upstream.failure_domain
        rows = [row for row in rows if row.domain == domain] or rows
        most_mbps = max(row.link_mbps for row in rows)
        least_mbps = dissemination.MIN_BANDWIDTH_RATIO * most_mbps
        return [row for row in rows if row.link_mbps >= least_mbps]
