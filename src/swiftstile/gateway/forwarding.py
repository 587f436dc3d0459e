"""Forwards requests to other VMs while this VM reaches no upstream.

Over HTTP like requests to upstreams, and not over the control links: bodies and
responses are streamed, and closing the connection cancels a request.

A VM that can't send a request to an upstream says so, and another one is asked;
a forwarded request isn't forwarded again.
"""

import asyncio
import re

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import body_budget
from swiftstile.gateway import connection_pool
from swiftstile.gateway import connections
from swiftstile.gateway import exchange
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forward_selection
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import reports
from swiftstile.gateway import responses

__all__ = ["MAX_ASKED_VMS", "PeerForwarder", "retry_after_s"]

# VMs that are asked for one request.
MAX_ASKED_VMS = 3
# Extra wait for the response of a VM that stops at the deadline itself.
_DEADLINE_GRACE_S = 0.08
# Maximum size of the body of an error.
_MAX_ERROR_BYTES = 1 << 16
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Reasons for which a VM didn't handle a request and another one may.
_UNABLE = frozenset(
    error.reason
    for error in (
        outcomes.NoUpstreamPathError,
        outcomes.ForwardLimitError,
        outcomes.NotReadyError,
        outcomes.StaleConfigError,
        outcomes.StoppingError,
        outcomes.UnknownVmError,
    )
)
# Reasons for which a VM of the own failure domain isn't asked for a while: it
# may have lost its upstreams as well and not know it yet.
_SUSPECT_IF_NEAR = frozenset(
    error.reason
    for error in (
        outcomes.UpstreamUnreachableError,
        outcomes.UnknownOutcomeError,
    )
)


class _ErrorBody(msgspec.Struct):
    """Body of a response that no upstream gave."""

    reason: str
    step: str = ""
    peer: str = ""
    message: str = ""


