"""Sessions with the servers of a service, which renew their leases."""

import abc
import asyncio

from swiftstile import clocks
from swiftstile import errors
from swiftstile import hashing
from swiftstile import ids
from swiftstile import settings as settings_lib
from swiftstile.ownership import grants
from swiftstile.ownership import holder as holder_lib
from swiftstile.ownership import leases

__all__ = ["FencedSession", "ProbedSession", "ServerSession", "slices_digest"]

# A server is failing after this many consecutive calls without an answer.
_FAILING_MISSES = 2
# Wait before the next call to a server that missed one or is draining.
_RETRY_SOON_S = 0.02


class ServerSession(abc.ABC):
    """Calls one server periodically.

    Attributes:
        server: The server.
        changed: Set when the state of the session has changed, to start a step
            of the coordination.
    """

    def __init__(
        self,
        server: ids.ServerId,
        address: str,
        control: grants.UpstreamControl,
        settings: settings_lib.CoordinatorSettings,
        changed: asyncio.Event,
    ):
        self.server = server
        self.changed = changed
        self._address = address
        self._control = control
        self._settings = settings
        self._misses = 0
        self._answered = False
        self._retry_soon = False
        self._due = asyncio.Event()

    @property
    def live(self) -> bool:
        """Whether the server answered its last call and may own slices."""
        return self._answered and self._misses == 0

    @property
    def failing(self) -> bool:
        """Whether the server has missed several consecutive calls."""
        return self._misses >= _FAILING_MISSES

    def may_own_slices(self) -> bool:
        """Returns whether the server may still own slices by its grants."""
        return False

    def wake(self) -> None:
        """Starts the next call without waiting for the interval."""
        self._due.set()

    async def run(self) -> None:
        """Calls the server until cancelled."""
        while True:
            self._due.clear()
            was = (self.live, self.failing)
            try:
                await self._call()
                self._misses = 0
                self._answered = True
            except errors.PeerUnavailableError:
                self._misses += 1
            if (self.live, self.failing) != was:
                self.changed.set()
            await self._pause()

    async def _pause(self) -> None:
        hurry = self._retry_soon or 0 < self._misses < _FAILING_MISSES
        wait = _RETRY_SOON_S if hurry else self._settings.renew_interval_s
        try:
            async with asyncio.timeout(wait):
                await self._due.wait()
        except TimeoutError:
            return

    @abc.abstractmethod
    async def _call(self) -> None:
        """Calls the server once. Raises PeerUnavailableError."""


class ProbedSession(ServerSession):
    """Session with a server that accepts no grants and is only probed."""

    async def _call(self) -> None:
        await self._control.probe(self._address)


class FencedSession(ServerSession):
    """Session with a server that accepts fenced grants.

    Attributes:
        may_own: Slices that the server may still own.
    """

    def __init__(self, *args, holder: holder_lib.LeaseHolder):
        super().__init__(*args)
        self.may_own: set[grants.GrantedSlice] = set()
        self._holder = holder
        self._wanted: tuple[grants.GrantedSlice, ...] = ()
        self._wanted_digest = slices_digest(())
        self._granted_until = 0.0
        self._sequence = 0
        self._clock: leases.ServerClockReading | None = None
        self._held_digest = ""

    def set_wanted(self, wanted: tuple[grants.GrantedSlice, ...]) -> None:
        """Sets the slices to grant to the server."""
        if wanted != self._wanted:
            self._wanted = wanted
            self._wanted_digest = slices_digest(wanted)
            self.wake()

    @property
    def is_confirmed(self) -> bool:
        """Whether the server has confirmed the slices to grant."""
        return self._held_digest == self._wanted_digest

    def may_own_slices(self) -> bool:
        """See base class."""
        return bool(self.may_own)

    def expire_leases(self, now: float) -> None:
        """Clears `may_own` once the server's lease has lapsed."""
        if now > self._granted_until + clocks.DRIFT_MARGIN_S:
            self.may_own.clear()

    async def _call(self) -> None:
        try:
            if self._clock is None:
                await self._read_clock()
            await self._grant()
        except errors.PeerUnavailableError:
            # Read the server's clock again before the next grant. Otherwise
            # grants that the server reads later could still renew its lease.
            self._clock = None
            raise

    async def _read_clock(self) -> None:
        reply = await self._control.read_clock(
            self._address, self._holder.service
        )
        self._record_clock(reply)
        self._held_digest = reply.digest

    async def _grant(self) -> None:
        now = clocks.monotonic()
        lease_end = now + self._settings.server_lease_s
        end = min(lease_end, self._holder.validity.valid_until())
        if end <= now:
            return
        wanted, digest = self._wanted, self._wanted_digest
        self._sequence += 1
        service = self._holder.service
        grant = grants.Grant(
            service.organisation,
            service.service,
            self._clock.instance,
            self._holder.lease.epoch,
            self._sequence,
            self._clock.to_server_time(end),
            digest,
            None if digest == self._held_digest else wanted,
        )
        # Recorded before the grant is sent, as it may take effect without an
        # answer.
        self.may_own.update(wanted)
        self._granted_until = max(self._granted_until, end)
        reply = await self._control.grant(self._address, grant)
        self._process_reply(reply, digest, wanted)

    def _process_reply(self, reply, digest, wanted) -> None:
        if reply.epoch > self._holder.lease.epoch:
            raise holder_lib.LeaseLostError(
                f"server saw epoch {reply.epoch}",
                step="grant",
                peer=self._address,
            )
        if not reply.accepted:
            self._held_digest = ""
            raise errors.PeerUnavailableError(
                reply.reason, step="grant", peer=self._address
            )
        self._record_clock(reply)
        self._held_digest = digest
        self._retry_soon = reply.draining > 0
        if not reply.draining and self.may_own != set(wanted):
            self.may_own = set(wanted)
            self.changed.set()

    def _record_clock(self, reply: grants.GrantReply) -> None:
        received_at = clocks.monotonic()
        self._clock = leases.ServerClockReading(
            reply.instance, reply.clock, received_at
        )


def slices_digest(wanted: tuple[grants.GrantedSlice, ...]) -> str:
    """Returns a digest of a set of slices."""
    text = ";".join(f"{p.start},{p.end},{p.fence}" for p in wanted)
    return f"{hashing.text_hash(text):016x}"
