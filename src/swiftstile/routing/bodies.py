"""Request bodies: short ones are buffered, long ones are streamed."""

from aiohttp import web
import aiohttp.http_exceptions

from swiftstile.routing import outcomes

__all__ = ["Body", "read"]

# Longer bodies, and those of unknown length, are streamed.
_MAX_BUFFERED_BYTES = 64 << 10
_ERRORS = (
    aiohttp.ClientError,
    aiohttp.http_exceptions.HttpProcessingError,
    ConnectionError,
    ValueError,
)


class Body:
    """A request body, which can be sent again only if it is buffered."""

    def __init__(self, request: web.BaseRequest, limit: int):
        self._request = request
        self._limit = limit
        self._buffered: bytes | None = None
        self._is_started = False

    @property
    def can_resend(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self._buffered is not None or not self._is_started

    @property
    def length(self) -> int | None:
        """Length in bytes; None if it isn't known."""
        if self._buffered is not None:
            return len(self._buffered)
        return self._request.content_length

    def payload(self):
        """Returns the body for the HTTP client: bytes, a stream or None."""
        if self._buffered is not None:
            return self._buffered or None
        self._is_started = True
        return self._stream()

    async def buffer(self) -> None:
        """Buffers the body if it is short.

        Raises:
            BadRequestError: The body is truncated or malformed.
        """
        length = self._request.content_length
        if not self._request.body_exists:
            self._buffered = b""
        elif length is not None and length <= _MAX_BUFFERED_BYTES:
            try:
                self._buffered = await self._request.read()
            except _ERRORS as error:
                raise _truncated(error) from error

    async def _stream(self):
        total = 0
        try:
            async for chunk in self._request.content.iter_any():
                total += len(chunk)
                if total > self._limit:
                    raise outcomes.BodyTooLargeError(
                        f"more than {self._limit} bytes", step="read body"
                    )
                yield chunk
        except _ERRORS as error:
            raise _truncated(error) from error


def _truncated(error: Exception) -> outcomes.BadRequestError:
    return outcomes.BadRequestError(
        f"body truncated or malformed: {error!r}", step="read body"
    )


async def read(request: web.BaseRequest, limit: int) -> Body:
    """Returns the body of a request, buffered if it is short.

    Args:
        request: The caller's request.
        limit: Largest allowed size of the body, in bytes.

    Raises:
        BadRequestError: The body is truncated or malformed.
    """
    body = Body(request, limit)
    await body.buffer()
    return body
