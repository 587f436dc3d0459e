"""Checks that names of the users' platform are used only in its adapter.

Usage: `python tools/check_boundary.py FOLDER...`; exits 1 if any file fails.
Names of headers, paths and fields of that platform's protocol are allowed in
the adapter (`platform/`) and its tests only.
"""

import pathlib
import re
import sys

_PLATFORM_NAMES = re.compile(
    r"X-(Attempt-Id|Deadline-Ms|Expect-Instance|Instance-(Id|Load)|Shard-Key"
    r"|Not-Executed|Server-Signature|Handover)"
    r"|Server-(Limit|Leaving)|Store-Era"
    r"|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)"
    r"|\b(hold_time|cold_remaining|traffic_split|entry_type|tombstone)\b"
)


def find_errors(path: pathlib.Path) -> list[str]:
    """Returns a message for each line that uses a name of the platform."""
    lines = path.read_text().splitlines()
    return [
        f"{path}:{number}: {found[0]} belongs in the adapter"
        for number, line in enumerate(lines, 1)
        if (found := _PLATFORM_NAMES.search(line))
    ]


def main() -> int:
    """Checks all Python files below the given folders."""
    files = [
        path
        for name in sys.argv[1:]
        for path in pathlib.Path(name).rglob("*.py")
        if path.name != pathlib.Path(__file__).name
    ]
    found = [line for path in sorted(files) for line in find_errors(path)]
    print(
        "\n".join(found) or f"{len(files)} files use no names of the platform"
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
