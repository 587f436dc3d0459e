"""Decoding consecutive versions of the configuration."""

import json

import hypothesis
from hypothesis import strategies
import pytest
from users_platform import documents

from swiftstile import errors
from swiftstile.gateway import model

# As many as in a large deployment.
ROUTES = 1470
_HOST = "a.example"


def _resource(entry_type: str, name: str, **spec) -> dict:
    return {"entry_type": entry_type, "metadata": {"name": name}, "spec": spec}


def _route(name: str, **changes) -> dict:
    spec = {
        "host": _HOST,
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeout": "2s",
        "service": "s1",
    }
    return _resource("routes", name, **(spec | changes))


def _version(number: int, *resources: dict) -> bytes:
    document = {"version": f"{number:08x}", "resources": resources}
    return json.dumps(document).encode()


def _routes_of(config: model.Config) -> tuple[model.Route, ...]:
    return config.routes_by_host[_HOST].routes


def _decoded_anew(before: model.Config, after: model.Config) -> list[str]:
    """Returns the names of routes that aren't the same objects as before."""
    known = set(map(id, _routes_of(before)))
    return [r.name for r in _routes_of(after) if id(r) not in known]


_SERVICE = _resource("services", "s1", health_path="/h")
_RESOURCES = [
    _SERVICE,
    _resource("services", "s1", sharded=True),
    _resource("services", "s2"),
    _route("r1"),
    _route("r1", timeout="3s"),
    _route("r2", prefix="/r1/"),
    _route("r2", host="B.example", service="s2"),
    _resource("limits", "", max_body_bytes=9),
    _resource("limits", "", idle_timeout="2s"),
    _resource("others", "r1", host=_HOST),
    _route("r3", kind="odd"),
    _route("r3", service="s3"),
    _route("r3", traffic_split=[{"service": "s1", "weight": 0}]),
    {"entry_type": "routes", "spec": {}},
]
_VERSIONS = strategies.builds(
    lambda number, resources: _version(number, *resources),
    strategies.integers(0, 9),
    strategies.lists(strategies.sampled_from(_RESOURCES), max_size=6),
)
_BYTES = strategies.sampled_from(
    [b"", b"{", b'{"version":"zz","resources":[]}', b'{"version":"1"}']
)


def _outcome(decode, data: bytes):
    """Returns the configuration, or the details of the error."""
    try:
        return decode(data)
    except errors.BundleError as error:
        return str(error), error.step, error.peer


@hypothesis.given(strategies.lists(_VERSIONS | _BYTES, max_size=6))
def test_each_version_is_decoded_as_if_it_were_the_first(versions):
    decoder = documents.ConfigDecoder()
    for data in versions:
        fresh = _outcome(documents.decode_config, data)
        assert _outcome(decoder.decode, data) == fresh


def test_only_changed_resources_are_decoded_again():
    """Decodes one of 1470 routes when one differs; without the cache, all."""
    decoder = documents.ConfigDecoder()
    resources = [_SERVICE, *(_route(f"r{n}") for n in range(ROUTES))]
    before = decoder.decode(_version(1, *resources))
    resources[700] = _route("r699", timeout="3s")
    after = decoder.decode(_version(2, *resources))
    assert _decoded_anew(before, after) == ["r699"]
    assert after.services_by_name["s1"] is before.services_by_name["s1"]
    assert after.find(_HOST, "/r699/").timeout_s == 3.0


@pytest.mark.parametrize(
    "bad",
    [
        b"{",
        _version(2, _SERVICE, _route("r1"), _route("r2", kind="odd")),
        _version(2, _SERVICE, _route("r1"), _route("r2", service="s2")),
    ],
)
def test_an_invalid_version_doesnt_affect_the_next(bad):
    decoder = documents.ConfigDecoder()
    before = decoder.decode(_version(1, _SERVICE, _route("r1"), _route("r2")))
    with pytest.raises(errors.BundleError):
        decoder.decode(bad)
    after = decoder.decode(_version(3, _SERVICE, _route("r1"), _route("r2")))
    assert _decoded_anew(before, after) == []


@pytest.mark.parametrize(
    "bad", [_route("r1", kind="odd"), {"entry_type": "routes"}]
)
def test_an_error_names_the_index_of_the_resource(bad):
    with pytest.raises(errors.BundleError, match=r"resources\[1\]"):
        documents.decode_config(_version(1, _SERVICE, bad))


def test_resources_absent_from_a_version_are_not_retained():
    decoder = documents.ConfigDecoder()
    before = decoder.decode(_version(1, _SERVICE, _route("r1"), _route("r2")))
    decoder.decode(_version(2, _SERVICE, _route("r1")))
    after = decoder.decode(_version(3, _SERVICE, _route("r1"), _route("r2")))
    assert _decoded_anew(before, after) == ["r2"]
