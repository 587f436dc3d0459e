"""Retry budget for requests to upstreams, shared by all VMs.

Each VM spends its own part, so no messages are needed: a fixed ratio of the
requests that it received, and an equal share of the allowance that the platform
gives to all VMs together.
"""

import collections

from swiftstile import ids

__all__ = ["ReturnReserve", "RetryBudget"]

# Fraction of the bound that is used, because the platform's windows slide and
# count requests slightly earlier or later than this VM does.
SAFETY_FACTOR = 0.7
# Weight of one send in the estimate of how many sends upstreams reject. A VM
# sends 7 to 30 requests/s to a service, so that a change is known within half
# a second.
REJECTED_SEND_WEIGHT = 1 / 8
# The estimate is capped here, as no number of sends helps beyond it.
MAX_REJECTED_FRACTION = 0.9
# Callers count as retrying twice if this part of the returning requests of this
# period, in seconds, were rejected twice. Single callers may retry more often
# than the others.
MIN_SECOND_RETRIES, RETRIES_KNOWN_S = 0.1, 10.0
# Period in which returning callers are counted, in seconds. They return within
# 0.2 s, and a VM gets 7 to 30 requests/s for a service.
RETURNS_WINDOW_S = 2.0
# Upstreams count as rejecting with free slots from this fraction of sends.
MIN_REJECTED_FRACTION = 0.1
# For this long after they began, returning callers are left what they would
# need if all were recognised, as the first of them have yet to return. The
# budget lasts longer than this, so that it is still spent if none is.
START_S = 1.0


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
        # Those of the retries that were for callers that had returned.
        self._returned_by_service: dict[ids.ServiceName, collections.deque] = {}

    def set_vm_count(self, count: int) -> None:
        """Sets how many VMs share the allowance."""
        self._vms = max(1, count)

    def note_request(self, service: ids.ServiceName, now: float) -> None:
        """Records a caller's request for a service."""
        self._window(self._requests_by_service, service, now).append(now)

    def can_spend(
        self,
        service: ids.ServiceName,
        now: float,
        reserved_ratio: float = 0.0,
    ) -> bool:
        """Whether one more retry is allowed.

        Args:
            service: The service.
            now: The time.
            reserved_ratio: Retries per request that are left to callers that
                return. Retries that these have spent count towards it.
        """
        requests = len(self._window(self._requests_by_service, service, now))
        retries = len(self._window(self._retries_by_service, service, now))
        bound = self._ratio * requests + self._allowance / self._vms
        reserved = 0.0
        if reserved_ratio:
            spent = len(self._window(self._returned_by_service, service, now))
            reserved = max(0.0, reserved_ratio * requests - spent)
        return retries + 1 <= SAFETY_FACTOR * bound - reserved

    def spend(
        self, service: ids.ServiceName, now: float, is_returning: bool = False
    ) -> None:
        """Records one retry.

        Args:
            service: The service.
            now: The time.
            is_returning: Whether its caller had been rejected before.
        """
        self._window(self._retries_by_service, service, now).append(now)
        if is_returning:
            self._window(self._returned_by_service, service, now).append(now)

    def _window(self, by_service, service, now) -> collections.deque:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times


class ReturnReserve:
    """Estimates how much of the retry budget returning callers need.

    Designed for upstreams that reject half of all sends for some seconds
    although they have free slots. One extra send then serves a request with the
    same probability at any attempt, but only a caller's last attempt is lost
    without it, so the budget is left to these as long as it is scarce.
    """

    def __init__(self):
        self._rejected_by_service: dict[ids.ServiceName, float] = {}
        # Since when upstreams have been rejecting with free slots.
        self._began_at: dict[ids.ServiceName, float] = {}
        # Time and rejections of each attempt that was sent.
        self._attempts_by_service: dict[
            ids.ServiceName, collections.deque[tuple[float, int]]
        ] = {}

    def note_send(self, service: ids.ServiceName, is_rejected: bool) -> None:
        """Records whether an upstream with free slots rejected a request."""
        known = self._rejected_by_service.get(service, 0.0)
        known += REJECTED_SEND_WEIGHT * (is_rejected - known)
        self._rejected_by_service[service] = known
        if known < MIN_REJECTED_FRACTION:
            self._began_at.pop(service, None)

    def note_caller(
        self, service: ids.ServiceName, rejections: int, now: float
    ) -> None:
        """Records how often the caller of an attempt was rejected before it."""
        attempts = self._attempts_by_service.setdefault(
            service, collections.deque()
        )
        attempts.append((now, rejections))
        while attempts[0][0] <= now - RETRIES_KNOWN_S:
            attempts.popleft()

    def is_last_attempt(
        self, service: ids.ServiceName, rejections: int, now: float
    ) -> bool:
        """Whether a caller probably won't retry again."""
        recent = self._attempts_since(service, now - RETRIES_KNOWN_S)
        returning = sum(known > 0 for known in recent)
        twice = sum(known > 1 for known in recent)
        has_two_retries = twice > 0 and twice >= MIN_SECOND_RETRIES * returning
        return rejections >= (2 if has_two_retries else 1)

    def ratio_for_later(
        self, service: ids.ServiceName, rejections: int, now: float
    ) -> float:
        """Returns the retries per request that later attempts need.

        Of all requests, p ** (n + 1) return for the n + 1st time, p is rejected
        again, and each of these needs 1 / (1 - p) sends on average. Callers
        that weren't recognised use none of them, so it is at most what those
        that were need.

        Args:
            service: The service.
            rejections: How often the caller was rejected before.
            now: The time.
        """
        fraction = min(
            MAX_REJECTED_FRACTION, self._rejected_by_service.get(service, 0.0)
        )
        retries_per_return = fraction / (1 - fraction)
        returning = fraction ** (rejections + 1)
        began_at = self._began_at.setdefault(service, now)
        if now - began_at >= START_S:
            since = max(began_at, now - RETURNS_WINDOW_S)
            recognised = self._recognised(service, rejections, since)
            returning = min(returning, recognised)
        return returning * retries_per_return

    def _recognised(
        self, service: ids.ServiceName, rejections: int, since: float
    ) -> float:
        """Returns the part of the attempts that had more rejections."""
        recent = self._attempts_since(service, since)
        if not recent:
            return 0.0
        return sum(known > rejections for known in recent) / len(recent)

    def _attempts_since(
        self, service: ids.ServiceName, since: float
    ) -> list[int]:
        """Returns the rejections of the callers of recent attempts."""
        attempts = self._attempts_by_service.get(service, ())
        return [rejections for at, rejections in attempts if at > since]
