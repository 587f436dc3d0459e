"""Handles one request from its arrival to its response."""

import asyncio
import collections.abc

from aiohttp import web_request
from aiohttp import web_response

from swiftstile import clocks
from swiftstile import ids
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import budget
from swiftstile.gateway import caller_requests
from swiftstile.gateway import caller_retries
from swiftstile.gateway import crash_detector
from swiftstile.gateway import crash_guard
from swiftstile.gateway import decision_log
from swiftstile.gateway import exchange
from swiftstile.gateway import follow
from swiftstile.gateway import forward_headers
from swiftstile.gateway import forwarding
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import owners
from swiftstile.gateway import permits as permits_lib
from swiftstile.gateway import planned_stop
from swiftstile.gateway import request_bodies
from swiftstile.gateway import request_holds
from swiftstile.gateway import responses
from swiftstile.gateway import retries
from swiftstile.gateway import send_limits as send_limits_lib
from swiftstile.gateway import service_samples
from swiftstile.gateway import service_times
from swiftstile.gateway import speeds
from swiftstile.gateway import targets
from swiftstile.gateway import unanswered
from swiftstile.gateway import upload_slots
from swiftstile.gateway import upstream_links
from swiftstile.gateway import weighted_round_robin

__all__ = ["RequestHandler"]

# Assumed patience of a caller that states none, in seconds.
MAX_WAIT_S = 3600.0
# Pause before a target that rejected a request for lack of slots gets another:
# about the time until a slot becomes free.
OVERLOADED_TARGET_PAUSE_S = 0.1
_FIRST_ERROR_STATUS = 400
# Nearly all answers take less than this many times the mean.
_USUAL_TIMES = 3