class PeerForwarder:
    """Forwards the requests of this VM's callers.

    Args:
        own_run: Short name of this run.
        selector: Selects the VM.
        pool: Connections to other VMs.
        dialect: Tells which headers apply to a single connection.
        meters: Counts forwarded requests.
        budget: Memory of the bodies of all responses.
    """

    def __init__(
        self,
        own_run: str,
        selector: forward_selection.ForwardSelector,
        pool: connection_pool.ConnectionPool,
        dialect: interfaces.RequestDialect,
        meters: metrics.Meters,
        budget: body_budget.BodyBudget,
    ):
        self._budget = budget
        self.own_run = own_run
        self._selector = selector
        self._pool = pool
        self._dialect = dialect
        self._meters = meters

    def has_peer(self, now: float) -> bool:
        """Whether there is a VM to forward to."""
        return self._selector.has_any(now)

    async def forward(
        self, call: exchange.Call, arrived: float, origin
    ) -> responses.UpstreamResponse:
        """Forwards a request and returns the upstream's response.

        Args:
            call: The request.
            arrived: When it arrived, on the monotonic clock.
            origin: Returns what to state about it, given its age.

        Raises:
            NoUpstreamPathError: No VM can send it to an upstream.
            ForwardedError: A VM handled it and no upstream answered.
            UnknownOutcomeError: No complete response; it may have run.
            TimedOutError: No response in time; it may have run.
        """
        tried = set()
        while len(tried) < MAX_ASKED_VMS:
            peer = self._selector.choose(tried, clocks.monotonic())
            if peer is None:
                break
            tried.add(peer.row.node)
            try:
                response = await self._send(call, peer, arrived, origin)
            except outcomes.ForwardedError as error:
                self._meters.forwards.add(error.reason)
                if not self._may_ask_another(error, peer, call):
                    raise
            except outcomes.UpstreamUnreachableError:
                self._meters.forwards.add("peer-unreachable")
            else:
                self._meters.forwards.add("answered")
                return response
            self._selector.avoid(peer.row.node, clocks.monotonic())
        self._meters.forwards.add("no-peer")
        raise outcomes.NoUpstreamPathError(
            f"{len(tried)} VMs asked", step="forward"
        )

    def _may_ask_another(
        self,
        error: outcomes.ForwardedError,
        peer: reports.Peer,
        call: exchange.Call,
    ) -> bool:
        """Whether another VM may get a request that a VM didn't handle."""
        is_suspect = error.reason in _SUSPECT_IF_NEAR and (
            self._selector.is_near(peer)
        )
        if is_suspect:
            self._selector.avoid(peer.row.node, clocks.monotonic())
        has_run = error.reason == outcomes.UnknownOutcomeError.reason
        is_unable = error.reason in _UNABLE or (is_suspect and not has_run)
        return is_unable and call.can_resend

    async def _send(
        self, call: exchange.Call, peer: reports.Peer, arrived: float, origin
    ) -> responses.UpstreamResponse:
        node, address = peer.row.node, peer.row.forward_address
        self._selector.note_started(node)
        connection = None
        keeps_connection = False
        try:
            connection = await self._pool.acquire(address, call.is_idempotent)
            now = clocks.monotonic()
            data = exchange.encode_request(
                call, self._headers(call, origin(now - arrived))
            )
            connection.send_request(call.method, data)
            async with asyncio.timeout(
                max(0.0, call.deadline - now) + _DEADLINE_GRACE_S
            ):
                response = await exchange.while_sending_body(
                    call,
                    connection,
                    self._receive(call, connection, address, node),
                )
            keeps_connection = True
            return response
        except outcomes.ForwardedError:
            keeps_connection = True
            raise
        except errors.PeerUnavailableError as error:
            raise outcomes.UpstreamUnreachableError(
                str(error), step="forward", peer=node
            ) from error
        except TimeoutError as error:
            raise outcomes.TimedOutError(
                "no answer in time", step="forward", peer=node
            ) from error
        except connections.EXCHANGE_ERRORS as error:
            self._selector.avoid(node, clocks.monotonic())
            raise outcomes.UnknownOutcomeError(
                repr(error), step="forward", peer=node
            ) from error
        finally:
            self._selector.note_ended(node)
            if connection is not None and not keeps_connection:
                connection.abort()

    def _headers(
        self, call: exchange.Call, origin: forward_headers.Origin
    ) -> list[tuple[str, str]]:
        kept = self._dialect.end_to_end_headers(call.headers)
        return forward_headers.end_to_end(kept) + origin.headers()

    async def _receive(
        self, call: exchange.Call, connection, address: str, node: str
    ) -> responses.UpstreamResponse:
        head = await connection.next_head()
        outcome = head.headers.get(forward_headers.OUTCOME_HEADER, "")
        headers = forward_headers.end_to_end(
            self._dialect.answer_headers(head.headers)
        )

        def finish(is_whole: bool) -> None:
            if is_whole:
                connection.finish()
                self._pool.release(address, connection)
            else:
                connection.abort()

        if outcome == forward_headers.ANSWERED:
            source = responses.ResponseSource(
                node,
                connection.body,
                call.response_limits(head.length),
                finish,
                lambda: self._selector.avoid(node, clocks.monotonic()),
            )
            return await responses.read_response(
                head, headers, None, source, self._budget.reserve()
            )
        body, is_whole = await connection.body.read(_MAX_ERROR_BYTES)
        finish(is_whole)
        if not outcome:
            raise outcomes.UnknownOutcomeError(
                f"status {head.status} without outcome",
                step="forward",
                peer=node,
            )
        raise _forwarded_error(head, body, node)


def _forwarded_error(head, body: bytes, node: str) -> outcomes.ForwardedError:
    """Returns the error of a VM that got no answer of an upstream."""
    try:
        stated = msgspec.json.decode(body, type=_ErrorBody)
    except msgspec.MsgspecError as error:
        raise outcomes.UnknownOutcomeError(
            f"malformed error: {error}", step="forward", peer=node
        ) from error
    result = outcomes.ForwardedError(
        f"by {node}: {stated.message}", step=stated.step, peer=stated.peer
    )
    result.status, result.reason = head.status, stated.reason
    result.retry_after_s = retry_after_s(head.headers.get("Retry-After"))
    return result


def retry_after_s(text: str | None) -> float | None:
    """Returns the wait that a VM states, or None if there is none."""
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
