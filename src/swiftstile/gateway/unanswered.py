"""Exchanges with upstreams that have no answer, until their outcome is known.

Pure decision code without I/O. A process of an upstream may end when nobody
waits for it any more: the caller left, or the exchange timed out. An exchange
therefore stays here after its end until its upstream's process is known to have
ended, which makes the request a suspect, or to have outlived it.

Data on a connection proves that the process lived from when the connection was
opened until the data arrived. No clock or registration of the upstream is
needed for that.
"""

import collections.abc
import enum
import typing

from swiftstile.gateway import fingerprint
from swiftstile.gateway import outcomes
from swiftstile.gateway import targets

__all__ = [
    "Attribution",
    "EndOfRun",
    "Evidence",
    "Exchange",
    "ExchangeEnd",
    "Fate",
    "UnansweredExchanges",
    "how_ended",
]

# An upstream may still work on a request for some time after the exchange
# ended, and crash. If it lives longer, it has outlived the request.
AFTEREFFECT_S = 0.5
# Requests that were sent longer after the first one without proof that the
# process lived were sent to one that had already ended.
ONSET_S = 1.0
# A request that was sent within this time before a new run became known may
# have been sent to it.
REGISTRATION_LAG_S = 1.5
# How long after its caller left a request may be taken for the cause of an end
# that was found out later, unless a health check showed meanwhile that the
# upstream didn't answer: until another request finds the upstream down.
MAX_DELAY_S = 1.0
# How long the outcome of an exchange may remain unknown: until the next run of
# the upstream is registered, also in most outages of the store.
RETENTION_S = 15.0
# Maximum exchanges that are kept after their end, in total; the oldest are
# dropped first.
MAX_ENDED = 1024


class ExchangeEnd(enum.Enum):
    """How an exchange ended that wasn't answered."""

    # The connection broke, before or after the start of an answer.
    BROKEN = "connection-broken"
    TIMED_OUT = "timed-out"
    ABANDONED = "caller-left"
    INVALID = "invalid-answer"


class Fate(enum.Enum):
    """What became of the process that may have had an exchange.

    The process of an exchange may also be known to have ended; see `Evidence`.
    """

    # It lived on after the exchange, for longer than the request has an effect.
    OUTLIVED = "outlived"
    # It left the request without an answer, and only connections that were
    # opened later delivered data.
    PRESUMED_ENDED = "presumed ended"
    # Nothing was found out within the retention time.
    UNKNOWN = "nothing found out"


class Evidence(enum.Enum):
    """What shows that the process of an upstream has ended."""

    # The time is known.
    BROKEN = "connection-broken"
    # It isn't, but no later process is listening yet.
    REFUSED = "connection-refused"
    REPORTED = "reported-by-a-vm"
    # It isn't, and one may be.
    REGISTERED = "registration"
    REPLACED = "address-used-again"
    # It is presumed.
    UNRESPONSIVE = "unresponsive"
    SERVED_LATER = "served-on-later-connections"


class EndOfRun(typing.NamedTuple):
    """The end of an upstream's process.

    Attributes:
        target: The upstream.
        evidence: What shows it.
        found_at: When that was found.
        at: When the process ended, if known.
        successor: The upstream's next run at the same address, if known.
    """

    target: targets.Target
    evidence: Evidence
    found_at: float
    at: float | None = None
    successor: targets.Target | None = None

    @property
    def latest_send_at(self) -> float:
        """Latest time at which the process may have got a request."""
        if self.at is not None:
            return self.at
        if self.is_by_registration:
            return self.found_at - REGISTRATION_LAG_S
        return self.found_at

    @property
    def is_by_registration(self) -> bool:
        """Whether the registration of a later process shows it."""
        return self.evidence in (Evidence.REGISTERED, Evidence.REPLACED)


class Attribution(typing.NamedTuple):
    """Exchanges with a process that ended.

    Attributes:
        suspects: Those whose requests may have ended it.
        others: Those whose requests were probably sent to it later, or long
            before.
        stopped_at: Estimated time at which it stopped working.
    """

    suspects: list["Exchange"]
    others: list["Exchange"]
    stopped_at: float


def how_ended(error: outcomes.GatewayError) -> ExchangeEnd | None:
    """Returns how an exchange ended, given the error of the send.

    None if the upstream can't have run the request.
    """
    if isinstance(error, outcomes.NotRunError):
        return None
    if isinstance(error, outcomes.TimedOutError):
        return ExchangeEnd.TIMED_OUT
    if getattr(error, "is_connection_broken", False):
        return ExchangeEnd.BROKEN
    return ExchangeEnd.INVALID


