"""Stand-in for an upstream server with slots, fenced grants and a journal.

It serves any path. Query parameters control the response: `ms` is the service
time, `bytes` the length of the body.
"""

import argparse
import asyncio
import hashlib
import time
import uuid

from aiohttp import web
import msgspec
import uvloop

from standins import journal as journal_lib
from swiftstile import clocks
from swiftstile import hashing
from swiftstile.ownership import grants
from swiftstile.ownership import upstream_http
from swiftstile.routing import outcomes

__all__ = ["Ownership", "UpstreamStandin", "main"]

_QUEUE_LIMIT = 64


class Ownership:
    """Slices that a server owns under fenced grants.

    Attributes:
        ignores_fence: Accepts any grant, and any request for a slice that it
            has ever owned. Tests use it to check that a server that doesn't
            enforce fences is detected.
    """

    def __init__(self, journal: journal_lib.Journal, ignores_fence: bool):
        self.ignores_fence = ignores_fence
        self.instance = uuid.uuid4().hex[:12]
        self.epoch = 0
        self._journal = journal
        self._sequence = 0
        self._digest = ""
        self._expires = 0.0
        self._slices: tuple[grants.GrantedSlice, ...] = ()
        # Slices owned earlier; only filled if fences are ignored.
        self._released_slices: tuple[grants.GrantedSlice, ...] = ()
        self._draining: dict[grants.GrantedSlice, float] = {}
        self._in_flight: dict[grants.GrantedSlice, int] = {}

    def status(self) -> grants.GrantReply:
        """Returns the clock and a digest of the owned slices."""
        return self._reply(True)

    def grant(self, grant: grants.Grant) -> grants.GrantReply:
        """Accepts a grant unless stale, expired or for another instance."""
        now = clocks.monotonic()
        reason = self._rejection_reason(grant, now)
        if reason and not self.ignores_fence:
            return self._reply(False, reason)
        self.epoch, self._sequence = grant.epoch, grant.sequence
        if grant.slices is not None and grant.digest != self._digest:
            self._apply_grant(grant, now)
        else:
            self._expires = grant.expires
            self._journal.write(journal_lib.LeaseRenewal(now, grant.expires))
        return self._reply(True)

    def admitting_slice(
        self, position: int, fence: int, now: float
    ) -> grants.GrantedSlice | None:
        """Returns the owned slice that admits a new request, or None."""
        if now >= self._expires and not self.ignores_fence:
            return None
        for owned_slice in self._slices + self._released_slices:
            if owned_slice.start <= position < owned_slice.end:
                is_allowed = owned_slice.fence == fence or self.ignores_fence
                return owned_slice if is_allowed else None
        return None

    def may_commit(self, owned_slice: grants.GrantedSlice, now: float) -> bool:
        """Returns whether a running request on a slice may still commit."""
        if self.ignores_fence:
            return True
        if owned_slice in self._draining:
            return now < self._draining[owned_slice]
        return owned_slice in self._slices and now < self._expires

    def begin_request(self, owned_slice: grants.GrantedSlice) -> None:
        """Counts a request in flight on a slice."""
        self._in_flight[owned_slice] = self._in_flight.get(owned_slice, 0) + 1

    def end_request(self, owned_slice: grants.GrantedSlice) -> None:
        """Removes a request in flight on a slice that has ended."""
        self._in_flight[owned_slice] -= 1
        if not self._in_flight[owned_slice]:
            del self._in_flight[owned_slice]
            if self._draining.pop(owned_slice, None) and not self._draining:
                self._journal.write(
                    journal_lib.DrainCompleted(clocks.monotonic())
                )

    def _rejection_reason(self, grant: grants.Grant, now: float) -> str:
        if grant.instance != self.instance:
            return "grant is for another instance of this server"
        if (grant.epoch, grant.sequence) <= (self.epoch, self._sequence):
            return "a newer grant was accepted"
        if grant.expires <= now:
            return "lease has expired"
        if grant.slices is None and grant.digest != self._digest:
            return "digest doesn't match the owned slices"
        return ""

    def _apply_grant(self, grant: grants.Grant, now: float) -> None:
        released = set(self._slices) - set(grant.slices)
        for owned_slice in released & set(self._in_flight):
            self._draining[owned_slice] = self._expires
        if self.ignores_fence:
            self._released_slices = self._slices + self._released_slices
        self._slices = tuple(grant.slices)
        self._digest = grant.digest
        self._expires = grant.expires
        slices = [(p.start, p.end, p.fence) for p in self._slices]
        service = f"{grant.organisation}/{grant.service}"
        self._journal.write(
            journal_lib.OwnershipChange(now, grant.expires, slices, service)
        )

    def _reply(self, accepted: bool, reason: str = "") -> grants.GrantReply:
        draining = sum(self._in_flight.get(p, 0) for p in self._draining)
        return grants.GrantReply(
            self.instance,
            clocks.monotonic(),
            accepted,
            self.epoch,
            self._digest,
            draining,
            reason,
        )


