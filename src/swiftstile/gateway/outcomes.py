"""Errors of requests that end without a response of an upstream."""

import typing

from swiftstile import errors

__all__ = [
    "BadRequestError",
    "BodyTimeoutError",
    "BodyTooLargeError",
    "ConnectionLimitError",
    "CrashingRequestError",
    "ForwardLimitError",
    "ForwardedError",
    "GatewayError",
    "HeaderTooLargeError",
    "MemoryLimitError",
    "MisdirectedError",
    "NoRouteError",
    "NoUpstreamPathError",
    "NotReadyError",
    "NotRunError",
    "NotSentError",
    "RejectedError",
    "ReplacedError",
    "StaleConfigError",
    "StalledUploadError",
    "StoppingError",
    "TimedOutError",
    "UnknownOutcomeError",
    "UnknownVmError",
    "UpstreamUnreachableError",
    "WithdrawnError",
]


class GatewayError(errors.SwiftstileError):
    """A request ended without a response of an upstream.

    Attributes:
        status: HTTP status. 503 guarantees that the request never ran and never
            will, and so does 408; 502 and 504 guarantee nothing.
        reason: Short name for logs and counters.
        retry_after_s: Value of Retry-After; None to omit the header.
        rejections: How often the caller was rejected before this attempt, as
            far as known.
    """

    status: typing.ClassVar[int] = 500
    reason: typing.ClassVar[str] = "internal"
    retry_after_s: float | None = None
    rejections: int = 0

    @property
    def promises_not_run(self) -> bool:
        """Whether its status promises that the request never ran."""
        return self.status in (408, 503)


class BadRequestError(GatewayError):
    """The request is malformed."""

    status = 400
    reason = "bad-request"


class NoRouteError(GatewayError):
    """No route matches host and path."""

    status = 404
    reason = "no-route"


class BodyTimeoutError(GatewayError):
    """The body didn't arrive within the time of the request.

    Nothing was sent to an upstream, so that the status is a promise.
    """

    status = 408
    reason = "body-timeout"


class BodyTooLargeError(GatewayError):
    """The body exceeds the configured limit."""

    status = 413
    reason = "body-too-large"


class HeaderTooLargeError(GatewayError):
    """The headers exceed the configured limit."""

    status = 431
    reason = "header-too-large"


class NotReadyError(GatewayError):
    """This VM has no configuration yet, or no report of another VM."""

    status = 503
    reason = "not-ready"
    retry_after_s = 0.3


class StoppingError(GatewayError):
    """This VM stops before it could answer; others can serve the request."""

    status = 503
    reason = "stopping"
    retry_after_s = 0.0


class MemoryLimitError(GatewayError):
    """Peers hold as much memory as they may, and this one most for longest."""

    status = 503
    reason = "memory-limit"
    retry_after_s = 1.0


class ConnectionLimitError(GatewayError):
    """As many connections are open as may be, and no other could be closed."""

    status = 503
    reason = "too-many-connections"
    retry_after_s = 0.3


class StaleConfigError(GatewayError):
    """The configuration disallows the request, but may be outdated.

    Callers treat 404, 413 and 431 as final, so these are only returned if the
    configuration is known to be current. Another VM may have a newer one, which
    this VM gets within tenths of a second unless the store is unavailable.
    """

    status = 503
    reason = "config-behind"
    retry_after_s = 0.3


class NoUpstreamPathError(GatewayError):
    """This VM reaches no upstream, and no other VM can send the request."""

    status = 503
    reason = "no-upstream-path"
    retry_after_s = 0.3


class ForwardLimitError(GatewayError):
    """This VM handles as many requests of other VMs as it can."""

    status = 503
    reason = "forward-limit"
    retry_after_s = 0.3


class UnknownVmError(GatewayError):
    """A request was forwarded by something that isn't a registered VM."""

    status = 503
    reason = "unknown-vm"
    retry_after_s = 0.3


class ForwardedError(GatewayError):
    """Another VM handled the request and no upstream answered.

    Its status, reason and Retry-After are those that the other VM gave.
    """

    status = 503
    reason = "forwarded"


class RejectedError(GatewayError):
    """The request can't be served in time, and no upstream ran it.

    Attributes:
        rejection: The decision that led to it.
        decided_by: The VM that decided; empty if it was this one.
    """

    status = 503
    reason = "overloaded"
    rejection = None
    decided_by = ""


class CrashingRequestError(RejectedError):
    """Upstreams crashed while they had this request; it isn't sent again.

    Attributes:
        request: Digest of the request.
    """

    reason = "crashes-upstreams"
    request = ""


class UnknownOutcomeError(GatewayError):
    """The request was sent and no complete, valid response was received.

    Attributes:
        is_connection_broken: Whether its connection broke before any response.
    """

    status = 502
    reason = "no-whole-answer"
    is_connection_broken = False


class StalledUploadError(GatewayError):
    """A body stopped arriving, and other requests waited for its slot."""

    status = 502
    reason = "upload-stalled"


class TimedOutError(GatewayError):
    """The request was sent and no response was received in time."""

    status = 504
    reason = "timeout"


class NotRunError(GatewayError):
    """An upstream reported that it didn't run the request.

    Attributes:
        had_free_slot: Whether it reported a free slot, so that it rejected the
            request for another reason than lack of slots.
        answered_status: Status of its answer; 0 if there was none.
        answered_reason: Reason phrase of its answer.
    """

    status = 503
    reason = "shed"
    had_free_slot = False
    answered_status = 0
    answered_reason = ""


class MisdirectedError(NotRunError):
    """The server doesn't hold the key."""

    reason = "misdirected"


class ReplacedError(NotRunError):
    """Another server runs at the address; the intended one has ended."""

    reason = "replaced"


class NotSentError(NotRunError):
    """Nothing was sent to the upstream."""


class UpstreamUnreachableError(NotSentError):
    """No connection could be opened."""

    reason = "unreachable"


class WithdrawnError(NotSentError):
    """The upstream stopped taking requests while this one was being prepared.

    It was selected, and stated its exit or asked for a pause while a connection
    was opened.
    """

    reason = "withdrawn"
