"""Decides until when a stopping VM takes requests and sends them to upstreams.

Pure decision code: it does no I/O and takes the current time as an argument. A
stop begins with the signal and has to end within the grace. Until the load
balancer has removed the VM, callers keep arriving; then the VM only finishes
what it has. At its end, requests without an answer get one of the VM's own.

A request may be sent if its answer can be expected before the end. One that was
received early in the grace is given its usual time; a later one,
which could have been refused at once, all the time that its caller waits. The
others are refused while their callers have the time to ask another VM.
"""

import enum
import math

__all__ = ["Phase", "PlannedStop"]

# The load balancer checks each VM once a second and removes it after two
# failures, so that callers keep arriving for this long after the signal.
ARRIVALS_S = 3.2
# Requests received later than this, or than half of the grace, count as late.
# The platform lets a stop end only those that were sent in its first 3 s.
_LATE_S, _LATE_SHARE = 2.8, 0.5
# Time limits as shares of the grace: requests without an answer get one, and
# the process exits. Closing the event loop takes some of the rest.
_END_SHARE, _EXIT_SHARE = 0.85, 0.9


class Phase(enum.Enum):
    """Phase of a process, in the order in which it passes through them."""

    SERVING = 0
    LEAVING = 1  # callers still arrive
    FINISHING = 2  # no new connections
    ENDED = 3  # all requests are refused


class PlannedStop:
    """The one stop of this process.

    Args:
        grace_s: Time from the signal until the platform kills the process.

    Attributes:
        phase: Set by the daemon.
    """

    def __init__(self, grace_s: float = math.inf):
        self._grace_s = grace_s
        self._began: float | None = None
        self.phase = Phase.SERVING

    def begin(self, now: float) -> None:
        """Records the signal to stop."""
        self._began = now
        self.phase = Phase.LEAVING

    @property
    def has_begun(self) -> bool:
        """Whether this VM is leaving."""
        return self._began is not None

    @property
    def is_finishing(self) -> bool:
        """Whether no new callers arrive, to the end of the process."""
        return self.phase in (Phase.FINISHING, Phase.ENDED)

    @property
    def arrivals_end_at(self) -> float:
        """When idle connections are closed, and no new ones are accepted."""
        return self._began + min(ARRIVALS_S, self._grace_s / 2)

    @property
    def ends_at(self) -> float:
        """When requests without an answer get one of this VM's own."""
        return self._began + _END_SHARE * self._grace_s

    @property
    def exits_at(self) -> float:
        """When the process exits although answers aren't delivered yet."""
        return self._began + _EXIT_SHARE * self._grace_s

    def latest_receive(
        self, received_at: float | None, ends_by: float
    ) -> float:
        """Returns when a request is refused whose body is still arriving.

        Args:
            received_at: When all of it had been received; None before.
            ends_by: When its caller gives up, so that it ends in any case.
        """
        if self._began is None or ends_by <= self.ends_at:
            return math.inf
        if received_at is not None and received_at <= self._late_from:
            return self.ends_at
        return self._late_from

    def latest_send(
        self, received_at: float, ends_by: float, usual_s: float
    ) -> float:
        """Returns until when a request may be sent to an upstream.

        Args:
            received_at: When all of it had been received.
            ends_by: When its caller gives up, so that it ends in any case. A
                long answer may take until then.
            usual_s: Time within which its answer is expected.
        """
        if self._began is None or ends_by <= self.ends_at:
            return math.inf
        if received_at > self._late_from:
            return -math.inf
        return max(self._late_from, self.ends_at - usual_s)

    @property
    def _late_from(self) -> float:
        return self._began + min(_LATE_S, _LATE_SHARE * self._grace_s)
