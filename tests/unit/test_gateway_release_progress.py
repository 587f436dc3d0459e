"""Log fields about the calls of a release."""

import pytest

from swiftstile import clocks
from swiftstile import errors
from swiftstile.gateway import release_progress


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clocks, "monotonic", lambda: now[0])
    return now


def test_calls_are_counted_and_timed(clock):
    progress = release_progress.ReleaseProgress(7)
    with progress.calling(release_progress.Call.FENCE):
        clock[0] += 0.25
    with (
        pytest.raises(errors.PeerTimeoutError),
        progress.calling(release_progress.Call.RELEASE),
    ):
        clock[0] += 1.5
        raise errors.PeerTimeoutError("no answer", step="release")
    assert progress.fields(clock[0]) == {
        "release_s": 1.75,
        "release_slots": 7,
        "answered": 1,
        "unanswered": 1,
        "slowest_ms": 1500,
        "in_flight": 0,
    }


def test_the_oldest_call_in_flight_is_named(clock):
    progress = release_progress.ReleaseProgress(7)
    with progress.calling(release_progress.Call.RELEASE):
        clock[0] += 0.25
        with progress.calling(release_progress.Call.FENCE):
            clock[0] += 0.25
            fields = progress.fields(clock[0])
    assert fields["in_flight"] == 2
    assert fields["oldest_call"] == "release"
    assert fields["oldest_ms"] == 500
