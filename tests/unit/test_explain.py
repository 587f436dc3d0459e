"""Request traces built from logs, and the rate limit of request logs."""

import json
import os

import pytest

from swiftstile import cli
from swiftstile import errors
from swiftstile import explain
from swiftstile.commandline import shared
from swiftstile.gateway import decision_log


def _log(path, *lines) -> None:
    texts = [
        line if isinstance(line, str) else json.dumps(line) for line in lines
    ]
    path.write_text("\n".join(texts) + "\n")


def _state(second: int, event: str, vm: str = "vm-1", **fields) -> dict:
    time = f"2026-12-02T20:00:{second:02d}.000+00:00"
    return {"time": time, "level": "INFO", "event": event, "vm": vm} | fields


# 2026-12-02T20:00:30 in milliseconds since the epoch.
_ARRIVED_MS = 1_796_241_630_000


def _decision(after_ms: int, event: str, vm: str = "vm-1", **fields) -> dict:
    return {
        "id": "a1",
        "event": event,
        "vm": vm,
        "at_ms": _ARRIVED_MS + after_ms,
    } | fields


@pytest.fixture
def files(tmp_path):
    one, two = tmp_path / "vm-1.log", tmp_path / "vm-2.log"
    _log(
        one,
        "a line in another format",
        _state(10, "configuration in force", version=3),
        _state(20, "configuration in force", version=4),
        _state(40, "configuration in force", version=5),
        _state(25, "upstream gone", upstream="u-1"),
        _state(25, "upstream gone", upstream="u-9"),
        _state(26, "upstreams unreachable", failed=5),
        _state(27, "table returned from an older copy", table="state"),
        _decision(900, "failed", reason="timeout", status=504),
        _decision(0, "sent", upstream="u-1"),
        {"event": "lines dropped", "count": 4},
    )
    _log(
        two,
        _state(28, "key map written", "vm-2", service="s", version=77),
        _state(29, "table lost", "vm-2", table="state"),
    )
    return [one, two]


def test_decisions_are_ordered_and_only_changes_in_force_are_shown(files):
    trace = explain.find("a1", files)
    assert [line["event"] for line in trace.decisions] == ["sent", "failed"]
    shown = {(c.event, c.fields.get("version")) for c in trace.changes}
    assert ("configuration in force", 4) in shown
    assert ("configuration in force", 3) not in shown
    assert ("configuration in force", 5) not in shown
    assert ("key map written", 77) in shown
    events = {change.event for change in trace.changes}
    assert "upstreams unreachable" in events
    assert "table returned from an older copy" in events
    gone = [c for c in trace.changes if c.event == "upstream gone"]
    assert [c.fields["upstream"] for c in gone] == ["u-1"]
    assert gone[0].age_s == pytest.approx(5.0)
    assert trace.dropped == 4


def test_error_for_unknown_request_states_number_of_dropped_lines(files):
    with pytest.raises(errors.LogError, match="4 lines were dropped"):
        explain.find("zz", files)


def test_error_names_missing_file(tmp_path):
    with pytest.raises(errors.LogError, match="nowhere"):
        explain.find("a1", [tmp_path / "nowhere"])


def test_command_prints_text_and_json(files, capsys):
    names = [str(path) for path in files]
    assert cli.main(["explain", "a1", *names]) == shared.EXIT_OK
    assert "timeout" in capsys.readouterr().out
    assert cli.main(["explain", "a1", "--json", *names]) == shared.EXIT_OK
    assert json.loads(capsys.readouterr().out)["id"] == "a1"
    assert cli.main(["explain", "zz", *names]) == shared.EXIT_FAILED


def _write_trace(lines, name: str, succeeded: bool) -> None:
    trace = decision_log.RequestTrace(lines)
    trace.add(decision_log.RequestDecision(id=name, event="sent"))
    trace.add(decision_log.RequestDecision(id=name, event="answered"))
    trace.finish(succeeded)


def _written(fd: int) -> list[dict]:
    return [json.loads(line) for line in os.read(fd, 1 << 20).splitlines()]


def test_failed_requests_take_precedence_over_successful_ones(monkeypatch):
    monkeypatch.setattr("swiftstile.clocks.monotonic", lambda: 5.0)
    reading, writing = os.pipe()
    lines = decision_log.BoundedLog(writing, max_lines_per_s=10)
    for number in range(20):
        _write_trace(lines, f"good-{number}", True)
    _write_trace(lines, "bad", False)
    lines.flush()
    written = _written(reading)
    names = [line["id"] for line in written if "id" in line]
    assert names.count("bad") == 2
    assert len(names) <= 10
    assert {"event": "lines dropped", "count": 34} in written


def test_stalled_reader_does_not_block_the_writer():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    lines = decision_log.BoundedLog(writing, max_lines_per_s=10**9)
    for number in range(30_000):
        _write_trace(lines, f"r-{number}", False)
        if number % 100 == 0:
            lines.flush()
    # The buffer for a stalled reader is bounded; dropped lines are counted.
    kept = len(lines._unwritten) + sum(map(len, lines._lines))
    assert kept < 2 * decision_log.MAX_UNWRITTEN_BYTES
    assert lines.dropped > 0
    os.close(reading)
    os.close(writing)


def test_contention_of_the_deciding_vm_precedes_a_refusal(tmp_path):
    # The queue is at the arbiter, and not at the VM that refused the caller.
    log = tmp_path / "all.log"
    _log(
        log,
        _state(
            20, "queue contention", "vm-9", queue="s/u-1", is_contended=True
        ),
        _state(
            21, "queue contention", "vm-9", queue="s/u-2", is_contended=True
        ),
        _state(
            22, "queue contention", "vm-3", queue="s/u-1", is_contended=True
        ),
        _decision(
            0,
            "refused",
            upstream="u-1",
            decided_by="vm-9",
            rule="arrival-late: 3 ahead at 20.0/s",
        ),
    )
    trace = explain.find("a1", [log])
    assert [(c.vm, c.fields["queue"]) for c in trace.changes] == [
        ("vm-9", "s/u-1")
    ]
    assert "rule arrival-late: 3 ahead" in explain.render(trace)


def test_a_digest_selects_what_all_vms_know_of_a_request(tmp_path):
    log = tmp_path / "vm-1.log"
    _log(
        log,
        _state(31, "request suspected of a crash", request="d1", crashes=1),
        _decision(500, "unanswered", request="d1", reason="caller-left"),
        _decision(600, "unanswered", request="d2", reason="timed-out"),
    )
    trace = explain.find("d1", [log])
    assert [line["event"] for line in trace.decisions] == [
        "unanswered",
        "request suspected of a crash",
    ]
    assert "+500 ms" in explain.render(trace)
