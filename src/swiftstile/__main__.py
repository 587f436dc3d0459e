"""Entry point of `python -m swiftstile`."""

import sys

from swiftstile import cli

if __name__ == "__main__":
    sys.exit(cli.main())
