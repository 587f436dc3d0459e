"""Attributes crashes of upstreams to the requests that caused them.

Pure decision code without I/O. Several requests may be in progress at an
upstream when it crashes. The most recently sent one is the likeliest cause, as
it has just started. The heuristic is wrong if an ordinary request that was
never answered is sent directly after a cause several times in a row. A request
that upstreams outlived several times is unlikely to be a cause: one that is
sent all the time is in progress at many crashes.
"""

import collections.abc
import types
import typing
import zlib

from swiftstile.gateway import fingerprint
from swiftstile.gateway import model

__all__ = [
    "Counterevidence",
    "CrashId",
    "TimesToCrash",
    "crash_id",
    "find_causes",
    "is_unanswered_by_many",
    "next_crash_id",
    "unexplained",
    "weights",
]

# Minimum crashes before a request can be regarded as their cause.
MIN_CRASHES = 3
# Weight that the sum over its crashes must exceed. A crash counts 1 for the
# most recently sent request, 1/2 for the one before, and so on.
MIN_WEIGHT = 2.5
# After this many crashes it is regarded as their cause though others were sent
# later. Presumed crashes count as well: whatever the ends of upstreams looked
# like, no request ends many more.
CERTAIN_CRASHES = 5
# Minimum crashes among these that no other cause explains.
MIN_UNEXPLAINED = 1
# Weight that a suspect loses each time an upstream outlived it. Less than that
# of a crash during the exchange, as the caller may have left before the request
# had any effect. A crash after the caller left may have any cause, so each
# outlived exchange outweighs one of these.
OUTLIVED_WEIGHT = 0.25

# Identifies the crash of one process of an upstream.
CrashId = typing.NewType("CrashId", int)

# Time from sending a request to a crash, in seconds, by request and crash.
TimesToCrash = dict[fingerprint.Digest, dict[CrashId, float]]


class Counterevidence(typing.NamedTuple):
    """What speaks against a suspect, or makes its crashes doubtful.

    Attributes:
        outlived: How often upstreams outlived it.
        abandoned: Crashes that came after its caller had left.
    """

    outlived: float = 0.0
    abandoned: frozenset[CrashId] = frozenset()


_NONE: collections.abc.Mapping[fingerprint.Digest, Counterevidence] = (
    types.MappingProxyType({})
)


def crash_id(upstream: model.UpstreamId, started_ms: int) -> CrashId:
    """Returns the id of the crash of an upstream's current process."""
    return CrashId(zlib.crc32(f"{upstream}/{started_ms}".encode()))


def next_crash_id(crash: CrashId) -> CrashId:
    """Returns the id of the crash after one whose run looks like the same."""
    return CrashId(zlib.crc32(f"{crash}".encode()))


def is_unanswered_by_many(runs: float, outlived: float) -> bool:
    """Whether so many upstreams left a request unanswered that it is rejected.

    Args:
        runs: Runs of upstreams that may have ended because of it.
        outlived: How often upstreams outlived it.
    """
    return runs - outlived >= CERTAIN_CRASHES


def find_causes(
    sent: TimesToCrash,
    against: collections.abc.Mapping[
        fingerprint.Digest, Counterevidence
    ] = _NONE,
) -> list[fingerprint.Digest]:
    """Returns the requests that are regarded as causes, likeliest first.

    Args:
        sent: Suspects of several crashes.
        against: What speaks against them.
    """
    found: list[fingerprint.Digest] = []
    while True:
        best = _likeliest(sent, against, unexplained(sent, found))
        if best is None:
            return found
        found.append(best)


def _likeliest(
    sent: TimesToCrash,
    against: collections.abc.Mapping[fingerprint.Digest, Counterevidence],
    remaining: TimesToCrash,
) -> fingerprint.Digest | None:
    """Returns the likeliest cause by its remaining crashes, if there is one."""
    best, best_weight = None, float("-inf")
    for digest, ranks in _ranks(remaining).items():
        doubts = against.get(digest, Counterevidence())
        weight = _net_weight({c: 1 / rank for c, rank in ranks.items()}, doubts)
        is_likely = len(ranks) >= MIN_CRASHES and weight > MIN_WEIGHT
        is_certain = (
            len(ranks) >= MIN_UNEXPLAINED
            and len(sent[digest]) - doubts.outlived >= CERTAIN_CRASHES
        )
        if (is_likely or is_certain) and weight > best_weight:
            best, best_weight = digest, weight
    return best


def _net_weight(
    weight_by_crash: dict[CrashId, float], against: Counterevidence
) -> float:
    """Returns the weight of a suspect's crashes less what speaks against it."""
    during = after = 0.0
    for crash, weight in weight_by_crash.items():
        if crash in against.abandoned:
            after += weight
        else:
            during += weight
    return (
        during
        - OUTLIVED_WEIGHT * against.outlived
        + max(0.0, after - against.outlived)
    )


def unexplained(
    sent: TimesToCrash, found: collections.abc.Collection[fingerprint.Digest]
) -> TimesToCrash:
    """Returns the crashes of other suspects that known causes don't explain."""
    return {
        digest: {
            crash: sent_s
            for crash, sent_s in crashes.items()
            if not _is_explained(crash, sent_s, sent, found)
        }
        for digest, crashes in sent.items()
        if digest not in found
    }


def _is_explained(
    crash: CrashId,
    sent_s: float,
    sent: TimesToCrash,
    found: collections.abc.Collection[fingerprint.Digest],
) -> bool:
    """Whether a known cause was sent after the request, before the crash."""
    return any(
        crash in sent[cause] and sent[cause][crash] <= sent_s for cause in found
    )


def weights(sent: TimesToCrash) -> dict[fingerprint.Digest, float]:
    """Returns the total weight of the crashes of each suspect.

    Args:
        sent: Suspects of several crashes.
    """
    return {
        digest: sum(1 / rank for rank in ranks.values())
        for digest, ranks in _ranks(sent).items()
    }


def _ranks(
    sent: TimesToCrash,
) -> dict[fingerprint.Digest, dict[CrashId, int]]:
    """Returns the rank of each suspect at each crash, 1 for the last sent."""
    suspects_by_crash: dict[CrashId, list[fingerprint.Digest]] = {}
    for digest, crashes in sent.items():
        for crash in crashes:
            suspects_by_crash.setdefault(crash, []).append(digest)
    ranks: dict[fingerprint.Digest, dict[CrashId, int]] = {
        digest: {} for digest in sent
    }
    for crash, ranked in suspects_by_crash.items():
        ranked.sort(key=lambda digest: sent[digest][crash])
        for rank, digest in enumerate(ranked, 1):
            ranks[digest][crash] = rank
    return ranks
