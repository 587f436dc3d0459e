"""Estimates the service time of requests, by route and service."""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["ServiceTimeEstimates", "default_service_time_s"]

# Assumed ratio of service time to objective until samples arrive. The
# objectives of both organisations are about three times the service time.
SERVICE_TIME_PER_OBJECTIVE = 0.35
# Weight of the newest sample in the moving average of a route.
EWMA_WEIGHT = 0.05


def default_service_time_s(route: model.Route) -> float:
    """Returns the service time, in seconds, assumed without samples."""
    return SERVICE_TIME_PER_OBJECTIVE * route.objective_s


class ServiceTimeEstimates:
    """Moving averages of the service time of requests, by route and service."""

    def __init__(self):
        self._mean_by_route: dict[str, float] = {}
        self._mean_by_service: dict[ids.ServiceName, float] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the service time at a target of mean speed, in seconds."""
        return self._mean_by_route.get(route.name) or default_service_time_s(
            route
        )

    def mean_of_service_s(self, service: ids.ServiceName) -> float | None:
        """Returns the mean service time of a service, if there are samples."""
        return self._mean_by_service.get(service)

    def add_sample(
        self, route: model.Route, service: ids.ServiceName, normalised_s: float
    ) -> None:
        """Adds a measured time, already divided by the target's slowness."""
        known = self._mean_by_service.get(service, normalised_s)
        self._mean_by_service[service] = known + EWMA_WEIGHT * (
            normalised_s - known
        )
        mean = self.expected_s(route)
        self._mean_by_route[route.name] = mean + EWMA_WEIGHT * (
            normalised_s - mean
        )
