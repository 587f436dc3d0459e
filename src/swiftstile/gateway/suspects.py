"""Identifies requests that crash the upstreams that run them.

Pure decision code without I/O. A request is a suspect of a crash if it was in
progress at the upstream when that crashed. It is cleared as soon as any
upstream answers it. A suspect of several crashes that was never answered is
regarded as their cause, unless another request explains them (causes.py).

This assumes that a request that was ever answered doesn't crash upstreams. Each
VM remembers the requests that it answered recently, so that a frequent request
is cleared by any VM that answered it.
"""

import collections.abc
import enum
import typing

import msgspec

from swiftstile.gateway import causes
from swiftstile.gateway import event_sketch
from swiftstile.gateway import fingerprint

__all__ = ["SuspectReport", "SuspectTable", "Verdict"]

# A suspect of this many crashes isn't resent within the same attempt.
CRASHES_TO_STOP_RESENDS = 2
# A cause is rejected only this long after it was identified, so that a VM that
# answered it recently has time to report this. After causes.CERTAIN_CRASHES the
# delay is counted from the first of them.
CONTRADICTION_PERIOD_S = 2.0
# The same for a suspect of more crashes than it takes to be a cause.
SHORT_CONTRADICTION_PERIOD_S = 1.0
# A cause isn't sent to any upstream for this long after its last crash; then
# one VM probes it. The first value applies up to causes.MIN_CRASHES, when it
# may still be an ordinary request.
FIRST_QUARANTINE_S, QUARANTINE_S = 20.0, 300.0
# Minimum interval of probes, and when an unchanged suspect is dropped.
PROBE_INTERVAL_S = 60.0
SUSPECT_TTL_S = 1800.0
# When a suspect of a single crash, or one that was answered, is dropped.
WEAK_SUSPECT_TTL_S = 60.0
# Maximum answered requests that are remembered.
MAX_ANSWERED = 4096
# So many upstreams that end within this time may have a common cause.
MIN_SIMULTANEOUS, SIMULTANEOUS_S = 3, 0.3
# Maximum requests whose outlived exchanges are remembered, and for how long
# after the last one.
MAX_OUTLIVED, OUTLIVED_TTL_S = 1024, 30.0
# Maximum suspects; those of the fewest crashes are dropped first.
MAX_SUSPECTS = 512
# Maximum crashes that are stored for one suspect.
MAX_CRASHES_PER_SUSPECT = 8
# How long a change of a suspect is included in every report.
CHANGE_REPORT_PERIOD_S = 3.0
# How long a crash is reported to all VMs at once.
URGENT_PERIOD_S = 1.0
# Maximum difference of the times that several VMs report for one response.
_RESPONSE_TIME_TOLERANCE_S = 1.0
# Maximum suspects in one report: recently changed ones, and others in rotation.
MAX_CHANGED_REPORTED, MAX_OTHERS_REPORTED = 8, 2


# Bounds what other builds may send: times stay exact, bitmaps are positive.
_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
_Bitmap = typing.Annotated[int, msgspec.Meta(ge=0)]


class Verdict(enum.Enum):
    """What to do with a request."""

    PASS = "pass"
    # Sent once, without retries by the gateway.
    PASS_WITHOUT_RETRY = "pass-without-retry"
    REJECT = "reject"
    # Sent after a quarantine, to test whether it still crashes upstreams.
    PROBE = "probe"


class SuspectReport(msgspec.Struct, array_like=True):
    """A VM's report on a suspect.

    Attributes:
        digest: The request.
        crashes: Age of each of its crashes, and the time from sending it to the
            crash, in milliseconds.
        answered_ms: Age of its last response; None if it wasn't answered.
        outlived: Sketch of the times that upstreams outlived it since its first
            crash (`event_sketch`).
        abandoned: Which of the crashes came after its caller had left; a bit
            for each, in their order.
        presumed: Which of them are presumed, likewise.
        unanswered: Sketch of all its crashes since it was last answered.
    """

    digest: fingerprint.Digest
    crashes: dict[causes.CrashId, tuple[_Milliseconds, _Milliseconds]]
    answered_ms: _Milliseconds | None = None
    outlived: _Bitmap = 0
    abandoned: _Bitmap = 0
    presumed: _Bitmap = 0
    unanswered: _Bitmap = 0

    @property
    def found_crashes(self) -> dict[causes.CrashId, tuple[int, int]]:
        """Its crashes without the presumed ones."""
        return {
            name: ages
            for place, (name, ages) in enumerate(self.crashes.items())
            if not self.presumed >> place & 1
        }

    @property
    def is_urgent(self) -> bool:
        """Whether it is a suspect of several crashes, one of them recent.

        Others are included in turn, so that they differ in each report.
        """
        if len(self.crashes) < CRASHES_TO_STOP_RESENDS:
            return False
        newest_ms = min(age_ms for age_ms, _ in self.crashes.values())
        return newest_ms <= URGENT_PERIOD_S * 1000


