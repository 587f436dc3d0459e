"""Disables mechanisms one at a time and measures what each contributes.

Runs a bench's workloads on copies of this checkout, each with one mechanism
disabled by an edit of the source, and writes the worth by mechanism, site and
seed:

    python tools/ablate.py measure --bench PATH --site A.toml --site B.toml
    python tools/ablate.py table docs/measures/ablation.json
    python tools/ablate.py plot docs/measures/ablation.json --out ablation.png

The text that an edit replaces must occur exactly once, so that a changed
mechanism is detected (tests/unit/test_ablate.py). Mechanisms that guarantee
correctness aren't listed, as no gain in worth could justify removing them:
fenced grants, waits for holds to expire and preconditions of writes.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import queue
import shutil
import statistics
import subprocess
import sys

__all__ = ["MECHANISMS", "Edit", "Mechanism", "apply"]

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_GATEWAY = "src/swiftstile/gateway"
_BASELINE = "all on"


@dataclasses.dataclass(frozen=True)
class Edit:
    """A replacement in a source file; `old` must occur exactly once."""

    path: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """A mechanism and the edits that disable it.

    Attributes:
        name: Short name, for the table.
        edits: Replacements that disable it.
    """

    name: str
    edits: tuple[Edit, ...] = ()


def _mechanism(name: str, module: str, old: str, new: str) -> Mechanism:
    return Mechanism(name, (Edit(f"{_GATEWAY}/{module}.py", old, new),))


MECHANISMS = (
    Mechanism(_BASELINE),
    _mechanism(
        "requests overlap on a connection",
        "request_queue",
        "MAX_CONCURRENT_REQUESTS = 8",
        "MAX_CONCURRENT_REQUESTS = 1",
    ),
    _mechanism(
        "permits from one VM an owner",
        "permits",
        "                arbiter = self._selector.arbiter_of(target, now)",
        "                pass",
    ),
    _mechanism(
        "one VM of a domain assigns slots without owners",
        "permits",
        "        if self._gate.admission.vm_count"
        " > admission.MAX_VMS_WITHOUT_SAMPLING:",
        "        if False:",
    ),
    _mechanism(
        "slowdowns that upstreams report",
        "targets",
        "SLOWDOWN_TTL_S = 0.2",
        "SLOWDOWN_TTL_S = 0.0",
    ),
    _mechanism(
        "ranges as wide as links ask for",
        "renewal_budget",
        "RENEWAL_SHARE = 0.005",
        "RENEWAL_SHARE = 1.0",
    ),
    _mechanism(
        "returning callers are known",
        "caller_retries",
        "        if not matches:",
        "        if matches or not matches:",
    ),
    _mechanism(
        "lookups wait beyond their objective",
        "admission",
        "if waiter.is_centrally_decided and not"
        " self._is_contended(waiter, now):",
        "if False:",
    ),
    _mechanism(
        "late with a reserve, not by the mean work",
        "waiters",
        "LATENESS_MARGIN, MAX_MARGIN_OF_SLACK = 0.6, 0.5",
        "LATENESS_MARGIN, MAX_MARGIN_OF_SLACK = 0.0, 0.5",
    ),
    _mechanism(
        "late lookups go to idle slots only",
        "target_selection",
        "if waiter.owner is not None and waiter.is_late(now):",
        "if False:",
    ),
    _mechanism(
        "late requests after those in time",
        "waiters",
        "            self.is_late(now),\n            self.route.priority,",
        "            False,\n            self.route.priority,",
    ),
    _mechanism(
        "starved late requests are refused",
        "admission",
        "return waiter.queue_key in contested and"
        " self._is_contended(waiter, now)",
        "return False",
    ),
    _mechanism(
        "slow only beyond three times the usual",
        "targets",
        "STALL_FACTOR = 3.0",
        "STALL_FACTOR = 1.4",
    ),
    _mechanism(
        "sheds with room return soon",
        "exchange",
        "load is not None and load.running < load.slots",
        "False",
    ),
    _mechanism(
        "cut-off owners are refused at once",
        "owners",
        "return self._peers.is_domain_unreachable(\n"
        "            target.upstream.failure_domain, now\n"
        "        )",
        "return False",
    ),
    _mechanism(
        "hot slots move to faster upstreams",
        "slotplan",
        "        return list(found)",
        "        return []",
    ),
    _mechanism(
        "keys beside a hot slot move away",
        "slotplan",
        "minimum, remaining[owner] - share * weights[owner]",
        "minimum, remaining[owner]",
    ),
    _mechanism(
        "one slow owner of many is relieved",
        "keyplan",
        "OVERLOAD_TOLERANCE = 0.4",
        "OVERLOAD_TOLERANCE = 1e9",
    ),
    _mechanism(
        "shares by measured speed",
        "slotplan",
        "return max(1, target.upstream.slots) * speed",
        "return max(1, target.upstream.slots) * min(1.0, max(1.0, speed))",
    ),
    _mechanism(
        "speeds from all VMs' answers",
        "speeds",
        "        self._peers.receive(node, samples, now)",
        "        del node, samples, now",
    ),
    _mechanism(
        "counts from other VMs",
        "targets",
        "            if now - reported_at < PEER_COUNT_TTL_S\n        )\n\n"
        "    def waiting_elsewhere",
        "            if now < reported_at\n        )\n\n"
        "    def waiting_elsewhere",
    ),
    _mechanism(
        "home first",
        "target_selection",
        "CROSS_DOMAIN_COST = 0.2",
        "CROSS_DOMAIN_COST = 0.0",
    ),
    _mechanism(
        "large bodies stay home",
        "target_selection",
        "CROSS_DOMAIN_COST_LARGE = 0.75",
        "CROSS_DOMAIN_COST_LARGE = 0.2",
    ),
    _mechanism(
        "spread of Retry-After",
        "admission",
        "RETRY_JITTER = 0.4",
        "RETRY_JITTER = 0.0",
    ),
    _mechanism(
        "hand-over tokens",
        "renewals",
        "                slot.token,\n                is_due,",
        '                "",\n                is_due,',
    ),
    _mechanism(
        "penalties after failures",
        "targets",
        "        self._penalty_until = now + penalty",
        "        self._penalty_until = now",
    ),
    _mechanism(
        "second sends",
        "budget",
        "        return retries + 1 <= SAFETY_FACTOR * bound",
        "        return retries + 1 <= 0 * bound",
    ),
    _mechanism(
        "a successor knows its predecessor's marks",
        "succession",
        "        return times[position] + authority.STOPPED_AFTER_S",
        "        return None",
    ),
    _mechanism(
        "silent VMs aren't waited for",
        "moves",
        "        stop = min(stopped_at, _latest_stop_at(peer, quorum_since))",
        "        stop = stopped_at",
    ),
    _mechanism(
        "our own table through readers",
        "readers",
        "MAX_INDEPENDENT_VMS_FOR_STATE = 2",
        "MAX_INDEPENDENT_VMS_FOR_STATE = 6",
    ),
)


def apply(mechanism: Mechanism, root: pathlib.Path) -> None:
    """Disables a mechanism in a checkout.

    Raises:
        ValueError: The text to replace doesn't occur exactly once.
    """
    for edit in mechanism.edits:
        path = root / edit.path
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise ValueError(
                f"{mechanism.name}: expected 1 match in {edit.path},"
                f" found {text.count(edit.old)}"
            )
        path.write_text(text.replace(edit.old, edit.new))


@dataclasses.dataclass(frozen=True)
class _Simulation:
    """One day of one site with one mechanism disabled."""

    mechanism: Mechanism
    site: pathlib.Path
    day: str
    seed: int


class _CheckoutPool:
    """Copies of the checkout, each used by one simulation at a time."""

    def __init__(self, folder: pathlib.Path, count: int):
        self._free: queue.Queue[pathlib.Path] = queue.Queue()
        for number in range(count):
            copy = folder / f"copy-{number}"
            if copy.exists():
                shutil.rmtree(copy)
            subprocess.run(
                ["git", "clone", "-q", str(_ROOT), str(copy)], check=True
            )
            self._free.put(copy)

    def run(self, simulation: _Simulation, options) -> dict:
        """Runs one simulation and returns the bench's report."""
        copy = self._free.get()
        try:
            subprocess.run(["git", "checkout", "-q", "."], cwd=copy, check=True)
            apply(simulation.mechanism, copy)
            return _run_bench(simulation, copy, options)
        finally:
            self._free.put(copy)


