"""What the gateway knows: routes, services, limits and upstreams."""

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

# Keys of callers are numbers from 0 up to this one, exclusive.
KEY_SPACE = 65536

# Grows with each configuration of the operator, in uneven steps.
ConfigVersion = typing.NewType("ConfigVersion", int)
# One upstream server. It may start again under the same id, see `started_ms`.
UpstreamId = typing.NewType("UpstreamId", str)
# One VM that runs the gateway.
NodeId = typing.NewType("NodeId", str)


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    # Runs once, and its body is large.
    ONCE_LARGE = "once-large"


class UpstreamState(enum.Enum):
    """State of an upstream as it registered itself."""

    READY = "ready"
    DRAINING = "draining"


class Share(msgspec.Struct, frozen=True):
    """One of the services a route's requests are spread over."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the requests of one host and path prefix go.

    Attributes:
        name: The operator's name for it.
        host: Host of the request, lower case, without port.
        prefix: Start of the path, from slash to slash.
        repeatability: Whether a request may run more than once.
        timeout_s: Longest time to keep a caller waiting.
        objective_s: Time within which an answer is of full use.
        priority: Rank; 0 is the most urgent.
        shares: Services and weights; never empty.
        max_attempts: Most upstreams that one request may be sent to.
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
    """The routes of one host, found by the start of a path.

    A look-up costs one step for each length of a prefix, neither for each route
    nor for each slash of the path, which a caller chooses.

    Attributes:
        routes: All of them, in the operator's order.
        by_prefix: The first route of each prefix.
        lengths: Lengths of the prefixes in characters, longest first.
    """

    routes: tuple[Route, ...]
    by_prefix: dict[str, Route]
    lengths: tuple[int, ...]

    @classmethod
    def of(cls, routes: collections.abc.Iterable[Route]) -> typing.Self:
        """Returns the routes of one host, indexed."""
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
    """A group of upstreams that do the same work.

    Attributes:
        name: The operator's name for it.
        health_path: Path of the health check.
        max_connections: Connections an upstream accepts from all VMs together.
        is_keyed: Whether an upstream serves only the keys granted to it.
        warm_s: How long a key is slow that moved without a hand-over.
        cold_start_s: How long an upstream is cold once it started.
        cold_per_s: Requests/s that a cold one bears from all VMs together; 0
            if no limit is known.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    is_keyed: bool
    warm_s: float
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

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
    """An upstream as it registered itself.

    Attributes:
        id: Its id.
        service: What it serves.
        address: `host:port`.
        failure_domain: Where it runs.
        slots: Requests it works on at the same time.
        state: Ready, or leaving.
        cold_s: How much longer it is slow after its start, when registered.
        started_ms: When it started, by its own time of day in milliseconds
            since the Unix epoch; 0 if it doesn't say. Only tells one life from
            another: one that started again holds and knows nothing of before.
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
        """Whether it started again since it told another time of its start."""
        are_known = started_ms and self.started_ms
        return bool(are_known) and self.started_ms != started_ms
