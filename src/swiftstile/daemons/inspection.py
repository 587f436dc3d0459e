"""Interface for the status of a daemon."""

import abc

__all__ = ["Inspectable"]


class Inspectable(abc.ABC):
    """A daemon that reports its status."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns the status as a JSON-compatible document."""
