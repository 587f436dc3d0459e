"""Invalid input gets a typed, correct rejection and leaves daemons running."""

import socket

import pynng
import pytest

from standins import journal
from swiftstile.peers import messages
from tests.integration import callers

KEY = {"Swiftstile-Key": "k"}


def timeout(text):
    return KEY | {"Swiftstile-Timeout-Ms": text}


@pytest.fixture
def port(fleet):
    return next(iter(fleet.vms.values())).router_port


@pytest.fixture(autouse=True)
def daemons_keep_running(fleet, port):
    yield
    answer = callers.send(port, "/tiny/store/x", headers=KEY)
    assert (answer.status, answer.outcome) == (200, "answered")
    assert all(process.is_running() for process in fleet.all_processes())


@pytest.mark.parametrize(
    ("path", "headers", "status", "reason"),
    [
        ("/nobody/store/x", KEY, 404, "unknown-service"),
        ("/tiny/nothing/x", KEY, 404, "unknown-service"),
        ("/tiny", KEY, 400, "bad-request"),
        ("/tiny/store/x", {}, 400, "bad-request"),
        ("/tiny/store/x", {"Swiftstile-Key": "k" * 600}, 400, "bad-request"),
        ("/tiny/store/x", {"Swiftstile-Key": "\xff\xfe"}, 400, "bad-request"),
        ("/tiny/store/x", timeout("0"), 504, "deadline"),
        ("/tiny/store/x", timeout("-5"), 504, "deadline"),
        ("/tiny/store/x", timeout("soon"), 400, "bad-request"),
        (
            "/tiny/store/x",
            KEY | {"Swiftstile-Repeatable": "maybe"},
            400,
            "bad-request",
        ),
        (
            "/tiny/store/x",
            KEY | {"Swiftstile-Request-Id": "a b"},
            400,
            "bad-request",
        ),
        (
            "/tiny/store/x",
            KEY | {"Idempotency-Key": "i" * 300},
            400,
            "bad-request",
        ),
    ],
)
def test_invalid_request_is_rejected_and_not_run(
    fleet, port, path, headers, status, reason
):
    before = run_count(fleet)
    answer = callers.send(port, path, headers=headers)
    assert (answer.status, answer.reason) == (status, reason)
    assert answer.outcome == "not-run"
    assert run_count(fleet) == before


def run_count(fleet) -> int:
    return sum(
        isinstance(entry, journal.Run)
        for entries in fleet.journals().values()
        for entry in entries
    )


def test_body_above_limit_is_rejected_unread(port):
    length = (1 << 30) + 1
    head = (
        "POST /tiny/store/x HTTP/1.1\r\nHost: h\r\nSwiftstile-Key: k\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    answer = callers.send_raw(port, head.encode() + b"start")
    assert (answer.status, answer.reason) == (413, "body-too-large")
    assert answer.outcome == "not-run"


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("GET /tiny/store/x HTTP/1.1\r\nX: " + "x" * 20000, 431),
        ("GET /tiny/store/" + "x" * 20000 + " HTTP/1.1\r\nHost: h", 431),
        ("GET /tiny/store/x\x01 HTTP/1.1\r\nHost: h", 400),
        ("NONSENSE\r\nHost: h", 400),
        ("GET /tiny/store/x HTTP/1.1\r\nSwiftstile-Key: a\x01b", 400),
        (
            "POST /tiny/store/x HTTP/1.1\r\nHost: h\r\nContent-Length: ten",
            400,
        ),
        (
            "POST /tiny/store/x HTTP/1.1\r\nHost: h\r\n"
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            400,
        ),
    ],
)
def test_malformed_head_is_rejected(port, head, status):
    answer = callers.send_raw(port, head.encode() + b"\r\n\r\n")
    assert answer.status == status
    assert answer.outcome == "not-run"


@pytest.mark.parametrize("length", [1000, 200_000])
def test_truncated_body_does_not_run(fleet, port, length):
    request_id = f"truncated-{length}"
    head = (
        "POST /tiny/store/x HTTP/1.1\r\nHost: h\r\nSwiftstile-Key: k\r\n"
        f"Swiftstile-Request-Id: {request_id}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(head.encode() + b"x" * (length // 2))
    # By now a later request has passed through the same router.
    assert callers.send(port, "/tiny/store/x", headers=KEY).status == 200
    assert not callers.runs_of(fleet, request_id)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 100,
        b"\x81\xa4type\xa4odd!",
        messages.CODEC.encode(
            messages.Pong("v", "v#1", True)  # a reply, not a request
        ),
    ],
)
def test_malformed_control_message_is_rejected(fleet, data):
    vm = next(iter(fleet.vms.values()))
    with pynng.Req0(recv_timeout=3000, send_timeout=3000) as sock:
        sock.dial(f"tcp://127.0.0.1:{vm.coordinator_port}")
        sock.send(data)
        reply = messages.CODEC.decode(sock.recv())
    assert isinstance(reply, messages.Refused)


def test_forged_internal_headers_are_not_forwarded(fleet, port):
    forged = KEY | {
        "Swiftstile-Fence": "999",
        "Swiftstile-Epoch": "999",
        "Swiftstile-Request-Id": "forged",
    }
    answer = callers.send(port, "/tiny/store/x", headers=forged)
    assert answer.status == 200
    (run,) = callers.runs_of(fleet, "forged")
    assert run.fence == 1
