"""Decisions on slots that are leaving an owner."""

import pytest

from swiftstile.gateway import move_steps
from swiftstile.gateway import moves
from swiftstile.gateway import reclaim_state

_SLOTS = [1, 2, 3]
_NOW = 100.0
_LATER = _NOW + move_steps.STOP_WAIT_S + 0.01
_INFINITE = float("inf")


@pytest.fixture
def state():
    return reclaim_state.SlotReclaim(7, _NOW)


def _known(open_slots=(), all_stopped=True, held_s=4.0):
    return moves.OutstandingGrants(
        all_stopped,
        held_s,
        3.0 if open_slots is None or open_slots else 0.0,
        None if open_slots is None else set(open_slots),
    )


def test_slots_that_nobody_holds_are_clear_without_a_release(state):
    step = move_steps.next_step(_SLOTS, state, _known(held_s=0.0), _NOW)
    assert step == move_steps.Step(_SLOTS)


def test_slots_without_unanswered_grants_are_released_at_once(state):
    step = move_steps.next_step(_SLOTS, state, _known({2}), _NOW)
    assert (step.cleared, step.to_release) == ([], [1, 3])
    assert not step.to_fence


def test_after_a_while_the_others_are_fenced_alone(state):
    state.note_released([1, 3], "warm", _NOW)
    step = move_steps.next_step(_SLOTS, state, _known({2}), _LATER)
    assert (step.cleared, step.to_release) == ([1, 3], [2])
    assert step.to_fence == {2}
    assert step.is_waiting


@pytest.mark.parametrize(
    "known", [_known(None), _known(all_stopped=False, held_s=_INFINITE)]
)
def test_all_are_fenced_if_any_may_have_unanswered_grants(state, known):
    state.note_released([1], "warm", _NOW)
    assert move_steps.next_step(_SLOTS, state, known, _NOW).to_release == []
    step = move_steps.next_step(_SLOTS, state, known, _LATER)
    assert (step.cleared, step.to_release) == ([], _SLOTS)
    assert step.to_fence == set(_SLOTS)


def test_a_release_from_before_the_fence_does_not_count(state):
    state.note_released([2], "warm", _NOW)
    state.note_fencing([2])
    step = move_steps.next_step(_SLOTS, state, _known(None), _LATER)
    assert 2 in step.to_release and not step.cleared


def test_a_fenced_slot_is_clear_once_it_is_released(state):
    state.note_fencing([2])
    state.note_released([2], "warm", _LATER)
    step = move_steps.next_step(_SLOTS, state, _known({2}), _LATER)
    assert step.cleared == [2]


def test_an_unanswered_fencing_grant_keeps_only_its_slot_from_being_clear(
    state,
):
    state.note_fencing([2, 3])
    state.note_unanswered([2], _LATER, 0.5)
    state.note_released([2, 3], "warm", _LATER)
    known = _known(None)
    step = move_steps.next_step(_SLOTS, state, known, _LATER)
    assert step.cleared == [3]
    step = move_steps.next_step(_SLOTS, state, known, _LATER + 1.0)
    assert step.cleared == [2, 3]


def test_released_slots_wait_for_the_others_only_for_a_while(state):
    state.note_released([1, 3], "warm", _NOW)
    step = move_steps.next_step(_SLOTS, state, _known(), _NOW)
    assert not step.is_assignment_due(_SLOTS, state, _NOW)
    due_at = _NOW + move_steps.MAX_UNASSIGNED_S
    assert step.is_assignment_due(_SLOTS, state, due_at)
    state.note_released([2], "warm", _NOW)
    step = move_steps.next_step(_SLOTS, state, _known(), _NOW)
    assert step.is_assignment_due(_SLOTS, state, _NOW)
