"""Keeps the rate limits that upstreams state, summed over all VMs.

The counts that VMs exchange are older than the interval between two sends to a
limited upstream, so one VM of the upstream's failure domain, its *limiter*,
issues the tokens for all. The owner's arbiter is the limiter of a keyed
upstream, and the domain's arbiter of a service the limiter of its upstreams, so
that a permit and a token take one round trip. All VMs choose it by liveness,
and none uses another VM in its place. VMs that get no reply from the limiter
share half of the limit equally, as the limiter may issue the whole to others.

Decisions only: `permits.py` requests the tokens of other VMs.
"""

import abc
import enum
import weakref

from swiftstile import ids
from swiftstile.gateway import arbiter_selection
from swiftstile.gateway import gossip
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import targets

__all__ = ["UNLIMITED", "RateLimiter", "RateLimits"]

# Tokens that accumulate while no request takes them, in seconds of the limit.
# Requests arrive in bursts, and without a reserve part of the limit is unused.
BURST_S = 0.5
# Fraction of the limit that VMs without a limiter share.
ALONE_FRACTION = 0.5
# How long the limiter of an upstream is cached, as each scan of the queue asks
# for it.
ROLE_CACHE_TTL_S = 0.05
_INFINITY = float("inf")


class RateLimits(abc.ABC):
    """Decides when limited upstreams may be sent a request."""

    @abc.abstractmethod
    def may_send(self, target: targets.Target, now: float) -> bool:
        """Whether this VM may decide now to send there."""

    @abc.abstractmethod
    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """Returns the rate of sends that this VM can count on there."""

    @abc.abstractmethod
    def note_sent(self, target: targets.Target, now: float) -> None:
        """Records that this VM decided to send there or granted a permit."""

    @abc.abstractmethod
    def limiter_to_ask(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """Returns the VM whose token a send needs; None if it needs none."""

    @abc.abstractmethod
    def note_reply(self, target: targets.Target) -> None:
        """Records that another VM decided on a permit request."""

    @abc.abstractmethod
    def note_rejected(self, target: targets.Target, retry_at: float) -> None:
        """Records that the limiter has no token before `retry_at`."""


class _Unlimited(RateLimits):
    """No limits."""

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        return True

    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        return _INFINITY

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""

    def limiter_to_ask(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """See base class."""
        return None

    def note_reply(self, target: targets.Target) -> None:
        """See base class."""

    def note_rejected(self, target: targets.Target, retry_at: float) -> None:
        """See base class."""


UNLIMITED = _Unlimited()


class _Role(enum.Enum):
    """The part that this VM has in keeping one upstream's limit."""

    # Issues the tokens of all VMs.
    LIMITER = "limiter"
    # Requests its tokens from the limiter.
    CLIENT = "client"
    # Can't reach the limiter and uses its own share.
    ALONE = "alone"


class _Tokens:
    """Tokens for one limited upstream at this VM.

    Attributes:
        role: The part of this VM.
        limiter: The VM that issues the tokens, if it is another one.
        role_until: When the role has to be determined again.
        available: Tokens that this VM can issue as the limiter.
        refilled_at: When these were last counted.
        alone_since: Time from which this VM's share accrues while the limiter
            doesn't reply; None while it does.
        retry_at: Earliest time at which the limiter may have a token.
    """

    def __init__(self, now: float):
        self.role = _Role.ALONE
        self.limiter: reports.Peer | None = None
        self.role_until = now
        self.available = 0.0
        self.refilled_at = now
        self.alone_since: float | None = None
        self.retry_at = now

    def refill(self, limit_per_s: float, now: float) -> None:
        """Adds the tokens since the last call."""
        earned = (now - self.refilled_at) * limit_per_s
        most = max(1.0, BURST_S * limit_per_s)
        self.available = min(self.available + earned, most)
        self.refilled_at = now


class RateLimiter(RateLimits):
    """Keeps the limits that upstreams state.

    Args:
        peers: The other VMs.
        selector: Chooses the limiters.
    """

    def __init__(
        self,
        peers: gossip.Peers,
        selector: arbiter_selection.ArbiterSelector,
    ):
        self._peers = peers
        self._selector = selector
        self._keyed_services: set[ids.ServiceName] = set()
        self._tokens_by_target: weakref.WeakKeyDictionary[
            targets.Target, _Tokens
        ] = weakref.WeakKeyDictionary()

    def set_services(
        self, by_name: dict[ids.ServiceName, model.Service]
    ) -> None:
        """Applies the configured services."""
        self._keyed_services = {
            name for name, service in by_name.items() if service.is_keyed
        }

    def may_send(self, target: targets.Target, now: float) -> bool:
        """See base class."""
        limit_per_s = target.rate_limit.per_s
        if limit_per_s is None:
            return True
        tokens = self._tokens(target, now)
        if tokens.role is _Role.LIMITER:
            tokens.refill(limit_per_s, now)
            return tokens.available >= 1.0
        if tokens.role is _Role.CLIENT and not self._is_keyed(target):
            return now >= tokens.retry_at
        # A peer that takes this VM for the limiter gets tokens of its share.
        if tokens.alone_since is None:
            tokens.alone_since = now
        return now - tokens.alone_since >= 1 / self._share_per_s(limit_per_s)

    def rate_per_s(self, target: targets.Target, now: float) -> float:
        """See base class."""
        limit_per_s = target.rate_limit.per_s
        if limit_per_s is None:
            return _INFINITY
        if self._tokens(target, now).role is _Role.ALONE:
            return self._share_per_s(limit_per_s)
        return limit_per_s

    def note_sent(self, target: targets.Target, now: float) -> None:
        """See base class."""
        if target.rate_limit.per_s is None:
            return
        tokens = self._tokens(target, now)
        if tokens.role is _Role.LIMITER:
            tokens.available -= 1.0
        elif tokens.alone_since is not None:
            tokens.alone_since = now

    def limiter_to_ask(
        self, target: targets.Target, now: float
    ) -> reports.Peer | None:
        """See base class."""
        if target.rate_limit.per_s is None:
            return None
        tokens = self._tokens(target, now)
        return tokens.limiter if tokens.role is _Role.CLIENT else None

    def note_reply(self, target: targets.Target) -> None:
        """See base class."""
        tokens = self._tokens_by_target.get(target)
        if tokens is not None:
            tokens.alone_since = None

    def note_rejected(self, target: targets.Target, retry_at: float) -> None:
        """See base class."""
        tokens = self._tokens_by_target.get(target)
        if tokens is not None:
            tokens.retry_at = retry_at

    def _is_keyed(self, target: targets.Target) -> bool:
        return target.upstream.service in self._keyed_services

    def _share_per_s(self, limit_per_s: float) -> float:
        """Returns the share of each registered VM, in requests/s."""
        others = sum(
            not peer.row.is_retired for peer in self._peers.by_node.values()
        )
        return ALONE_FRACTION * limit_per_s / (1 + others)

    def _tokens(self, target: targets.Target, now: float) -> _Tokens:
        tokens = self._tokens_by_target.get(target)
        if tokens is None:
            tokens = self._tokens_by_target[target] = _Tokens(now)
        if now >= tokens.role_until:
            tokens.role_until = now + ROLE_CACHE_TTL_S
            self._update_role(tokens, target, now)
        return tokens

    def _update_role(
        self, tokens: _Tokens, target: targets.Target, now: float
    ) -> None:
        service = target.upstream.service
        subject = target.id if service in self._keyed_services else service
        tokens.limiter, is_me = self._selector.limiter_of(target, subject, now)
        if is_me:
            tokens.role = _Role.LIMITER
        elif tokens.limiter is None or self._selector.is_avoided(
            tokens.limiter, now
        ):
            tokens.role = _Role.ALONE
        else:
            tokens.role = _Role.CLIENT
