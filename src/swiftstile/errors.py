"""Exception hierarchy. Each error names the failed step and the peer."""

__all__ = [
    "AnswerTooLargeError",
    "BundleError",
    "ConflictError",
    "ControlMessageError",
    "LogError",
    "MalformedResponseError",
    "OutcomeUnknownError",
    "PeerTimeoutError",
    "PeerUnavailableError",
    "PeerUnreachableError",
    "PlatformError",
    "PlatformUnavailableError",
    "SettingsError",
    "SwiftstileError",
]


class SwiftstileError(Exception):
    """Base class of all errors of this package.

    Attributes:
        step: The operation that failed, as a short verb phrase.
        peer: The remote address, id or file concerned. May be empty.
    """

    def __init__(self, message: str, *, step: str, peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {super().__str__()}"


class SettingsError(SwiftstileError):
    """Invalid settings, or a configured address that is already in use."""


class BundleError(SwiftstileError):
    """A bundle is malformed, or a command isn't allowed on it."""


class PlatformError(SwiftstileError):
    """A service of the platform failed to perform a request."""


class PlatformUnavailableError(PlatformError):
    """The platform is unreachable or rejected the request; nothing changed."""


class ConflictError(PlatformError):
    """A precondition of a write failed; nothing was changed."""


class OutcomeUnknownError(PlatformError):
    """A write may or may not have taken effect."""


class AnswerTooLargeError(OutcomeUnknownError):
    """An answer exceeds the size limit; a write may have taken effect."""


class ControlMessageError(SwiftstileError):
    """A control message is malformed or unexpected."""


class MalformedResponseError(SwiftstileError):
    """Received bytes aren't one whole response within the limits."""


class LogError(SwiftstileError):
    """A log can't be read, or has no entry for the request."""


class PeerUnavailableError(SwiftstileError):
    """A peer is unreachable or timed out."""


class PeerUnreachableError(PeerUnavailableError):
    """No connection to the peer could be opened."""


class PeerTimeoutError(PeerUnavailableError):
    """The peer didn't respond in time."""
