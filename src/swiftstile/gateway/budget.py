"""Retry budget for requests to upstreams, shared by all VMs.

Each VM spends its own part, so no messages are needed: a fixed ratio of the
requests that it received, and an equal share of the allowance that the platform
gives to all VMs together.
"""

import collections

from swiftstile import ids

__all__ = ["RetryBudget"]

# Fraction of the bound that is used, because the platform's windows slide and
# count requests slightly earlier or later than this VM does.
SAFETY_FACTOR = 0.7


class RetryBudget:
    """Counts requests and retries of one VM in a sliding window.

    Args:
        ratio: Retries allowed per request.
        allowance: Additional retries per window, for all VMs together.
        window_s: Length of the window, in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._vms = 1
        self._requests_by_service: dict[ids.ServiceName, collections.deque] = {}
        self._retries_by_service: dict[ids.ServiceName, collections.deque] = {}

    def set_vm_count(self, count: int) -> None:
        """Sets how many VMs share the allowance."""
        self._vms = max(1, count)

    def note_request(self, service: ids.ServiceName, now: float) -> None:
        """Records a caller's request for a service."""
        self._window(self._requests_by_service, service, now).append(now)

    def can_spend(self, service: ids.ServiceName, now: float) -> bool:
        """Whether one more retry is allowed."""
        requests = len(self._window(self._requests_by_service, service, now))
        retries = len(self._window(self._retries_by_service, service, now))
        bound = self._ratio * requests + self._allowance / self._vms
        return retries + 1 <= SAFETY_FACTOR * bound

    def spend(self, service: ids.ServiceName, now: float) -> None:
        """Records one retry."""
        self._window(self._retries_by_service, service, now).append(now)

    def _window(self, by_service, service, now) -> collections.deque:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
