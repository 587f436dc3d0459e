"""Forwarding of one attempt to one server."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import multidict
import yarl

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.routing import bodies
from swiftstile.routing import inbound as inbound_lib
from swiftstile.routing import outcomes
from swiftstile.routing import routes

__all__ = ["Forwarder", "NotOwnerError", "ServerOverloadedError"]

# Longer answers, and those of unknown length, are streamed.
_MAX_BUFFERED_BYTES = 256 << 10
_CHUNK_BYTES = 64 << 10
_MISDIRECTED = 421
_UNAVAILABLE = 503
_KEEPALIVE_S = 10.0
_CONNECT_TIMEOUT_S = 1.0

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that the router sets itself; those of a caller or server are dropped.
_ROUTER_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        "host",
        outcomes.DEADLINE_HEADER.lower(),
        outcomes.EPOCH_HEADER.lower(),
        outcomes.FENCE_HEADER.lower(),
        outcomes.OUTCOME_HEADER.lower(),
        outcomes.REQUEST_ID_HEADER.lower(),
        outcomes.TIMEOUT_HEADER.lower(),
    }
)
_DROPPED_HEADERS = _HOP_BY_HOP_HEADERS | _ROUTER_HEADERS


class NotOwnerError(outcomes.NotStartedError):
    """The server didn't run the request because it doesn't own the key."""

    reason = "not-owner"


class ServerOverloadedError(outcomes.NotStartedError):
    """The server didn't run the request because it is overloaded."""

    reason = "shed"


class Forwarder:
    """Sends attempts over pooled keep-alive connections."""

    def __init__(self, meters: metrics.Meters):
        self._meters = meters
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Creates the connection pool; must be called in the running loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_KEEPALIVE_S
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            read_bufsize=_CHUNK_BYTES,
        )
        # Otherwise aiohttp resends a request by itself if the server has
        # closed a pooled connection, which may run the request twice.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        request: web.BaseRequest,
        inbound: inbound_lib.InboundRequest,
        body: bodies.Body,
        choice: routes.Choice,
        route: routes.ServiceRoute,
    ) -> web.StreamResponse:
        """Sends one attempt and returns the caller's response.

        Raises:
            NotStartedError: The server didn't run the request.
            UnknownOutcomeError: The request may have run.
        """
        target = choice.target
        started = clocks.monotonic()
        target.record_sent()
        try:
            async with asyncio.timeout(choice.deadline - started) as limit:
                with contextlib.ExitStack() as watch:
                    watch.enter_context(
                        route.watch_attempt(choice, inbound, limit)
                    )
                    response = await self._exchange(
                        request, inbound, body, choice, watch
                    )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            target.record_failure()
            self._meters.sends.add("connect-failed")
            raise outcomes.NotStartedError(
                "connection failed", step="connect", peer=target.server
            ) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._meters.sends.add("unknown")
            target.record_failure()
            raise outcomes.UnknownOutcomeError(
                f"no whole answer: {error!r}",
                step="read answer",
                peer=target.server,
            ) from error
        self._meters.sends.add("answered")
        target.record_answer(clocks.monotonic() - started)
        return response

    async def _exchange(self, request, inbound, body, choice, watch):
        address = choice.target.address
        async with self._session.request(
            inbound.method,
            yarl.URL(f"http://{address}{inbound.path}", encoded=True),
            data=body.payload(),
            headers=_request_headers(request, inbound, body, choice),
            allow_redirects=False,
        ) as answer:
            # The request ran and its answer has begun, so a move of the key
            # must no longer end the attempt early.
            watch.close()
            self._check_answer(answer, inbound, choice)
            headers = _answer_headers(answer, inbound)
            length = answer.content_length
            is_buffered = length is not None and length <= _MAX_BUFFERED_BYTES
            if inbound.method == "HEAD" or not is_buffered:
                return await _stream(request, answer, headers)
            return web.Response(
                status=answer.status, headers=headers, body=await answer.read()
            )

    def _check_answer(self, answer, inbound, choice) -> None:
        """Raises if this is a refusal or the answer to another request."""
        headers = answer.headers
        peer = choice.target.server
        echoed = headers.get(outcomes.REQUEST_ID_HEADER, inbound.request_id)
        if echoed != inbound.request_id:
            answer.close()
            raise outcomes.UnknownOutcomeError(
                f"answer to {echoed}", step="check answer", peer=peer
            )
        outcome = headers.get(outcomes.OUTCOME_HEADER)
        if outcome != outcomes.Outcome.NOT_RUN.value:
            return
        if answer.status == _MISDIRECTED:
            self._meters.sends.add("not-owner")
            raise NotOwnerError("not the owner", step="send", peer=peer)
        if answer.status == _UNAVAILABLE:
            self._meters.sends.add("shed")
            raise ServerOverloadedError(
                "server sheds load", step="send", peer=peer
            )


async def _stream(request, answer, headers) -> web.StreamResponse:
    response = web.StreamResponse(status=answer.status, headers=headers)
    response.content_length = answer.content_length
    await response.prepare(request)
    try:
        async for chunk in answer.content.iter_chunked(_CHUNK_BYTES):
            await response.write(chunk)
    except BaseException:
        # The response headers have been sent, so only a broken connection can
        # show the caller that the answer is incomplete.
        if request.transport is not None:
            request.transport.abort()
        raise
    await response.write_eof()
    return response


def _request_headers(request, inbound, body, choice):
    headers = multidict.CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
    headers[outcomes.REQUEST_ID_HEADER] = inbound.request_id
    headers[outcomes.DEADLINE_HEADER] = str(_deadline_ms(inbound, choice))
    if choice.version:
        headers[outcomes.KEY_HEADER] = inbound.key
        headers[outcomes.FENCE_HEADER] = str(choice.fence)
        headers[outcomes.EPOCH_HEADER] = str(choice.epoch)
    length = body.length
    if length:
        headers["Content-Length"] = str(length)
    return headers


def _deadline_ms(inbound, choice) -> int:
    if choice.deadline >= inbound.deadline:
        return inbound.deadline_ms
    return clocks.wall_ms() + int((choice.deadline - clocks.monotonic()) * 1000)


def _answer_headers(answer, inbound):
    headers = multidict.CIMultiDict(
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
    headers[outcomes.REQUEST_ID_HEADER] = inbound.request_id
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.ANSWERED.value
    return headers
