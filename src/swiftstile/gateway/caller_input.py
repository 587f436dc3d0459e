"""Measures the memory of heads of requests."""

__all__ = ["HEAD_COPIES", "head_memory"]

# Memory of a request besides its head; a head is held as bytes and as text, and
# each of its fields as objects.
_REQUEST_BYTES = 4096
_FIELD_BYTES = 256
HEAD_COPIES = 3


def head_memory(head_bytes: int, fields: int) -> int:
    """Returns the memory that a parsed request takes without its body.

    Args:
        head_bytes: Length of its head.
        fields: Number of its header fields.
    """
    return _REQUEST_BYTES + _FIELD_BYTES * fields + HEAD_COPIES * head_bytes
