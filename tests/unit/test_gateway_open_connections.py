"""Which connection is closed when a listener has as many as it may have."""

import pytest

from swiftstile import clocks
from swiftstile.gateway import open_connections


class _Connection(open_connections.LimitedConnection):

    def __init__(self, name, idle=None, arriving=None):
        self.name = name
        self._idle = idle
        self._arriving = arriving
        self.end = ""

    def idle_since(self):
        return self._idle

    def arriving_since(self):
        return self._arriving

    def refuse(self, error):
        assert error.promises_not_run
        self.end = "refused"

    def close(self):
        self.end = "closed"

    def abort(self):
        self.end = "aborted"


@pytest.fixture(autouse=True)
def _fixed_clock(monkeypatch):
    monkeypatch.setattr(clocks, "monotonic", lambda: 100.0)


def _ends(max_open: int, *connections: _Connection) -> dict[str, str]:
    table = open_connections.ConnectionTable(max_open, 2, lambda: None)
    for connection in connections:
        table.add(connection)
    return {one.name: one.end for one in connections if one.end}


def test_the_idle_connection_that_was_used_longest_ago_is_closed():
    assert _ends(
        3,
        _Connection("recent", idle=(True, 99.0)),
        _Connection("busy"),
        _Connection("old", idle=(True, 95.0)),
        _Connection("new"),
    ) == {"old": "closed"}


def test_a_connection_that_never_carried_a_request_is_closed_first():
    assert _ends(
        2,
        _Connection("silent", idle=(False, 99.0)),
        _Connection("used", idle=(True, 90.0)),
        _Connection("new"),
    ) == {"silent": "closed"}


def test_the_request_that_arrives_for_longest_is_refused_if_none_is_idle():
    assert _ends(
        3,
        _Connection("slow", arriving=95.0),
        _Connection("quick", arriving=99.9),
        _Connection("busy"),
        _Connection("new"),
    ) == {"slow": "refused"}


def test_a_new_connection_is_refused_if_no_other_can_give_way():
    connections = [_Connection(f"busy-{number}") for number in range(2)]
    news = [_Connection(f"new-{number}") for number in range(4)]
    assert _ends(2, *connections, *news) == {
        "new-0": "refused",
        "new-1": "refused",
        "new-2": "aborted",
        "new-3": "aborted",
    }


def test_a_connection_that_has_ended_makes_space():
    table = open_connections.ConnectionTable(1, 0, lambda: None)
    first, second = _Connection("first"), _Connection("second")
    table.add(first)
    table.discard(first)
    table.add(second)
    assert (len(table), second.end) == (1, "")
