"""Parsing and validation of callers' requests."""

import re
import uuid

from aiohttp import web
import msgspec

from swiftstile import clocks
from swiftstile import hashing
from swiftstile import ids
from swiftstile.bundles import model
from swiftstile.routing import outcomes

__all__ = ["InboundRequest", "parse", "split_path"]

_MAX_KEY_BYTES = 512
_TOKEN = re.compile(r"[\x21-\x7e]{1,200}")
_REPEATABLE = {"yes": True, "no": False}


class InboundRequest(msgspec.Struct):
    """One request of a caller.

    Attributes:
        service: Service that it is addressed to.
        spec: Settings of that service.
        method: HTTP method.
        path: Path and query as sent to the upstream.
        key: Its key; empty for a shared service.
        position: Position of the key in the hash space.
        request_id: Correlates the answer with the request.
        repeatable: Whether it may run more than once.
        deadline: When the router gives it up, on `clocks.monotonic`.
        deadline_ms: The same in milliseconds since the Unix epoch.
        idempotency_key: The caller's idempotency key; may be empty.
    """

    service: ids.ServiceId
    spec: model.ServiceSpec
    method: str
    path: str
    key: ids.Key
    position: ids.KeyHash
    request_id: ids.RequestId
    repeatable: bool
    deadline: float
    deadline_ms: int
    idempotency_key: str

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline; negative when past."""
        return self.deadline - clocks.monotonic()


def split_path(path: str) -> tuple[ids.ServiceId, str]:
    """Splits `/organisation/service/rest` into the service and `/rest`.

    Raises:
        BadRequestError: The path has another form.
    """
    parts = path.split("/", 3)
    if len(parts) < 3 or not parts[1] or not parts[2]:
        raise outcomes.BadRequestError(
            "expected /organisation/service/...", step="read path"
        )
    service = ids.ServiceId(
        ids.OrganisationId(parts[1]),
        ids.ServiceName(parts[2].partition("?")[0]),
    )
    return service, "/" + (parts[3] if len(parts) == 4 else "")


def parse(
    request: web.BaseRequest,
    service: ids.ServiceId,
    path: str,
    spec: model.ServiceSpec,
) -> InboundRequest:
    """Parses the key, the deadline and the headers of a request.

    Raises:
        RequestError: The request isn't allowed.
    """
    headers = request.headers
    key = _key(headers, path, spec)
    timeout_ms = _timeout_ms(headers, spec)
    _check_length(request, spec)
    return InboundRequest(
        service,
        spec,
        request.method,
        path,
        key,
        hashing.key_hash(service.organisation, service.service, key),
        _request_id(headers),
        _is_repeatable(request, spec),
        clocks.monotonic() + timeout_ms / 1000,
        clocks.wall_ms() + timeout_ms,
        _idempotency_key(headers),
    )


def _key(headers, path: str, spec: model.ServiceSpec) -> ids.Key:
    if spec.ownership is model.Ownership.SHARED:
        return ids.Key("")
    if spec.key_source is model.KeySource.PATH:
        key = path[1:].partition("/")[0].partition("?")[0]
    else:
        key = headers.get(outcomes.KEY_HEADER, "")
    if not key:
        raise outcomes.BadRequestError(
            f"no key; expected in {spec.key_source.value}", step="read key"
        )
    size = len(key.encode(errors="surrogateescape"))
    if size > _MAX_KEY_BYTES or not key.isprintable():
        raise outcomes.BadRequestError(
            f"key of {size} bytes; expected 1 to {_MAX_KEY_BYTES} printable",
            step="read key",
        )
    return ids.Key(key)


def _timeout_ms(headers, spec: model.ServiceSpec) -> int:
    text = headers.get(outcomes.TIMEOUT_HEADER)
    if text is None:
        return spec.deadline_ms
    digits = text[1:] if text.startswith("-") else text
    if not (digits.isascii() and digits.isdigit() and len(digits) < 12):
        raise outcomes.BadRequestError(
            f"{outcomes.TIMEOUT_HEADER} isn't a whole number",
            step="read timeout",
        )
    timeout_ms = int(text)
    if timeout_ms <= 0:
        raise outcomes.DeadlineError("already past", step="read timeout")
    return min(timeout_ms, spec.max_deadline_ms)


def _check_length(request: web.BaseRequest, spec: model.ServiceSpec) -> None:
    length = request.content_length
    if length is not None and length > spec.max_body_bytes:
        raise outcomes.BodyTooLargeError(
            f"{length} bytes; at most {spec.max_body_bytes} allowed",
            step="read body",
        )


def _request_id(headers) -> ids.RequestId:
    text = headers.get(outcomes.REQUEST_ID_HEADER)
    if text is None:
        return ids.RequestId(uuid.uuid4().hex)
    if not _TOKEN.fullmatch(text):
        raise outcomes.BadRequestError(
            f"malformed {outcomes.REQUEST_ID_HEADER}", step="read request id"
        )
    return ids.RequestId(text)


def _idempotency_key(headers) -> str:
    text = headers.get(outcomes.IDEMPOTENCY_HEADER, "")
    if text and not _TOKEN.fullmatch(text):
        raise outcomes.BadRequestError(
            f"malformed {outcomes.IDEMPOTENCY_HEADER}",
            step="read idempotency key",
        )
    return text


def _is_repeatable(request, spec: model.ServiceSpec) -> bool:
    text = request.headers.get(outcomes.REPEATABLE_HEADER)
    if text is None:
        return request.method not in spec.protected_methods
    if text not in _REPEATABLE:
        raise outcomes.BadRequestError(
            f"{outcomes.REPEATABLE_HEADER} is neither yes nor no",
            step="read marks",
        )
    return _REPEATABLE[text]
