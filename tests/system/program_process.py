"""Runs one program as a child process that is killed by its own id only."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src"
LAUNCHER = SOURCE / "quetzaldeck" / "launcher.py"
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05
LAUNCH_POLL_S = 0.0005


class ProgramProcess:
    """One program as a child process of the test.

    :param program: name of a program of the launcher
    :param address: base URL on which the program listens
    """

    def __init__(self, program: str, settings_path: Path, address: str) -> None:
        self._program = program
        self._settings_path = settings_path
        self._process: subprocess.Popen[bytes] | None = None
        self.address = address
        self.max_descriptors: int | None = None
        """Limit of the kernel from the start on; ``None``: unchanged."""
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
    def is_launched(self) -> bool:
        """:returns: whether the process runs, and SIGHUP does not end it any more"""
        return self.is_running and survives_hang_up(self.process_id)

    @property
    def settings_path(self) -> Path:
        """:returns: the file that the program reads its settings from"""
        return self._settings_path

    @property
    def exit_code(self) -> int | None:
        """:returns: exit code, negative for a signal; ``None`` while it runs"""
        return None if self._process is None else self._process.poll()

    @property
    def log(self) -> str:
        """:returns: the log of all processes started so far"""
        return self.log_path.read_text(encoding="utf-8")

    def start(self) -> None:
        """Start the program, or restart it after its process has exited."""
        launcher = (sys.executable, "-P", str(LAUNCHER), self._program)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [*launcher, "--settings", str(self._settings_path)],
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
                stdout=log,
                stderr=log,
            )
        if self.max_descriptors is not None:
            limit = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self.process_id, resource.RLIMIT_NOFILE, limit)

    async def wait_launched(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Wait until SIGHUP does not end the process any more, by the kernel's word.

        :raises TimeoutError: if its first statement does not run in time
        """
        async with asyncio.timeout(timeout_s):
            while self.is_running and not self.is_launched:
                await asyncio.sleep(LAUNCH_POLL_S)

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


def survives_hang_up(process_id: int) -> bool:
    """:returns: whether a process ignores or handles SIGHUP"""
    status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)", status, re.MULTILINE)
    return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)


__all__ = ("LAUNCHER", "ProgramProcess")
