"""Checks that only modules are imported, not names defined in them.

Usage: `python tools/check_imports.py FOLDER...`; exits 1 if any file fails.
As in the Google Python Style Guide, typing and collections.abc are exempt.
"""

import ast
import importlib.util
import pathlib
import sys

_EXEMPT = {"typing", "collections.abc"}
# `logger` is loguru's whole interface.
_EXEMPT_NAMES = {("loguru", "logger")}


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def find_errors(path: pathlib.Path) -> list[str]:
    """Returns a message for each imported name that isn't a module."""
    errors = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in _EXEMPT:
            continue
        for alias in node.names:
            if (node.module, alias.name) in _EXEMPT_NAMES:
                continue
            if not _is_module(f"{node.module}.{alias.name}"):
                where = f"{path}:{node.lineno}"
                errors.append(f"{where}: {alias.name} isn't a module")
    return errors


def main() -> int:
    """Checks all Python files below the given folders."""
    sys.path.insert(0, str(pathlib.Path.cwd()))
    # The adapter is run from its own folder, which is then on the path.
    sys.path.insert(0, str(pathlib.Path.cwd() / "platform"))
    files = [
        path
        for name in sys.argv[1:]
        for path in pathlib.Path(name).rglob("*.py")
    ]
    errors = [line for path in sorted(files) for line in find_errors(path)]
    print("\n".join(errors) or f"{len(files)} files import modules only")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
