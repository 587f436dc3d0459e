"""HTTP adapters for the platform's table, object store and VM list."""

import asyncio

import aiohttp
import msgspec

from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile import progress
from swiftstile.provider import base

__all__ = ["HttpObjectStore", "HttpTable", "HttpVmList", "TransactBody"]

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.InvalidURL)
_TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    errors.AnswerTooLargeError,
)
# Limit for a whole request, whatever its size.
_TOTAL_TIMEOUT_S = 60.0
# Uploads may be as slow as a tenth of the narrowest link. Data accepted by the
# operating system may not have been sent yet, so a missing response doesn't
# indicate a stall until the upload has had this much time.
_MIN_UPLOAD_BYTES_PER_S = 62_500


class WriteBody(msgspec.Struct):
    """JSON form of a `Write`, with the value in base64."""

    key: str
    expected_version: int
    value: bytes | None = None


class TransactBody(msgspec.Struct):
    """JSON body of a transaction request."""

    attempt: str
    writes: list[WriteBody]


class RowBody(msgspec.Struct):
    """JSON form of a `Row`, with the value in base64."""

    key: str
    value: bytes
    version: int


class _Client:
    """HTTP client of one service.

    Args:
        url: Base URL.
        timeout_s: Longest wait for a response to begin, in addition to the time
            for uploading the body, and longest stall while it is read.
        meters: Counts the bytes of requests and responses.
    """

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._meters = meters
        self._session: aiohttp.ClientSession | None = None
        # ETag of the last response.
        self.etag: str | None = None

    async def request(self, method, path, step, **options):
        """Sends a request and returns the status and body.

        Raises:
            PlatformUnavailableError: No complete response.
        """
        sent = len(options.get("data", b""))
        first_byte_timeout_s = self._timeout_s + sent / _MIN_UPLOAD_BYTES_PER_S
        try:
            async with asyncio.timeout(first_byte_timeout_s):
                response = await self._open_session().request(
                    method, self._url + path, **options
                )
            async with response:
                body = await progress.read_body(
                    response.content, self._timeout_s
                )
                self._meters.count_http("platform", response, sent)
                self.etag = response.headers.get("ETag")
                return response.status, body
        except _TRANSPORT_ERRORS as error:
            raise errors.PlatformUnavailableError(
                repr(error), step=step, peer=self._url
            ) from error

    def _open_session(self) -> aiohttp.ClientSession:
        # Created on first use, as a session is bound to the running loop.
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_TOTAL_TIMEOUT_S)
            self._session = aiohttp.ClientSession(
                timeout=timeout,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        return self._session

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


def _decode(body: bytes, kind, step: str, peer: str):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.PlatformUnavailableError(
            f"malformed answer: {error}", step=step, peer=peer
        ) from error


def _expect_ok(status: int, step: str, peer: str) -> None:
    if status != 200:
        raise errors.PlatformUnavailableError(
            f"status {status}", step=step, peer=peer
        )


class HttpTable(base.Table):
    """Client of the table service."""

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url
        self._client = _Client(url, timeout_s, meters)

    async def read(self, key: str) -> base.Row | None:
        """See base class."""
        rows = await self._query("read row", {"key": key})
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> list[base.Row]:
        """See base class."""
        return await self._query("scan rows", {"prefix": prefix})

    async def _query(self, step, params) -> list[base.Row]:
        status, body = await self._client.request(
            "GET", "/table", step, params=params
        )
        _expect_ok(status, step, self._url)
        rows = _decode(body, list[RowBody], step, self._url)
        return [base.Row(row.key, row.value, row.version) for row in rows]

    async def transact(
        self, writes: list[base.Write], attempt: ids.AttemptId
    ) -> None:
        """See base class."""
        body = TransactBody(attempt, [_write_body(write) for write in writes])
        step = f"write {writes[0].key}"
        try:
            status, text = await self._client.request(
                "POST", "/table", step, data=msgspec.json.encode(body)
            )
        except errors.PlatformUnavailableError as error:
            if isinstance(error.__cause__, _CONNECT_ERRORS):
                raise
            raise errors.OutcomeUnknownError(
                "response lost", step=step, peer=self._url
            ) from error
        if status == 409:
            raise errors.ConflictError(
                text.decode(errors="replace"), step=step, peer=self._url
            )
        if status == 503:
            _expect_ok(status, step, self._url)
        if status != 200:
            raise errors.OutcomeUnknownError(
                f"status {status}", step=step, peer=self._url
            )

    async def close(self) -> None:
        """See base class."""
        await self._client.close()


def _write_body(write: base.Write) -> WriteBody:
    return WriteBody(write.key, write.expected_version, write.value)


class HttpObjectStore(base.ObjectStore):
    """Client of the object store."""

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url
        self._client = _Client(url, timeout_s, meters)

    async def put(self, name: str, body: bytes) -> None:
        """See base class."""
        status, _ = await self._client.request(
            "PUT", f"/objects/{name}", "put object", data=body
        )
        _expect_ok(status, "put object", self._url)

    async def get(self, name: str) -> bytes | None:
        """See base class."""
        status, body = await self._client.request(
            "GET", f"/objects/{name}", "get object"
        )
        if status == 404:
            return None
        _expect_ok(status, "get object", self._url)
        return body

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


class HttpVmList(base.VmList):
    """Client of the VM list; uses an ETag to skip unchanged lists."""

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url
        self._client = _Client(url, timeout_s, meters)
        self._last: list[base.Vm] = []
        self._last_etag: str | None = None

    async def fetch(self) -> list[base.Vm]:
        """See base class."""
        step = "fetch VM list"
        headers = {"If-None-Match": self._last_etag} if self._last_etag else {}
        status, body = await self._client.request(
            "GET", "/vms", step, headers=headers
        )
        if status == 304:
            return self._last
        _expect_ok(status, step, self._url)
        self._last = _decode(body, list[base.Vm], step, self._url)
        self._last_etag = self._client.etag
        return self._last

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()