class UpstreamStandin:
    """Serves requests of one service with a limited number of slots."""

    def __init__(
        self,
        ownership: Ownership | None,
        journal: journal_lib.Journal,
        organisation: str,
        service: str,
        slots: int,
        service_s: float,
    ):
        self._ownership = ownership
        self._journal = journal
        self._organisation = organisation
        self._service = service
        self._slots = asyncio.Semaphore(slots)
        self._service_s = service_s
        self._waiting = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        if request.path == upstream_http.GRANT_PATH and self._ownership:
            grant = msgspec.json.decode(await request.read(), type=grants.Grant)
            return _json(self._ownership.grant(grant))
        if request.path == upstream_http.CLOCK_PATH and self._ownership:
            return _json(self._ownership.status())
        if request.path == "/":
            return web.Response(text="ok")
        digest = hashlib.sha256()
        async for chunk in request.content.iter_any():
            digest.update(chunk)
        return await self._run(request, digest.hexdigest())

    async def _run(self, request, digest: str) -> web.Response:
        headers = request.headers
        deadline_ms = int(headers.get(outcomes.DEADLINE_HEADER, 1 << 60))
        if self._waiting >= _QUEUE_LIMIT:
            return _not_run_response(request, 503, "busy")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run_in_slot(request, digest, deadline_ms)
        finally:
            self._slots.release()

    async def _run_in_slot(self, request, digest, deadline_ms) -> web.Response:
        headers = request.headers
        key = headers.get(outcomes.KEY_HEADER, "")
        fence = int(headers.get(outcomes.FENCE_HEADER, 0))
        position = hashing.key_hash(self._organisation, self._service, key)
        start = clocks.monotonic()
        owned_slice = None
        is_direct = request.path.startswith("/direct")
        if self._ownership and not is_direct:
            owned_slice = self._ownership.admitting_slice(
                position, fence, start
            )
            if owned_slice is None:
                return _not_run_response(request, 421, "not the owner")
            self._ownership.begin_request(owned_slice)
        try:
            service_s = float(request.query.get("ms", -1)) / 1000
            await asyncio.sleep(self._service_s if service_s < 0 else service_s)
            # The same clock reading is checked and written to the journal, so
            # that a pause in between can't record a commit time that the check
            # didn't see.
            commit = clocks.monotonic()
            if owned_slice and not self._ownership.may_commit(
                owned_slice, commit
            ):
                return _not_run_response(request, 421, "no longer the owner")
            if time.time_ns() // 1_000_000 >= deadline_ms:
                return _not_run_response(request, 503, "deadline exceeded")
            self._journal.write(
                journal_lib.Run(
                    headers.get(outcomes.REQUEST_ID_HEADER, ""),
                    headers.get(outcomes.IDEMPOTENCY_HEADER, ""),
                    key,
                    position,
                    fence,
                    start,
                    commit,
                )
            )
            return _response(request, digest)
        finally:
            if owned_slice:
                self._ownership.end_request(owned_slice)


def _response(request, digest: str) -> web.Response:
    request_id = request.headers.get(outcomes.REQUEST_ID_HEADER, "")
    size = int(request.query.get("bytes", 0))
    prefix = f"{request_id} {digest} ".encode()
    return web.Response(
        body=prefix.ljust(size, b"."),
        headers={outcomes.REQUEST_ID_HEADER: request_id},
    )


def _not_run_response(request, status: int, text: str) -> web.Response:
    request_id = request.headers.get(outcomes.REQUEST_ID_HEADER, "")
    headers = {
        outcomes.REQUEST_ID_HEADER: request_id,
        outcomes.OUTCOME_HEADER: outcomes.Outcome.NOT_RUN.value,
    }
    return web.Response(status=status, text=text, headers=headers)


def _json(document: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(document))


def main() -> None:
    """Serves until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--organisation", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--service-ms", type=float, default=2.0)
    parser.add_argument("--fenced", action="store_true")
    parser.add_argument("--ignores-fence", action="store_true")
    args = parser.parse_args()

    async def run() -> None:
        journal = journal_lib.Journal(args.journal)
        ownership = None
        if args.fenced:
            ownership = Ownership(journal, args.ignores_fence)
        upstream = UpstreamStandin(
            ownership,
            journal,
            args.organisation,
            args.service,
            args.slots,
            args.service_ms / 1000,
        )
        server = web.Server(
            upstream.handle, access_log=None, handler_cancellation=True
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", args.port, backlog=512).start()
        await asyncio.Event().wait()

    uvloop.run(run())


if __name__ == "__main__":
    main()
