"""The adapter's decoding of the platform's data."""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import msgspec
import multidict
import pytest
from users_platform import dialect
from users_platform import documents
from users_platform import store

from swiftstile import clocks
from swiftstile import errors
from swiftstile import settings as settings_lib
from swiftstile.gateway import interfaces
from swiftstile.gateway import keymap
from swiftstile.gateway import model
from swiftstile.gateway import outcomes
from swiftstile.gateway import settings
from tests import gateway_builders


def _headers(**values) -> multidict.CIMultiDict:
    return multidict.CIMultiDict(
        {name.replace("_", "-"): value for name, value in values.items()}
    )


def _config(*resources, version="0000000c") -> bytes:
    return json.dumps(
        {"version": version, "resources": list(resources), "more": 1}
    ).encode()


def _entry(entry_type: str, entry: str, **spec) -> dict:
    return {
        "entry_type": entry_type,
        "metadata": {"name": entry},
        "spec": spec,
    }


_SERVICE = _entry(
    "services", "s1", health_path="/h", sharded=True, warm="3s", tls=False
)
_ROUTE = _entry(
    "routes",
    "r1",
    host="A.example",
    prefix="/x/",
    kind="unsafe",
    timeout="2500ms",
    objective="800ms",
    priority=1,
    service="s1",
    max_attempts=2,
)


def test_a_configuration_is_decoded():
    limits = _entry("limits", "", max_body_bytes=9, idle_timeout="2.5s")
    config = documents.decode_config(_config(_ROUTE, _SERVICE, limits))
    assert config.version == 12
    route = config.find("a.example", "/x/y")
    assert route.repeatability is model.Repeatability.ONCE
    assert (route.timeout_s, route.objective_s) == (2.5, 0.8)
    assert config.services_by_name["s1"].is_keyed
    assert config.services_by_name["s1"].cold_per_s == 0
    assert config.limits.idle_timeout_s == 2.5
    assert config.find("a.example", "/z/") is None


def test_the_longest_prefix_wins():
    longer = {**_ROUTE["spec"], "prefix": "/x/y/", "kind": "safe"}
    both = _config(_ROUTE, _entry("routes", "r2", **longer), _SERVICE)
    config = documents.decode_config(both)
    assert config.find("a.example", "/x/y/z").name == "r2"
    assert config.find("a.example", "/x/z").name == "r1"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        _config(_ROUTE),
        _config(_ROUTE, _SERVICE, version="zz"),
        _config(_entry("routes", "r", host="h"), _SERVICE),
        _config(
            _entry("routes", "r", **{**_ROUTE["spec"], "kind": "odd"}), _SERVICE
        ),
        _config(
            _entry("routes", "r", **{**_ROUTE["spec"], "timeout": "2"}),
            _SERVICE,
        ),
        # Nested deeper than the decoder supports; that ended the task which
        # reads the operator's table.
        _config(_SERVICE)[:-1] + b', "x": ' + b"[" * 100_000,
    ],
)
def test_a_bad_configuration_names_step_and_peer(data):
    with pytest.raises(errors.BundleError) as caught:
        documents.decode_config(data)
    assert caught.value.step and caught.value.peer


_REGISTRATION = {
    "service": "s1",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "slots": 3,
    "state": "ready",
    "cold_remaining": "0ms",
    "born": 1,
}
_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(10**18, 10**40),
    strategies.floats(),
)
_ANY_JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | _NUMBERS | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=5,
)
_LONG_TIMES = strategies.integers(1, 400).map(lambda n: "9" * n + "s")
_ADDRESSES = strategies.tuples(
    strategies.ip_addresses(v=4).map(str),
    strategies.integers(-1, 100_000).map(str)
    | strategies.text("0123456789\u0660\u00b2", max_size=6),
).map(":".join)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    strategies.text(max_size=12),
    strategies.dictionaries(
        strategies.sampled_from(sorted(_REGISTRATION)),
        _ANY_JSON | _LONG_TIMES | _ADDRESSES,
    ),
)
def test_an_accepted_registration_can_be_passed_on(name, changes):
    """Guards against numbers that a decoder accepts and an encoder doesn't."""
    data = json.dumps(_REGISTRATION | changes).encode()
    try:
        upstream = documents.decode_upstream(model.UpstreamId(name), data)
    except errors.ControlMessageError:
        return
    target = gateway_builders.target_table(upstream).by_id[upstream.id]
    owners = dict.fromkeys(range(4), upstream.id)
    started_ms = {upstream.id: upstream.started_ms}
    key_map = keymap.KeyMap.empty(4).assign({}, owners, started_ms)
    decoded = keymap.decode(key_map.encode("a"), 1)
    assert decoded.started_ms[upstream.id] == upstream.started_ms
    assert msgspec.msgpack.encode(upstream)
    assert clocks.milliseconds(target.cold_until) >= 0
    assert 0 < settings_lib.split_address(upstream.address)[1] < 65536
    sent = dialect.UsersDialect().upstream_headers(_headers(), upstream.id, 1.0)
    assert all(value.isascii() and value.isprintable() for _, value in sent)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("born", 10**30),
        ("born", 2**64 - 1),
        ("cold_remaining", "9" * 300 + "s"),
        ("cold_remaining", "9" * 5000 + "s"),
        ("address", "127.0.0.1:\u0668\u0660"),
        ("address", "0.0.0.0:80"),
        ("address", "224.0.0.1:80"),
        ("address", "255.255.255.255:80"),
        ("service", "s" * 201),
    ],
)
def test_a_registration_out_of_bounds_is_an_error(field, value):
    """Guards against values that end a duty far from where they are read."""
    data = json.dumps(_REGISTRATION | {field: value}).encode()
    with pytest.raises(errors.ControlMessageError):
        documents.decode_upstream(model.UpstreamId("u"), data)


