"""Structured logs: one line of ``key=value`` pairs per event."""

from __future__ import annotations

import logging
import sys
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from quetzaldeck.clock import Clock

if TYPE_CHECKING:
    from loguru import Writable

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} event={message}"
    "{extra[fields]}"
)
MAX_VALUE_LENGTH = 500
"""Longer values are truncated: a caller may send a model name of megabytes."""
LIBRARY_LOG_INTERVAL_MS = 1_000.0
_NEEDS_QUOTES = frozenset(' "=\\')


def configure_logging(
    stream: TextIO | Writable | None = None, level: str = "INFO"
) -> None:
    """Configure logging for the whole process.

    :param stream: destination of log lines; standard error if ``None``
    :param level: lowest level that is written
    """
    logger.remove()
    logger.configure(extra={"fields": ""})
    logger.add(stream or sys.stderr, format=_FORMAT, level=level, catch=False)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)


class _Written:
    """When an event of a library was written last, and how often it came since."""

    def __init__(self) -> None:
        self.at_ms = float("-inf")
        self.n_left_out = 0


class LibraryHandler(logging.Handler):
    """Writes one ``library_log`` event per log record of a library, without its text.

    The text may quote what a caller sent, including its API key, over several lines.
    The library, the place in its code and the type of error are enough to investigate.
    Callers can cause some of them as often as they like: of the same event, one line a
    second is written, with the number of those that were left out before it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._clock = Clock()
        self._written: dict[tuple[str, str], _Written] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Write the event of a record; see :meth:`logging.Handler.emit`."""
        kind = record.exc_info[0] if record.exc_info else None
        error = "" if kind is None else kind.__name__
        place = f"{record.module}:{record.lineno}"
        written = self._written.setdefault((place, error), _Written())
        now_ms = self._clock.now_ms()
        if now_ms - written.at_ms < LIBRARY_LOG_INTERVAL_MS:
            written.n_left_out += 1
            return
        left_out = {"n_left_out": written.n_left_out} if written.n_left_out else {}
        written.at_ms, written.n_left_out = now_ms, 0
        log_event(
            "library_log",
            level=record.levelname,
            logger=record.name,
            place=place,
            error=error,
            **left_out,
        )


def log_event(event: str, *, level: str = "INFO", **fields: Any) -> None:
    """Write one event.

    :param event: name of the event in snake case
    :param level: level of the log line
    :param fields: fields written as ``key=value`` pairs
    """
    text = "".join(f" {key}={format_value(value)}" for key, value in fields.items())
    logger.bind(fields=text).log(level, event)


def format_value(value: Any) -> str:
    """:returns: ``value`` on one line, quoted and escaped where parsing requires it"""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = text[:MAX_VALUE_LENGTH] + "..."
    if text and text.isprintable() and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in escaped
    )
    return f'"{printable}"'


def locate_error(error: BaseException) -> str:
    """:returns: an error and the place in the code where it was raised, on one line"""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else "?"
    return f"{error!r} at {place}"


__all__ = (
    "LibraryHandler",
    "configure_logging",
    "format_value",
    "locate_error",
    "log_event",
)
