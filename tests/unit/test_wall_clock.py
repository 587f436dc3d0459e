"""The wall clock is used for log timestamps only, never for decisions.

The clocks of VMs may be stepped at any time, by hours. Comparisons between VMs
use versions, fences and monotonic clocks instead.
"""

import ast
import pathlib

import pytest

from swiftstile import clocks

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PRODUCT = sorted((_ROOT / "src/swiftstile/gateway").rglob("*.py")) + sorted(
    (_ROOT / "platform").rglob("*.py")
)
# Number of permitted uses by module: the timestamp of log lines about requests.
_ALLOWED_USES = {"decision_log.py": 1}
_WALL_CLOCK_FUNCTIONS = {
    ("clocks", "wall_ms"),
    ("time", "time"),
    ("time", "time_ns"),
    ("time", "localtime"),
    ("time", "gmtime"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("datetime", "today"),
}


def _qualified_name(node: ast.Attribute) -> tuple[str, str]:
    value = node.value
    owner = value.attr if isinstance(value, ast.Attribute) else ""
    return (value.id if isinstance(value, ast.Name) else owner, node.attr)


def _count_uses(path: pathlib.Path) -> int:
    return sum(
        isinstance(node, ast.Attribute)
        and _qualified_name(node) in _WALL_CLOCK_FUNCTIONS
        for node in ast.walk(ast.parse(path.read_text()))
    )


@pytest.mark.parametrize("path", _PRODUCT, ids=lambda path: path.name)
def test_wall_clock_is_not_used_for_decisions(path):
    assert _count_uses(path) == _ALLOWED_USES.get(path.name, 0)


def test_uses_are_counted(tmp_path):
    path = tmp_path / "module.py"
    path.write_text("import time\nx = time.time() + clocks.wall_ms()\n")
    assert _count_uses(path) == 2


def test_monotonic_clock_advances_when_wall_clock_is_stepped(monkeypatch):
    before = clocks.monotonic()
    monkeypatch.setattr(clocks.time, "time_ns", lambda: 0)
    assert clocks.wall_ms() == 0
    assert clocks.monotonic() >= before