class Exchange:
    """One request that was sent to one upstream.

    Attributes:
        target: The upstream.
        address: Its address when the request was sent.
        started_ms: Start of its run, as registered when the request was sent.
        sent_at: When the request was sent.
        digest: The request; None while the exchange is in progress.
        how: How it ended; None while it is in progress.
        ended_at: When it ended; infinite while it is in progress.
        alive_at: Latest time at which the process that got the request is known
            to have lived.
        served_at: When its address first delivered data after the exchange had
            no effect any more; None if it didn't.
        is_unresponsive: Whether the upstream didn't answer a health check after
            the exchange, though another one did.
        is_run_uncertain: Whether the upstream restarted about when the request
            was sent, so that it may have been sent to either run or to none.
        is_run_ended: Whether that process has ended while it is in progress.
    """

    __slots__ = (
        "address",
        "alive_at",
        "digest",
        "ended_at",
        "how",
        "is_run_ended",
        "is_run_uncertain",
        "is_unresponsive",
        "sent_at",
        "served_at",
        "started_ms",
        "target",
    )

    def __init__(self, target: targets.Target, now: float):
        self.target = target
        self.address = target.upstream.address
        self.started_ms = target.upstream.started_ms
        self.sent_at = now
        self.digest: fingerprint.Digest | None = None
        self.how: ExchangeEnd | None = None
        self.ended_at = float("inf")
        self.alive_at = float("-inf")
        self.served_at: float | None = None
        self.is_run_ended = self.is_run_uncertain = False
        self.is_unresponsive = False

    def record_data(self, opened_at: float, now: float) -> None:
        """Records that its address delivered data.

        Args:
            opened_at: When the connection was opened.
            now: The time.
        """
        if opened_at <= self.sent_at:
            self.alive_at = now
        if self.served_at is None and now > self.ended_at + AFTEREFFECT_S:
            self.served_at = now

    def fate(self, now: float) -> Fate | None:
        """Returns what became of the upstream's process; None if unknown.

        Data on a later connection may be from a new run, which becomes known
        soon.
        """
        if self.alive_at > self.ended_at + AFTEREFFECT_S:
            return Fate.OUTLIVED
        if (
            self.served_at is None
            or self.is_run_uncertain
            or self.target.is_replaced
            or now - self.served_at <= REGISTRATION_LAG_S
        ):
            return None
        if self.how in (ExchangeEnd.BROKEN, ExchangeEnd.TIMED_OUT):
            return Fate.PRESUMED_ENDED
        return Fate.OUTLIVED

    def move_to(self, target: targets.Target) -> None:
        """Counts it for another run at the same address."""
        self.target, self.started_ms = target, target.upstream.started_ms
        self.is_run_uncertain = True

    @property
    def was_alive(self) -> bool:
        """Whether the process is known to have lived after the send."""
        return self.alive_at >= self.sent_at


