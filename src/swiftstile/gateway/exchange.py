"""Sends one request to one upstream and validates the response."""

import asyncio
import collections.abc

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import advisories
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import fingerprint
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import request_holds
from swiftstile.gateway import responses
from swiftstile.gateway import stream_limits
from swiftstile.gateway import targets

__all__ = [
    "Call",
    "UpstreamClient",
    "encode_request",
    "while_sending_body",
]

# Maximum size of the body of a rejection, which isn't used.
_MAX_REJECTION_BYTES = 1 << 16
# Extra wait for the response of an upstream that stops at the deadline it was
# given. Its own report of the outcome is more precise than a timeout here.
DEADLINE_GRACE_S = 0.04


class Call(msgspec.Struct):
    """A caller's request, ready to be sent.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        headers: The caller's headers.
        inbound: Values parsed from the headers.
        body: The body; None if it is too long to buffer.
        stream: Chunks of the body if `body` is None. It can be read once.
        length: Length of a streamed body, if known.
        deadline: Time after which a response is useless, on the monotonic
            clock.
        is_idempotent: Whether it may run more than once.
        first_part: Start of a streamed body that was read before sending.
        caller: Identity or address of the caller.
        is_probe: Whether it is sent to test if it still crashes upstreams.
        sent_at: When it was sent to the present upstream; None if it wasn't
            yet.
        connection: Number of the connection that it was last sent on.
        exchange: Number of that send on the connection, starting at 1.
        timeout_s: Time from its arrival to `deadline`.
        gives_up_at: When the caller gives up.
        known_digest: Its digest, if `first_part` was dropped.
        hold: What this process holds of it.
    """

    method: str
    target: str
    headers: object
    inbound: interfaces.RequestMetadata
    body: bytes | None
    stream: collections.abc.AsyncIterator[bytes] | None
    length: int | None
    deadline: float
    is_idempotent: bool = False
    first_part: bytes | memoryview = b""
    caller: str = ""
    is_probe: bool = False
    sent_at: float | None = None
    connection: int = 0
    exchange: int = 0
    timeout_s: float = float("inf")
    gives_up_at: float = float("inf")
    known_digest: fingerprint.Digest | None = None
    hold: request_holds.RequestHold = msgspec.field(
        default_factory=request_holds.RequestHold
    )

    def response_limits(self, length: int | None) -> stream_limits.StreamLimits:
        """Returns the time limits of a response with a stated length."""
        return stream_limits.limits_of(
            length, self.deadline, self.gives_up_at, self.timeout_s
        )

    def digest(self) -> fingerprint.Digest:
        """Returns a digest that recognises repetitions of the request."""
        if self.known_digest is not None:
            return self.known_digest
        return fingerprint.digest(
            self.method,
            self.headers.get("Host", ""),
            self.target,
            self.caller,
            self.first_part if self.body is None else self.body,
            self.length,
        )

    def begin_send(self) -> None:
        """Prepares for being sent, after which it can't be refused any more.

        The start of a streamed body is freed; its digest remains.

        Raises:
            GatewayError: It was refused meanwhile.
        """
        self.hold.pass_on()
        if self.body is None and self.known_digest is None:
            self.known_digest = self.digest()
            self.first_part = b""

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.body is not None


