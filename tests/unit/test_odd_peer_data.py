"""Tests data of other builds that the codec takes and nothing else does."""

import math
import zlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from swiftstile import errors
from swiftstile.gateway import forwarding
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import membership
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import suspects

_ROW = ["vm-1", "i-1", "home", "127.0.0.1:70", False, 0.0, 0]
_ANY = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=9),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.integers(0, 9), inner, max_size=3),
    max_leaves=6,
)


def _key_map() -> list:
    """Returns the fields of a map of four slots."""
    owners = dict.fromkeys(range(4), model.UpstreamId("u-1"))
    made = keymap.KeyMap.empty(4).assign({}, owners)
    return msgspec.msgpack.decode(zlib.decompress(made.encode("a")))


def _decode_map(fields) -> keymap.KeyMap:
    return keymap.decode(zlib.compress(msgspec.msgpack.encode(fields)), 1)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(strategies.integers(0, 9), _ANY)
def test_an_accepted_key_map_can_be_written_again(place, value):
    """Guards against a map that ends one leader after the other."""
    fields = _key_map()
    fields[min(place, len(fields) - 1)] = value
    try:
        decoded = _decode_map(fields)
    except errors.ControlMessageError:
        return
    assert keymap.decode(decoded.encode("b"), 2).slots == decoded.slots


def test_a_key_map_that_expands_without_end_is_an_error():
    """Guards against a short row that takes the memory of a VM."""
    data = zlib.compress(bytes(1 << 26))
    with pytest.raises(errors.ControlMessageError):
        keymap.decode(data, 1)


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (3, "127.0.0.1:0"),
        (3, "127.0.0.1:70000"),
        (3, "nowhere"),
        (3, "\u0661.0.0.1:70"),
        (5, math.inf),
        (5, math.nan),
        (6, 70_000),
    ],
)
def test_a_row_of_a_vm_that_nothing_can_be_sent_to_is_an_error(place, value):
    """Guards against one row that ends the reports of all VMs."""
    row = [*_ROW[:place], value, *_ROW[place + 1 :]]
    change = interfaces.Change("node/vm-1", msgspec.msgpack.encode(row), 1)
    with pytest.raises(errors.ControlMessageError):
        membership.decode_row(change)


@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan])
def test_times_in_reports_are_finite(value):
    """Guards against times that can't be rounded or compared."""
    data = msgspec.msgpack.encode([1, value])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=reports.TableStatus)


def test_a_hold_without_an_end_arrives():
    """Guards against reports that are dropped while a grant is in flight."""
    hold = reports.Hold(math.inf, math.inf)
    data = msgspec.msgpack.encode(hold)
    assert msgspec.msgpack.decode(data, type=reports.Hold) == hold


@hypothesis.settings(deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 2**32),
        strategies.tuples(
            strategies.integers(-(2**63), 2**64 - 1),
            strategies.integers(-(2**63), 2**64 - 1),
        ),
        max_size=12,
    ),
    strategies.lists(strategies.integers(-(2**63), 2**64 - 1), max_size=5),
)
def test_accepted_suspects_can_be_reported_again(crashes, more):
    """Guards against a report that keeps its receivers from reporting."""
    data = msgspec.msgpack.encode([[b"d" * 16, crashes, *more]])
    try:
        received = msgspec.msgpack.decode(
            data, type=list[suspects.SuspectReport]
        )
    except msgspec.ValidationError:
        return
    table = suspects.SuspectTable()
    table.receive(received, 1000.0)
    assert msgspec.msgpack.encode(table.report(1000.5)) is not None


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "soon", "9" * 400])
def test_a_wait_that_a_vm_states_wrongly_is_left_out(text):
    """Guards against another VM's answer that fails the caller's request."""
    assert forwarding.retry_after_s(text) is None
