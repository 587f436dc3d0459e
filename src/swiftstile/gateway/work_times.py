"""How long upstreams work on requests, by route and service."""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["WorkTimeEstimates", "default_work_s"]

# Part of its objective that the work of a request takes, until it is measured.
# Both organisations' objectives are about three times the work.
WORK_PER_OBJECTIVE = 0.35
# Weight of the newest answer in the mean time of a route.
EWMA_WEIGHT = 0.05


def default_work_s(route: model.Route) -> float:
    """Returns the work time that is assumed for a route, in seconds."""
    return WORK_PER_OBJECTIVE * route.objective_s


class WorkTimeEstimates:
    """Mean time that upstreams take for the requests of a route."""

    def __init__(self):
        self._mean_by_route: dict[str, float] = {}
        self._mean_by_service: dict[ids.ServiceName, float] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the time of a target of mean speed, in seconds."""
        return self._mean_by_route.get(route.name) or default_work_s(route)

    def service_mean_s(self, service: ids.ServiceName) -> float | None:
        """Returns the mean time of a service's requests, once measured."""
        return self._mean_by_service.get(service)

    def add_sample(
        self, route: model.Route, service: ids.ServiceName, normalised_s: float
    ) -> None:
        """Takes in a measured time, divided by the target's slowness."""
        known = self._mean_by_service.get(service, normalised_s)
        self._mean_by_service[service] = known + EWMA_WEIGHT * (
            normalised_s - known
        )
        mean = self.expected_s(route)
        self._mean_by_route[route.name] = mean + EWMA_WEIGHT * (
            normalised_s - mean
        )