class UpstreamClient:
    """Sends requests over pooled connections.

    Args:
        pool: Connections to upstreams.
        dialect: Reads and writes headers.
        advisory_table: Records what upstreams state about themselves.
        drain_s: How long a leaving upstream accepts requests, in seconds.
        budget: Memory of the bodies of all responses.
        link_mbps: Bandwidth of this VM's link; 0 if unknown.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        dialect: interfaces.RequestDialect,
        advisory_table: advisories.AdvisoryTable,
        drain_s: float,
        budget: body_budget.BodyBudget,
        link_mbps: float = 0.0,
    ):
        self._pool = pool
        self._dialect = dialect
        self._advisories = advisory_table
        self._drain_s = drain_s
        self._budget = budget
        self._link_mbps = link_mbps
        # Connections on which idempotent requests are in progress.
        self._abandonable: set[connections.UpstreamConnection] = set()

    async def send(
        self, call: Call, target: targets.Target
    ) -> responses.UpstreamResponse:
        """Sends a request and returns the response.

        Raises:
            NotSentError: Nothing was sent.
            NotRunError: The upstream reported that it didn't run the request.
            TimedOutError: No response in time; the request may have run.
            UnknownOutcomeError: No complete and valid response; the request may
                have run.
        """
        address = target.upstream.address
        call.sent_at = None
        try:
            connection = await self._pool.acquire(
                address, call.is_idempotent, call.inbound.attempt_id
            )
        except errors.PeerUnavailableError as error:
            raise outcomes.UpstreamUnreachableError(
                str(error), step="connect", peer=target.id
            ) from error
        keeps_connection = False
        if call.is_idempotent:
            self._abandonable.add(connection)
        try:
            self._check_accepts(target)
            left_s = call.deadline - clocks.monotonic()
            if left_s <= 0:
                raise outcomes.UpstreamUnreachableError(
                    "no time left", step="connect", peer=target.id
                )
            async with asyncio.timeout(left_s + DEADLINE_GRACE_S):
                response = await self._run_exchange(
                    call, target, connection, left_s
                )
            keeps_connection = True
            return response
        except TimeoutError as error:
            raise outcomes.TimedOutError(
                "no answer in time", step="read answer", peer=target.id
            ) from error
        except outcomes.NotSentError:
            raise
        except outcomes.NotRunError:
            keeps_connection = True
            raise
        except connections.EXCHANGE_ERRORS as error:
            self._pool.on_broken(connection, clocks.monotonic())
            outcome_error = outcomes.UnknownOutcomeError(
                repr(error), step="read answer", peer=target.id
            )
            outcome_error.is_connection_broken = not connection.has_response
            raise outcome_error from error
        finally:
            self._abandonable.discard(connection)
            if not keeps_connection:
                connection.abort()

    def abandon_idempotent(self) -> None:
        """Ends the exchanges of requests that may be sent again.

        For when no upstream can be reached: the answers wouldn't arrive, and
        another VM can still send these requests. The outcome of the others may
        still arrive, if the network recovers in time.
        """
        for connection in list(self._abandonable):
            connection.abort()

    def _check_accepts(self, target: targets.Target) -> None:
        """Raises an error if the target stopped taking requests meanwhile."""
        now = clocks.monotonic()
        if not target.accepts_requests(now, self._drain_s):
            raise outcomes.WithdrawnError(
                "it leaves", step="send", peer=target.id
            )
        if target.is_backing_off(now):
            raise outcomes.WithdrawnError(
                "it wants no requests now", step="send", peer=target.id
            )

    async def _run_exchange(
        self, call, target, connection, left_s
    ) -> responses.UpstreamResponse:
        data = self._encode(call, target, left_s)
        sent_at = clocks.monotonic()
        try:
            connection.send_request(call.method, data)
        except errors.PeerUnavailableError as error:
            raise outcomes.UpstreamUnreachableError(
                str(error), step="send", peer=target.id
            ) from error
        call.sent_at = sent_at
        call.connection = connection.number
        call.exchange = connection.exchanges
        return await while_sending_body(
            call,
            connection,
            self._receive(call, target, connection, sent_at),
        )

    def _encode(self, call, target, left_s) -> bytes:
        headers = self._dialect.upstream_headers(
            call.headers, target.id, left_s
        )
        return encode_request(call, headers)

    async def _receive(
        self, call, target, connection, sent_at: float
    ) -> responses.UpstreamResponse:
        while True:
            head = await connection.next_head()
            metadata = self._dialect.parse_answer(head.status, head.headers)
            expected_id = call.inbound.attempt_id
            is_contradictory = (
                metadata.kind is interfaces.AnswerKind.CONTRADICTORY
            )
            if is_contradictory or metadata.attempt_id in ("", expected_id):
                break
            await connection.skip_response()
        _check_answer(metadata, expected_id, target)
        if metadata.load is not None:
            target.note_load(metadata.load, clocks.monotonic())
        self._advisories.record_answer(
            target, metadata, sent_at, clocks.monotonic()
        )
        if metadata.kind is not interfaces.AnswerKind.RAN:
            await self._raise_not_run(head, metadata, connection, target)
        if not metadata.is_relayable:
            raise outcomes.UnknownOutcomeError(
                "unsigned or encoded", step="check answer", peer=target.id
            )
        if metadata.has_promising_status and not call.is_idempotent:
            raise outcomes.UnknownOutcomeError(
                f"status {head.status} without a statement that it didn't run",
                step="check answer",
                peer=target.id,
            )
        return await self._read_response(
            call, head, metadata, target, connection
        )

    async def _raise_not_run(self, head, metadata, connection, target) -> None:
        kind = outcomes.NotRunError
        if metadata.kind is interfaces.AnswerKind.MISDIRECTED:
            kind = outcomes.MisdirectedError
            if metadata.answered_by not in ("", target.id):
                kind = outcomes.ReplacedError
        try:
            if await connection.body.discard(_MAX_REJECTION_BYTES):
                connection.finish()
                self._pool.release(target.upstream.address, connection)
            else:
                connection.abort()
        except connections.EXCHANGE_ERRORS:
            # The head was complete, and only that is needed.
            connection.abort()
        error = kind(f"status {head.status}", step="send", peer=target.id)
        error.answered_status = head.status
        error.answered_reason = head.reason
        load = metadata.load
        error.had_free_slot = load is not None and load.running < load.slots
        raise error

    async def _read_response(
        self, call, head, metadata, target, connection
    ) -> responses.UpstreamResponse:
        address = target.upstream.address
        limits = call.response_limits(head.length)
        left_s = limits.ends_at - clocks.monotonic()
        if head.length is not None and not stream_limits.can_arrive(
            head.length, left_s, self._link_mbps
        ):
            raise outcomes.UnknownOutcomeError(
                f"{head.length} bytes can't arrive in time",
                step="read answer",
                peer=target.id,
            )

        def finish(is_whole: bool) -> None:
            if is_whole:
                connection.finish()
                self._pool.release(address, connection)
            else:
                connection.abort()

        source = responses.ResponseSource(
            target.id,
            connection.body,
            limits,
            finish,
            lambda: target.note_failure(clocks.monotonic()),
        )
        return await responses.read_response(
            head,
            self._dialect.answer_headers(head.headers),
            metadata,
            source,
            self._budget.reserve(),
        )


def _check_answer(
    metadata: interfaces.AnswerMetadata,
    expected_id: str,
    target: targets.Target,
) -> None:
    """Raises an error if an answer tells nothing about a request."""
    problem = ""
    is_misdirected = metadata.kind is interfaces.AnswerKind.MISDIRECTED
    if metadata.attempt_id != expected_id:
        problem = "answer without id"
    elif metadata.kind is interfaces.AnswerKind.CONTRADICTORY:
        problem = "contradictory answer"
    elif metadata.answered_by not in ("", target.id) and not is_misdirected:
        problem = f"answer of {metadata.answered_by}"
    if problem:
        raise outcomes.UnknownOutcomeError(
            problem, step="check answer", peer=target.id
        )


def encode_request(call: Call, headers: list[tuple[str, str]]) -> bytes:
    """Returns the head of a request and its body, if that is buffered."""
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


async def while_sending_body(
    call: Call,
    connection: connections.UpstreamConnection,
    receive: collections.abc.Coroutine[None, None, responses.UpstreamResponse],
) -> responses.UpstreamResponse:
    """Receives the response while the rest of the body is sent, if any.

    Args:
        call: The request, whose head was sent.
        connection: Its connection.
        receive: Receives the response.
    """
    if call.body is not None:
        return await receive
    sender = asyncio.create_task(_send_stream(call, connection))
    try:
        return await receive
    finally:
        if not sender.done():
            # What is sent next would be taken for the rest of the body.
            connection.is_usable = False
            sender.cancel()
            # Until it ended it may read from the body, as its caller does next.
            await asyncio.wait([sender])
        elif not sender.cancelled() and sender.exception():
            connection.is_usable = False


async def _send_stream(call: Call, connection) -> None:
    is_chunked = call.length is None
    async for piece in call.stream:
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        await connection.send_body(piece)
    if is_chunked:
        await connection.send_body(b"0\r\n\r\n")
