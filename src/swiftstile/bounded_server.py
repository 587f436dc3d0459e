"""Limits what the clients of a small HTTP server make its process hold.

For servers that answer single requests without bodies, such as those of metrics
and readiness. A new connection takes the place of the oldest one, so that a
crowd keeps nobody out for long.
"""

import collections

from aiohttp import web_protocol
from aiohttp import web_server

__all__ = ["BACKLOG", "LIMITS", "MAX_CONNECTIONS", "BoundedServer"]

MAX_CONNECTIONS = 8
# Connections that wait to be accepted.
BACKLOG = 8
# Options of the server: lengths in bytes, and the number of header fields.
LIMITS = {"max_line_size": 2048, "max_field_size": 2048, "max_headers": 32}


class BoundedServer:
    """Makes the connections of a server, and closes the oldest beyond a limit.

    Args:
        server: The server.
    """

    def __init__(self, server: web_server.Server):
        self._server = server
        self._connections: collections.deque[web_protocol.RequestHandler] = (
            collections.deque(maxlen=MAX_CONNECTIONS)
        )

    def __call__(self) -> web_protocol.RequestHandler:
        """Returns the protocol of a new connection."""
        if len(self._connections) == MAX_CONNECTIONS:
            self._connections[0].force_close()
        connection = self._server()
        self._connections.append(connection)
        return connection
