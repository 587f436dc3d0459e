"""Data model of the gateway: routes, services, limits and upstreams."""

import collections.abc
import enum
import typing

import msgspec

from swiftstile import ids

__all__ = [
    "KEY_SPACE",
    "Config",
    "ConfigVersion",
    "HostRoutes",
    "Limits",
    "NodeId",
    "Repeatability",
    "Route",
    "Service",
    "Share",
    "Upstream",
    "UpstreamId",
    "UpstreamState",
]

# Keys of callers are integers from 0 to KEY_SPACE - 1.
KEY_SPACE = 65536

# Increases with each configuration of the operator, not always by one.
ConfigVersion = typing.NewType("ConfigVersion", int)
# Identifies an upstream server. It may restart under the same id, see
# `Upstream.started_ms`.
UpstreamId = typing.NewType("UpstreamId", str)
# Identifies a VM that runs the gateway.
NodeId = typing.NewType("NodeId", str)


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    # Must not run more than once, and has a large body.
    ONCE_LARGE = "once-large"


class UpstreamState(enum.Enum):
    """State of an upstream as it registered itself."""

    READY = "ready"
    DRAINING = "draining"


class Share(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are divided."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Routing of the requests for one host and path prefix.

    Attributes:
        name: Its name in the operator's configuration.
        host: Host of the request, lower case, without port.
        prefix: Prefix of the path, starting and ending with a slash.
        repeatability: Whether a request may run more than once.
        timeout_s: Longest time to keep a caller waiting.
        objective_s: Latency objective, within which an answer has full value.
        priority: Priority; 0 is the most urgent.
        shares: Services and weights; never empty.
        max_attempts: Maximum number of upstreams that a request is sent to.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int


class HostRoutes(msgspec.Struct, frozen=True):
    """The routes of one host, indexed by path prefix.

    A lookup takes one step per distinct prefix length. Its cost depends neither
    on the number of routes nor on the number of slashes in the path, which the
    caller controls.

    Attributes:
        routes: All routes, in the operator's order.
        by_prefix: The first route of each prefix.
        lengths: Distinct prefix lengths in characters, longest first.
    """

    routes: tuple[Route, ...]
    by_prefix: dict[str, Route]
    lengths: tuple[int, ...]

    @classmethod
    def of(cls, routes: collections.abc.Iterable[Route]) -> typing.Self:
        """Returns an index of the routes of one host."""
        routes = tuple(routes)
        by_prefix: dict[str, Route] = {}
        for route in routes:
            by_prefix.setdefault(route.prefix, route)
        lengths = sorted(set(map(len, by_prefix)), reverse=True)
        return cls(routes, by_prefix, tuple(lengths))

    def find(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that starts `path`."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class Service(msgspec.Struct, frozen=True):
    """A group of interchangeable upstreams.

    Attributes:
        name: Its name in the operator's configuration.
        health_path: Path of the health check.
        max_connections: Connections an upstream accepts from all VMs together.
        is_keyed: Whether an upstream serves only the keys granted to it.
        warm_s: How long a key is slow after a move without a hand-over.
        cold_start_s: How long an upstream is cold after its start.
        cold_per_s: Requests/s that a cold upstream can take from all VMs
            together; 0 if no limit is known.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    is_keyed: bool
    warm_s: float
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Config(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: ConfigVersion
    routes_by_host: dict[str, HostRoutes]
    services_by_name: dict[ids.ServiceName, Service]
    limits: Limits

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of `path`."""
        routes = self.routes_by_host.get(host)
        return None if routes is None else routes.find(path)


class Upstream(msgspec.Struct, frozen=True):
    """The registration of an upstream.

    Attributes:
        id: Its id.
        service: Its service.
        address: `host:port`.
        failure_domain: Its failure domain.
        slots: Requests that it serves at the same time.
        state: Ready or draining.
        cold_s: Remaining cold time after its start, when it registered.
        started_ms: Start time by its own clock, in milliseconds since the Unix
            epoch; 0 if unknown. Only used to detect restarts: a restarted
            upstream holds no keys and no state from before.
    """

    id: UpstreamId
    service: ids.ServiceName
    address: str
    failure_domain: ids.FailureDomain
    slots: int
    state: UpstreamState
    cold_s: float
    started_ms: int = 0

    def has_restarted_since(self, started_ms: int) -> bool:
        """Whether it restarted since it registered with `started_ms`."""
        are_known = started_ms and self.started_ms
        return bool(are_known) and self.started_ms != started_ms
