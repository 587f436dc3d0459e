"""Attributes crashes of upstreams to the requests that caused them.

Pure decision code without I/O. Several requests may be in progress at an
upstream when it crashes. The most recently sent one is the likeliest cause, as
it has just started. The heuristic is wrong if an ordinary request that was
never answered is sent directly after a cause several times in a row.
"""

import typing
import zlib

from swiftstile.gateway import fingerprint
from swiftstile.gateway import model

__all__ = [
    "CrashId",
    "TimesToCrash",
    "crash_id",
    "find_causes",
    "next_crash_id",
    "weights",
]

# Minimum crashes before a request can be regarded as their cause.
MIN_CRASHES = 3
# Weight that the sum over its crashes must exceed. A crash counts 1 for the
# most recently sent request, 1/2 for the one before, and so on.
MIN_WEIGHT = 2.5
# After this many crashes it is regarded as their cause whatever the weight.
CERTAIN_CRASHES = 5

# Identifies the crash of one process of an upstream.
CrashId = typing.NewType("CrashId", int)

# Time from sending a request to a crash, in seconds, by request and crash.
TimesToCrash = dict[fingerprint.Digest, dict[CrashId, float]]


def crash_id(upstream: model.UpstreamId, started_ms: int) -> CrashId:
    """Returns the id of the crash of an upstream's current process."""
    return CrashId(zlib.crc32(f"{upstream}/{started_ms}".encode()))


def next_crash_id(crash: CrashId) -> CrashId:
    """Returns the id of the crash after one whose run looks like the same."""
    return CrashId(zlib.crc32(f"{crash}".encode()))


def find_causes(sent: TimesToCrash) -> list[fingerprint.Digest]:
    """Returns the requests that are regarded as causes, likeliest first.

    Args:
        sent: Suspects of several crashes.
    """
    found: list[fingerprint.Digest] = []
    while True:
        best = _likeliest(sent, found)
        if best is None:
            return found
        found.append(best)


def _likeliest(
    sent: TimesToCrash, found: list[fingerprint.Digest]
) -> fingerprint.Digest | None:
    """Returns the likeliest cause apart from those already found."""
    unexplained = {
        digest: {
            crash: sent_s
            for crash, sent_s in crashes.items()
            if not _is_explained(crash, sent_s, sent, found)
        }
        for digest, crashes in sent.items()
        if digest not in found
    }
    best, best_weight = None, 0.0
    for digest, weight in weights(unexplained).items():
        count = len(unexplained[digest])
        is_cause = weight > MIN_WEIGHT or count >= CERTAIN_CRASHES
        if is_cause and count >= MIN_CRASHES and weight > best_weight:
            best, best_weight = digest, weight
    return best


def _is_explained(
    crash: CrashId,
    sent_s: float,
    sent: TimesToCrash,
    found: list[fingerprint.Digest],
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
    suspects_by_crash: dict[CrashId, list[fingerprint.Digest]] = {}
    for digest, crashes in sent.items():
        for crash in crashes:
            suspects_by_crash.setdefault(crash, []).append(digest)
    weights = dict.fromkeys(sent, 0.0)
    for crash, ranked in suspects_by_crash.items():
        ranked.sort(key=lambda digest: sent[digest][crash])
        for place, digest in enumerate(ranked, 1):
            weights[digest] += 1 / place
    return weights
