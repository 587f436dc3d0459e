"""The daemons without one safeguard: nobody waits for a lease to lapse."""

import sys

from swiftstile import cli
from swiftstile.ownership import custody

if __name__ == "__main__":
    custody.FencedCustody.is_free = lambda self, piece, now: True
    sys.exit(cli.main())
