"""Upstreams that answered releases without proof are remembered for a time."""

from users_platform import unproven_answers


def test_addresses_that_left_are_forgotten():
    # Guards against a set of addresses that only grows.
    unproven = unproven_answers.UnprovenAnswers()
    for number in range(1000):
        unproven.note(f"10.0.0.{number}:80", "", float(number))
    assert len(unproven) <= unproven_answers.REMEMBERED_S + 1


def test_an_upstream_without_tokens_stays_remembered_while_it_answers():
    unproven = unproven_answers.UnprovenAnswers()
    unproven.note("a:1", "", 0.0)
    for now in range(0, 600, 50):
        assert unproven.is_recent("a:1", float(now))
        unproven.note_first_answer("a:1", "", float(now))


def test_a_first_answer_alone_is_not_remembered():
    unproven = unproven_answers.UnprovenAnswers()
    unproven.note_first_answer("a:1", "", 0.0)
    assert not unproven.is_recent("a:1", 1.0)
