"""A request from its arrival to its answer."""

import asyncio
import random

from aiohttp import web_request
from aiohttp import web_response
import aiohttp.http_exceptions

from swiftstile import clocks
from swiftstile import ids
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import arrivals
from swiftstile.gateway import budget
from swiftstile.gateway import crash_watch
from swiftstile.gateway import decisions
from swiftstile.gateway import exchange
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import owners
from swiftstile.gateway import permits as permits_lib
from swiftstile.gateway import speeds
from swiftstile.gateway import targets
from swiftstile.gateway import weighted_round_robin
from swiftstile.gateway import work_times

__all__ = ["Handler"]

# Bodies up to this size are read whole, so that they can be sent again.
WHOLE_BODY_BYTES = 1 << 20
# Sends that owners turned away because a key was on the move. They run
# nothing, and the key's next owner is the only place to go.
MAX_MISDIRECTED = 3
# Upstreams that are tried though no connection to them can be opened.
MAX_UNREACHABLE = 4
# A shedding target is left alone for as long as a slot takes to come free.
SHED_PAUSE_S = 0.1
# When to come back after upstreams refused for lack of room.
SHED_RETRY_AFTER_S = 0.2
# The same where they had room, in objectives: another try may well be taken,
# and can still be in time. Soon, but not all at the same moment.
ROOM_RETRY_AFTER = (0.05, 0.15)
_FIRST_FAILURE = 400
_READ_ERRORS = (
    aiohttp.ClientError,
    aiohttp.http_exceptions.HttpProcessingError,
    ConnectionError,
    ValueError,
)


class _Progress:
    """What became of the sends of one request so far."""

    def __init__(self):
        self.sends = 0
        self.misdirected = 0
        self.unreachable = 0
        self.may_have_run = False


