"""Estimates the work time of requests, by route and service."""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["WorkTimeEstimates", "default_work_s"]

# Assumed ratio of work time to objective until samples arrive. The objectives
# of both organisations are about three times the work time.
WORK_PER_OBJECTIVE = 0.35
# Weight of the newest sample in the moving average of a route.
EWMA_WEIGHT = 0.05


def default_work_s(route: model.Route) -> float:
    """Returns the assumed work time of a route without samples, in seconds."""
    return WORK_PER_OBJECTIVE * route.objective_s


class WorkTimeEstimates:
    """Moving averages of the work time of requests, by route and service."""

    def __init__(self):
        self._mean_by_route: dict[str, float] = {}
        self._mean_by_service: dict[ids.ServiceName, float] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the work time at a target of mean speed, in seconds."""
        return self._mean_by_route.get(route.name) or default_work_s(route)

    def service_mean_s(self, service: ids.ServiceName) -> float | None:
        """Returns the mean work time of a service, if there are samples."""
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
