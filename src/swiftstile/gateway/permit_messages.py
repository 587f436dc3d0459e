"""Messages between a VM that needs a slot of an upstream and its arbiter.

Datagrams of MessagePack arrays. Times are whole milliseconds, so that a request
takes about 60 bytes.
"""

import enum

import msgspec

from swiftstile import ids
from swiftstile.gateway import model

__all__ = [
    "Message",
    "PermitRelease",
    "PermitReply",
    "PermitRequest",
    "PermitStatus",
    "RejectedCaller",
]


class PermitStatus(enum.IntEnum):
    """Decision on a permit request."""

    GRANTED = 0
    REFUSED = 1
    WAITING = 2


class PermitRequest(msgspec.Struct, array_like=True, tag=1):
    """Requests a slot. Idempotent: a repeat has the same run and number.

    Attributes:
        run: Short name of the requesting run.
        number: Unique number of the request within that run.
        upstream: Upstream whose slot is requested; empty for any upstream of
            `service` in the arbiter's failure domain.
        age_ms: Time since the caller's request arrived.
        remaining_ms: Time until the request expires.
        expected_ms: Expected service time at an upstream of mean speed.
        objective_ms: Latency objective of its route.
        priority: Its priority; 0 is the most urgent.
        key: Its key, if it has one.
        caller_timeout_ms: Remaining time that its caller waits, if known.
        ended: Numbers of this run's requests that ended recently.
        service: The service; empty if `upstream` is named.
        excluded: Upstreams that already rejected or failed the request.
        max_wait_ms: Longest wait for a slot; until the request expires if None.
        rejections: How often its caller was rejected before, as far as the
            requesting VM knows.
        group: Its organisation and kind (`fair_groups.GroupId.encode`); empty
            from a build without groups.
    """

    run: str
    number: int
    upstream: model.UpstreamId
    age_ms: int
    remaining_ms: int
    expected_ms: int
    objective_ms: int
    priority: int
    key: int | None
    caller_timeout_ms: int | None
    ended: list[int]
    service: ids.ServiceName = ids.ServiceName("")
    excluded: list[model.UpstreamId] = []
    max_wait_ms: int | None = None
    rejections: int = 0
    group: str = ""


class PermitReply(msgspec.Struct, array_like=True, tag=2):
    """Reply to a permit request.

    Attributes:
        number: Number of the permit request.
        status: The decision.
        occupied: Other requests at the upstream, if granted.
        retry_after_ms: Time after which to retry, if rejected.
        wait_ms: Actual or expected wait, if rejected.
        upstream: Upstream of the granted slot, if any upstream was requested.
        rejections: How often the caller was rejected before this attempt.
        returned_after_ms: Time from the caller's first attempt to this one; 0
            for a first attempt.
        is_reserved: Whether the caller returned at a time that was reserved for
            it, if granted; whether the time of its retry is, if rejected.
        figures: What a rejection rests on (`wait_figures.Figures.encode`).
    """

    number: int
    status: PermitStatus
    occupied: int = 0
    retry_after_ms: int = 0
    wait_ms: int = 0
    upstream: model.UpstreamId = model.UpstreamId("")
    rejections: int = 0
    returned_after_ms: int = 0
    is_reserved: bool = False
    figures: list[int] = []


class RejectedCaller(msgspec.Struct, array_like=True):
    """A caller that was told to retry because upstreams rejected its request.

    Attributes:
        service: The service.
        key: Key of the request, if it has one.
        objective_ms: Latency objective of its route.
        retry_after_ms: How long the caller was told to wait.
        left_ms: Time until the caller gives up.
        age_ms: Time since the caller's first attempt arrived.
        rejections: How often the caller was rejected, this time included.
    """

    service: ids.ServiceName
    key: int | None
    objective_ms: int
    retry_after_ms: int
    left_ms: int
    age_ms: int
    rejections: int


class PermitRelease(msgspec.Struct, array_like=True, tag=3):
    """Reports that requests have ended, or no longer need a slot.

    Attributes:
        run: Short name of the requesting run.
        ended: Numbers of the requests.
        penalty_ms: Remaining penalty of the upstream of the last request.
        slowdown_percent: Current service time there in percent of the usual, as
            reported in its answer; None if not reported.
        rejected: The caller of the last request, if it was told to retry.
    """

    run: str
    ended: list[int]
    penalty_ms: int = 0
    slowdown_percent: int | None = None
    rejected: RejectedCaller | None = None


# Content of a permit datagram.
Message = PermitRequest | PermitReply | PermitRelease
