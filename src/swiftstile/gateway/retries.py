"""Decides whether a request is sent again, and what its caller is told.

Pure decision code but for the time, and the random part of Retry-After.

Where `is_enabled` is on, callers that return after a rejection get the extra
sends that the retry budget allows, and others only what these don't need: with
55% of the sends rejected at random and one retry of the caller, an extra send
on the first attempt saves half as many callers as one on the second.
"""

import collections.abc
import random

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import budget
from swiftstile.gateway import caller_retries
from swiftstile.gateway import exchange
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["RetryPolicy", "SendState"]

# Maximum sends that upstreams may reject as misdirected because the key is
# being moved. Such a send runs nothing, and only the key's next owner can serve
# the request.
MAX_MISDIRECTED = 3
# Maximum sends of a returning caller's attempt that upstreams with free slots
# may reject. They run nothing, so they don't count as attempts; at 55%
# rejected, 91 of 100 attempts are accepted within four. More would mostly be
# wasted on upstreams that reject everything.
MAX_REJECTED = 4
# Maximum upstreams that are tried when connections to them fail.
MAX_UNREACHABLE = 4
# Retry-After when upstreams rejected the request for lack of slots.
NO_SLOT_RETRY_AFTER_S = 0.2
# The same where they had free slots, in objectives: a retry is likely to
# succeed and can still be in time, so it should be soon. The range spreads
# retries over time.
FREE_SLOT_RETRY_AFTER = (0.05, 0.15)


class SendState:
    """State of the sends of one request so far.

    Attributes:
        sends: Upstreams that it was sent to, by this VM and the one that
            forwarded it.
        misdirected: Sends that upstreams rejected as misdirected.
        unreachable: Upstreams to which no connection opened.
        rejected: Sends that upstreams with free slots rejected.
        may_have_run: Whether a send may have run.
        is_extra: Whether the next send follows a rejection by an upstream with
            free slots.
        is_noted: Whether it was counted as an attempt of its caller.
    """

    def __init__(self, sends: int):
        self.sends = sends
        self.misdirected = 0
        self.unreachable = 0
        self.rejected = 0
        self.is_extra = False
        self.is_noted = False
        self.may_have_run = False


