"""Limits what is sent to upstreams that are cold.

An upstream that just started, or that was emptied, breaks down under more than
a few requests a second, whichever VMs send them. Many VMs share it, and what
they tell each other of their sends is older than the time between two. So one
VM sends there while it is cold, and spaces its sends; the others pass it over.
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

# Part of the rate that an upstream bears while cold that its one sender uses.
# VMs may disagree for a moment on who that is, and one that was restarted does
# not know what it sent before. The platform allows 1.5 times the rate and 8
# requests in a second: with this part two VMs may send at any rate, and three
# at rates below 6/s.
RATE_PART = 0.75
# How long the choice of senders stands: a service has dozens of upstreams and
# VMs, and each look at the queue asks for all of them.
CHOICE_LIFE_S = 0.2


class SendLimits(abc.ABC):
    """Says what may be sent to which upstream, besides its slots."""

    @abc.abstractmethod
    def is_limited(self, target: targets.Target, now: float) -> bool:
        """Whether sends there are limited now, by whichever VM."""

    @abc.abstractmethod
    def is_barred(self, target: targets.Target, now: float) -> bool:
        """Whether this VM sends nothing there until the limit ends."""

    @abc.abstractmethod
    def may_send(self, target: targets.Target, now: float) -> bool:
        """Whether this VM may send there at this moment."""

    @abc.abstractmethod
    def per_s(self, target: targets.Target, now: float) -> float:
        """Returns how many requests/s may go there."""

    @abc.abstractmethod
    def note_sent(self, target: targets.Target, now: float) -> None:
        """This VM sends a request there, or lets another VM send one."""

    @abc.abstractmethod
    def sender(
        self, target: targets.Target, now: float
    ) -> reports.NodeRow | None:
        """Returns the one VM that sends there while sends are limited.

        None where they never are.
        """


class _Unlimited(SendLimits):
    """No limits."""

    def is_limited(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return False

    def is_barred(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return False

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return True

    def per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        return float("inf")

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""

    def sender(
        self, target: targets.Target, now: float
    ) -> reports.NodeRow | None:
        """See base class."""
        return None


UNLIMITED = _Unlimited()


class ColdLimits(SendLimits):
    """Limits of the services whose configuration names a rate.

    Args:
        book: The upstreams.
        peers: The other VMs.
        is_registered: Whether this VM is registered, so that it knows the
            others and they know it.
    """

    def __init__(
        self, book: targets.TargetBook, peers: gossip.Peers, is_registered
    ):
        self._book = book
        self._peers = peers
        self._is_registered = is_registered
        self._per_s: dict[ids.ServiceName, float] = {}
        self._keyed: set[ids.ServiceName] = set()
        self._sender_by_id: dict[model.UpstreamId, reports.NodeRow] = {}
        self._chosen_until = 0.0

    def set_services(
        self, by_name: dict[ids.ServiceName, model.Service]
    ) -> None:
        """Takes in what the configuration says of services."""
        limited = [entry for entry in by_name.values() if entry.cold_per_s > 0]
        self._per_s = {
            entry.name: RATE_PART * entry.cold_per_s for entry in limited
        }
        self._keyed = {entry.name for entry in limited if entry.is_keyed}
        self._chosen_until = 0.0
        self._book.cold_start_s = {
            entry.name: entry.cold_start_s for entry in limited
        }

    def is_limited(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return (
            now < target.cold_until and target.upstream.service in self._per_s
        )

    def is_barred(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return self.is_limited(target, now) and not self._is_sender(target, now)

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        if not self.is_limited(target, now):
            return True
        return now >= target.paused_until and self._is_sender(target, now)

    def per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        if not self.is_limited(target, now):
            return float("inf")
        return self._per_s[target.upstream.service]

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""
        if self.is_limited(target, now):
            pause_s = 1 / self._per_s[target.upstream.service]
            target.paused_until = now + pause_s

    def sender(self, target: targets.Target, now: float) -> reports.NodeRow:
        """See base class."""
        if now >= self._chosen_until:
            self._sender_by_id.clear()
            self._chosen_until = now + CHOICE_LIFE_S
        chosen = self._sender_by_id.get(target.id)
        if chosen is None:
            # The same VM as the arbiter, as far as it is reachable.
            service = target.upstream.service
            subject = target.id if service in self._keyed else service
            chosen = self._sender_by_id[target.id] = max(
                self._rows(target),
                key=lambda row: sharing.affinity(row.node, subject),
            )
        return chosen

    def _is_sender(self, target: targets.Target, now: float) -> bool:
        if not self._is_registered():
            return False
        return self.sender(target, now) is self._peers.me

    def _rows(self, target: targets.Target) -> list[reports.NodeRow]:
        """Returns the VMs of which one is chosen for an upstream.

        By registrations, and not by who is heard: these are alike on all VMs,
        also where some can't reach each other. One that is down leaves its cold
        upstreams idle for the few seconds that they stay cold.
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
