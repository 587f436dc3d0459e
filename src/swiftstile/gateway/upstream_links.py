"""Decides whether this VM has lost its links to all upstreams.

Pure decision code: it does no I/O and takes the current time as an argument.
Connections report what they see; `link_probes.py` opens the connections that a
decision needs.

An upstream that fails says nothing about the others, and a service may lose all
of its upstreams at once. So failures only raise a suspicion, which is confirmed
by opening connections to upstreams of each failure domain: any that opens
refutes it. A partition ends when connections to several upstreams open again.
"""

import collections.abc
import enum
import random

from swiftstile import clocks
from swiftstile import ids
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import connections
from swiftstile.gateway import targets

__all__ = ["LinkState", "UpstreamLinks", "sample"]

# Upstreams that must fail, without any success in between, to raise a
# suspicion. A single one may have crashed.
MIN_FAILED = 2
# Failures older than this don't raise a suspicion.
FAILURE_TTL_S = 2.0
# A suspicion is raised as well if requests are outstanding and no data arrives
# from any upstream for this long. Longer than most requests take.
SILENCE_S = 0.4
# Minimum time between two confirmations, as each opens connections.
CONFIRMATION_INTERVAL_S = 1.0
# Upstreams of each failure domain that are tried to confirm a suspicion: one
# may have crashed at the same time.
CONFIRMED_PER_DOMAIN = 2
# Existing connections are used during a partition while any of them has
# delivered data within this time.
DATA_TTL_S = 0.5
# Upstreams to which connections must open again before a partition has ended.
MIN_REGAINED = 2


class LinkState(enum.Enum):
    """How this VM reaches upstreams."""

    CONNECTED = "connected"
    # No new connection opens; existing ones still deliver data.
    NO_NEW_CONNECTIONS = "no-new-connections"
    ISOLATED = "isolated"


class UpstreamLinks(connections.LinkObserver):
    """Tracks which upstreams this VM reaches.

    Args:
        meters: Counts events and changes of state.

    Attributes:
        received_at: When data last arrived from any upstream.
    """

    def __init__(self, meters: metrics.Meters | None = None):
        self._meters = meters or metrics.Meters()
        # Failed connections since one opened, and failed exchanges since data
        # arrived, by address.
        self._open_failed_at: dict[str, float] = {}
        self._broken_at: dict[str, float] = {}
        self._regained: set[str] = set()
        self._confirm_at = float("-inf")
        # When the oldest request was sent since data last arrived.
        self._waiting_since: float | None = None
        self._partitioned_since: float | None = None
        # When a connection to each address last opened.
        self._opened_at: dict[str, float] = {}
        self.received_at = float("-inf")

    def use_meters(self, meters: metrics.Meters) -> None:
        """Counts events in other meters from now on."""
        self._meters = meters

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("opened")
        self._open_failed_at.clear()
        self._opened_at[address] = now
        if self._partitioned_since is not None:
            self._regained.add(address)

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("open-failed")
        self._open_failed_at[address] = now
        self._regained.discard(address)

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""
        if self._waiting_since is None:
            self._waiting_since = now

    def on_received(self, address: str, now: float) -> None:
        """See base class."""
        self.received_at = now
        self._waiting_since = None
        self._broken_at.clear()

    def on_broken(self, address: str, now: float) -> None:
        """See base class."""
        self._meters.links.add("broken")
        self._broken_at[address] = now

    def data_age_ms(self, now: float) -> int:
        """Returns the time since data last arrived, at most a minute."""
        return clocks.milliseconds(min(now - self.received_at, 60.0))

    def has_data(self, now: float) -> bool:
        """Whether existing connections deliver data."""
        return now - self.received_at < DATA_TTL_S

    def state(self, now: float) -> LinkState:
        """Returns how this VM reaches upstreams now."""
        if self._partitioned_since is None:
            return LinkState.CONNECTED
        if self.has_data(now):
            return LinkState.NO_NEW_CONNECTIONS
        return LinkState.ISOLATED

    @property
    def is_partitioned(self) -> bool:
        """Whether no new connection to any upstream opens."""
        return self._partitioned_since is not None

    def is_isolated(self, now: float) -> bool:
        """Whether no upstream can be reached by any connection."""
        return self.state(now) is LinkState.ISOLATED

    def is_suspicious(self, now: float) -> bool:
        """Whether a suspicion has to be confirmed now."""
        if self.is_partitioned or now < self._confirm_at:
            return False
        failed = {
            address
            for failures in (self._open_failed_at, self._broken_at)
            for address, at in failures.items()
            if now - at < FAILURE_TTL_S
        }
        since = self._waiting_since
        is_silent = since is not None and now - since > SILENCE_S
        return len(failed) >= MIN_FAILED or is_silent

    def begin_confirmation(self, now: float) -> None:
        """Records that connections are being opened to confirm a suspicion."""
        self._meters.links.add("suspected")
        self._confirm_at = now + CONFIRMATION_INTERVAL_S

    def reaches_any(self, since: float, other_than: str | None = None) -> bool:
        """Whether a connection opened since a time.

        Args:
            since: The time.
            other_than: An address that doesn't count.
        """
        return any(
            at >= since
            for address, at in self._opened_at.items()
            if address != other_than
        )

    def record_partition(self, now: float) -> None:
        """Records that a suspicion was confirmed: no connection opened."""
        self._meters.links.add("partitioned")
        self._partitioned_since = now
        self._regained.clear()
        logs.logger.warning(
            "upstreams unreachable",
            failed=len(self._open_failed_at),
            data_age_ms=self.data_age_ms(now),
        )

    def end_if_regained(self, upstreams: int, now: float) -> bool:
        """Ends a partition if enough upstreams are reached again.

        Args:
            upstreams: Number of known upstreams.
            now: The time.

        Returns:
            Whether it has just ended.
        """
        since = self._partitioned_since
        if since is None:
            return False
        if len(self._regained) < max(1, min(MIN_REGAINED, upstreams)):
            return False
        self._meters.links.add("regained")
        logs.logger.info("upstreams regained", after_s=round(now - since, 3))
        self._partitioned_since = None
        self._waiting_since = None
        self._open_failed_at.clear()
        self._broken_at.clear()
        self._confirm_at = now + CONFIRMATION_INTERVAL_S
        return True


def sample(
    table: targets.TargetTable,
    per_domain: int = CONFIRMED_PER_DOMAIN,
    other_than: collections.abc.Collection[str] = (),
) -> list[str]:
    """Returns addresses of random upstreams of each failure domain.

    Args:
        table: The upstreams.
        per_domain: Upstreams of each domain.
        other_than: Addresses that are left out.
    """
    by_domain: dict[ids.FailureDomain, list[str]] = {}
    for target in table.by_id.values():
        address = target.upstream.address
        is_up = not target.is_unregistered and not target.is_replaced
        if is_up and address not in other_than:
            group = by_domain.setdefault(target.upstream.failure_domain, [])
            group.append(address)
    return [
        address
        for group in by_domain.values()
        for address in random.sample(group, min(per_domain, len(group)))
    ]
