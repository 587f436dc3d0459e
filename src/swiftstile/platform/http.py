"""The platform over HTTP: adapters for table, object store and VM list."""

import base64

import aiohttp
import msgspec

from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.platform import base

__all__ = ["HttpObjectStore", "HttpTable", "HttpVmList", "TransactBody"]

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.InvalidURL)
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class WriteBody(msgspec.Struct):
    """A `Write` as JSON; the value in base64."""

    key: str
    expected_version: int
    value: str | None = None


class TransactBody(msgspec.Struct):
    """Body of a transaction request."""

    attempt: str
    writes: list[WriteBody]


class RowBody(msgspec.Struct):
    """A `Row` as JSON; the value in base64."""

    key: str
    value: str
    version: int


class _Client:

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._meters = meters
        self._session: aiohttp.ClientSession | None = None

    async def request(self, method, path, step, **options):
        """Returns (status, body); raises PlatformUnavailableError."""
        try:
            async with self._opened().request(
                method, self._url + path, **options
            ) as response:
                body = await response.read()
                sent = len(options.get("data", b""))
                self._meters.count_http("platform", response, sent)
                return response.status, body
        except _ERRORS as error:
            raise errors.PlatformUnavailableError(
                repr(error), step=step, peer=self._url
            ) from error

    def _opened(self) -> aiohttp.ClientSession:
        # Opened late: a session belongs to the loop that is running.
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._timeout_s)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


def _expect_ok(status: int, step: str, peer: str) -> None:
    if status != 200:
        raise errors.PlatformUnavailableError(
            f"status {status}", step=step, peer=peer
        )


class HttpTable(base.Table):
    """The table service over HTTP."""

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
        rows = msgspec.json.decode(body, type=list[RowBody])
        return [
            base.Row(row.key, base64.b64decode(row.value), row.version)
            for row in rows
        ]

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
                "answer lost", step=step, peer=self._url
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
    value = None
    if write.value is not None:
        value = base64.b64encode(write.value).decode()
    return WriteBody(write.key, write.expected_version, value)


class HttpObjectStore(base.ObjectStore):
    """The object store over HTTP."""

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
        """Frees connections."""
        await self._client.close()


class HttpVmList(base.VmList):
    """The VM list over HTTP."""

    def __init__(self, url: str, timeout_s: float, meters: metrics.Meters):
        self._url = url
        self._client = _Client(url, timeout_s, meters)

    async def fetch(self) -> list[base.Vm]:
        """See base class."""
        status, body = await self._client.request(
            "GET", "/vms", "fetch VM list"
        )
        _expect_ok(status, "fetch VM list", self._url)
        return msgspec.json.decode(body, type=list[base.Vm])

    async def close(self) -> None:
        """Frees connections."""
        await self._client.close()
