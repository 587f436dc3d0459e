"""The scenarios: what goes wrong while the load runs."""

import abc
import time

from benchmarks import fleet as fleet_lib
from benchmarks import run as run_lib

__all__ = ["BY_NAME", "CrashServer", "Scenario"]

# Load before the disturbance, so that there is something to compare with.
_BEFORE_S = 3.0


class Scenario(abc.ABC):
    """One thing that goes wrong, or nothing."""

    name = ""
    seconds = 12.0
    rate = 300.0

    @abc.abstractmethod
    def disturb(self, run: run_lib.Run) -> None:
        """Does the damage; runs while the load does."""

    def describe(self) -> str:
        """Returns one line for the list of scenarios."""
        return (self.__doc__ or "").splitlines()[0]


def busiest_server(fleet: fleet_lib.Fleet) -> fleet_lib.Server:
    """Returns the keyed server with the most slices, the first by name."""
    assignment = fleet.assignments()[-1]
    widths = assignment.width_by_server()
    return max(
        sorted(fleet.keyed_servers(), key=lambda server: server.name),
        key=lambda server: widths.get(server.name, 0),
    )


class Steady(Scenario):
    """Nothing goes wrong; measures speed with the router on one core."""

    name = "steady"
    seconds = 6.0

    def disturb(self, run: run_lib.Run) -> None:
        """See base class."""


class CrashServer(Scenario):
    """A server of the keyed service is killed and doesn't come back."""

    name = "crash-server"

    def disturb(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_BEFORE_S)
        run.kill_server(busiest_server(run.fleet))


_ALL: list[type[Scenario]] = [Steady, CrashServer]
BY_NAME: dict[str, type[Scenario]] = {kind.name: kind for kind in _ALL}