class Handler:
    """Answers requests by the configuration in force.

    Attributes:
        config: The configuration; None until one is known.
        is_config_unread: The operator wrote a newer one that can't be used.
    """

    def __init__(
        self,
        permits: permits_lib.PermitClient,
        sender: exchange.Exchange,
        dialect: interfaces.RequestDialect,
        book: targets.TargetTable,
        key_owners: owners.KeyOwners,
        retry_budget: budget.RetryBudget,
        speed_book: speeds.SpeedTable,
        log: decisions.BoundedLines,
        store: follow.TableFollower,
        operations: follow.TableFollower,
        crashes: crash_watch.CrashWatch,
        meters: metrics.Meters,
    ):
        self.config: model.Config | None = None
        self.is_config_unread = False
        self._permits = permits
        self._sender = sender
        self._dialect = dialect
        self._book = book
        self._owners = key_owners
        self._budget = retry_budget
        self._speeds = speed_book
        self._log = log
        self._store = store
        self._operations = operations
        self._crashes = crashes
        self._meters = meters
        self._times = work_times.WorkTimeEstimates()
        self._shares = weighted_round_robin.WeightedRoundRobin()

    def may_overlap(self, request: web_request.BaseRequest) -> bool:
        """Whether a request may run beside those ahead on its connection."""
        if request.body_exists:
            return False
        try:
            route, _ = self._route(request)
        except outcomes.GatewayError:
            # Its failure is found when it is its turn.
            return False
        return route.repeatability is model.Repeatability.IDEMPOTENT

    async def answer(
        self, arrival: arrivals.Arrival
    ) -> web_response.StreamResponse:
        """Returns the response for a caller.

        Raises:
            GatewayError: There is no upstream's answer.
        """
        request, arrived = arrival.request, arrival.arrived
        inbound = self._dialect.parse_request(request.headers)
        story = decisions.Story(self._log)
        is_well = False
        route = None
        try:
            route, config = self._route(request)
            response = await self._serve(arrival, inbound, route, config, story)
            is_well = response.status < _FIRST_FAILURE
            return response
        except outcomes.GatewayError as error:
            self._note_end(inbound, route, error, arrived, story)
            raise
        except asyncio.CancelledError:
            story.note(
                decisions.RequestDecision(
                    id=inbound.attempt_id,
                    event="abandoned",
                    reason="the caller left",
                    waited_ms=clocks.milliseconds(clocks.monotonic() - arrived),
                    key=inbound.key,
                )
            )
            raise
        finally:
            story.end(is_well)

    def work_s(self, service: ids.ServiceName) -> float | None:
        """Returns the mean work of a service's requests, once measured."""
        return self._times.service_mean_s(service)

    def _route(self, request) -> tuple[model.Route, model.Config]:
        config = self.config
        if config is None:
            raise outcomes.NotReadyError(
                "no configuration known yet", step="find route"
            )
        target = request.raw_path
        if not target.startswith("/"):
            raise outcomes.BadRequestError(
                "the target isn't a path", step="find route"
            )
        host = request.headers.get("Host", "").rpartition(":")
        name = host[0] if host[2].isdigit() and host[0] else "".join(host)
        route = config.find(name.lower(), target.partition("?")[0])
        if route is None:
            raise self._not_allowed(
                outcomes.NoRouteError(
                    f"no route in version {config.version}", step="find route"
                )
            )
        return route, config

    def _not_allowed(
        self, error: outcomes.GatewayError
    ) -> outcomes.GatewayError:
        """Returns what is said of a request that the configuration bars.

        A newer one may allow it, so a final answer is given only by one that is
        known to be current.
        """
        is_current = self._operations.is_current(clocks.monotonic())
        if is_current and not self.is_config_unread:
            return error
        return outcomes.StaleConfigError(
            f"{error.args[0]}; a newer configuration may allow it",
            step=error.step,
        )

    async def _serve(self, arrival, inbound, route, config, story):
        request, arrived = arrival.request, arrival.arrived
        service = self._shares.next_service(route)
        self._budget.note_request(service, arrived)
        wait_s = route.timeout_s
        if inbound.timeout_s is not None:
            wait_s = min(wait_s, inbound.timeout_s)
        call = await self._call(
            request, inbound, route, config, arrived + wait_s
        )
        if self._crashes.has_suspects:
            call.is_trial = self._crashes.check(call.digest(), arrived)
        spec = config.services_by_name.get(service)
        lookup = None
        if spec is not None and spec.is_keyed and inbound.key is not None:
            lookup = self._owners.lookup(service, inbound.key)
        waiter = admission.Waiter(
            route,
            service,
            lookup,
            arrived,
            call.end,
            self._times.expected_s(route),
            inbound.key,
            None if inbound.timeout_s is None else arrived + inbound.timeout_s,
        )
        answer = await self._attempts(call, waiter, story)
        if answer.body is None:
            await arrival.turn()
            return await exchange.relay(request, answer)
        response = web_response.Response(status=answer.status, body=answer.body)
        response.headers.popall("Content-Type", None)
        for name, value in answer.headers:
            response.headers.add(name, value)
        return response

    async def _call(
        self, request, inbound, route, config, end
    ) -> exchange.Call:
        self._check_sizes(request, config.limits)
        limit = config.limits.max_body_bytes
        length = request.content_length
        body, stream, first_part = b"", None, b""
        if request.body_exists:
            await _invite_body(request)
            body, stream, first_part = await self._read(request, limit)
        return exchange.Call(
            request.method,
            request.raw_path,
            request.headers,
            inbound,
            body,
            stream,
            length,
            end,
            route.repeatability is model.Repeatability.IDEMPOTENT,
            first_part,
            inbound.caller or request.remote or "",
        )

    def _check_sizes(
        self, request: web_request.BaseRequest, limits: model.Limits
    ) -> None:
        try:
            _check_head(request, limits.max_header_bytes)
            _check_length(request, limits.max_body_bytes)
        except outcomes.GatewayError as error:
            raise self._not_allowed(error) from error

    async def _read(self, request, limit: int):
        """Returns the body, or a stream of it and its first part."""
        pieces, size = [], 0
        content = request.content
        try:
            while size <= WHOLE_BODY_BYTES:
                piece = await content.readany()
                if not piece:
                    return b"".join(pieces), None, b""
                pieces.append(piece)
                size += len(piece)
        except _READ_ERRORS as error:
            raise outcomes.BadRequestError(
                repr(error), step="read body"
            ) from error
        first_part = b"".join(pieces)[:WHOLE_BODY_BYTES]
        return None, _rest(pieces, content, limit), first_part

    async def _attempts(self, call, waiter, story) -> exchange.Answer:
        progress = _Progress()
        while True:
            try:
                target = await self._permits.acquire(waiter)
            except outcomes.RefusedError as error:
                raise self._final(error, waiter, progress) from error
            if self._crashes.has_suspects and not call.is_trial:
                # It may have been found to crash upstreams while it waited.
                try:
                    self._crashes.check(call.digest(), clocks.monotonic())
                except outcomes.CrashingRequestError as error:
                    self._permits.release(waiter, target)
                    raise self._final(error, waiter, progress) from error
            progress.sends += 1
            self._note_sent(call, waiter, target, progress, story)
            sent = clocks.monotonic()
            try:
                answer = await self._sender.send(call, target)
            except outcomes.GatewayError as error:
                now = clocks.monotonic()
                self._learn(error, waiter, target, progress, call, now)
                may_go_on = await self._look_for_crash(
                    error, call, target, now - sent
                )
                now = clocks.monotonic()
                if not may_go_on or not self._may_repeat(
                    error, call, waiter, progress, now
                ):
                    raise self._final(error, waiter, progress) from error
            else:
                self._note_answer(call, waiter, target, answer, sent, story)
                return answer
            finally:
                self._permits.release(waiter, target)

    async def _look_for_crash(self, error, call, target, sent_s: float) -> bool:
        """Returns whether a request may go to another upstream after all.

        It may not if it is likely that this one fell because of it.
        """
        is_broken = getattr(error, "is_broken", False)
        if not is_broken or not await self._crashes.fell(target):
            return True
        digest = call.digest()
        now = clocks.monotonic()
        self._crashes.note_crash(digest, target, sent_s, now)
        return self._crashes.may_send_again(digest)

    def _learn(self, error, waiter, target, progress, call, now) -> None:
        """Takes from a failure what it says of the target."""
        self._meters.sends.add(error.reason)
        if isinstance(error, outcomes.MisdirectedError):
            progress.misdirected += 1
            if waiter.owner is None:
                waiter.excluded.add(target.id)
            else:
                self._owners.note_misdirected(
                    waiter.service, call.inbound.key, now
                )
        elif isinstance(error, outcomes.ReplacedError):
            self._book.mark_replaced(target, now)
            waiter.excluded.add(target.id)
        elif isinstance(error, outcomes.UpstreamUnreachableError):
            target.note_failure(now)
        elif isinstance(error, outcomes.NotRunError):
            if not error.had_room:
                target.note_rejected(now, SHED_PAUSE_S)
            if waiter.owner is None:
                waiter.excluded.add(target.id)
        else:
            progress.may_have_run = True
            target.note_failure(now)
            if waiter.owner is None:
                waiter.excluded.add(target.id)

    def _may_repeat(self, error, call, waiter, progress, now) -> bool:
        if not call.can_repeat or now + waiter.expected_s > call.end:
            return False
        if isinstance(error, outcomes.UpstreamUnreachableError):
            # Nothing was sent, so it counts neither as a send nor as a repeat.
            progress.sends -= 1
            progress.unreachable += 1
            return progress.unreachable < MAX_UNREACHABLE
        if not isinstance(error, outcomes.NotRunError):
            route = waiter.route
            if route.repeatability is not model.Repeatability.IDEMPOTENT:
                return False
        if isinstance(error, outcomes.MisdirectedError):
            if progress.misdirected > MAX_MISDIRECTED:
                return False
        elif progress.sends >= waiter.route.max_attempts:
            return False
        if not self._budget.can_spend(waiter.service, now):
            self._meters.refusals.add("retry-budget")
            return False
        self._budget.spend(waiter.service, now)
        return True

    def _final(self, error, waiter, progress) -> outcomes.GatewayError:
        """Returns what the caller is told; an earlier send may have run."""
        if progress.may_have_run and isinstance(
            error, (outcomes.NotRunError, outcomes.RefusedError)
        ):
            return outcomes.UnknownOutcomeError(
                f"an earlier send may have run; {error}",
                step="send again",
                peer=error.peer,
            )
        if isinstance(error, outcomes.NotRunError):
            error.retry_after_s = SHED_RETRY_AFTER_S
            if error.had_room:
                part = random.uniform(*ROOM_RETRY_AFTER)
                error.retry_after_s = part * waiter.route.objective_s
        return error

    def _note_answer(self, call, waiter, target, answer, sent, story) -> None:
        now = clocks.monotonic()
        took_s = now - sent
        self._meters.sends.add("answered")
        target.note_answer(now)
        if self._crashes.remembers(call.length or 0):
            self._crashes.note_answer(call.digest(), now)
        if answer.status < 300 and _did_not_wait(waiter, target, answer):
            prior_s = work_times.default_work_s(waiter.route)
            slowdown = _slowdown(answer)
            self._speeds.add_sample(target.id, took_s / prior_s / slowdown, now)
            self._times.add_sample(
                waiter.route, waiter.service, took_s / target.slowness
            )
        story.note(
            decisions.RequestDecision(
                id=call.inbound.attempt_id,
                event="answered",
                route=waiter.route.name,
                service=waiter.service,
                upstream=target.id,
                status=answer.status,
                waited_ms=clocks.milliseconds(now - waiter.arrived),
            )
        )

    def _note_sent(self, call, waiter, target, progress, story) -> None:
        now = clocks.monotonic()
        config = self.config
        story.note(
            decisions.RequestDecision(
                id=call.inbound.attempt_id,
                event="sent",
                route=waiter.route.name,
                service=waiter.service,
                upstream=target.id,
                attempt=progress.sends,
                waited_ms=clocks.milliseconds(now - waiter.arrived),
                left_ms=clocks.milliseconds(call.end - now),
                key=call.inbound.key,
                config=config.version if config else 0,
                key_map=self._owners.version(waiter.service),
                store_age_ms=clocks.milliseconds(now - self._store.contact_at),
                occupied=target.occupied(now),
                queued=self._permits.queued,
            )
        )

    def _note_end(self, inbound, route, error, arrived, story) -> None:
        now = clocks.monotonic()
        target = self._book.by_id.get(error.peer)
        self._meters.refusals.add(error.reason)
        story.note(
            decisions.RequestDecision(
                id=inbound.attempt_id,
                event="refused" if error.status == 503 else "failed",
                route="" if route is None else route.name,
                upstream=error.peer,
                status=error.status,
                reason=f"{error.reason}: {error}",
                waited_ms=clocks.milliseconds(now - arrived),
                retry_after_ms=clocks.milliseconds(error.retry_after_s or 0),
                key=inbound.key,
                config=self.config.version if self.config else 0,
                store_age_ms=clocks.milliseconds(now - self._store.contact_at),
                occupied=target.occupied(now) if target is not None else 0,
                queued=self._permits.queued,
            )
        )