class RequestHandler:
    """Handles requests according to the current configuration.

    Attributes:
        config: The configuration; None until one was received.
        is_new_config_invalid: Whether the operator published a newer one
            that is invalid.
        upload_slots: Uploads that hold slots others may wait for.
    """

    def __init__(
        self,
        permits: permits_lib.PermitClient,
        client: exchange.UpstreamClient,
        dialect: interfaces.RequestDialect,
        target_table: targets.TargetTable,
        key_owners: owners.KeyOwners,
        retry_budget: budget.RetryBudget,
        speed_table: speeds.SpeedTable,
        log: decision_log.BoundedLog,
        store: follow.TableFollower,
        operations: follow.TableFollower,
        guard: crash_guard.CrashGuard,
        detector: crash_detector.CrashDetector,
        links: upstream_links.UpstreamLinks,
        forwarder: forwarding.PeerForwarder,
        meters: metrics.Meters,
        sampler: service_samples.ServiceTimeSampler,
        prefers_returning: collections.abc.Callable[
            [], bool
        ] = caller_retries.never_enabled,
        send_limits: send_limits_lib.SendLimits | None = None,
    ):
        self._send_limits = send_limits or send_limits_lib.SendLimits(
            planned_stop.PlannedStop()
        )
        self.config: model.Config | None = None
        self.is_new_config_invalid = False
        self._permits = permits
        self._client = client
        self._dialect = dialect
        self._target_table = target_table
        self._owners = key_owners
        self._budget = retry_budget
        self._retries = retries.RetryPolicy(
            retry_budget, target_table, meters, prefers_returning
        )
        self._speed_table = speed_table
        self._log = log
        self._store = store
        self._operations = operations
        self._crash_guard = guard
        self._crash_detector = detector
        self._links = links
        self._forwarder = forwarder
        self._meters = meters
        self._sampler = sampler
        self._service_times = service_times.ServiceTimeEstimates()
        self.upload_slots = upload_slots.UploadSlots()
        self._round_robin = weighted_round_robin.WeightedRoundRobin()

    def may_run_concurrently(self, request: web_request.BaseRequest) -> bool:
        """Whether it may run concurrently with earlier ones of a connection."""
        if request.body_exists:
            return False
        try:
            route, _ = self._route(request)
        except outcomes.GatewayError:
            # The error is reported when its turn comes.
            return False
        return route.repeatability is model.Repeatability.IDEMPOTENT

    async def handle(
        self, incoming: caller_requests.IncomingRequest
    ) -> web_response.StreamResponse:
        """Returns the response for a caller.

        Raises:
            GatewayError: No upstream responded to the request.
        """
        try:
            return await self._handle(incoming)
        except asyncio.CancelledError:
            if not incoming.hold.is_refused:
                raise
            asyncio.current_task().uncancel()
        # Not in the handler above, as the cancellation refers to the frames
        # that hold the body.
        raise incoming.hold.take_refusal()

    async def _handle(
        self, incoming: caller_requests.IncomingRequest
    ) -> web_response.StreamResponse:
        request, arrived = incoming.request, incoming.arrived
        inbound = self._dialect.parse_request(request.headers)
        trace = decision_log.RequestTrace(self._log)
        succeeded = False
        route = None
        try:
            if incoming.hold.is_refused:
                raise incoming.hold.take_refusal()
            if self._stop.phase is planned_stop.Phase.ENDED:
                raise outcomes.StoppingError("the VM stops", step="accept")
            route, config = self._route(request)
            self._check_informed(arrived)
            response = await self._serve(
                incoming, inbound, route, config, trace
            )
            succeeded = response.status < _FIRST_ERROR_STATUS
            return response
        except outcomes.GatewayError as error:
            self._record_error(inbound, route, error, arrived, trace)
            raise
        except asyncio.CancelledError:
            refusal = incoming.hold.refusal
            if refusal is not None:
                self._record_error(inbound, route, refusal, arrived, trace)
            else:
                _record_abandoned(incoming.hold, inbound, arrived, trace)
            raise
        finally:
            trace.finish(succeeded)

    def mean_service_time_s(self, service: ids.ServiceName) -> float | None:
        """Returns the mean service time of a service, or None if unmeasured."""
        return self._service_times.mean_of_service_s(service)

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
            raise self._disallowed_error(
                outcomes.NoRouteError(
                    f"no route in version {config.version}", step="find route"
                )
            )
        return route, config

    def is_informed(self, now: float) -> bool:
        """Whether it knows what other VMs know of dangerous requests."""
        return self._crash_guard.is_informed(now, self._store.is_loaded)

    def _check_informed(self, now: float) -> None:
        if not self.is_informed(now):
            raise outcomes.NotReadyError(
                "no report of another VM yet", step="look for suspects"
            )

    def _disallowed_error(
        self, error: outcomes.GatewayError
    ) -> outcomes.GatewayError:
        """Returns the error for a request that the configuration disallows.

        Unless the configuration is known to be current, a newer one may allow
        the request, so the caller gets a retryable error instead.
        """
        is_current = self._operations.is_current(clocks.monotonic())
        if is_current and not self.is_new_config_invalid:
            return error
        return outcomes.StaleConfigError(
            f"{error.args[0]}; a newer configuration may allow it",
            step=error.step,
        )

    async def _serve(self, incoming, inbound, route, config, trace):
        request, arrived = incoming.request, incoming.arrived
        service = self._select_service(route, incoming.origin, arrived)
        wait_s = route.timeout_s
        if inbound.timeout_s is not None:
            wait_s = min(wait_s, inbound.timeout_s)
        call = await self._make_call(
            incoming, inbound, route, config, arrived + wait_s
        )
        if self._crash_guard.has_suspects:
            call.is_probe = self._crash_guard.check(call.digest(), arrived)
        spec = config.services_by_name.get(service)
        lookup = None
        if spec is not None and spec.is_keyed and inbound.key is not None:
            lookup = self._owners.lookup(service, inbound.key)
        waiter = admission.Waiter(
            route,
            service,
            lookup,
            arrived,
            call.deadline,
            self._service_times.expected_s(route),
            inbound.key,
            None if inbound.timeout_s is None else arrived + inbound.timeout_s,
        )
        upstream_response = await self._send_with_retries(
            call, waiter, incoming.origin, trace
        )
        if incoming.origin is not None:
            forward_headers.mark_answered(upstream_response.headers)
        if upstream_response.body is None:
            try:
                await incoming.wait_for_turn()
            except asyncio.CancelledError:
                upstream_response.finish(False)
                raise
            incoming.hold.stage = request_holds.RequestStage.ANSWERING
            return await responses.stream_response(request, upstream_response)
        return responses.whole_response(upstream_response)

    def _select_service(
        self,
        route: model.Route,
        origin: forward_headers.Origin | None,
        arrived: float,
    ) -> ids.ServiceName:
        """Returns the service for a request and counts the request.

        A forwarded request was counted by the VM that received it.
        """
        if origin is None:
            service = self._round_robin.next_service(route)
            self._budget.note_request(service, arrived)
            return service
        if origin.service in {share.service for share in route.shares}:
            return origin.service
        return self._round_robin.next_service(route)

    async def _make_call(
        self, incoming, inbound, route, config, end
    ) -> exchange.Call:
        request, arrived = incoming.request, incoming.arrived
        self._check_sizes(request, config.limits)
        body = request_bodies.RequestBody()
        if request.body_exists:
            incoming.hold.stage = request_holds.RequestStage.RECEIVING
            await _send_continue(request)
            gives_up_at = arrived + (inbound.timeout_s or MAX_WAIT_S)
            async with self._send_limits.limit_wait(
                lambda: self._stop.latest_receive(
                    incoming.hold.received_at, gives_up_at
                ),
                "read body",
            ):
                body = await request_bodies.read_body(
                    request.content,
                    incoming.hold,
                    end,
                    config.limits.max_body_bytes,
                )
        return exchange.Call(
            request.method,
            request.raw_path,
            request.headers,
            inbound,
            body.whole,
            body.stream,
            request.content_length,
            end,
            route.repeatability is model.Repeatability.IDEMPOTENT,
            body.first_part,
            inbound.caller or request.remote or "",
            timeout_s=end - arrived,
            gives_up_at=arrived + (inbound.timeout_s or MAX_WAIT_S),
            hold=incoming.hold,
        )

    def _check_sizes(
        self, request: web_request.BaseRequest, limits: model.Limits
    ) -> None:
        try:
            _check_head(request, limits.max_header_bytes)
            _check_length(request, limits.max_body_bytes)
        except outcomes.GatewayError as error:
            raise self._disallowed_error(error) from error

    async def _send_with_retries(
        self, call, waiter, origin, trace
    ) -> responses.UpstreamResponse:
        state = retries.SendState(0 if origin is None else origin.sends)

        def latest_send() -> float:
            return self._latest_send(call, waiter)

        while True:
            waiter.deadline = min(
                call.deadline, latest_send() + waiter.expected_s
            )
            if self._needs_other_vm(state):
                return await self._forward(
                    call, waiter, origin, state, trace, latest_send
                )
            call.hold.stage = request_holds.RequestStage.WAITING
            try:
                async with self._send_limits.limit_wait(
                    latest_send, "wait for a slot"
                ):
                    with self.upload_slots.waiting(waiter.service):
                        target = await self._permits.acquire(waiter)
            except outcomes.StoppingError as error:
                raise self._retries.final_error(error, waiter, state) from error
            except outcomes.RejectedError as error:
                if waiter.deadline < call.deadline:
                    # It could wait at a VM that doesn't stop.
                    error = outcomes.StoppingError(
                        str(error), step=error.step, peer=error.peer
                    )
                error.peer = error.peer or self._owners.owner_name(waiter)
                raise self._retries.final_error(error, waiter, state) from error
            if self._crash_guard.has_suspects and not call.is_probe:
                # It may have been identified as a cause of crashes while it
                # was waiting for a slot.
                try:
                    self._crash_guard.check(call.digest(), clocks.monotonic())
                except outcomes.CrashingRequestError as error:
                    self._permits.release(waiter, target)
                    raise self._retries.final_error(
                        error, waiter, state
                    ) from error
            try:
                call.begin_send()
            except outcomes.GatewayError:
                self._permits.release(waiter, target)
                raise
            state.sends += 1
            self._record_send(call, waiter, target, state, trace)
            sent = clocks.monotonic()
            sending = self._crash_detector.begin(target, sent)
            try:
                with self.upload_slots.used_by(call.hold, waiter.service):
                    response = await self._client.send(call, target)
            except outcomes.GatewayError as error:
                now = clocks.monotonic()
                self._record_end(
                    call, sending, unanswered.how_ended(error), now, trace
                )
                _record_rejection(call, error, state, now, trace)
                if self._links.is_partitioned and isinstance(
                    error, outcomes.NotSentError
                ):
                    state.sends -= 1
                    state.unreachable += 1
                    continue
                self._update_target(error, waiter, target, state, call, now)
                may_resend = await self._check_for_crash(
                    error, call, target, now
                )
                now = clocks.monotonic()
                if not may_resend or not self._retries.may_retry(
                    error, call, waiter, state, now
                ):
                    raise self._retries.final_error(
                        error, waiter, state
                    ) from error
            except asyncio.CancelledError:
                self._record_end(
                    call,
                    sending,
                    unanswered.ExchangeEnd.ABANDONED,
                    clocks.monotonic(),
                    trace,
                )
                raise
            except Exception:
                self._crash_detector.discard(sending)
                raise
            else:
                self._retries.note_accepted(waiter, state, clocks.monotonic())
                self._record_response(
                    call, waiter, target, response, sending, trace
                )
                return response
            finally:
                self._permits.release(waiter, target)

    @property
    def _stop(self) -> planned_stop.PlannedStop:
        return self._send_limits.stop

    def _latest_send(
        self, call: exchange.Call, waiter: admission.Waiter
    ) -> float:
        """Returns until when a request may be sent before this VM stops."""
        received_at = call.hold.received_at
        return self._stop.latest_send(
            clocks.monotonic() if received_at is None else received_at,
            max(call.deadline, call.gives_up_at),
            _USUAL_TIMES * waiter.expected_s,
        )

    def _check_time_left(self, latest_send, waiter, state) -> None:
        """Raises the final error if this VM stops before an answer."""
        try:
            self._send_limits.check(latest_send, "forward")
        except outcomes.StoppingError as error:
            raise self._retries.final_error(error, waiter, state) from error

    def _needs_other_vm(self, state: retries.SendState) -> bool:
        """Whether only another VM can send a request to an upstream.

        While existing connections deliver data, they are tried first.
        """
        return self._links.is_isolated(clocks.monotonic()) or (
            self._links.is_partitioned and state.unreachable > 0
        )

    async def _forward(
        self, call, waiter, origin, state, trace, latest_send
    ) -> responses.UpstreamResponse:
        """Lets another VM send a request, unless another one forwarded it."""
        if origin is not None:
            raise self._retries.final_error(
                outcomes.NoUpstreamPathError(
                    "forwarded requests aren't forwarded again", step="forward"
                ),
                waiter,
                state,
            )
        version = self.config.version if self.config else 0

        def make_origin(age_s: float) -> forward_headers.Origin:
            return forward_headers.Origin(
                self._forwarder.own_run,
                age_s,
                state.sends,
                waiter.service,
                version,
                call.caller,
            )

        while True:
            self._check_time_left(latest_send, waiter, state)
            call.begin_send()
            self._record_send(call, waiter, None, state, trace)
            try:
                return await self._forwarder.forward(
                    call, waiter.arrived, make_origin
                )
            except outcomes.UnknownOutcomeError as error:
                state.may_have_run = True
                state.sends += 1
                now = clocks.monotonic()
                if not self._retries.may_retry(error, call, waiter, state, now):
                    raise
            except outcomes.GatewayError as error:
                raise self._retries.final_error(error, waiter, state) from error

    async def _check_for_crash(
        self, error, call, target, broken_at: float
    ) -> bool:
        """Returns whether a request may be sent to another upstream.

        It may not if it probably crashed the last one.

        Args:
            error: How the exchange ended.
            call: The request.
            target: The upstream.
            broken_at: When the exchange ended.
        """
        if isinstance(error, outcomes.UpstreamUnreachableError):
            self._crash_detector.on_unreachable(target)
        if not getattr(error, "is_connection_broken", False):
            return True
        check = self._crash_detector.check(target, broken_at)
        if not await asyncio.shield(check):
            return True
        return self._crash_guard.may_resend(call.digest())

    def _update_target(self, error, waiter, target, state, call, now) -> None:
        """Updates the state of the target after a failed send."""
        self._meters.sends.add(error.reason)
        if isinstance(error, outcomes.MisdirectedError):
            state.misdirected += 1
            if waiter.owner is None:
                waiter.excluded.add(target.id)
            else:
                self._owners.note_misdirected(
                    waiter.service, call.inbound.key, now
                )
        elif isinstance(error, outcomes.ReplacedError):
            self._target_table.mark_replaced(target, now)
            waiter.excluded.add(target.id)
        elif isinstance(error, outcomes.UpstreamUnreachableError):
            target.note_failure(now)
        elif isinstance(error, outcomes.WithdrawnError):
            if waiter.owner is None:
                waiter.excluded.add(target.id)
        elif isinstance(error, outcomes.NotRunError):
            if not error.had_free_slot:
                target.note_rejected(now, OVERLOADED_TARGET_PAUSE_S)
            if waiter.owner is None:
                waiter.excluded.add(target.id)
        else:
            state.may_have_run = True
            target.note_failure(now)
            if waiter.owner is None:
                waiter.excluded.add(target.id)

    def _record_response(
        self, call, waiter, target, response, sending, trace
    ) -> None:
        now = clocks.monotonic()
        took_s = now - sending.sent_at
        self._meters.sends.add("answered")
        target.note_answer(now)
        if response.body is None:
            self._watch_stream(call, response, sending, trace)
        else:
            self._record_whole_response(call, sending, now)
        if response.status < 300:
            self._add_sample(waiter, target, response, took_s, now)
        trace.add(
            decision_log.RequestDecision(
                id=call.inbound.attempt_id,
                event="answered",
                route=waiter.route.name,
                service=waiter.service,
                upstream=target.id,
                status=response.status,
                waited_ms=clocks.milliseconds(now - waiter.arrived),
                **_exchange_fields(call, now),
            )
        )

    def _record_whole_response(self, call, sending, now: float) -> None:
        self._crash_detector.discard(sending)
        if self._crash_guard.should_remember(call.length or 0):
            self._crash_guard.record_response(call.digest(), now)

    def _watch_stream(self, call, response, sending, trace) -> None:
        """Counts a response that is streamed as an answer once it is whole."""
        finish = response.finish

        def finish_exchange(is_whole: bool) -> None:
            finish(is_whole)
            now = clocks.monotonic()
            if is_whole:
                self._record_whole_response(call, sending, now)
            else:
                self._record_end(
                    call,
                    sending,
                    unanswered.ExchangeEnd.INVALID,
                    now,
                    trace,
                )

        response.finish = finish_exchange

    def _add_sample(self, waiter, target, response, took_s, now) -> None:
        """Counts an answer as a sample of its upstream's speed."""
        service_s = self._sampler.service_time_s(
            took_s,
            waiter.occupied,
            target.upstream.slots,
            response.metadata.load,
        )
        if service_s is None:
            return
        prior_s = service_times.default_service_time_s(waiter.route)
        self._speed_table.add_sample(
            target.id,
            service_s / prior_s / _slowdown(target, response, now),
            now,
        )
        self._service_times.add_sample(
            waiter.route, waiter.service, service_s / target.slowness
        )

    def _record_send(self, call, waiter, target, state, trace) -> None:
        """Records that a request is sent, or forwarded if `target` is None."""
        now = clocks.monotonic()
        call.hold.upstream = "" if target is None else target.id
        config = self.config
        trace.add(
            decision_log.RequestDecision(
                id=call.inbound.attempt_id,
                event="forwarded" if target is None else "sent",
                route=waiter.route.name,
                service=waiter.service,
                upstream="" if target is None else target.id,
                attempt=state.sends,
                waited_ms=clocks.milliseconds(
                    now - waiter.arrived - waiter.returned_after_s
                ),
                left_ms=clocks.milliseconds(call.deadline - now),
                key=call.inbound.key,
                config=config.version if config else 0,
                key_map=self._owners.version(waiter.service),
                store_age_ms=clocks.milliseconds(now - self._store.contact_at),
                occupied=0 if target is None else target.occupied(now),
                queued=self._permits.queued,
                data_age_ms=self._links.data_age_ms(now)
                if target is None
                else 0,
                rejections=waiter.rejections,
                returned_after_ms=clocks.milliseconds(waiter.returned_after_s),
                reserved=waiter.is_reserved,
                extra_send=state.is_extra,
                **_stated_fields(target, now),
            )
        )

    def _record_end(
        self,
        call: exchange.Call,
        sending: unanswered.Exchange,
        how: unanswered.ExchangeEnd | None,
        now: float,
        trace: decision_log.RequestTrace,
    ) -> None:
        """Records the end of an exchange without an answer.

        Args:
            call: The request.
            sending: The exchange.
            how: How it ended; None if the request certainly didn't run.
            now: When it ended.
            trace: The trace of the request.
        """
        if how is None or call.sent_at is None:
            self._crash_detector.discard(sending)
            return
        digest = call.digest()
        sending.sent_at = call.sent_at
        self._meters.unanswered.add(how.value)
        trace.add(
            decision_log.RequestDecision(
                id=call.inbound.attempt_id,
                event="unanswered",
                request=digest.hex(),
                upstream=sending.target.id,
                upstream_run=sending.started_ms,
                reason=how.value,
                sent_ms=clocks.milliseconds(now - call.sent_at),
            )
        )
        self._crash_detector.record_end(sending, digest, how, now)

    def _record_error(self, inbound, route, error, arrived, trace) -> None:
        now = clocks.monotonic()
        target = self._target_table.by_id.get(error.peer)
        self._meters.refusals.add(error.reason)
        trace.add(
            decision_log.RequestDecision(
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
                data_age_ms=self._links.data_age_ms(now),
                decided_by=getattr(error, "decided_by", ""),
                rejections=error.rejections,
                reserved=getattr(
                    getattr(error, "rejection", None), "is_reserved", False
                ),
                rule=_rule(error),
                request=getattr(error, "request", ""),
                **_stated_fields(target, now),
            )
        )


