"""The exception tree. Each error names the step and the peer it arose at."""

__all__ = [
    "BundleError",
    "ConflictError",
    "ControlMessageError",
    "LogError",
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
    """Base of all errors of this package.

    Attributes:
        step: What was being done, as a short verb phrase.
        peer: The other side: an address, an id or a file. May be empty.
    """

    def __init__(self, message: str, *, step: str, peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {super().__str__()}"


class SettingsError(SwiftstileError):
    """Settings can't be used: a bad file, or an address that is taken."""


class BundleError(SwiftstileError):
    """A bundle is malformed, or a command on it isn't allowed."""


class PlatformError(SwiftstileError):
    """The platform's service didn't do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform refused or couldn't be reached; nothing was changed."""


class ConflictError(PlatformError):
    """A condition of a write didn't hold; nothing was changed."""


class OutcomeUnknownError(PlatformError):
    """A write may or may not have taken effect."""


class ControlMessageError(SwiftstileError):
    """A control message is malformed or came at the wrong time."""


class LogError(SwiftstileError):
    """A log can't be read, or says nothing of what was asked."""


class PeerUnavailableError(SwiftstileError):
    """A peer couldn't be reached."""


class PeerUnreachableError(PeerUnavailableError):
    """No connection to a peer could be opened."""


class PeerTimeoutError(PeerUnavailableError):
    """A peer didn't answer in time."""
