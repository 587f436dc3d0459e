"""Request bodies: short ones in memory, long ones passed on as they come."""

from aiohttp import web
import aiohttp.http_exceptions

from swiftstile.routing import outcomes

__all__ = ["Body", "read"]

# Longer bodies, and those of unknown length, are passed on as they come.
_WHOLE_BYTES = 64 << 10
_ERRORS = (
    aiohttp.ClientError,
    aiohttp.http_exceptions.HttpProcessingError,
    ConnectionError,
    ValueError,
)


class Body:
    """A request body that can be sent once, or again if it is in memory."""

    def __init__(self, request: web.BaseRequest, limit: int):
        self._request = request
        self._limit = limit
        self._whole: bytes | None = None
        self._is_started = False

    @property
    def can_repeat(self) -> bool:
        """Whether the body can be sent (again)."""
        return self._whole is not None or not self._is_started

    @property
    def length(self) -> int | None:
        """Length in bytes; None when it isn't known."""
        if self._whole is not None:
            return len(self._whole)
        return self._request.content_length

    def payload(self):
        """Returns what the HTTP client sends: bytes, a stream or None."""
        if self._whole is not None:
            return self._whole or None
        self._is_started = True
        return self._stream()

    async def load(self) -> None:
        """Reads the body into memory if it is short.

        Raises:
            BadRequestError: The body is truncated or malformed.
        """
        length = self._request.content_length
        if not self._request.body_exists:
            self._whole = b""
        elif length is not None and length <= _WHOLE_BYTES:
            try:
                self._whole = await self._request.read()
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
    """Returns the body of a request, loaded if it is short.

    Args:
        request: The caller's request.
        limit: Longest body allowed, in bytes.

    Raises:
        BadRequestError: The body is truncated or malformed.
    """
    body = Body(request, limit)
    await body.load()
    return body
