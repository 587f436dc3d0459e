"""Classification of log lines by `tools/lost_worth.py`."""

import json
import pathlib

import pytest

from tools import lost_worth


def _line(event: str, **told) -> lost_worth.Line:
    return lost_worth.Line(1.0, {"id": "a", "event": event, **told})


@pytest.mark.parametrize(
    ("queued_ms", "occupied", "cause"),
    [
        (180, 2, "late: waited for a slot"),
        (10, 4, "late: queued at its upstream"),
        (10, 1, "late: worked on for long"),
    ],
)
def test_late_answers_by_where_their_time_went(queued_ms, occupied, cause):
    losses = lost_worth.Losses({"s": 200.0})
    losses.note(_line("sent", waited_ms=queued_ms, occupied=occupied))
    losses.note(_line("answered", service="s", waited_ms=250))
    losses.note(_line("answered", service="s", waited_ms=150))
    assert losses.late == {cause: 1}


@pytest.mark.parametrize(
    ("told", "cause"),
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
def test_refusals_by_their_reason(told, cause):
    losses = lost_worth.Losses({})
    losses.note(_line("refused", **told))
    assert losses.refused == {cause: 1}
    assert losses.by_window == {0: {cause: 1}}


def test_other_lines_are_passed_over(tmp_path: pathlib.Path):
    path = tmp_path / "play.log"
    line = {"id": "a", "event": "sent"}
    path.write_text(
        f'a table {{x\n  1.5 vm-1 {json.dumps(line)}\n 2 vm-1 {{"event":"x"}}\n'
    )
    assert lost_worth.read(path) == [lost_worth.Line(1.5, line)]
