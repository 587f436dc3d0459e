"""Reads INI text into typed sections and lists every fault at once."""

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
    """One thing wrong with one option of one section."""

    section: str
    option: str
    problem: str

    def __str__(self) -> str:
        option = f" {self.option}" if self.option else ""
        return f"[{self.section}]{option}: {self.problem}"


def read(path: pathlib.Path) -> configparser.ConfigParser:
    """Splits the text of a settings file into sections.

    Raises:
        SettingsError: The file can't be read, or isn't INI.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"can't be read: {error}", step="read settings", peer=str(path)
        ) from error
    return parse(text, str(path))


def parse(text: str, source: str) -> configparser.ConfigParser:
    """Splits INI text into sections.

    Args:
        text: The whole text.
        source: Name of the file, for errors.

    Raises:
        SettingsError: The text isn't INI.
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
    """Converts all sections that have a kind.

    Args:
        parser: The text, split into sections.
        kinds: The struct that describes each section, by its name.
        required: Sections that may not be missing.

    Returns:
        The sections that are there, by name, None for one with a fault; and all
        faults.
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
    """Returns the faults of values that a check doesn't take.

    Args:
        sections: The sections, by name.
        checks: Section, option, and what raises ValueError for a wrong value.
            An empty value and a missing section are right.
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
    """Raises an error that names all faults of a settings file, if any.

    Raises:
        SettingsError: There are faults.
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
        kind: The struct that describes the section. A tuple field is
            written as a list separated by commas.
        section: Name of the section, for faults.
        options: Text by option name.

    Returns:
        The section, or None when there is a fault, and all faults.
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
    """Whether a number is empty, as templates leave what they don't know."""
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
