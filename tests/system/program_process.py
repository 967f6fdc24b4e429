"""Runs one program as a child process that is killed by its own id only."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal

SOURCE = Path(__file__).parents[2] / "src"
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05


class ProgramProcess:
    """One program as a child process of the test.

    :param program: module name below ``quetzaldeck.cli``
    :param address: base URL on which the program listens
    """

    def __init__(self, program: str, settings_path: Path, address: str) -> None:
        self._program = program
        self._settings_path = settings_path
        self._process: subprocess.Popen[bytes] | None = None
        self.address = address
        self.log_path = settings_path.with_suffix(".log")

    @property
    def process_id(self) -> int:
        """:returns: id of the most recently started process"""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """:returns: whether the process runs"""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """:returns: the log of all processes started so far"""
        return self.log_path.read_text(encoding="utf-8")

    def start(self) -> None:
        """Start the program, or restart it after its process has exited."""
        module = f"quetzaldeck.cli.{self._program}"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, "--settings", str(self._settings_path)],
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.is_running:
            os.kill(self.process_id, number)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits.

        :returns: the exit code
        :raises TimeoutError: if the process does not exit in time
        """
        assert self._process is not None
        async with asyncio.timeout(timeout_s):
            while self._process.poll() is None:
                await asyncio.sleep(POLL_S)
        return int(self._process.returncode)

    def end(self) -> None:
        """Kill the process if it is running, and wait until it has exited."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.kill()
        self._process.wait()


__all__ = ("ProgramProcess",)
