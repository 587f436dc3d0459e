"""The benchmarks must detect each kind of violation that they count."""

import pathlib

import pytest

from benchmarks import evidence
from standins import journal
from swiftstile.routing import outcomes
from tests import builders

SPACE = (0, 100)


def own(at, until, *pieces):
    return journal.OwnershipChange(at, until, list(pieces), "tiny/store")


def test_clean_run_has_no_faults():
    violations = evidence.find_violations(
        [builders.record()], {"s": [builders.run()]}
    )
    assert violations.is_clean()


@pytest.mark.parametrize(
    ("fault", "record", "journals"),
    [
        ("lost", builders.record(), {}),
        ("crossed", builders.record(is_crossed=True), {"s": [builders.run()]}),
        (
            "false_not_run",
            builders.record(outcome=outcomes.Outcome.NOT_RUN),
            {"s": [builders.run()]},
        ),
        (
            "doubled",
            builders.record(),
            {
                "s": [builders.run(idempotency_key="i")],
                "t": [builders.run("r2", idempotency_key="i", key="other")],
            },
        ),
        (
            "two_owner_intervals",
            builders.record(),
            {
                "s": [builders.run(fence=1, start=1.0, commit=5.0)],
                "t": [builders.run("r2", fence=2, start=4.0, commit=6.0)],
            },
        ),
        (
            "two_owner_intervals",
            builders.record(),
            {
                "s": [own(1.0, 5.0, (0, 60, 1)), builders.run()],
                "t": [own(4.9, 9.0, (50, 100, 1))],
            },
        ),
    ],
)
def test_each_violation_is_detected(fault, record, journals):
    violations = evidence.find_violations([record], journals)
    assert getattr(violations, fault) == 1


def test_release_ends_ownership_but_a_request_in_flight_extends_it():
    released = [own(1.0, 9.0, (0, 100, 1)), own(2.0, 9.0)]
    taken = [own(2.5, 9.0, (0, 100, 2))]
    found = evidence.intervals({"s": released, "t": taken})
    assert evidence.overlapping_intervals(found) == 0
    late = builders.run(fence=1, start=1.5, commit=2.7)
    found = evidence.intervals({"s": [*released, late], "t": taken})
    assert evidence.overlapping_intervals(found) == 1


def test_gap_counts_from_the_death_of_the_owner():
    found = evidence.intervals(
        {
            "s": [own(1.0, 5.0, (0, 100, 1))],
            "t": [own(5.5, 9.0, (0, 50, 2)), journal.LeaseRenewal(8.0, 20.0)],
        }
    )
    gaps = evidence.gaps_by_position(found, [10, 70], 2, 10, {"s": [(4, 99)]})
    assert gaps == [1.5, 6.0]


def test_journal_reads_what_it_wrote(tmp_path: pathlib.Path):
    entries = [
        builders.run(),
        own(1.0, 2.0, (0, 9, 1)),
        journal.LeaseRenewal(1, 2),
    ]
    path = tmp_path / "j"
    writer = journal.Journal(str(path))
    for entry in entries:
        writer.write(entry)
    read = journal.read(path)
    assert read[0] == entries[0] and read[2] == entries[2]
    assert [tuple(piece) for piece in read[1].slices] == [(0, 9, 1)]
