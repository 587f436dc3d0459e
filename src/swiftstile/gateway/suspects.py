"""Identifies requests that crash the upstreams that run them.

Pure decision code without I/O. A request is a suspect of a crash if it was in
progress at the upstream when that crashed. It is cleared as soon as any
upstream answers it. A suspect of several crashes that was never answered is
regarded as their cause, unless another request explains them (causes.py).

This assumes that a request that was ever answered doesn't crash upstreams. Each
VM remembers the requests that it answered recently, so that a frequent request
is cleared by any VM that answered it.
"""

import enum
import typing

import msgspec

from swiftstile.gateway import causes
from swiftstile.gateway import fingerprint

__all__ = ["Suspects", "Suspicion", "Verdict"]

# A suspect of this many crashes isn't resent within the same attempt.
CRASHES_TO_STOP = 2
# A cause is rejected only this long after it was identified, so that a VM that
# answered it recently has time to report this. There is no such delay after
# causes.MOST_CRASHES.
CONTRADICTED_WITHIN_S = 1.2
# A cause isn't sent to any upstream for this long after its last crash; then
# one VM probes it. The first value applies up to causes.LEAST_CRASHES, when it
# may still be an ordinary request.
FIRST_QUARANTINE_S, QUARANTINE_S = 20.0, 300.0
# Minimum interval of probes, and when an unchanged suspect is dropped.
TRIAL_EVERY_S = 60.0
FORGOTTEN_AFTER_S = 1800.0
# When a suspect of a single crash, or one that was answered, is dropped.
WEAK_LIFE_S = 60.0
# Maximum answered requests that are remembered.
MOST_ANSWERED = 4096
# Maximum suspects; those of the fewest crashes are dropped first.
MOST_KEPT = 512
# Maximum crashes that are stored for one suspect.
MOST_CRASHES_KEPT = 8
# How long a change of a suspect is included in every report.
NEWS_S = 3.0
# Maximum difference of the times that several VMs report for one response.
_SAME_ANSWER_S = 1.0
# Maximum suspects in one report: recently changed ones, and others in rotation.
MOST_NEWS, MOST_OTHERS = 8, 2


class Verdict(enum.Enum):
    """What to do with a request."""

    PASS = "pass"
    # Sent once, without retries by the gateway.
    PASS_ONCE = "pass-once"
    REFUSE = "refuse"
    # Sent after a quarantine, to test whether it still crashes upstreams.
    TRY = "try"


class Suspicion(msgspec.Struct, array_like=True):
    """A VM's report on a suspect.

    Attributes:
        digest: The request.
        crashes: Age of each of its crashes, and the time from sending it to the
            crash, in milliseconds.
        answered_ms: Age of its last response; None if it wasn't answered.
    """

    digest: fingerprint.Digest
    crashes: dict[causes.CrashId, tuple[int, int]]
    answered_ms: int | None = None


class _Crash(typing.NamedTuple):
    """A crash during which a request was in progress.

    Attributes:
        at: Time of the crash, on the monotonic clock.
        sent_s: Time from sending the request to the crash, in seconds.
    """

    at: float
    sent_s: float


