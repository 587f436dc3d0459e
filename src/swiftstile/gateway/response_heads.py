"""Parses the heads of HTTP/1.1 responses.

Strict where a lenient reading could take the parts of two responses for one:
bytes that a faulty upstream left on a connection precede the next response
there, so that its status line may be found within a line of another one.
"""

import re

import multidict

from swiftstile import errors

__all__ = ["MAX_HEADERS", "ResponseHead", "parse"]

# Maximum number of header lines of one head.
MAX_HEADERS = 128
# Interim responses precede the final one (RFC 9110, section 15.2).
_INFORMATIONAL = range(100, 200)
_SWITCHING_PROTOCOLS = 101
_WITHOUT_BODY = (204, 304)
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([^\0\r]*))?")
# A header line with the line end before it. Values may contain no control
# characters but tabs.
_HEADER = re.compile(
    r"\n([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\0-\x08\n-\x1f\x7f]*)(?=\r?(?:\n|\Z))"
)
_NESTED_STATUS = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?= |\r|\n|$)")
_MAX_LENGTH_DIGITS = 18


class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: The headers.
        should_close: Whether no other response follows on the connection.
        length: Length of the body; None if it isn't stated.
        is_chunked: Whether the body is sent in chunks.
    """

    __slots__ = (
        "headers",
        "is_chunked",
        "length",
        "reason",
        "should_close",
        "status",
    )

    def __init__(
        self,
        status: int,
        reason: str,
        headers: multidict.CIMultiDict[str],
        is_persistent: bool,
    ):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.length = _length(headers)
        self.is_chunked = _is_chunked(headers)
        if self.is_chunked and self.length is not None:
            raise _malformed("both a length and chunks")
        self.should_close = not is_persistent

    @property
    def is_interim(self) -> bool:
        """Whether another response to the same request follows."""
        return self.status in _INFORMATIONAL

    @property
    def has_body(self) -> bool:
        """Whether a response with this status may have a body."""
        return not self.is_interim and self.status not in _WITHOUT_BODY


def parse(data: bytes) -> ResponseHead:
    """Returns the head in some bytes.

    Args:
        data: Status line and header lines, without the empty line.

    Raises:
        MalformedResponseError: It is no head, or one of several responses.
    """
    line, _, _ = data.partition(b"\n")
    match = _STATUS_LINE.fullmatch(line.removesuffix(b"\r"))
    if match is None:
        raise _malformed(f"status line {line[:80]!r}")
    status = int(match[2])
    if status == _SWITCHING_PROTOCOLS:
        raise _malformed("another protocol")
    if data.find(b"HTTP/1.", 1) > 0:
        _check_nested_status(data, match[2])
    headers = _headers(data[len(line) :].decode("utf-8", "surrogateescape"))
    return ResponseHead(
        status,
        (match[3] or b"").decode("latin-1"),
        headers,
        _is_persistent(match[1], headers),
    )


def _check_nested_status(data: bytes, status: bytes) -> None:
    """Raises an error if a line contains the status line of another response.

    A status line that states the same status changes nothing for the caller,
    and upstreams may name such a line in a header of their own.
    """
    nested = _NESTED_STATUS.findall(data, 1)
    if any(found != status for found in nested):
        raise _malformed("two status lines")


def _headers(lines: str) -> multidict.CIMultiDict[str]:
    """Returns the headers in some lines, each behind its line end."""
    count = lines.count("\n")
    if count > MAX_HEADERS:
        raise _malformed(f"{count} header lines")
    pairs = _HEADER.findall(lines)
    if len(pairs) != count:
        raise _malformed(f"a header line among {lines[:200]!r}")
    return multidict.CIMultiDict(
        [(name, value.strip(" \t")) for name, value in pairs]
    )


def _is_persistent(minor: bytes, headers) -> bool:
    connection = headers.get("Connection")
    if connection is None:
        return minor == b"1"
    options = ",".join(headers.getall("Connection")).lower()
    names = {name.strip() for name in options.split(",")}
    return "close" not in names and (minor == b"1" or "keep-alive" in names)


def _length(headers) -> int | None:
    values = headers.getall("Content-Length", ())
    if not values:
        return None
    text = values[0]
    is_number = text.isascii() and text.isdigit()
    if len(values) > 1 or not is_number or len(text) > _MAX_LENGTH_DIGITS:
        raise _malformed(f"length {values!r:.80}")
    return int(text)


def _is_chunked(headers) -> bool:
    values = headers.getall("Transfer-Encoding", ())
    if not values:
        return False
    if len(values) > 1 or values[0].strip().lower() != "chunked":
        raise _malformed(f"transfer encoding {values!r:.80}")
    return True


def _malformed(message: str) -> errors.MalformedResponseError:
    return errors.MalformedResponseError(message, step="parse head")