def _run_bench(simulation: _Simulation, copy: pathlib.Path, options) -> dict:
    report = copy / "target" / "report.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    command = [
        options.bench,
        "run",
        str(simulation.site),
        simulation.day,
        "--seed",
        str(simulation.seed),
        "--no-cpu",
        "--report",
        str(report),
        "--why",
        f"ablation: {simulation.mechanism.name}, seed {simulation.seed}",
    ]
    if options.until:
        command += ["--until", str(options.until)]
    process = subprocess.run(command, cwd=copy, capture_output=True, text=True)
    if not report.exists():
        raise RuntimeError(
            f"{simulation}: {process.stdout[-500:]}{process.stderr[-500:]}"
        )
    return json.loads(report.read_text())


def _summary(simulation: _Simulation, report: dict) -> dict:
    return {
        "mechanism": simulation.mechanism.name,
        "site": simulation.site.stem,
        "day": simulation.day,
        "seed": simulation.seed,
        "worth": report["G"],
        "served": report["served"],
        "broken": sorted(report["breaks"]),
        "prices": {name: price for name, _, price in report["prices"] if price},
    }


def _measure(options) -> int:
    mechanisms = [
        entry
        for entry in MECHANISMS
        if not options.only or entry.name in (_BASELINE, *options.only)
    ]
    simulations = [
        _Simulation(mechanism, pathlib.Path(site), options.day, seed)
        for mechanism in mechanisms
        for seed in range(
            options.first_seed, options.first_seed + options.seeds
        )
        for site in options.site
    ]
    checkouts = _CheckoutPool(pathlib.Path(options.work), options.jobs)
    results = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = {
            pool.submit(checkouts.run, simulation, options): simulation
            for simulation in simulations
        }
        for future in concurrent.futures.as_completed(futures):
            simulation = futures[future]
            results.append(_summary(simulation, future.result()))
            print(json.dumps(results[-1]), flush=True)
    pathlib.Path(options.out).write_text(json.dumps(results, indent=1) + "\n")
    return 0


