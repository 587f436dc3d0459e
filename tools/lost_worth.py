"""Tells where the worth of a play went, from the gateways' lines.

    python tools/lost_worth.py play.log --report report.json \
        --objective SERVICE=MILLISECONDS ...

`play.log` holds lines of all VMs, as a play with `--log all` prints them; the
report says what callers got. Late answers are divided by where their time went,
refusals and failures by the reason of the tries. A caller that came back is one
loss but several tries, so the losses of a kind are shared out by its tries.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import sys

__all__ = ["Line", "Losses", "read"]

# Part of the time of a late answer that makes a cause the main one.
_MAIN_PART = 0.5
# What a late answer is worth to its caller, of one in time; by the report's
# classes, where it is the same for all.
LATE_WORTH = 0.5
_WINDOW_S = 4
_CLASS_WINDOW = 2


@dataclasses.dataclass(frozen=True)
class Line:
    """One line about a request: when, and what it says."""

    at_s: float
    told: dict


def read(path: pathlib.Path) -> list[Line]:
    """Returns the lines about requests; others are passed over."""
    found = []
    for text in path.read_text(errors="replace").splitlines():
        head, brace, tail = text.partition("{")
        words = head.split()
        if not brace or len(words) != 2:
            continue
        try:
            told, at_s = json.loads(brace + tail), float(words[0])
        except ValueError:
            continue
        if "id" in told:
            found.append(Line(at_s, told))
    return found


class Losses:
    """Tries that were late, refused or failed, by cause.

    Args:
        objective_ms: Objective of each service, in milliseconds.
    """

    def __init__(self, objective_ms: dict[str, float]):
        self._objective_ms = objective_ms
        self._sent: dict[str, dict] = {}
        self.late: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        # Losses of all kinds, by window.
        self.by_window: dict[int, collections.Counter[str]] = {}

    def note(self, line: Line) -> None:
        """Takes in one line; those of a request have to come in order."""
        told = line.told
        if told["event"] == "sent":
            self._sent.setdefault(told["id"], told)
        elif told["event"] == "answered":
            self._note_answered(line)
        elif told["event"] == "refused":
            self._count(self.refused, _reason(told), line)
        elif told["event"] in ("failed", "abandoned"):
            self._count(self.failed, _reason(told), line)

    def _note_answered(self, line: Line) -> None:
        told = line.told
        first = self._sent.pop(told["id"], None)
        objective_ms = self._objective_ms.get(told["service"])
        waited_ms = told.get("waited_ms", 0)
        if objective_ms is None or waited_ms <= objective_ms:
            return
        queued_ms = (first or {}).get("waited_ms", 0)
        occupied = (first or {}).get("occupied", 0)
        if queued_ms > _MAIN_PART * waited_ms:
            cause = "waited for a slot"
        elif occupied > 2:
            cause = "queued at its upstream"
        else:
            cause = "worked on for long"
        self._count(self.late, f"late: {cause}", line)

    def _count(self, counter, cause: str, line: Line) -> None:
        counter[cause] += 1
        window = int(line.at_s // _WINDOW_S * _WINDOW_S)
        windows = self.by_window.setdefault(window, collections.Counter())
        windows[cause] += 1


def _reason(told: dict) -> str:
    if told["event"] == "abandoned":
        return "caller left"
    kind, _, text = told.get("reason", "?").partition(":")
    if kind == "overloaded":
        if "no owner" in text:
            return "refused: key without owner"
        when = "after a wait" if told.get("waited_ms", 0) > 20 else "at once"
        return f"refused: no slot, {when}"
    return f"{told['event']}: {kind}"


def _shares(lost: float, counter: collections.Counter[str]) -> dict:
    total = sum(counter.values())
    return {
        cause: lost * count / total for cause, count in counter.items() if total
    }


def _print_causes(report: dict, losses: Losses) -> None:
    everyone = report["all"]
    lost = sum(entry["n"] * (1 - entry["worth"]) for entry in report["classes"])
    causes = _shares((1 - LATE_WORTH) * everyone["late"], losses.late)
    causes |= _shares(everyone["refused"], losses.refused)
    failed = _shares(everyone["failed"], losses.failed)
    for cause, part in failed.items():
        causes[cause] = causes.get(cause, 0.0) + part
    print("| cause | lost, in requests | part |")
    print("|---|---|---|")
    for cause, part in sorted(causes.items(), key=lambda item: -item[1]):
        print(f"| {cause} | {part:.0f} | {part / lost:.3f} |")
    explained = sum(causes.values())
    print(f"| all of these, of {lost:.0f} | | {explained / lost:.3f} |")


def _print_windows(losses: Losses) -> None:
    print()
    print("| from second | tries late, refused or failed | most of them |")
    print("|---|---|---|")
    for window, counter in sorted(losses.by_window.items()):
        most = ", ".join(
            f"{cause} {count}"
            for cause, count in counter.most_common(_CLASS_WINDOW)
        )
        print(f"| {window} | {sum(counter.values())} | {most} |")


def _main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--report", type=pathlib.Path, required=True)
    parser.add_argument("--objective", action="append", default=[])
    options = parser.parse_args()
    objectives = {}
    for entry in options.objective:
        service, _, value = entry.partition("=")
        objectives[service] = float(value)
    losses = Losses(objectives)
    for line in read(options.log):
        losses.note(line)
    _print_causes(json.loads(options.report.read_text()), losses)
    _print_windows(losses)
    return 0


if __name__ == "__main__":
    sys.exit(_main())