def _check_head(request: web_request.BaseRequest, limit: int) -> None:
    # Each header line has a colon, a space and its end besides.
    size = sum(len(k) + len(v) + 4 for k, v in request.raw_headers)
    if size > limit:
        raise outcomes.HeaderTooLargeError(
            f"{size} bytes of headers, at most {limit}", step="read headers"
        )


def _check_length(request: web_request.BaseRequest, limit: int) -> None:
    length = request.content_length
    if length is not None and length > limit:
        raise outcomes.BodyTooLargeError(
            f"{length} bytes, at most {limit}", step="read body"
        )


async def _invite_body(request: web_request.BaseRequest) -> None:
    """Tells a caller that waits for it to send the body."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The final answer's head isn't written yet.
        request.writer.output_size = 0


def _did_not_wait(waiter, target, answer) -> bool:
    """Whether the time of an answer was its work, as far as can be told."""
    load = answer.verdict.load
    if load is not None and load.waiting:
        return False
    return waiter.occupied < target.upstream.slots


def _slowdown(answer) -> float:
    """Returns how long work took at an upstream for the moment, over the usual.

    Its lasting speed decides on its share of the keys, not a moment's.
    """
    load = answer.verdict.load
    if load is None or not load.slowdown:
        return 1.0
    return load.slowdown


async def _rest(pieces: list[bytes], content, limit: int):
    size = 0
    for piece in pieces:
        size += len(piece)
        yield piece
    async for piece in content.iter_any():
        size += len(piece)
        if size > limit:
            raise outcomes.BodyTooLargeError(
                f"more than {limit} bytes", step="read body"
            )
        yield piece
