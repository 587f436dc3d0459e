"""The command line: daemons, bundles and diagnostics."""

import argparse
import collections.abc
import sys

import swiftstile
from swiftstile import errors
from swiftstile.commandline import bundles
from swiftstile.commandline import daemons
from swiftstile.commandline import diagnostics
from swiftstile.commandline import shared

__all__ = ["main"]

_EPILOG = """exit status:
  0  success
  1  failure; the message names the step and the peer
  2  invalid command line, settings file or bundle
  3  conflict with another operator's change; nothing was changed
  4  the platform is unreachable, or its response was lost
"""


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Runs one command and returns the exit status."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except errors.SwiftstileError as error:
        print(f"swiftstile: {error}", file=sys.stderr)
        return _exit_status(error)
    except KeyboardInterrupt:
        return shared.EXIT_FAILED


def _exit_status(error: errors.SwiftstileError) -> int:
    if isinstance(error, (errors.SettingsError, errors.BundleError)):
        return shared.EXIT_USAGE
    if isinstance(error, errors.ConflictError):
        return shared.EXIT_CONFLICT
    if isinstance(error, errors.PlatformError):
        return shared.EXIT_UNAVAILABLE
    return shared.EXIT_FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="swiftstile",
        description="Request router for servers with exclusive key ownership.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=swiftstile.__version__
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for group in (daemons, bundles, diagnostics):
        group.add(commands)
    return parser


if __name__ == "__main__":
    sys.exit(main())
