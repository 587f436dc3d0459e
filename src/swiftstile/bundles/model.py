"""Bundle model: the services of one organisation and their settings."""

import enum
import hashlib
import re

import msgspec

from swiftstile import codec
from swiftstile import errors
from swiftstile import ids
from swiftstile import ini

__all__ = [
    "Balancing",
    "Bundle",
    "KeySource",
    "Ownership",
    "ServiceSpec",
    "digest",
    "parse",
]

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Ownership(enum.Enum):
    """How requests of a service are assigned to servers."""

    # Each key has exactly one owner.
    KEYED = "keyed"
    # Any server may handle any request.
    SHARED = "shared"


class Balancing(enum.Enum):
    """How a server of a shared service is selected."""

    RANDOM = "random"
    LEAST_OUTSTANDING = "least-outstanding"
    TWO_CHOICES = "two-choices"


class KeySource(enum.Enum):
    """Part of the request that holds the key."""

    HEADER = "header"
    PATH = "path"


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """[service NAME]: settings of one service.

    Attributes:
        upstream_group: Name of the upstream group in the platform's VM list.
        ownership: Keyed or shared.
        key_source: Header `Swiftstile-Key`, or first segment of the path.
        checks_fence: Whether the servers check fences and hold the leases. If
            not, the routers hold route leases.
        slots: Most concurrent requests of one server.
        connections: Most connections to one server, over all VMs.
        slices_per_server: Number of slices of the hash space per server.
        churn_budget: Largest share of the hash space that one rebalancing
            round may move, from 0 to 1.
        imbalance_target: Accepted ratio of the highest server load to the
            mean; nothing is moved below it.
        protected_methods: HTTP methods that aren't repeatable.
        max_body_bytes: Longest request body, in bytes.
        deadline_ms: Default deadline of a request, in milliseconds.
        max_deadline_ms: Longest deadline that a request may set.
        hold_ms: Longest wait for a key to be assigned an owner, in
            milliseconds.
        queue_limit: Most requests that wait on one VM for a slot of one
            server.
        balancing: Load balancing policy of a shared service.
    """

    upstream_group: str
    ownership: Ownership = Ownership.SHARED
    key_source: KeySource = KeySource.HEADER
    checks_fence: bool = True
    slots: int = 3
    connections: int = 100
    slices_per_server: int = 16
    churn_budget: float = 0.1
    imbalance_target: float = 1.25
    protected_methods: tuple[str, ...] = ("POST",)
    max_body_bytes: int = 1 << 20
    deadline_ms: int = 5000
    max_deadline_ms: int = 60000
    hold_ms: int = 3000
    queue_limit: int = 64
    balancing: Balancing = Balancing.TWO_CHOICES


class Bundle(msgspec.Struct, frozen=True):
    """All services of one organisation, by name."""

    organisation: ids.OrganisationId
    services: dict[ids.ServiceName, ServiceSpec]


class _BundleSection(msgspec.Struct):
    organisation: str


def parse(text: str, source: str) -> Bundle:
    """Parses a bundle.

    Args:
        text: The INI text.
        source: File name, for error messages.

    Raises:
        BundleError: The bundle is invalid; the message lists all faults.
    """
    try:
        parser = ini.parse(text, source)
    except errors.SettingsError as error:
        raise errors.BundleError(
            error.args[0], step="parse bundle", peer=source
        ) from error
    head, faults = None, []
    services: dict[ids.ServiceName, ServiceSpec] = {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if section == "bundle":
            head, found = ini.to_section(
                _BundleSection, section, parser[section]
            )
            faults += found
        elif kind == "service" and _NAME.fullmatch(name):
            spec, found = ini.to_section(ServiceSpec, section, parser[section])
            faults += found + (_out_of_range(section, spec) if spec else [])
            services[ids.ServiceName(name)] = spec
        else:
            problem = "unknown section; known: [bundle], [service NAME]"
            faults.append(ini.Fault(section, "", problem))
    faults += _missing_parts(parser, head, services)
    if faults:
        raise errors.BundleError(
            "; ".join(map(str, faults)), step="check bundle", peer=source
        )
    return Bundle(ids.OrganisationId(head.organisation), services)


def digest(bundle: Bundle) -> ids.Digest:
    """Returns the digest that names a bundle in the object store."""
    return ids.Digest(hashlib.sha256(codec.to_json(bundle)).hexdigest())


def _missing_parts(parser, head, services) -> list[ini.Fault]:
    faults = []
    if not parser.has_section("bundle"):
        faults.append(ini.Fault("bundle", "", "section missing"))
    elif head and not _NAME.fullmatch(head.organisation):
        problem = "expected lower-case letters, digits and hyphens"
        faults.append(ini.Fault("bundle", "organisation", problem))
    if not services:
        faults.append(
            ini.Fault("service NAME", "", "expected at least one service")
        )
    return faults


def _out_of_range(section: str, spec: ServiceSpec) -> list[ini.Fault]:
    ranges = {
        "slots": (1, 10_000),
        "connections": (1, 100_000),
        "slices_per_server": (1, 4096),
        "churn_budget": (0, 1),
        "imbalance_target": (1.01, 100),
        "max_body_bytes": (0, 1 << 40),
        "deadline_ms": (1, spec.max_deadline_ms),
        "max_deadline_ms": (1, 3_600_000),
        "hold_ms": (0, spec.max_deadline_ms),
        "queue_limit": (0, 100_000),
    }
    return [
        ini.Fault(section, option, f"expected {low} to {high}, got {value}")
        for option, (low, high) in ranges.items()
        if not low <= (value := getattr(spec, option)) <= high
    ]
