"""How long upstreams work on requests, by route and service."""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["ServiceTimes", "prior_s"]

# Part of its objective that the work of a request takes, until it is measured.
# Both organisations' objectives are about three times the work.
WORK_PER_OBJECTIVE = 0.35
# Weight of the newest answer in the mean time of a route.
TIME_WEIGHT = 0.05


def prior_s(route: model.Route) -> float:
    """Returns the work time that is assumed for a route, in seconds."""
    return WORK_PER_OBJECTIVE * route.objective_s


class ServiceTimes:
    """Mean time that upstreams take for the requests of a route."""

    def __init__(self):
        self._mean_by_route: dict[str, float] = {}
        self._mean_by_service: dict[ids.ServiceName, float] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the time of a target of mean speed, in seconds."""
        return self._mean_by_route.get(route.name) or prior_s(route)

    def of_service(self, service: ids.ServiceName) -> float | None:
        """Returns the mean time of a service's requests, once measured."""
        return self._mean_by_service.get(service)

    def note(
        self, route: model.Route, service: ids.ServiceName, normal_s: float
    ) -> None:
        """Takes in a measured time, divided by the target's slowness."""
        known = self._mean_by_service.get(service, normal_s)
        self._mean_by_service[service] = known + TIME_WEIGHT * (
            normal_s - known
        )
        mean = self.expected_s(route)
        self._mean_by_route[route.name] = mean + TIME_WEIGHT * (normal_s - mean)
