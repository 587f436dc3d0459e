"""Maps keys to positions in a 64-bit hash space."""

import xxhash

from swiftstile import ids

__all__ = ["HASH_SPACE", "key_hash", "text_hash"]

# Number of positions; positions lie in [0, HASH_SPACE).
HASH_SPACE = 1 << 64


def key_hash(
    organisation: ids.OrganisationId, service: ids.ServiceName, key: ids.Key
) -> ids.KeyHash:
    """Returns the hash position of a key of a service."""
    text = f"{organisation}/{service}/{key}"
    return ids.KeyHash(text_hash(text))


def text_hash(text: str) -> int:
    """Returns the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())
