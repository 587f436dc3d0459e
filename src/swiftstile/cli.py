"""The command line: daemons, bundles, and looks at a running system."""

import argparse
import asyncio
import collections.abc
import getpass
import pathlib
import signal
import sys

import aiohttp
import msgspec
import uvloop

import swiftstile
from swiftstile import errors
from swiftstile import explain
from swiftstile import ids
from swiftstile import logs
from swiftstile import settings as settings_lib
from swiftstile import telemetry
from swiftstile import wiring
from swiftstile.bundles import model
from swiftstile.daemons import inspection
from swiftstile.gateway import settings as gateway_settings
from swiftstile.ownership import documents

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

_EPILOG = """exit status:
  0  done
  1  failed: the message says at which step and peer
  2  the command line, a settings file or a bundle is wrong
  3  conflict: another operator was first; nothing was changed
  4  the platform doesn't answer, or its answer was lost
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
        return EXIT_FAILED


def _exit_status(error: errors.SwiftstileError) -> int:
    if isinstance(error, (errors.SettingsError, errors.BundleError)):
        return EXIT_USAGE
    if isinstance(error, errors.ConflictError):
        return EXIT_CONFLICT
    if isinstance(error, errors.PlatformError):
        return EXIT_UNAVAILABLE
    return EXIT_FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="swiftstile",
        description="A router for servers that own keys exclusively.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=swiftstile.__version__
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemons(commands)
    _add_check(commands)
    _add_bundle(commands)
    _add_looks(commands)
    _add_explain(commands)
    return parser


def _add_daemons(commands) -> None:
    for name, run, text in (
        ("router", _run_router, "route requests of callers to owners"),
        ("coordinator", _run_coordinator, "take part in giving out ownership"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        _add_settings(command)
        command.set_defaults(run=run)


def _add_check(commands) -> None:
    for name, load, kind in (
        ("check-settings", settings_lib.load, "router and coordinator"),
        ("check-gateway", gateway_settings.load, "gateway"),
    ):
        text = f"check a settings file of {kind}, say all that is wrong"
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("file", type=pathlib.Path, help="an INI file")
        command.set_defaults(run=_check_settings, load=load)


def _add_explain(commands) -> None:
    text = "tell the story of one request from log files of any VMs"
    command = commands.add_parser("explain", help=text, description=text)
    command.add_argument("request", help="the caller's id of the attempt")
    command.add_argument("file", type=pathlib.Path, nargs="+", help="a log")
    command.add_argument("--json", action="store_true", help="for programs")
    command.set_defaults(run=_explain)


def _add_bundle(commands) -> None:
    text = "approve, roll, retire and look at bundles"
    bundle = commands.add_parser("bundle", help=text, description=text)
    verbs = bundle.add_subparsers(required=True, metavar="VERB")
    approve = verbs.add_parser("approve", help="store a bundle as a version")
    approve.add_argument("file", type=pathlib.Path, help="an INI file")
    approve.add_argument(
        "--dry-run", action="store_true", help="only check the file"
    )
    approve.set_defaults(run=_approve)
    for name, run, text in (
        ("roll", _roll, "put an approved version in force"),
        ("retire", _retire, "mark a version as never to be rolled"),
    ):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("organisation")
        verb.add_argument("bundle_version", type=int, metavar="VERSION")
        verb.set_defaults(run=run)
    show = verbs.add_parser("show", help="print the bundle in force")
    listing = verbs.add_parser("list", help="list all versions")
    for verb, run in ((show, _show), (listing, _list)):
        verb.add_argument("organisation")
        verb.set_defaults(run=run)
    for verb in verbs.choices.values():
        _add_settings(verb)
        _add_json(verb)
        verb.add_argument(
            "--operator",
            default=getpass.getuser(),
            help="who acts, for the audit trail (default: login name)",
        )


def _add_looks(commands) -> None:
    status = commands.add_parser(
        "status", help="show the state of this VM's daemons, or of others"
    )
    status.add_argument("organisation")
    status.add_argument(
        "--address",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="a daemon's metrics address; may be repeated (default: this"
        " VM's own, from the settings)",
    )
    status.set_defaults(run=_status)
    audit = commands.add_parser("audit", help="print the audit trail")
    audit.add_argument("organisation")
    audit.add_argument("--actor", help="only entries of one operator")
    audit.add_argument("--action", help="only entries of one action")
    audit.add_argument(
        "--ownership",
        metavar="SERVICE",
        help="changes of ownership of a service instead of bundles",
    )
    audit.set_defaults(run=_audit)
    for command in (status, audit):
        _add_settings(command)
        _add_json(command)


def _add_settings(command) -> None:
    command.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="settings of this process (INI)",
    )


def _add_json(command) -> None:
    command.add_argument(
        "--json", action="store_true", help="print JSON for programs"
    )


def _run_router(args) -> int:
    settings = settings_lib.load(args.settings)
    _require(settings.router, "router", args.settings)
    return _run_daemon(settings, "router", settings.router.metrics)


def _run_coordinator(args) -> int:
    settings = settings_lib.load(args.settings)
    _require(settings.coordinator, "coordinator", args.settings)
    return _run_daemon(settings, "coordinator", settings.coordinator.metrics)


def _require(section, name: str, path: pathlib.Path) -> None:
    if section is None:
        raise errors.SettingsError(
            f"[{name}]: section missing", step="check settings", peer=str(path)
        )


def _run_daemon(settings, role: str, inspect_address: str) -> int:
    vm = settings.vm
    logs.configure(settings.log, role=role, vm=vm.id)

    async def run() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        parts = wiring.Wiring(settings)
        daemon = getattr(parts, role)()
        runner = None
        if inspect_address:
            runner = await inspection.start(
                inspect_address, daemon, telemetry.page
            )
        try:
            await daemon.run(stopping)
        finally:
            if runner is not None:
                await runner.cleanup()
            await parts.close()

    uvloop.run(run())
    return EXIT_OK


def _explain(args) -> int:
    story = explain.find(args.request, args.file)
    return _print(args, story, explain.render(story))


def _check_settings(args) -> int:
    args.load(args.file)
    print(f"{args.file}: ok")
    return EXIT_OK


def _with_platform(args, work) -> object:
    """Runs `work(parts)` with the platform of the settings file."""
    settings = settings_lib.load(args.settings)

    async def run():
        parts = wiring.Wiring(settings)
        try:
            return await work(parts)
        finally:
            await parts.close()

    return asyncio.run(run())


def _print(args, document: object, text: str) -> int:
    if args.json:
        print(msgspec.json.encode(document).decode())
    else:
        print(text)
    return EXIT_OK


def _approve(args) -> int:
    try:
        text = args.file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BundleError(
            f"can't be read: {error}", step="read bundle", peer=str(args.file)
        ) from error
    bundle = model.parse(text, str(args.file))
    if args.dry_run:
        return _print(args, bundle, f"{args.file}: ok")
    version = _with_platform(
        args, lambda parts: parts.commands(args.operator).approve(bundle)
    )
    document = {"organisation": bundle.organisation, "version": version}
    return _print(args, document, f"approved as version {version}")


def _roll(args) -> int:
    return _change(args, "roll", "rolled")


def _retire(args) -> int:
    return _change(args, "retire", "retired")


def _change(args, verb: str, done: str) -> int:
    organisation = ids.OrganisationId(args.organisation)
    version = ids.BundleVersion(args.bundle_version)

    async def work(parts: wiring.Wiring):
        command = getattr(parts.commands(args.operator), verb)
        await command(organisation, version)

    _with_platform(args, work)
    document = {"organisation": organisation, "version": version}
    return _print(args, document, f"{done} version {version}")


def _show(args) -> int:
    organisation = ids.OrganisationId(args.organisation)

    async def work(parts: wiring.Wiring):
        queries = parts.queries()
        head = await queries.head(organisation)
        body = await queries.body(head.digest) if head.digest else None
        return head, body

    head, body = _with_platform(args, work)
    text = f"{organisation}: version {head.in_force} in force"
    for name, spec in (body.services if body else {}).items():
        text += f"\n  {name}: {spec.ownership.value}, {spec.upstream_group}"
    return _print(args, {"head": head, "bundle": body}, text)


def _list(args) -> int:
    organisation = ids.OrganisationId(args.organisation)
    versions = _with_platform(
        args, lambda parts: parts.queries().versions(organisation)
    )
    lines = [
        f"{entry.version:>6}  {entry.state.value:<10}  {entry.approved_by}"
        for entry in versions
    ]
    return _print(args, versions, "\n".join(lines) or "no versions")


def _audit(args) -> int:
    if args.ownership is not None:
        return _audit_ownership(args)
    organisation = ids.OrganisationId(args.organisation)
    entries = _with_platform(
        args, lambda parts: parts.queries().audit(organisation)
    )
    chosen = [
        entry
        for entry in entries
        if args.actor in (None, entry.actor)
        and args.action in (None, entry.action)
    ]
    lines = [
        f"{e.number:>6}  {e.at_ms}  {e.actor}  {e.action}  {e.subject}"
        f"  {e.outcome}  {e.before} -> {e.after}"
        for e in chosen
    ]
    return _print(args, chosen, "\n".join(lines) or "no entries")


def _audit_ownership(args) -> int:
    service = ids.ServiceId(
        ids.OrganisationId(args.organisation), ids.ServiceName(args.ownership)
    )
    changes = _with_platform(
        args, lambda parts: documents.changes(parts.table, service)
    )
    chosen = [
        change
        for change in changes
        if args.actor in (None, change.actor)
        and args.action in (None, change.reason)
    ]
    lines = [
        f"{c.version:>6}  {c.at_ms}  {c.actor}  epoch {c.epoch}  {c.reason}"
        f"  {c.moved} slices, {c.share:.2%} of keys"
        f"  {', '.join(c.sources)} -> {', '.join(c.targets)}"
        for c in chosen
    ]
    return _print(args, chosen, "\n".join(lines) or "no changes")


def _status(args) -> int:
    settings = settings_lib.load(args.settings)
    own = [
        section.metrics
        for section in (settings.router, settings.coordinator)
        if section is not None and section.metrics
    ]
    addresses = args.address or own

    async def gather():
        timeout = aiohttp.ClientTimeout(total=2)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return await asyncio.gather(
                *(_fetch_status(session, address) for address in addresses)
            )

    states = asyncio.run(gather())
    lines = [
        _status_line(*pair) for pair in zip(addresses, states, strict=True)
    ]
    _print(args, dict(zip(addresses, states, strict=True)), "\n".join(lines))
    return EXIT_OK if all(states) else EXIT_UNAVAILABLE


async def _fetch_status(session, address: str) -> dict | None:
    try:
        async with session.get(f"http://{address}/status") as response:
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
        return None


def _status_line(address: str, state: dict | None) -> str:
    if state is None:
        return f"{address}  no answer"
    platform = "reachable" if state["platform_reachable"] else "UNREACHABLE"
    lines = [
        f"{address}  {state['vm']} ({state['failure_domain']})"
        f"  platform {platform}  bundles {state['bundles']}"
    ]
    for service, entry in state["services"].items():
        fields = ", ".join(f"{k} {v}" for k, v in entry.items())
        lines.append(f"    {service}: {fields}")
    refusals = state["meters"]["refusals"]
    if refusals:
        lines.append(f"    refused: {refusals}")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
