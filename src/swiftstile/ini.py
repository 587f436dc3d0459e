"""Parses INI text into typed sections and reports all faults at once."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import configparser
import pathlib
import typing

import msgspec

from swiftstile import errors

__all__ = [
    "Fault",
    "invalid_values",
    "parse",
    "raise_for_faults",
    "read",
    "to_section",
    "to_sections",
]

T = typing.TypeVar("T", bound=msgspec.Struct)


class Fault(msgspec.Struct, frozen=True):
    """A problem with one section or option."""

    section: str
    option: str
    problem: str

    def __str__(self) -> str:
        option = f" {self.option}" if self.option else ""
        return f"[{self.section}]{option}: {self.problem}"


def read(path: pathlib.Path) -> configparser.ConfigParser:
    """Parses a settings file into sections.

    Raises:
        SettingsError: The file can't be read or isn't valid INI.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"can't read file: {error}", step="read settings", peer=str(path)
        ) from error
    return parse(text, str(path))


def parse(text: str, source: str) -> configparser.ConfigParser:
    """Parses INI text into sections.

    Args:
        text: The INI text.
        source: File name, for error messages.

    Raises:
        SettingsError: The text isn't valid INI.
    """
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",)
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise errors.SettingsError(
            first_line, step="parse", peer=source
        ) from error
    return parser


def to_sections(
    parser: configparser.ConfigParser,
    kinds: Mapping[str, type[msgspec.Struct]],
    required: Iterable[str],
) -> tuple[dict[str, msgspec.Struct | None], list[Fault]]:
    """Converts all sections that have a type.

    Args:
        parser: The parsed text.
        kinds: Struct type of each section, by section name.
        required: Names of mandatory sections.

    Returns:
        The sections present, by name, with None for a section that has faults;
        and all faults.
    """
    sections, faults = {}, []
    for name, kind in kinds.items():
        if parser.has_section(name):
            sections[name], found = to_section(kind, name, parser[name])
            faults += found
        elif name in required:
            faults.append(Fault(name, "", "section missing"))
    return sections, faults


def invalid_values(
    sections: Mapping[str, msgspec.Struct | None],
    checks: Iterable[tuple[str, str, Callable[[str], object]]],
) -> list[Fault]:
    """Returns a fault for each value that fails its check.

    Args:
        sections: The sections, by name.
        checks: Section, option, and a function that raises ValueError for an
            invalid value. Empty values and missing sections are valid.
    """
    faults = []
    for section, option, check in checks:
        value = getattr(sections.get(section), option, "")
        try:
            if value:
                check(value)
        except ValueError as error:
            faults.append(Fault(section, option, str(error)))
    return faults


def raise_for_faults(faults: list[Fault], path: pathlib.Path) -> None:
    """Raises an error that lists all faults of a settings file, if any.

    Raises:
        SettingsError: The list of faults isn't empty.
    """
    if faults:
        raise errors.SettingsError(
            "; ".join(map(str, faults)), step="check settings", peer=str(path)
        )


def to_section(
    kind: type[T], section: str, options: Mapping[str, str]
) -> tuple[T | None, list[Fault]]:
    """Converts the options of one section.

    Args:
        kind: Struct type of the section. Tuple fields are written as
            comma-separated lists.
        section: Name of the section, for faults.
        options: Values by option name, as text.

    Returns:
        The section, or None if there are faults; and all faults.
    """
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    faults = [
        Fault(section, option, f"unknown option; known: {', '.join(fields)}")
        for option in options
        if option not in fields
    ]
    values: dict[str, object] = {}
    for name, field in fields.items():
        if name in options and not _is_unset(field, options[name]):
            _convert(field, section, options[name], values, faults)
        elif field.required:
            expected = _expected(field.type)
            faults.append(Fault(section, name, f"missing; expected {expected}"))
    return (None, faults) if faults else (kind(**values), [])


def _is_unset(field, text: str) -> bool:
    """Whether an optional number is empty, as templates leave unset values."""
    is_number = _base_type(field.type) in (int, float)
    return is_number and not field.required and not text.strip()


def _convert(field, section, text, values, faults):
    value: object = text
    if _base_type(field.type) is tuple:
        value = [part.strip() for part in text.split(",") if part.strip()]
    try:
        values[field.name] = msgspec.convert(value, field.type, strict=False)
    except msgspec.ValidationError as error:
        problem = f"{error}; expected {_expected(field.type)}, got {text!r}"
        faults.append(Fault(section, field.encode_name, problem))


def _base_type(kind):
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    return typing.get_origin(kind) or kind


def _expected(kind) -> str:
    base = _base_type(kind)
    if base is tuple:
        return "a list separated by commas"
    if hasattr(base, "__members__"):
        return "one of " + ", ".join(member.value for member in base)
    names = {bool: "true or false", int: "a whole number", float: "a number"}
    return names.get(base, "text")
