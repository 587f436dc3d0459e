"""Selects the upstreams that are tried to learn whether any can be reached."""

import collections.abc
import random

from swiftstile import ids
from swiftstile.gateway import targets

__all__ = ["in_service", "sample"]

# Upstreams of each failure domain that are tried to confirm a suspicion: one
# may have crashed at the same time.
CONFIRMED_PER_DOMAIN = 2


def in_service(table: targets.TargetTable) -> list[targets.Target]:
    """Returns the upstreams that may be tried: those that aren't leaving.

    An evacuated failure domain must get nothing at all.
    """
    return [
        target
        for target in table.by_id.values()
        if target.leaving_since is None and not target.is_replaced
    ]


def sample(
    table: targets.TargetTable,
    per_domain: int = CONFIRMED_PER_DOMAIN,
    other_than: collections.abc.Collection[str] = (),
) -> list[str]:
    """Returns addresses of random upstreams of each failure domain.

    Args:
        table: The upstreams.
        per_domain: Upstreams of each domain.
        other_than: Addresses that are left out.
    """
    by_domain: dict[ids.FailureDomain, list[str]] = {}
    for target in in_service(table):
        if target.upstream.address not in other_than:
            group = by_domain.setdefault(target.upstream.failure_domain, [])
            group.append(target.upstream.address)
    sampled = [
        address
        for group in by_domain.values()
        for address in random.sample(group, min(per_domain, len(group)))
    ]
    random.shuffle(sampled)
    return sampled