@pytest.mark.parametrize("name", ["", "a\r\nB: c", "\u0661", "u" * 201])
def test_an_id_that_is_no_header_value_is_an_error(name):
    """Guards against ids that end requests to the upstream, or split them."""
    data = json.dumps(_REGISTRATION).encode()
    with pytest.raises(errors.ControlMessageError):
        documents.decode_upstream(model.UpstreamId(name), data)


@pytest.mark.parametrize(
    ("entry", "field", "value"),
    [
        (_ROUTE, "priority", 10**30),
        (_ROUTE, "max_attempts", 10**30),
        (_ROUTE, "timeout", "9" * 400 + "s"),
        (_ROUTE, "traffic_split", [{"service": "s1", "weight": 1e300}]),
        (_SERVICE, "max_connections", 10**30),
        (_SERVICE, "cold_per_s", 1e300),
    ],
)
def test_a_configuration_out_of_bounds_is_an_error(entry, field, value):
    """Guards against numbers that reports and permits can't carry."""
    changed = entry | {"spec": entry["spec"] | {field: value}}
    others = [one for one in (_ROUTE, _SERVICE) if one is not entry]
    with pytest.raises(errors.BundleError):
        documents.decode_config(_config(changed, *others))


@pytest.mark.parametrize("version", ["1" * 40, "+1", "1_0", " 1"])
def test_a_version_that_is_no_number_of_eight_digits_is_an_error(version):
    """Guards against versions that reports can't carry."""
    with pytest.raises(errors.BundleError):
        documents.decode_config(_config(_ROUTE, _SERVICE, version=version))


@pytest.mark.parametrize(
    "text", ["\u00b2,0,3", "9" * 5000 + ",0,3", "1,0,3," + "9" * 400]
)
def test_a_load_out_of_bounds_is_ignored(text):
    """Guards against statements of an upstream that end a request to it."""
    answer = dialect.UsersDialect().parse_answer(
        200, _headers(X_Instance_Load=text)
    )
    assert answer.load is None


@pytest.mark.parametrize("text", ["000000000070000", "9" * 5000])
def test_a_key_out_of_bounds_is_a_bad_request(text):
    """Guards against keys that are checked by their first digits only."""
    with pytest.raises(outcomes.BadRequestError):
        dialect.UsersDialect().parse_request(_headers(X_Shard_Key=text))


@hypothesis.given(strategies.binary(max_size=100))
def test_any_bytes_for_a_registration_are_an_error(data):
    with pytest.raises(errors.ControlMessageError):
        documents.decode_upstream(model.UpstreamId("u"), data)


def test_a_registration_is_decoded():
    data = json.dumps(
        {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 3,
            "state": "draining",
            "cold_remaining": "1500ms",
            "sequence": 4,
        }
    ).encode()
    upstream = documents.decode_upstream(model.UpstreamId("u"), data)
    assert upstream.state is model.UpstreamState.DRAINING
    assert upstream.cold_s == 1.5


_ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining": "0ms",
    "sequence": 4,
    "born": 1789144553235,
}


def test_a_registration_distinguishes_runs():
    def decode(**changes):
        data = json.dumps(_ENTRY | changes).encode()
        return documents.decode_upstream(model.UpstreamId("u"), data)

    first, second = decode(), decode(born=1789144559999)
    assert second.has_restarted_since(first.started_ms)
    assert not decode(sequence=9).has_restarted_since(first.started_ms)
    # An entry without a start time counts as the same run.
    without_start = dict(_ENTRY)
    del without_start["born"]
    data = json.dumps(without_start).encode()
    unknown = documents.decode_upstream(model.UpstreamId("u"), data)
    assert not unknown.has_restarted_since(first.started_ms)
    assert not first.has_restarted_since(unknown.started_ms)


