"""Headers, outcomes and errors of the interface to callers."""

import enum
import typing

from swiftstile import errors

__all__ = [
    "DEADLINE_HEADER",
    "EPOCH_HEADER",
    "FENCE_HEADER",
    "IDEMPOTENCY_HEADER",
    "KEY_HEADER",
    "OUTCOME_HEADER",
    "REPEATABLE_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "BadRequestError",
    "BodyTooLargeError",
    "DeadlineError",
    "NoOwnerError",
    "NotStartedError",
    "Outcome",
    "OverloadedError",
    "RequestError",
    "UnknownOutcomeError",
    "UnknownServiceError",
]

OUTCOME_HEADER = "Swiftstile-Outcome"
REQUEST_ID_HEADER = "Swiftstile-Request-Id"
KEY_HEADER = "Swiftstile-Key"
TIMEOUT_HEADER = "Swiftstile-Timeout-Ms"
REPEATABLE_HEADER = "Swiftstile-Repeatable"
IDEMPOTENCY_HEADER = "Idempotency-Key"
EPOCH_HEADER = "Swiftstile-Epoch"
FENCE_HEADER = "Swiftstile-Fence"
# Sent to upstreams, in milliseconds since the Unix epoch.
DEADLINE_HEADER = "Swiftstile-Deadline-Ms"


class Outcome(enum.Enum):
    """Whether a request ran, as reported to the caller."""

    # It ran, and the response is its complete answer.
    ANSWERED = "answered"
    # It didn't run and will not run later.
    NOT_RUN = "not-run"
    # It may have run, or may still run.
    UNKNOWN = "unknown"


class RequestError(errors.SwiftstileError):
    """A request wasn't answered by a server.

    Attributes:
        status: HTTP status of the response.
        reason: Short name, which is also the label of the metric.
        outcome: Whether the request ran.
        retry_after_s: Value of `Retry-After` in seconds; None for no header.
    """

    status: typing.ClassVar[int] = 500
    reason: typing.ClassVar[str] = "internal"
    outcome: typing.ClassVar[Outcome] = Outcome.NOT_RUN
    retry_after_s: int | None = None


class BadRequestError(RequestError):
    """The request is malformed."""

    status = 400
    reason = "bad-request"


class UnknownServiceError(RequestError):
    """No organisation or service has that name."""

    status = 404
    reason = "unknown-service"


class BodyTooLargeError(RequestError):
    """The body is longer than the service allows."""

    status = 413
    reason = "body-too-large"


class DeadlineError(RequestError):
    """The deadline passed before the request was sent."""

    status = 504
    reason = "deadline"


class OverloadedError(RequestError):
    """The queue of requests that wait for a slot is full."""

    status = 503
    reason = "overloaded"
    retry_after_s = 1


class NoOwnerError(RequestError):
    """No reachable server owns the key, or the service has no server."""

    status = 503
    reason = "no-owner"
    retry_after_s = 1


class NotStartedError(RequestError):
    """A server refused the request or was unreachable."""

    status = 503
    reason = "not-started"
    retry_after_s = 1


class UnknownOutcomeError(RequestError):
    """The request was sent, but no complete answer was received."""

    status = 502
    reason = "unknown"
    outcome = Outcome.UNKNOWN
