"""Command line of the benchmarks: `python -m benchmarks SCENARIO`."""

import argparse
import pathlib
import signal
import sys
import tempfile

import msgspec

from benchmarks import fleet as fleet_lib
from benchmarks import measures
from benchmarks import organisations
from benchmarks import run as run_lib
from benchmarks import scenarios
from benchmarks import speed
from benchmarks import table
from swiftstile import clocks

__all__ = ["main"]


def main() -> int:
    """Runs one scenario; returns 0 if no guarantee was violated."""
    args = _parser().parse_args()
    if args.list:
        for name, kind in scenarios.BY_NAME.items():
            print(f"{name:<26}{kind().describe()}")
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    is_demo = args.scenario == "demo"
    scenario = _scenario(args)
    with tempfile.TemporaryDirectory(prefix="swiftstile-") as folder:
        report = _run(scenario, args, pathlib.Path(folder))
    if is_demo:
        print(table.render(report))
    else:
        print(msgspec.json.encode(report).decode())
    return 0 if table.is_clean(report) else 1


def _scenario(args) -> scenarios.Scenario:
    if args.scenario == "two-faults":
        return scenarios.TwoFaults(tuple(args.faults))
    name = "crash-server" if args.scenario == "demo" else args.scenario
    return scenarios.BY_NAME[name]()


def _faults(text: str) -> list[str]:
    names = text.split(",")
    known = set(scenarios.BY_NAME) - {scenarios.TwoFaults.name}
    if len(names) != 2 or not set(names) <= known:
        raise argparse.ArgumentTypeError("expected two scenarios, as A,B")
    return names


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks",
        description="Starts real processes behind the fault proxy, sends a"
        " mixed load and prints one JSON object on the last line of standard"
        " output. `demo` prints a table instead.",
    )
    parser.add_argument(
        "scenario",
        nargs="?",
        default="steady",
        choices=["demo", *scenarios.BY_NAME],
    )
    parser.add_argument("--list", action="store_true", help="list scenarios")
    parser.add_argument(
        "--organisation",
        default="himal",
        choices=sorted(organisations.BY_NAME),
    )
    parser.add_argument(
        "--faults",
        type=_faults,
        default=["crash-server", "crash-coordinator"],
        metavar="A,B",
        help="for two-faults: the scenarios to run at once",
    )
    parser.add_argument("--seconds", type=float, help="duration of the load")
    parser.add_argument("--rate", type=float, help="requests per second")
    parser.add_argument("--seed", type=int, default=1)
    return parser


def _run(scenario, args, folder: pathlib.Path) -> measures.Report:
    organisation = organisations.BY_NAME[args.organisation]
    seconds = args.seconds or scenario.seconds
    fleet = fleet_lib.Fleet(organisation, folder, args.seed)
    run = run_lib.Run(
        fleet, folder, args.seed, seconds, args.rate or scenario.rate
    )
    run.log_progress(
        f"starting {len(fleet.vms)} entry VMs and {len(fleet.servers)} servers"
    )
    with fleet:
        run.log_progress("fleet ready; measuring control overhead without load")
        use = run.measure_idle_control()
        store_before = fleet.platform.stats()
        begin = clocks.monotonic()
        run.log_progress(f"sending load for {seconds} s")
        callers = run.start_load(scenario.load(run))
        try:
            scenario.inject_faults(run)
            records = callers.records()
        finally:
            callers.kill()
        end = clocks.monotonic()
        store_after = fleet.platform.stats()
        scenario.add_metrics(run, begin, min(end, begin + seconds))
        sends = run.sends_per_request(len(records))
        direct = []
        if scenario.name == "steady":
            run.log_progress("sending the same load directly to the servers")
            direct = run.start_load(run.direct_plan()).records()
            run.extra |= speed.measure(run)
        run.log_progress("computing the report")
        window = (begin + 0.5, min(end, begin + seconds))
        return run.report(
            scenario.name,
            records,
            direct,
            use,
            window,
            (store_before, store_after),
            sends,
        )


if __name__ == "__main__":
    sys.exit(main())
