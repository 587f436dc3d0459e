"""Decides whether a request is sent again, and what its caller is told.

Pure decision code but for the time, and the random part of Retry-After.
"""

import random

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import admission
from swiftstile.gateway import budget
from swiftstile.gateway import exchange
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = ["RetryPolicy", "SendState"]

# Maximum sends that upstreams may reject as misdirected because the key is
# being moved. Such a send runs nothing, and only the key's next owner can serve
# the request.
MAX_MISDIRECTED = 3
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
        may_have_run: Whether a send may have run.
    """

    def __init__(self, sends: int):
        self.sends = sends
        self.misdirected = 0
        self.unreachable = 0
        self.may_have_run = False


class RetryPolicy:
    """Decides on repetitions of requests.

    Args:
        retry_budget: Limits the repetitions of this VM.
        target_table: The upstreams.
        meters: Counts repetitions that the budget prevents.
    """

    def __init__(
        self,
        retry_budget: budget.RetryBudget,
        target_table: targets.TargetTable,
        meters: metrics.Meters,
    ):
        self._budget = retry_budget
        self._target_table = target_table
        self._meters = meters

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
        elif state.sends >= waiter.route.max_attempts:
            return False
        if not self._budget.can_spend(waiter.service, now):
            self._meters.refusals.add("retry-budget")
            return False
        self._budget.spend(waiter.service, now)
        return True

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
        if state.may_have_run and error.promises_not_run:
            return outcomes.UnknownOutcomeError(
                f"an earlier send may have run; {error}",
                step="send again",
                peer=error.peer,
            )
        if isinstance(error, outcomes.NotRunError):
            error.retry_after_s = self._retry_after_s(error, waiter)
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
