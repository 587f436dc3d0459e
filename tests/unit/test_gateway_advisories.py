"""What upstreams state about themselves: reading, order and effect."""

import multidict
import pytest
from users_platform import dialect

from swiftstile import metrics
from swiftstile.gateway import advisories
from swiftstile.gateway import interfaces
from tests import gateway_builders as builders

_SENT, _ARRIVED = 10.0, 10.1


def _metadata(status: int = 200, *headers: tuple[str, str]):
    signed = [("X-Attempt-Id", "a1"), ("X-Server-Signature", "s")]
    return dialect.UsersDialect().parse_answer(
        status, multidict.CIMultiDict([*signed, *headers])
    )


def _limit(text: str) -> tuple[str, str]:
    return ("Server-Limit", text)


class _Vm:
    """One VM's view of one upstream."""

    def __init__(self, **changes):
        self.meters = metrics.Meters()
        self.targets = builders.target_table(builders.upstream(**changes))
        self.target = self.targets.by_id["u-1"]
        self.table = advisories.AdvisoryTable(self.targets, self.meters)

    def answer(
        self, *headers, status=200, sent=_SENT, now=_ARRIVED
    ) -> interfaces.AnswerMetadata:
        metadata = _metadata(status, *headers)
        self.table.record_answer(self.target, metadata, sent, now)
        return metadata

    @property
    def limit(self) -> float | None:
        return self.target.rate_limit.per_s


@pytest.mark.parametrize(
    ("text", "limit"), [("5.5", 5.5), ("7", 7.0), (" 0.25 ", 0.25)]
)
def test_a_stated_limit_is_read(text, limit):
    vm = _Vm()
    vm.answer(_limit(text))
    assert vm.limit == limit
    assert vm.meters.advisories.get("limit") == 1


@pytest.mark.parametrize(
    "text",
    ["", "0", "0.0", "-3", "+3", "1e3", "nan", "inf", "5,5", "many", "9" * 12],
)
def test_a_malformed_limit_is_counted_and_ignored(text):
    vm = _Vm()
    vm.answer(_limit("5"))
    vm.answer(_limit(text), now=_ARRIVED + 1, sent=_SENT + 1)
    assert vm.limit == 5
    assert vm.meters.advisories.get("malformed") == 1


def test_a_repeated_limit_is_counted_and_ignored():
    vm = _Vm()
    vm.answer(_limit("5"), _limit("9"))
    assert vm.limit is None
    assert vm.meters.advisories.get("malformed") == 1


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
def test_answers_of_any_status_state_a_limit(status):
    vm = _Vm()
    not_run = [("X-Not-Executed", "1")] if status in (421, 503) else []
    vm.answer(_limit("5"), *not_run, status=status)
    assert vm.limit == 5


def test_an_answer_of_another_upstream_at_the_address_states_nothing():
    vm = _Vm()
    vm.answer(_limit("5"), ("X-Instance-Id", "other"), status=421)
    assert vm.limit is None


def test_an_answer_to_a_later_request_ends_a_limit():
    vm = _Vm()
    vm.answer(_limit("5"))
    vm.answer(sent=_ARRIVED + 0.1, now=_ARRIVED + 0.2)
    assert vm.limit is None


def test_an_answer_that_was_under_way_does_not_end_a_limit():
    vm = _Vm()
    vm.answer(_limit("5"))
    vm.answer(sent=_ARRIVED - 0.05, now=_ARRIVED + 0.2)
    assert vm.limit == 5


def test_a_rejection_does_not_end_a_limit():
    vm = _Vm()
    vm.answer(_limit("5"))
    vm.answer(
        ("X-Not-Executed", "1"), status=503, sent=_ARRIVED + 1, now=_ARRIVED + 2
    )
    assert vm.limit == 5


def test_other_vms_learn_a_limit_and_its_end():
    one, other = _Vm(), _Vm()
    one.answer(_limit("5"))
    other.table.receive(one.table.report(_ARRIVED + 0.3), _ARRIVED + 0.31)
    assert other.limit == 5
    one.answer(sent=_ARRIVED + 1, now=_ARRIVED + 1.1)
    other.table.receive(one.table.report(_ARRIVED + 1.2), _ARRIVED + 1.2)
    assert other.limit is None


def test_a_repeated_report_does_not_make_a_limit_seem_newer():
    one, other = _Vm(), _Vm()
    one.answer(_limit("5"))
    now = _ARRIVED
    for _ in range(20):
        now += 0.05
        other.table.receive(one.table.report(now - 0.005), now)
        one.table.receive(other.table.report(now - 0.005), now)
    assert one.target.rate_limit.as_of == _ARRIVED


