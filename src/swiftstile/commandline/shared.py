"""Helpers of commands: options, output, exit statuses, platform access."""

import asyncio
import pathlib

import msgspec

from swiftstile import settings as settings_lib
from swiftstile import wiring

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_UNAVAILABLE",
    "EXIT_USAGE",
    "add_json",
    "add_settings",
    "print_result",
    "with_platform",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


def add_settings(command) -> None:
    """Adds the option for the settings file."""
    command.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="settings file of this process (INI)",
    )


def add_json(command) -> None:
    """Adds the option for JSON output."""
    command.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )


def with_platform(args, operation) -> object:
    """Runs `operation` with the components built from the settings file."""
    settings = settings_lib.load(args.settings)

    async def run():
        components = wiring.Wiring(settings)
        try:
            return await operation(components)
        finally:
            await components.close()

    return asyncio.run(run())


def print_result(args, document: object, text: str) -> int:
    """Prints a document as JSON or as text, and returns the exit status."""
    if args.json:
        print(msgspec.json.encode(document).decode())
    else:
        print(text)
    return EXIT_OK
