"""Versions of the platform's store that grow also when the store goes back.

The store may return from an older copy of itself. Its own version numbers then
go back and are given out again, with other content. Each such return begins a
new *generation*, which the store numbers. A version here is the generation and
the store's number combined, so that it grows always: whatever was read in a
later generation is newer than everything of an earlier one.

Rows of a new generation may nevertheless have older content than rows known
from the one before. What to believe then depends on the row: see `follow.py`
(`is_returning`) and its users.
"""

import typing

__all__ = [
    "MAX_NUMBER",
    "Generation",
    "generation_of",
    "number_of",
    "version_of",
]

# Counts the returns of the store from older copies; 0 if it doesn't say.
Generation = typing.NewType("Generation", int)

# The store's own numbers are lower than two to the power of this.
_NUMBER_BITS = 40
MAX_NUMBER = (1 << _NUMBER_BITS) - 1


def version_of(generation: Generation, number: int) -> int:
    """Returns the version for a number of the store."""
    return generation << _NUMBER_BITS | number


def generation_of(version: int) -> Generation:
    """Returns the generation in which a version was read."""
    return Generation(version >> _NUMBER_BITS)


def number_of(version: int) -> int:
    """Returns the store's own number of a version."""
    return version & MAX_NUMBER
