"""Reconstructs the trace of one request from the logs of any VMs.

A request is named by the id of one attempt, or by its digest, which all of its
attempts have in common; then only what concerns crashes of upstreams is listed.
A trace lists the log entries of the request in order of time. The state changes
in force when the request arrived precede them: the latest change of each kind
on the same VM, with its age. Lines in another format are ignored.
"""

import collections.abc
import datetime
import pathlib

import msgspec

from swiftstile import errors

__all__ = ["Change", "RequestTrace", "find", "render"]

# Events of state changes that affect how requests are handled, each with the
# field that distinguishes several changes of the same kind.
_CHANGE_EVENTS = {
    "configuration in force": "",
    "table lost": "table",
    "table regained": "table",
    "rows from a peer": "table",
    "leader changed": "",
    "key map written": "service",
    "upstream registered": "upstream",
    "upstream gone": "upstream",
    "upstream rate limit": "upstream",
    "upstream announces exit": "upstream",
    "upstream backoff": "upstream",
    "upstreams unreachable": "",
    "upstreams regained": "",
    "table returned from an older copy": "table",
    "key map confirmed after a return of the store": "service",
    "registration of an older copy not believed": "upstream",
    "gateway started": "",
    "gateway drains": "",
    "idle connections closed": "",
    "process stood still": "",
    "moves wait for the store": "service",
    "release unanswered": "upstream",
    "queue contention": "queue",
}
# Key maps are written by the leader only, but apply to all VMs.
_LEADER_EVENTS = frozenset(
    ("key map written", "key map confirmed after a return of the store")
)
_DROPPED_EVENT = "lines dropped"
_OMITTED_FIELDS = ("id", "vm", "at_ms", "event", "time", "level")


class Change(msgspec.Struct):
    """A state change, and its age when the request arrived."""

    vm: str
    event: str
    age_s: float
    fields: dict[str, object]


class RequestTrace(msgspec.Struct):
    """The log entries and state changes that concern one request.

    Attributes:
        id: Id of the attempt, or digest of the request.
        decisions: Log entries of the request, in order of time.
        changes: State changes in force when it arrived, oldest first.
        dropped: Number of log lines that were dropped, over all files.
    """

    id: str
    decisions: list[dict[str, object]]
    changes: list[Change]
    dropped: int


def find(request_id: str, files: list[pathlib.Path]) -> RequestTrace:
    """Builds the trace of a request.

    Args:
        request_id: Id that the caller gave the attempt, or the digest.
        files: Logs of any VMs.

    Raises:
        LogError: A file can't be read, or no entry has that id.
    """
    decisions, changes, dropped = [], [], 0
    for line in _lines(files):
        if request_id in (line.get("id"), line.get("request")):
            decisions.append(line)
        elif line.get("event") == _DROPPED_EVENT:
            dropped += int(line.get("count", 0))
        elif line.get("event") in _CHANGE_EVENTS:
            changes.append(line)
    if not decisions:
        raise errors.LogError(
            f"no entry for request {request_id}; {dropped} lines were dropped",
            step="explain",
            peer=", ".join(map(str, files)),
        )
    decisions.sort(key=_decided_at_ms)
    return RequestTrace(
        request_id, decisions, _in_force(decisions, changes), dropped
    )


def _lines(files) -> collections.abc.Iterator[dict[str, object]]:
    for path in files:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise errors.LogError(
                repr(error), step="read log", peer=str(path)
            ) from error
        for text in data.splitlines():
            try:
                line = msgspec.json.decode(text)
            except msgspec.MsgspecError:
                continue
            if isinstance(line, dict):
                yield line


def _in_force(decisions, changes) -> list[Change]:
    """Returns the latest change of each kind before the request arrived."""
    first = decisions[0]
    arrived_ms = _decided_at_ms(first) - first.get("waited_ms", 0)
    vms = {line.get("vm") for line in decisions}
    deciding = {line.get("decided_by") for line in decisions}
    upstreams = {line.get("upstream") for line in decisions}
    newest: dict[tuple, Change] = {}
    for line in changes:
        age_s = (arrived_ms - _at_ms(line)) / 1000
        event = line["event"]
        detail = line.get(_CHANGE_EVENTS[event], "")
        is_other_upstream = (
            _CHANGE_EVENTS[event] == "upstream" and detail not in upstreams
        )
        is_relevant_vm = line.get("vm") in vms or event in _LEADER_EVENTS
        if _CHANGE_EVENTS[event] == "queue":
            # The queue may be at the VM that decided for this one.
            is_relevant_vm = line.get("vm") in vms | deciding
            owner = str(detail).rpartition("/")[2]
            is_other_upstream = bool(owner) and owner not in upstreams
        if age_s < 0 or is_other_upstream or not is_relevant_vm:
            continue
        key = (line.get("vm"), event, detail)
        known = newest.get(key)
        if known is None or age_s < known.age_s:
            newest[key] = Change(
                str(line.get("vm", "")), event, age_s, _fields(line)
            )
    return sorted(newest.values(), key=lambda change: -change.age_s)


def _decided_at_ms(line) -> float:
    """Returns the time of a decision, in milliseconds since the epoch."""
    at_ms = line.get("at_ms")
    return _at_ms(line) if at_ms is None else at_ms


def _at_ms(line) -> float:
    try:
        timestamp = datetime.datetime.fromisoformat(str(line.get("time")))
    except ValueError:
        # An entry without a valid time is treated as older than any request.
        return 0.0
    return timestamp.timestamp() * 1000


def _fields(line) -> dict[str, object]:
    return {k: v for k, v in line.items() if k not in _OMITTED_FIELDS}


def render(trace: RequestTrace) -> str:
    """Formats a trace as text."""
    lines = [f"request {trace.id}", "in force when it arrived:"]
    for change in trace.changes:
        lines.append(
            f"  {change.age_s:9.3f} s before  {change.vm}  {change.event}"
            f"  {_text(change.fields)}"
        )
    lines.append("decisions:")
    arrived_ms = _decided_at_ms(trace.decisions[0])
    for line in trace.decisions:
        after_ms = round(_decided_at_ms(line) - arrived_ms)
        lines.append(
            f"  {after_ms:+9d} ms  {line.get('vm', '')}  {line.get('event')}"
            f"  {_text(_fields(line))}"
        )
    if trace.dropped:
        lines.append(f"{trace.dropped} lines were dropped in these files")
    return "\n".join(lines)


def _text(fields: dict[str, object]) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())
