"""Decides whether this VM has lost its links to all upstreams.

Pure decision code: it does no I/O and takes the current time as an argument.
Connections report what they see; `link_probes.py` opens the connections that a
decision needs.

An upstream that fails says nothing about the others, and a service may lose all
of its upstreams at once. So failures only raise a suspicion, which is confirmed
by trying upstreams of each failure domain: any that can be reached refutes it.
The VMs of a domain often lose their upstreams together, so a VM also suspects
that it lost its own when another one of its domain reports it.
A partition ends when several upstreams answer on new connections.
"""

import collections.abc
import enum

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import link_observers
from swiftstile.gateway import model

__all__ = [
    "IsIsolated",
    "LinkState",
    "Suspicion",
    "UpstreamLinks",
    "never_isolated",
]

# Upstreams that must fail, without any success in between, to raise a
# suspicion. A single one may have crashed.
MIN_FAILED = 2
# A single new connection that failed, while no newer one worked, is reason to
# try other upstreams after this long, and again after the interval. A VM that
# rarely needs a new connection would otherwise fail a second request.
ONE_FAILURE_DELAY_S, ONE_FAILURE_INTERVAL_S = 0.2, 2.0
# Exchanges that failed longer ago don't raise a suspicion. A connection that
# failed to open counts until a newer one works.
FAILURE_TTL_S = 2.0
# A suspicion is raised as well if requests are outstanding and no data arrives
# from any upstream for this long. Longer than most requests take.
SILENCE_S = 0.4
# Minimum time between two confirmations, as each opens connections. It doubles
# with each suspicion that is refuted, up to the maximum, unless the evidence is
# strong.
CONFIRMATION_INTERVAL_S, MAX_CONFIRMATION_INTERVAL_S = 1.0, 8.0
# Evidence is strong if requests got no data from any upstream for this long,
# which few requests take, or if so many connections in a row failed to open.
# Under overload upstreams reset some connections, and others work in between.
LONG_SILENCE_S, MANY_FAILED = 0.8, 6
# Another VM's report of a partition is new if it hasn't said so for this long.
PEER_REPORT_TTL_S = 2.0
# Existing connections are used during a partition while any of them has
# delivered data within this time.
DATA_TTL_S = 0.5
# Upstreams that must answer again before a partition has ended.
MIN_REGAINED = 2
_MAX_DATA_AGE_S = 60.0

# Returns whether this VM reaches no upstream, given the time.
IsIsolated = collections.abc.Callable[[float], bool]


def never_isolated(_now: float) -> bool:
    """The VM always reaches upstreams."""
    return False


class LinkState(enum.Enum):
    """How this VM reaches upstreams."""

    CONNECTED = "connected"
    # No new connection opens; existing ones still deliver data.
    NO_NEW_CONNECTIONS = "no-new-connections"
    ISOLATED = "isolated"


class Suspicion(enum.Enum):
    """Why upstreams may be unreachable."""

    NONE = "none"
    # Several connections or exchanges failed.
    FAILURES = "failures"
    # A single new connection failed; the upstream may have crashed.
    ONE_FAILURE = "one-failure"
    # Requests are outstanding, and no data arrives.
    SILENCE = "silence"
    # Another VM of the failure domain reports that it opens no connection.
    PEER = "peer"


