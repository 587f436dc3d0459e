"""Which uploads hold slots of upstreams that other requests wait for.

A body that is too long to buffer is sent while it arrives, so that a caller who
stops sending keeps a slot until the request's time is up. That is allowed while
nobody waits for a slot of the service.
"""

import collections
import collections.abc
import contextlib

from swiftstile import ids
from swiftstile.gateway import request_holds

__all__ = ["UploadSlots"]


class UploadSlots:
    """Requests that have slots and that wait for them, by service."""

    def __init__(self):
        self._waiting: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )
        self._service_by_hold: dict[
            request_holds.RequestHold, ids.ServiceName
        ] = {}

    @contextlib.contextmanager
    def waiting(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[None]:
        """Counts a request that waits for a slot."""
        self._waiting[service] += 1
        try:
            yield
        finally:
            self._waiting[service] -= 1
            if not self._waiting[service]:
                del self._waiting[service]

    @contextlib.contextmanager
    def used_by(
        self, hold: request_holds.RequestHold, service: ids.ServiceName
    ) -> collections.abc.Iterator[None]:
        """Records a request that has a slot."""
        self._service_by_hold[hold] = service
        try:
            yield
        finally:
            del self._service_by_hold[hold]

    def is_wanted(self, hold: request_holds.RequestHold) -> bool:
        """Whether others wait for a slot like that of a request."""
        service = self._service_by_hold.get(hold)
        return service is not None and service in self._waiting
