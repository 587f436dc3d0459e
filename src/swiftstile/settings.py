"""Settings of the router and coordinator, read from an INI file."""

import pathlib

import msgspec

from swiftstile import ids
from swiftstile import ini

__all__ = [
    "CoordinatorSettings",
    "LogSettings",
    "PlatformSettings",
    "RouterSettings",
    "Settings",
    "VmSettings",
    "load",
    "split_address",
]


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[vm]: identity of this VM and the organisations it serves."""

    id: ids.VmId
    failure_domain: ids.FailureDomain
    organisations: tuple[ids.OrganisationId, ...]
    region: str = "default"


class PlatformSettings(msgspec.Struct, frozen=True):
    """[platform]: addresses of the platform's services.

    Attributes:
        table_url: Base URL of the table service.
        objects_url: Base URL of the object store.
        vms_url: Base URL of the VM list.
        timeout_s: Longest wait for a response to begin or continue, in seconds.
        poll_interval_s: Interval between polls of bundles and the VM list, in
            seconds.
    """

    table_url: str
    objects_url: str
    vms_url: str
    timeout_s: float = 2.0
    poll_interval_s: float = 2.0


class RouterSettings(msgspec.Struct, frozen=True):
    """[router]: the request path.

    Attributes:
        listen: `host:port` for callers.
        metrics: `host:port` of the metrics and status endpoint; empty for
            none.
        max_header_bytes: Longest header field, in bytes.
        drain_timeout_s: Longest wait for requests in flight at shutdown, in
            seconds.
    """

    listen: str
    metrics: str = ""
    max_header_bytes: int = 8190
    drain_timeout_s: float = 60.0


class CoordinatorSettings(msgspec.Struct, frozen=True):
    """[coordinator]: control messages between VMs, and leases.

    Attributes:
        listen: `host:port` for control links.
        metrics: `host:port` of the metrics and status endpoint; empty for
            none.
        promise_s: Duration of a candidate's promise not to take over.
        server_lease_s: Longest lease granted to a server.
        renew_interval_s: Interval between renewals of a promise or lease.
        call_timeout_s: Longest wait for a response of a peer or server.
        outage_tolerance_s: How long a holder continues without the table.
        max_control_links: Most control requests served at the same time.
    """

    listen: str
    metrics: str = ""
    promise_s: float = 0.9
    server_lease_s: float = 0.9
    renew_interval_s: float = 0.3
    call_timeout_s: float = 0.25
    outage_tolerance_s: float = 900.0
    max_control_links: int = 64


class LogSettings(msgspec.Struct, frozen=True):
    """[log]: structured logs.

    Attributes:
        level: Lowest level that is logged.
        json: Whether to write one JSON object a line instead of text.
    """

    level: str = "INFO"
    json: bool = False


class Settings(msgspec.Struct, frozen=True):
    """All settings of one process."""

    vm: VmSettings
    platform: PlatformSettings
    router: RouterSettings | None = None
    coordinator: CoordinatorSettings | None = None
    log: LogSettings = LogSettings()


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "vm": VmSettings,
    "platform": PlatformSettings,
    "router": RouterSettings,
    "coordinator": CoordinatorSettings,
    "log": LogSettings,
}
_REQUIRED = ("vm", "platform")
_ADDRESS_OPTIONS = (
    ("router", "listen"),
    ("router", "metrics"),
    ("coordinator", "listen"),
    ("coordinator", "metrics"),
)


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file is invalid; the message lists all faults.
    """
    parser = ini.read(path)
    sections, faults = ini.to_sections(parser, _SECTIONS, _REQUIRED)
    addresses = [(*where, split_address) for where in _ADDRESS_OPTIONS]
    faults = [
        *_unknown_sections(parser),
        *faults,
        *ini.invalid_values(sections, addresses),
        *_invalid_durations(sections),
    ]
    ini.raise_for_faults(faults, path)
    return Settings(**sections)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
        ValueError: The address isn't of this form.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not is_number or int(port) > 65535:
        raise ValueError(f"expected host:port, got {address!r}")
    return host, int(port)


def _unknown_sections(parser) -> list[ini.Fault]:
    known = ", ".join(_SECTIONS)
    return [
        ini.Fault(name, "", f"unknown section; known: {known}")
        for name in parser.sections()
        if name not in _SECTIONS
    ]


def _invalid_durations(sections) -> list[ini.Fault]:
    faults = [
        ini.Fault(section, option, f"expected more than 0, got {value}")
        for section, entry in sections.items()
        if entry is not None
        for option, value in msgspec.structs.asdict(entry).items()
        if option.endswith("_s") and not value > 0
    ]
    control = sections.get("coordinator")
    if control is not None and not faults:
        # A lease must last for two renewals, the first of which may time out.
        minimum_s = 2 * control.renew_interval_s + control.call_timeout_s
        faults += [
            ini.Fault(
                "coordinator", option, f"expected more than {minimum_s:g}"
            )
            for option in ("promise_s", "server_lease_s")
            if getattr(control, option) <= minimum_s
        ]
    return faults
