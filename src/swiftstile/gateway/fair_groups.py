"""Identifies the groups among which contended capacity is divided.

An organisation is the host of a route, and a kind of request is a route. Other
VMs name both in permit requests by hashes, as names may be long.
"""

import functools
import typing

import xxhash

from swiftstile.gateway import model

__all__ = ["UNKNOWN", "GroupId", "group_of", "parse"]

# Hexadecimal digits of each hash. Two of 100 organisations get the same 32-bit
# hash with a probability of one in a million; they then share one part.
_DIGITS = 8


class GroupId(typing.NamedTuple):
    """The organisation and kind of a request.

    Attributes:
        organisation: Hash of the route's host.
        kind: Hash of the route's name.
    """

    organisation: str
    kind: str

    def encode(self) -> str:
        """Returns the identifier for permit requests."""
        return self.organisation + self.kind


# Requests of VMs of a build that sends no groups count as one group.
UNKNOWN = GroupId("", "")


def group_of(route: model.Route) -> GroupId:
    """Returns the group of a route's requests."""
    return _group(route.host, route.name)


def parse(text: str) -> GroupId:
    """Returns the group that a permit request names; see `GroupId.encode`."""
    if len(text) != 2 * _DIGITS:
        return UNKNOWN
    return GroupId(text[:_DIGITS], text[_DIGITS:])


@functools.lru_cache(maxsize=4096)
def _group(host: str, name: str) -> GroupId:
    return GroupId(
        xxhash.xxh32_hexdigest(host.encode()),
        xxhash.xxh32_hexdigest(name.encode()),
    )
