"""One request to one upstream, and the check that the answer is its own."""

import asyncio
import collections.abc

from aiohttp import web_request
from aiohttp import web_response
import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import connections
from swiftstile.gateway import fingerprint
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["Answer", "Call", "Exchange"]

# Answers up to this size are read whole before their head goes to the caller,
# so that a broken one can be told from a whole one.
WHOLE_BYTES = 1 << 20
# How much longer to wait for an upstream that ends at the deadline it got: its
# own word on what became of the request is worth more than ours.
DEADLINE_GRACE_S = 0.04


class Call(msgspec.Struct):
    """A caller's request, ready to be sent.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        headers: The caller's headers.
        inbound: What they say.
        body: The body; None if it is too long to keep.
        stream: The body in pieces, where `body` is None. It can be read once.
        length: Length of a streamed body, if the caller said.
        end: When its answer is of no use any more, on the steady clock.
        is_repeatable: Whether it may run more than once.
        first_part: What was read of a streamed body before it is sent.
        caller: Who sent it.
        is_trial: Whether it is sent to find out if it still crashes upstreams.
    """

    method: str
    target: str
    headers: object
    inbound: interfaces.RequestMetadata
    body: bytes | None
    stream: collections.abc.AsyncIterator[bytes] | None
    length: int | None
    end: float
    is_repeatable: bool = False
    first_part: bytes = b""
    caller: str = ""
    is_trial: bool = False

    def digest(self) -> fingerprint.Digest:
        """Returns what tells it from other requests, when it comes again."""
        return fingerprint.digest(
            self.method,
            self.headers.get("Host", ""),
            self.target,
            self.caller,
            self.first_part if self.body is None else self.body,
            self.length,
        )

    @property
    def can_repeat(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.body is not None


class Answer(msgspec.Struct):
    """An upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        body: The whole body, or None if it is passed on as it comes.
        rest: The stream of the body, where `body` is None.
        verdict: What its head said.
        finish: Ends the exchange once the rest was passed on.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    rest: object
    verdict: interfaces.AnswerMetadata
    finish: collections.abc.Callable[[bool], None]


class Exchange:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        pool: connections.ConnectionPool,
        dialect: interfaces.RequestDialect,
    ):
        self._pool = pool
        self._dialect = dialect

    async def send(self, call: Call, target: targets.Target) -> Answer:
        """Sends a request and returns its answer.

        Raises:
            UpstreamUnreachableError: Nothing was sent.
            NotRunError: The upstream said that it didn't run it.
            TimedOutError: No answer in time; it may have run.
            UnknownOutcomeError: No whole answer of its own; it may have run.
        """
        address = target.upstream.address
        try:
            connection = await self._pool.take(address, call.is_repeatable)
        except errors.PeerUnavailableError as error:
            raise outcomes.UpstreamUnreachableError(
                str(error), step="connect", peer=target.id
            ) from error
        is_kept = False
        try:
            left_s = call.end - clocks.monotonic()
            if left_s <= 0:
                raise outcomes.UpstreamUnreachableError(
                    "no time left", step="connect", peer=target.id
                )
            async with asyncio.timeout(left_s + DEADLINE_GRACE_S):
                answer = await self._converse(call, target, connection, left_s)
            is_kept = True
            return answer
        except TimeoutError as error:
            raise outcomes.TimedOutError(
                "no answer in time", step="read answer", peer=target.id
            ) from error
        except outcomes.NotRunError:
            is_kept = True
            raise
        except connections.EXCHANGE_ERRORS as error:
            self._pool.note_broken(connection, clocks.monotonic())
            unknown = outcomes.UnknownOutcomeError(
                repr(error), step="read answer", peer=target.id
            )
            unknown.is_broken = not connection.has_answered
            raise unknown from error
        finally:
            if not is_kept:
                connection.abort()

    async def _converse(self, call, target, connection, left_s) -> Answer:
        data = self._encode(call, target, left_s)
        try:
            connection.start(call.method, data)
        except errors.PeerUnavailableError as error:
            raise outcomes.UpstreamUnreachableError(
                str(error), step="send", peer=target.id
            ) from error
        if call.body is not None:
            return await self._receive(call, target, connection)
        sender = asyncio.create_task(_send_stream(call, connection))
        try:
            answer = await self._receive(call, target, connection)
            if not sender.done():
                # The rest of the body would be due on this connection.
                connection.is_usable = False
            return answer
        finally:
            if not sender.done():
                sender.cancel()
            elif not sender.cancelled() and sender.exception():
                connection.is_usable = False

    def _encode(self, call, target, left_s) -> bytes:
        headers = self._dialect.upstream_headers(
            call.headers, target.id, left_s
        )
        lines = [f"{call.method} {call.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        body = call.body or b""
        if call.body is None and call.length is None:
            lines.append("Transfer-Encoding: chunked")
        elif call.body is None:
            lines.append(f"Content-Length: {call.length}")
        elif body or call.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + body

    async def _receive(self, call, target, connection) -> Answer:
        while True:
            head = await connection.next_head()
            verdict = self._dialect.parse_answer(head.status, head.headers)
            wanted = call.inbound.attempt_id
            if verdict.attempt_id in ("", wanted):
                break
            # A late second answer to an earlier request.
            await head.payload.read()
        if verdict.attempt_id != wanted:
            raise outcomes.UnknownOutcomeError(
                "answer without id", step="check answer", peer=target.id
            )
        if verdict.load is not None:
            target.note_load(verdict.load, clocks.monotonic())
        if verdict.kind is not interfaces.AnswerKind.RAN:
            await self._refusal(head, verdict, connection, target)
        if not verdict.is_relayable:
            raise outcomes.UnknownOutcomeError(
                "unsigned or encoded", step="check answer", peer=target.id
            )
        return await self._body(head, verdict, target, connection)

    async def _refusal(self, head, verdict, connection, target) -> None:
        kind = outcomes.NotRunError
        if verdict.kind is interfaces.AnswerKind.MISDIRECTED:
            kind = outcomes.MisdirectedError
            if verdict.answered_by not in ("", target.id):
                kind = outcomes.ReplacedError
        try:
            await head.payload.read()
            connection.finish(head)
            self._pool.give_back(target.upstream.address, connection)
        except connections.EXCHANGE_ERRORS:
            # The head was whole, and it says all there is to know.
            connection.abort()
        error = kind(f"status {head.status}", step="send", peer=target.id)
        load = verdict.load
        error.had_room = load is not None and load.running < load.slots
        raise error

    async def _body(self, head, verdict, target, connection) -> Answer:
        headers = self._dialect.answer_headers(head.headers)
        address = target.upstream.address
        length = head.headers.get("Content-Length", "")
        is_long = length.isdigit() and int(length) > WHOLE_BYTES

        def finish(is_whole: bool) -> None:
            if is_whole:
                connection.finish(head)
                self._pool.give_back(address, connection)
            else:
                connection.abort()

        body = None
        if not is_long:
            body = await head.payload.read()
            finish(True)
        return Answer(head.status, headers, body, head.payload, verdict, finish)


async def _send_stream(call: Call, connection) -> None:
    is_chunked = call.length is None
    async for piece in call.stream:
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        await connection.send_more(piece)
    if is_chunked:
        await connection.send_more(b"0\r\n\r\n")


async def relay(
    request: web_request.BaseRequest, answer: Answer
) -> web_response.StreamResponse:
    """Passes a long answer on as it comes.

    A break on either side breaks the caller's connection, so that the answer
    doesn't look whole.
    """
    response = web_response.StreamResponse(status=answer.status)
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.content_length = int(dict(answer.headers).get("Content-Length", 0))
    is_whole = False
    try:
        await response.prepare(request)
        async for piece in answer.rest.iter_any():
            await response.write(piece)
        await response.write_eof()
        is_whole = True
        return response
    finally:
        answer.finish(is_whole)
        if not is_whole and request.transport is not None:
            request.transport.abort()
