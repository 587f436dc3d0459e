"""The daemons without one safeguard: routers ignore their route lease."""

import sys

from swiftstile import cli
from swiftstile.routing import routes

if __name__ == "__main__":
    routes.LeasedRoute._end = lambda self, inbound: inbound.deadline
    sys.exit(cli.main())
