"""Tells several observers what connections show about their paths."""

from swiftstile.gateway import connections

__all__ = ["ObserverChain"]


class ObserverChain(connections.LinkObserver):
    """Tells several observers.

    Args:
        observers: The observers, in the order in which they are told.
    """

    def __init__(self, *observers: connections.LinkObserver):
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

    def on_foreign_bytes(
        self, address: str, kind: connections.ForeignBytes
    ) -> None:
        """See base class."""
        for one in self._observers:
            one.on_foreign_bytes(address, kind)