class _Crash(typing.NamedTuple):
    """A crash during which a request was in progress.

    Attributes:
        at: Time of the crash, or when it was found, on the monotonic clock.
        sent_s: Time from sending the request to the crash, in seconds.
        is_abandoned: Whether the caller had left before.
        is_presumed: Whether the end of the upstream is presumed, or may have
            been planned.
    """

    at: float
    sent_s: float
    is_abandoned: bool = False
    is_presumed: bool = False


class _Suspect:
    """State of one suspected request."""

    __slots__ = (
        "answered_at",
        "by_crash",
        "cause_since",
        "changed_at",
        "max_crashes",
        "outlived",
        "probed_at",
        "suspected_since",
        "unanswered",
    )

    def __init__(self, now: float):
        self.by_crash: dict[causes.CrashId, _Crash] = {}
        self.answered_at = float("-inf")
        # When it was identified as a cause; None if it isn't one.
        self.cause_since: float | None = None
        # Highest number of crashes it was a suspect of, including crashes that
        # a response has cleared since.
        self.max_crashes = 0
        self.outlived = 0
        # Sketch of all its crashes, also those that aren't stored any more.
        self.unanswered = 0
        self.changed_at = now
        self.probed_at = float("-inf")
        # Time of its first crash since it was last cleared.
        self.suspected_since = now

    @property
    def last_event_at(self) -> float:
        """Time of its last crash or response."""
        times = [crash.at for crash in self.by_crash.values()]
        return max([*times, self.answered_at])

    @property
    def is_serious(self) -> bool:
        """Whether it was ever a suspect of several crashes."""
        return self.max_crashes >= CRASHES_TO_STOP_RESENDS

    @property
    def is_relevant(self) -> bool:
        """Whether it influences decisions of other VMs."""
        return self.is_serious or bool(self.by_crash)

    @property
    def quarantined_until(self) -> float:
        """Time until which it isn't sent to any upstream."""
        is_new = len(self.by_crash) <= causes.MIN_CRASHES
        return self.last_event_at + (
            FIRST_QUARANTINE_S if is_new else QUARANTINE_S
        )

    @property
    def independent_crashes(self) -> dict[causes.CrashId, _Crash]:
        """Its crashes without those that probably had a common cause.

        Several upstreams that are found to have ended at the same time, all
        after the caller had left, are most likely those of one machine or
        failure domain.
        """
        return self._independent(self.found_crashes)

    @property
    def found_crashes(self) -> dict[causes.CrashId, _Crash]:
        """Its crashes without the presumed ones."""
        return {
            name: crash
            for name, crash in self.by_crash.items()
            if not crash.is_presumed
        }

    @property
    def presumed_crashes(self) -> int:
        """How many of its crashes are presumed."""
        return len(self.by_crash) - len(self.found_crashes)

    @property
    def unanswered_runs(self) -> float:
        """About how many runs of upstreams it may have ended.

        Presumed crashes count as well.
        """
        count = len(self._independent(self.by_crash))
        if len(self.by_crash) < MAX_CRASHES_PER_SUSPECT:
            return count
        return max(count, event_sketch.estimate(self.unanswered))

    @property
    def is_unanswered_by_many(self) -> bool:
        """Whether it is rejected for the number of upstreams alone."""
        return causes.is_unanswered_by_many(
            self.unanswered_runs, event_sketch.estimate(self.outlived)
        )

    @staticmethod
    def _independent(
        by_crash: dict[causes.CrashId, _Crash],
    ) -> dict[causes.CrashId, _Crash]:
        groups: list[list[causes.CrashId]] = []
        began_at = float("-inf")
        for name in sorted(by_crash, key=by_crash.get):
            if by_crash[name].at - began_at >= SIMULTANEOUS_S:
                groups.append([])
                began_at = by_crash[name].at
            groups[-1].append(name)
        independent: list[causes.CrashId] = []
        for group in groups:
            is_common = len(group) >= MIN_SIMULTANEOUS and all(
                by_crash[name].is_abandoned or by_crash[name].is_presumed
                for name in group
            )
            independent += group[:1] if is_common else group
        return {name: by_crash[name] for name in independent}

    @property
    def counterevidence(self) -> causes.Counterevidence:
        """What speaks against it, or makes its crashes doubtful."""
        return causes.Counterevidence(
            event_sketch.estimate(self.outlived),
            frozenset(
                name
                for name, crash in self.by_crash.items()
                if crash.is_abandoned
            ),
        )

    def is_confirmed_cause(self, now: float) -> bool:
        """Whether it is a cause and the time to contradict is over."""
        if self.cause_since is None:
            return False
        count = len(self.independent_crashes)
        if count >= causes.CERTAIN_CRASHES or self.is_unanswered_by_many:
            return now - self.suspected_since >= CONTRADICTION_PERIOD_S
        period_s = CONTRADICTION_PERIOD_S
        if count > causes.MIN_CRASHES:
            period_s = SHORT_CONTRADICTION_PERIOD_S
        return now - self.cause_since >= period_s

    def add_crash(self, name: causes.CrashId, crash: _Crash) -> bool:
        """Adds a crash; returns whether that changed anything."""
        if crash.at <= self.answered_at:
            return False
        known = self.by_crash.get(name)
        if known is not None and (crash.is_presumed or not known.is_presumed):
            return False
        if not self.by_crash:
            self.suspected_since = crash.at
        self.unanswered = event_sketch.add(self.unanswered, f"{name}")
        if known is None and len(self.by_crash) >= MAX_CRASHES_PER_SUSPECT:
            oldest = min(self.by_crash, key=self.by_crash.get)
            if crash.at < self.by_crash[oldest].at:
                return False
            del self.by_crash[oldest]
        self.by_crash[name] = crash
        self.max_crashes = max(self.max_crashes, len(self.by_crash))
        return True

    def record_response(self, at: float) -> bool:
        """Records a response; returns whether that changed anything."""
        later = {
            name: crash
            for name, crash in self.by_crash.items()
            if crash.at > at
        }
        clears = len(later) < len(self.by_crash)
        if not clears and at <= self.answered_at + _RESPONSE_TIME_TOLERANCE_S:
            return False
        self.answered_at = max(self.answered_at, at)
        self.by_crash = later
        self.unanswered = 0
        for name in later:
            self.unanswered = event_sketch.add(self.unanswered, f"{name}")
        if not later:
            self.outlived = 0
        return True

    def merge_outlived(self, outlived: int) -> bool:
        """Adds events of a sketch; returns whether that changed anything."""
        known = self.outlived
        self.outlived |= outlived
        return self.outlived != known

    def merge_unanswered(self, unanswered: int) -> bool:
        """Adds crashes of a sketch; returns whether that changed anything."""
        known = self.unanswered
        self.unanswered |= unanswered
        return self.unanswered != known