class UnansweredExchanges:
    """Exchanges in progress, and ended ones whose outcome is unknown.

    Args:
        on_settled: Called with an exchange that isn't kept any longer, what
            became of the upstream's process, and the time.
    """

    def __init__(
        self,
        on_settled: collections.abc.Callable[["Exchange", Fate, float], None],
    ):
        self._on_settled = on_settled
        self._by_address: dict[str, dict[Exchange, None]] = {}
        # Ended exchanges, the oldest first.
        self._ended: dict[Exchange, None] = {}

    def __len__(self) -> int:
        return len(self._ended)

    def __contains__(self, exchange: Exchange) -> bool:
        """Whether an exchange has ended and its outcome is unknown."""
        return exchange in self._ended

    def begin(self, target: targets.Target, now: float) -> Exchange:
        """Returns a new exchange, whose request is about to be sent."""
        exchange = Exchange(target, now)
        self._by_address.setdefault(exchange.address, {})[exchange] = None
        return exchange

    def discard(self, exchange: Exchange) -> None:
        """Drops an exchange that was answered, or whose request didn't run."""
        self._ended.pop(exchange, None)
        exchanges = self._by_address.get(exchange.address, {})
        exchanges.pop(exchange, None)
        if not exchanges:
            self._by_address.pop(exchange.address, None)

    def end(
        self,
        exchange: Exchange,
        digest: fingerprint.Digest,
        how: ExchangeEnd,
        now: float,
    ) -> None:
        """Records that an exchange ended without an answer."""
        exchange.digest, exchange.how, exchange.ended_at = digest, how, now
        self._ended[exchange] = None
        while len(self._ended) > MAX_ENDED:
            self.discard(next(iter(self._ended)))

    def unproven(self, target: targets.Target) -> list[Exchange]:
        """Returns the exchanges with an upstream that need a health check.

        Its next data will show that it outlived their requests.
        """
        address = target.upstream.address
        return [
            exchange
            for exchange in self._by_address.get(address, ())
            if exchange in self._ended
            and exchange.target is target
            and exchange.served_at is None
            and not exchange.is_unresponsive
        ]

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """Records that data arrived on a connection opened at a time."""
        exchanges = self._by_address.get(address)
        if not exchanges:
            return
        for exchange in exchanges:
            exchange.record_data(opened_at, now)
        self._settle_known(list(exchanges), now)

    def _settle_known(self, exchanges: list[Exchange], now: float) -> None:
        """Removes the exchanges whose process has a known fate."""
        for exchange in exchanges:
            fate = exchange.fate(now)
            if fate is not None:
                self.discard(exchange)
                self._on_settled(exchange, fate, now)

    def has_ended(self, address: str, since: float) -> bool:
        """Whether an exchange with an address ended since a time."""
        return any(
            since <= exchange.ended_at < float("inf")
            for exchange in self._by_address.get(address, ())
        )

    def ended_targets(self) -> set[targets.Target]:
        """Returns the upstreams of ended exchanges whose outcome is unknown."""
        return {exchange.target for exchange in self._ended}

    def all_targets(self) -> set[targets.Target]:
        """Returns the upstreams of all exchanges."""
        return {
            exchange.target
            for exchanges in self._by_address.values()
            for exchange in exchanges
        }

    def settle(self, end: EndOfRun) -> Attribution:
        """Removes and returns the ended exchanges with a process that ended.

        Those that can't have reached that process any more are left, for the
        upstream's next run.
        """
        self._settle_known(self._of(end.target), end.found_at)
        earlier = []
        for exchange in self._of(end.target):
            if not end.is_by_registration and exchange.served_at is not None:
                # It outlived the request, or ended before; then the
                # registration of the run between will tell.
                continue
            if exchange.sent_at <= end.latest_send_at:
                exchange.is_run_ended = True
                earlier.append(exchange)
            elif end.successor is not None:
                exchange.move_to(end.successor)
        ended = [one for one in earlier if one.how is not None]
        for exchange in ended:
            self.discard(exchange)
        return _attribute(ended, end)

    def _of(self, target: targets.Target) -> list[Exchange]:
        """Returns all exchanges with an upstream."""
        return [
            exchange
            for exchange in self._by_address.get(target.upstream.address, ())
            if exchange.target is target
        ]

    def expire(self, now: float) -> None:
        """Drops exchanges whose process has a known fate, and old ones."""
        self._settle_known(list(self._ended), now)
        expired = [
            exchange
            for exchange in self._ended
            if now - exchange.ended_at > RETENTION_S
        ]
        for exchange in expired:
            self.discard(exchange)
            self._on_settled(exchange, Fate.UNKNOWN, now)


def _attribute(ended: list[Exchange], end: EndOfRun) -> Attribution:
    """Returns which exchanges the end of a process may go back to.

    If a process stops answering, further requests to it aren't answered either.
    """
    onset = min(
        (
            one.sent_at
            for one in ended
            if not one.was_alive and not one.is_run_uncertain
        ),
        default=float("inf"),
    )
    suspects, others = [], []
    for one in ended:
        if _is_too_late(one, end):
            is_plausible = False
        elif one.is_run_uncertain:
            is_plausible = end.at is not None or one.was_alive
        else:
            is_plausible = one.sent_at <= onset + ONSET_S
        is_suspect = one.how is ExchangeEnd.BROKEN or is_plausible
        (suspects if is_suspect else others).append(one)
    stopped_at = end.at
    if end.at is None or any(
        one.how is ExchangeEnd.TIMED_OUT for one in suspects
    ):
        # It had stopped answering before.
        stopped_at = max(
            (max(one.sent_at, one.alive_at) for one in suspects),
            default=end.found_at,
        )
    return Attribution(suspects, others, stopped_at)


def _is_too_late(exchange: Exchange, end: EndOfRun) -> bool:
    """Whether too much time is between an abandoned exchange and an end.

    The upstream may have ended at any time since.
    """
    if exchange.how is not ExchangeEnd.ABANDONED or exchange.is_unresponsive:
        return False
    if end.at is not None:
        return exchange.ended_at < end.at - AFTEREFFECT_S
    delay_s = MAX_DELAY_S
    if end.is_by_registration:
        delay_s += REGISTRATION_LAG_S
    return exchange.ended_at < end.found_at - delay_s
