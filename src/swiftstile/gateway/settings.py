"""Settings of a gateway process: reads and validates an INI file."""

import pathlib
import re
import typing

import msgspec

from swiftstile import ids
from swiftstile import ini
from swiftstile import settings as settings_lib
from swiftstile.gateway import load_settings
from swiftstile.gateway import model

__all__ = [
    "BoundSettings",
    "GatewaySettings",
    "LimitSettings",
    "NodeSettings",
    "StoreSettings",
    "load",
    "parse_seconds",
]


# A process needs this much before it serves anybody.
MIN_MEMORY_MB = 96
MIN_FDS = 600


class NodeSettings(msgspec.Struct, frozen=True):
    """Section [vm]: identity and addresses of this VM.

    Attributes:
        id: Name of the VM.
        failure_domain: Its failure domain.
        listen: `host:port` for callers.
        ready: `host:port` of the readiness page for the load balancer.
        peers: `host:port` for datagrams from other VMs.
        forward: `host:port` for requests that other VMs forward; empty for the
            port after that of `peers`.
        metrics: `host:port` of the metrics endpoint; empty for none.
        seeds: `host:port` of VMs that may be asked for rows while the store is
            unavailable. Only the hosts are used: the port is that of `peers`.
        link_mbps: Bandwidth of its link, in Mbit/s; 0 if unknown.
    """

    id: model.NodeId
    failure_domain: ids.FailureDomain
    listen: str
    ready: str
    peers: str
    forward: str = ""
    metrics: str = ""
    seeds: tuple[str, ...] = ()
    link_mbps: float = 0.0

    @property
    def host(self) -> str:
        """Address at which it is registered and that its connections have."""
        return self.peers.rpartition(":")[0]

    @property
    def forward_address(self) -> str:
        """`host:port` for requests that other VMs forward."""
        host, _, port = self.peers.rpartition(":")
        return self.forward or f"{host}:{int(port) + 1}"


class StoreSettings(msgspec.Struct, frozen=True):
    """Section [store]: the platform's store.

    Attributes:
        address: `host:port`.
        row_bytes: Maximum length of a row's value, in bytes.
    """

    address: str
    row_bytes: int = 65536


class BoundSettings(msgspec.Struct, frozen=True):
    """Section [bounds]: requirements of the platform; times have a unit.

    Attributes:
        drain: Time after which a leaving upstream must get no requests.
        grace: Time from the stop signal until the process is killed.
        retry_ratio: Retries allowed per request.
        retry_allowance: Additional retries per window, for all VMs together.
        retry_window: Length of the window in which retries are counted.
    """

    drain: str = "2000ms"
    grace: str = "6s"
    retry_ratio: float = 0.2
    retry_allowance: float = 50
    retry_window: str = "10s"


class LimitSettings(msgspec.Struct, frozen=True):
    """Section [limits]: what the platform lets a process use.

    Attributes:
        memory_mb: Memory above which the process is killed, in MiB.
        max_fds: File descriptors, those of files included.
    """

    memory_mb: typing.Annotated[float, msgspec.Meta(ge=MIN_MEMORY_MB)] = 256.0
    max_fds: typing.Annotated[int, msgspec.Meta(ge=MIN_FDS)] = 4096


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process."""

    vm: NodeSettings
    store: StoreSettings
    limits: LimitSettings = LimitSettings()
    bounds: BoundSettings = BoundSettings()
    load: load_settings.LoadSettings = load_settings.LoadSettings()
    log: settings_lib.LogSettings = settings_lib.LogSettings()


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "vm": NodeSettings,
    "store": StoreSettings,
    "limits": LimitSettings,
    "bounds": BoundSettings,
    "load": load_settings.LoadSettings,
    "log": settings_lib.LogSettings,
}
_REQUIRED = ("vm", "store")
_ADDRESSES = (
    ("vm", "listen"),
    ("vm", "ready"),
    ("vm", "peers"),
    ("vm", "forward"),
    ("vm", "metrics"),
    ("store", "address"),
)
# The platform's settings template leaves these empty if a field is missing.
_NON_EMPTY = (
    ("vm", "id"),
    ("vm", "failure_domain"),
    ("vm", "listen"),
    ("vm", "ready"),
    ("vm", "peers"),
    ("store", "address"),
)
_DURATIONS = ("drain", "grace", "retry_window")
# Longer ones are malformed: what waits for them would wait for ever.
MAX_DURATION_S = 366 * 86400.0
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNITS_S = {"ms": 0.001, "s": 1.0}


def parse_seconds(text: str) -> float:
    """Returns a duration such as `1500ms` or `2.5s`, in seconds.

    Raises:
        ValueError: The text isn't a duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"expected a time such as 1500ms or 2s, got {text!r}")
    seconds = float(match[1]) * _UNITS_S[match[2]]
    if seconds > MAX_DURATION_S:
        raise ValueError(f"longer than {MAX_DURATION_S:.0f} s: {text[:40]!r}")
    return seconds


def load(path: pathlib.Path) -> GatewaySettings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: Lists all faults in the file.
    """
    sections, faults = ini.to_sections(ini.read(path), _SECTIONS, _REQUIRED)
    faults += _find_faults(sections)
    ini.raise_for_faults(faults, path)
    return GatewaySettings(**sections)


def _find_faults(sections) -> list[ini.Fault]:
    faults = [
        ini.Fault(section, option, "is empty")
        for section, option in _NON_EMPTY
        if getattr(sections.get(section), option, None) == ""
    ]
    checks = [(*where, settings_lib.split_address) for where in _ADDRESSES]
    checks += [("bounds", option, parse_seconds) for option in _DURATIONS]
    return faults + ini.invalid_values(sections, checks)
