"""Headers of requests that one VM forwards to another.

The caller's own headers are kept, so that the VM that sends the request to an
upstream handles it as the first one would have. Times are ages, as the clocks
of VMs differ.
"""

import msgspec

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import model
from swiftstile.gateway import outcomes

__all__ = [
    "ANSWERED",
    "OUTCOME_HEADER",
    "Origin",
    "end_to_end",
    "mark_answered",
    "parse",
]

_PREFIX = "swiftstile-"
_RUN_HEADER = "Swiftstile-Run"
_AGE_HEADER = "Swiftstile-Age-Ms"
_SENDS_HEADER = "Swiftstile-Sends"
_SERVICE_HEADER = "Swiftstile-Service"
_CONFIG_HEADER = "Swiftstile-Config"
_CALLER_HEADER = "Swiftstile-Caller"
# On the response: `ANSWERED` if an upstream answered; else why none did.
OUTCOME_HEADER = "Swiftstile-Outcome"
ANSWERED = "answered"
_MAX_DIGITS = 9


class Origin(msgspec.Struct, frozen=True):
    """What the VM that received a request states about it.

    Attributes:
        run: Short name of the run of that VM.
        age_s: Time since the request arrived there, in seconds.
        sends: Upstreams that it was sent to already.
        service: Service selected for it.
        config: Version of the configuration that selected it.
        caller: Identity or address of the caller.
    """

    run: str
    age_s: float
    sends: int
    service: ids.ServiceName
    config: model.ConfigVersion
    caller: str

    def headers(self) -> list[tuple[str, str]]:
        """Returns the headers that state it."""
        return [
            (_RUN_HEADER, self.run),
            (_AGE_HEADER, str(clocks.milliseconds(self.age_s))),
            (_SENDS_HEADER, str(self.sends)),
            (_SERVICE_HEADER, self.service),
            (_CONFIG_HEADER, str(self.config)),
            (_CALLER_HEADER, self.caller),
        ]


def parse(headers) -> Origin:
    """Returns what the headers of a forwarded request state.

    Raises:
        BadRequestError: A header is missing or malformed.
    """
    return Origin(
        headers.get(_RUN_HEADER, ""),
        _number(headers, _AGE_HEADER) / 1000,
        _number(headers, _SENDS_HEADER),
        ids.ServiceName(headers.get(_SERVICE_HEADER, "")),
        model.ConfigVersion(_number(headers, _CONFIG_HEADER)),
        headers.get(_CALLER_HEADER, ""),
    )


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns headers without those of this module, which a caller may send."""
    return [
        (name, value)
        for name, value in headers
        if not name.lower().startswith(_PREFIX)
    ]


def mark_answered(headers: list[tuple[str, str]]) -> None:
    """Marks the headers of a response as those of an upstream."""
    headers[:] = [*end_to_end(headers), (OUTCOME_HEADER, ANSWERED)]


def _number(headers, name: str) -> int:
    text = headers.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        raise outcomes.BadRequestError(
            f"{name} isn't a number", step="read forwarded request"
        )
    return int(text)