class SuspectTable:
    """Identifies requests that crash upstreams, from reports of all VMs."""

    def __init__(self):
        self._by_digest: dict[fingerprint.Digest, _Suspect] = {}
        # Ordered by the time of the last response.
        self._answered: dict[fingerprint.Digest, None] = {}
        # Sketches of the times that upstreams outlived requests, and the last
        # of them; in its order.
        self._outlived: dict[fingerprint.Digest, tuple[int, float]] = {}
        self._rotation = 0
        # Until when all serious suspects count as changed.
        self._repeated_until = float("-inf")

    def __len__(self) -> int:
        return len(self._by_digest)

    def crashes(self, digest: fingerprint.Digest) -> int:
        """Returns the number of crashes that a request is a suspect of."""
        suspect = self._by_digest.get(digest)
        return 0 if suspect is None else len(suspect.found_crashes)

    def possible_crashes(self, digest: fingerprint.Digest) -> int:
        """Returns the same with the presumed ones."""
        suspect = self._by_digest.get(digest)
        return 0 if suspect is None else len(suspect.by_crash)

    def weight(self, digest: fingerprint.Digest) -> float:
        """Returns the weight of the crashes that a request is a suspect of."""
        return causes.weights(self._times_to_crash()).get(digest, 0.0)

    def outlived(self, digest: fingerprint.Digest) -> float:
        """Returns about how often upstreams outlived a suspect."""
        suspect = self._by_digest.get(digest)
        sketch = 0 if suspect is None else suspect.outlived
        return event_sketch.estimate(sketch)

    def identified_causes(self) -> list[fingerprint.Digest]:
        """Returns the requests identified as causes of crashes."""
        return [
            digest
            for digest, suspect in self._by_digest.items()
            if suspect.cause_since is not None
        ]

    def record_crash(
        self,
        digest: fingerprint.Digest,
        crash: causes.CrashId,
        sent_s: float,
        now: float,
        sent_at: float | None = None,
        is_abandoned: bool = False,
    ) -> bool:
        """Records that an upstream crashed while it had a request.

        Args:
            digest: The request.
            crash: The crash.
            sent_s: Time from sending the request to the crash, in seconds, as
                far as known.
            now: Time of the crash, or when it was found if that isn't known.
            sent_at: When the request was sent; by `sent_s` if left out.
            is_abandoned: Whether the caller had left before.

        Returns:
            Whether it wasn't known to be a suspect of this crash, and is now.
        """
        sent_at = now - sent_s if sent_at is None else sent_at
        return self._add_crash(
            digest, crash, _Crash(now, sent_s, is_abandoned), sent_at
        )

    def record_presumed_crash(
        self,
        digest: fingerprint.Digest,
        crash: causes.CrashId,
        now: float,
        sent_at: float,
    ) -> bool:
        """Records that an upstream may have ended because of a request.

        Args:
            digest: The request.
            crash: The presumed crash.
            now: When that was found out.
            sent_at: When the request was sent.

        Returns:
            Whether it wasn't known to be a suspect of this crash, and is now.
        """
        found = _Crash(now, now - sent_at, is_presumed=True)
        return self._add_crash(digest, crash, found, sent_at)

    def _add_crash(
        self,
        digest: fingerprint.Digest,
        name: causes.CrashId,
        crash: _Crash,
        sent_at: float,
    ) -> bool:
        if digest in self._answered:
            return False
        now = crash.at
        name = self._distinct_crash(name, sent_at)
        suspect = self._by_digest.get(digest)
        if suspect is None:
            suspect = self._by_digest[digest] = _Suspect(now)
        if not suspect.add_crash(name, crash):
            return False
        suspect.merge_outlived(self._recently_outlived(digest, now))
        suspect.changed_at = now
        self._update_causes(now)
        return True

    def _distinct_crash(
        self, crash: causes.CrashId, sent_at: float
    ) -> causes.CrashId:
        """Returns the id of a crash during a request that was sent at a time.

        A VM may not know yet that an upstream restarted, and take a crash of
        the new run for that of the earlier one. But a request that was sent
        after a crash wasn't in progress during it.
        """
        while any(
            not known.is_presumed and known.at < sent_at
            for suspect in self._by_digest.values()
            if (known := suspect.by_crash.get(crash)) is not None
        ):
            crash = causes.next_crash_id(crash)
        return crash

    def record_outlived(self, digest: fingerprint.Digest, now: float) -> bool:
        """Records that an upstream outlived a request that it didn't answer.

        Returns:
            Whether the request is a suspect.
        """
        sketch = event_sketch.add(
            self._recently_outlived(digest, now), f"{digest.hex()}/{now!r}"
        )
        self._outlived.pop(digest, None)
        self._outlived[digest] = sketch, now
        if len(self._outlived) > MAX_OUTLIVED:
            del self._outlived[next(iter(self._outlived))]
        suspect = self._by_digest.get(digest)
        if suspect is None or not suspect.by_crash:
            return False
        if suspect.merge_outlived(sketch):
            suspect.changed_at = now
            self._update_causes(now)
        return True

    def _recently_outlived(self, digest: fingerprint.Digest, now: float) -> int:
        """Returns a sketch of the times that upstreams outlived a request."""
        sketch, at = self._outlived.get(digest, (0, now))
        return sketch if now - at < OUTLIVED_TTL_S else 0

    def record_response(self, digest: fingerprint.Digest, now: float) -> bool:
        """Records a response to a request; returns whether it was suspected."""
        self._answered.pop(digest, None)
        self._answered[digest] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return self._record_clearance(digest, now)

    def clear(self, digest: fingerprint.Digest, now: float) -> bool:
        """Clears a request on behalf of an operator.

        Returns:
            Whether it was suspected.
        """
        return self._record_clearance(digest, now)

    def _record_clearance(self, digest: fingerprint.Digest, now: float) -> bool:
        suspect = self._by_digest.get(digest)
        if suspect is None or not suspect.by_crash:
            return False
        suspect.record_response(now)
        suspect.changed_at = now
        self._update_causes(now)
        return True

    def verdict(
        self,
        digest: fingerprint.Digest,
        now: float,
        is_prober: bool = False,
    ) -> Verdict:
        """Returns what to do with a request.

        Args:
            digest: The request.
            now: The current time.
            is_prober: Whether this VM is the one that probes it after its
                quarantine.
        """
        suspect = self._by_digest.get(digest)
        if suspect is None or not suspect.by_crash:
            return Verdict.PASS
        if suspect.is_confirmed_cause(now):
            return self._verdict_on_cause(suspect, now, is_prober)
        if len(suspect.by_crash) >= CRASHES_TO_STOP_RESENDS:
            return Verdict.PASS_WITHOUT_RETRY
        return Verdict.PASS

    @staticmethod
    def _verdict_on_cause(
        suspect: _Suspect, now: float, is_prober: bool
    ) -> Verdict:
        if now < suspect.quarantined_until or not is_prober:
            return Verdict.REJECT
        if now - suspect.probed_at < PROBE_INTERVAL_S:
            return Verdict.REJECT
        suspect.probed_at = now
        return Verdict.PROBE

    def rejected_for_s(self, digest: fingerprint.Digest, now: float) -> float:
        """Returns how much longer a request is rejected, in seconds."""
        suspect = self._by_digest.get(digest)
        if suspect is None:
            return 0.0
        return max(FIRST_QUARANTINE_S, suspect.quarantined_until - now)

    def repeat_to_new_peer(self, now: float) -> None:
        """Repeats what is known for a VM that has just started."""
        self._repeated_until = now + CHANGE_REPORT_PERIOD_S

    def report(self, now: float) -> list[SuspectReport]:
        """Returns the suspects to report to other VMs now."""
        if not self._by_digest:
            return []
        self._expire(now)
        # Suspects of several crashes go first. Reports on others have little
        # effect, and reports that these were answered have none.
        by_weight = sorted(
            (
                entry
                for entry in self._by_digest.items()
                if entry[1].is_relevant
            ),
            key=lambda entry: (entry[1].max_crashes, entry[1].changed_at),
            reverse=True,
        )
        changed_recently = [
            e
            for e in by_weight
            if now - e[1].changed_at <= CHANGE_REPORT_PERIOD_S
            or (e[1].is_serious and now <= self._repeated_until)
        ]
        chosen = changed_recently[:MAX_CHANGED_REPORTED]
        others = [
            entry
            for entry in by_weight
            if entry[1].is_serious and entry not in chosen
        ]
        for _ in range(min(MAX_OTHERS_REPORTED, len(others))):
            self._rotation += 1
            chosen.append(others[self._rotation % len(others)])
        return [
            _make_report(digest, suspect, now) for digest, suspect in chosen
        ]

    def receive(self, reports: list[SuspectReport], now: float) -> None:
        """Applies the report of another VM."""
        has_changed = False
        for report in reports:
            suspect = self._by_digest.get(report.digest)
            if suspect is None:
                suspect = self._by_digest[report.digest] = _Suspect(now)
            changed = (
                report.answered_ms is not None
                and suspect.record_response(now - report.answered_ms / 1000)
            )
            for place, (name, ages) in enumerate(report.crashes.items()):
                crash = _Crash(
                    now - ages[0] / 1000,
                    ages[1] / 1000,
                    bool(report.abandoned >> place & 1),
                    bool(report.presumed >> place & 1),
                )
                changed |= suspect.add_crash(name, crash)
            if suspect.by_crash:
                if report.answered_ms is None:
                    changed |= suspect.merge_unanswered(report.unanswered)
                changed |= suspect.merge_outlived(
                    report.outlived
                    | self._recently_outlived(report.digest, now)
                )
            if suspect.by_crash and report.digest in self._answered:
                # The other VMs don't know that it was answered here. What they
                # suspect decides whether they need to.
                changed |= suspect.record_response(now)
                suspect.max_crashes = max(
                    suspect.max_crashes, len(report.crashes)
                )
            if changed:
                suspect.changed_at = now
                has_changed = True
        if has_changed:
            self._update_causes(now)

    def _update_causes(self, now: float) -> None:
        """Recomputes which requests are causes."""
        self._expire(now)
        self._evict()
        sent = self._times_to_crash()
        found = causes.find_causes(
            sent,
            {
                digest: self._by_digest[digest].counterevidence
                for digest in sent
            },
        )
        unexplained = causes.unexplained(sent, found)
        for digest, suspect in self._by_digest.items():
            is_cause = digest in found or (
                suspect.is_unanswered_by_many
                and bool(suspect.presumed_crashes or unexplained[digest])
            )
            # VMs learn of crashes and other causes in different orders. A cause
            # of many crashes that was cleared by later ones would be sent on by
            # some VM at any time.
            is_settled = (
                suspect.cause_since is not None
                and len(suspect.by_crash) >= causes.CERTAIN_CRASHES
            )
            if not is_cause and not is_settled:
                suspect.cause_since = None
            elif suspect.cause_since is None:
                suspect.cause_since = now

    def _times_to_crash(self) -> causes.TimesToCrash:
        """Returns the crashes of the suspects of several."""
        return {
            digest: {
                name: crash.sent_s
                for name, crash in suspect.independent_crashes.items()
            }
            for digest, suspect in self._by_digest.items()
            if len(suspect.by_crash) >= CRASHES_TO_STOP_RESENDS
        }

    def _expire(self, now: float) -> None:
        expired = [
            digest
            for digest, suspect in self._by_digest.items()
            if now - max(suspect.last_event_at, suspect.probed_at)
            > _ttl_s(suspect)
        ]
        for digest in expired:
            del self._by_digest[digest]

    def _evict(self) -> None:
        """Drops surplus suspects: those of fewest crashes, oldest first."""
        surplus = len(self._by_digest) - MAX_SUSPECTS
        if surplus <= 0:
            return
        weakest = sorted(
            self._by_digest,
            key=lambda digest: (
                len(self._by_digest[digest].by_crash),
                self._by_digest[digest].last_event_at,
            ),
        )
        for digest in weakest[:surplus]:
            del self._by_digest[digest]


def _ttl_s(suspect: _Suspect) -> float:
    is_weak = len(suspect.by_crash) < CRASHES_TO_STOP_RESENDS
    return WEAK_SUSPECT_TTL_S if is_weak else SUSPECT_TTL_S


def _make_report(
    digest: fingerprint.Digest, suspect: _Suspect, now: float
) -> SuspectReport:
    answered_ms = None
    if suspect.answered_at > float("-inf"):
        answered_ms = round((now - suspect.answered_at) * 1000)
    return SuspectReport(
        digest,
        {
            name: (round((now - crash.at) * 1000), round(crash.sent_s * 1000))
            for name, crash in suspect.by_crash.items()
        },
        answered_ms,
        suspect.outlived,
        _bits(crash.is_abandoned for crash in suspect.by_crash.values()),
        _bits(crash.is_presumed for crash in suspect.by_crash.values()),
        suspect.unanswered,
    )


def _bits(flags: collections.abc.Iterable[bool]) -> int:
    """Returns an integer with a bit for each flag, the first one lowest."""
    return sum(flag << place for place, flag in enumerate(flags))
