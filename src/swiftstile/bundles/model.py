"""What a bundle says: the services of one organisation and their rules."""

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
    """How a service's requests find their server."""

    # Each key has one owner.
    KEYED = "keyed"
    # Any server will do.
    SHARED = "shared"


class Balancing(enum.Enum):
    """How a server is chosen for a service not divided by key."""

    RANDOM = "random"
    LEAST_OUTSTANDING = "least-outstanding"
    TWO_CHOICES = "two-choices"


class KeySource(enum.Enum):
    """Where a request carries its key."""

    HEADER = "header"
    PATH = "path"


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """[service NAME]: one service.

    Attributes:
        upstream_group: Group of upstream VMs in the platform's VM list.
        ownership: Keyed or shared.
        key_source: Header `Swiftstile-Key`, or first part of the path.
        checks_fence: Whether the servers check who gives them an order.
        slots: Requests that one server runs at the same time.
        connections: Connections to one server, over all VMs.
        slices_per_server: How finely keys are spread.
        churn_budget: Largest share of the hash space that one round of
            rebalancing moves, from 0 to 1.
        imbalance_target: Load of the busiest server over the mean that is
            good enough; nothing is moved below it.
        protected_methods: HTTP methods that are not repeatable.
        max_body_bytes: Longest request body, in bytes.
        deadline_ms: Deadline of a request that names none, in milliseconds.
        max_deadline_ms: Longest deadline a request may name.
        hold_ms: Longest wait for a key to get an owner, in milliseconds.
        queue_limit: Requests that wait for a slot of one server on one VM.
        balancing: Policy of a shared service.
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
    """Reads a bundle from INI text.

    Args:
        text: The whole file.
        source: Name of the file, for errors.

    Raises:
        BundleError: Lists every fault.
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
    """Returns the name of a bundle's body in the object store."""
    return ids.Digest(hashlib.sha256(codec.to_json(bundle)).hexdigest())


def _missing_parts(parser, head, services) -> list[ini.Fault]:
    faults = []
    if not parser.has_section("bundle"):
        faults.append(ini.Fault("bundle", "", "section missing"))
    elif head and not _NAME.fullmatch(head.organisation):
        problem = "expected lower-case letters, digits and hyphens"
        faults.append(ini.Fault("bundle", "organisation", problem))
    if not services:
        faults.append(ini.Fault("service NAME", "", "no service named"))
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
