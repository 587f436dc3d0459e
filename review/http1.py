"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The words of its first line.
        headers: Values by lower-case name; the first value of each name.
        body: The body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of a request, without the query."""
        return self.start[1].partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters of a request."""
        text = self.start[1].partition("?")[2]
        return dict(
            part.partition("=")[::2] for part in text.split("&") if part
        )

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of the next message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return Message(first.split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Reads a whole request."""
    message = await read_head(reader)
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        message.body = await _read_chunks(reader)
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Reads a whole response.

    Raises:
        IncompleteReadError: It ended early.
    """
    message = await read_head(reader)
    length = message.headers.get("content-length")
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        message.body = await _read_chunks(reader)
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    else:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        pieces.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(pieces)


_REASONS = {
    200: "OK",
    400: "Bad Request",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def response(
    status: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    has_length: bool = True,
) -> bytes:
    """Returns the bytes of a response.

    Args:
        status: The status.
        headers: Its headers, without those of the body's length.
        body: The body, or the first part of it.
        has_length: Whether the body's length is stated. If not, the body ends
            with the channel.
    """
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