class _Suspect:
    """State of one suspected request."""

    __slots__ = (
        "answered_at",
        "by_crash",
        "cause_since",
        "most_crashes",
        "news_at",
        "tried_at",
    )

    def __init__(self, now: float):
        self.by_crash: dict[causes.CrashId, _Crash] = {}
        self.answered_at = float("-inf")
        # When it was identified as a cause; None if it isn't one.
        self.cause_since: float | None = None
        # Highest number of crashes it was a suspect of, including crashes that
        # a response has cleared since.
        self.most_crashes = 0
        self.news_at = now
        self.tried_at = float("-inf")

    @property
    def last_at(self) -> float:
        """Time of its last crash or response."""
        times = [crash.at for crash in self.by_crash.values()]
        return max([*times, self.answered_at])

    @property
    def is_serious(self) -> bool:
        """Whether it was ever a suspect of several crashes."""
        return self.most_crashes >= CRASHES_TO_STOP

    @property
    def matters(self) -> bool:
        """Whether it influences decisions of other VMs."""
        return self.is_serious or bool(self.by_crash)

    @property
    def quarantined_until(self) -> float:
        """Time until which it isn't sent to any upstream."""
        is_new = len(self.by_crash) <= causes.LEAST_CRASHES
        return self.last_at + (FIRST_QUARANTINE_S if is_new else QUARANTINE_S)

    def is_surely_cause(self, now: float) -> bool:
        """Whether it is a cause and the time to contradict is over."""
        if self.cause_since is None:
            return False
        is_plain = len(self.by_crash) >= causes.MOST_CRASHES
        return is_plain or now - self.cause_since >= CONTRADICTED_WITHIN_S

    def add(self, name: causes.CrashId, crash: _Crash) -> bool:
        """Adds a crash; returns whether that changed anything."""
        if crash.at <= self.answered_at or name in self.by_crash:
            return False
        if len(self.by_crash) >= MOST_CRASHES_KEPT:
            oldest = min(self.by_crash, key=self.by_crash.get)
            del self.by_crash[oldest]
        self.by_crash[name] = crash
        self.most_crashes = max(self.most_crashes, len(self.by_crash))
        return True

    def answer(self, at: float) -> bool:
        """Records a response; returns whether that changed anything."""
        later = {
            name: crash
            for name, crash in self.by_crash.items()
            if crash.at > at
        }
        clears = len(later) < len(self.by_crash)
        if not clears and at <= self.answered_at + _SAME_ANSWER_S:
            return False
        self.answered_at = max(self.answered_at, at)
        self.by_crash = later
        return True


