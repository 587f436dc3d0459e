"""Structured logs: a line for each change of state, nothing per request."""

import sys

from loguru import logger

from swiftstile import settings as settings_lib

__all__ = ["configure", "logger"]

_TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def configure(settings: settings_lib.LogSettings, **context: str) -> None:
    """Sends log lines to standard error.

    Args:
        settings: Level and form.
        **context: Fields added to every line.
    """
    logger.remove()
    logger.configure(extra=context)
    logger.add(
        sys.stderr,
        level=settings.level.upper(),
        serialize=settings.json,
        format=_TEXT,
    )
