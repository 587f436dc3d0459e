"""The trace of one request, from the log lines of any VMs.

Lines of the request come in order of time. Before them stand the changes that
were in force when it came: the newest of each kind at the same VM, with how
old they were. Lines that aren't ours are passed over.
"""

import collections.abc
import datetime
import pathlib

import msgspec

from swiftstile import errors

__all__ = ["Change", "RequestTrace", "find", "render"]

# Changes of state that decide what becomes of requests, and the field that
# tells several of a kind apart.
_CHANGE_EVENTS = {
    "configuration in force": "",
    "table lost": "table",
    "table regained": "table",
    "rows from a peer": "table",
    "leader changed": "",
    "key map written": "service",
    "upstream registered": "upstream",
    "upstream gone": "upstream",
    "gateway started": "",
    "gateway drains": "",
    "process stood still": "",
    "moves wait for the store": "service",
    "release unanswered": "upstream",
}
_DROPPED_EVENT = "lines dropped"
_OMITTED_FIELDS = ("id", "vm", "at_ms", "event", "time", "level")


class Change(msgspec.Struct):
    """A change of state, and how old it was when the request came."""

    vm: str
    event: str
    age_s: float
    fields: dict[str, object]


class RequestTrace(msgspec.Struct):
    """What is known of one request.

    Attributes:
        id: Its id.
        decisions: What was decided on it, in order of time.
        changes: Changes in force when it came, oldest first.
        dropped: Lines that its VMs dropped, in all files.
    """

    id: str
    decisions: list[dict[str, object]]
    changes: list[Change]
    dropped: int


def find(request_id: str, files: list[pathlib.Path]) -> RequestTrace:
    """Returns the trace of a request.

    Args:
        request_id: The caller's id of the attempt.
        files: Logs of any VMs.

    Raises:
        LogError: A file can't be read, or no line has that id.
    """
    decisions, changes, dropped = [], [], 0
    for line in _lines(files):
        if line.get("id") == request_id:
            decisions.append(line)
        elif line.get("event") == _DROPPED_EVENT:
            dropped += int(line.get("count", 0))
        elif line.get("event") in _CHANGE_EVENTS:
            changes.append(line)
    if not decisions:
        raise errors.LogError(
            f"no line of {request_id}; {dropped} lines were dropped",
            step="explain",
            peer=", ".join(map(str, files)),
        )
    decisions.sort(key=lambda line: line.get("at_ms", 0))
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
    """Returns the newest change of each kind before the request came."""
    first = decisions[0]
    arrived_ms = first.get("at_ms", 0) - first.get("waited_ms", 0)
    vms = {line.get("vm") for line in decisions}
    upstreams = {line.get("upstream") for line in decisions}
    newest: dict[tuple, Change] = {}
    for line in changes:
        age_s = (arrived_ms - _at_ms(line)) / 1000
        event = line["event"]
        detail = line.get(_CHANGE_EVENTS[event], "")
        is_other_upstream = (
            event.startswith("upstream") and detail not in upstreams
        )
        # Key maps are written by the leader alone, and count for all VMs.
        is_relevant_vm = line.get("vm") in vms or event == "key map written"
        if age_s < 0 or is_other_upstream or not is_relevant_vm:
            continue
        key = (line.get("vm"), event, detail)
        known = newest.get(key)
        if known is None or age_s < known.age_s:
            newest[key] = Change(
                str(line.get("vm", "")), event, age_s, _fields(line)
            )
    return sorted(newest.values(), key=lambda change: -change.age_s)


def _at_ms(line) -> float:
    try:
        moment = datetime.datetime.fromisoformat(str(line.get("time")))
    except ValueError:
        # A line without a readable time counts as older than all requests.
        return 0.0
    return moment.timestamp() * 1000


def _fields(line) -> dict[str, object]:
    return {k: v for k, v in line.items() if k not in _OMITTED_FIELDS}


def render(trace: RequestTrace) -> str:
    """Returns a trace as text."""
    lines = [f"request {trace.id}", "in force when it came:"]
    for change in trace.changes:
        lines.append(
            f"  {change.age_s:9.3f} s before  {change.vm}  {change.event}"
            f"  {_text(change.fields)}"
        )
    lines.append("decisions:")
    arrived_ms = trace.decisions[0].get("at_ms", 0)
    for line in trace.decisions:
        after_ms = line.get("at_ms", 0) - arrived_ms
        lines.append(
            f"  {after_ms:+9d} ms  {line.get('vm', '')}  {line.get('event')}"
            f"  {_text(_fields(line))}"
        )
    if trace.dropped:
        lines.append(f"{trace.dropped} lines were dropped in these files")
    return "\n".join(lines)


def _text(fields: dict[str, object]) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())
