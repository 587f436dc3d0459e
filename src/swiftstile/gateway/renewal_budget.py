"""How many ranges of keys a fleet can afford to renew.

Finer ranges spread a busy neighbourhood before it is busy, and each of them is
a grant that some VM sends again and again, and a part of a map that all VMs
read. Wide links bear the finest division; narrow ones have to carry requests.
"""

import collections.abc

from swiftstile.gateway import renewals
from swiftstile.gateway import reports

__all__ = ["max_ranges"]

# Part of a VM's link that renewals may take.
RENEWAL_SHARE = 0.005
# A grant and its answer, with HTTP and TCP/IP headers, in bits.
GRANT_BITS = 8000


def max_ranges(rows: collections.abc.Collection[reports.NodeRow]) -> int:
    """Returns how many ranges of a service the fleet can renew.

    Args:
        rows: All VMs; they share renewals evenly, so the narrowest link counts.
    """
    narrowest_bps = min(row.link_mbps for row in rows) * 1e6
    grants_per_s = len(rows) * RENEWAL_SHARE * narrowest_bps / GRANT_BITS
    return int(grants_per_s * renewals.RENEW_INTERVAL_S)
