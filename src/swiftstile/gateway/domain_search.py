"""Plans the order of failure domains in which a request tries to get a slot.

For services without owners, where each domain has an arbiter. An answer from
another domain costs traffic between domains, and waiting in the local domain
costs time. A request waits locally while that is cheaper, then takes a slot
elsewhere if one is free at once, and otherwise waits locally until it expires.
"""

import collections.abc
import random
import typing

from swiftstile import ids
from swiftstile.gateway import admission
from swiftstile.gateway import targets

__all__ = ["DomainSearch", "SearchStep"]

# A domain without a free slot isn't asked again for this long, which is less
# than the service time of a request.
FULL_DOMAIN_TTL_S = 0.05


class SearchStep(typing.NamedTuple):
    """One attempt to get a slot.

    Attributes:
        domain: The failure domain.
        max_wait_s: Longest wait for a slot there, in seconds; until the request
            expires if None.
    """

    domain: ids.FailureDomain
    max_wait_s: float | None


class DomainSearch:
    """Plans the attempts of one VM's requests to get slots.

    Args:
        home: The VM's own failure domain.
    """

    def __init__(self, home: ids.FailureDomain):
        self._home = home
        self._full_until: dict[
            tuple[ids.ServiceName, ids.FailureDomain], float
        ] = {}

    def plan(
        self,
        waiter: admission.Waiter,
        group: collections.abc.Iterable[targets.Target],
        now: float,
    ) -> list[SearchStep]:
        """Returns the attempts to get a slot, in order.

        Args:
            waiter: The request.
            group: Upstreams that it may be sent to.
            now: The time.
        """
        domains = {target.upstream.failure_domain for target in group}
        others = sorted(domains - {self._home})
        random.shuffle(others)
        open_steps = [
            SearchStep(domain, 0.0)
            for domain in others
            if now >= self._full_until.get((waiter.service, domain), 0.0)
        ]
        if self._home in domains:
            last = SearchStep(self._home, None)
            if not open_steps:
                return [last]
            first = SearchStep(
                self._home, admission.cross_domain_penalty_s(waiter.route)
            )
            return [first, *open_steps, last]
        return open_steps + [SearchStep(domain, None) for domain in others[:1]]

    def note_rejected(
        self, service: ids.ServiceName, step: SearchStep, now: float
    ) -> None:
        """Records that a domain had no free slot in time."""
        if step.domain != self._home:
            self._full_until[service, step.domain] = now + FULL_DOMAIN_TTL_S
