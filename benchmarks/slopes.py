"""Measures how control overhead grows with size, and fits lines to it.

`python -m benchmarks.slopes [FILE]` writes the raw points and the fits as
JSON; docs/CAPACITY.md is derived from them.
"""

import json
import pathlib
import sys
import tempfile
import time

import numpy

from benchmarks import fleet as fleet_lib
from benchmarks import organisations

__all__ = ["SWEEPS", "main"]

_SETTLE_S = 3.0
_SAMPLE_S = 8.0
_MAX_SLICES = 256

# Sizes of each sweep: (entry VMs per domain, keyed servers, slices per server).
SWEEPS: dict[str, list[tuple[int, int, int]]] = {
    "servers": [(1, 5, 16), (1, 15, 16), (1, 30, 16), (1, 45, 16)],
    "vms": [(1, 10, 16), (2, 10, 16), (4, 10, 16), (6, 10, 16)],
    "slices": [(1, 10, 16), (1, 10, 64), (1, 10, _MAX_SLICES)],
}
_AXES = {"servers": 1, "vms": 0, "slices": 2}
_DOMAINS = len(organisations.DOMAINS)


def main() -> int:
    """Runs all sweeps and writes the results."""
    result: dict[str, object] = {}
    for fenced in (True, False):
        for name, sizes in SWEEPS.items():
            label = f"{name}-{'fenced' if fenced else 'unfenced'}"
            points = [_measure(size, fenced) for size in sizes]
            result[label] = {"points": points, "fits": _fits(name, points)}
            print(f"{label}: {len(points)} points", file=sys.stderr)
    text = json.dumps(result, indent=1)
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(text + "\n")
    print(json.dumps({name: r["fits"] for name, r in result.items()}))
    return 0


def _measure(size: tuple[int, int, int], fenced: bool) -> dict:
    vms, servers, slices = size
    organisation = organisations.Organisation(
        "sweep",
        (organisations.Service("store", servers, True, 1.0, 0.0),),
        checks_fence=fenced,
        churn_budget=0.1,
        vms_per_domain=vms,
        slices_per_server=slices,
    )
    with tempfile.TemporaryDirectory(prefix="swiftstile-") as folder:
        fleet = fleet_lib.Fleet(organisation, pathlib.Path(folder), 1)
        with fleet:
            time.sleep(_SETTLE_S)
            return {"size": size, "roles": _sample(fleet)}


def _sample(fleet: fleet_lib.Fleet) -> dict[str, dict[str, float]]:
    holder = fleet.keyed_holder()
    idle = next(vm for vm in fleet.vms.values() if vm is not holder)
    daemons = {
        "holder": (holder.coordinator, holder.coordinator_metrics),
        "coordinator": (idle.coordinator, idle.coordinator_metrics),
        "router": (idle.router, idle.router_metrics),
    }
    before = {role: _read(fleet, *pair) for role, pair in daemons.items()}
    begin = time.monotonic()
    time.sleep(_SAMPLE_S)
    duration_s = time.monotonic() - begin
    found = {}
    for role, pair in daemons.items():
        after = _read(fleet, *pair)
        pairs = zip(before[role], after, strict=True)
        rates = [(new - old) / duration_s for old, new in pairs]
        found[role] = {
            "bytes_per_s": round(rates[0], 1),
            "messages_per_s": round(rates[1], 2),
            "cpu_percent": round(rates[2] * 100, 3),
            "memory_mb": round(pair[0].memory_bytes() / 2**20, 2),
        }
    return found


def _read(fleet, process, port) -> tuple[float, float, float]:
    meters = fleet.status(port)["meters"]
    return (
        sum(meters["control_bytes"].values()),
        sum(meters["control_messages"].values()),
        process.cpu_s(),
    )


def _fits(name: str, points: list[dict]) -> dict:
    """Returns base, slope and largest residual of each metric, by role."""
    axis = _AXES[name]
    sizes = [p["size"][axis] * (_DOMAINS if axis == 0 else 1) for p in points]
    fits: dict[str, dict] = {}
    for role in points[0]["roles"]:
        fits[role] = {}
        for figure in points[0]["roles"][role]:
            values = [p["roles"][role][figure] for p in points]
            slope, base = numpy.polyfit(sizes, values, 1)
            residual = numpy.abs(numpy.polyval([slope, base], sizes) - values)
            fits[role][figure] = {
                "base": round(float(base), 3),
                "slope": round(float(slope), 4),
                "worst": round(float(residual.max()), 3),
            }
    return fits


if __name__ == "__main__":
    sys.exit(main())
