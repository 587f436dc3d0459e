"""Transfers of rows to a peer in pieces."""

import os
import zlib

import hypothesis
from hypothesis import strategies
import pytest

from swiftstile import errors
from swiftstile.gateway import transfers
from swiftstile.peers import messages

_SPAN = transfers.Span("operations", 3, 7)


def _rows(size: int) -> messages.Rows:
    return messages.Rows([messages.Row("a", os.urandom(size), 7)], 7, False)


def _fetch(outgoing, first, now=0.0) -> messages.Rows:
    incoming = transfers.IncomingRows(first)
    while not incoming.is_whole:
        incoming.add(outgoing.piece(incoming.number, incoming.received, now))
    return incoming.rows()


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            messages.Row,
            strategies.text(max_size=9),
            strategies.none() | strategies.binary(max_size=90_000),
            strategies.integers(0, 1 << 40),
        ),
        max_size=4,
    ),
    strategies.booleans(),
)
def test_rows_are_transferred_unchanged(rows, is_whole):
    sent = messages.Rows(rows, 9, is_whole)
    outgoing = transfers.OutgoingRows()
    assert _fetch(outgoing, outgoing.begin(_SPAN, lambda: sent, 0.0)) == sent


def test_no_piece_is_longer_than_a_narrow_link_carries_in_time():
    outgoing = transfers.OutgoingRows()
    first = outgoing.begin(_SPAN, lambda: _rows(200_000), 0.0)
    assert len(first.data) == transfers.PIECE_BYTES < first.size
    rest = outgoing.piece(first.number, first.size - 5, 0.0)
    assert len(rest.data) == 5


def test_peers_that_lack_the_same_rows_share_one_encoding():
    made = []

    def make():
        made.append(1)
        return _rows(100_000)

    outgoing = transfers.OutgoingRows()
    pieces = [outgoing.begin(_SPAN, make, at) for at in (0.0, 0.1, 0.2)]
    assert len(made) == 1
    assert len({piece.number for piece in pieces}) == 1


def test_an_answer_stays_available_after_newer_rows():
    outgoing = transfers.OutgoingRows()
    rows = _rows(200_000)
    first = outgoing.begin(_SPAN, lambda: rows, 0.0)
    outgoing.begin(transfers.Span("operations", 3, 8), lambda: _rows(10), 0.1)
    assert _fetch(outgoing, first, 0.2) == rows


def test_unused_answers_are_evicted():
    outgoing = transfers.OutgoingRows()
    first = outgoing.begin(_SPAN, lambda: _rows(100_000), 0.0)
    later = transfers.RETENTION_S + 0.1
    outgoing.begin(transfers.Span("operations", 3, 8), lambda: _rows(10), later)
    with pytest.raises(errors.ControlMessageError):
        outgoing.piece(first.number, 0, later)


def test_retained_answers_are_bounded(monkeypatch):
    monkeypatch.setattr(transfers, "MAX_RETAINED_BYTES", 250_000)
    outgoing = transfers.OutgoingRows()
    numbers = [
        outgoing.begin(
            transfers.Span("t", 0, at), lambda: _rows(100_000), at / 10
        ).number
        for at in range(5)
    ]
    assert outgoing.piece(numbers[-1], 0, 1.0).data
    with pytest.raises(errors.ControlMessageError):
        outgoing.piece(numbers[0], 0, 1.0)


@pytest.mark.parametrize(
    "piece",
    [
        messages.Piece(2, 100, b"x"),
        messages.Piece(1, 99, b"x"),
        messages.Piece(1, 100, b""),
        messages.Piece(1, 100, b"x" * 91),
    ],
)
def test_a_piece_that_does_not_fit_is_refused(piece):
    incoming = transfers.IncomingRows(messages.Piece(1, 100, b"x" * 10))
    with pytest.raises(errors.ControlMessageError):
        incoming.add(piece)


def test_rows_that_grow_beyond_bounds_are_refused(monkeypatch):
    monkeypatch.setattr(transfers, "MAX_BYTES", 10_000)
    data = zlib.compress(b"\0" * 100_000)
    incoming = transfers.IncomingRows(messages.Piece(1, len(data), data))
    with pytest.raises(errors.ControlMessageError):
        incoming.rows()
    with pytest.raises(errors.ControlMessageError):
        transfers.IncomingRows(messages.Piece(1, 10_001, b"x"))


@hypothesis.given(strategies.binary(min_size=1, max_size=200))
def test_any_bytes_are_rows_or_an_error(data):
    incoming = transfers.IncomingRows(messages.Piece(1, len(data), data))
    with pytest.raises(errors.ControlMessageError):
        incoming.rows()
