"""Pools connections to upstreams."""

import asyncio
import collections

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile.gateway import connections
from swiftstile.gateway import link_observers

__all__ = ["ConnectionPool"]

# Timeout for opening a connection. Two round trips within a region take less
# than 10 ms; a lost SYN is retransmitted after 1 s only.
CONNECT_TIMEOUT_S = 0.4
# Maximum idle connections to one upstream: its slots and some queued requests.
MAX_IDLE_PER_ADDRESS = 6
# After a reused connection broke before any response, connections that have
# been idle for more than MAX_SAFE_IDLE_S aren't used for non-idempotent
# requests for UNSAFE_REUSE_PAUSE_S: servers may have dropped them silently, and
# a reset doesn't tell whether the request ran. Affected servers drop
# connections that were idle for 0.3 s or more, over a period of some seconds.
UNSAFE_REUSE_PAUSE_S = 10.0
MAX_SAFE_IDLE_S = 0.2
# For this long after an upstream sent foreign bytes, requests that may run once
# and orders are sent to it on new connections, which hold none.
DISTRUST_S = 10.0


class ConnectionPool:
    """Idle connections to upstreams, by address.

    Args:
        local_host: Address that connections come from; empty for any.
        observer: Is told what the connections show about the paths.
    """

    def __init__(
        self,
        local_host: str = "",
        observer: link_observers.LinkObserver | None = None,
    ):
        self._local_address = (local_host, 0) if local_host else None
        self._observer = observer or link_observers.UNOBSERVED
        self._idle_by_address: dict[
            str, collections.deque[connections.UpstreamConnection]
        ] = {}
        self.opened = 0
        self._restricted_until = 0.0
        self._distrusted_until_by_address: dict[str, float] = {}

    async def acquire(
        self, address: str, is_idempotent: bool, attempt_id: str = ""
    ) -> connections.UpstreamConnection:
        """Returns an idle connection, or a new one.

        Args:
            address: Address of the upstream.
            is_idempotent: Whether the request may be sent more than once.
            attempt_id: Id that its answer bears, if it isn't used only once.
                Connections that carried it before aren't returned.

        Raises:
            PeerUnavailableError: No connection could be opened; nothing was
                sent.
        """
        connection = self._take_idle(address, is_idempotent, attempt_id)
        if connection is None:
            connection = await self._open_for_request(address)
        if attempt_id:
            connection.note_attempt(attempt_id)
        return connection

    def _take_idle(
        self, address: str, is_idempotent: bool, attempt_id: str
    ) -> connections.UpstreamConnection | None:
        """Returns the newest idle connection that a request may be sent on."""
        now = clocks.monotonic()
        if not is_idempotent and self._is_distrusted(address, now):
            return None
        is_restricted = not is_idempotent and now < self._restricted_until
        idle = self._idle_by_address.get(address)
        passed_over: list[connections.UpstreamConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            was_idle_long = now - connection.idle_since > MAX_SAFE_IDLE_S
            if (
                not connection.can_reuse(now)
                or (is_restricted and was_idle_long)
                or (not is_idempotent and connection.has_unread_input())
            ):
                connection.abort()
            elif attempt_id and connection.has_carried(attempt_id):
                passed_over.append(connection)
            else:
                connection.is_reused = True
                connection.is_probe = False
                found = connection
        if passed_over:
            idle.extend(reversed(passed_over))
        return found

    async def open(self, address: str) -> connections.UpstreamConnection:
        """Returns a connection on which nothing was sent before.

        Raises:
            PeerUnavailableError: No connection could be opened.
        """
        return await self._open_for_request(address)

    async def _open_for_request(
        self, address: str
    ) -> connections.UpstreamConnection:
        if not self._observer.may_open():
            raise errors.PeerUnreachableError(
                "no new connection opens", step="connect", peer=address
            )
        return await self._open(address)

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether an address refuses connections.

        Returns False if this is unknown, as the address may be unreachable.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(address, connection)
        return False

    async def opens(self, address: str, for_s: float) -> bool:
        """Returns whether a new connection opens and stays open for a time.

        Args:
            address: Address of the upstream.
            for_s: The time. Servers that are short of processor time reset
                connections late.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError:
            return False
        try:
            await asyncio.sleep(for_s)
        except asyncio.CancelledError:
            connection.abort()
            raise
        is_open = connection.is_usable
        self.release(address, connection)
        return is_open

    async def answers(self, address: str, path: str) -> bool:
        """Returns whether a request on a new connection is answered.

        Args:
            address: Address of the upstream.
            path: Path that any request may ask for.
        """
        try:
            connection = await self._open(address, is_probe=True)
        except errors.PeerUnreachableError:
            return False
        request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        is_complete = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection.send_request("GET", request.encode())
                await connection.next_head()
                is_complete = await connection.body.discard(
                    connections.MAX_SKIPPED_BYTES
                )
        except (
            TimeoutError,
            errors.PeerUnavailableError,
            *connections.EXCHANGE_ERRORS,
        ) as error:
            logs.logger.debug("no answer", peer=address, error=repr(error))
            return connection.has_response
        finally:
            if is_complete:
                connection.finish()
                self.release(address, connection)
            else:
                connection.abort()
        return True

    async def _open(
        self, address: str, is_probe: bool = False
    ) -> connections.UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: connections.UpstreamConnection(
                        loop,
                        address,
                        self._observer,
                        is_probe,
                        self._note_foreign_bytes,
                    ),
                    host,
                    int(port),
                    local_addr=self._local_address,
                )
        except (OSError, TimeoutError, ValueError) as error:
            now = clocks.monotonic()
            if is_probe:
                self._observer.on_probe_failed(address, now)
            else:
                self._observer.on_open_failed(address, now)
            raise errors.PeerUnreachableError(
                repr(error), step="connect", peer=address
            ) from error
        self.opened += 1
        self._observer.on_opened(address, clocks.monotonic())
        return connection

    def _is_distrusted(self, address: str, now: float) -> bool:
        return now < self._distrusted_until_by_address.get(address, 0.0)

    def _note_foreign_bytes(
        self, address: str, kind: link_observers.ForeignBytes
    ) -> None:
        """Distrusts an upstream that sent bytes that are no answer."""
        now = clocks.monotonic()
        if not self._is_distrusted(address, now):
            logs.logger.warning(
                "foreign bytes from upstream", peer=address, kind=kind.value
            )
        self._distrusted_until_by_address = {
            known: until
            for known, until in self._distrusted_until_by_address.items()
            if until > now
        }
        self._distrusted_until_by_address[address] = now + DISTRUST_S

    def on_broken(
        self, connection: connections.UpstreamConnection, now: float
    ) -> None:
        """Records that a connection broke before its response was complete."""
        if connection.is_reused and not connection.has_response:
            self._restricted_until = now + UNSAFE_REUSE_PAUSE_S

    def release(
        self, address: str, connection: connections.UpstreamConnection
    ) -> None:
        """Returns a connection to the pool if it can be reused."""
        if not connection.is_usable:
            return
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().abort()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()
