"""Runs the daemons with one safeguard disabled: leases aren't waited out."""

import sys

from swiftstile import cli
from swiftstile.ownership import custody

if __name__ == "__main__":
    custody.FencedCustody.is_free = lambda self, piece, now: True
    sys.exit(cli.main())
