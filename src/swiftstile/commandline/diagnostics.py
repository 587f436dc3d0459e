"""Commands that inspect a running system, its audit trail or its logs."""

import asyncio
import pathlib

import aiohttp
import msgspec

from swiftstile import explain
from swiftstile import ids
from swiftstile import settings as settings_lib
from swiftstile.commandline import shared
from swiftstile.ownership import assignment_store

__all__ = ["add"]


def add(commands) -> None:
    """Adds the commands `status`, `audit` and `explain`."""
    _add_status_and_audit(commands)
    _add_explain(commands)


def _add_status_and_audit(commands) -> None:
    status = commands.add_parser(
        "status", help="show the status of this VM's daemons, or of others"
    )
    status.add_argument("organisation")
    status.add_argument(
        "--address",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="metrics address of a daemon; may be repeated (default: this"
        " VM's daemons, from the settings)",
    )
    status.set_defaults(run=_status)
    audit = commands.add_parser("audit", help="print the audit trail")
    audit.add_argument("organisation")
    audit.add_argument("--actor", help="show only entries of this operator")
    audit.add_argument("--action", help="show only entries of this action")
    audit.add_argument(
        "--ownership",
        metavar="SERVICE",
        help="show ownership changes of this service instead of bundle changes",
    )
    audit.set_defaults(run=_audit)
    for command in (status, audit):
        shared.add_settings(command)
        shared.add_json(command)


def _add_explain(commands) -> None:
    text = "show the trace of one request from the log files of any VMs"
    command = commands.add_parser("explain", help=text, description=text)
    command.add_argument(
        "request",
        help="id that the caller gave the attempt, or digest of a request",
    )
    command.add_argument("file", type=pathlib.Path, nargs="+", help="log file")
    command.add_argument("--json", action="store_true", help="print JSON")
    command.set_defaults(run=_explain)


def _explain(args) -> int:
    trace = explain.find(args.request, args.file)
    return shared.print_result(args, trace, explain.render(trace))


def _audit(args) -> int:
    if args.ownership is not None:
        return _audit_ownership(args)
    organisation = ids.OrganisationId(args.organisation)
    entries = shared.with_platform(
        args, lambda components: components.queries().audit(organisation)
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
    return shared.print_result(args, chosen, "\n".join(lines) or "no entries")


def _audit_ownership(args) -> int:
    service = ids.ServiceId(
        ids.OrganisationId(args.organisation), ids.ServiceName(args.ownership)
    )
    changes = shared.with_platform(
        args,
        lambda components: assignment_store.ownership_changes(
            components.table, service
        ),
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
    return shared.print_result(args, chosen, "\n".join(lines) or "no changes")


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
    shared.print_result(
        args, dict(zip(addresses, states, strict=True)), "\n".join(lines)
    )
    return shared.EXIT_OK if all(states) else shared.EXIT_UNAVAILABLE


async def _fetch_status(session, address: str) -> dict | None:
    try:
        async with session.get(f"http://{address}/status") as response:
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
        return None


def _status_line(address: str, state: dict | None) -> str:
    if state is None:
        return f"{address}  no response"
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
