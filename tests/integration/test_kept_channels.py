"""The judge of lost requests counts and excuses what the rule says."""

import dataclasses

import pytest

from tests.integration import kept_channels
from tests.integration import users_standins

_STOP = kept_channels.Stop(0, 100.0)
# An upload that was read, passed on and cut at the end of the grace.
_CUT = kept_channels.Request(
    vm=0,
    kind=kept_channels.Kind.UPLOAD,
    attempt="a",
    first_byte_at=103.5,
    channel_age_s=5.0,
    idle_s=1.0,
    carried=("read",),
    deadline_s=8.0,
    last_byte_at=103.6,
    end=kept_channels.End.CLOSED,
    ended_at=105.6,
)
_NOT_EXCUSED = {
    "cut": {},
    "reset-but-begun": {"end": kept_channels.End.RESET},
    "own-answer": {
        "end": kept_channels.End.ANSWERED,
        "status": 502,
        "is_own": True,
    },
    "begun-just-after-the-last-byte": {"ended_at": 103.7},
}
_EXCUSED = {
    "not-wholly-sent": {"last_byte_at": None},
    "caller-left": {"end": kept_channels.End.ABANDONED},
    "deadline-reached": {"deadline_s": 2.0},
    "sent-early-and-at-work": {"first_byte_at": 102.8, "last_byte_at": 103.0},
    "answered-by-upstream": {
        "end": kept_channels.End.ANSWERED,
        "status": 200,
    },
}


def _lost(changes, is_begun: bool, broken_off: bool = False) -> int:
    cluster = users_standins.Cluster(users_standins.Store())
    server = users_standins.Server(cluster, "i-0", "keyed", "z1")
    server.stopped_at = 105.5 if broken_off else float("inf")
    cluster.by_id["i-0"] = server
    if is_begun:
        server.arrivals.append(users_standins.Arrival(103.5, "a"))
        cluster.runs.append(users_standins.Run("a", "POST", 0, "i-0", 103.5))
    request = dataclasses.replace(_CUT, **changes)
    return len(kept_channels.lost_requests([request], [_STOP], cluster))


@pytest.mark.parametrize("changes", _NOT_EXCUSED.values(), ids=_NOT_EXCUSED)
def test_a_lost_request_is_counted(changes):
    assert _lost(changes, is_begun=True) == 1


@pytest.mark.parametrize("changes", _EXCUSED.values(), ids=_EXCUSED)
def test_an_excused_request_is_not_counted(changes):
    assert _lost(changes, is_begun=True) == 0


def test_a_request_that_its_upstream_broke_off_is_not_counted():
    assert _lost({}, is_begun=True, broken_off=True) == 0


def test_a_read_request_counts_only_after_the_slack_unless_passed_on():
    assert _lost({}, is_begun=False) == 1
    assert _lost({"ended_at": 103.75}, is_begun=False) == 0
    assert _lost({"end": kept_channels.End.RESET}, is_begun=False) == 0
