"""Exchanges with upstreams that end without a whole answer."""

import enum

from swiftstile.gateway import outcomes

__all__ = ["ExchangeEnd", "how_ended"]


class ExchangeEnd(enum.Enum):
    """How an exchange ended that wasn't answered."""

    # The connection broke, before or after the start of an answer.
    BROKEN = "connection-broken"
    TIMED_OUT = "timed-out"
    ABANDONED = "caller-left"
    INVALID = "invalid-answer"


def how_ended(error: outcomes.GatewayError) -> ExchangeEnd | None:
    """Returns how an exchange ended, given the error of the send.

    None if the upstream can't have run the request.
    """
    if isinstance(error, outcomes.NotRunError):
        return None
    if isinstance(error, outcomes.TimedOutError):
        return ExchangeEnd.TIMED_OUT
    if getattr(error, "is_connection_broken", False):
        return ExchangeEnd.BROKEN
    return ExchangeEnd.INVALID
