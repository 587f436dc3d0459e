"""Digests that recognise repetitions of a request."""

import hashlib
import typing

__all__ = ["Digest", "digest"]

# Has a fixed size and doesn't reveal the path or body of the request.
Digest = typing.NewType("Digest", bytes)

_DIGEST_BYTES = 16


def digest(
    method: str,
    host: str,
    target: str,
    caller: str,
    body: bytes | memoryview,
    length: int | None = None,
) -> Digest:
    """Returns the digest of a request.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query, as received.
        caller: Identity or address of the caller.
        body: Its body, or the first part of one that is too long to buffer.
        length: Length of the whole body in that case, if known.
    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = (method, host.lower(), target, caller, str(length or len(body)))
    for part in parts:
        # Length prefixes prevent collisions between different partitions.
        data = part.encode("utf-8", "surrogateescape")
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    hasher.update(body)
    return Digest(hasher.digest())
