"""Settings of a gateway process, read from an INI file and checked."""

import pathlib
import re

import msgspec

from swiftstile import ids
from swiftstile import ini
from swiftstile import settings as settings_lib
from swiftstile.gateway import model

__all__ = [
    "BoundSettings",
    "GatewaySettings",
    "NodeSettings",
    "StoreSettings",
    "load",
    "seconds",
]


class NodeSettings(msgspec.Struct, frozen=True):
    """[vm]: what this VM is and where it listens.

    Attributes:
        id: Name of the VM.
        failure_domain: Where it runs.
        listen: `host:port` for callers.
        ready: `host:port` of the page that the balancer asks.
        peers: `host:port` of datagrams of other VMs.
        metrics: `host:port` of the metrics endpoint; empty for none.
        seeds: `host:port` of VMs that may be asked for rows while the store
            is away. Only the hosts count: the port is that of `peers`.
        link_mbps: Bandwidth of its link, in Mbit/s; 0 if it isn't known.
    """

    id: model.NodeId
    failure_domain: ids.FailureDomain
    listen: str
    ready: str
    peers: str
    metrics: str = ""
    seeds: tuple[str, ...] = ()
    link_mbps: float = 0.0


class StoreSettings(msgspec.Struct, frozen=True):
    """[store]: the platform's store.

    Attributes:
        address: `host:port`.
        row_bytes: Longest value of a row, in bytes.
    """

    address: str
    row_bytes: int = 65536


class BoundSettings(msgspec.Struct, frozen=True):
    """[bounds]: what the platform expects, as times with their unit.

    Attributes:
        drain: A leaving upstream gets no request later than this.
        grace: From the order to stop until the process is killed.
        retry_ratio: Repeats allowed for each request.
        retry_allowance: Repeats allowed besides, of all VMs together.
        retry_window: Length of the window in which repeats are counted.
    """

    drain: str = "2000ms"
    grace: str = "6s"
    retry_ratio: float = 0.2
    retry_allowance: float = 50
    retry_window: str = "10s"


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process."""

    vm: NodeSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    log: settings_lib.LogSettings = settings_lib.LogSettings()


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "vm": NodeSettings,
    "store": StoreSettings,
    "bounds": BoundSettings,
    "log": settings_lib.LogSettings,
}
_REQUIRED = ("vm", "store")
_ADDRESSES = (
    ("vm", "listen"),
    ("vm", "ready"),
    ("vm", "peers"),
    ("vm", "metrics"),
    ("store", "address"),
)
# A template of the platform leaves these empty where a field is missing.
_NEVER_EMPTY = (
    ("vm", "id"),
    ("vm", "failure_domain"),
    ("vm", "listen"),
    ("vm", "ready"),
    ("vm", "peers"),
    ("store", "address"),
)
_TIMES = ("drain", "grace", "retry_window")
_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNITS_S = {"ms": 0.001, "s": 1.0}


def seconds(text: str) -> float:
    """Returns a time such as `1500ms` or `2.5s`, in seconds.

    Raises:
        ValueError: It has another form.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"expected a time such as 1500ms or 2s, got {text!r}")
    return float(match[1]) * _UNITS_S[match[2]]


def load(path: pathlib.Path) -> GatewaySettings:
    """Reads a settings file.

    Raises:
        SettingsError: Names the file and every fault in it.
    """
    sections, faults = ini.to_sections(ini.read(path), _SECTIONS, _REQUIRED)
    faults += _bad_values(sections)
    ini.raise_for_faults(faults, path)
    return GatewaySettings(**sections)


def _bad_values(sections) -> list[ini.Fault]:
    faults = [
        ini.Fault(section, option, "is empty")
        for section, option in _NEVER_EMPTY
        if getattr(sections.get(section), option, None) == ""
    ]
    checks = [(*where, settings_lib.split_address) for where in _ADDRESSES]
    checks += [("bounds", option, seconds) for option in _TIMES]
    return faults + ini.invalid_values(sections, checks)
