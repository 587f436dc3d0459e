"""Commands that approve, roll, retire and show bundles."""

import getpass
import pathlib

from swiftstile import errors
from swiftstile import ids
from swiftstile import wiring
from swiftstile.bundles import model
from swiftstile.commandline import shared

__all__ = ["add"]


def add(commands) -> None:
    """Adds the `bundle` command and its subcommands."""
    text = "approve, roll, retire and show bundles"
    bundle = commands.add_parser("bundle", help=text, description=text)
    verbs = bundle.add_subparsers(required=True, metavar="VERB")
    approve = verbs.add_parser("approve", help="store a bundle as a version")
    approve.add_argument("file", type=pathlib.Path, help="an INI file")
    approve.add_argument(
        "--dry-run",
        action="store_true",
        help="check the file without storing it",
    )
    approve.set_defaults(run=_approve)
    for name, run, text in (
        ("roll", _roll, "put an approved version in force"),
        ("retire", _retire, "exclude a version from being rolled"),
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
        shared.add_settings(verb)
        shared.add_json(verb)
        verb.add_argument(
            "--operator",
            default=getpass.getuser(),
            help="operator to record in the audit trail (default: login name)",
        )


def _approve(args) -> int:
    try:
        text = args.file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BundleError(
            f"can't read file: {error}", step="read bundle", peer=str(args.file)
        ) from error
    bundle = model.parse(text, str(args.file))
    if args.dry_run:
        return shared.print_result(args, bundle, f"{args.file}: ok")
    version = shared.with_platform(
        args,
        lambda components: components.commands(args.operator).approve(bundle),
    )
    document = {"organisation": bundle.organisation, "version": version}
    return shared.print_result(args, document, f"approved as version {version}")


def _roll(args) -> int:
    return _change(args, "roll", "rolled")


def _retire(args) -> int:
    return _change(args, "retire", "retired")


def _change(args, verb: str, done: str) -> int:
    organisation = ids.OrganisationId(args.organisation)
    version = ids.BundleVersion(args.bundle_version)

    async def operation(components: wiring.Wiring):
        command = getattr(components.commands(args.operator), verb)
        await command(organisation, version)

    shared.with_platform(args, operation)
    document = {"organisation": organisation, "version": version}
    return shared.print_result(args, document, f"{done} version {version}")


def _show(args) -> int:
    organisation = ids.OrganisationId(args.organisation)

    async def operation(components: wiring.Wiring):
        queries = components.queries()
        head = await queries.head(organisation)
        body = await queries.body(head.digest) if head.digest else None
        return head, body

    head, body = shared.with_platform(args, operation)
    text = f"{organisation}: version {head.in_force} in force"
    for name, spec in (body.services if body else {}).items():
        text += f"\n  {name}: {spec.ownership.value}, {spec.upstream_group}"
    return shared.print_result(args, {"head": head, "bundle": body}, text)


def _list(args) -> int:
    organisation = ids.OrganisationId(args.organisation)
    versions = shared.with_platform(
        args, lambda components: components.queries().versions(organisation)
    )
    lines = [
        f"{entry.version:>6}  {entry.state.value:<10}  {entry.approved_by}"
        for entry in versions
    ]
    return shared.print_result(
        args, versions, "\n".join(lines) or "no versions"
    )
