"""Decisions that are too old are rejected before they take effect."""

from __future__ import annotations

import doctest
import os
import signal
import subprocess
import sys
import time

import pytest

import quetzaldeck.pauses
from quetzaldeck.clock import ManualClock
from quetzaldeck.pauses import PauseError, PauseGuard

PAUSE_MS = 400
CHILD = """
from quetzaldeck.clock import Clock
from quetzaldeck.pauses import PauseError, PauseGuard

guard = PauseGuard(Clock(), max_pause_ms=200)
while True:
    decided = guard.begin()
    print("decided", flush=True)
    input()
    try:
        guard.check(decided)
        print("sent", flush=True)
    except PauseError:
        print("rejected", flush=True)
"""


class SuspendedClock(ManualClock):
    """Clock of a suspended VM: only the wall clock advances."""

    def __init__(self) -> None:
        super().__init__()
        self.suspended_ms = 0.0

    def wall_ms(self) -> float:
        return super().wall_ms() + self.suspended_ms


def test_check_accepts_recent_decision() -> None:
    clock = ManualClock()
    guard = PauseGuard(clock, max_pause_ms=100)
    decided = guard.begin()
    clock.advance(99)
    guard.check(decided)


def test_check_rejects_old_decision_and_reports_pause() -> None:
    clock = ManualClock()
    pauses: list[float] = []
    guard = PauseGuard(clock, max_pause_ms=100, on_pause=pauses.append)
    decided = guard.begin()
    clock.advance(3_600_000)
    with pytest.raises(PauseError, match="3600000 ms have passed"):
        guard.check(decided)
    assert pauses == [3_600_000]


def test_check_detects_a_suspended_vm() -> None:
    """The hypervisor suspends a VM for a minute and its monotonic clock stops.

    With the monotonic clock alone, the VM would act on a decision made a minute ago.
    """
    clock = SuspendedClock()
    guard = PauseGuard(clock, max_pause_ms=100)
    decided = guard.begin()
    clock.suspended_ms = 60_000
    with pytest.raises(PauseError, match="decide again with current data"):
        guard.check(decided)


def test_stopped_process_rejects_its_old_decision() -> None:
    """A process is stopped (SIGSTOP) between a decision and its effect, then continued.

    It can detect the pause only by its clock, and must not act on the old decision.
    """
    with subprocess.Popen(
        [sys.executable, "-c", CHILD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
    ) as child:
        assert child.stdin is not None
        assert child.stdout is not None
        assert child.stdout.readline() == "decided\n"
        child.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_MS / 1_000)
        child.send_signal(signal.SIGCONT)
        child.stdin.write("\n")
        child.stdin.flush()
        assert child.stdout.readline() == "rejected\n"
        assert child.stdout.readline() == "decided\n"
        child.kill()


def test_example_runs() -> None:
    assert doctest.testmod(quetzaldeck.pauses).failed == 0
    assert doctest.testmod(quetzaldeck.pauses).attempted > 0
