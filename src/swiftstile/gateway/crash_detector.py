"""Finds out which requests were in progress when an upstream's process ended.

The end of a process shows in several ways: a connection breaks or is refused,
another VM reports the crash, or a new run registers. Whichever comes first
counts for all exchanges without an answer that the process may have had, also
those that the caller left or that timed out.
"""

import asyncio
import collections.abc

from swiftstile import clocks
from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import causes
from swiftstile.gateway import fingerprint
from swiftstile.gateway import link_observers
from swiftstile.gateway import suspects
from swiftstile.gateway import targets
from swiftstile.gateway import unanswered

__all__ = ["CrashDetector"]

# An upstream that delivers no data is checked this long after an exchange, as
# the request may crash it only after the caller has left.
FOLLOW_UP_S = unanswered.AFTEREFFECT_S + 0.05
# Older reports don't tell of the run that a VM knows: an upstream that was
# taken for crashed may have gone on.
MAX_REPORT_AGE_S = 1.0
# Maximum upstreams that are followed up at the same time.
MAX_FOLLOW_UPS = 32

_Check = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


class CrashDetector(link_observers.LinkObserver):
    """Attributes ends of upstreams' processes to exchanges without an answer.

    Args:
        suspect_table: Gets the suspects.
        target_table: The upstreams.
        answers: Returns whether an upstream at an address answers a health
            check.
        refuses_connections: Returns whether an address refuses connections.
        reaches_another: Returns whether this VM reaches any upstream but the
            one at an address.
        meters: Counts what became of exchanges.
    """

    def __init__(
        self,
        suspect_table: suspects.SuspectTable,
        target_table: targets.TargetTable,
        answers: _Check,
        refuses_connections: _Check,
        reaches_another: _Check,
        meters: metrics.Meters,
    ):
        self._suspect_table = suspect_table
        self._target_table = target_table
        self._answers = answers
        self._refuses_connections = refuses_connections
        self._reaches_another = reaches_another
        self._meters = meters
        self._exchanges = unanswered.UnansweredExchanges(self._note_settled)
        self._checks: dict[targets.Target, asyncio.Task[bool]] = {}
        self._follow_ups: dict[targets.Target, asyncio.Task[None]] = {}

    def may_open(self) -> bool:
        """See base class."""
        return True

    def on_opened(self, address: str, now: float) -> None:
        """See base class."""

    def on_open_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_sent(self, address: str, now: float) -> None:
        """See base class."""

    def on_received(self, address: str, opened_at: float, now: float) -> None:
        """See base class."""
        self._exchanges.on_received(address, opened_at, now)

    def on_broken(self, address: str, is_proven: bool, now: float) -> None:
        """See base class."""

    def on_probe_failed(self, address: str, now: float) -> None:
        """See base class."""

    def on_closed(self, address: str, now: float) -> None:
        """See base class.

        A process that ends closes all connections, unused ones as well.
        """
        since = now - unanswered.AFTEREFFECT_S
        if self._exchanges.has_ended(address, since):
            for target in self._exchanges.ended_targets():
                if target.upstream.address == address:
                    self.check(target, now)

    def begin(self, target: targets.Target, now: float) -> unanswered.Exchange:
        """Returns a new exchange, whose request is about to be sent."""
        return self._exchanges.begin(target, now)

    def discard(self, exchange: unanswered.Exchange) -> None:
        """Drops an exchange that was answered, or whose request didn't run."""
        self._exchanges.discard(exchange)

    def record_end(
        self,
        exchange: unanswered.Exchange,
        digest: fingerprint.Digest,
        how: unanswered.ExchangeEnd,
        now: float,
    ) -> None:
        """Records that an exchange ended without an answer."""
        target = exchange.target
        self._exchanges.expire(now)
        self._exchanges.end(exchange, digest, how, now)
        if exchange.is_run_ended or target.is_replaced:
            self._attribute(target, _later_process(target), now)
        else:
            self._follow_up(target)

    def _follow_up(self, target: targets.Target) -> None:
        """Finds out soon whether an upstream outlives its requests."""
        if target in self._follow_ups:
            return
        if len(self._follow_ups) >= MAX_FOLLOW_UPS:
            self._meters.crashes.add("not-followed-up")
            return
        task = asyncio.create_task(self._check_unproven(target))
        self._follow_ups[target] = task
        task.add_done_callback(lambda _: self._follow_ups.pop(target, None))

    async def _check_unproven(self, target: targets.Target) -> None:
        """Checks an upstream until all its exchanges have some evidence."""
        address = target.upstream.address
        while unproven := self._exchanges.unproven(target):
            await asyncio.sleep(FOLLOW_UP_S)
            if not any(
                one in self._exchanges and one.served_at is None
                for one in unproven
            ):
                continue
            self._meters.crashes.add("followed-up")
            # The answer, if any, is noted like other data.
            if await self._answers(address):
                continue
            if await self.check(target, None):
                continue
            if not await self._reaches_another(address):
                # This VM's own links may be down.
                return
            self._presume_ended(unproven)

    def _presume_ended(self, unproven: list[unanswered.Exchange]) -> None:
        """Records exchanges whose upstream didn't answer a health check."""
        now = clocks.monotonic()
        for exchange in unproven:
            if exchange in self._exchanges and exchange.served_at is None:
                exchange.is_unresponsive = True
                self._record_presumed(
                    exchange, unanswered.Evidence.UNRESPONSIVE, now
                )

    def on_unreachable(self, target: targets.Target) -> None:
        """Called when no connection to an upstream could be opened."""
        if target in self._exchanges.ended_targets():
            self.check(target, None)

    def on_registrations(self, now: float) -> None:
        """Called after registrations of upstreams have changed.

        A new run under the same id, or another upstream at the address, shows
        that the process before it has ended, also if it stopped answering
        without closing its connections. The removal of a registration shows
        nothing: the upstream may serve on.
        """
        self._exchanges.expire(now)
        for target in self._exchanges.all_targets():
            if target.is_replaced:
                self._attribute(target, _later_process(target), now)

    def on_reported(
        self, reported: list[suspects.SuspectReport], now: float
    ) -> None:
        """Called with the suspects that another VM reports."""
        ended_targets = self._exchanges.ended_targets()
        if not ended_targets:
            return
        age_s_by_crash = {
            crash: age_ms / 1000
            for report in reported
            for crash, (age_ms, _) in report.found_crashes.items()
            if age_ms <= MAX_REPORT_AGE_S * 1000
        }
        for target in ended_targets:
            started_ms = target.upstream.started_ms
            crash = causes.crash_id(target.id, started_ms)
            if crash in age_s_by_crash:
                found_at = now - age_s_by_crash[crash]
                self._attribute(target, unanswered.Evidence.REPORTED, found_at)

    def check(
        self, target: targets.Target, at: float | None
    ) -> asyncio.Task[bool]:
        """Starts to check whether an upstream's process has ended.

        The check goes on if the caller of a request leaves meanwhile.

        Args:
            target: The upstream.
            at: When a connection to it broke; None if none did.

        Returns:
            The task, whose result is whether it crashed.
        """
        task = self._checks.get(target)
        if task is None:
            task = asyncio.create_task(self._check(target, at))
            self._checks[target] = task
            task.add_done_callback(lambda _: self._checks.pop(target, None))
        return task

    async def _check(self, target: targets.Target, at: float | None) -> bool:
        """Returns whether an upstream has ended, and records suspects if so.

        An unreachable upstream may be partitioned from this VM; only a refused
        connection shows that nothing runs there, and only if connections to
        other upstreams aren't refused as well.
        """
        address = target.upstream.address
        is_down = await self._refuses_connections(
            address
        ) and await self._reaches_another(address)
        if not is_down:
            self._meters.crashes.add("still-up")
            logs.logger.info(
                "upstream still listens or can't be checked",
                upstream=target.id,
            )
            return False
        evidence = unanswered.Evidence.BROKEN
        if at is None:
            evidence = unanswered.Evidence.REFUSED
        self._attribute(target, evidence, clocks.monotonic(), at)
        return True

    def _attribute(
        self,
        target: targets.Target,
        evidence: unanswered.Evidence,
        now: float,
        at: float | None = None,
    ) -> None:
        """Records the suspects of the end of an upstream's process.

        Args:
            target: The upstream.
            evidence: What shows that it has ended.
            now: When that was found.
            at: When it ended, if known.
        """
        end = unanswered.EndOfRun(
            target, evidence, now, at, self._successor(target)
        )
        attribution = self._exchanges.settle(end)
        may_be_planned = target.is_planned_exit or (
            target.is_replaced and not target.has_restarted
        )
        for exchange in attribution.suspects:
            if may_be_planned:
                self._record_presumed(exchange, evidence, at or now)
            else:
                self._record_suspect(exchange, end, attribution.stopped_at)
        for exchange in attribution.others:
            self._record_presumed(exchange, evidence, at or now)

    def _successor(self, target: targets.Target) -> targets.Target | None:
        """Returns the next run of an upstream at the same address, if known."""
        current = self._target_table.by_id.get(target.id)
        if current is None or current is target:
            return None
        is_same = current.upstream.address == target.upstream.address
        return current if is_same else None

    def _record_suspect(
        self,
        exchange: unanswered.Exchange,
        end: unanswered.EndOfRun,
        stopped_at: float,
    ) -> None:
        """Records the request of an exchange as the suspect of a crash."""
        counted = self._suspect_table.record_crash(
            exchange.digest,
            causes.crash_id(exchange.target.id, exchange.started_ms),
            stopped_at - exchange.sent_at,
            end.at or end.found_at,
            exchange.sent_at,
            exchange.how is unanswered.ExchangeEnd.ABANDONED,
        )
        self._meters.crashes.add("suspected" if counted else "known-crash")
        self._log_suspect(
            exchange,
            end.evidence,
            counted,
            sent_ms=clocks.milliseconds(stopped_at - exchange.sent_at),
            found_ms=clocks.milliseconds(end.found_at - stopped_at),
        )

    def _record_presumed(
        self,
        exchange: unanswered.Exchange,
        evidence: unanswered.Evidence,
        now: float,
    ) -> None:
        """Records that an upstream may have ended because of a request.

        Unlike a crash, this counts only if many upstreams leave the request
        without an answer.
        """
        counted = self._suspect_table.record_presumed_crash(
            exchange.digest,
            causes.crash_id(exchange.target.id, exchange.started_ms),
            now,
            exchange.sent_at,
        )
        self._meters.crashes.add("presumed" if counted else "known-crash")
        self._log_suspect(exchange, evidence, counted, is_presumed=True)

    def _log_suspect(
        self,
        exchange: unanswered.Exchange,
        evidence: unanswered.Evidence,
        counted: bool,
        **fields: float,
    ) -> None:
        digest, table = exchange.digest, self._suspect_table
        logs.logger.info(
            "request suspected of a crash",
            request=digest.hex(),
            upstream=exchange.target.id,
            started_ms=exchange.started_ms,
            ended=exchange.how.value,
            evidence=evidence.value,
            is_counted=counted,
            crashes=table.crashes(digest),
            possible_crashes=table.possible_crashes(digest),
            weight=round(table.weight(digest), 2),
            outlived=round(table.outlived(digest), 1),
            is_cause=digest in table.identified_causes(),
            **fields,
        )

    def _note_settled(
        self,
        exchange: unanswered.Exchange,
        fate: unanswered.Fate,
        now: float,
    ) -> None:
        """Records what became of an upstream's process."""
        if fate is unanswered.Fate.PRESUMED_ENDED:
            evidence = unanswered.Evidence.SERVED_LATER
            self._record_presumed(exchange, evidence, now)
            return
        if fate is unanswered.Fate.OUTLIVED:
            self._suspect_table.record_outlived(exchange.digest, now)
        self._log_uncounted(exchange, fate.value)

    def _log_uncounted(
        self, exchange: unanswered.Exchange, reason: str
    ) -> None:
        """Tells why an exchange without an answer isn't part of a crash."""
        self._meters.crashes.add(reason.replace(" ", "-"))
        logs.logger.info(
            "exchange not counted",
            request=exchange.digest.hex(),
            upstream=exchange.target.id,
            reason=reason,
            outlived=round(self._suspect_table.outlived(exchange.digest), 1),
        )


def _later_process(target: targets.Target) -> unanswered.Evidence:
    """Returns which registration shows that an upstream has ended."""
    if target.is_replaced and not target.has_restarted:
        return unanswered.Evidence.REPLACED
    return unanswered.Evidence.REGISTERED
