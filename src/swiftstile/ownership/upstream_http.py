"""Control of upstream servers over HTTP and JSON."""

import aiohttp
import msgspec

from swiftstile import errors
from swiftstile import ids
from swiftstile import metrics
from swiftstile.ownership import grants

__all__ = ["CLOCK_PATH", "GRANT_PATH", "HttpUpstreamControl"]

# An answer is a small JSON object.
_MAX_BODY_BYTES = 1 << 16
# A longer body of a probe's response isn't read.
_MAX_PROBE_BODY_BYTES = 4096
GRANT_PATH = "/swiftstile/v1/grant"
CLOCK_PATH = "/swiftstile/v1/clock"


class HttpUpstreamControl(grants.UpstreamControl):
    """Sends control requests as JSON over HTTP."""

    def __init__(self, timeout_s: float, meters: metrics.Meters):
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._meters = meters
        self._session: aiohttp.ClientSession | None = None

    async def read_clock(
        self, address: str, service: ids.ServiceId
    ) -> grants.GrantReply:
        """See base class."""
        params = {
            "organisation": service.organisation,
            "service": service.service,
        }
        return await self._call("GET", address, CLOCK_PATH, params=params)

    async def grant(
        self, address: str, grant: grants.Grant
    ) -> grants.GrantReply:
        """See base class."""
        body = msgspec.json.encode(grant)
        return await self._call("POST", address, GRANT_PATH, data=body)

    async def probe(self, address: str) -> None:
        """See base class. Any HTTP response counts, whatever its status."""
        await self._request("GET", address, "/", {}, is_probe=True)

    async def _call(self, method, address, path, **options):
        body = await self._request(method, address, path, options)
        try:
            return msgspec.json.decode(body, type=grants.GrantReply)
        except msgspec.MsgspecError as error:
            raise errors.PeerUnavailableError(
                f"malformed answer: {error}", step="call server", peer=address
            ) from error

    async def _request(
        self, method, address, path, options, is_probe=False
    ) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=self._timeout,
                connector=aiohttp.TCPConnector(limit=0),
                skip_auto_headers=(
                    "User-Agent",
                    "Accept",
                    "Accept-Encoding",
                    "Content-Type",
                ),
            )
        try:
            async with self._session.request(
                method, f"http://{address}{path}", **options
            ) as response:
                body = b""
                if not is_probe or _is_short(response):
                    body = await _read(response, address)
                sent = len(options.get("data", b""))
                self._meters.count_http("server", response, sent)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PeerUnavailableError(
                repr(error), step="call server", peer=address
            ) from error
        return body

    async def close(self) -> None:
        """See base class."""
        if self._session is not None:
            await self._session.close()


async def _read(response: aiohttp.ClientResponse, address: str) -> bytes:
    """Returns the body of a response.

    Raises:
        PeerUnavailableError: It is too long; a faulty server may send without
            end.
    """
    body = b""
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > _MAX_BODY_BYTES:
            raise errors.PeerUnavailableError(
                f"answer of over {_MAX_BODY_BYTES} bytes",
                step="call server",
                peer=address,
            )
    return body


def _is_short(response: aiohttp.ClientResponse) -> bool:
    length = response.content_length
    return length is not None and length <= _MAX_PROBE_BODY_BYTES
