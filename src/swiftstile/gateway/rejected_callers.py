"""What permit messages state about callers that were rejected.

Counterpart of `caller_retries.py`, which recognises these callers.
"""

from swiftstile import clocks
from swiftstile.gateway import admission
from swiftstile.gateway import caller_retries
from swiftstile.gateway import permit_messages

__all__ = ["describe", "note_return", "rejected_attempt"]


def note_return(
    waiter: admission.Waiter, reply: permit_messages.PermitReply
) -> None:
    """Applies what an arbiter knows of earlier attempts of the caller."""
    is_granted = reply.status is permit_messages.PermitStatus.GRANTED
    is_reserved = is_granted and reply.is_reserved
    waiter.turn = (
        caller_retries.Turn.RESERVED
        if is_reserved
        else caller_retries.Turn.NORMAL
    )
    if reply.rejections <= waiter.rejections:
        return
    waiter.rejections = reply.rejections
    waiter.returned_after_s = reply.returned_after_ms / 1000
    waiter.arrived -= waiter.returned_after_s


def describe(
    waiter: admission.Waiter, now: float
) -> permit_messages.RejectedCaller | None:
    """Returns the caller of a request, if an upstream rejected it for good."""
    if waiter.announced_retry_s is None or waiter.gives_up_at is None:
        return None
    return permit_messages.RejectedCaller(
        waiter.service,
        waiter.key,
        clocks.milliseconds(waiter.route.objective_s),
        clocks.milliseconds(waiter.announced_retry_s),
        clocks.milliseconds(waiter.gives_up_at - now),
        clocks.milliseconds(now - waiter.arrived),
        waiter.rejections + 1,
    )


def rejected_attempt(
    caller: permit_messages.RejectedCaller,
) -> caller_retries.RejectedAttempt:
    """Returns a caller that a message describes, with times in seconds."""
    return caller_retries.RejectedAttempt(
        caller.service,
        caller.key,
        caller.objective_ms,
        caller.retry_after_ms / 1000,
        caller.left_ms / 1000,
        caller.age_ms / 1000,
        caller.rejections,
    )
