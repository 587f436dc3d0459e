"""Tests the lookup of a request's route among the routes of its host."""

import hypothesis
from hypothesis import strategies

from swiftstile.gateway import model
from tests import gateway_builders as builders

# Routes of one host in a large deployment.
ROUTES = 1470
# Maximum steps of a lookup among them, for any path.
MAX_STEPS = 16

_PARTS = strategies.sampled_from(["", "/", "a", "b", "aa", "é"])
_PATHS = strategies.lists(_PARTS, max_size=6).map("/".join)
_HOSTS = strategies.sampled_from(["a.example", "b.example"])


class _CountingPath(str):
    """A path that counts its prefix comparisons and slices."""

    steps = 0

    def startswith(self, *args) -> bool:
        self.steps += 1
        return super().startswith(*args)

    def __getitem__(self, index) -> str:
        self.steps += 1
        return super().__getitem__(index)


def _scan(routes, host: str, path: str) -> model.Route | None:
    """Returns the first of the routes with the longest prefix of `path`."""
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda r: len(r.prefix), default=None)


@hypothesis.given(
    strategies.lists(strategies.tuples(_HOSTS, _PATHS), min_size=1),
    _HOSTS,
    _PATHS,
)
def test_a_lookup_matches_a_linear_scan(prefixes, host, path):
    routes = [
        builders.route(name=f"r-{number}", host=of_host, prefix=prefix)
        for number, (of_host, prefix) in enumerate(prefixes)
    ]
    config = builders.config(1, *routes)
    assert config.find(host, path) is _scan(routes, host, path)


def test_the_first_of_two_routes_with_one_prefix_wins():
    first, second = builders.route(name="r-1"), builders.route(name="r-2")
    assert builders.config(1, first, second).find("a.example", "/a/") is first


def test_the_cost_of_a_lookup_does_not_grow_with_routes_and_slashes():
    """A scan of all routes takes 1470 steps; a lookup by prefix length 4."""
    routes = [
        builders.route(name=f"r-{number}", prefix=f"/area/item-{number}/")
        for number in range(ROUTES)
    ]
    config = builders.config(1, *routes)
    for text in ("/area/item-1469/b", "/area/item-7/", "/none/", "/" * 8000):
        path = _CountingPath(text)
        assert config.find("a.example", path) is _scan(
            routes, "a.example", text
        )
        assert path.steps <= MAX_STEPS
