"""Logging never blocks a program, and reports dropped lines."""

from __future__ import annotations

import io
import threading
import time

from quetzaldeck.telemetry import LogWriter
from quetzaldeck.telemetry.log_writer import (
    BURST_LINES,
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
)


class StuckStream(io.StringIO):
    """A full pipe that nobody reads until ``has_room`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.has_room = threading.Event()

    def write(self, text: str) -> int:
        self.has_room.wait()
        return super().write(text)


def test_lines_are_written_in_order() -> None:
    stream = io.StringIO()
    with LogWriter(stream) as writer:
        for number in range(100):
            writer.write(f"line {number}\n")
    assert stream.getvalue() == "".join(f"line {n}\n" for n in range(100))


def test_stopped_reader_does_not_block_the_program() -> None:
    """Nobody reads the standard output of a VM, and all its callers wait.

    The pipe is full, so that the next log line would block the event loop.
    """
    stream = StuckStream()
    with LogWriter(stream) as writer:
        begun = time.monotonic()
        for _ in range(2 * MAX_QUEUED_LINES):
            writer.write("line\n")
        assert time.monotonic() - begun < 1.0
        assert writer.n_dropped
        stream.has_room.set()


def test_burst_is_limited_and_dropped_lines_are_reported() -> None:
    """A burst of 50,000 failures is logged."""
    stream = io.StringIO()
    with LogWriter(stream) as writer:
        begun = time.monotonic()
        for _ in range(50_000):
            writer.write("line\n")
        elapsed_s = time.monotonic() - begun
        time.sleep(2 / MAX_LINES_PER_S)
        writer.write("last\n")
    lines = stream.getvalue().splitlines()
    assert len(lines) <= BURST_LINES + MAX_LINES_PER_S * (elapsed_s + 1)
    dropped = [line for line in lines if "log_lines_dropped" in line]
    assert dropped
    assert lines[-1] == "last"