def _differences(results: list[dict]) -> dict[str, dict[str, list[float]]]:
    """Returns the worth lost without each mechanism, by site, for each seed."""
    by_simulation = {
        (entry["mechanism"], entry["site"], entry["seed"]): entry["worth"]
        for entry in results
    }
    differences: dict[str, dict[str, list[float]]] = {}
    for (name, site, seed), worth in sorted(by_simulation.items()):
        base = by_simulation.get((_BASELINE, site, seed))
        if name != _BASELINE and base is not None:
            sites = differences.setdefault(name, {})
            sites.setdefault(site, []).append(base - worth)
    return differences


def _table(options) -> int:
    results = json.loads(pathlib.Path(options.results).read_text())
    differences = _differences(results)
    sites = sorted({entry["site"] for entry in results})
    print("| without | " + " | ".join(sites) + " |")
    print("|---|" + "---|" * len(sites))
    for name in sorted(differences, key=lambda key: -_mean(differences[key])):
        cells = []
        for site in sites:
            lost = differences[name].get(site, [])
            spread = f" ({min(lost):+.3f} to {max(lost):+.3f})" if lost else ""
            cells.append(
                f"{statistics.mean(lost):+.3f}{spread}" if lost else "not run"
            )
        print(f"| {name} | " + " | ".join(cells) + " |")
    return 0


def _mean(by_site: dict[str, list[float]]) -> float:
    return statistics.mean(
        value for values in by_site.values() for value in values
    )


def _plot(options) -> int:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    results = json.loads(pathlib.Path(options.results).read_text())
    differences = _differences(results)
    names = sorted(differences, key=lambda key: _mean(differences[key]))
    sites = sorted({entry["site"] for entry in results})
    figure, axes = pyplot.subplots(figsize=(9, 0.34 * len(names) + 1.5))
    for offset, site in enumerate(sites):
        means = [
            statistics.mean(differences[n].get(site, [0.0])) for n in names
        ]
        rows = [row + 0.25 * (offset - 1) for row in range(len(names))]
        axes.barh(rows, means, height=0.24, label=site)
    axes.set_yticks(range(len(names)), names)
    axes.axvline(0, color="black", linewidth=0.8)
    axes.set_xlabel("worth lost without the mechanism (mean of the seeds)")
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(options.out, dpi=110)
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    commands = parser.add_subparsers(required=True)
    measure = commands.add_parser(
        "measure", help="run simulations and write results"
    )
    measure.add_argument(
        "--bench", required=True, help="executable of the bench"
    )
    measure.add_argument("--site", action="append", required=True)
    measure.add_argument("--day", default="scale-1")
    measure.add_argument("--seeds", type=int, default=3)
    measure.add_argument("--first-seed", type=int, default=1)
    measure.add_argument(
        "--until", type=float, default=0, help="end of the day, in seconds"
    )
    measure.add_argument("--jobs", type=int, default=4)
    measure.add_argument("--only", action="append", default=[])
    measure.add_argument("--work", required=True, help="folder for the copies")
    measure.add_argument("--out", required=True)
    measure.set_defaults(run=_measure)
    table = commands.add_parser("table", help="print results as a table")
    table.add_argument("results")
    table.set_defaults(run=_table)
    plot = commands.add_parser("plot", help="plot results")
    plot.add_argument("results")
    plot.add_argument("--out", required=True)
    plot.set_defaults(run=_plot)
    return parser


if __name__ == "__main__":
    _options = _parser().parse_args()
    sys.exit(_options.run(_options))
