"""Requests that need a slot, and the order in which they get one.

Pure decision code: it does no I/O and takes the current time as an argument.
"""

import abc
import collections.abc
import itertools
import typing

from swiftstile import ids
from swiftstile.gateway import caller_retries
from swiftstile.gateway import fair_groups
from swiftstile.gateway import model
from swiftstile.gateway import targets
from swiftstile.gateway import wait_figures

__all__ = [
    "Assignment",
    "OwnerLookup",
    "QueueKey",
    "Rejection",
    "Waiter",
    "compete",
    "count_ahead",
]

# A request counts as late unless it would meet its objective even with this
# fraction of the mean service time added. Service times vary by half, so half
# of the requests that are just in time by the mean finish late, and use a slot
# that another request could have used in time. The margin is capped at the
# second fraction of the slack, or else all requests of a slow owner would count
# as late.
LATENESS_MARGIN, MAX_MARGIN_OF_SLACK = 0.6, 0.5

# What a request queues for: any upstream of a service, or the owner of a key.
QueueKey = tuple[ids.ServiceName, model.UpstreamId | None]


class Rejection(typing.NamedTuple):
    """The rejection of a request, with its reason.

    Attributes:
        retry_after_s: When the caller should retry, in seconds from now.
        wait_s: How long the request waited or would have had to wait.
        owner: The only upstream that could have served it; None if it has no
            key or its key has no owner.
        is_ownerless: Whether its key has no reachable owner.
        is_reserved: Whether capacity is reserved at the time of the retry.
        figures: What the decision of a queue limit rests on; None for other
            rules.
    """

    retry_after_s: float
    wait_s: float
    owner: model.UpstreamId | None
    is_ownerless: bool = False
    is_reserved: bool = False
    figures: wait_figures.Figures | None = None


class OwnerLookup(abc.ABC):
    """Looks up the owner of one key."""

    @abc.abstractmethod
    def target(self, now: float) -> targets.Target | None:
        """Returns the owner, or None if it can't take requests now."""

    @abc.abstractmethod
    def ready_in_s(self, now: float) -> float:
        """Returns the expected time until the key has an owner, in seconds."""


class Waiter:
    """A request that needs a slot.

    Attributes:
        route: Its route.
        service: The service selected by the route's traffic split.
        owner: Looks up the target that owns its key; None without a key.
        arrived: Arrival time, on the monotonic clock.
        deadline: Time after which a response is useless.
        expected_s: Expected service time at a target of mean speed.
        excluded: Targets that already rejected it or failed.
        awaited: The target that owns its key, if it waits for that one.
        occupied: Other requests at its target when it was sent there.
        key: Its key, if any.
        gives_up_at: When its caller stops waiting, if the caller said so.
        domain: The only failure domain whose upstreams it may use; None for
            all. One VM decides for all requests with a domain.
        max_wait_s: Maximum wait for a slot, in seconds; None for no limit
            besides the deadline.
        is_for_peer: Whether another VM will send it, so that upstreams that
            want no requests of this VM may be used.
        rejections: How often its caller was rejected before, as far as known.
        returned_after_s: Time from its caller's first attempt to this one; 0
            for a first attempt.
        turn: Its place among requests of its priority.
        announced_retry_s: Retry-After that its caller was given when an
            upstream rejected it.
        group: Its organisation and kind.
        is_deferred: Whether it was accepted to be served after the requests
            that can be in time, as it would be late in any case.
        arrived_at: Names of the queues that counted its arrival.
    """

    _sequence = itertools.count()

    def __init__(
        self,
        route: model.Route,
        service: ids.ServiceName,
        owner: "OwnerLookup | None",
        arrived: float,
        deadline: float,
        expected_s: float,
        key: int | None = None,
        gives_up_at: float | None = None,
    ):
        self.route = route
        self.service = service
        self.owner = owner
        self.arrived = arrived
        self.deadline = deadline
        self.expected_s = expected_s
        self.excluded: set[model.UpstreamId] = set()
        self.awaited: targets.Target | None = None
        self.occupied = 0
        self.key = key
        self.gives_up_at = gives_up_at
        self.domain: ids.FailureDomain | None = None
        self.max_wait_s: float | None = None
        self.is_for_peer = False
        self.rejections = 0
        self.returned_after_s = 0.0
        self.turn = caller_retries.Turn.NORMAL
        self.announced_retry_s: float | None = None
        self.group = fair_groups.group_of(route)
        self.is_deferred = False
        self.arrived_at: set[tuple] = set()
        self.sequence = next(self._sequence)

    @property
    def objective_at(self) -> float:
        """Time by which a response meets the objective."""
        return self.arrived + self.route.objective_s

    @property
    def attempted_at(self) -> float:
        """When its caller made this attempt, which may be a retry."""
        return self.arrived + self.returned_after_s

    @property
    def is_centrally_decided(self) -> bool:
        """Whether one VM decides for all requests that compete with it."""
        return self.owner is not None or self.domain is not None

    @property
    def queue_key(self) -> QueueKey | None:
        """What it queues for: any target of a service, or its key's owner.

        None if its key has no owner, as no other request can overtake it then.
        """
        if self.owner is None:
            return self.service, None
        return None if self.awaited is None else (self.service, self.awaited.id)

    @property
    def service_time_s(self) -> float:
        """Expected service time at the awaited target, or at a mean one."""
        slowness = 1.0 if self.awaited is None else self.awaited.slowness
        return self.expected_s * slowness

    def slack_s(self, now: float) -> float:
        """Returns how long it can wait until it counts as late, in seconds."""
        work_s = self.service_time_s
        slack_s = max(0.0, self.route.objective_s - work_s)
        margin_s = min(LATENESS_MARGIN * work_s, MAX_MARGIN_OF_SLACK * slack_s)
        return self.objective_at - (now + work_s + margin_s)

    def is_late(self, now: float) -> bool:
        """Whether a response would probably miss the objective."""
        return self.is_deferred or self.slack_s(now) < 0

    def has_no_owner_in_time(self, now: float) -> bool:
        """Whether its key won't have an owner before its deadline."""
        if self.owner is None or self.owner.target(now) is not None:
            return False
        return self.owner.ready_in_s(now) > self.deadline - now

    @property
    def is_reserved(self) -> bool:
        """Whether it returned at a time that was reserved for it."""
        return self.turn is caller_retries.Turn.RESERVED

    def rank(self, now: float) -> tuple[bool, int, int, float, int]:
        """Returns its sort key in the queue; the lowest goes first."""
        return (
            self.is_late(now),
            self.route.priority,
            self.turn,
            self.attempted_at,
            self.sequence,
        )


class Assignment(typing.NamedTuple):
    """A request that may be sent now, and its target."""

    waiter: Waiter
    target: targets.Target


def compete(one: Waiter, other: Waiter) -> bool:
    """Whether two requests queue for the same targets."""
    if other.service != one.service:
        return False
    if other.owner is None or one.owner is None:
        return other.owner is None and one.owner is None
    return other.awaited is one.awaited


def count_ahead(
    waiter: Waiter, queued: collections.abc.Iterable[Waiter], now: float
) -> int:
    """Returns how many competing requests in the queue go before one."""
    rank = waiter.rank(now)
    return sum(
        compete(other, waiter) and other.rank(now) < rank for other in queued
    )