def test_a_report_about_an_earlier_run_of_an_upstream_is_ignored():
    one, other = _Vm(started_ms=1000), _Vm(started_ms=2000)
    one.answer(_limit("5"))
    other.table.receive(one.table.report(_ARRIVED), _ARRIVED)
    assert other.limit is None


def test_an_ended_limit_is_reported_for_a_while_only():
    vm = _Vm()
    vm.answer(_limit("5"))
    vm.answer(sent=_ARRIVED + 1, now=_ARRIVED + 1.1)
    assert vm.table.report(_ARRIVED + 2) != []
    assert vm.table.report(_ARRIVED + 20) == []


def test_a_vm_reports_the_upstreams_whose_statements_changed_last():
    count = advisories.MAX_REPORTED + 3
    table = builders.target_table(
        *(
            builders.upstream(f"u-{i}", address=f"127.0.0.1:{9000 + i}")
            for i in range(count)
        )
    )
    advisory_table = advisories.AdvisoryTable(table, metrics.Meters())
    for number, target in enumerate(table.by_id.values()):
        now = _ARRIVED + number
        advisory_table.record_answer(
            target, _metadata(200, _limit("5")), now, now
        )
    reported = {entry.upstream for entry in advisory_table.report(now)}
    assert len(reported) == advisories.MAX_REPORTED
    assert "u-0" not in reported
    assert f"u-{count - 1}" in reported


def test_an_announced_exit_is_kept_whatever_arrives_after():
    vm = _Vm()
    vm.answer(("Server-Leaving", "1"))
    vm.answer(sent=_ARRIVED + 1, now=_ARRIVED + 2)
    assert vm.target.announced_leaving_at == _ARRIVED
    assert vm.meters.advisories.get("leaving") == 1


@pytest.mark.parametrize("text", ["", "0", "true", "2", "1, 1"])
def test_a_malformed_exit_is_counted_and_ignored(text):
    vm = _Vm()
    vm.answer(("Server-Leaving", text))
    assert vm.target.announced_leaving_at is None
    assert vm.meters.advisories.get("malformed") == 1


@pytest.mark.parametrize(("text", "seconds"), [("3", 3.0), ("0.75", 0.75)])
def test_a_rejection_asks_for_a_pause(text, seconds):
    vm = _Vm()
    vm.answer(("X-Not-Executed", "1"), ("Retry-After", text), status=503)
    assert vm.target.backoff_until == _ARRIVED + seconds
    assert vm.meters.advisories.get("backoff") == 1


@pytest.mark.parametrize(
    "text", ["-1", "0", "soon", "99999", "Thu, 03 Dec 2026 16:00:00 GMT"]
)
def test_a_malformed_pause_is_counted_and_ignored(text):
    vm = _Vm()
    vm.answer(("X-Not-Executed", "1"), ("Retry-After", text), status=503)
    assert vm.target.backoff_until == 0.0
    assert vm.meters.advisories.get("malformed") == 1


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_a_pause(status):
    vm = _Vm()
    vm.answer(("Retry-After", "3"), status=status)
    assert vm.target.backoff_until == 0.0


def test_a_shorter_pause_does_not_end_a_longer_one():
    vm = _Vm()
    for text in ("3", "1"):
        vm.answer(("X-Not-Executed", "1"), ("Retry-After", text), status=503)
    assert vm.target.backoff_until == _ARRIVED + 3


def test_other_vms_learn_of_an_announced_exit_with_its_age():
    one, other = _Vm(), _Vm()
    one.answer(("Server-Leaving", "1"))
    other.table.receive(one.table.report(_ARRIVED + 0.3), _ARRIVED + 0.31)
    left_at = other.target.announced_leaving_at
    assert left_at == pytest.approx(_ARRIVED, abs=0.02)
    assert other.target.leaving_since == left_at


def test_a_registration_does_not_revoke_an_announced_exit():
    vm = _Vm()
    vm.answer(("Server-Leaving", "1"))
    vm.targets.put(builders.upstream(), _ARRIVED + 1)
    assert vm.target.leaving_since == _ARRIVED
    assert not vm.target.accepts_requests(_ARRIVED + 2, 2.0)


def test_the_next_run_of_an_upstream_is_not_leaving():
    vm = _Vm(started_ms=1000)
    vm.answer(("Server-Leaving", "1"))
    vm.targets.put(builders.upstream(started_ms=2000), _ARRIVED + 1)
    target = vm.targets.by_id["u-1"]
    assert target.leaving_since is None
    vm.table.receive(_Vm(started_ms=1000).table.report(_ARRIVED), _ARRIVED)
    assert target.leaving_since is None