class Suspects:
    """Identifies requests that crash upstreams, from reports of all VMs."""

    def __init__(self):
        self._by_digest: dict[fingerprint.Digest, _Suspect] = {}
        # Ordered by the time of the last response.
        self._answered: dict[fingerprint.Digest, None] = {}
        self._turn = 0

    def __len__(self) -> int:
        return len(self._by_digest)

    def crashes(self, digest: fingerprint.Digest) -> int:
        """Returns the number of crashes that a request is a suspect of."""
        known = self._by_digest.get(digest)
        return 0 if known is None else len(known.by_crash)

    def blamed(self) -> list[fingerprint.Digest]:
        """Returns the requests identified as causes of crashes."""
        return [
            digest
            for digest, known in self._by_digest.items()
            if known.cause_since is not None
        ]

    def note_crash(
        self,
        digest: fingerprint.Digest,
        crash: causes.CrashId,
        sent_s: float,
        now: float,
    ) -> None:
        """Records that an upstream crashed while it had a request.

        Args:
            digest: The request.
            crash: The crash.
            sent_s: Time from sending the request to the crash, in seconds.
            now: The current time.
        """
        if digest in self._answered:
            return
        known = self._by_digest.get(digest)
        if known is None:
            known = self._by_digest[digest] = _Suspect(now)
        if known.add(crash, _Crash(now, sent_s)):
            known.news_at = now
            self._judge(now)

    def note_answer(self, digest: fingerprint.Digest, now: float) -> bool:
        """Records a response to a request; returns whether it was suspected."""
        self._answered.pop(digest, None)
        self._answered[digest] = None
        if len(self._answered) > MOST_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return self._clear(digest, now)

    def forget(self, digest: fingerprint.Digest, now: float) -> bool:
        """Clears a request manually; returns whether it was suspected."""
        return self._clear(digest, now)

    def _clear(self, digest: fingerprint.Digest, now: float) -> bool:
        known = self._by_digest.get(digest)
        if known is None or not known.by_crash:
            return False
        known.answer(now)
        known.news_at = now
        self._judge(now)
        return True

    def verdict(
        self,
        digest: fingerprint.Digest,
        now: float,
        is_trier: bool = False,
    ) -> Verdict:
        """Returns what to do with a request.

        Args:
            digest: The request.
            now: The current time.
            is_trier: Whether this VM is the one that probes it after its
                quarantine.
        """
        known = self._by_digest.get(digest)
        if known is None or not known.by_crash:
            return Verdict.PASS
        if known.is_surely_cause(now):
            return self._verdict_on_cause(known, now, is_trier)
        if len(known.by_crash) >= CRASHES_TO_STOP:
            return Verdict.PASS_ONCE
        return Verdict.PASS

    @staticmethod
    def _verdict_on_cause(
        known: _Suspect, now: float, is_trier: bool
    ) -> Verdict:
        if now < known.quarantined_until or not is_trier:
            return Verdict.REFUSE
        if now - known.tried_at < TRIAL_EVERY_S:
            return Verdict.REFUSE
        known.tried_at = now
        return Verdict.TRY

    def refused_for_s(self, digest: fingerprint.Digest, now: float) -> float:
        """Returns how much longer a request is rejected, in seconds."""
        known = self._by_digest.get(digest)
        if known is None:
            return 0.0
        return max(FIRST_QUARANTINE_S, known.quarantined_until - now)

    def tell(self, now: float) -> list[Suspicion]:
        """Returns the suspects to report to other VMs now."""
        if not self._by_digest:
            return []
        self._forget_old(now)
        # Suspects of several crashes go first. Reports on others have little
        # effect, and reports that these were answered have none.
        by_weight = sorted(
            (entry for entry in self._by_digest.items() if entry[1].matters),
            key=lambda entry: (entry[1].most_crashes, entry[1].news_at),
            reverse=True,
        )
        news = [e for e in by_weight if now - e[1].news_at <= NEWS_S]
        told = news[:MOST_NEWS]
        others = [
            entry
            for entry in by_weight
            if entry[1].is_serious and entry not in told
        ]
        for _ in range(min(MOST_OTHERS, len(others))):
            self._turn += 1
            told.append(others[self._turn % len(others)])
        return [_told(digest, known, now) for digest, known in told]

    def hear(self, told: list[Suspicion], now: float) -> None:
        """Applies the report of another VM."""
        is_news = False
        for one in told:
            known = self._by_digest.get(one.digest)
            if known is None:
                known = self._by_digest[one.digest] = _Suspect(now)
            changed = one.answered_ms is not None and known.answer(
                now - one.answered_ms / 1000
            )
            for name, (age_ms, sent_ms) in one.crashes.items():
                crash = _Crash(now - age_ms / 1000, sent_ms / 1000)
                changed |= known.add(name, crash)
            if known.by_crash and one.digest in self._answered:
                # The other VMs don't know that it was answered here.
                changed |= known.answer(now)
            if changed:
                known.news_at = now
                is_news = True
        if is_news:
            self._judge(now)

    def _judge(self, now: float) -> None:
        """Recomputes which requests are causes."""
        self._forget_old(now)
        self._bound()
        found = causes.find(
            {
                digest: {
                    name: crash.sent_s for name, crash in known.by_crash.items()
                }
                for digest, known in self._by_digest.items()
                if len(known.by_crash) >= CRASHES_TO_STOP
            }
        )
        for digest, known in self._by_digest.items():
            if digest not in found:
                known.cause_since = None
            elif known.cause_since is None:
                known.cause_since = now

    def _forget_old(self, now: float) -> None:
        old = [
            digest
            for digest, known in self._by_digest.items()
            if now - max(known.last_at, known.tried_at) > _life_s(known)
        ]
        for digest in old:
            del self._by_digest[digest]

    def _bound(self) -> None:
        """Drops surplus suspects: those of fewest crashes, oldest first."""
        surplus = len(self._by_digest) - MOST_KEPT
        if surplus <= 0:
            return
        weakest = sorted(
            self._by_digest,
            key=lambda digest: (
                len(self._by_digest[digest].by_crash),
                self._by_digest[digest].last_at,
            ),
        )
        for digest in weakest[:surplus]:
            del self._by_digest[digest]


def _life_s(known: _Suspect) -> float:
    is_weak = len(known.by_crash) < CRASHES_TO_STOP
    return WEAK_LIFE_S if is_weak else FORGOTTEN_AFTER_S


def _told(digest: fingerprint.Digest, known: _Suspect, now: float) -> Suspicion:
    answered_ms = None
    if known.answered_at > float("-inf"):
        answered_ms = round((now - known.answered_at) * 1000)
    return Suspicion(
        digest,
        {
            name: (round((now - crash.at) * 1000), round(crash.sent_s * 1000))
            for name, crash in known.by_crash.items()
        },
        answered_ms,
    )
