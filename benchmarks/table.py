"""Renders the result table of the demo."""

from benchmarks import measures

__all__ = ["is_clean", "render"]

_VIOLATIONS = {
    "lost": "protected requests answered but run by no server",
    "doubled": "protected actions that ran more than once",
    "crossed": "answers that were for another request, or partial",
    "two_owner_intervals": "times that two servers owned a key at once",
    "false_not_run": "requests reported as not run that did run",
}


def is_clean(report: measures.Report) -> bool:
    """Returns whether requests were answered and no guarantee was violated."""
    return report.answered > 0 and not any(
        getattr(report, name) for name in _VIOLATIONS
    )


def render(report: measures.Report) -> str:
    """Returns the table as text."""
    latency, gap = report.latency_ms, report.unavailable_s
    rows = [
        ("requests", report.requests),
        ("  answered", report.answered),
        ("  refused, not run", report.refused_not_run),
        ("  outcome unknown", report.unknown),
        ("latency p50 / p99, ms", f"{latency.p50} / {latency.p99}"),
        ("imbalance, busiest / mean", report.imbalance),
        ("churn, keys that changed owner", report.churn_keys),
        ("unavailable p50 / max, s", f"{gap.p50} / {gap.max}"),
        ("control, bytes/s per VM", report.control_bytes_per_s),
        ("control, % of a core per VM", report.control_cpu_percent),
    ]
    lines = [f"{report.organisation}: one server killed under load", ""]
    lines += [f"  {name:<34}{value}" for name, value in rows]
    lines += ["", "  must be zero, by journals and callers' records:"]
    for name, text in _VIOLATIONS.items():
        lines.append(f"  {getattr(report, name):>6}  {text}")
    lines.append("")
    lines.append("  " + ("passed" if is_clean(report) else "FAILED"))
    return "\n".join(lines)
