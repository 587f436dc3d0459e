import hypothesis
from hypothesis import strategies
import pytest

from swiftstile import hashing
from swiftstile import ids
from swiftstile.ownership import slices
from tests import builders

POSITIONS = strategies.integers(0, hashing.HASH_SPACE - 1)
SERVERS = strategies.sampled_from(builders.servers(5))
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("move"), POSITIONS, SERVERS),
        strategies.tuples(strategies.just("split"), POSITIONS, SERVERS),
        strategies.tuples(strategies.just("merge"), POSITIONS, SERVERS),
    ),
    max_size=12,
)


def apply_step(current, step):
    kind, position, server = step
    epoch = ids.Epoch(1)
    if kind == "merge":
        return current.merged({p.start for p in current.slices[1:]}, epoch)
    if kind == "split":
        return current.split([position, position // 2], epoch)
    return current.moved({current.at(position).start: server}, epoch)


@hypothesis.given(STEPS, POSITIONS)
def test_versions_cover_the_space_and_fences_follow_owners(steps, position):
    current = builders.assignment()
    for step in steps:
        following = apply_step(current, step)
        following.check()
        assert following.version == current.version + 1
        assert sum(following.width_by_server().values()) == hashing.HASH_SPACE
        before, after = current.at(position), following.at(position)
        # A new owner always has a higher fence, and no fence decreases.
        assert after.fence >= before.fence
        if before.server != after.server:
            assert after.fence == following.version > before.fence
        assert after.start <= position < following.end_of(after)
        current = following


@hypothesis.given(STEPS, strategies.integers(0, 12))
def test_deltas_lead_to_the_same_assignment(steps, at):
    versions = [builders.assignment()]
    for step in steps:
        versions.append(apply_step(versions[-1], step))
    older, newest = versions[min(at, len(steps))], versions[-1]
    assert older.apply(newest.delta_from(older)) == newest
    whole = newest.delta_from(None)
    assert whole.base == 0 and whole.changed == newest.slices


def test_delta_for_another_version_is_refused():
    one = builders.assignment()
    two = one.moved({0: ids.ServerId("s1")}, ids.Epoch(1))
    three = two.moved({0: ids.ServerId("s2")}, ids.Epoch(1))
    with pytest.raises(ValueError):
        one.apply(three.delta_from(two))


@pytest.mark.parametrize(
    "starts", [[], [1], [0, 5, 5], [0, hashing.HASH_SPACE], [0, 9, 3]]
)
def test_check_refuses_what_does_not_cover_once(starts):
    pieces = tuple(
        slices.Slice(start, ids.ServerId("s"), ids.Fence(1)) for start in starts
    )
    with pytest.raises(ValueError):
        slices.Assignment(1, ids.Epoch(1), pieces).check()
