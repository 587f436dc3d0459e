"""What VMs believe after the store returned from an older copy."""

import asyncio
import json
import types

import pytest
from users_platform import store

from swiftstile import errors
from swiftstile import metrics
from swiftstile.gateway import follow
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import map_confirmation
from swiftstile.gateway import model
from swiftstile.gateway import registry as registry_lib
from swiftstile.gateway import renewals
from swiftstile.gateway import store_versions
from swiftstile.gateway import targets
from tests import gateway_builders as builders

_Method = map_confirmation.Method
_LEAVING = model.UpstreamState.DRAINING


def _version(generation: int, number: int) -> int:
    return store_versions.version_of(
        store_versions.Generation(generation), number
    )


class _Client(store.StoreClient):
    """Gives prepared answers: era, status and document of each call."""

    def __init__(self, *answers):
        super().__init__("127.0.0.1:1")
        self.answers = list(answers)
        self.calls: list[tuple] = []

    async def call(self, method, path, params, body, first_byte_timeout_s):
        self.calls.append((path, params, body))
        era, status, document = self.answers.pop(0)
        headers = {} if era is None else {"Store-Era": era}
        generation = self._note_era(_Headers(headers))
        return store.Answer(status, json.dumps(document).encode(), generation)


class _Headers(dict):

    def getall(self, name, default):
        return [self[name]] if name in self else default


def _rows(ver: int) -> dict:
    return {"rows": [], "ver": ver, "has_more": False}


@pytest.mark.parametrize("number", [0, 1, 10**9])
def test_versions_of_a_later_generation_are_newer(number):
    later = _version(2, number)
    assert later > _version(1, 10**11)
    assert store_versions.generation_of(later) == 2
    assert store_versions.number_of(later) == number


def test_changes_since_a_version_of_an_earlier_generation_are_not_asked_for():
    client = _Client(("1", 200, _rows(500)), ("2", 200, _rows(430)))
    table = store.StoreTable(client, "t")
    first = asyncio.run(table.read_all())
    assert first.version == _version(1, 500)
    # The number was given out again: the store has no 410 for it.
    assert asyncio.run(table.wait_for_changes(first.version, 0.0)) is None
    assert asyncio.run(table.wait_for_changes(first.version, 0.0)) is None
    assert len(client.calls) == 2


def test_a_condition_of_an_earlier_generation_fails_unsent():
    client = _Client(("2", 200, _rows(430)))
    table = store.StoreTable(client, "t")
    asyncio.run(table.read_all())
    condition = interfaces.Condition("k", _version(1, 430))
    with pytest.raises(errors.ConflictError):
        asyncio.run(table.write([condition], [interfaces.Write("k", b"x")]))
    assert len(client.calls) == 1


def test_the_outcome_of_a_write_across_a_return_is_unknown():
    client = _Client(("1", 200, _rows(5)), ("2", 200, _rows(6)))
    table = store.StoreTable(client, "t")
    asyncio.run(table.read_all())
    condition = interfaces.Condition("k", _version(1, 5))
    with pytest.raises(errors.OutcomeUnknownError):
        asyncio.run(table.write([condition], [interfaces.Write("k", b"x")]))


@pytest.mark.parametrize("era", [None, "", "-1", "two", "9" * 10])
def test_an_answer_without_a_readable_era_is_of_the_last_known_one(era):
    client = _Client(("3", 200, _rows(7)), (era, 200, _rows(8)))
    table = store.StoreTable(client, "t")
    asyncio.run(table.read_all())
    snapshot = asyncio.run(table.read_all())
    assert snapshot.version == _version(3, 8)


def test_a_follower_reads_an_older_copy_and_rows_written_since():
    applied: list[tuple] = []
    follower = follow.TableFollower(
        "t",
        builders.MemoryTable(),
        lambda changes: applied.append((follower.is_returning, changes)),
    )
    row = interfaces.Change("k", b"new", _version(1, 500))
    follower.accept(interfaces.Snapshot([row], _version(1, 500)), True)
    older = interfaces.Change("k", b"old", _version(2, 400))
    follower.accept(interfaces.Snapshot([older], _version(2, 430)), True)
    assert follower.rows["k"].value == b"old"
    assert applied[-1] == (True, [older])
    rewritten = interfaces.Change("k", b"new", _version(2, 431))
    follower.accept(interfaces.Snapshot([rewritten], _version(2, 431)), False)
    assert applied[-1] == (False, [rewritten])


def test_changes_of_a_peer_in_another_generation_are_not_merged():
    follower = follow.TableFollower(
        "t", builders.MemoryTable(), lambda changes: None
    )
    follower.accept(interfaces.Snapshot([], _version(1, 500)), True)
    row = interfaces.Change("k", b"x", _version(2, 440))
    follower.accept(interfaces.Snapshot([row], _version(2, 440)), False)
    assert follower.rows == {}


def _map(version: int, generation: int | None) -> keymap.KeyMap:
    made = keymap.KeyMap.empty(4).assign({}, {0: "u-1", 1: "u-2"})
    made.generation = generation
    made.version = version
    return made


def test_an_older_copy_of_a_map_does_not_replace_the_known_one():
    maps = renewals.KeyMaps()
    known = _map(_version(1, 500), 1)
    maps.put(builders.LOOKUPS, known, 0.0)
    maps.put(builders.LOOKUPS, _map(_version(2, 400), 1), 1.0)
    assert maps.by_service[builders.LOOKUPS] is known
    confirmed = _map(_version(2, 431), 2)
    maps.put(builders.LOOKUPS, confirmed, 2.0)
    assert maps.by_service[builders.LOOKUPS] is confirmed


