"""Looks into the platform stand-in of a run, and makes it misbehave."""

import json
import urllib.request

import msgspec

from benchmarks import processes
from standins import platform as platform_standin
from swiftstile.ownership import slices

__all__ = ["PlatformControl"]


class _AssignmentRow(msgspec.Struct):
    assignment: slices.Assignment


class PlatformControl:
    """Talks to the platform stand-in as no daemon does."""

    def __init__(self, port: int):
        self._url = f"http://127.0.0.1:{port}"

    def faults(self, **faults) -> None:
        """Makes the platform misbehave, or with nothing named, behave."""
        body = msgspec.json.encode(platform_standin.Faults(**faults))
        processes.post(f"{self._url}/faults", body)

    def stats(self) -> dict[str, int]:
        """Returns the reads and writes that the platform served so far."""
        return json.loads(self._get("/stats"))

    def put_vm_list(self, view: str, body: bytes) -> None:
        """Shows a failure domain any VM list, a malformed one included."""
        processes.post(f"{self._url}/view/{view}/vms", body, "PUT")

    def assignments(self, service: str) -> list[slices.Assignment]:
        """Returns all versions of a service's assignment, oldest first."""
        body = self._get(f"/history?key=assignment/{service}")
        values = msgspec.json.decode(body, type=list[bytes])
        return [
            msgspec.json.decode(value, type=_AssignmentRow).assignment
            for value in values
        ]

    def _get(self, path: str) -> bytes:
        with urllib.request.urlopen(self._url + path, timeout=5) as response:
            return response.read()
