"""Derives the service time of a request from the time until its answer.

The time until an answer includes the wait in the upstream's queue. A saturated
upstream always has a queue, so its speed would remain unknown if only answers
without one counted, and it would keep the share of one of mean speed.
"""

import collections.abc

from swiftstile.gateway import interfaces

__all__ = ["ServiceTimeSampler", "queueing_factor"]

# Queued requests that an upstream reports although its arbiter sends no more
# than its slots and one, which may be there by the time of the answer. If it
# reports more, requests that the arbiter doesn't count are there.
MAX_COUNTED_WAITING = 1


def queueing_factor(others: int, slots: int) -> float:
    """Returns the response time of a request, relative to its service time.

    An upstream with c slots, all busy, ends c requests per service time.

    Args:
        others: Other requests there when it was sent.
        slots: Requests that the upstream runs at the same time.
    """
    return 1.0 + max(0, others + 1 - slots) / slots


class ServiceTimeSampler:
    """Estimates service times.

    Args:
        is_enabled: Whether answers of requests that were queued count.
    """

    def __init__(self, is_enabled: collections.abc.Callable[[], bool]):
        self._is_enabled = is_enabled

    def service_time_s(
        self,
        took_s: float,
        others: int,
        slots: int,
        load: interfaces.Load | None,
    ) -> float | None:
        """Returns the service time of a request in seconds, or None.

        Args:
            took_s: Time from sending the request to its answer, in seconds.
            others: Other requests at the upstream when it was sent, as far as
                known to the VM that decided.
            slots: Requests that the upstream runs at the same time.
            load: The load that the upstream reported with the answer, if any.
        """
        slots = max(1, slots)
        waiting = 0 if load is None else load.waiting
        if not self._is_enabled():
            return None if waiting or others >= slots else took_s
        if waiting > MAX_COUNTED_WAITING:
            # The queue is longer than the arbiter knows. It was about as long
            # when the request was sent.
            others = max(others, slots + waiting - 1)
        return took_s / queueing_factor(others, slots)