class UpstreamLinks(link_observers.LinkObserver):
    """Tracks which upstreams this VM reaches.

    Args:
        meters: Counts events and changes of state.

    Attributes:
        received_at: When data last arrived from any upstream.
        proven_at: When the newest connection was opened that delivered data.
    """

    def __init__(self, meters: metrics.Meters | None = None):
        self._meters = meters or metrics.Meters()
        # Connections that failed to open, and exchanges that failed since data
        # arrived, by address.
        self._open_failed_at: dict[str, float] = {}
        self._broken_at: dict[str, float] = {}
        self.proven_at = float("-inf")
        # When the oldest request was sent since data last arrived.
        self._waiting_since: float | None = None
        self._failed_in_a_row = 0
        # Since when new connections have failed.
        self._failing_since = 0.0
        self._partitioned_peer_at: dict[model.NodeId, float] = {}
        # When another VM of the domain reported a partition that isn't judged.
        self._peer_reported_at: float | None = None
        self._confirmation_began_at = float("-inf")
        self._confirm_at = float("-inf")
        # When a single failure may be looked into again.
        self._try_others_at = float("-inf")
        # When a suspicion with strong evidence may be confirmed again.
        self._confirm_strong_at = float("-inf")
        self._interval_s = CONFIRMATION_INTERVAL_S
        self._partitioned_since: float | None = None
        # Addresses that answered on connections opened in this partition.
        self._regained: set[str] = set()
        self.received_at = float("-inf")

    def use_meters(self, meters: metrics.Meters) -> None:
        """Counts events in other meters from now on."""
        self._meters = meters

    def may_open(self) -> bool:
        """See base class."""
        return self._partitioned_since is None

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("opened")

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("open-failed")
        self._note_open_failed(address, now)
        self._regained.discard(address)

    def on_probe_failed(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("probe-failed")
        self._regained.discard(address)

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""
        if self._waiting_since is None:
            self._waiting_since = now

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """See base class."""
        self.received_at = now
        self._waiting_since = None
        if self._broken_at:
            self._broken_at.clear()
        if opened_at > self.proven_at:
            self._record_proof(opened_at)
        since = self._partitioned_since
        if since is not None and opened_at >= since:
            self._regained.add(address)

    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """See base class.

        A connection that never delivered data hasn't opened, in effect: a
        device on the path may accept connections and reset them.
        """
        self._meters.links.add("broken")
        if is_proven:
            self._broken_at[address] = now
        else:
            self._note_open_failed(address, now)

    def on_closed(self, address: str, now: float) -> None:
        """See base class."""

    def on_foreign_bytes(
        self, address: str, kind: link_observers.ForeignBytes
    ) -> None:
        """See base class."""
        self._meters.foreign_bytes.add(kind.value)

    def _note_open_failed(self, address: str, now: float) -> None:
        if not self._open_failed_at:
            self._failing_since = now
        self._open_failed_at[address] = now
        self._failed_in_a_row += 1

    def note_partitioned_peer(self, node: model.NodeId, now: float) -> None:
        """Records that a VM of this domain reports to be partitioned."""
        since = self._partitioned_peer_at.get(node, float("-inf"))
        self._partitioned_peer_at[node] = now
        if now - since > PEER_REPORT_TTL_S:
            self._peer_reported_at = now

    def _record_proof(self, opened_at: float) -> None:
        """Records that a connection opened at a time works."""
        self.proven_at = opened_at
        self._failed_in_a_row = 0
        self._open_failed_at = {
            address: at
            for address, at in self._open_failed_at.items()
            if at > opened_at
        }
        self._failing_since = min(self._open_failed_at.values(), default=0.0)

    def data_age_ms(self, now: float) -> int:
        """Returns the time since data last arrived, at most a minute."""
        return clocks.milliseconds(min(now - self.received_at, _MAX_DATA_AGE_S))

    def state(self, now: float) -> LinkState:
        """Returns how this VM reaches upstreams now."""
        if self._partitioned_since is None:
            return LinkState.CONNECTED
        if now - self.received_at < DATA_TTL_S:
            return LinkState.NO_NEW_CONNECTIONS
        return LinkState.ISOLATED

    @property
    def is_partitioned(self) -> bool:
        """Whether no new connection to any upstream opens."""
        return self._partitioned_since is not None

    def is_isolated(self, now: float) -> bool:
        """Whether no upstream can be reached by any connection."""
        return self.state(now) is LinkState.ISOLATED

    def suspicion(self, now: float) -> Suspicion:
        """Returns the suspicion that has to be confirmed now, if any."""
        if self.is_partitioned or now < self._confirm_strong_at:
            return Suspicion.NONE
        if self._peer_reported_at is not None:
            return Suspicion.PEER
        if now < self._confirm_at and not self._is_evidence_strong(now):
            return self._one_failure(now)
        since = self._waiting_since
        if since is not None and now - since > SILENCE_S:
            return Suspicion.SILENCE
        broken = {
            address
            for address, at in self._broken_at.items()
            if now - at < FAILURE_TTL_S
        }
        if len(broken | self._open_failed_at.keys()) >= MIN_FAILED:
            return Suspicion.FAILURES
        return self._one_failure(now)

    def _one_failure(self, now: float) -> Suspicion:
        """Returns whether a new connection failed and none worked since."""
        if (
            self._open_failed_at
            and now >= self._try_others_at
            and now - self._failing_since > ONE_FAILURE_DELAY_S
        ):
            return Suspicion.ONE_FAILURE
        return Suspicion.NONE

    @property
    def failed_addresses(self) -> set[str]:
        """Returns the upstreams that no new connection could be opened to."""
        return set(self._open_failed_at)

    def has_own_failures(self, now: float) -> bool:
        """Whether requests of this VM have failed, or are left without data."""
        since = self._waiting_since
        is_silent = since is not None and now - since > SILENCE_S
        return bool(self._open_failed_at or self._broken_at) or is_silent

    def begin_trial(self, now: float) -> None:
        """Records that others are being tried after a single failure."""
        self._meters.links.add("one-failure")
        self._try_others_at = now + ONE_FAILURE_INTERVAL_S

    def note_reached(self, now: float) -> None:
        """Records that new connections work, after a single failure."""
        self._record_proof(now)

    def _is_evidence_strong(self, now: float) -> bool:
        """Whether a suspicion that was refuted is likely to be true now."""
        # An idle VM receives nothing either, so only requests count that are
        # outstanding or failed.
        since = min(self._broken_at.values(), default=now)
        if self._waiting_since is not None:
            since = min(since, self._waiting_since)
        return (
            now - since > LONG_SILENCE_S or self._failed_in_a_row >= MANY_FAILED
        )

    def begin_confirmation(
        self, now: float, suspicion: Suspicion = Suspicion.FAILURES
    ) -> None:
        """Records that upstreams are being tried to confirm a suspicion."""
        self._meters.links.add("suspected")
        self._confirmation_began_at = now
        self._put_off_confirmations(now, suspicion)

    def refute(
        self, now: float, suspicion: Suspicion = Suspicion.FAILURES
    ) -> None:
        """Records that an upstream could be reached."""
        if suspicion is not Suspicion.PEER:
            longer_s = 2 * self._interval_s
            self._interval_s = min(longer_s, MAX_CONFIRMATION_INTERVAL_S)
        self._put_off_confirmations(now, suspicion)
        self._judge_peer_report()
        self._record_proof(now)
        self._broken_at.clear()
        self._waiting_since = None

    def _put_off_confirmations(self, now: float, suspicion: Suspicion) -> None:
        """Sets when the next suspicion may be confirmed.

        The links of another VM may fail again and again, which must not delay
        the confirmation of what this VM sees itself.
        """
        self._confirm_strong_at = now + CONFIRMATION_INTERVAL_S
        if suspicion is Suspicion.PEER:
            self._confirm_at = max(self._confirm_at, self._confirm_strong_at)
        else:
            self._confirm_at = now + self._interval_s

    def _judge_peer_report(self) -> None:
        """Drops a report that arrived before the confirmation began."""
        if (self._peer_reported_at or 0.0) <= self._confirmation_began_at:
            self._peer_reported_at = None

    def record_partition(self, now: float) -> None:
        """Records that a suspicion was confirmed."""
        self._peer_reported_at = None
        self._meters.links.add("partitioned")
        self._partitioned_since = now
        self._interval_s = CONFIRMATION_INTERVAL_S
        self._regained.clear()
        logs.logger.warning(
            "upstreams unreachable",
            failed=len(self._open_failed_at | self._broken_at),
            data_age_ms=self.data_age_ms(now),
        )

    def end_if_regained(self, upstreams: int, now: float) -> bool:
        """Ends a partition if enough upstreams answer again.

        Args:
            upstreams: Number of known upstreams.
            now: The time.

        Returns:
            Whether it has just ended.
        """
        since = self._partitioned_since
        wanted = max(1, min(MIN_REGAINED, upstreams))
        if since is None or len(self._regained) < wanted:
            return False
        self._meters.links.add("regained")
        logs.logger.info("upstreams regained", after_s=round(now - since, 3))
        self._partitioned_since = None
        self._waiting_since = None
        self._open_failed_at.clear()
        self._broken_at.clear()
        self._failed_in_a_row = 0
        # Others of the domain may report their partition for a moment.
        self._peer_reported_at = None
        self._confirm_at = now + CONFIRMATION_INTERVAL_S
        self._confirm_strong_at = self._confirm_at
        return True
