"""Messages between a VM that wants a slot of an upstream and who assigns it.

Datagrams of MessagePack arrays; times are whole milliseconds, so that a
question takes some 60 bytes.
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
]


class PermitStatus(enum.IntEnum):
    """What was decided on a question."""

    GRANTED = 0
    REFUSED = 1
    WAITING = 2


class PermitRequest(msgspec.Struct, array_like=True, tag=1):
    """Asks for a slot; sent again it is the same question.

    Attributes:
        run: Short name of the run that asks.
        number: Names the request among those of that run.
        upstream: Whose slot; empty for any upstream of `service` in the failure
            domain of the VM that is asked.
        age_ms: How long ago the request came.
        remaining_ms: How much longer its answer is of use.
        expected_ms: Time of an upstream of mean speed for it.
        objective_ms: Time within which its answer is of full use.
        priority: Its rank; 0 is the most urgent.
        key: Its key, if it has one.
        caller_timeout_ms: How much longer its caller waits, if it said.
        ended: Requests of the same run that ended lately.
        service: The service; empty if `upstream` is named.
        excluded: Upstreams that refused or failed the request before.
        max_wait_ms: Longest that it may wait for a slot; as long as it is of
            use if None.
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


class PermitReply(msgspec.Struct, array_like=True, tag=2):
    """Answers a question.

    Attributes:
        number: The request.
        status: What was decided.
        occupied: Other requests at the upstream, when granted.
        retry_after_ms: When to come back, if refused.
        wait_ms: How long it would have waited, or did, if refused.
        upstream: Whose slot was granted, if any upstream was asked for.
    """

    number: int
    status: PermitStatus
    occupied: int = 0
    retry_after_ms: int = 0
    wait_ms: int = 0
    upstream: model.UpstreamId = model.UpstreamId("")


class PermitRelease(msgspec.Struct, array_like=True, tag=3):
    """Reports that requests have ended, or don't want a slot any more.

    Attributes:
        run: Short name of the run that asked.
        ended: The requests.
        penalty_ms: For how long the upstream of the last one is best passed
            over, by what became of the request.
        slowdown_percent: How long work takes there at this moment, in percent
            of the usual, by its answer; None if it didn't say.
    """

    run: str
    ended: list[int]
    penalty_ms: int = 0
    slowdown_percent: int | None = None


# Any of them, as a datagram of permits holds it.
Message = PermitRequest | PermitReply | PermitRelease
