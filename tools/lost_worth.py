"""Breaks down by cause the worth that a simulation lost.

    python tools/lost_worth.py play.log --report report.json \
        --objective SERVICE=MILLISECONDS ...

`play.log` holds the log lines of all VMs, as the bench prints them with
`--log all`; the report holds the outcomes that callers saw. Late answers are
classified by where the time was spent, refusals and failures by the reason of
each attempt. A caller that retries is one loss but several attempts, so the
losses of each kind are divided in proportion to the attempts.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import sys

__all__ = ["LogLine", "Losses", "read"]

# A late answer that spent more than this part of its time queued is classified
# as having waited for a slot.
_QUEUED_PART_OF_LATE = 0.5
# Worth of a late answer relative to one in time; the same for all classes of
# the report.
LATE_WORTH = 0.5
_WINDOW_S = 4
_CAUSES_SHOWN = 2


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A log line about a request."""

    at_s: float
    fields: dict


def read(path: pathlib.Path) -> list[LogLine]:
    """Returns the lines about requests; skips all others."""
    lines = []
    for text in path.read_text(errors="replace").splitlines():
        head, brace, tail = text.partition("{")
        columns = head.split()
        if not brace or len(columns) != 2:
            continue
        try:
            fields, at_s = json.loads(brace + tail), float(columns[0])
        except ValueError:
            continue
        if "id" in fields:
            lines.append(LogLine(at_s, fields))
    return lines


class Losses:
    """Counts of late, refused and failed attempts, by cause.

    Args:
        objective_ms: Objective of each service, in milliseconds.
    """

    def __init__(self, objective_ms: dict[str, float]):
        self._objective_ms = objective_ms
        self._sent: dict[str, dict] = {}
        self.late: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        # Losses of all kinds, by start of the window in seconds.
        self.by_window: dict[int, collections.Counter[str]] = {}

    def record(self, line: LogLine) -> None:
        """Counts one line; the lines of a request must be in order."""
        fields = line.fields
        if fields["event"] == "sent":
            self._sent.setdefault(fields["id"], fields)
        elif fields["event"] == "answered":
            self._record_answered(line)
        elif fields["event"] == "refused":
            self._count(self.refused, _reason(fields), line)
        elif fields["event"] in ("failed", "abandoned"):
            self._count(self.failed, _reason(fields), line)

    def _record_answered(self, line: LogLine) -> None:
        fields = line.fields
        first = self._sent.pop(fields["id"], None)
        objective_ms = self._objective_ms.get(fields["service"])
        waited_ms = fields.get("waited_ms", 0)
        if objective_ms is None or waited_ms <= objective_ms:
            return
        queued_ms = (first or {}).get("waited_ms", 0)
        occupied = (first or {}).get("occupied", 0)
        if queued_ms > _QUEUED_PART_OF_LATE * waited_ms:
            cause = "waited for a slot"
        elif occupied > 2:
            cause = "queued at its upstream"
        else:
            cause = "worked on for long"
        self._count(self.late, f"late: {cause}", line)

    def _count(self, counter, cause: str, line: LogLine) -> None:
        counter[cause] += 1
        window = int(line.at_s // _WINDOW_S * _WINDOW_S)
        windows = self.by_window.setdefault(window, collections.Counter())
        windows[cause] += 1


def _reason(fields: dict) -> str:
    if fields["event"] == "abandoned":
        return "caller left"
    kind, _, text = fields.get("reason", "?").partition(":")
    if kind == "overloaded":
        if "no owner" in text:
            return "refused: key without owner"
        when = "after a wait" if fields.get("waited_ms", 0) > 20 else "at once"
        return f"refused: no slot, {when}"
    return f"{fields['event']}: {kind}"


def _shares(lost: float, counter: collections.Counter[str]) -> dict:
    total = sum(counter.values())
    return {
        cause: lost * count / total for cause, count in counter.items() if total
    }


def _print_causes(report: dict, losses: Losses) -> None:
    totals = report["all"]
    lost = sum(entry["n"] * (1 - entry["worth"]) for entry in report["classes"])
    causes = _shares((1 - LATE_WORTH) * totals["late"], losses.late)
    causes |= _shares(totals["refused"], losses.refused)
    failed = _shares(totals["failed"], losses.failed)
    for cause, part in failed.items():
        causes[cause] = causes.get(cause, 0.0) + part
    print("| cause | lost, in requests | share |")
    print("|---|---|---|")
    for cause, part in sorted(causes.items(), key=lambda item: -item[1]):
        print(f"| {cause} | {part:.0f} | {part / lost:.3f} |")
    explained = sum(causes.values())
    print(f"| total, of {lost:.0f} | | {explained / lost:.3f} |")


def _print_windows(losses: Losses) -> None:
    print()
    print("| from second | attempts late, refused or failed | main causes |")
    print("|---|---|---|")
    for window, counter in sorted(losses.by_window.items()):
        causes = ", ".join(
            f"{cause} {count}"
            for cause, count in counter.most_common(_CAUSES_SHOWN)
        )
        print(f"| {window} | {sum(counter.values())} | {causes} |")


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
        losses.record(line)
    _print_causes(json.loads(options.report.read_text()), losses)
    _print_windows(losses)
    return 0


if __name__ == "__main__":
    sys.exit(_main())
