"""The two organisations of the requirements: their sizes and bundles."""

import msgspec

__all__ = ["BY_NAME", "DOMAINS", "Organisation", "Service"]

DOMAINS = ("a", "b", "c")


class Service(msgspec.Struct, frozen=True):
    """A service and its share of the load.

    Attributes:
        name: Name of the service.
        servers: Number of servers.
        keyed: Whether each key has one owner.
        share: Share of all requests, from 0 to 1.
        protected_share: Share of its requests that are not repeatable.
    """

    name: str
    servers: int
    keyed: bool
    share: float
    protected_share: float


class Organisation(msgspec.Struct, frozen=True):
    """An organisation as the requirements describe it.

    Attributes:
        name: Its id.
        services: Its services.
        checks_fence: Whether its keyed servers check fences.
        churn_budget: Largest share of the hash space that one round of
            rebalancing moves.
        vms_per_domain: Entry VMs in each failure domain.
        slices_per_server: Slices of the hash space for each server.
    """

    name: str
    services: tuple[Service, ...]
    checks_fence: bool
    churn_budget: float
    vms_per_domain: int = 3
    slices_per_server: int = 16

    def bundle(self) -> str:
        """Returns the bundle as INI text."""
        parts = [f"[bundle]\norganisation = {self.name}\n"]
        for service in self.services:
            keyed = "keyed" if service.keyed else "shared"
            parts.append(
                f"[service {service.name}]\n"
                f"upstream_group = {self.name}-{service.name}\n"
                f"ownership = {keyed}\n"
                f"checks_fence = {str(self.checks_fence).lower()}\n"
                f"churn_budget = {self.churn_budget}\n"
                f"slices_per_server = {self.slices_per_server}\n"
                "max_body_bytes = 1073741824\n"
            )
        return "\n".join(parts)


# The requirements don't say which servers check fences, so that one
# organisation's servers do and the other's don't.
BY_NAME = {
    "himal": Organisation(
        "himal",
        (
            Service("catalogue", 15, True, 0.8, 0.1),
            Service("certifier", 7, False, 0.1, 1.0),
            Service("fieldbook", 6, False, 0.1, 0.2),
        ),
        checks_fence=True,
        churn_budget=0.1,
    ),
    "haddad": Organisation(
        "haddad",
        (
            Service("benchmarks", 20, True, 0.8, 0.1),
            Service("filing", 13, False, 0.1, 1.0),
            Service("vault", 6, False, 0.1, 0.2),
        ),
        checks_fence=False,
        churn_budget=0.03,
    ),
}
