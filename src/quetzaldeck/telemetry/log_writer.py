"""Log writing that never blocks the program."""

from __future__ import annotations

import queue
import re
import threading
import time
from collections import Counter
from datetime import UTC, datetime
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from types import TracebackType

MAX_QUEUED_LINES = 2_000
"""Queued lines; at about 300 bytes per line, at most 0.6 MB of memory."""

MAX_LINES_PER_S = 300.0
"""Sustained rate. A VM answers about 50 requests per second and writes two or three
lines for each; a burst of failures must not take processor time from serving."""

BURST_LINES = 1_500.0
"""Lines that may be written at once after a time with few lines."""

MAX_NAMED_EVENTS = 8
"""Events whose dropped lines are counted by name in one line, the most frequent."""

_EVENT = re.compile(r"\bevent=(\w+)")

STOP_TIMEOUT_S = 0.5
"""Time to write the last lines when a program ends, even if nobody reads them."""


class LogWriter:
    """A stream that queues log lines, and the thread that writes them.

    A program that writes to a full pipe blocks at its next log line, and all its
    callers wait. This stream instead drops lines that exceed the queue or the rate, and
    writes how many of which events before the next line, or when it ends. It is a
    context manager.

    :param stream: destination of the lines
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._allowance = BURST_LINES
        self._updated_s = time.monotonic()
        self._dropped: Counter[str] = Counter()

    @property
    def n_dropped(self) -> int:
        """:returns: lines dropped since the last line that was accepted"""
        return self._dropped.total()

    def __enter__(self) -> LogWriter:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            if self._dropped:
                self._lines.put(self._describe_dropped(), timeout=STOP_TIMEOUT_S)
            self._lines.put(None, timeout=STOP_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full or the rate is exceeded."""
        if not self._may_write():
            self._note_dropped(text)
            return
        line = self._describe_dropped() + text if self._dropped else text
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._note_dropped(text)
        else:
            self._dropped.clear()

    def flush(self) -> None:
        """Do nothing; the thread flushes after each write."""

    def _note_dropped(self, text: str) -> None:
        match = _EVENT.search(text)
        self._dropped[match[1] if match else ""] += 1

    def _describe_dropped(self) -> str:
        """:returns: a line that counts the dropped ones by event"""
        time_text = datetime.now(UTC).isoformat(timespec="milliseconds")
        counts = self._dropped.most_common(MAX_NAMED_EVENTS)
        events = ",".join(f"{event}:{n_lines}" for event, n_lines in counts)
        return (
            f"time={time_text} level=WARNING event=log_lines_dropped "
            f"n={self.n_dropped} events={events}\n"
        )

    def _may_write(self) -> bool:
        """:returns: whether the rate limit allows one more line"""
        now_s = time.monotonic()
        gained = (now_s - self._updated_s) * MAX_LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._updated_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _run(self) -> None:
        while (text := self._lines.get()) is not None:
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the pipe: log lines can no longer be written.
                return


__all__ = ("LogWriter",)
