"""Scenarios: the faults that are injected while the load runs."""

import abc
import concurrent.futures
import time

from benchmarks import fleet as fleet_lib
from benchmarks import load
from benchmarks import measures
from benchmarks import members
from benchmarks import run as run_lib

__all__ = ["BY_NAME", "Scenario", "TwoFaults"]

# Load before the fault, as the baseline.
_WARM_UP_S = 3.0


class Scenario(abc.ABC):
    """Base class of scenarios; each injects one kind of fault or none."""

    name = ""
    seconds = 12.0
    rate = 300.0

    def load(self, run: run_lib.Run) -> load.Plan:
        """Returns the load of this scenario."""
        return run.plan()

    def add_metrics(self, run: run_lib.Run, begin: float, end: float) -> None:
        """Adds metrics of the scenario to `run.extra` after the load."""

    @abc.abstractmethod
    def inject_faults(self, run: run_lib.Run) -> None:
        """Injects the faults while the load runs."""

    def describe(self) -> str:
        """Returns the description in the list of scenarios."""
        return (self.__doc__ or "").splitlines()[0]


def busiest_server(fleet: fleet_lib.Fleet) -> members.Server:
    """Returns the keyed server with the most slices, the first by name."""
    assignment = fleet.assignments()[-1]
    widths = assignment.width_by_server()
    return max(
        sorted(fleet.keyed_servers(), key=lambda server: server.name),
        key=lambda server: widths.get(server.name, 0),
    )


class Steady(Scenario):
    """No faults; also measures the speed of a router on one core."""

    name = "steady"
    seconds = 6.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""


class CrashServer(Scenario):
    """A server of the keyed service is killed and not restarted."""

    name = "crash-server"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.kill_server(busiest_server(run.fleet))


class FreezeServer(Scenario):
    """A server is paused beyond its lease and resumes as a stale owner."""

    name = "freeze-server"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.pause_server(busiest_server(run.fleet), 4.0)


class PauseCoordinator(Scenario):
    """The coordinator is paused beyond its lease and resumes."""

    name = "pause-coordinator"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.pause_coordinator(run.fleet.keyed_holder(), 4.0)


class CrashCoordinator(Scenario):
    """The coordinator is killed and not restarted."""

    name = "crash-coordinator"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.kill_coordinator(run.fleet.keyed_holder())


class CrashBoth(Scenario):
    """The coordinator and a server are killed at the same time."""

    name = "crash-both"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        holder = run.fleet.keyed_holder()
        server = busiest_server(run.fleet)
        time.sleep(_WARM_UP_S)
        run.kill_coordinator(holder)
        run.kill_server(server)


class CutDomainFromPlatform(Scenario):
    """One failure domain can't reach the platform for a time."""

    name = "cut-domain-from-platform"
    seconds = 16.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        domain = run.fleet.keyed_holder().domain
        time.sleep(_WARM_UP_S)
        run.drop_traffic(f"{domain}>-:platform", 8.0)


class CutDomainFromAll(Scenario):
    """One failure domain is isolated from the others and the platform.

    Its callers can still reach its routers.
    """

    name = "cut-domain-from-all"
    seconds = 18.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        domain = run.fleet.keyed_holder().domain
        time.sleep(_WARM_UP_S)
        run.isolate_domain(domain, 8.0)


class StoreOutage(Scenario):
    """The platform refuses all requests for most of the run."""

    name = "store-outage"
    seconds = 24.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.inject_platform_faults(self.seconds - 8.0, outage=True)


class StoreSlow(Scenario):
    """The platform responds 1.5 s late while a server is killed."""

    name = "store-slow"
    seconds = 24.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.fleet.platform.faults(delay_s=1.5)
        run.kill_server(busiest_server(run.fleet))
        run.inject_platform_faults(12.0, delay_s=1.5)


class LostAnswers(Scenario):
    """Half of the platform's write responses are lost; a server is killed."""

    name = "lost-answers"

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        run.fleet.platform.faults(lose_answers=0.5, lag_reads=0.2)
        run.kill_server(busiest_server(run.fleet))
        run.inject_platform_faults(6.0, lose_answers=0.5, lag_reads=0.2)


class DomainLoss(Scenario):
    """All entry VMs and servers of a failure domain are killed."""

    name = "domain-loss"
    seconds = 14.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        domain = run.fleet.keyed_holder().domain
        time.sleep(_WARM_UP_S)
        run.kill_domain(domain)


class RollingReplacement(Scenario):
    """Servers leave one after the other and are replaced by new ones."""

    name = "rolling-replacement"
    seconds = 26.0

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        time.sleep(_WARM_UP_S)
        slowest = 0.0
        for index, old in enumerate(run.fleet.keyed_servers()[:3]):
            slowest = max(slowest, run.replace_server(old, f"new-{index}"))
        run.extra["leaving_s"] = round(slowest, 3)


class TwoFaults(Scenario):
    """Two scenarios at the same time: --faults A,B."""

    name = "two-faults"
    seconds = 26.0

    def __init__(self, names: tuple[str, ...] = ()):
        self._parts = [BY_NAME[name]() for name in names]
        if self._parts:
            self.seconds = max(part.seconds for part in self._parts)

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class."""
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            waits = [
                pool.submit(part.inject_faults, run) for part in self._parts
            ]
            for wait in waits:
                wait.result()


class HotKeys(Scenario):
    """Fifteen hot keys get half of the load, and change during the run."""

    name = "hot-keys"
    seconds = 36.0
    rate = 500.0
    _phases = 2
    _window_s = 3.0

    def load(self, run: run_lib.Run) -> load.Plan:
        """See base class."""
        return run.plan(
            hot_keys=15, hot_share=0.5, shift_s=run.seconds / self._phases
        )

    def inject_faults(self, run: run_lib.Run) -> None:
        """See base class. The load itself changes the hot keys."""

    def add_metrics(self, run: run_lib.Run, begin: float, end: float) -> None:
        """See base class."""
        journals = run.fleet.journals()
        at, series = begin, []
        while at + self._window_s <= end:
            until = at + self._window_s
            series.append(
                measures.imbalance_between(run.fleet, journals, at, until)
            )
            at = until
        run.extra["imbalance_by_3s"] = series
        run.extra["slices"] = len(run.fleet.assignments()[-1].slices)


_ALL: list[type[Scenario]] = [
    HotKeys,
    Steady,
    CrashServer,
    FreezeServer,
    PauseCoordinator,
    CrashCoordinator,
    CrashBoth,
    CutDomainFromPlatform,
    CutDomainFromAll,
    StoreOutage,
    StoreSlow,
    LostAnswers,
    DomainLoss,
    RollingReplacement,
    TwoFaults,
]
BY_NAME: dict[str, type[Scenario]] = {kind.name: kind for kind in _ALL}
