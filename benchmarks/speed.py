"""Speed of one router pinned to a core, compared with direct requests."""

import os
import time

from benchmarks import measures
from benchmarks import run as run_lib

__all__ = ["measure"]

_LOAD_PROCESSES = 2
_SECONDS = 5.0
_CONNECTIONS = 24
_COMPARISON_SHARE = 0.5


def measure(run: run_lib.Run) -> dict[str, object]:
    """Measures requests/s per core, and the added latency at half that rate.

    One VM's router has a core of its own and reaches the servers without the
    fault proxy; load and servers share the other cores. For the comparison,
    routed and direct requests are sent at the same time.
    """
    vm = next(iter(run.fleet.vms.values()))
    cpus = sorted(os.sched_getaffinity(0))
    run.fleet.bypass_proxy(vm)
    others = set(cpus[1:])
    for process in run.fleet.all_processes():
        process.pin({cpus[0]} if process is vm.router else others)
    # Load processes inherit this affinity and stay off the router's core.
    os.sched_setaffinity(0, others)
    try:
        run.log_progress("speed: measuring the maximum rate of one router")
        top_rate, busy = _top_rate(run, vm)
        run.log_progress(
            f"speed: {top_rate:.0f} requests/s; comparing half with direct"
        )
        half = _side_by_side(run, vm, top_rate * _COMPARISON_SHARE)
    finally:
        os.sched_setaffinity(0, cpus)
    return {
        "requests_per_s_per_core": round(top_rate / busy, 1),
        "router_busy": round(busy, 3),
        "half_rate": round(top_rate * _COMPARISON_SHARE, 1),
        **half,
    }


def _top_rate(run: run_lib.Run, vm) -> tuple[float, float]:
    loads = [
        run.start_load(
            run.plan(
                ports=[vm.router_port],
                rate=0,
                seconds=_SECONDS,
                callers=_CONNECTIONS,
            )
        )
        for _ in range(_LOAD_PROCESSES)
    ]
    time.sleep(1.5)
    cpu, begin = vm.router.cpu_s(), time.monotonic()
    time.sleep(_SECONDS - 2.5)
    busy = (vm.router.cpu_s() - cpu) / (time.monotonic() - begin)
    records = [record for each in loads for record in each.records()]
    first = min(record.sent_at for record in records)
    window = (first + 1.0, first + _SECONDS - 1.0)
    done = sum(
        window[0] <= record.sent_at + record.latency_s < window[1]
        for record in records
        if record.status == 200
    )
    return done / (window[1] - window[0]), busy


def _side_by_side(run: run_lib.Run, vm, rate: float) -> dict[str, object]:
    first_plan = run.plan(
        ports=[vm.router_port], rate=rate / 2, seconds=_SECONDS
    )
    routed_loads = [run.start_load(first_plan)]
    second_plan = run.plan(
        ports=[vm.router_port], rate=rate / 2, seconds=_SECONDS
    )
    routed_loads.append(run.start_load(second_plan))
    direct = run.start_load(run.direct_plan(rate=rate / 2, seconds=_SECONDS))
    routed = [record for each in routed_loads for record in each.records()]
    routed_ms = measures.percentiles(measures.latencies(routed), 1000)
    direct_ms = measures.percentiles(
        measures.latencies_of_all(direct.records()), 1000
    )
    return {
        "half_rate_ms": routed_ms,
        "half_rate_direct_ms": direct_ms,
        "added_p50_ms": round(routed_ms.p50 - direct_ms.p50, 3),
        "added_p99_ms": round(routed_ms.p99 - direct_ms.p99, 3),
    }
