"""The time of day decides nothing: only log lines say it.

Clocks of VMs may be set at any time, by hours. What must be compared between
VMs goes by versions, fences and steady clocks.
"""

import ast
import pathlib

import pytest

from swiftstile import clocks

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PRODUCT = sorted((_ROOT / "src/swiftstile/gateway").rglob("*.py")) + sorted(
    (_ROOT / "platform").rglob("*.py")
)
# The one module that may ask for the time of day, and what for: its stamp in a
# line about a request.
_ALLOWED = {"decisions.py": 1}
_TIMES_OF_DAY = {
    ("clocks", "wall_ms"),
    ("time", "time"),
    ("time", "time_ns"),
    ("time", "localtime"),
    ("time", "gmtime"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("datetime", "today"),
}


def _names_of(node: ast.Attribute) -> tuple[str, str]:
    value = node.value
    owner = value.attr if isinstance(value, ast.Attribute) else ""
    return (value.id if isinstance(value, ast.Name) else owner, node.attr)


def _uses(path: pathlib.Path) -> int:
    return sum(
        isinstance(node, ast.Attribute) and _names_of(node) in _TIMES_OF_DAY
        for node in ast.walk(ast.parse(path.read_text()))
    )


@pytest.mark.parametrize("path", _PRODUCT, ids=lambda path: path.name)
def test_no_decision_asks_for_the_time_of_day(path):
    assert _uses(path) == _ALLOWED.get(path.name, 0)


def test_uses_are_found(tmp_path):
    path = tmp_path / "module.py"
    path.write_text("import time\nx = time.time() + clocks.wall_ms()\n")
    assert _uses(path) == 2


def test_steady_time_goes_on_while_the_clock_of_day_jumps(monkeypatch):
    before = clocks.monotonic()
    monkeypatch.setattr(clocks.time, "time_ns", lambda: 0)
    assert clocks.wall_ms() == 0
    assert clocks.monotonic() >= before