_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.dictionaries(strategies.text(max_size=3), strategies.text()),
    strategies.sampled_from(["1e999ms", "-5s", "nans", "10.0.0.1:0", "a:80"]),
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*_ENTRY, "more"]), _VALUES, max_size=3
    ),
    strategies.sets(strategies.sampled_from(list(_ENTRY)), max_size=2),
)
def test_an_entry_of_another_writer_is_an_upstream_or_an_error(
    changes, missing
):
    entry = {k: v for k, v in (_ENTRY | changes).items() if k not in missing}
    data = json.dumps(entry).encode("utf-8", "surrogatepass")
    try:
        upstream = documents.decode_upstream(model.UpstreamId("u"), data)
    except errors.ControlMessageError:
        return
    assert upstream.slots >= 1
    assert 0 <= upstream.cold_s < float("inf")
    assert upstream.started_ms >= 0
    host, port = upstream.address.rsplit(":", 1)
    assert host.count(".") == 3 and 0 < int(port) < 65536


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"service":"s"}',
        json.dumps(_ENTRY | {"state": "paused"}).encode(),
        json.dumps(_ENTRY | {"slots": 0}).encode(),
        json.dumps(_ENTRY | {"slots": "3"}).encode(),
        json.dumps(_ENTRY | {"born": "1789144553235"}).encode(),
        json.dumps(_ENTRY | {"born": 1.5}).encode(),
        json.dumps(_ENTRY | {"address": "host.example:80"}).encode(),
        json.dumps(_ENTRY | {"address": "10.0.0.1:99999"}).encode(),
    ],
)
def test_an_entry_that_names_no_upstream_is_an_error(data):
    with pytest.raises(errors.ControlMessageError):
        documents.decode_upstream(model.UpstreamId("u"), data)


@pytest.mark.parametrize("value", ["%%%", "YQ", "\u00e9"])
def test_a_row_that_is_not_base64_affects_no_other_row(value):
    page = {"rows": [], "ver": 7, "has_more": False}
    page["rows"] = [
        {"key": "bad", "value": value, "ver": 3},
        {"key": "good", "value": "YQ==", "ver": 4},
    ]
    table = store.StoreTable(_FixedClient(json.dumps(page).encode()), "t")
    snapshot = asyncio.run(table.read_all())
    assert [row.key for row in snapshot.rows] == ["bad", "good"]
    assert snapshot.rows[1].value == b"a"


class _FixedClient(store.StoreClient):
    """A store that always returns the same answer."""

    def __init__(self, body: bytes):
        super().__init__("127.0.0.1:1")
        self._body = body

    async def query(self, path, params, timeout_s):
        return store.Answer(200, self._body, self.generation)


@pytest.mark.parametrize("text", ["", "2", "ms", "2m", "s", "-"])
def test_a_duration_needs_a_unit(text):
    with pytest.raises(ValueError):
        settings.parse_seconds(text)


def test_connection_headers_and_forged_ones_are_dropped():
    headers = _headers(
        Host="a",
        Connection="close, X-Private",
        X_Private="1",
        X_Deadline_Ms="99999",
        X_Expect_Instance="forged",
        X_Attempt_Id="abc",
        Transfer_Encoding="chunked",
        X_Other="kept",
    )
    sent = dialect.UsersDialect().upstream_headers(headers, "u-1", 1.25)
    assert dict(sent) == {
        "Host": "a",
        "X-Attempt-Id": "abc",
        "X-Other": "kept",
        "X-Deadline-Ms": "1250",
        "X-Expect-Instance": "u-1",
    }


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Deadline-Ms", "soon"),
        ("X-Deadline-Ms", "-1"),
        ("X-Shard-Key", "65536"),
        ("X-Shard-Key", "٣"),
    ],
)
def test_a_malformed_header_is_refused(name, value):
    headers = multidict.CIMultiDict({name: value})
    with pytest.raises(outcomes.BadRequestError):
        dialect.UsersDialect().parse_request(headers)


def test_the_load_of_an_upstream_may_include_a_slowdown():
    def load(text: str):
        headers = _headers(X_Instance_Load=text)
        return dialect.UsersDialect().parse_answer(200, headers).load

    assert load("3,0,2").slowdown is None
    assert load("3,1,2,300") == interfaces.Load(3, 1, 2, 3.0)
    # Fields that newer upstreams add are ignored.
    assert load("3,1,2,100,7").slowdown == 1.0
    assert load("3,1") is None and load("3,1,x,100") is None


def test_the_verdict_on_an_answer():
    judge = dialect.UsersDialect().parse_answer
    kind = interfaces.AnswerKind
    shed = judge(503, _headers(X_Not_Executed="1", X_Instance_Load="3,12,3"))
    assert shed.kind is kind.NOT_RUN
    assert shed.load == interfaces.Load(3, 12, 3)
    other = judge(421, _headers(X_Instance_Id="i-2"))
    assert (other.kind, other.answered_by) == (kind.MISDIRECTED, "i-2")
    assert judge(503, _headers()).kind is kind.RAN
    assert not judge(200, _headers()).is_relayable
    signed = _headers(X_Server_Signature="x")
    assert judge(200, signed).is_relayable
    signed["Content-Encoding"] = "gzip"
    assert not judge(200, signed).is_relayable


@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("evacuate/z-1", "z-1"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("x/evacuate/z-1", None),
    ],
)
def test_evacuated_domains_are_decoded_from_keys(key, domain):
    assert documents.evacuated_domain(key) == domain


def test_cold_start_limits_are_decoded():
    spec = {**_SERVICE["spec"], "cold_start": "3s", "cold_per_s": 5.9}
    config = documents.decode_config(_config(_entry("services", "s1", **spec)))
    service = config.services_by_name["s1"]
    assert (service.cold_start_s, service.cold_per_s) == (3.0, 5.9)
