"""Classification of log lines by `tools/lost_worth.py`."""

import json
import pathlib

import pytest

from tools import lost_worth


def _line(event: str, **fields) -> lost_worth.LogLine:
    return lost_worth.LogLine(1.0, {"id": "a", "event": event, **fields})


@pytest.mark.parametrize(
    ("queued_ms", "occupied", "cause"),
    [
        (180, 2, "late: waited for a slot"),
        (10, 4, "late: queued at its upstream"),
        (10, 1, "late: worked on for long"),
    ],
)
def test_late_answers_are_classified_by_where_time_was_spent(
    queued_ms, occupied, cause
):
    losses = lost_worth.Losses({"s": 200.0})
    losses.record(_line("sent", waited_ms=queued_ms, occupied=occupied))
    losses.record(_line("answered", service="s", waited_ms=250))
    losses.record(_line("answered", service="s", waited_ms=150))
    assert losses.late == {cause: 1}


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"reason": "overloaded: no slot"}, "refused: no slot, at once"),
        (
            {"reason": "overloaded: no slot", "waited_ms": 80},
            "refused: no slot, after a wait",
        ),
        (
            {"reason": "overloaded: no owner of the key"},
            "refused: key without owner",
        ),
        ({"reason": "shed: full"}, "refused: shed"),
    ],
)
def test_refusals_are_classified_by_reason(fields, cause):
    losses = lost_worth.Losses({})
    losses.record(_line("refused", **fields))
    assert losses.refused == {cause: 1}
    assert losses.by_window == {0: {cause: 1}}


def test_other_lines_are_skipped(tmp_path: pathlib.Path):
    path = tmp_path / "play.log"
    line = {"id": "a", "event": "sent"}
    path.write_text(
        f'a table {{x\n  1.5 vm-1 {json.dumps(line)}\n 2 vm-1 {{"event":"x"}}\n'
    )
    assert lost_worth.read(path) == [lost_worth.LogLine(1.5, line)]
