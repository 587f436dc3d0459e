"""Structured logging of state changes; requests aren't logged here."""

import sys
import traceback

from loguru import logger
import msgspec

from swiftstile import settings as settings_lib

__all__ = ["configure", "logger"]

_TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def configure(
    settings: settings_lib.LogSettings, sink=sys.stderr, **context: str
) -> None:
    """Directs log output to standard error or to another sink.

    Args:
        settings: Log level and format.
        sink: A stream, or a function that accepts a line.
        **context: Fields added to every line.
    """
    logger.remove()
    logger.configure(extra=context)
    logger.add(
        sink,
        level=settings.level.upper(),
        serialize=settings.json and not callable(sink),
        format=_json_line if settings.json and callable(sink) else _TEXT,
        # Tracebacks must not disclose the values of variables.
        diagnose=False,
        backtrace=False,
    )


def _json_line(record) -> str:
    """Returns a format string for one flat JSON object a line."""
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
    } | record["extra"]
    if record["exception"] is not None:
        trace = record["exception"]
        fields["exception"] = "".join(
            traceback.format_exception(trace.type, trace.value, trace.traceback)
        )
    # Loguru formats the returned string again, so the line is passed as a
    # field.
    record["extra"]["line"] = msgspec.json.encode(fields, enc_hook=str).decode()
    return "{extra[line]}\n"
