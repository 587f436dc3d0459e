"""HTTP client for tests that can also send malformed requests."""

import http.client
import json
import socket

from benchmarks import fleet as fleet_lib
from standins import journal


class Answer:
    """Status, headers and body of a response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self) -> str | None:
        return self.headers.get("Swiftstile-Outcome")

    @property
    def reason(self) -> str:
        return json.loads(self.body)["reason"]


def send(port, path, method="GET", body=None, headers=None, timeout=15):
    """Sends one request on a new connection and returns the response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    finally:
        connection.close()


def send_raw(port: int, data: bytes) -> Answer:
    """Sends raw bytes and reads one response."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(data)
        response = http.client.HTTPResponse(sock)
        response.begin()
        return Answer(response.status, response.headers, response.read())


def runs_of(fleet: fleet_lib.Fleet, request_id: str) -> list[journal.Run]:
    """Returns the journal entries of all runs of a request."""
    return [
        entry
        for entries in fleet.journals().values()
        for entry in entries
        if isinstance(entry, journal.Run) and entry.request_id == request_id
    ]
