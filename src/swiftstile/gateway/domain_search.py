"""In which failure domains a request looks for a slot, and in which order.

For services without owners, where each domain has an arbiter. An answer of
another domain costs bytes between domains, and waiting at home costs time: a
request waits at home as long as that is cheaper, goes elsewhere if a slot is
free there at once, and else waits at home for as long as its answer is of use.
"""

import collections.abc
import random
import typing

from swiftstile import ids
from swiftstile.gateway import admission
from swiftstile.gateway import targets

__all__ = ["DomainSearch", "SearchStep"]

# A domain that had no free slot isn't asked for another one for so long, which
# is less than an upstream takes for a request.
FULL_DOMAIN_TTL_S = 0.05


class SearchStep(typing.NamedTuple):
    """A place to look for a slot.

    Attributes:
        domain: The failure domain.
        max_wait_s: Longest wait for a slot there, in seconds; as long as the
            answer is of use if None.
    """

    domain: ids.FailureDomain
    max_wait_s: float | None


class DomainSearch:
    """Plans where the requests of one VM look for slots.

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
        """Returns where to look for a slot, in order.

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
            first = SearchStep(self._home, admission.crossing_s(waiter.route))
            return [first, *open_steps, last]
        return open_steps + [SearchStep(domain, None) for domain in others[:1]]

    def note_refused(
        self, service: ids.ServiceName, step: SearchStep, now: float
    ) -> None:
        """A domain had no slot in time."""
        if step.domain != self._home:
            self._full_until[service, step.domain] = now + FULL_DOMAIN_TTL_S