def _record_abandoned(
    hold: request_holds.RequestHold,
    inbound: interfaces.RequestMetadata,
    arrived: float,
    trace: decision_log.RequestTrace,
) -> None:
    """Records that a caller left before its answer.

    Requests that end with the process have a line already.
    """
    if hold.is_cut:
        return
    trace.add(
        decision_log.RequestDecision(
            id=inbound.attempt_id,
            event="abandoned",
            reason="the caller left",
            waited_ms=clocks.milliseconds(clocks.monotonic() - arrived),
            key=inbound.key,
        )
    )


def _record_rejection(
    call: exchange.Call,
    error: outcomes.GatewayError,
    state: retries.SendState,
    now: float,
    trace: decision_log.RequestTrace,
) -> None:
    """Records what an upstream answered that didn't run a request."""
    if getattr(error, "answered_status", 0):
        trace.add(
            decision_log.RequestDecision(
                id=call.inbound.attempt_id,
                event="not-run",
                upstream=error.peer,
                status=error.answered_status,
                reason=error.answered_reason,
                attempt=state.sends,
                **_exchange_fields(call, now),
            )
        )


def _exchange_fields(call: exchange.Call, now: float) -> dict[str, float]:
    """Returns the log fields of the last exchange of a request."""
    return {
        "connection": call.connection,
        "exchange": call.exchange,
        "sent_ms": round((now - (call.sent_at or now)) * 1000, 3),
    }


