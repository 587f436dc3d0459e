"""Reports the requests that a stopping process hasn't answered.

Each of them leaves one line in the log with its stage, so that a request
without an answer is found in the log of the VM that read it.
"""

import collections
import collections.abc

from swiftstile import clocks
from swiftstile import metrics
from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import decision_log
from swiftstile.gateway import interfaces
from swiftstile.gateway import outcomes
from swiftstile.gateway import request_holds

__all__ = ["OpenRequests"]

_ANSWERED = request_holds.RequestStage.ANSWERED


def _error_at_end(
    hold: request_holds.RequestHold,
) -> outcomes.GatewayError:
    if hold.is_passed_on:
        return outcomes.UnknownOutcomeError(
            "the VM stopped before the answer",
            step="read answer",
            peer=hold.upstream,
        )
    return outcomes.StoppingError("the VM stops", step=hold.stage.value)


class OpenRequests:
    """The requests of all connections of this VM that aren't answered.

    Args:
        listeners: The connections of each listener.
        dialect: Reads the ids of requests.
        log: Receives the lines.
        meters: Counts requests that end without an answer, as `cut`.
    """

    def __init__(
        self,
        listeners: list[collections.abc.Iterable[callers.CallerConnection]],
        dialect: interfaces.RequestDialect,
        log: decision_log.BoundedLog,
        meters: metrics.Meters,
    ):
        self._listeners = listeners
        self._dialect = dialect
        self._log = log
        self._meters = meters

    def __iter__(self) -> collections.abc.Iterator[callers.CallerConnection]:
        """Returns all open connections."""
        for connections in self._listeners:
            yield from connections

    def count_by_stage(self) -> dict[str, int]:
        """Returns the number of requests at each stage that has any."""
        return dict(
            collections.Counter(
                pending.hold.stage.value
                for connection in self
                for pending in connection.unanswered()
            )
        )

    @property
    def are_answered(self) -> bool:
        """Whether all requests are answered, and all answers delivered."""
        return not any(connection.is_busy for connection in self)

    def end(self) -> None:
        """Answers all requests that have no response yet.

        Those that weren't passed on are refused; the outcome of the others is
        unknown.
        """
        for connection in self:
            connection.end_requests(_error_at_end)

    def cut(self) -> int:
        """Closes all connections and records each request that ends by it.

        Returns:
            The number of requests.
        """
        count = 0
        for connection in self:
            earlier = connection.answered_count
            for pending in connection.unanswered():
                if pending.hold.stage is not _ANSWERED:
                    self._record(pending, earlier)
                    count += 1
                earlier += 1
            connection.close()
        return count

    def _record(
        self, pending: caller_requests.PendingRequest, earlier: int
    ) -> None:
        hold = pending.hold
        hold.is_cut = True
        self._meters.requests.add("cut")
        inbound = self._dialect.parse_request(pending.request.headers)
        trace = decision_log.RequestTrace(self._log)
        waited_s = clocks.monotonic() - pending.arrived
        trace.add(
            decision_log.RequestDecision(
                id=inbound.attempt_id,
                event="cut",
                upstream=hold.upstream,
                reason="the process stopped",
                waited_ms=clocks.milliseconds(waited_s),
                key=inbound.key,
                stage=hold.stage.value,
                earlier=earlier,
            )
        )
        trace.finish(False)
