"""Limits the number of key ranges to what a fleet can afford to renew.

Finer ranges spread neighbouring keys over more owners before they become busy.
But each range costs a grant that some VM renews periodically, and an entry in a
map that all VMs read. Fast links can afford the finest division; slow links are
needed for requests.
"""

import collections.abc

from swiftstile.gateway import renewals
from swiftstile.gateway import reports

__all__ = ["max_ranges"]

# Share of a VM's link bandwidth that renewals may use.
RENEWAL_SHARE = 0.005
# Size of a grant and its answer, with HTTP and TCP/IP headers, in bits.
GRANT_BITS = 8000


def max_ranges(rows: collections.abc.Collection[reports.NodeRow]) -> int:
    """Returns how many ranges of a service the fleet can renew.

    Args:
        rows: All VMs. They share renewals evenly, so the slowest link decides.
    """
    narrowest_bps = min(row.link_mbps for row in rows) * 1e6
    grants_per_s = len(rows) * RENEWAL_SHARE * narrowest_bps / GRANT_BITS
    return int(grants_per_s * renewals.RENEW_INTERVAL_S)
