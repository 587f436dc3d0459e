"""Observers of what connections show about their peers."""

import abc
import enum

__all__ = ["UNOBSERVED", "ForeignBytes", "LinkObserver", "ObserverChain"]


class ForeignBytes(enum.Enum):
    """Bytes from an upstream that are no answer to the request in progress."""

    # A whole answer to an earlier request.
    LATE_COPY = "late-copy"
    # Another answer behind the one to the request.
    SECOND_ANSWER = "second-answer"
    # Data on a connection without a request.
    UNSOLICITED = "unsolicited"
    # No HTTP response.
    MALFORMED = "malformed"


class LinkObserver(abc.ABC):
    """Is told what connections show about the paths to their peers."""

    @abc.abstractmethod
    def may_open(self) -> bool:
        """Whether it is worth trying to open a connection for a request."""

    @abc.abstractmethod
    def on_opened(self, address: str, now: float) -> None:
        """Called after a connection was opened."""

    @abc.abstractmethod
    def on_open_failed(self, address: str, now: float) -> None:
        """Called after a connection couldn't be opened."""

    @abc.abstractmethod
    def on_sent(self, address: str, now: float) -> None:
        """Called after a request was sent."""

    @abc.abstractmethod
    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """Called when data arrives on a connection opened at a time."""

    @abc.abstractmethod
    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """Called when a connection failed, or an exchange on it timed out.

        Args:
            address: Address of the peer.
            is_proven: Whether the connection had delivered data before.
            now: The time.
        """

    @abc.abstractmethod
    def on_probe_failed(self, address: str, now: float) -> None:
        """Called when a probe's connection wasn't opened, or failed.

        It tells nothing of requests: `on_open_failed`, `on_sent` and
        `on_broken` aren't called for probes.
        """

    @abc.abstractmethod
    def on_closed(self, address: str, now: float) -> None:
        """Called when the peer closed or reset an unused connection.

        Only one that had delivered data: a device on the path may accept
        connections and reset them, whatever becomes of the peer.
        """

    def on_foreign_bytes(self, address: str, kind: ForeignBytes) -> None:
        """Called when bytes arrive that are no answer to a request."""


class _Unobserved(LinkObserver):
    """Ignores everything."""

    def may_open(self) -> bool:
        """See base class."""
        return True

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """See base class."""

    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """See base class."""

    def on_probe_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_closed(self, address: str, now: float) -> None:
        """See base class."""


UNOBSERVED = _Unobserved()


class ObserverChain(LinkObserver):
    """Tells several observers.

    Args:
        observers: The observers, in the order in which they are told.
    """

    def __init__(self, *observers: LinkObserver):
        self._observers = observers

    def may_open(self) -> bool:
        """See base class."""
        return all(one.may_open() for one in self._observers)

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_opened(address, now)

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_open_failed(address, now)

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_sent(address, now)

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_received(address, opened_at, now)

    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_broken(address, is_proven, now)

    def on_probe_failed(self, address: str, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_probe_failed(address, now)

    def on_closed(self, address: str, now: float) -> None:
        """See base class."""
        for one in self._observers:
            one.on_closed(address, now)

    def on_foreign_bytes(self, address: str, kind: ForeignBytes) -> None:
        """See base class."""
        for one in self._observers:
            one.on_foreign_bytes(address, kind)
