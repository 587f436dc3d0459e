"""Selects a service for each request of a route that has several."""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Distributes requests by weight, evenly over short periods as well."""

    def __init__(self):
        self._credit_by_route: dict[str, dict[ids.ServiceName, float]] = {}

    def next_service(self, route: model.Route) -> ids.ServiceName:
        """Returns the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        names = {share.service for share in shares}
        credit = self._credit_by_route.get(route.name)
        if credit is None or set(credit) != names:
            credit = dict.fromkeys(names, 0.0)
            self._credit_by_route[route.name] = credit
        total = sum(share.weight for share in shares)
        for share in shares:
            credit[share.service] += share.weight / total
        chosen = max(shares, key=lambda share: credit[share.service]).service
        credit[chosen] -= 1.0
        return chosen