def test_a_confirmed_map_has_higher_fences_than_any_lost_one():
    known = _map(_version(1, 500), 1)
    kept = known.confirmed(100, 7, frozenset({1}), False)
    assert kept.slots == known.slots
    assert kept.next_fence >= known.next_fence + 100
    assert kept.uncertain == {1}
    anew = known.confirmed(100, 7, frozenset(), True)
    fences = {slot.fence for slot in anew.slots if slot.owner}
    assert min(fences) > known.next_fence + 100
    encoded = keymap.decode(kept.encode("a"), 8)
    assert encoded.uncertain == {1}


def test_a_slot_that_is_assigned_again_is_certain():
    known = _map(_version(1, 500), 1).mark_leaving([1])
    kept = known.confirmed(100, 7, known.leaving, False)
    assert kept.assign({}, {1: "u-3"}).uncertain == frozenset()


@pytest.mark.parametrize(
    ("has_led", "is_known", "authorised_at", "method"),
    [
        (True, True, 9.0, _Method.KEEP),
        (False, True, 9.0, _Method.HOLD_BACK_LEAVING),
        # It may have missed moves while it wasn't heard.
        (True, True, 7.0, _Method.ASSIGN_ANEW),
        (False, True, 7.0, _Method.ASSIGN_ANEW),
        (False, False, float("-inf"), _Method.ASSIGN_ANEW),
    ],
)
def test_how_a_leader_confirms_its_map(
    has_led, is_known, authorised_at, method
):
    chosen = map_confirmation.choose_method(
        has_led, is_known, authorised_at, 10.0
    )
    assert chosen is method


def test_fences_rise_for_each_generation_in_which_maps_may_be_lost():
    unit = map_confirmation.FENCES_PER_GENERATION
    assert map_confirmation.fence_step(7, 8) == unit
    assert map_confirmation.fence_step(7, 10) == 3 * unit
    assert map_confirmation.fence_step(None, 2) == 2 * unit


def test_grants_by_lost_maps_expire_after_the_longest_hold():
    assert not map_confirmation.have_grants_expired(None, 100.0)
    assert not map_confirmation.have_grants_expired(
        10.0, 10.0 + renewals.HOLD_S
    )
    assert map_confirmation.have_grants_expired(
        10.0, 10.0 + 2 * renewals.HOLD_S
    )


class _Registrations:
    """A registry whose follower is set by the test."""

    def __init__(self):
        self.table = targets.TargetTable()
        self.registered: dict[bytes, model.Upstream] = {}
        self.registry = registry_lib.Registry(
            self.table,
            lambda _, value: self.registered[value],
            lambda: None,
            metrics.Meters(),
            builders.supervisor(),
        )
        self.registry.follower = types.SimpleNamespace(
            earliest_change_at=float("-inf"),
            is_returning=False,
            recovered_at=0.0,
            failing_since=None,
        )
        self.registry.set_services(frozenset({builders.LOOKUPS}))

    def apply(self, value: bytes | None, upstream=None, is_returning=False):
        if upstream is not None:
            self.registered[value] = upstream
        self.registry.follower.is_returning = is_returning
        change = interfaces.Change("u-1", value, 1)
        self.registry.apply([change])
        self.registry.follower.is_returning = False

    @property
    def is_leaving(self) -> bool:
        return self.table.by_id["u-1"].leaving_since is not None


def test_an_upstream_that_leaves_is_not_taken_back_by_an_older_copy():
    made = _Registrations()
    ready = builders.upstream("u-1")
    made.apply(b"1", ready)
    made.apply(b"2", builders.upstream("u-1", state=_LEAVING))
    made.apply(b"1", is_returning=True)
    assert made.is_leaving


def test_an_upstream_that_ended_is_believed_to_live_only_after_a_while():
    made = _Registrations()
    made.apply(b"1", builders.upstream("u-1"))
    made.apply(None)
    assert made.is_leaving
    made.apply(b"1", is_returning=True)
    assert made.is_leaving
    now = made.table.by_id["u-1"].left_at
    made.registry.tick(now + registry_lib.RETURN_DISTRUST_S + 1.0)
    assert not made.is_leaving


def test_an_upstream_that_says_again_that_it_leaves_is_believed_at_once():
    made = _Registrations()
    made.apply(b"1", builders.upstream("u-1"))
    made.apply(b"2", builders.upstream("u-1", state=_LEAVING), True)
    assert made.is_leaving


def test_an_upstream_whose_registration_was_lost_may_register_again():
    made = _Registrations()
    made.apply(b"1", builders.upstream("u-1"))
    made.apply(None, is_returning=True)
    assert not made.is_leaving
    made.apply(b"1")
    made.registry.tick(1e9)
    assert not made.is_leaving


def test_an_upstream_whose_registration_stays_lost_is_gone():
    made = _Registrations()
    made.apply(b"1", builders.upstream("u-1"))
    made.apply(None, is_returning=True)
    made.registry.tick(1e9)
    assert made.table.by_id["u-1"].is_unregistered


def test_an_evacuation_that_ended_does_not_come_back_with_an_older_copy():
    made = _Registrations()
    made.apply(b"1", builders.upstream("u-1"))
    made.registry.set_evacuated(builders.HOME, True)
    made.registry.set_evacuated(builders.HOME, False)
    made.registry.set_evacuated(builders.HOME, True, is_returning=True)
    assert not made.is_leaving
    made.registry.set_evacuated(builders.HOME, True)
    assert made.is_leaving
    made.registry.set_evacuated(builders.HOME, False, is_returning=True)
    assert made.is_leaving