class RetryPolicy:
    """Decides on repetitions of requests.

    Args:
        retry_budget: Limits the repetitions of this VM.
        target_table: The upstreams.
        meters: Counts repetitions that the budget prevents.
        is_enabled: Whether callers that return have priority.
    """

    def __init__(
        self,
        retry_budget: budget.RetryBudget,
        target_table: targets.TargetTable,
        meters: metrics.Meters,
        is_enabled: collections.abc.Callable[
            [], bool
        ] = caller_retries.never_enabled,
    ):
        self._budget = retry_budget
        self._target_table = target_table
        self._meters = meters
        self._is_enabled = is_enabled
        self._reserve = budget.ReturnReserve()

    def note_accepted(
        self, waiter: admission.Waiter, state: SendState, now: float
    ) -> None:
        """Records that an upstream ran a request."""
        self._reserve.note_send(waiter.service, is_rejected=False)
        self._note_attempt(waiter, state, now)

    def _note_attempt(
        self, waiter: admission.Waiter, state: SendState, now: float
    ) -> None:
        """Records how often the caller was rejected, once per attempt."""
        if not state.is_noted:
            state.is_noted = True
            self._reserve.note_caller(waiter.service, waiter.rejections, now)

    def may_retry(
        self,
        error: outcomes.GatewayError,
        call: exchange.Call,
        waiter: admission.Waiter,
        state: SendState,
        now: float,
    ) -> bool:
        """Whether a request may be sent again; if so, the budget is spent.

        Args:
            error: How its last send ended.
            call: The request.
            waiter: Its route, service and excluded upstreams.
            state: Its sends so far.
            now: The time.
        """
        is_free_rejection = self._is_enabled() and _is_free_rejection(error)
        if is_free_rejection:
            state.rejected += 1
            self._reserve.note_send(waiter.service, is_rejected=True)
        self._note_attempt(waiter, state, now)
        state.is_extra = False
        if not call.can_resend or now + waiter.expected_s > call.deadline:
            return False
        pause_s = self._owner_backoff_s(error, waiter, now)
        if now + pause_s + waiter.expected_s > call.deadline:
            return False
        if isinstance(error, outcomes.NotSentError):
            # Nothing was sent, so this counts neither as a send nor as a retry.
            state.sends -= 1
            state.unreachable += 1
            return state.unreachable < MAX_UNREACHABLE
        if not isinstance(error, outcomes.NotRunError):
            route = waiter.route
            if route.repeatability is not model.Repeatability.IDEMPOTENT:
                return False
        if isinstance(error, outcomes.MisdirectedError):
            if state.misdirected > MAX_MISDIRECTED:
                return False
        elif self._is_last_send(waiter, state):
            return False
        reserved_ratio = self._reserved_ratio(error, waiter, now)
        if not self._budget.can_spend(waiter.service, now, reserved_ratio):
            self._meters.refusals.add("retry-budget")
            if is_free_rejection and reserved_ratio:
                self._meters.returning.add("told-to-return")
            return False
        self._budget.spend(waiter.service, now, waiter.rejections > 0)
        if is_free_rejection:
            state.is_extra = True
            is_first = waiter.rejections == 0
            self._meters.returning.add(
                "extra-send-first" if is_first else "extra-send"
            )
        return True

    def _is_last_send(self, waiter: admission.Waiter, state: SendState) -> bool:
        """Whether a request was sent as often as one attempt may be."""
        if not waiter.rejections or not self._is_enabled():
            return state.sends >= waiter.route.max_attempts
        return (
            state.rejected >= MAX_REJECTED
            or state.sends - state.rejected >= waiter.route.max_attempts
        )

    def _reserved_ratio(self, error, waiter, now: float) -> float:
        """Returns the retries per request that are left to other callers.

        Requests that an upstream certainly didn't run leave them, as their
        callers can retry; others have no second chance. Nor have those that
        nobody would recognise: without a deadline, or without one VM that
        decides on all requests that compete with them.
        """
        if (
            not self._is_enabled()
            or waiter.gives_up_at is None
            or not waiter.is_centrally_decided
            or not isinstance(error, outcomes.NotRunError)
            or isinstance(error, outcomes.MisdirectedError)
        ):
            return 0.0
        is_last = self._reserve.is_last_attempt(
            waiter.service, waiter.rejections, now
        )
        pause_s = FREE_SLOT_RETRY_AFTER[1] * waiter.route.objective_s
        if now + pause_s + waiter.expected_s > waiter.gives_up_at:
            is_last = True
        if is_last:
            return 0.0
        return self._reserve.ratio_for_later(
            waiter.service, waiter.rejections, now
        )

    def final_error(
        self,
        error: outcomes.GatewayError,
        waiter: admission.Waiter,
        state: SendState,
    ) -> outcomes.GatewayError:
        """Returns the error for the caller.

        If an earlier send may have run, the outcome is unknown, even if the
        last send certainly didn't run.
        """
        error.rejections = waiter.rejections
        if state.may_have_run and error.promises_not_run:
            return outcomes.UnknownOutcomeError(
                f"an earlier send may have run; {error}",
                step="send again",
                peer=error.peer,
            )
        if isinstance(error, outcomes.NotRunError):
            error.retry_after_s = self._retry_after_s(error, waiter)
            if self._is_enabled():
                waiter.announced_retry_s = error.retry_after_s
        return error

    def _retry_after_s(
        self, error: outcomes.NotRunError, waiter: admission.Waiter
    ) -> float:
        """Returns when a request that no upstream ran should be retried."""
        pause_s = self._owner_backoff_s(error, waiter, clocks.monotonic())
        if pause_s > 0:
            return pause_s
        if error.had_free_slot:
            fraction = random.uniform(*FREE_SLOT_RETRY_AFTER)
            return fraction * waiter.route.objective_s
        return NO_SLOT_RETRY_AFTER_S

    def _owner_backoff_s(self, error, waiter, now: float) -> float:
        """Returns how long the owner that failed a request wants no requests.

        0 for a request without an owner, which others can serve.
        """
        target = self._target_table.by_id.get(error.peer)
        if waiter.owner is None or target is None:
            return 0.0
        return target.backoff_left_s(now)


def _is_free_rejection(error: outcomes.GatewayError) -> bool:
    """Whether an upstream rejected a request although it had free slots."""
    return (
        isinstance(error, outcomes.NotRunError)
        and not isinstance(
            error, outcomes.MisdirectedError | outcomes.ReplacedError
        )
        and error.had_free_slot
    )
