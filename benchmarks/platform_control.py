"""Control of the platform stand-in of a run: faults and inspection."""

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
    """Client of the stand-in's control requests, which no daemon uses."""

    def __init__(self, port: int):
        self._url = f"http://127.0.0.1:{port}"

    def faults(self, **faults) -> None:
        """Sets the platform's faults; without arguments clears them."""
        body = msgspec.json.encode(platform_standin.Faults(**faults))
        processes.post(f"{self._url}/faults", body)

    def stats(self) -> dict[str, int]:
        """Returns the numbers of reads and writes served so far."""
        return json.loads(self._get("/stats"))

    def put_vm_list(self, view: str, body: bytes) -> None:
        """Sets the VM list of a view; the body isn't validated."""
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