def _rule(error: outcomes.GatewayError) -> str:
    """Returns the queue limit that rejected a request, with its figures."""
    figures = getattr(getattr(error, "rejection", None), "figures", None)
    return "" if figures is None else figures.text()


def _stated_fields(
    target: targets.Target | None, now: float
) -> dict[str, float]:
    """Returns the log fields of what an upstream states about itself."""
    fields: dict[str, float] = {}
    if target is None:
        return fields
    limit, leaving_at = target.rate_limit, target.announced_leaving_at
    if limit.per_s is not None:
        fields["limit_per_s"] = limit.per_s
        fields["limit_age_ms"] = clocks.milliseconds(limit.age_s(now))
    if leaving_at is not None:
        fields["leaving_ms"] = clocks.milliseconds(now - leaving_at)
    if target.is_backing_off(now):
        fields["backoff_ms"] = clocks.milliseconds(target.backoff_left_s(now))
    return fields


def _check_head(request: web_request.BaseRequest, limit: int) -> None:
    # Adds the colon, the space and the line end of each header line.
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


async def _send_continue(request: web_request.BaseRequest) -> None:
    """Sends 100 Continue if the caller expects it."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # aiohttp must not take the interim response for the final head.
        request.writer.output_size = 0


def _slowdown(target, response, now: float) -> float:
    """Returns the momentary slowdown that an upstream reported, or 1.

    It is divided out of measured speeds, as the share of keys of an upstream
    depends on its long-term speed.
    """
    load = response.metadata.load
    if load is None or not load.slowdown:
        return 1.0
    return target.reported_slowdown(now) or 1.0
